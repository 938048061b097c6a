//! Choice of the endpoint that runs a request.

use std::sync::Arc;

use crate::{
    gateway::endpoint::{Endpoint, InstanceId},
    rendezvous,
};

/// This daemon's knowledge of an endpoint's load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Number of requests that this daemon has in flight at the endpoint.
    pub in_flight: u32,

    /// Number of requests of all daemons running and waiting at the endpoint: the number
    /// last reported by the endpoint, adjusted for the requests that this daemon has sent
    /// since. `None` if the endpoint has not reported its load recently.
    pub reported: Option<u32>,

    /// Whether connections to the endpoint failed recently, or its requests fail or take long.
    pub is_failing: bool,

    /// Number of requests that the endpoint runs at a time under the rate limit that it has named,
    /// in the mean.
    pub limited_concurrency: Option<f64>,
}

impl Load {
    /// Returns the number of requests known to be running and waiting at the endpoint.
    pub fn estimate(&self) -> u32 {
        self.reported.unwrap_or(0).max(self.in_flight)
    }
}

/// Utilization of an endpoint whose slots are all taken, in percent.
const FULL_PERCENT: u32 = 100;

/// Utilization from which a program may move away from its engine, in percent: half as
/// many requests are waiting there as are running.
const MOVE_THRESHOLD_PERCENT: u32 = 150;

/// An endpoint that could run the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,

    /// Load of the endpoint.
    pub load: Load,
}

impl Candidate {
    /// Whether connections to the endpoint succeed and the request was not tried there;
    /// other endpoints are used only as a last resort.
    fn is_usable(&self, tried: &[InstanceId]) -> bool {
        !tried.contains(&self.endpoint.id) && !self.load.is_failing
    }

    /// Whether the endpoint has named a rate limit.
    pub fn is_limited(&self) -> bool {
        self.load.limited_concurrency.is_some()
    }

    /// Returns the number of requests that the endpoint may run at a time.
    pub fn slots(&self) -> u32 {
        let limited = self.load.limited_concurrency.unwrap_or(f64::MAX).ceil();
        self.endpoint.slots.min(limited as u32).max(1)
    }

    /// Returns the part of the endpoint's slots that its rate limit leaves, at most 1.
    fn share(&self) -> f64 {
        let slots = f64::from(self.endpoint.slots.max(1));
        let limited = self.load.limited_concurrency.unwrap_or(slots);
        (limited / slots).clamp(f64::MIN_POSITIVE, 1.0)
    }

    /// Returns the position of the endpoint in the order of a key, the lowest first.
    ///
    /// The endpoint comes first for as many keys as its share of the slots; without rate limits
    /// this is the rendezvous order.
    fn position(&self, key: &str) -> f64 {
        let weight = rendezvous::weight(key, &self.endpoint.id.0);
        let uniform = (weight as f64 + 1.0) / u64::MAX as f64;
        -uniform.ln() / self.share()
    }

    /// Returns the number of requests known to be running and waiting; an endpoint with a rate
    /// limit has no room to spare, however few there are.
    fn requests(&self) -> u32 {
        match self.is_limited() {
            true => self.load.estimate().max(self.slots()),
            false => self.load.estimate(),
        }
    }

    /// Returns the requests per slot in percent; above 100, requests are waiting.
    fn utilization(&self) -> u32 {
        let percent = u64::from(self.requests()) * 100 / u64::from(self.slots());
        u32::try_from(percent).unwrap_or(u32::MAX)
    }

    /// Returns the utilization in percent of an endpoint whose work takes `pace` times as long as
    /// at the others: its requests, and the one to be placed there, count as that many times more.
    fn paced_utilization(&self, pace: f64) -> u32 {
        let request = f64::from(FULL_PERCENT) / f64::from(self.slots());
        let utilization = f64::from(self.utilization());
        // Without a difference in pace, no request is added or taken away.
        (utilization * pace + request * (pace - 1.0)).max(0.0) as u32
    }

    /// Returns the utilization in percent; an endpoint that has not reported its load
    /// recently counts as at least as utilized as the mean.
    fn utilization_or(&self, mean: u32, pace: f64) -> u32 {
        let utilization = self.paced_utilization(pace);
        match self.load.reported {
            Some(_) => utilization,
            None => utilization.max(mean),
        }
    }
}

/// Chooses an engine for a request of a program and returns its index.
///
/// This is the program's last engine, which has the prompt in its cache, or else the
/// first engine, in the order of the key, whose utilization is at most a
/// quarter above the mean or at most half. If there is none, it is the least utilized
/// engine. All daemons use the same order, in which engines with a rate limit come first as
/// seldom as their limit needs.
///
/// This prevents many programs from hashing to one engine while others are idle, and
/// bursts from overloading some engines. A program moves away from its engine only when
/// many requests are waiting there and another engine is far less utilized, because the
/// other engine has to process the whole prompt again.
pub fn choose_engine(
    candidates: &[Candidate],
    key: &str,
    last: Option<&InstanceId>,
    tried: &[InstanceId],
) -> Option<usize> {
    let paces = vec![1.0; candidates.len()];
    choose_paced_engine(candidates, &paces, key, last, tried)
}

