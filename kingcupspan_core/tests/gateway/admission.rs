//! Programs that begin while engines are overloaded.

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
        slots: 6,
        state: State::Ready,
        started_at_ms: 1,
    };
    Candidate {
        endpoint: Arc::new(endpoint),
        load: Load {
            in_flight: 0,
            reported,
            is_failing: false,
        },
    }
}

#[test]
fn pressure_is_work_for_each_slot_of_the_engines_that_told_theirs() {
    assert_eq!(admission::utilization(&[engine(None)]), None);
    let engines = [engine(Some(9)), engine(Some(3)), engine(None)];
    assert_eq!(admission::utilization(&engines), Some(1.0));
}

#[test]
fn a_program_begins_while_slots_are_free() {
    for rank in 0..3 {
        assert!(admission::should_admit(0.6, rank, 0.0));
    }
}

#[test]
fn in_a_burst_lower_ranks_are_refused_first_and_in_the_end_all() {
    let share = |utilization: f64, rank| {
        let draws = (0..100).map(|i| f64::from(i) / 100.0);
        draws
            .filter(|d| admission::should_admit(utilization, rank, *d))
            .count()
    };
    assert_eq!(share(0.95, 0), 100);
    assert!((40..60).contains(&share(0.95, 1)), "{}", share(0.95, 1));
    assert_eq!(share(1.3, 1), 0);
    assert_eq!(share(1.6, 0), 0);
}

#[test]
fn those_that_are_refused_come_back_spread_out() {
    let times: Vec<u128> = [0.0, 0.5, 0.99]
        .map(|draw| admission::retry_after(draw).as_millis())
        .to_vec();
    assert_eq!(times, [300, 600, 894]);
}
