//! Which turns start while no daemon reaches the store.
//!
//! The end of a turn's answer waits for the store. A turn that starts in an outage is in vain,
//! with its tokens and its time at the engine, if the outage outlasts its caller; a turn that
//! is refused costs its program one of few attempts. So turns start as long as there is a
//! chance that they end in time, and are refused at once in an outage that goes on and on.

use std::time::Duration;

/// Smallest chance of an answer that ends in time with which a turn starts.
const MIN_CHANCE: f64 = 0.1;

/// Shortest time after which a refused turn should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Divisor of the caller's remaining time up to which a refused turn is told to wait, since
/// callers do not wait for longer.
const REMAINING_TIME_DIVISOR: u32 = 3;

/// Whether a turn starts in an outage that has lasted for `outage`, if its caller waits for
/// `remaining`.
pub fn should_start(outage: Duration, remaining: Duration) -> bool {
    chance_of_return(outage, remaining) >= MIN_CHANCE
}

/// Chance that an outage of unknown length ends within `remaining`: the longer it has lasted,
/// the longer it will.
fn chance_of_return(outage: Duration, remaining: Duration) -> f64 {
    let remaining = remaining.as_secs_f64();
    remaining / (outage.as_secs_f64() + remaining).max(f64::MIN_POSITIVE)
}

/// Time after which a refused turn should retry, as long as callers wait for one.
pub fn retry_after(remaining: Duration) -> Duration {
    (remaining / REMAINING_TIME_DIVISOR).max(MIN_RETRY_AFTER)
}
