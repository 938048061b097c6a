//! When turns may be dropped from the store, and when they are stored anew.

use std::time::Duration;

use kingcupspan_core::{
    gateway::expiry::TurnExpiry,
    id::{MonoMs, WallMs},
};

const KEEP: Duration = Duration::from_secs(60);

/// Wall clock at steady time 0, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;

fn at(ms: u64) -> (MonoMs, WallMs) {
    (MonoMs(ms), WallMs(EPOCH + ms))
}

#[test]
fn a_turn_is_due_by_its_own_age_whoever_reads_it_when() {
    let (mut writer, mut reader) = (TurnExpiry::default(), TurnExpiry::default());
    writer.record("k", KEEP, WallMs(EPOCH), at(0));
    reader.record("k", KEEP, WallMs(EPOCH), at(500_000));
    for expiry in [&writer, &reader] {
        assert_eq!(expiry.due(MonoMs(659_000), 9), Vec::<String>::new());
        assert_eq!(expiry.due(MonoMs(660_000), 9), ["k"]);
    }
    writer.remove("k");
    assert_eq!(writer.due(MonoMs(660_000), 9), Vec::<String>::new());
}

#[test]
fn a_chain_that_goes_on_is_renewed_long_before_it_is_due() {
    let mut expiry = TurnExpiry::default();
    expiry.record("k", KEEP, WallMs(EPOCH), at(0));
    assert!(!expiry.needs_renewal("k", KEEP, MonoMs(200_000)));
    assert!(expiry.needs_renewal("k", KEEP, MonoMs(301_000)));
    expiry.record("k", KEEP, at(301_000).1, at(301_000));
    assert!(!expiry.needs_renewal("k", KEEP, MonoMs(400_000)));
    assert_eq!(expiry.due(MonoMs(660_000), 9), Vec::<String>::new());
    // An older record that is read later changes nothing.
    expiry.record("k", KEEP, WallMs(EPOCH), at(302_000));
    assert_eq!(expiry.due(MonoMs(960_000), 9), Vec::<String>::new());
}

#[test]
fn a_clock_that_is_ahead_drops_nothing_at_once() {
    let mut expiry = TurnExpiry::default();
    expiry.record("k", KEEP, WallMs(EPOCH + 9_000), at(0));
    assert_eq!(expiry.due(MonoMs(650_000), 9), Vec::<String>::new());
}
