//! Scenarios of the load driver, in JSON.

use serde::{Deserialize, Serialize};

/// A scenario.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,

    /// How long programs are started, in seconds.
    pub seconds: f64,

    /// How long after that programs may take to end, in seconds.
    #[serde(default = "default_grace_s")]
    pub grace_s: f64,

    /// Daemons.
    #[serde(default = "default_daemons")]
    pub daemons: usize,

    /// Engines.
    pub engines: usize,

    /// Calls that an engine works on at a time.
    pub batch: usize,

    /// Time per decoded token, in microseconds.
    pub token_us: u64,

    /// Time per computed prompt token, in microseconds.
    pub prompt_token_us: u64,

    /// Tokens that an engine's cache holds.
    pub cache_tokens: u64,

    /// How calls are placed.
    #[serde(default)]
    pub placement: kingcupspan_core::placement::Policy,

    /// How waiting calls are ordered.
    #[serde(default)]
    pub order: kingcupspan_core::fair::Order,

    /// A program that takes longer has not helped anyone, in seconds.
    pub in_time_s: f64,

    /// Who sends what.
    pub callers: Vec<CallerLoad>,
}

/// Load of one caller.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLoad {
    /// Its name.
    pub caller: String,

    /// Its weight.
    pub weight: u64,

    /// Programs started per second.
    pub programs_per_s: f64,

    /// Mean number of turns, geometrically distributed.
    pub turns: f64,

    /// Words of a new message.
    pub prompt_words: usize,

    /// Tokens decoded per turn.
    pub decode_tokens: u64,

    /// Mean pause for a tool between turns, in milliseconds.
    pub pause_ms: f64,

    /// Calls that it may have waiting at an endpoint.
    #[serde(default = "default_waiting")]
    pub waiting_calls: u64,
}

fn default_grace_s() -> f64 {
    20.0
}

fn default_daemons() -> usize {
    3
}

fn default_waiting() -> u64 {
    32
}
