//! Requests that crash endpoints.

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
fn the_third_crash_bars_a_request() {
    let bad = Fingerprint::of("POST", "/a", b"x");
    let other = Fingerprint::of("POST", "/a", b"y");
    let mut tracker = CrashTracker::default();
    for (endpoint, attempt) in [("e", "1"), ("e", "1"), ("f", "1")] {
        tracker.record(crash(bad, endpoint, attempt), MonoMs(0));
    }
    assert!(!tracker.is_blocked(bad), "one crash was told twice");
    tracker.record(crash(bad, "e", "2"), MonoMs(1_000));
    assert!(tracker.is_blocked(bad));
    assert!(!tracker.is_blocked(other));
}

#[test]
fn a_request_is_forgotten_a_while_after_its_last_crash() {
    let bad = Fingerprint::of("GET", "/a", b"");
    let mut tracker = CrashTracker::default();
    for attempt in ["1", "2", "3"] {
        tracker.record(crash(bad, "e", attempt), MonoMs(60_000));
    }
    tracker.expire(MonoMs(170_000));
    assert!(tracker.is_blocked(bad));
    tracker.expire(MonoMs(180_000));
    assert!(!tracker.is_blocked(bad) && tracker.is_empty());
}
