//! Chooses the endpoint of a request and keeps to the rate limits that endpoints name.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_core::gateway::{
    endpoint::{Endpoint, InstanceId},
    expected_finish::{self, Prospect},
    placement::{self, Candidate},
    rate_limit::{Claim, Reservation},
};

use super::Gateway;
use crate::gateway::{
    endpoint_limits::Demand,
    error_response::{ErrorReason, ErrorResponse},
    exchange::Exchange,
};

/// Number of endpoints that are asked for a place before the request waits or is refused.
const MAX_RESERVATIONS: usize = 8;

/// Share of the target latency for which a request waits for a place at the engine that has its
/// prompt in its cache, or at an endpoint without a cache.
const RESIDENT_WAIT: f64 = 0.6;

/// Share of the target latency for which a request of the highest rank waits for a place at any
/// other endpoint.
const HIGHEST_RANK_WAIT: f64 = 0.2;

/// Wait for an endpoint's rate limit from which on it is logged.
const LONG_WAIT: Duration = Duration::from_millis(50);

/// Where the prompt of a request is, or will be once its program has begun.
enum Residence {
    /// The request has no prompt that would be processed again elsewhere.
    Anywhere,

    /// At one of these engines.
    Engines {
        /// Engine that last ran the program for this daemon.
        last: Option<InstanceId>,

        /// Engine at which all daemons begin the program.
        first: Option<InstanceId>,
    },
}

impl Residence {
    /// What the request would gain at an endpoint, and how long it waits for a place there
    /// before others are asked.
    fn claim(&self, ex: &Exchange, endpoint: &InstanceId) -> (Claim, Duration) {
        let is_resident = match self {
            Self::Anywhere => true,
            Self::Engines { last, first } => {
                [last, first].iter().any(|e| e.as_ref() == Some(endpoint))
            }
        };
        let (claim, share) = match (is_resident, ex.rank()) {
            (true, _) => (Claim::Resident, RESIDENT_WAIT),
            (false, 0) => (Claim::Newcomer, HIGHEST_RANK_WAIT),
            (false, _) => (Claim::Newcomer, 0.0),
        };
        (claim, ex.route.target_latency.mul_f64(share))
    }
}

impl Gateway {
    /// Chooses an endpoint and waits until it takes the request; endpoints in `tried` come last.
    pub(super) async fn choose_endpoint(
        &self,
        ex: &Exchange,
        tried: &[InstanceId],
    ) -> Result<Arc<Endpoint>, ErrorResponse> {
        let residence = self.residence(ex);
        let mut denied = Vec::new();
        while denied.len() < MAX_RESERVATIONS {
            let Some(endpoint) = self.place(ex, &residence, tried, &denied) else {
                break;
            };
            let (claim, max_wait) = residence.claim(ex, &endpoint.id);
            match self.reserve(ex, &endpoint, claim, max_wait).await {
                Ok(()) => return Ok(endpoint),
                Err(_) => denied.push(endpoint.id.clone()),
            }
        }
        self.wait_for_endpoint(ex, &residence, &denied).await
    }

    /// Where the prompt of a request is, or will be once its program has begun.
    fn residence(&self, ex: &Exchange) -> Residence {
        let candidates = self.candidates(ex);
        let is_any_limited = candidates.iter().any(Candidate::is_limited);
        match ex.info.placement_key() {
            Some(key) if is_any_limited && ex.runs_on_engine() => Residence::Engines {
                last: self.last_engines.get(key),
                first: placement::first_engine(&candidates, key),
            },
            _ => Residence::Anywhere,
        }
    }

