//! Shares of an endpoint.

use std::collections::BTreeMap;

use kingcupspan_core::{
    fair::{OfferResult, Order, Queue, Request, Ticket},
    id::{CallerId, MonoMs, ProgramId, Slot, VmId, Writer},
};
use proptest::prelude::*;

fn request(number: u64, caller: &str, weight: u64, attained: u64, cost: u64) -> Request {
    let vm: VmId = "entry-0".parse().unwrap();
    Request {
        ticket: Ticket {
            writer: Writer { vm, incarnation: 1 },
            number,
        },
        caller: caller.parse().unwrap(),
        weight,
        root: ProgramId {
            slot: Slot(0),
            nonce: number,
        },
        attained,
        cost,
        waiting_max: 1_000,
        suspect: false,
    }
}

#[test]
fn saturated_callers_get_their_weights() {
    let mut queue = Queue::new(Order::LeastAttained, 1);
    let weights = [("one", 1), ("two", 2), ("four", 4)];
    let mut number = 0;
    let mut served: BTreeMap<CallerId, u64> = BTreeMap::new();
    let mut owners = BTreeMap::new();
    for _ in 0..400 {
        for (caller, weight) in weights {
            number += 1;
            let cost = 50 + number % 90;
            owners.insert(number, (caller, cost));
            queue.offer(request(number, caller, weight, 0, cost), MonoMs(0));
        }
    }
    for at in 0..400 {
        let ticket = queue.grant_next(MonoMs(at)).expect("calls are waiting");
        let (caller, cost) = owners[&ticket.number];
        *served.entry(caller.parse().unwrap()).or_default() += cost;
        queue.release(&ticket, cost);
    }
    let total: u64 = served.values().sum();
    for (caller, weight) in weights {
        let caller: CallerId = caller.parse().unwrap();
        let share = served[&caller] as f64 / total as f64;
        let due = weight as f64 / 7.0;
        assert!(
            (share - due).abs() < 0.05 * due,
            "{caller}: {share} of {due}"
        );
    }
}

#[test]
fn the_cause_of_overload_is_refused_and_others_are_not() {
    let mut queue = Queue::new(Order::LeastAttained, 1);
    for number in 0..100 {
        let mut flood = request(number, "flood", 1, 0, 100);
        flood.waiting_max = 8;
        let offer = queue.offer(flood, MonoMs(number));
        assert_eq!(
            matches!(offer, OfferResult::Refused { .. }),
            number >= 8,
            "{number}"
        );
    }
    assert_eq!(
        queue.offer(request(200, "clerk", 1, 0, 100), MonoMs(100)),
        OfferResult::Waiting
    );
    let first = queue.grant_next(MonoMs(101)).unwrap();
    queue.release(&first, 100);
    let second = queue.grant_next(MonoMs(102)).unwrap();
    let clerks: Vec<u64> = [first.number, second.number].into();
    assert!(
        clerks.contains(&200),
        "the clerk is served among the first two"
    );
}

#[test]
fn program_with_least_service_comes_first_and_waiting_counts() {
    let mut queue = Queue::new(Order::LeastAttained, 1);
    queue.offer(request(1, "clerk", 1, 5_000, 10), MonoMs(0));
    queue.offer(request(2, "clerk", 1, 10, 10), MonoMs(1));
    assert_eq!(queue.grant_next(MonoMs(2)).unwrap().number, 2);
    // A newcomer with little service no longer overtakes after a long wait.
    queue.offer(request(3, "clerk", 1, 0, 10), MonoMs(60_000));
    queue.release(&request(2, "clerk", 1, 0, 0).ticket, 10);
    assert_eq!(queue.grant_next(MonoMs(60_001)).unwrap().number, 1);
}

#[test]
fn suspects_never_run_side_by_side() {
    let mut queue = Queue::new(Order::LeastAttained, 4);
    for number in 1..=2 {
        let mut suspect = request(number, "clerk", 1, 0, 10);
        suspect.suspect = true;
        queue.offer(suspect, MonoMs(0));
    }
    queue.offer(request(3, "clerk", 1, 0, 10), MonoMs(0));
    let first = queue.grant_next(MonoMs(0)).unwrap();
    let second = queue.grant_next(MonoMs(0)).unwrap();
    assert_eq!((first.number, second.number), (1, 3));
    assert_eq!(queue.grant_next(MonoMs(0)), None);
    queue.release(&first, 10);
    assert_eq!(queue.grant_next(MonoMs(0)).unwrap().number, 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Never more in flight than the limit, every call is granted once, nothing stays.
    #[test]
    fn every_call_is_granted_once(
        calls in proptest::collection::vec((0..4_u8, 1..5_u64, 0..900_u64, 1..500_u64), 1..80),
        limit in 1..5_u64,
    ) {
        let mut queue = Queue::new(Order::LeastAttained, limit);
        for (number, (caller, weight, attained, cost)) in calls.iter().enumerate() {
            let caller = format!("caller-{caller}");
            queue.offer(request(number as u64, &caller, *weight, *attained, *cost), MonoMs(0));
        }
        let mut granted = Vec::new();
        let mut in_flight = Vec::new();
        loop {
            while let Some(ticket) = queue.grant_next(MonoMs(1)) {
                granted.push(ticket.number);
                in_flight.push(ticket);
            }
            prop_assert!(queue.load().in_flight <= limit);
            let Some(ended) = in_flight.pop() else { break };
            queue.release(&ended, 7);
        }
        granted.sort_unstable();
        prop_assert_eq!(granted, (0..calls.len() as u64).collect::<Vec<_>>());
        prop_assert_eq!(queue.load().waiting_cost, 0);
    }
}
