//! Choice of the endpoint that runs a request.

use std::sync::Arc;

use kingcupspan_core::gateway::{
    admission,
    endpoint::{Endpoint, State},
    placement::{self, Candidate, Load},
};

fn candidate(id: &str, domain: &str, load: Load) -> Candidate {
    let endpoint = Arc::new(Endpoint {
        id: id.into(),
        service: "s".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: domain.to_owned(),
        version: "v1".into(),
        slots: 4,
        state: State::Ready,
        started_at_ms: 1,
    });
    Candidate { endpoint, load }
}

/// Returns the load of an endpoint at which this daemon has requests in flight.
fn busy(in_flight: u32) -> Load {
    Load {
        in_flight,
        ..Load::default()
    }
}

/// Load of an endpoint to which connections failed.
const FAILING: Load = Load {
    in_flight: 0,
    reported: None,
    is_failing: true,
    limited_concurrency: None,
};

#[test]
fn engine_choice_does_not_depend_on_the_order_of_candidates() {
    let candidates: Vec<Candidate> = ["a", "b", "c", "d"]
        .iter()
        .map(|id| candidate(id, "x", busy(0)))
        .collect();
    let first = placement::choose_engine(&candidates, "program", None, &[]).unwrap();
    let id = candidates[first].endpoint.id.clone();
    let reversed: Vec<Candidate> = candidates.iter().rev().cloned().collect();
    let again = placement::choose_engine(&reversed, "program", None, &[]).unwrap();
    assert_eq!(reversed[again].endpoint.id, id);
    let other =
        placement::choose_engine(&candidates, "program", None, std::slice::from_ref(&id)).unwrap();
    assert_ne!(candidates[other].endpoint.id, id);
}

#[test]
fn burst_of_programs_fills_no_engine_while_another_is_half_empty() {
    // 64 programs start at once on 16 engines of 4 slots each.
    let mut load = [0; 16];
    for program in 0..64 {
        let key = format!("program {program}");
        let chosen = placement::choose_engine(&engines(load), &key, None, &[]).unwrap();
        let is_any_half_empty = load.iter().any(|l| *l <= 2);
        assert!(load[chosen] < 4 || !is_any_half_empty, "{load:?}");
        load[chosen] += 1;
    }
}

#[test]
fn program_moves_only_from_a_busy_engine_to_a_far_less_utilized_one() {
    let last = Some("3".into());
    let choose = |load| placement::choose_engine(&engines(load), "p", last.as_ref(), &[]);
    assert_eq!(choose([0, 0, 0, 3]), Some(3));
    assert_eq!(choose([0, 0, 0, 5]), Some(3), "few requests are waiting");
    assert_eq!(
        choose([5, 5, 5, 8]),
        Some(3),
        "the other engines are nearly as utilized"
    );
    assert_eq!(choose([4, 2, 4, 8]), Some(1));
}

#[test]
fn new_program_skips_engines_with_above_average_load() {
    let first_of = |load| placement::choose_engine(&reporting([load; 8]), "p", None, &[]).unwrap();
    let first = first_of(2);
    assert_eq!(first, first_of(3), "the order depends only on the key");
    let mut load = [3; 8];
    load[first] = 6;
    let second = placement::choose_engine(&reporting(load), "p", None, &[]).unwrap();
    assert_ne!(second, first);
    load[first] = 3;
    assert_eq!(
        placement::choose_engine(&reporting(load), "p", None, &[]),
        Some(first)
    );
}

#[test]
fn engine_without_a_reported_load_does_not_count_as_idle() {
    // Requests are waiting at the program's engine, and the load of one other engine is
    // unknown.
    let mut candidates = reporting([6, 4, 4, 4]);
    candidates.push(candidate("silent", "x", busy(0)));
    let last = Some("0".into());
    let chosen = placement::choose_engine(&candidates, "p", last.as_ref(), &[]);
    assert_eq!(
        chosen,
        Some(0),
        "no engine is known to be far less utilized"
    );
}

/// Returns engines that have reported their load.
fn reporting<const N: usize>(load: [u32; N]) -> Vec<Candidate> {
    let mut engines = engines(load);
    for engine in &mut engines {
        engine.load.reported = Some(engine.load.in_flight);
    }
    engines
}

/// Returns engines at which this daemon has the given numbers of requests in flight.
fn engines<const N: usize>(load: [u32; N]) -> Vec<Candidate> {
    let candidates = load.iter().enumerate();
    candidates
        .map(|(i, own)| candidate(&i.to_string(), "x", busy(*own)))
        .collect()
}

