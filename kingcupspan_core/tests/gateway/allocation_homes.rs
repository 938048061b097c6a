//! Tests of the decisions about shared calls for allocations.

use std::time::Duration;

use kingcupspan_core::gateway::allocation_homes;

// Guards against shared calls in fleets whose daemons may make enough calls of their own.
#[test]
fn small_fleets_make_their_own_calls() {
    assert!(!allocation_homes::are_used(12, Some(800.0)));
    assert!(!allocation_homes::are_used(1_500, None));
    assert!(allocation_homes::are_used(60, Some(1_200.0)));
}

// Replays a burst: whatever the number of turns, the homes of all partitions together leave the
// larger part of the store's appends to turns.
#[test]
fn homes_of_all_partitions_leave_the_larger_part_of_the_appends() {
    for (appends_per_s, partitions) in [(800.0, 8), (1_200.0, 8), (1_500.0, 16)] {
        let spacing = allocation_homes::call_spacing(appends_per_s, partitions);
        let calls_per_s = f64::from(partitions) / spacing.as_secs_f64();
        assert!(calls_per_s <= 0.5 * appends_per_s, "{calls_per_s} calls");
        assert!(spacing <= Duration::from_millis(50), "{spacing:?}");
    }
}

// Guards against calls so rare that whoever asks a home has given up before the next one is made.
#[test]
fn calls_are_made_while_the_daemons_that_asked_still_wait() {
    for (appends_per_s, partitions) in [(40.0, 16), (200.0, 64), (1e-9, 1)] {
        let spacing = allocation_homes::call_spacing(appends_per_s, partitions);
        assert!(spacing <= Duration::from_millis(100), "{spacing:?}");
    }
}
