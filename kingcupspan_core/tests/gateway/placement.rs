//! Which endpoint takes a request.

use std::sync::Arc;

use kingcupspan_core::gateway::{
    endpoint::{Endpoint, State},
    placement::{self, Candidate, Load},
};

fn candidate(id: &str, domain: &str, load: Load) -> Candidate {
    let endpoint = Arc::new(Endpoint {
        id: id.into(),
        service: "s".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: domain.to_owned(),
        slots: 4,
        state: State::Ready,
        started_at_ms: 1,
    });
    Candidate { endpoint, load }
}

fn busy(in_flight: u32) -> Load {
    Load {
        in_flight,
        ..Load::default()
    }
}

const FAILING: Load = Load {
    in_flight: 0,
    reported: None,
    is_failing: true,
};

#[test]
fn turns_of_a_program_find_the_same_engine() {
    let all: Vec<Candidate> = ["a", "b", "c", "d"]
        .iter()
        .map(|id| candidate(id, "x", busy(0)))
        .collect();
    let first = placement::choose_engine(&all, "program", None, &[]).unwrap();
    let id = all[first].endpoint.id.clone();
    let rest: Vec<Candidate> = all.iter().rev().cloned().collect();
    let again = placement::choose_engine(&rest, "program", None, &[]).unwrap();
    assert_eq!(rest[again].endpoint.id, id);
    let other = placement::choose_engine(&all, "program", None, std::slice::from_ref(&id)).unwrap();
    assert_ne!(all[other].endpoint.id, id);
}

#[test]
fn a_burst_of_programs_does_not_fill_an_engine_while_another_is_half_empty() {
    // 64 programs begin at once on 16 engines of 4 slots.
    let mut load = [0; 16];
    for program in 0..64 {
        let key = format!("program {program}");
        let chosen = placement::choose_engine(&engines(load), &key, None, &[]).unwrap();
        let has_relief = load.iter().any(|l| *l <= 2);
        assert!(load[chosen] < 4 || !has_relief, "{load:?}");
        load[chosen] += 1;
    }
}

#[test]
fn a_program_leaves_its_engine_only_when_much_waits_there_and_another_has_far_less() {
    let last = Some("3".into());
    let choose = |load| placement::choose_engine(&engines(load), "p", last.as_ref(), &[]);
    assert_eq!(choose([0, 0, 0, 3]), Some(3));
    assert_eq!(choose([0, 0, 0, 5]), Some(3), "little waits");
    assert_eq!(choose([5, 5, 5, 8]), Some(3), "others have hardly less");
    assert_eq!(choose([4, 2, 4, 8]), Some(1));
}

#[test]
fn programs_begin_in_their_order_and_leave_out_engines_with_more_than_their_share() {
    let order = |load| placement::choose_engine(&told([load; 8]), "p", None, &[]).unwrap();
    let first = order(2);
    assert_eq!(first, order(3), "the order is that of the key");
    let mut load = [3; 8];
    load[first] = 6;
    let second = placement::choose_engine(&told(load), "p", None, &[]).unwrap();
    assert_ne!(second, first);
    load[first] = 3;
    assert_eq!(
        placement::choose_engine(&told(load), "p", None, &[]),
        Some(first)
    );
}

#[test]
fn an_engine_that_says_nothing_is_no_idle_one() {
    // The program's engine is crowded and nothing is known of another one.
    let mut all = told([6, 4, 4, 4]);
    all.push(candidate("silent", "x", busy(0)));
    let last = Some("0".into());
    let chosen = placement::choose_engine(&all, "p", last.as_ref(), &[]);
    assert_eq!(chosen, Some(0), "none is known to have far less to do");
}

/// Engines that have told their load.
fn told<const N: usize>(load: [u32; N]) -> Vec<Candidate> {
    let mut engines = engines(load);
    for engine in &mut engines {
        engine.load.reported = Some(engine.load.in_flight);
    }
    engines
}

fn engines<const N: usize>(load: [u32; N]) -> Vec<Candidate> {
    let candidates = load.iter().enumerate();
    candidates
        .map(|(i, own)| candidate(&i.to_string(), "x", busy(*own)))
        .collect()
}

#[test]
fn failing_endpoints_are_avoided_while_others_stand() {
    let all = [candidate("a", "x", FAILING), candidate("b", "y", busy(3))];
    assert_eq!(
        placement::choose_service_endpoint(&all, "x", 0, &[]),
        Some(1)
    );
    assert_eq!(
        placement::choose_engine(&all, "program", None, &[]),
        Some(1)
    );
    let down = [candidate("a", "x", FAILING)];
    assert_eq!(
        placement::choose_service_endpoint(&down, "x", 0, &[]),
        Some(0)
    );
}

#[test]
fn a_plain_call_stays_near_while_a_near_copy_has_a_free_slot() {
    let all = [
        candidate("a", "far", busy(0)),
        candidate("b", "near", busy(1)),
        candidate("c", "near", busy(3)),
    ];
    assert_eq!(
        placement::choose_service_endpoint(&all, "near", 0, &[]),
        Some(1)
    );
    assert_eq!(
        placement::choose_service_endpoint(&all, "near", 5, &["b".into()]),
        Some(2)
    );
    assert_eq!(
        placement::choose_service_endpoint(&[], "near", 0, &[]),
        None
    );
}

#[test]
fn a_burst_of_plain_calls_spreads_over_all_copies() {
    // One failure domain's callers send 20 calls at once: 2 near copies, 2 far ones.
    let mut load = [0; 4];
    for spread in 0..20 {
        let all: Vec<Candidate> = [("a", "near"), ("b", "near"), ("c", "far"), ("d", "far")]
            .iter()
            .zip(load)
            .map(|((id, domain), own)| candidate(id, domain, busy(own)))
            .collect();
        let chosen = placement::choose_service_endpoint(&all, "near", spread, &[]).unwrap();
        load[chosen] += 1;
    }
    assert_eq!(load, [5, 5, 5, 5]);
}