#[test]
fn failing_endpoints_are_used_only_if_there_are_no_others() {
    let candidates = [candidate("a", "x", FAILING), candidate("b", "y", busy(3))];
    assert_eq!(
        placement::choose_service_endpoint(&candidates, "x", 0, &[]),
        Some(1)
    );
    assert_eq!(
        placement::choose_engine(&candidates, "program", None, &[]),
        Some(1)
    );
    let down = [candidate("a", "x", FAILING)];
    assert_eq!(
        placement::choose_service_endpoint(&down, "x", 0, &[]),
        Some(0)
    );
}

#[test]
fn plain_call_stays_in_its_domain_while_a_slot_is_free_there() {
    let candidates = [
        candidate("a", "far", busy(0)),
        candidate("b", "near", busy(1)),
        candidate("c", "near", busy(3)),
    ];
    assert_eq!(
        placement::choose_service_endpoint(&candidates, "near", 0, &[]),
        Some(1)
    );
    assert_eq!(
        placement::choose_service_endpoint(&candidates, "near", 5, &["b".into()]),
        Some(2)
    );
    assert_eq!(
        placement::choose_service_endpoint(&[], "near", 0, &[]),
        None
    );
}

#[test]
fn burst_of_plain_calls_is_spread_over_all_endpoints() {
    // 20 calls arrive at once in one failure domain; 2 endpoints are in this domain and 2
    // in another.
    let mut load = [0; 4];
    for spread in 0..20 {
        let candidates: Vec<Candidate> = [("a", "near"), ("b", "near"), ("c", "far"), ("d", "far")]
            .iter()
            .zip(load)
            .map(|((id, domain), own)| candidate(id, domain, busy(own)))
            .collect();
        let chosen = placement::choose_service_endpoint(&candidates, "near", spread, &[]).unwrap();
        load[chosen] += 1;
    }
    assert_eq!(load, [5, 5, 5, 5]);
}

// Guards against endpoints whose load or slots are too large to be true.
#[test]
fn numbers_of_any_size_are_compared() {
    let mut candidates = reporting([u32::MAX, 3]);
    candidates[0].load.in_flight = 7;
    let mut huge = (*candidates[1].endpoint).clone();
    huge.slots = u32::MAX;
    candidates[1].endpoint = Arc::new(huge);
    let chosen = placement::choose_engine(&candidates, "program", None, &[]);
    assert_eq!(chosen, Some(1));
    assert_eq!(
        placement::choose_service_endpoint(&candidates, "x", 0, &[]),
        Some(1)
    );
    let huge = Arc::clone(&candidates[1].endpoint);
    candidates[0].endpoint = huge;
    let utilization = admission::utilization(&candidates).expect("the load is known");
    assert!((0.0..1.0).contains(&utilization), "{utilization}");
}

/// Load of an endpoint that runs as many requests at a time under its rate limit.
fn limited(concurrency: f64) -> Load {
    Load {
        limited_concurrency: Some(concurrency),
        ..Load::default()
    }
}

// Guards against programs that begin at an engine with a rate limit as often as elsewhere, and
// then move with all of their prompts.
#[test]
fn programs_begin_at_an_engine_with_a_limit_as_seldom_as_it_needs() {
    let candidates = [
        candidate("a", "x", Load::default()),
        candidate("b", "x", Load::default()),
        candidate("c", "x", limited(0.4)),
    ];
    let first = |n: i32| placement::first_engine(&candidates, &format!("program-{n}")).unwrap();
    let at_limited = (0..4_000).filter(|n| &*first(*n).0 == "c").count();
    // One tenth of its slots, beside two engines without a limit: 1 in 21.
    assert!((130..=250).contains(&at_limited), "{at_limited} of 4000");
    let chosen = |n: i32| {
        let key = format!("program-{n}");
        let chosen = placement::choose_engine(&candidates, &key, None, &[]).unwrap();
        candidates[chosen].endpoint.id.clone()
    };
    assert!((0..200).all(|n| chosen(n) == first(n)));
}

#[test]
fn program_stays_at_its_engine_with_a_limit_whatever_runs_there() {
    let mut busy = limited(0.4);
    busy.reported = Some(4);
    let candidates = [
        candidate("a", "x", Load::default()),
        candidate("c", "x", busy),
    ];
    let chosen = placement::choose_engine(&candidates, "program", Some(&"c".into()), &[]);
    assert_eq!(chosen, Some(1));
}
