//! Watches how requests end at endpoints, and counts and logs which of them are avoided.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use kingcupspan_core::gateway::{
    endpoint::{Endpoint, InstanceId},
    endpoint_health::{Change, Fault, HealthTracker, Outcome, Timing},
    load_report::LoadReport,
    routing::ServiceName,
};
use parking_lot::Mutex;
use prometheus::IntCounterVec;

use crate::{clock::Clock, metrics::opts};

/// Histories of all endpoints, and which of them are avoided.
pub struct Health {
    tracker: Mutex<HealthTracker>,
    clock: Clock,

    /// Endpoints that began to be avoided, got a single request, or were taken back.
    pub changes: IntCounterVec,
}

impl Health {
    /// Creates a state without histories.
    pub(super) fn new() -> Self {
        let changes = IntCounterVec::new(
            opts(
                "endpoint_avoidance_total",
                "Endpoints avoided because their requests fail or take long",
            ),
            &["change"],
        );
        Self {
            tracker: Mutex::default(),
            clock: Clock::default(),
            // The name and the label are valid.
            changes: changes.expect("valid counter"),
        }
    }

    /// Returns the listed endpoints of a service that get single requests only.
    pub(super) fn avoided(
        &self,
        service: &ServiceName,
        listed: &[Arc<Endpoint>],
    ) -> Vec<InstanceId> {
        let mut tracker = self.tracker.lock();
        tracker.set_listed(service, listed.len());
        if !tracker.is_any_avoided(service) {
            return Vec::new();
        }
        let ids = listed.iter().map(|e| &e.id);
        ids.filter(|id| tracker.is_avoided(service, id))
            .cloned()
            .collect()
    }

    /// Takes an avoided endpoint that should get a single request now.
    pub(super) fn take_trial<'a>(
        &self,
        service: &ServiceName,
        ids: impl Iterator<Item = &'a InstanceId>,
        is_repeatable: bool,
    ) -> Option<InstanceId> {
        let mut tracker = self.tracker.lock();
        if !tracker.is_any_avoided(service) {
            return None;
        }
        let trial = tracker.take_trial(service, ids, is_repeatable, self.clock.mono())?;
        self.changes.with_label_values(&["trial"]).inc();
        Some(trial)
    }

    /// Forgets endpoints that are not listed or got no requests for long.
    pub(super) fn expire(&self, is_listed: impl Fn(&InstanceId) -> bool) {
        self.tracker.lock().expire(self.clock.mono(), is_listed);
    }

    /// Records a request that was cancelled after `elapsed`, since its copy was answered before.
    pub fn record_cancelled(&self, endpoint: &Endpoint, route: &str, elapsed: Duration) {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let timing = Timing { route, elapsed_ms };
        self.record(endpoint, Outcome::Completed(Some(timing)));
    }

    /// Records the outcome of a request.
    fn record(&self, endpoint: &Endpoint, outcome: Outcome<'_>) {
        let now = self.clock.mono();
        let change = self.tracker.lock().record(endpoint, outcome, now);
        match change {
            Some(Change::Avoided { fault, pause_ms }) => {
                self.changes.with_label_values(&["avoided"]).inc();
                log_avoided(&endpoint.id, fault, pause_ms);
            }
            Some(Change::Restored) => {
                self.changes.with_label_values(&["restored"]).inc();
                log::info!(endpoint = &*endpoint.id.0; "single requests to the endpoint went well; it gets its share again");
            }
            None => {}
        }
    }
}

/// Logs that an endpoint is avoided.
fn log_avoided(id: &InstanceId, fault: Fault, pause_ms: u64) {
    match fault {
        Fault::Failures(share) => {
            log::warn!(endpoint = &*id.0, share, pause_ms; "endpoint fails more requests than its peers; it gets none for a while, then single ones");
        }
        Fault::Slowness(times) => {
            log::warn!(endpoint = &*id.0, times, pause_ms; "endpoint takes longer than its peers; it gets no requests for a while, then single ones");
        }
        Fault::Trial => {
            log::info!(endpoint = &*id.0, pause_ms; "single request to the endpoint did not go well; it gets none for a longer while");
        }
    }
}

/// A request at an endpoint whose outcome is not known yet.
pub(super) struct Attempt {
    health: Arc<Health>,
    endpoint: Endpoint,

    /// Route with whose usual time the request's time is compared.
    route: Option<Box<str>>,

    sent_at: Instant,

    /// Time by which the response must begin; `None` once it has or the attempt has ended.
    due_at: Option<Instant>,
}

impl Attempt {
    /// Begins an attempt whose response must begin within `remaining`.
    pub(super) fn new(
        health: &Arc<Health>,
        endpoint: &Endpoint,
        route: Option<&str>,
        remaining: Duration,
    ) -> Self {
        let sent_at = Instant::now();
        Self {
            health: Arc::clone(health),
            endpoint: endpoint.clone(),
            route: route.map(Box::from),
            sent_at,
            due_at: Some(sent_at + remaining),
        }
    }

    /// Records that the response has begun.
    pub(super) fn note_response(&mut self) {
        self.due_at = None;
    }

    /// Records that the endpoint failed the request.
    pub(super) fn fail(&mut self) {
        self.due_at = None;
        self.health.record(&self.endpoint, Outcome::Failed);
    }

    /// Records a complete response; the pace that the endpoint tells is not held against it, since
    /// placement takes it into account.
    pub(super) fn complete(&mut self, load: Option<LoadReport>) {
        let pace = load.and_then(|l| l.pace).map_or(1.0, |p| p.factor());
        let elapsed_ms = self.sent_at.elapsed().as_secs_f64() * 1_000.0 / pace;
        let timing = self
            .route
            .as_deref()
            .map(|route| Timing { route, elapsed_ms });
        self.health
            .record(&self.endpoint, Outcome::Completed(timing));
    }
}

impl Drop for Attempt {
    /// A request that got no response until its deadline has failed; one that was given up before
    /// says nothing of the endpoint.
    fn drop(&mut self) {
        if self.due_at.is_some_and(|due_at| due_at <= Instant::now()) {
            self.fail();
        }
    }
}
