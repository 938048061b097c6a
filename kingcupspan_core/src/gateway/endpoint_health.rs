//! Endpoints that fail a part of their requests or take far longer than their peers.
//!
//! Each daemon judges endpoints by its own requests, against the other endpoints of the service at
//! the same time. An endpoint that does clearly worse gets no requests for a while, then single
//! ones, and all again after some of them went well. Its history counts less the older it is.

use std::collections::HashMap;

use super::{
    endpoint::{Endpoint, InstanceId},
    routing::ServiceName,
};
use crate::id::MonoMs;

/// Time after which an outcome counts half, in milliseconds.
const HISTORY_HALF_LIFE_MS: f64 = 10_000.0;

/// Time without requests after which an endpoint is forgotten, in milliseconds.
const HISTORY_RETENTION_MS: u64 = 60_000;

/// Divisor of the number of a service's endpoints that gives how many get no requests at most; the
/// others must be able to take their load.
const MAX_AVOIDED_DIVISOR: usize = 3;

/// Number of other endpoints with requests below which none is judged.
const MIN_PEERS: usize = 2;

/// Number of requests at the mean of the peers that an endpoint is credited with, so that a few
/// requests do not decide.
const PRIOR_REQUESTS: f64 = 4.0;

/// Number of failures needed: two, of which the older one counts less.
const MIN_FAILURES: f64 = 1.5;

/// Number of completed requests with a known time needed.
const MIN_TIMED: f64 = 2.5;

/// Share of failed requests above that of the peers from which on an endpoint is avoided: with one
/// repetition, callers still lose one request in twenty-five there.
const MAX_EXCESS_FAILURES: f64 = 0.2;

/// Standard deviations by which failures must exceed what the peers' share makes likely.
const FAILURE_DEVIATIONS: f64 = 3.0;

/// Multiple of the peers' time from which on an endpoint is avoided: a request is done sooner if
/// it fails once and is repeated elsewhere.
const SLOW_FACTOR: f64 = 3.0;

/// Largest multiple of the usual time that one request counts as.
const MAX_RELATIVE_TIME: f64 = 10.0;

/// Time for which an endpoint gets no request at first, in milliseconds.
const FIRST_PAUSE_MS: u64 = 1_000;

/// Longest time for which an endpoint gets no request, in milliseconds.
const MAX_PAUSE_MS: u64 = 16_000;

/// Time after which an endpoint that was taken back starts with the first pause again, in
/// milliseconds.
const PAUSE_MEMORY_MS: u64 = 30_000;

/// Number of single requests that must go well in a row before an endpoint gets all again.
const TRIALS: u32 = 3;

/// Outcome of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome<'a> {
    /// The complete response was received; `None` if its time says nothing of the endpoint.
    Completed(Option<Timing<'a>>),

    /// The response says that the endpoint failed, was lost or incomplete, or is no response of
    /// the endpoint.
    Failed,
}

/// Time that a request took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing<'a> {
    /// Name of the request's route; routes have requests of different sizes.
    pub route: &'a str,

    /// Time until the response was complete, in milliseconds, without what the endpoint tells of a
    /// slow machine.
    pub elapsed_ms: f64,
}

/// Why an endpoint is avoided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// This share of its requests failed.
    Failures(f64),

    /// Its requests take this many times as long as those of its peers.
    Slowness(f64),

    /// The single request that it got did not go well either.
    Trial,
}

/// Change in the requests that an endpoint gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It gets no requests for a time, then single ones.
    Avoided {
        /// The reason.
        fault: Fault,

        /// Time until the first single request, in milliseconds.
        pause_ms: u64,
    },

    /// It gets all requests again.
    Restored,
}

/// Sums of recent outcomes, each of which counts less the older it is.
#[derive(Debug, Clone, Copy, Default)]
struct History {
    /// Requests that ended.
    requests: f64,

    /// Requests that failed.
    failures: f64,

    /// Requests whose time is known.
    timed: f64,

    /// Sum of their times, as multiples of their route's usual time.
    relative_times: f64,

    /// Time as of which the sums hold.
    updated_at: MonoMs,
}

