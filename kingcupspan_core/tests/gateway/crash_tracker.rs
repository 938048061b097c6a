//! Blocking of requests that crash endpoints.

use kingcupspan_core::{
    gateway::crash_tracker::{Crash, CrashTracker, Fingerprint},
    id::MonoMs,
};

fn crash(request: Fingerprint, endpoint: &str, attempt: &str) -> Crash {
    Crash {
        request,
        endpoint: endpoint.into(),
        attempt: attempt.into(),
    }
}

#[test]
fn third_crash_blocks_a_request() {
    let crashing = Fingerprint::of("POST", "/a", b"x");
    let other = Fingerprint::of("POST", "/a", b"y");
    let mut tracker = CrashTracker::default();
    for (endpoint, attempt) in [("e", "1"), ("e", "1"), ("f", "1")] {
        tracker.record(crash(crashing, endpoint, attempt), MonoMs(0));
    }
    assert!(
        !tracker.is_blocked(crashing),
        "a crash reported twice counts once"
    );
    tracker.record(crash(crashing, "e", "2"), MonoMs(1_000));
    assert!(tracker.is_blocked(crashing));
    assert!(!tracker.is_blocked(other));
}

#[test]
fn requests_without_recent_crashes_are_unblocked() {
    let crashing = Fingerprint::of("GET", "/a", b"");
    let mut tracker = CrashTracker::default();
    for attempt in ["1", "2", "3"] {
        tracker.record(crash(crashing, "e", attempt), MonoMs(60_000));
    }
    tracker.expire(MonoMs(170_000));
    assert!(tracker.is_blocked(crashing));
    tracker.expire(MonoMs(180_000));
    assert!(!tracker.is_blocked(crashing) && tracker.is_empty());
}