    /// Waits for the endpoint that takes requests again first, if that is soon enough; endpoints in
    /// `denied` may have done so by now.
    async fn wait_for_endpoint(
        &self,
        ex: &Exchange,
        residence: &Residence,
        denied: &[InstanceId],
    ) -> Result<Arc<Endpoint>, ErrorResponse> {
        let ready = self.suitable_endpoints(ex).into_iter();
        let full_for = |e: &Endpoint| {
            let (claim, _) = residence.claim(ex, &e.id);
            let full_for = self.endpoint_limits.full_for(&e.id, claim);
            full_for.or_else(|| denied.contains(&e.id).then_some(Duration::ZERO))
        };
        let full = ready.filter_map(|e| Some((full_for(&e)?, e)));
        let (delay, endpoint) = full
            .min_by_key(|(delay, _)| *delay)
            .ok_or(ErrorReason::NoEndpoint)?;
        let max_wait = ex.route.target_latency.min(ex.remaining_time() / 2);
        let refusal = |retry_after| ErrorResponse {
            reason: ErrorReason::EndpointsFull,
            retry_after: Some(retry_after),
        };
        if delay > max_wait {
            return Err(refusal(delay));
        }
        let (claim, _) = residence.claim(ex, &endpoint.id);
        match self.reserve(ex, &endpoint, claim, max_wait).await {
            Ok(()) => Ok(endpoint),
            Err(delay) => {
                log::info!(request = &*ex.id.0, ms = delay.as_millis() as u64; "request refused: all endpoints limit the rate of requests");
                Err(refusal(delay))
            }
        }
    }

    /// Waits until an endpoint takes the request; fails with the time for which it takes none if
    /// that is longer than `max_wait`.
    async fn reserve(
        &self,
        ex: &Exchange,
        endpoint: &Endpoint,
        claim: Claim,
        max_wait: Duration,
    ) -> Result<(), Duration> {
        let Some(limit) = self.upstream.limit(&endpoint.id) else {
            return Ok(());
        };
        let started_at = Instant::now();
        let demand = Demand {
            rate: limit,
            claim,
            max_wait_ms: max_wait.as_millis() as u64,
        };
        match self.endpoint_limits.reserve(endpoint, demand).await {
            Reservation::Denied(ms) => return Err(Duration::from_millis(ms)),
            Reservation::After(0) => {}
            Reservation::After(ms) => task::sleep(Duration::from_millis(ms)).await,
        }
        let waited = started_at.elapsed();
        if waited > LONG_WAIT {
            log::info!(request = &*ex.id.0, endpoint = &*endpoint.id.0, per_s = limit.per_s(), ms = waited.as_millis() as u64; "request waited for the rate limit of the endpoint");
        }
        Ok(())
    }

    /// Places a request at one of the endpoints that may take it now.
    fn place(
        &self,
        ex: &Exchange,
        residence: &Residence,
        tried: &[InstanceId],
        denied: &[InstanceId],
    ) -> Option<Arc<Endpoint>> {
        let prospects = self.prospects(ex, residence, denied);
        let trial = self.trial(ex, &prospects, tried);
        let rotate = || self.rotation.fetch_add(1, Ordering::Relaxed);
        trial.or_else(|| self.place_among(ex, &prospects, tried, rotate))
    }

    /// Endpoints that take a request now, other than those in `denied`, and when each would have
    /// finished it.
    fn prospects(
        &self,
        ex: &Exchange,
        residence: &Residence,
        denied: &[InstanceId],
    ) -> Vec<Prospect> {
        let ready = self.suitable_endpoints(ex);
        let mut prospects = self.upstream.prospects(&ex.service, ready);
        prospects.retain(|p| {
            let endpoint = &p.candidate.endpoint;
            !denied.contains(&endpoint.id) && !self.is_full(ex, residence, endpoint)
        });
        prospects
    }

    /// Places a request at one of the given endpoints.
    fn place_among(
        &self,
        ex: &Exchange,
        prospects: &[Prospect],
        tried: &[InstanceId],
        rotate: impl FnOnce() -> u64,
    ) -> Option<Arc<Endpoint>> {
        let chosen = match (ex.runs_on_engine(), ex.info.placement_key()) {
            (true, Some(key)) => {
                let last = self.last_engines.get(key);
                expected_finish::choose_engine(prospects, key, last.as_ref(), tried)
            }
            _ => expected_finish::choose_service_endpoint(prospects, &self.domain, rotate(), tried),
        };
        chosen.map(|i| Arc::clone(&prospects[i].candidate.endpoint))
    }