impl History {
    /// Returns the sums as of `now`.
    fn at(mut self, now: MonoMs) -> Self {
        let factor = decay(self.updated_at, now);
        self.requests *= factor;
        self.failures *= factor;
        self.timed *= factor;
        self.relative_times *= factor;
        self.updated_at = now;
        self
    }

    /// Returns the mean of the relative times, if one is known.
    fn relative_time(&self) -> Option<f64> {
        (self.timed > 0.0).then(|| self.relative_times / self.timed)
    }
}

/// Time that an endpoint spends without most requests.
#[derive(Debug, Clone, Copy)]
struct Avoidance {
    /// Time from which on it may get a single request.
    next_trial_at: MonoMs,

    /// Time without requests after a failure.
    pause_ms: u64,

    /// Whether a single request was sent whose outcome is not known.
    is_trial_pending: bool,

    /// Single requests that went well in a row.
    successes: u32,
}

/// What is known of an endpoint.
#[derive(Debug, Default)]
struct EndpointRecord {
    history: History,
    avoidance: Option<Avoidance>,

    /// Last pause, and when the endpoint was taken back.
    last_pause: Option<(u64, MonoMs)>,
}

/// Usual time of a route's requests.
#[derive(Debug, Default)]
struct RouteTime {
    sum_ms: f64,
    requests: f64,
    updated_at: MonoMs,
}

impl RouteTime {
    /// Adds a request and returns its time as a multiple of the usual time.
    fn add(&mut self, elapsed_ms: f64, now: MonoMs) -> f64 {
        let factor = decay(self.updated_at, now);
        self.sum_ms = self.sum_ms * factor + elapsed_ms;
        self.requests = self.requests * factor + 1.0;
        self.updated_at = now;
        let usual_ms = self.sum_ms / self.requests;
        (elapsed_ms / usual_ms.max(f64::MIN_POSITIVE)).min(MAX_RELATIVE_TIME)
    }
}

/// What is known of a service.
#[derive(Debug, Default)]
struct ServiceRecord {
    /// Number of endpoints that accept requests.
    listed: usize,

    endpoints: HashMap<InstanceId, EndpointRecord>,
    routes: HashMap<Box<str>, RouteTime>,
}

/// Histories of all endpoints, and which of them are avoided.
#[derive(Debug, Default)]
pub struct HealthTracker {
    services: HashMap<ServiceName, ServiceRecord>,
}

impl HealthTracker {
    /// Sets the number of endpoints of a service that accept requests.
    pub fn set_listed(&mut self, service: &ServiceName, listed: usize) {
        if let Some(record) = self.services.get_mut(service) {
            record.listed = listed;
        }
    }

    /// Records the outcome of a request; returns whether the endpoint is avoided from now on or
    /// no longer.
    pub fn record(
        &mut self,
        endpoint: &Endpoint,
        outcome: Outcome<'_>,
        now: MonoMs,
    ) -> Option<Change> {
        let service = self.services.entry(endpoint.service.clone()).or_default();
        service.add(&endpoint.id, outcome, now);
        let fault = service.fault(&endpoint.id, outcome, now);
        let may_avoid = service.may_avoid_another();
        let record = service.endpoints.get_mut(&endpoint.id)?;
        match (record.avoidance, fault) {
            // Sent before the endpoint was avoided.
            (Some(avoidance), _) if !avoidance.is_trial_pending => None,
            (Some(avoidance), Some(_)) => Some(record.fail_trial(avoidance, now)),
            (Some(avoidance), None) => record.pass_trial(avoidance, now),
            (None, Some(fault)) if may_avoid => Some(record.avoid(fault, now)),
            (None, _) => None,
        }
    }

    /// Whether the endpoint gets no requests but single ones.
    pub fn is_avoided(&self, service: &ServiceName, id: &InstanceId) -> bool {
        let record = self.services.get(service).map(|s| &s.endpoints);
        record
            .and_then(|e| e.get(id))
            .is_some_and(|r| r.avoidance.is_some())
    }

