//! Which programs begin when engines have more work than they can do.
//!
//! Answers a burst above what all engines together can do. Their queues are first
//! come, first served, and their memory holds the prompts of the programs under
//! way: each program more makes all others slower and has their prompts read anew,
//! until none ends in time, long after the burst. So programs under way go on, and
//! those that begin are refused at once and told when to come back; the lower
//! their rank, the earlier. The share that is refused grows with the load, so that
//! daemons that see the same load do not all turn at once.

use std::time::Duration;

use crate::gateway::placement::Candidate;

/// Work for each slot of all engines, running and waiting, above which programs of
/// the highest rank are refused.
const FIRST_RANK_FROM: f64 = 1.0;

/// The same for all other ranks.
const OTHER_RANKS_FROM: f64 = 0.7;

/// How much more work has all programs of a rank refused.
const WIDTH: f64 = 0.5;

/// When the first of those that are refused should come back.
const COME_BACK_FROM: Duration = Duration::from_millis(300);

/// Time over which those that are refused are spread.
const COME_BACK_OVER: Duration = Duration::from_millis(600);

/// Work for each slot of the engines whose load is known: 1 if all slots are taken
/// and nothing waits; none if nothing is known.
pub fn utilization(engines: &[Candidate]) -> Option<f64> {
    let known = engines.iter().filter(|c| c.load.reported.is_some());
    let (work, slots) = known.fold((0, 0), |(work, slots), c| {
        (work + c.load.estimate(), slots + c.endpoint.slots)
    });
    (slots > 0).then(|| f64::from(work) / f64::from(slots))
}

/// Whether a program of a rank (0 is the highest) begins now; `draw` is uniform in 0..1.
pub fn should_admit(utilization: f64, rank: u32, draw: f64) -> bool {
    let from = match rank {
        0 => FIRST_RANK_FROM,
        _ => OTHER_RANKS_FROM,
    };
    let refused = (utilization - from) / WIDTH;
    draw >= refused
}

/// When a program that was refused should come back; `draw` is uniform in 0..1.
pub fn retry_after(draw: f64) -> Duration {
    COME_BACK_FROM + COME_BACK_OVER.mul_f64(draw)
}
