//! Shared calls for allocations: which fleets need them, and how often they are made.
//!
//! A daemon that allocates tokens for itself makes a call for nearly every turn, and another one
//! that settles the allocation, since it rarely has two turns of one partition at a time. In a
//! large fleet these are more calls than the store takes from all daemons together; it rejects
//! some, which are made again, and so rejects more, also long after the load has fallen. There the
//! daemons leave the calls of a partition to one of them, its home, which makes them at a
//! steady pace and with the records of many turns.

use std::time::Duration;

/// Appends a second that a daemon needs if it allocates tokens for itself.
const OWN_APPENDS_PER_S: f64 = 40.0;

/// Part of the store's appends that allocations may take; turns and what must be repeated take the
/// others.
const ALLOCATIONS_SHARE: f64 = 0.4;

/// Longest time between two calls of a home; daemons that ask it wait for little longer.
const MAX_SPACING: Duration = Duration::from_millis(100);

/// Number of daemons that keep up with the records of a partition: its home, and those that take
/// its place.
pub const FOLLOWERS: usize = 3;

/// Whether the daemons of a fleet leave their allocations to homes; `appends_per_s` is what the
/// store takes from all of them, if it names a limit.
pub fn are_used(daemons: usize, appends_per_s: Option<f64>) -> bool {
    appends_per_s.is_some_and(|rate| rate < daemons as f64 * OWN_APPENDS_PER_S)
}

/// Returns the shortest time between two calls of the home of one of `partitions`.
///
/// If the store takes so few appends that this exceeded [`MAX_SPACING`], homes take more than
/// their share of them: otherwise every daemon would give up waiting and make its own calls.
pub fn call_spacing(appends_per_s: f64, partitions: u32) -> Duration {
    let calls_per_s = appends_per_s * ALLOCATIONS_SHARE / f64::from(partitions.max(1));
    let spacing = Duration::try_from_secs_f64(1.0 / calls_per_s).unwrap_or(MAX_SPACING);
    spacing.min(MAX_SPACING)
}
