//! Where a call runs: the endpoint with the lowest cost in seconds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    fair,
    id::{EndpointId, MonoMs},
};

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Prompt tokens per second of an engine nobody has measured.
const PROMPT_RATE_DEFAULT: f64 = 5_000.0;

/// Decoded tokens per second of a stream nobody has measured.
const DECODE_RATE_DEFAULT: f64 = 50.0;

/// First pause after a failed connection, in milliseconds.
const DOWN_MIN_MS: u64 = 500;

/// Longest pause after failed connections, in milliseconds.
const DOWN_MAX_MS: u64 = 8_000;

/// How calls are placed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Each endpoint in turn.
    RoundRobin,

    /// The endpoint with the fewest calls.
    LeastLoaded,

    /// The endpoint of the program's last call.
    Sticky,

    /// The lowest sum of waiting, computing and wasted cache.
    #[default]
    Cost,
}

/// What is known of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// Prompt tokens per second, moving average.
    pub prompt_rate: f64,

    /// Decoded tokens per second of one stream, moving average.
    pub decode_rate: f64,

    /// Failed connections in a row.
    pub failures: u32,

    /// No calls before this time.
    pub down_until: MonoMs,

    /// Load as its home last told.
    pub load: fair::Load,

    /// Calls placed since that was told.
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
    /// Notes that the endpoint could not be reached.
    pub fn record_failure(&mut self, now: MonoMs) {
        let pause = DOWN_MIN_MS << self.failures.min(10);
        self.failures += 1;
        self.down_until = MonoMs(now.0 + pause.min(DOWN_MAX_MS));
    }

    /// Notes a whole answer and the rates at which it came.
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

    /// Takes over what the endpoint's home tells.
    pub fn update_load(&mut self, load: fair::Load) {
        self.load = load;
        self.placed_since = 0;
    }

    fn queued(&self) -> u64 {
        self.load.in_flight + self.load.waiting + self.placed_since
    }

    /// Seconds until a new call would start.
    fn wait_s(&self, mean_call_s: f64) -> f64 {
        let limit = self.load.limit.max(1) as f64;
        let ahead = (self.queued() as f64 + 1.0 - limit).max(0.0);
        ahead * mean_call_s / limit
    }
}

/// What a call needs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallProfile {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,

    /// Tokens that it will decode, expected.
    pub decode_tokens: u64,

    /// Tokens of its prompt that each endpoint has cached, expected.
    pub cached: BTreeMap<EndpointId, u64>,

    /// The endpoint of the program's last call.
    pub last: Option<EndpointId>,

    /// How much a second of recomputation weighs against a second of latency.
    pub cache_weight: f64,
}

/// An endpoint that could take the call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its name.
    pub endpoint: &'a EndpointId,

    /// What is known of it.
    pub health: &'a Health,

    /// Extra seconds for its distance.
    pub distance_s: f64,
}

impl Candidate<'_> {
    /// The call's cost there, in seconds.
    pub fn cost_s(&self, need: &CallProfile) -> f64 {
        let cached = need.cached.get(self.endpoint).copied().unwrap_or(0);
        let uncached = need.prompt_tokens.saturating_sub(cached) as f64;
        let compute_s = uncached / self.health.prompt_rate.max(1.0);
        let decode_s = need.decode_tokens as f64 / self.health.decode_rate.max(0.1);
        let wait_s = self.health.wait_s(compute_s + decode_s);
        wait_s + compute_s * (1.0 + need.cache_weight) + decode_s + self.distance_s
    }
}

/// Chooses among `options`; endpoints that look bad are left out unless all do.
pub fn choose<'a>(
    policy: Policy,
    options: &[Candidate<'a>],
    need: &CallProfile,
    round_robin_index: u64,
    now: MonoMs,
) -> Option<&'a EndpointId> {
    let up: Vec<Candidate<'a>> = options
        .iter()
        .filter(|o| o.health.down_until <= now)
        .copied()
        .collect();
    let options = match up.is_empty() {
        true => options,
        false => &up,
    };
    let chosen = match policy {
        Policy::RoundRobin => options.get(round_robin_index as usize % options.len().max(1)),
        Policy::LeastLoaded => options.iter().min_by_key(|o| o.health.queued()),
        Policy::Sticky => {
            let last = options
                .iter()
                .find(|o| Some(o.endpoint) == need.last.as_ref());
            last.or_else(|| options.get(round_robin_index as usize % options.len().max(1)))
        }
        Policy::Cost => options
            .iter()
            .min_by(|a, b| a.cost_s(need).total_cmp(&b.cost_s(need))),
    };
    chosen.map(|o| o.endpoint)
}
