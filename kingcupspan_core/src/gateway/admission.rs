//! Admission control for new programs while the engines are overloaded.
//!
//! Engines serve their queues first come, first served, and cache the prompts of
//! running programs. During a burst above the capacity of all engines, each further
//! program slows down all others and evicts their cached prompts, which are then
//! computed again, until no program finishes in time, even long after the burst.
//! Running programs therefore continue, and new ones are refused at once with a
//! time after which to retry; programs of a lower rank are refused earlier. The
//! refused share grows with the utilization, so that daemons that see the same load
//! do not all switch at the same moment.

use std::time::Duration;

use crate::gateway::placement::Candidate;

/// Utilization above which some programs of the highest rank are refused.
pub(super) const HIGHEST_RANK_UTILIZATION: f64 = 1.0;

/// Utilization above which some programs of all other ranks are refused.
pub(super) const OTHER_RANKS_UTILIZATION: f64 = 0.7;

/// Increase in utilization over which the refused share grows from none to all.
pub(super) const REFUSAL_RANGE_UTILIZATION: f64 = 0.5;

/// Shortest time after which a refused program should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Interval over which the retries of refused programs are spread.
const RETRY_SPREAD: Duration = Duration::from_millis(600);

/// Returns the requests per slot, running and waiting, of the engines whose load is
/// known.
///
/// The value is 1 if all slots are taken and nothing waits, and `None` if no load is
/// known.
pub fn utilization(engines: &[Candidate]) -> Option<f64> {
    let known = engines.iter().filter(|c| c.load.reported.is_some());
    let (requests, slots) = known.fold((0.0, 0.0), |(requests, slots), c| {
        (
            requests + f64::from(c.load.estimate()),
            slots + f64::from(c.slots()),
        )
    });
    (slots > 0.0).then(|| requests / slots)
}

/// Whether programs of every rank and workspace may begin.
pub fn has_room(utilization: f64) -> bool {
    utilization <= OTHER_RANKS_UTILIZATION
}

/// Whether a new program of the given rank (0 is the highest) may begin.
///
/// `draw` is a random number, uniformly distributed in 0..1.
pub fn should_admit(utilization: f64, rank: u32, draw: f64) -> bool {
    draw >= refused_share(utilization, rank)
}

/// Part of the programs of a rank that is refused; below 0 or above 1 if all begin or none does.
pub fn refused_share(utilization: f64, rank: u32) -> f64 {
    let threshold = match rank {
        0 => HIGHEST_RANK_UTILIZATION,
        _ => OTHER_RANKS_UTILIZATION,
    };
    (utilization - threshold) / REFUSAL_RANGE_UTILIZATION
}

/// Returns the time after which a refused program should retry.
///
/// `draw` is a random number, uniformly distributed in 0..1.
pub fn retry_after(draw: f64) -> Duration {
    MIN_RETRY_AFTER + RETRY_SPREAD.mul_f64(draw)
}
