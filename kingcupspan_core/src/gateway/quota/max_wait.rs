//! How long a request waits for a token of its workspace's quota.
//!
//! The load that this answers: a workspace that is below its limit sends several requests at once,
//! as a program does that starts sub-agents, and its bucket holds too few tokens at that moment. They
//! come within a fraction of a second, so the requests wait for them. A workspace that uses its whole
//! rate is refused at once, since waiting requests would only be joined by more.

use std::time::Duration;

/// Part of its rate that a workspace uses from which on its requests do not wait.
const WHOLE_RATE: f64 = 0.9;

/// Divisor of the time that a caller still waits; a request that waits for longer would be late.
const REMAINING_TIME_DIVISOR: u32 = 4;

/// Longest time for which a request waits for a token.
///
/// `share_used` is the part of its rate that the workspace has used over the last seconds, if that is
/// known.
pub fn max_wait(
    share_used: Option<f64>,
    target_latency: Duration,
    remaining: Duration,
) -> Duration {
    match share_used {
        Some(share) if share >= WHOLE_RATE => Duration::ZERO,
        _ => target_latency.min(remaining / REMAINING_TIME_DIVISOR),
    }
}