    /// Whether any endpoint of the service is avoided.
    pub fn is_any_avoided(&self, service: &ServiceName) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|s| s.avoided() > 0)
    }

    /// Takes an endpoint among `ids` that should get a single request now. It gets one that cannot
    /// be repeated only if it has waited long for one that can.
    pub fn take_trial<'a>(
        &mut self,
        service: &ServiceName,
        ids: impl Iterator<Item = &'a InstanceId>,
        is_repeatable: bool,
        now: MonoMs,
    ) -> Option<InstanceId> {
        let service = self.services.get_mut(service)?;
        for id in ids {
            let record = service.endpoints.get_mut(id);
            let Some(avoidance) = record.and_then(|r| r.avoidance.as_mut()) else {
                continue;
            };
            let extra_ms = if is_repeatable { 0 } else { avoidance.pause_ms };
            if now.0 >= avoidance.next_trial_at.0 + extra_ms {
                // Another one follows if the outcome never becomes known.
                avoidance.next_trial_at = MonoMs(now.0 + avoidance.pause_ms);
                avoidance.is_trial_pending = true;
                return Some(id.clone());
            }
        }
        None
    }

    /// Forgets endpoints that are not listed or got no requests for long.
    pub fn expire(&mut self, now: MonoMs, is_listed: impl Fn(&InstanceId) -> bool) {
        for service in self.services.values_mut() {
            service.endpoints.retain(|id, record| {
                let age_ms = now.0.saturating_sub(record.history.updated_at.0);
                is_listed(id) && age_ms < HISTORY_RETENTION_MS
            });
            service
                .routes
                .retain(|_, time| now.0.saturating_sub(time.updated_at.0) < HISTORY_RETENTION_MS);
        }
        self.services.retain(|_, s| !s.endpoints.is_empty());
    }
}

impl ServiceRecord {
    /// Adds an outcome to the history of an endpoint.
    fn add(&mut self, id: &InstanceId, outcome: Outcome<'_>, now: MonoMs) {
        let record = self.endpoints.entry(id.clone()).or_default();
        record.history = record.history.at(now);
        let history = &mut record.history;
        history.requests += 1.0;
        match outcome {
            Outcome::Failed => history.failures += 1.0,
            Outcome::Completed(None) => {}
            Outcome::Completed(Some(timing)) => {
                let time = self.routes.entry(timing.route.into()).or_default();
                history.relative_times += time.add(timing.elapsed_ms, now);
                history.timed += 1.0;
            }
        }
    }

    /// Returns what is wrong with an endpoint, if anything is: an avoided one is judged by the last
    /// outcome alone, any other by its history.
    fn fault(&self, id: &InstanceId, outcome: Outcome<'_>, now: MonoMs) -> Option<Fault> {
        let record = self.endpoints.get(id)?;
        let peers = self.endpoints.iter().filter(|(peer, _)| *peer != id);
        let peers: Vec<History> = peers.map(|(_, r)| r.history.at(now)).collect();
        if record.avoidance.is_some() {
            let is_slow = self.is_slow_trial(outcome, &peers);
            return (outcome == Outcome::Failed || is_slow).then_some(Fault::Trial);
        }
        if peers.len() < MIN_PEERS {
            return None;
        }
        let failures = excess_failures(&record.history, &peers);
        let slowness = slowness(&record.history, &peers);
        failures
            .map(Fault::Failures)
            .or(slowness.map(Fault::Slowness))
    }

    /// Whether a single request took far longer than those of the peers.
    fn is_slow_trial(&self, outcome: Outcome<'_>, peers: &[History]) -> bool {
        let Outcome::Completed(Some(timing)) = outcome else {
            return false;
        };
        let Some(usual) = self.routes.get(timing.route) else {
            return false;
        };
        let usual_ms = usual.sum_ms / usual.requests;
        let limit = median_time(peers).map(|median| median * usual_ms * SLOW_FACTOR);
        limit.is_some_and(|limit| timing.elapsed_ms >= limit)
    }

    /// Returns the number of endpoints that are avoided.
    fn avoided(&self) -> usize {
        let records = self.endpoints.values();
        records.filter(|r| r.avoidance.is_some()).count()
    }

    /// Whether the other endpoints can take the load of one more.
    fn may_avoid_another(&self) -> bool {
        self.avoided() < self.listed / MAX_AVOIDED_DIVISOR
    }
}

