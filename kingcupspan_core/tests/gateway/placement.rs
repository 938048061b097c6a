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
        born: 1,
    });
    Candidate { endpoint, load }
}

fn busy(own: u32) -> Load {
    Load {
        own,
        ..Load::default()
    }
}

const FAILING: Load = Load {
    own: 0,
    told: None,
    failing: true,
};

#[test]
fn turns_of_a_program_find_the_same_engine() {
    let all: Vec<Candidate> = ["a", "b", "c", "d"]
        .iter()
        .map(|id| candidate(id, "x", busy(0)))
        .collect();
    let first = placement::engine(&all, "program", &[]).unwrap();
    let id = all[first].endpoint.id.clone();
    let rest: Vec<Candidate> = all.iter().rev().cloned().collect();
    let again = placement::engine(&rest, "program", &[]).unwrap();
    assert_eq!(rest[again].endpoint.id, id);
    let other = placement::engine(&all, "program", std::slice::from_ref(&id)).unwrap();
    assert_ne!(all[other].endpoint.id, id);
}

#[test]
fn failing_endpoints_are_avoided_while_others_stand() {
    let all = [candidate("a", "x", FAILING), candidate("b", "y", busy(3))];
    assert_eq!(placement::plain(&all, "x", 0, &[]), Some(1));
    assert_eq!(placement::engine(&all, "program", &[]), Some(1));
    let down = [candidate("a", "x", FAILING)];
    assert_eq!(placement::plain(&down, "x", 0, &[]), Some(0));
}

#[test]
fn a_plain_call_goes_to_the_fewest_then_the_nearest() {
    let all = [
        candidate("a", "far", busy(1)),
        candidate("b", "near", busy(1)),
        candidate("c", "near", busy(2)),
    ];
    assert_eq!(placement::plain(&all, "near", 0, &[]), Some(1));
    assert_eq!(placement::plain(&all, "near", 5, &["b".into()]), Some(0));
    assert_eq!(placement::plain(&[], "near", 0, &[]), None);
}
