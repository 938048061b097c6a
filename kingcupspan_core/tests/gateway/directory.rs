//! Listed endpoints around an outage of the store.

use kingcupspan_core::{
    gateway::endpoint::{Directory, Endpoint, State},
    id::MonoMs,
};

fn endpoint(id: &str, state: State) -> Endpoint {
    Endpoint {
        id: id.into(),
        service: "s".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: "d".into(),
        slots: 4,
        state,
        started_at_ms: 1,
    }
}

fn ready(directory: &Directory, now: u64) -> Vec<String> {
    let ready = directory.ready(&"s".into(), MonoMs(now));
    ready.iter().map(|e| e.id.to_string()).collect()
}

#[test]
fn an_endpoint_that_leaves_gets_no_more_requests() {
    let mut directory = Directory::default();
    directory.insert(endpoint("a", State::Ready));
    directory.insert(endpoint("b", State::Ready));
    directory.insert(endpoint("b", State::Draining));
    assert_eq!(ready(&directory, 0), ["a"]);
    directory.remove(&"a".into(), MonoMs(0));
    assert_eq!(ready(&directory, 0), [""; 0]);
}

#[test]
fn entries_that_lapsed_in_an_outage_hold_for_a_little_longer() {
    let mut directory = Directory::default();
    directory.insert(endpoint("a", State::Ready));
    directory.insert(endpoint("b", State::Ready));
    directory.note_store_recovery(MonoMs(0), MonoMs(1_000));
    directory.remove(&"a".into(), MonoMs(1_100));
    directory.replace(vec![], MonoMs(1_200));
    assert_eq!(ready(&directory, 3_000), ["a", "b"]);
    directory.insert(endpoint("b", State::Ready));
    assert_eq!(ready(&directory, 3_300), ["b"]);
}

#[test]
fn a_listing_takes_out_what_it_lacks() {
    let mut directory = Directory::default();
    directory.insert(endpoint("a", State::Ready));
    directory.replace(vec![endpoint("b", State::Ready)], MonoMs(9_000));
    assert_eq!(ready(&directory, 9_000), ["b"]);
    assert!(!directory.is_ready(&"a".into(), MonoMs(9_000)));
}

#[test]
fn one_failed_read_gives_no_entry_more_time() {
    let mut directory = Directory::default();
    directory.insert(endpoint("a", State::Ready));
    directory.note_store_recovery(MonoMs(4_400), MonoMs(5_000));
    directory.remove(&"a".into(), MonoMs(5_000));
    assert_eq!(ready(&directory, 5_000), [""; 0]);
}
