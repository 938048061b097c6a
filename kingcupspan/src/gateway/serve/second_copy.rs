//! Sends a second copy of a request whose endpoint is slow to answer, if it may be repeated.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::future;
use futures_lite::FutureExt;
use kingcupspan_core::gateway::{
    admission,
    endpoint::{Endpoint, InstanceId},
    routing::RouteKind,
    second_copy::{self, CopyPolicy, CopyShare},
};
use parking_lot::Mutex;
use prometheus::IntCounterVec;

use super::Gateway;
use crate::{
    gateway::{
        exchange::Exchange,
        upstream::{EndpointResponse, OutgoingRequest, RequestGuard, SendError},
    },
    metrics::opts,
};

/// Time without requests after which the times of a route may be forgotten.
const ROUTE_RETENTION: Duration = Duration::from_secs(60);

/// Second copies of this daemon's requests.
pub struct SecondCopies {
    /// `None` if the operator allows no copies.
    policy: Option<Mutex<CopyPolicy>>,

    /// When routes without requests were last forgotten.
    expired_at: Mutex<Instant>,

    /// Requests that were slow enough for a copy, by outcome.
    pub outcomes: IntCounterVec,
}

impl SecondCopies {
    /// Creates a state that allows copies of the given share of requests.
    pub fn new(share: CopyShare) -> Self {
        let outcomes = IntCounterVec::new(
            opts(
                "second_copies_total",
                "Requests slow enough for a second copy",
            ),
            &["outcome"],
        );
        Self {
            expired_at: Mutex::new(Instant::now()),
            policy: (!share.is_zero()).then(|| Mutex::new(CopyPolicy::new(share))),
            // The name and the label are valid.
            outcomes: outcomes.expect("valid counter"),
        }
    }

    /// Forgets the times of routes that got no requests for long.
    pub fn expire(&self) {
        let mut expired_at = self.expired_at.lock();
        if expired_at.elapsed() < ROUTE_RETENTION {
            return;
        }
        *expired_at = Instant::now();
        if let Some(policy) = &self.policy {
            policy.lock().forget_unused();
        }
    }

    fn count(&self, outcome: &str) {
        self.outcomes.with_label_values(&[outcome]).inc();
    }
}

/// A request sent to an endpoint, and how that ended.
pub(super) struct Sent {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) guard: RequestGuard,
    pub(super) result: Result<EndpointResponse, SendError>,
}

impl Sent {
    /// Whether the endpoint has executed the request and answered.
    pub(super) fn is_answer(&self) -> bool {
        let is_answer = |r: &EndpointResponse| r.is_trusted() && !r.info.not_executed;
        self.result.as_ref().is_ok_and(is_answer)
    }
}

/// How a request ended that was sent to one endpoint, or to two at a time.
pub(super) struct SentCopies {
    /// What ended, the answer last if there is one.
    pub(super) ended: Vec<Sent>,

    /// Endpoint whose copy was cancelled since the other one was answered.
    pub(super) cancelled: Option<Arc<Endpoint>>,
}

impl Gateway {
    /// Sends a request to an endpoint, and to another one if the first is slow to answer.
    ///
    /// `tried` are the endpoints to which the request was just sent; `possible_runs` counts all
    /// that may have run it.
    pub(super) async fn send_copies(
        &self,
        ex: &Exchange,
        out: &OutgoingRequest<'_>,
        endpoint: Arc<Endpoint>,
        tried: &[InstanceId],
        possible_runs: u32,
    ) -> SentCopies {
        let started_at = Instant::now();
        let mut first = pin!(self.send_once(out, Arc::clone(&endpoint)));
        let sent = tried.len().max(possible_runs as usize);
        let second_endpoint = match self.copy_delay(ex, sent) {
            Some(delay) => match future::timeout(delay, first.as_mut()).await {
                Ok(sent) => return self.end_without_copy(ex, sent, started_at),
                Err(_) => self.take_copy(ex, &endpoint, tried),
            },
            None => None,
        };
        let Some(second_endpoint) = second_endpoint else {
            return self.end_without_copy(ex, first.await, started_at);
        };
        let mut second = pin!(self.send_once(out, Arc::clone(&second_endpoint)));
        // Whichever is not answered first is cancelled with the end of this function.
        let sent = first.as_mut().or(second.as_mut()).await;
        let is_first = sent.endpoint.id == endpoint.id;
        let copies = match (sent.is_answer(), is_first) {
            (true, true) => SentCopies::answered(sent, second_endpoint),
            (true, false) => SentCopies::answered(sent, Arc::clone(&endpoint)),
            (false, true) => SentCopies::both(sent, second.await),
            (false, false) => SentCopies::both(sent, first.await),
        };
        self.record_copies(ex, &copies, &endpoint, started_at);
        copies
    }