/// Chooses an engine like [`choose_engine`], where the work of each takes `paces` times as long as
/// at the others.
pub fn choose_paced_engine(
    candidates: &[Candidate],
    paces: &[f64],
    key: &str,
    last: Option<&InstanceId>,
    tried: &[InstanceId],
) -> Option<usize> {
    let mean = mean_utilization(candidates, paces);
    let utilization = |i: &usize| candidates[*i].utilization_or(mean, paces[*i]);
    let order = order(candidates, key, |c| c.is_usable(tried));
    let is_last = |i: &usize| last == Some(&candidates[*i].endpoint.id);
    let last_engine = order.iter().copied().find(is_last);
    // Whether a program stays at an engine with a rate limit depends on its limit alone.
    let stays = |i: &usize| candidates[*i].is_limited() || utilization(i) < MOVE_THRESHOLD_PERCENT;
    if let Some(last_engine) = last_engine.filter(stays) {
        return Some(last_engine);
    }
    let max_utilization = mean.saturating_add(mean / 4).max(FULL_PERCENT / 2);
    // Whether an engine with a rate limit has room is known when a place there is asked for.
    let has_room = |i: &usize| candidates[*i].is_limited() || utilization(i) <= max_utilization;
    let with_room = order.iter().copied().find(has_room);
    let other = with_room.or_else(|| order.iter().copied().min_by_key(utilization));
    match (last_engine, other) {
        (Some(last), Some(other)) if utilization(&other) > utilization(&last) / 2 => Some(last),
        (_, Some(other)) => Some(other),
        // No engine is usable; try one anyway, since it may have recovered.
        (_, None) => (0..candidates.len()).max_by_key(|&i| {
            let c = &candidates[i];
            let is_untried = !tried.contains(&c.endpoint.id);
            (is_untried, rendezvous::weight(key, &c.endpoint.id.0))
        }),
    }
}

/// Returns the mean utilization of the engines without a rate limit whose load is known, in
/// percent, or 0 if no load is known.
fn mean_utilization(candidates: &[Candidate], paces: &[f64]) -> u32 {
    let known: Vec<u64> = candidates
        .iter()
        .zip(paces)
        .filter(|(c, _)| c.load.reported.is_some() && !c.is_limited())
        .map(|(c, pace)| u64::from(c.paced_utilization(*pace)))
        .collect();
    let mean = known.iter().sum::<u64>() / known.len().max(1) as u64;
    u32::try_from(mean).unwrap_or(u32::MAX)
}

/// Returns the indices of the candidates that pass `filter` in the order of a key.
fn order(candidates: &[Candidate], key: &str, filter: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    let mut order: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| filter(c))
        .map(|(i, c)| (c.position(key), i))
        .collect();
    order.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    order.into_iter().map(|(_, i)| i).collect()
}

/// Returns the engine that comes first in the order of a key, at which all daemons begin its
/// programs.
pub fn first_engine(candidates: &[Candidate], key: &str) -> Option<InstanceId> {
    let first = order(candidates, key, |_| true).into_iter().next();
    first.map(|i| candidates[i].endpoint.id.clone())
}

/// Chooses an endpoint of a plain service, one that runs no model, and returns its index.
///
/// Endpoints that were not tried and are not failing come first. Of these, it is the
/// endpoint with the fewest requests in this daemon's failure domain `domain` as long as
/// one there has a free slot, or else the least loaded endpoint anywhere. Calls stay in
/// the failure domain because a network partition cannot lose their responses there, and
/// use other domains only when they arrive faster than the endpoints of one domain can
/// run them. `spread` selects one of several equally loaded endpoints.
pub fn choose_service_endpoint(
    candidates: &[Candidate],
    domain: &str,
    spread: u64,
    tried: &[InstanceId],
) -> Option<usize> {
    let n = candidates.len();
    let rank = |i: usize| {
        let c = &candidates[i];
        let tried = tried.contains(&c.endpoint.id);
        let is_other_domain = c.endpoint.domain != domain;
        let requests = c.load.estimate();
        let is_full = requests >= c.slots();
        let position = (i as u64 + spread) % n.max(1) as u64;
        match is_full {
            false => (
                tried,
                c.load.is_failing,
                false,
                is_other_domain,
                requests,
                position,
            ),
            true => (tried, c.load.is_failing, true, false, requests, position),
        }
    };
    (0..n).min_by_key(|&i| rank(i))
}
