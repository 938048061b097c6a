//! Placement of calls on endpoints, by default on the endpoint with the lowest
//! estimated cost in seconds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    fair,
    id::{EndpointId, MonoMs},
};

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Prompt tokens per second assumed for an engine without samples.
const PROMPT_RATE_DEFAULT: f64 = 5_000.0;

/// Decoded tokens per second and stream assumed for an engine without samples.
const DECODE_RATE_DEFAULT: f64 = 50.0;

/// Backoff after the first failed connection, in milliseconds.
const BACKOFF_MIN_MS: u64 = 500;

/// Maximum backoff after failed connections, in milliseconds.
const BACKOFF_MAX_MS: u64 = 8_000;

/// Placement policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Endpoints are used in turn.
    RoundRobin,

    /// The endpoint with the fewest calls is used.
    LeastLoaded,

    /// The endpoint of the program's last call is used.
    Sticky,

    /// The endpoint with the lowest estimated cost is used: waiting time,
    /// compute time, a weighted penalty for prompt tokens that are not in its
    /// cache, and distance (see [`Candidate::cost_s`]).
    #[default]
    Cost,
}

/// Health and load of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// Moving average of prompt tokens per second.
    pub prompt_rate: f64,

    /// Moving average of decoded tokens per second of one stream.
    pub decode_rate: f64,

    /// Number of consecutive failed connections.
    pub failures: u32,

    /// Time until which the endpoint is avoided after failed connections.
    pub down_until: MonoMs,

    /// Load last reported by the endpoint's home, the daemon that runs its
    /// queue.
    pub load: fair::Load,

    /// Number of calls placed since the load was last reported.
    pub placed_since: u64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            prompt_rate: PROMPT_RATE_DEFAULT,
            decode_rate: DECODE_RATE_DEFAULT,
            failures: 0,
            down_until: MonoMs(0),
            load: fair::Load::default(),
            placed_since: 0,
        }
    }
}

impl Health {
    /// Records a failed connection to the endpoint.
    pub fn record_failure(&mut self, now: MonoMs) {
        let backoff_ms = BACKOFF_MIN_MS << self.failures.min(10);
        self.failures += 1;
        self.down_until = MonoMs(now.0 + backoff_ms.min(BACKOFF_MAX_MS));
    }

    /// Records a complete answer and the rates measured for it.
    pub fn record_success(&mut self, prompt_rate: Option<f64>, decode_rate: Option<f64>) {
        self.failures = 0;
        self.down_until = MonoMs(0);
        if let Some(rate) = prompt_rate {
            self.prompt_rate += (rate - self.prompt_rate) * SAMPLE_WEIGHT;
        }
        if let Some(rate) = decode_rate {
            self.decode_rate += (rate - self.decode_rate) * SAMPLE_WEIGHT;
        }
    }

    /// Replaces the load by a newly reported one.
    pub fn update_load(&mut self, load: fair::Load) {
        self.load = load;
        self.placed_since = 0;
    }

    /// Returns the number of calls in flight, waiting or recently placed.
    fn queued(&self) -> u64 {
        self.load.in_flight + self.load.waiting + self.placed_since
    }

    /// Estimates the seconds until a new call would start.
    fn wait_s(&self, mean_call_s: f64) -> f64 {
        let limit = self.load.limit.max(1) as f64;
        let ahead = (self.queued() as f64 + 1.0 - limit).max(0.0);
        ahead * mean_call_s / limit
    }
}

/// Expected work of a call, for placement.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallProfile {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,

    /// Expected number of decoded tokens.
    pub decode_tokens: u64,

    /// Expected number of prompt tokens in the cache of each endpoint.
    pub cached: BTreeMap<EndpointId, u64>,

    /// Endpoint of the program's last call.
    pub last: Option<EndpointId>,

    /// Weight of one second of recomputation relative to one second of latency.
    pub cache_weight: f64,
}

/// Endpoint that could serve a call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Identifier of the endpoint.
    pub endpoint: &'a EndpointId,

    /// Health and load of the endpoint.
    pub health: &'a Health,

    /// Cost added for the distance to the endpoint, in seconds.
    pub distance_s: f64,
}

impl Candidate<'_> {
    /// Estimates the cost of a call at this endpoint, in seconds.
    pub fn cost_s(&self, call: &CallProfile) -> f64 {
        let cached = call.cached.get(self.endpoint).copied().unwrap_or(0);
        let uncached = call.prompt_tokens.saturating_sub(cached) as f64;
        let compute_s = uncached / self.health.prompt_rate.max(1.0);
        let decode_s = call.decode_tokens as f64 / self.health.decode_rate.max(0.1);
        let wait_s = self.health.wait_s(compute_s + decode_s);
        wait_s + compute_s * (1.0 + call.cache_weight) + decode_s + self.distance_s
    }
}

/// Chooses an endpoint among `candidates`. Endpoints in backoff are left out
/// unless all of them are.
pub fn choose<'a>(
    policy: Policy,
    candidates: &[Candidate<'a>],
    call: &CallProfile,
    round_robin_index: u64,
    now: MonoMs,
) -> Option<&'a EndpointId> {
    let available: Vec<Candidate<'a>> = candidates
        .iter()
        .filter(|c| c.health.down_until <= now)
        .copied()
        .collect();
    let candidates = match available.is_empty() {
        true => candidates,
        false => &available,
    };
    let chosen = match policy {
        Policy::RoundRobin => candidates.get(round_robin_index as usize % candidates.len().max(1)),
        Policy::LeastLoaded => candidates.iter().min_by_key(|c| c.health.queued()),
        Policy::Sticky => {
            let last = candidates
                .iter()
                .find(|c| Some(c.endpoint) == call.last.as_ref());
            last.or_else(|| candidates.get(round_robin_index as usize % candidates.len().max(1)))
        }
        Policy::Cost => candidates
            .iter()
            .min_by(|a, b| a.cost_s(call).total_cmp(&b.cost_s(call))),
    };
    chosen.map(|c| c.endpoint)
}
