//! Tests of the time for which requests wait for a token.

use std::time::Duration;

use kingcupspan_core::gateway::quota;

/// Target latency of a route.
const TARGET: Duration = Duration::from_millis(200);

/// Time that the caller waits.
const REMAINING: Duration = Duration::from_millis(3_000);

// Guards against a flood whose requests all wait: a workspace that uses its whole rate.
#[test]
fn requests_of_a_flood_do_not_wait() {
    for share in [0.95, 1.0, 7.5] {
        let max_wait = quota::max_wait(Some(share), TARGET, REMAINING);
        assert_eq!(max_wait, Duration::ZERO, "{share}");
    }
}

// Guards against refusals of a workspace below its limit that sends several requests at once.
#[test]
fn requests_of_a_burst_wait_as_long_as_they_are_not_late() {
    for share in [None, Some(0.0), Some(0.6)] {
        assert_eq!(quota::max_wait(share, TARGET, REMAINING), TARGET);
    }
    let little_time = Duration::from_millis(400);
    assert_eq!(
        quota::max_wait(None, TARGET, little_time),
        Duration::from_millis(100)
    );
}
