//! Admission control for new programs while engines are overloaded.

use std::sync::Arc;

use kingcupspan_core::gateway::{
    admission,
    endpoint::{Endpoint, State},
    placement::{Candidate, Load},
};

fn engine(reported: Option<u32>) -> Candidate {
    let endpoint = Endpoint {
        id: "e".into(),
        service: "s".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: "d".into(),
        version: "v1".into(),
        slots: 6,
        state: State::Ready,
        started_at_ms: 1,
    };
    Candidate {
        endpoint: Arc::new(endpoint),
        load: Load {
            reported,
            ..Load::default()
        },
    }
}

#[test]
fn utilization_is_requests_per_slot_of_engines_with_known_load() {
    assert_eq!(admission::utilization(&[engine(None)]), None);
    let engines = [engine(Some(9)), engine(Some(3)), engine(None)];
    assert_eq!(admission::utilization(&engines), Some(1.0));
}

#[test]
fn programs_are_admitted_while_slots_are_free() {
    for rank in 0..3 {
        assert!(admission::should_admit(0.6, rank, 0.0));
    }
}

#[test]
fn overload_refuses_lower_ranks_first_and_finally_all_programs() {
    let admitted = |utilization: f64, rank| {
        let draws = (0..100).map(|i| f64::from(i) / 100.0);
        draws
            .filter(|d| admission::should_admit(utilization, rank, *d))
            .count()
    };
    assert_eq!(admitted(0.95, 0), 100);
    assert!(
        (40..60).contains(&admitted(0.95, 1)),
        "{}",
        admitted(0.95, 1)
    );
    assert_eq!(admitted(1.3, 1), 0);
    assert_eq!(admitted(1.6, 0), 0);
}

#[test]
fn retries_of_refused_programs_are_spread_over_time() {
    let delays_ms: Vec<u128> = [0.0, 0.5, 0.99]
        .map(|draw| admission::retry_after(draw).as_millis())
        .to_vec();
    assert_eq!(delays_ms, [300, 600, 894]);
}