impl EndpointRecord {
    /// Begins to avoid the endpoint, for longer if it was taken back lately.
    fn avoid(&mut self, fault: Fault, now: MonoMs) -> Change {
        let recent = self
            .last_pause
            .filter(|(_, at)| now.0.saturating_sub(at.0) < PAUSE_MEMORY_MS);
        let pause_ms = recent.map_or(FIRST_PAUSE_MS, |(pause_ms, _)| longer(pause_ms));
        self.pause(fault, pause_ms, now)
    }

    /// Prolongs the pause after a single request that did not go well.
    fn fail_trial(&mut self, avoidance: Avoidance, now: MonoMs) -> Change {
        self.pause(Fault::Trial, longer(avoidance.pause_ms), now)
    }

    /// Begins a pause.
    fn pause(&mut self, fault: Fault, pause_ms: u64, now: MonoMs) -> Change {
        self.avoidance = Some(Avoidance {
            next_trial_at: MonoMs(now.0 + pause_ms),
            pause_ms,
            is_trial_pending: false,
            successes: 0,
        });
        Change::Avoided { fault, pause_ms }
    }

    /// Lets the next single request follow at once, or takes the endpoint back.
    fn pass_trial(&mut self, mut avoidance: Avoidance, now: MonoMs) -> Option<Change> {
        avoidance.successes += 1;
        avoidance.next_trial_at = now;
        avoidance.is_trial_pending = false;
        if avoidance.successes < TRIALS {
            self.avoidance = Some(avoidance);
            return None;
        }
        self.avoidance = None;
        self.last_pause = Some((avoidance.pause_ms, now));
        self.history = History {
            updated_at: now,
            ..History::default()
        };
        Some(Change::Restored)
    }
}

/// Returns the pause after `pause_ms`.
fn longer(pause_ms: u64) -> u64 {
    (pause_ms * 2).min(MAX_PAUSE_MS)
}

/// Returns the share of an endpoint's requests that failed, if it is clearly above that of its
/// peers.
fn excess_failures(history: &History, peers: &[History]) -> Option<f64> {
    let requests: f64 = peers.iter().map(|p| p.requests).sum();
    let failures: f64 = peers.iter().map(|p| p.failures).sum();
    let usual = failures / requests.max(f64::MIN_POSITIVE);
    let expected = history.requests * usual;
    let deviation = (expected * (1.0 - usual)).max(0.0).sqrt();
    let is_unlikely = history.failures >= expected + FAILURE_DEVIATIONS * deviation;
    let credited = history.failures + PRIOR_REQUESTS * usual;
    let share = credited / (history.requests + PRIOR_REQUESTS);
    let is_clear = history.failures >= MIN_FAILURES && share >= usual + MAX_EXCESS_FAILURES;
    (is_unlikely && is_clear).then(|| history.failures / history.requests)
}

/// Returns how many times as long as at its peers requests take at an endpoint, if that is clearly
/// longer.
fn slowness(history: &History, peers: &[History]) -> Option<f64> {
    let median = median_time(peers)?;
    let credited = history.relative_times + PRIOR_REQUESTS * median;
    let time = credited / (history.timed + PRIOR_REQUESTS);
    let is_clear = history.timed >= MIN_TIMED && time >= median * SLOW_FACTOR;
    let relative_time = history.relative_time().filter(|_| is_clear)?;
    Some(relative_time / median)
}

/// Returns the median of the peers' relative times, which a slow third of them does not change
/// much; `None` if too few are known.
fn median_time(peers: &[History]) -> Option<f64> {
    let mut times: Vec<f64> = peers.iter().filter_map(History::relative_time).collect();
    if times.len() < MIN_PEERS {
        return None;
    }
    times.sort_by(f64::total_cmp);
    Some(times[times.len() / 2])
}

/// Returns the part of a sum that counts at `now` of what it was at `since`.
fn decay(since: MonoMs, now: MonoMs) -> f64 {
    let elapsed_ms = now.0.saturating_sub(since.0) as f64;
    (-elapsed_ms / HISTORY_HALF_LIFE_MS).exp2()
}
