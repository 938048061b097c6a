//! Retry budgets and backoff.
//!
//! A caller may retry only a percentage of its calls, so that retries do not
//! amplify an overload. A task that has to go on until it succeeds pauses longer after
//! each failure.

use std::time::Duration;

/// Initial balance, which lets a new caller retry before it has made many
/// calls.
const INITIAL_RETRIES: f64 = 4.0;

/// Maximum balance of a retry budget.
const RETRIES_MAX: f64 = 64.0;

/// Retry budget of one caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    remaining: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            remaining: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt, which adds `percent` hundredths of a retry to
    /// the budget.
    pub fn deposit(&mut self, percent: u64) {
        self.remaining = (self.remaining + percent as f64 / 100.0).min(RETRIES_MAX);
    }

    /// Withdraws one retry and returns true, or returns false if less than one
    /// remains.
    pub fn try_withdraw(&mut self) -> bool {
        if self.remaining < 1.0 {
            return false;
        }
        self.remaining -= 1.0;
        true
    }
}

/// Returns the backoff before a retry in milliseconds, with full jitter;
/// `random` ranges from 0 to 1.
pub fn backoff_ms(attempt: u32, random: f64) -> u64 {
    const INITIAL_MS: f64 = 20.0;
    const MAX_MS: f64 = 2_000.0;
    let ceiling = INITIAL_MS * f64::from(1_u32 << attempt.min(10));
    (ceiling.min(MAX_MS) * random) as u64
}

/// Pauses of a task that repeats a call until it succeeds.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    initial: Duration,
    max: Duration,

    /// Number of failures in a row.
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose pauses double from `initial` up to `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Records a failure and returns the pause after it, between a half and the whole of what
    /// the failures in a row add up to; `random` ranges from 0 to 1.
    pub fn next_pause(&mut self, random: f64) -> Duration {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let ceiling = self.initial.saturating_mul(factor).min(self.max);
        self.failures = self.failures.saturating_add(1);
        ceiling.mul_f64(0.5 + 0.5 * random)
    }

    /// Records a success, after which pauses begin at the shortest one again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
