//! Tests of what is known of the version that began a stream.

use std::time::Duration;

use kingcupspan_core::{
    gateway::{
        allocation::AllocationId,
        crash_tracker::Fingerprint,
        stream_origin::{self, Knowledge, Origin, StreamName, StreamOrigins, StreamRecord},
    },
    id::WallMs,
};
use proptest::prelude::*;

const NOW: WallMs = WallMs(1_000_000);

const RETENTION: Duration = Duration::from_millis(120_000);

fn origin(version: &str) -> Origin {
    Origin {
        service: "s".into(),
        version: version.into(),
    }
}

fn content(body: &str) -> Fingerprint {
    Fingerprint::of("POST", "/", body.as_bytes()).in_session(&"p".into(), "s")
}

/// Creates a record of attempt `a` that a daemon has made so many milliseconds ago.
fn record(
    daemon: &str,
    age_ms: u64,
    version: &str,
    replaces_since: Option<u64>,
) -> (AllocationId, StreamRecord) {
    let made_at = |age_ms| WallMs(NOW.0 - age_ms);
    let id = AllocationId {
        daemon: daemon.into(),
        made_at: made_at(age_ms),
    };
    let record = StreamRecord {
        attempt: "a".into(),
        content: content("body"),
        origin: origin(version),
        replaces_since: replaces_since.map(made_at),
        place: 0,
        retention: RETENTION,
    };
    (id, record)
}

fn found(records: &[(AllocationId, StreamRecord)]) -> Knowledge {
    let mut origins = StreamOrigins::default();
    for (id, record) in records {
        origins.insert(id.clone(), record.clone(), NOW);
    }
    origins.find(&StreamName::Attempt("a".into()))
}

#[test]
fn version_of_a_recorded_stream_is_known() {
    assert_eq!(found(&[]), Knowledge::Unknown);
    let first = record("d", 50, "v1", None);
    assert_eq!(
        found(std::slice::from_ref(&first)),
        Knowledge::Known(origin("v1"))
    );
    assert_eq!(
        found(&[first.clone(), first.clone()]),
        Knowledge::Known(origin("v1"))
    );
    let of_other_daemon = record("e", 40, "v1", None);
    assert_eq!(
        found(&[first, of_other_daemon]),
        Knowledge::Known(origin("v1"))
    );
}

// Guards against the version of another caller's stream under the same identifier.
#[test]
fn streams_under_one_identifier_are_ambiguous() {
    let first = record("d", 50, "v1", None);
    for other in [
        record("e", 40, "v2", None),
        record("d", 40, "v2", None),
        // Another daemon, or another attempt of this one, has moved to this version.
        record("e", 40, "v2", Some(45)),
        record("d", 40, "v2", Some(45)),
    ] {
        assert_eq!(found(&[first.clone(), other]), Knowledge::Ambiguous);
    }
}

// Guards against the use of a record of another daemon that may have been replaced since it was read.
#[test]
fn daemon_without_the_store_knows_only_streams_that_it_has_begun() {
    let own = [record("d", 50, "v1", None), record("d", 40, "v2", Some(50))];
    let of_other = record("e", 45, "v2", None);
    let find = |records: &[(AllocationId, StreamRecord)], daemon: &str| {
        let mut origins = StreamOrigins::default();
        for (id, record) in records {
            origins.insert(id.clone(), record.clone(), NOW);
        }
        origins.find_begun_by(&daemon.into(), &"a".into())
    };
    let known = Knowledge::Known(origin("v2"));
    assert_eq!(find(&own, "d"), known);
    assert_eq!(find(&own, "e"), Knowledge::Unknown);
    assert_eq!(find(&[], "d"), Knowledge::Unknown);
    let of_both = [own[0].clone(), of_other];
    assert_eq!(find(&of_both, "d"), Knowledge::Ambiguous);
}

// Guards against the version of another request, or of one of several streams of a request.
#[test]
fn stream_without_a_name_is_known_if_all_of_its_request_agree() {
    let mut origins = StreamOrigins::default();
    let mut insert = |attempt: &str, age_ms, version, body| {
        let (id, mut record) = record("d", age_ms, version, None);
        record.attempt = attempt.into();
        record.content = content(body);
        origins.insert(id, record, NOW);
        let name = |body| StreamName::Content(content(body));
        [origins.find(&name("body")), origins.find(&name("other"))]
    };
    let known = |version| Knowledge::Known(origin(version));
    assert_eq!(
        insert("a", 9, "v1", "body"),
        [known("v1"), Knowledge::Unknown]
    );
    assert_eq!(insert("b", 8, "v2", "other"), [known("v1"), known("v2")]);
    assert_eq!(insert("c", 7, "v1", "body"), [known("v1"), known("v2")]);
    assert_eq!(
        insert("d", 6, "v2", "body"),
        [Knowledge::Ambiguous, known("v2")]
    );
    origins.expire(WallMs(NOW.0 + 120_000));
    assert!(origins.is_empty());
    assert_eq!(
        origins.find(&StreamName::Content(content("body"))),
        Knowledge::Unknown
    );
}

// Guards against a long stream whose record is forgotten while its callers may still continue it.
#[test]
fn records_outlast_all_attempts_of_their_route() {
    for (timeout_s, expected_s) in [(0, 30), (3, 30), (10, 40), (600, 2_400)] {
        let kept_for = stream_origin::retention(Duration::from_secs(timeout_s));
        assert_eq!(kept_for, Duration::from_secs(expected_s));
    }
}

#[test]
fn old_records_are_forgotten() {
    let mut origins = StreamOrigins::default();
    let (id, old) = record("d", 120_000, "v1", None);
    origins.insert(id, old, NOW);
    assert_eq!(origins.len(), 1);
    origins.expire(WallMs(NOW.0 + 1));
    assert!(origins.is_empty());
    let (id, too_old) = record("d", 120_001, "v1", None);
    origins.insert(id, too_old, NOW);
    assert!(origins.is_empty());
}

/// Creates the records of an attempt that moves from each version to the next one.
fn moves(versions: &[String]) -> Vec<(AllocationId, StreamRecord)> {
    let of_move = |(i, version): (usize, &String)| {
        let replaces_since = (i > 0).then_some(50);
        record("d", 50 - i as u64, version, replaces_since)
    };
    versions.iter().enumerate().map(of_move).collect()
}

proptest! {
    // Guards against a version that depends on the order in which records are read: a listing of the
    // store returns them in another order than the one in which they were written.
    #[test]
    fn last_of_several_moves_counts_in_any_order(
        (last, records) in prop::collection::vec("v[1-3]", 1..6).prop_flat_map(|versions| {
            let last = versions[versions.len() - 1].clone();
            (Just(last), Just(moves(&versions)).prop_shuffle())
        }),
    ) {
        prop_assert_eq!(found(&records), Knowledge::Known(origin(&last)));
    }
}
