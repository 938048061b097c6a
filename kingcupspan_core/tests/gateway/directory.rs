//! Directory of endpoints during normal operation and after an outage of the store.

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
        version: "v1".into(),
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
fn draining_and_removed_endpoints_are_not_ready() {
    let mut directory = Directory::default();
    directory.insert(endpoint("a", State::Ready));
    directory.insert(endpoint("b", State::Ready));
    directory.insert(endpoint("b", State::Draining));
    assert_eq!(ready(&directory, 0), ["a"]);
    directory.remove(&"a".into(), MonoMs(0));
    assert_eq!(ready(&directory, 0), [""; 0]);
}

#[test]
fn entries_removed_after_an_outage_stay_usable_for_a_grace_period() {
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
fn full_listing_removes_unlisted_endpoints() {
    let mut directory = Directory::default();
    directory.insert(endpoint("a", State::Ready));
    directory.replace(vec![endpoint("b", State::Ready)], MonoMs(9_000));
    assert_eq!(ready(&directory, 9_000), ["b"]);
    assert!(!directory.is_ready(&"a".into(), MonoMs(9_000)));
}

#[test]
fn single_failed_read_gives_no_grace_period() {
    let mut directory = Directory::default();
    directory.insert(endpoint("a", State::Ready));
    directory.note_store_recovery(MonoMs(4_400), MonoMs(5_000));
    directory.remove(&"a".into(), MonoMs(5_000));
    assert_eq!(ready(&directory, 5_000), [""; 0]);
}

// Guards against requests to an endpoint that has announced its shutdown in a response, also if
// it is listed as ready again.
#[test]
fn leaving_endpoint_is_not_ready_until_it_was_started_again() {
    let mut directory = Directory::default();
    let old = endpoint("a", State::Ready);
    directory.insert(old.clone());
    directory.note_leaving(&old, MonoMs(100));
    assert_eq!(ready(&directory, 100), [""; 0]);
    directory.insert(old.clone());
    directory.replace(vec![old.clone()], MonoMs(9_000_000));
    directory.expire(MonoMs(9_000_000));
    assert_eq!(ready(&directory, 9_000_000), [""; 0]);
    directory.replace(vec![], MonoMs(9_000_100));
    directory.note_leaving(&old, MonoMs(9_000_100));
    directory.expire(MonoMs(9_060_000));
    directory.insert(old);
    assert_eq!(ready(&directory, 9_060_000), [""; 0]);
    let restarted = Endpoint {
        started_at_ms: 2,
        ..endpoint("a", State::Ready)
    };
    directory.insert(restarted);
    assert_eq!(ready(&directory, 9_060_000), ["a"]);
}
