//! Second copies of requests whose endpoint is slow to answer.

use std::time::Duration;

use kingcupspan_core::gateway::second_copy::{self, CopyPolicy, CopyShare};

fn policy(share: f64) -> CopyPolicy {
    CopyPolicy::new(CopyShare::try_from(share).unwrap())
}

/// Records requests of a route of which one in `slow_every` takes 800 ms and all others 10 ms.
fn record(policy: &mut CopyPolicy, route: &str, requests: usize, slow_every: usize) {
    for i in 1..=requests {
        let ms = if i.is_multiple_of(slow_every) {
            800
        } else {
            10
        };
        policy.record_time(route, Duration::from_millis(ms));
    }
}

/// Returns how many copies are allowed of `requests`, each of which asks for one.
fn copies(policy: &mut CopyPolicy, requests: usize, utilization: f64) -> usize {
    let mut copies = 0;
    for _ in 0..requests {
        policy.note_request(utilization);
        copies += usize::from(policy.take_copy(utilization));
    }
    copies
}

// Guards against a few slow answers that nobody repeats, and copies of all other requests.
#[test]
fn copy_follows_when_most_requests_have_been_answered() {
    let mut policy = policy(0.05);
    record(&mut policy, "r", 100, 50);
    assert_eq!(policy.delay("r"), Some(Duration::from_millis(10)));
    assert_eq!(policy.delay("other"), None);
}

// Guards against a delay from a few requests, which says nothing of the route.
#[test]
fn unknown_route_gets_no_copies() {
    let mut policy = policy(0.05);
    record(&mut policy, "r", 19, 50);
    assert_eq!(policy.delay("r"), None);
}

// Guards against copies of every request once a whole route turns slow.
#[test]
fn delay_follows_the_route() {
    let mut policy = policy(0.05);
    record(&mut policy, "r", 200, 1_000);
    record(&mut policy, "r", 200, 1);
    assert_eq!(policy.delay("r"), Some(Duration::from_millis(800)));
}

// Guards against more extra work than the operator allows, however many requests are slow.
#[test]
fn copies_stay_within_the_share() {
    assert_eq!(copies(&mut policy(0.05), 1_000, 0.3), 50);
    assert_eq!(copies(&mut policy(0.0), 1_000, 0.0), 0);
    assert!(CopyShare::default().is_zero());
}

// Guards against a calm hour whose unused share becomes a burst of copies.
#[test]
fn unused_share_adds_up_to_a_few_copies() {
    let mut policy = policy(0.5);
    (0..1_000).for_each(|_| policy.note_request(0.1));
    let burst = (0..100).filter(|_| policy.take_copy(0.1)).count();
    assert_eq!(burst, 4);
}

// Guards against copies that take slots from requests that wait for one.
#[test]
fn share_falls_with_the_utilization_of_the_service() {
    let at = |utilization| copies(&mut policy(0.125), 1_000, utilization);
    let allowed = [0.0, 0.5, 0.75, 0.875, 1.0, 2.0].map(at);
    insta::assert_compact_debug_snapshot!(allowed, @"[125, 125, 62, 31, 0, 0]");
    let mut saved = policy(0.1);
    (0..100).for_each(|_| saved.note_request(0.1));
    assert!(!saved.take_copy(1.2), "also what was saved before");
}

// Guards against more endpoints than the operator allows for one request.
#[test]
fn copy_counts_among_the_attempts() {
    let allowed = [(0, 1), (0, 2), (1, 2), (1, 3), (2, 3)];
    let allowed = allowed.map(|(sent, max)| second_copy::leaves_room_for_copy(sent, max));
    assert_eq!(allowed, [false, true, false, true, false]);
}

// Guards against memory that grows with each route that was ever used.
#[test]
fn routes_without_requests_are_forgotten() {
    let mut policy = policy(0.05);
    record(&mut policy, "former", 100, 50);
    policy.forget_unused();
    record(&mut policy, "r", 100, 50);
    policy.forget_unused();
    assert_eq!(policy.delay("former"), None);
    assert!(policy.delay("r").is_some());
}

#[test]
fn share_is_a_number_between_0_and_1() {
    let parse = |raw: &str| raw.parse::<CopyShare>().is_ok();
    assert_eq!(["0", "0.05", "1"].map(parse), [true; 3]);
    assert_eq!(["-0.1", "1.01", "NaN", "5%", ""].map(parse), [false; 5]);
}
