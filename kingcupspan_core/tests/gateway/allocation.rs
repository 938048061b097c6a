//! Allocations as read from the store, and the balance of a program's tokens.

use kingcupspan_core::{
    gateway::{
        allocation::{AllocationId, Allocations, BudgetState, HolderState, TokenBalance},
        call::ProgramKey,
    },
    id::{MonoMs, WallMs},
};

/// Time of the allocations, long after the epoch of the clock.
const NOW: WallMs = WallMs(1_000_000);

fn program() -> ProgramKey {
    ProgramKey::from("p")
}

/// Applies records of a daemon's allocations, each with its time and tokens.
fn apply(allocations: &mut Allocations, daemon: &str, records: &[(WallMs, u64)]) {
    for (made_at, tokens) in records {
        let id = AllocationId {
            daemon: daemon.into(),
            made_at: *made_at,
        };
        allocations.apply(&program(), id, *tokens, MonoMs(1_000));
    }
}

/// Balance of allocations by the state of each daemon.
fn balance(allocations: &Allocations, states: &[(&str, HolderState)]) -> TokenBalance {
    let by_daemon = allocations.by_daemon(&program());
    let mut balance = TokenBalance::default();
    for (daemon, state) in states {
        balance.add(&by_daemon[&(*daemon).into()], *state, NOW);
    }
    balance
}

// Guards against tokens that a call restores which is executed after its allocation was settled.
#[test]
fn settled_allocation_stays_settled_whatever_comes_later() {
    let mut allocations = Allocations::default();
    apply(&mut allocations, "a", &[(NOW, 100), (NOW, 20), (NOW, 100)]);
    assert_eq!(allocations.total_allocated(&program()), 20);
    let mut read_out_of_order = Allocations::default();
    apply(&mut read_out_of_order, "a", &[(NOW, 20), (NOW, 100)]);
    assert_eq!(read_out_of_order.total_allocated(&program()), 20);
}

#[test]
fn programs_without_recent_records_expire() {
    let mut allocations = Allocations::default();
    apply(&mut allocations, "a", &[(NOW, 5)]);
    allocations.expire(|_| MonoMs(1_000));
    assert_eq!(allocations.total_allocated(&program()), 5);
    allocations.expire(|_| MonoMs(1_001));
    assert_eq!(allocations.total_allocated(&program()), 0);
    assert!(!allocations.contains(&program()));
}

#[test]
fn only_turns_in_flight_may_set_tokens_free() {
    let mut allocations = Allocations::default();
    apply(
        &mut allocations,
        "live",
        &[(NOW, 30), (WallMs(999_999), 100)],
    );
    apply(&mut allocations, "killed", &[(NOW, 100)]);
    let states = [
        ("live", HolderState::Reserves(100)),
        ("killed", HolderState::Ended),
    ];
    let balance = balance(&allocations, &states);
    assert_eq!((balance.used, balance.reserved), (130, 100));
    assert!(!balance.is_uncertain);
    assert_eq!(balance.budget_state(200), BudgetState::Undetermined);
    assert_eq!(balance.budget_state(130), BudgetState::Spent);
}

// Guards against turns that wait without end for a daemon that was killed for good and is still
// in the list of daemons.
#[test]
fn allocations_of_a_silent_daemon_count_as_used_once_no_turn_can_have_them() {
    let mut allocations = Allocations::default();
    let old = WallMs(NOW.0 - 15_001);
    let recent = WallMs(NOW.0 - 15_000);
    apply(&mut allocations, "silent", &[(old, 100), (recent, 50)]);
    let silent = balance(&allocations, &[("silent", HolderState::Silent)]);
    assert_eq!((silent.used, silent.reserved), (100, 50));
    assert!(silent.is_uncertain);
    let mut settled = Allocations::default();
    apply(&mut settled, "silent", &[(old, 100)]);
    let ended = balance(&settled, &[("silent", HolderState::Silent)]);
    assert_eq!((ended.used, ended.reserved), (100, 0));
    assert_eq!(ended.budget_state(1_000), BudgetState::Spent);
}