    /// Chooses an endpoint for a copy of a request other than `slow` and those in `tried`, one that
    /// limits no rate and is not failing.
    pub(super) fn choose_copy_endpoint(
        &self,
        ex: &Exchange,
        slow: &InstanceId,
        tried: &[InstanceId],
    ) -> Option<Arc<Endpoint>> {
        let ready = self.suitable_endpoints(ex);
        let mut prospects = self.upstream.prospects(&ex.service, ready);
        prospects.retain(|Prospect { candidate: c, .. }| {
            let is_other = c.endpoint.id != *slow && !tried.contains(&c.endpoint.id);
            is_other && !c.is_limited() && !c.load.is_failing
        });
        let rotation = self.rotation.fetch_add(1, Ordering::Relaxed);
        let chosen =
            expected_finish::choose_service_endpoint(&prospects, &self.domain, rotation, &[]);
        chosen.map(|i| Arc::clone(&prospects[i].candidate.endpoint))
    }

    /// Takes an avoided endpoint that should get a single request, if this is a first attempt of a
    /// request that has no prompt in an engine's cache.
    fn trial(
        &self,
        ex: &Exchange,
        prospects: &[Prospect],
        tried: &[InstanceId],
    ) -> Option<Arc<Endpoint>> {
        let key = ex.info.placement_key().filter(|_| ex.runs_on_engine());
        let has_prompt_elsewhere = key.is_some_and(|key| self.last_engines.get(key).is_some());
        if !tried.is_empty() || has_prompt_elsewhere {
            return None;
        }
        let is_repeatable = ex.can_retry(1);
        let id = self
            .upstream
            .take_trial(&ex.service, prospects, is_repeatable)?;
        let mut endpoints = prospects.iter().map(|p| &p.candidate.endpoint);
        endpoints.find(|e| e.id == id).map(Arc::clone)
    }

    /// Returns all endpoints that accept new requests of the service in the order in which a request
    /// would be placed at them now if those before did not take it, and whether each takes it as
    /// soon as the request needs. Nothing is reserved or counted.
    pub(super) fn placements(&self, ex: &Exchange) -> Vec<(Candidate, bool)> {
        let residence = self.residence(ex);
        let rotate = || self.rotation.load(Ordering::Relaxed);
        let mut order = Vec::new();
        let next = |order: &[InstanceId]| {
            let prospects = self.prospects(ex, &residence, order);
            self.place_among(ex, &prospects, &[], rotate)
        };
        while let Some(e) = next(&order) {
            order.push(e.id.clone());
        }
        let mut candidates = self.candidates(ex);
        let position = |c: &Candidate| order.iter().position(|id| *id == c.endpoint.id);
        candidates.sort_by_key(|c| position(c).unwrap_or(usize::MAX));
        let takes = |c: &Candidate| position(c).is_some();
        let placements = candidates.into_iter().map(|c| {
            let takes = takes(&c);
            (c, takes)
        });
        placements.collect()
    }

    /// Endpoints that accept new requests of the service and may run this one.
    fn suitable_endpoints(&self, ex: &Exchange) -> Vec<Arc<Endpoint>> {
        let mut ready = self.endpoints.ready(&ex.service);
        ready.retain(|e| ex.suits(e));
        ready
    }

    /// Endpoint at which a request would be placed now. Nothing is reserved or counted.
    pub(super) fn likely_endpoint(&self, ex: &Exchange) -> Option<Arc<Endpoint>> {
        let residence = self.residence(ex);
        let prospects = self.prospects(ex, &residence, &[]);
        let rotate = || self.rotation.load(Ordering::Relaxed);
        self.place_among(ex, &prospects, &[], rotate)
    }

    /// Endpoints that accept new requests of the service, with their load.
    pub(super) fn candidates(&self, ex: &Exchange) -> Vec<Candidate> {
        let ready = self.suitable_endpoints(ex);
        self.upstream.candidates(&ex.service, ready)
    }

    /// Whether an endpoint limits the rate of requests and takes none as soon as a request needs.
    fn is_full(&self, ex: &Exchange, residence: &Residence, endpoint: &Endpoint) -> bool {
        let (claim, max_wait) = residence.claim(ex, &endpoint.id);
        let full_for = self.endpoint_limits.full_for(&endpoint.id, claim);
        let is_full = full_for.is_some_and(|span| span > max_wait);
        is_full && self.upstream.limit(&endpoint.id).is_some()
    }
}
