//! When turns may be dropped from the store, and when they must be stored again.

use std::time::Duration;

use kingcupspan_core::{
    gateway::expiry::TurnExpiry,
    id::{MonoMs, WallMs},
};

/// Retention of the turns.
const RETENTION: Duration = Duration::from_secs(60);

/// Wall clock time at monotonic time 0, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Returns the time `ms` after the start by the monotonic and the wall clock.
fn at(ms: u64) -> (MonoMs, WallMs) {
    (MonoMs(ms), WallMs(EPOCH_MS + ms))
}

#[test]
fn expiry_depends_on_the_write_time_not_the_read_time() {
    let (mut writer, mut reader) = (TurnExpiry::default(), TurnExpiry::default());
    writer.record("k", RETENTION, WallMs(EPOCH_MS), at(0));
    reader.record("k", RETENTION, WallMs(EPOCH_MS), at(500_000));
    for expiry in [&writer, &reader] {
        assert_eq!(expiry.due(MonoMs(659_000), 9), Vec::<String>::new());
        assert_eq!(expiry.due(MonoMs(660_000), 9), ["k"]);
    }
    writer.remove("k");
    assert_eq!(writer.due(MonoMs(660_000), 9), Vec::<String>::new());
}

#[test]
fn continued_chain_is_renewed_long_before_it_expires() {
    let mut expiry = TurnExpiry::default();
    expiry.record("k", RETENTION, WallMs(EPOCH_MS), at(0));
    assert!(!expiry.needs_renewal("k", RETENTION, MonoMs(200_000)));
    assert!(expiry.needs_renewal("k", RETENTION, MonoMs(301_000)));
    expiry.record("k", RETENTION, at(301_000).1, at(301_000));
    assert!(!expiry.needs_renewal("k", RETENTION, MonoMs(400_000)));
    assert_eq!(expiry.due(MonoMs(660_000), 9), Vec::<String>::new());
    // An older record that is read later does not shorten the lifetime.
    expiry.record("k", RETENTION, WallMs(EPOCH_MS), at(302_000));
    assert_eq!(expiry.due(MonoMs(960_000), 9), Vec::<String>::new());
}

#[test]
fn turn_written_by_a_clock_ahead_does_not_expire_early() {
    let mut expiry = TurnExpiry::default();
    expiry.record("k", RETENTION, WallMs(EPOCH_MS + 9_000), at(0));
    assert_eq!(expiry.due(MonoMs(650_000), 9), Vec::<String>::new());
}
