//! Model checker for the core protocol specified in docs/SPEC.md.
//!
//! All states within given bounds are explored by breadth-first search over the
//! code of the core itself.

mod bounds;
mod calls;
mod invariants;
mod random;
mod search;
mod step;
mod world;

use bounds::{Bounds, Flaw};

/// Environment variable that enables the exploration with larger bounds.
const LARGE: &str = "KINGCUPSPAN_SPEC_LARGE";

fn assert_holds(name: &str, bounds: &Bounds) {
    let found = search::explore(bounds);
    println!("{name}: {} states, depth {}", found.states, found.depth);
    if let Some(trace) = found.counterexample {
        panic!("{name}: {trace}");
    }
}

fn assert_found(name: &str, flaw: Flaw, bounds: Bounds, invariant: &str) {
    let bounds = Bounds {
        flaw: Some(flaw),
        ..bounds
    };
    let found = search::explore(&bounds);
    println!("{name}: {} states, depth {}", found.states, found.depth);
    let trace = found
        .counterexample
        .expect("the model checker must find the flaw");
    println!("{trace}");
    assert!(
        trace.contains(invariant),
        "{name}: a different invariant was violated: {trace}"
    );
}

#[test]
fn at_most_once_with_lost_appends_and_takeover() {
    assert_holds("takeover", &Bounds::takeover());
}

#[test]
fn at_most_once_with_crash() {
    assert_holds("crash", &Bounds::crash());
}

#[test]
fn order_at_an_endpoint_that_checks_fencing_numbers() {
    assert_holds("fenced endpoint", &Bounds::fenced_endpoint());
}

#[test]
fn budget_of_a_parent_covers_its_children() {
    assert_holds("budget", &Bounds::budget());
}

#[test]
fn readers_start_at_snapshots_after_expiry() {
    assert_holds("expiry", &Bounds::expiry());
}

#[test]
fn peers_store_copies_while_the_log_is_unreachable() {
    assert_holds("outage", &Bounds::outage());
}

#[test]
fn larger_bounds() {
    if std::env::var_os(LARGE).is_none() {
        println!("not run: set {LARGE}=1");
        return;
    }
    assert_holds("takeover, large", &Bounds::takeover().larger());
    assert_holds("crash, large", &Bounds::crash().larger());
    assert_holds("outage, large", &Bounds::outage().larger());
}

#[test]
fn finds_sending_before_the_start_is_on_the_log() {
    let flaw = Flaw::SendBeforeCommit;
    assert_found(
        "send before commit",
        flaw,
        Bounds::takeover(),
        "at most once",
    );
}

#[test]
fn finds_a_restart_of_a_call_that_may_have_been_sent() {
    let flaw = Flaw::RestartOrphanedCall;
    assert_found(
        "restart of orphaned call",
        flaw,
        Bounds::takeover(),
        "at most once",
    );
}

#[test]
fn finds_not_run_reported_on_timeout() {
    let flaw = Flaw::NotRunOnTimeout;
    assert_found(
        "not run on timeout",
        flaw,
        Bounds::takeover(),
        "not run is true",
    );
}

#[test]
fn finds_a_withdrawn_call_that_is_sent() {
    let flaw = Flaw::SendAfterWithdrawal;
    assert_found(
        "send after withdrawal",
        flaw,
        Bounds::takeover(),
        "not run is true",
    );
}

#[test]
fn finds_records_without_fencing() {
    let flaw = Flaw::AcceptStaleRecords;
    assert_found("accept stale records", flaw, Bounds::takeover(), "");
}

#[test]
fn finds_settlement_without_reservation() {
    let flaw = Flaw::NoReservation;
    assert_found("no reservation", flaw, Bounds::budget(), "budget");
}

#[test]
fn finds_an_endpoint_that_ignores_fencing_numbers() {
    let flaw = Flaw::EndpointIgnoresFence;
    assert_found("ignored fence", flaw, Bounds::fenced_endpoint(), "order");
}

#[test]
fn finds_copies_stored_for_a_replaced_owner() {
    let flaw = Flaw::UnsealedCopies;
    assert_found("unsealed copies", flaw, Bounds::outage(), "history is kept");
}
