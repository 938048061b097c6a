//! Placement by the time at which a request is expected to finish, for services whose endpoints
//! tell how long work takes on their machines.
//!
//! An endpoint's figures lose weight with their age towards the mean of the service. Where no
//! endpoint tells how long work takes, requests are placed by [`placement`] alone.

use std::time::Duration;

use crate::gateway::{
    endpoint::InstanceId,
    load_report::Pace,
    placement::{self, Candidate},
};

/// Age at which a report counts half, the mean of the service the other half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);

/// How much later than elsewhere a request may finish at an endpoint in this failure domain; more
/// than figures of this age differ by themselves.
const CLEARLY_LATER: f64 = 1.5;

/// Part of the usual time of a request below which two finishing times count as equal.
const TIME_STEP: f64 = 0.1;

/// What an endpoint has last reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Number of requests running and waiting, adjusted for the requests that this daemon has
    /// sent since the report.
    pub requests: u32,

    /// Number of slots, if the endpoint tells.
    pub slots: Option<u32>,

    /// How long work takes there, if the endpoint tells.
    pub pace: Option<Pace>,

    /// Time since the report.
    pub age: Duration,
}

impl Observation {
    /// Returns the weight of the report against the mean of the service.
    fn weight(&self) -> f64 {
        (-self.age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// An endpoint that could run the request, and what it has reported.
#[derive(Debug, Clone)]
pub struct Prospect {
    /// The endpoint and its load.
    pub candidate: Candidate,

    /// The last report, if there is one.
    pub observed: Option<Observation>,
}

impl Prospect {
    /// Returns the number of requests that the endpoint runs at a time.
    fn slots(&self) -> f64 {
        let told = self.observed.and_then(|o| o.slots).filter(|s| *s > 0);
        let slots = self.candidate.slots();
        f64::from(told.map_or(slots, |told| told.min(slots)))
    }

    /// Returns the weight of the report and the pace in it.
    fn told_pace(&self) -> Option<(f64, f64)> {
        let observed = self.observed?;
        Some((observed.weight(), observed.pace?.factor()))
    }

    /// Returns the weight of the report and the requests per slot in it.
    fn told_utilization(&self) -> Option<(f64, f64)> {
        let observed = self.observed?;
        let utilization = f64::from(observed.requests) / self.slots();
        Some((observed.weight(), utilization))
    }
}

/// Estimate of an endpoint's state from its report and the mean of the service.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Requests running and waiting for each slot.
    utilization: f64,

    /// Time that work takes as a multiple of the usual time.
    pace: f64,
}

impl Estimate {
    /// Returns the time until one more request finishes, as a multiple of a request's usual time.
    fn finish(&self) -> f64 {
        (1.0 + self.utilization) * self.pace
    }

    /// Returns the finishing time in steps; times in the same step count as equal.
    fn finish_step(&self) -> u64 {
        (self.finish() / TIME_STEP).round() as u64
    }

    /// Whether a slot is free.
    fn has_free_slot(&self, slots: f64) -> bool {
        self.utilization * slots < slots
    }
}

/// Chooses an endpoint of a plain service, one that runs no model, and returns its index.
///
/// It is the endpoint of this daemon's failure domain `domain` at which the request finishes
/// first, as long as it has a free slot and the request does not finish clearly earlier elsewhere;
/// else the one anywhere at which the request finishes first. Endpoints that were not tried and
/// are not failing come first. `spread` selects one of several equally good endpoints.
pub fn choose_service_endpoint(
    prospects: &[Prospect],
    domain: &str,
    spread: u64,
    tried: &[InstanceId],
) -> Option<usize> {
    let Some(estimates) = estimates(prospects) else {
        let candidates = candidates(prospects);
        return placement::choose_service_endpoint(&candidates, domain, spread, tried);
    };
    let class = |i: &usize| {
        let c = &prospects[*i].candidate;
        (tried.contains(&c.endpoint.id), c.load.is_failing)
    };
    let best_class = (0..prospects.len()).map(|i| class(&i)).min()?;
    let is_near = |i: &usize| prospects[*i].candidate.endpoint.domain == domain;
    let rank = |i: &usize| {
        let position = (*i as u64).wrapping_add(spread) % prospects.len() as u64;
        (estimates[*i].finish_step(), !is_near(i), position)
    };
    let usable = (0..prospects.len()).filter(|i| class(i) == best_class);
    let anywhere = usable.clone().min_by_key(rank)?;
    if is_near(&anywhere) {
        return Some(anywhere);
    }
    let near = usable
        .filter(is_near)
        .filter(|i| estimates[*i].has_free_slot(prospects[*i].slots()))
        .min_by_key(rank);
    let latest = estimates[anywhere].finish() * CLEARLY_LATER;
    let is_soon_enough = |i: &usize| estimates[*i].finish() <= latest;
    near.filter(is_soon_enough).or(Some(anywhere))
}

/// Chooses an engine for a request of a program and returns its index, as
/// [`placement::choose_engine`] does, with each engine as utilized as its work takes longer than at
/// the others.
pub fn choose_engine(
    prospects: &[Prospect],
    key: &str,
    last: Option<&InstanceId>,
    tried: &[InstanceId],
) -> Option<usize> {
    let candidates = candidates(prospects);
    let Some(estimates) = estimates(prospects) else {
        return placement::choose_engine(&candidates, key, last, tried);
    };
    let mean = estimates.iter().map(|e| e.pace).sum::<f64>() / estimates.len() as f64;
    let paces: Vec<f64> = estimates.iter().map(|e| e.pace / mean).collect();
    placement::choose_paced_engine(&candidates, &paces, key, last, tried)
}

/// Returns the endpoints without their reports.
fn candidates(prospects: &[Prospect]) -> Vec<Candidate> {
    prospects.iter().map(|p| p.candidate.clone()).collect()
}

/// Estimates the state of each endpoint; `None` if no endpoint tells how long work takes.
fn estimates(prospects: &[Prospect]) -> Option<Vec<Estimate>> {
    let mean_pace = weighted_mean(prospects.iter().filter_map(Prospect::told_pace))?;
    let told = prospects.iter().filter_map(Prospect::told_utilization);
    let mean_utilization = weighted_mean(told)?;
    let estimate = |p: &Prospect| {
        let own = f64::from(p.candidate.load.in_flight) / p.slots();
        Estimate {
            utilization: towards(mean_utilization, p.told_utilization()).max(own),
            pace: towards(mean_pace, p.told_pace()),
        }
    };
    Some(prospects.iter().map(estimate).collect())
}

/// Returns the mean of values with weights; `None` if there are none.
fn weighted_mean(values: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    let (weights, sum) = values.fold((0.0, 0.0), |(weights, sum), (weight, value)| {
        // Reports of any age count where there are no others.
        let weight = weight.max(f64::MIN_POSITIVE);
        (weights + weight, sum + weight * value)
    });
    (weights > 0.0).then(|| sum / weights)
}

/// Returns a value that is told with a weight, with the mean for the rest.
fn towards(mean: f64, told: Option<(f64, f64)>) -> f64 {
    told.map_or(mean, |(weight, value)| mean + weight * (value - mean))
}