    /// Records the time of a request without a copy.
    fn end_without_copy(&self, ex: &Exchange, sent: Sent, started_at: Instant) -> SentCopies {
        if let Some(policy) = self.copy_policy(ex).filter(|_| sent.is_answer()) {
            let elapsed = started_at.elapsed();
            policy.lock().record_time(&ex.route.name, elapsed);
        }
        SentCopies {
            ended: vec![sent],
            cancelled: None,
        }
    }

    /// Sends a request to an endpoint.
    async fn send_once(&self, out: &OutgoingRequest<'_>, endpoint: Arc<Endpoint>) -> Sent {
        let guard = self.upstream.track_request(&endpoint.id);
        let result = self.upstream.send(&endpoint, out).await;
        Sent {
            endpoint,
            guard,
            result,
        }
    }

    /// Returns the time after which a copy of a request may be sent that was sent to `sent`
    /// endpoints before.
    fn copy_delay(&self, ex: &Exchange, sent: usize) -> Option<Duration> {
        let policy = self.copy_policy(ex)?;
        let mut policy = policy.lock();
        policy.note_request(self.service_utilization(ex));
        let delay = policy.delay(&ex.route.name)?;
        second_copy::leaves_room_for_copy(sent, ex.route.max_attempts).then_some(delay)
    }

    /// Takes the right to send a copy, and chooses another endpoint for it than `slow` and those
    /// in `tried`.
    fn take_copy(
        &self,
        ex: &Exchange,
        slow: &Endpoint,
        tried: &[InstanceId],
    ) -> Option<Arc<Endpoint>> {
        let policy = self.copy_policy(ex)?;
        let endpoint = self.choose_copy_endpoint(ex, &slow.id, tried);
        let utilization = self.service_utilization(ex);
        let endpoint = endpoint.filter(|_| policy.lock().take_copy(utilization));
        match &endpoint {
            Some(second) => {
                log::info!(request = &*ex.id.0, endpoint = &*slow.id.0, second = &*second.id.0; "endpoint is slow to answer; sending a copy of the request to another one");
            }
            None => self.second_copies.count("denied"),
        }
        endpoint
    }

    /// Policy for the request, if copies of it may be sent; a copy would count against a quota.
    fn copy_policy(&self, ex: &Exchange) -> Option<&Mutex<CopyPolicy>> {
        let is_repeatable = ex.route.kind == RouteKind::Safe && !ex.runs_on_engine();
        let has_quota = ex.workspace.as_ref().is_some_and(|w| w.quota.is_some());
        let policy = self.second_copies.policy.as_ref();
        policy.filter(|_| is_repeatable && !has_quota)
    }

    /// Returns the utilization of the request's service; one that tells no load has none.
    fn service_utilization(&self, ex: &Exchange) -> f64 {
        admission::utilization(&self.candidates(ex)).unwrap_or_default()
    }

    /// Counts how a request with a copy ended and records the time of the first one, which is not
    /// shorter than the time until it was cancelled.
    fn record_copies(
        &self,
        ex: &Exchange,
        copies: &SentCopies,
        first: &Endpoint,
        started_at: Instant,
    ) {
        let Some(answer) = copies.ended.last().filter(|s| s.is_answer()) else {
            return self.second_copies.count("failed");
        };
        let is_first = answer.endpoint.id == first.id;
        self.second_copies
            .count(if is_first { "lost" } else { "won" });
        let elapsed = started_at.elapsed();
        if let Some(policy) = self.copy_policy(ex) {
            policy.lock().record_time(&ex.route.name, elapsed);
        }
        let cancelled = copies.cancelled.as_ref();
        if cancelled.is_some_and(|e| e.id == first.id) {
            self.upstream
                .health
                .record_cancelled(first, &ex.route.name, elapsed);
        }
    }
}

impl SentCopies {
    /// Returns the number of copies.
    pub(super) fn count(&self) -> usize {
        self.ended.len() + usize::from(self.cancelled.is_some())
    }

    /// Two copies of which one was answered and the other one cancelled.
    fn answered(answer: Sent, cancelled: Arc<Endpoint>) -> Self {
        Self {
            ended: vec![answer],
            cancelled: Some(cancelled),
        }
    }

    /// Two copies that ended, of which the first to end was not answered.
    fn both(failed: Sent, other: Sent) -> Self {
        Self {
            ended: vec![failed, other],
            cancelled: None,
        }
    }
}
