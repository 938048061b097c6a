//! Tests that a stream goes on only at the software version that began it, and that it does go on
//! there.

use std::{sync::Arc, time::Instant};

use async_std::task;
use kingcupspan_platform_standin::{endpoint::EndpointBehavior, store::StoreBehavior};

use crate::versions::{self, BREAKS_OFF, LIST_DELAY, Versions};

// Guards against a stream that is continued by an engine of another software version while one of
// its own is ready, at the daemon that began it or at another one.
#[async_std::test]
async fn continued_stream_stays_at_the_version_that_began_it() {
    let versions = Versions::start("gateway-continued", 2).await;
    for i in 0..16 {
        let (program, first) = (format!("p{i}"), format!("first{i}"));
        let (engine, version) = versions
            .begin(i % 2, &versions::begin(&program, &first))
            .await;
        let second = format!("second{i}");
        let request = versions::go_on(&program, &second, &first);
        let daemon = (i / 2) % 2;
        let response = versions.send_without(&engine, daemon, &request).await;
        versions.assert_goes_on(&response, &second, version);
        // A further attempt names the first one as well.
        let third = format!("third{i}");
        let request = versions::go_on(&program, &third, &first);
        let response = versions.send_without(&engine, 1 - daemon, &request).await;
        versions.assert_goes_on(&response, &third, version);
    }
    assert!(versions.fleet.metric(0, "outcome=\"goes on\"").await > 0);
}

// Guards against the same in large fleets, whose daemons do not read the records of all programs.
#[async_std::test]
async fn stream_goes_on_at_its_version_in_a_fleet_with_homes() {
    const DAEMONS: usize = 6;
    let mut versions = Versions::start_with_homes("gateway-continued-homes", DAEMONS).await;
    let mut begun = Vec::new();
    for i in 0..18 {
        let (program, first) = (format!("p{i}"), format!("first{i}"));
        begun.push(
            versions
                .begin(i % DAEMONS, &versions::begin(&program, &first))
                .await,
        );
    }
    for round in ["before", "after"] {
        for (i, (engine, version)) in begun.iter().enumerate() {
            let second = format!("{round}{i}");
            let request = versions::go_on(&format!("p{i}"), &second, &format!("first{i}"));
            let daemon = (i + 1 + i / DAEMONS) % DAEMONS;
            let response = versions.send_without(engine, daemon, &request).await;
            versions.assert_goes_on(&response, &second, version);
        }
        if round == "before" {
            let mut asked = 0;
            for daemon in 0..DAEMONS {
                asked += versions
                    .fleet
                    .peer_request_count(daemon, "find stream")
                    .await;
            }
            assert!(asked > 0);
            versions.kill_all_daemons().await;
        }
    }
}

// Guards against the same for requests that belong to no program.
#[async_std::test]
async fn continued_stream_of_no_program_stays_at_the_version_that_began_it() {
    let versions = Versions::start("gateway-continued-plain", 2).await;
    for i in 0..12 {
        let first = format!("first{i}");
        let request = versions::without_program(versions::begin("-", &first));
        let (engine, version) = versions.begin(i % 2, &request).await;
        let second = format!("second{i}");
        let request = versions::without_program(versions::go_on("-", &second, &first));
        let response = versions.send_without(&engine, (i / 2) % 2, &request).await;
        versions.assert_goes_on(&response, &second, version);
    }
}

// Guards against the refusal of all streams whose callers do not name them: the request is the same,
// and so is its version.
#[async_std::test]
async fn stream_that_is_not_named_goes_on_at_the_version_of_its_request() {
    let mut versions = Versions::start("gateway-continued-unnamed", 2).await;
    let mut begun = Vec::new();
    for i in 0..12 {
        let request = versions::begin(&format!("p{i}"), &format!("first{i}"));
        let (engine, version) = versions.begin(i % 2, &request).await;
        begun.push((engine, version, request));
    }
    for round in ["before", "after"] {
        for (i, (engine, version, first)) in begun.iter().enumerate() {
            let mut request = first.clone();
            request.id = format!("{round}{i}");
            request.headers += "Last-Event-Id: 2\r\n";
            let response = versions.send_without(engine, (i / 2) % 2, &request).await;
            versions.assert_goes_on(&response, &request.id, version);
        }
        if round == "before" {
            versions.kill_all_daemons().await;
        }
    }
    // Another stream of the same request has begun at the other version.
    let (_, version, first) = begun.remove(0);
    for (engine, of_engine) in &versions.engines {
        let full = (*of_engine == version).then_some(EndpointBehavior::Full);
        engine.set_behavior(full.unwrap_or(BREAKS_OFF));
    }
    let mut again = first.clone();
    again.id = "again".to_owned();
    let (_, other) = versions.begin(0, &again).await;
    assert_ne!(other, version);
    for (engine, _) in &versions.engines {
        engine.set_behavior(BREAKS_OFF);
    }
    again.id = "of-which".to_owned();
    again.headers += "Last-Event-Id: 2\r\n";
    let sent_at = Instant::now();
    let response = versions.fleet.send(1, &again).await;
    versions.assert_refused(&response, &again.id, sent_at);
}

// Guards against a version that only daemons knew: after all of them were killed, streams must go on
// where they began.
#[async_std::test]
async fn stream_goes_on_at_its_version_after_a_kill_of_all_daemons() {
    let mut versions = Versions::start("gateway-continued-killed", 2).await;
    let mut begun = Vec::new();
    for i in 0..12 {
        let (program, first) = (format!("p{i}"), format!("first{i}"));
        begun.push(
            versions
                .begin(i % 2, &versions::begin(&program, &first))
                .await,
        );
    }
    versions.kill_all_daemons().await;
    for (i, (engine, version)) in begun.iter().enumerate() {
        let second = format!("second{i}");
        let request = versions::go_on(&format!("p{i}"), &second, &format!("first{i}"));
        let response = versions.send_without(engine, i % 2, &request).await;
        versions.assert_goes_on(&response, &second, version);
    }
}

// Guards against a stream that goes on at the new version when the engines of the old one have left,
// also if all daemons were killed meanwhile.
#[async_std::test]
async fn stream_whose_version_has_left_is_refused_at_once() {
    let mut versions = Versions::start("gateway-continued-left", 2).await;
    let mut of_old_version = Vec::new();
    for i in 0..12 {
        let (program, first) = (format!("p{i}"), format!("first{i}"));
        let (_, version) = versions
            .begin(i % 2, &versions::begin(&program, &first))
            .await;
        of_old_version.extend((version == "v1").then_some(i));
    }
    assert!(!of_old_version.is_empty());
    versions.remove("v1").await;
    for round in ["before", "after"] {
        for i in &of_old_version {
            let second = format!("{round}{i}");
            let request = versions::go_on(&format!("p{i}"), &second, &format!("first{i}"));
            let sent_at = Instant::now();
            let response = versions.fleet.send(i % 2, &request).await;
            versions.assert_refused(&response, &second, sent_at);
        }
        if round == "before" {
            versions.kill_all_daemons().await;
        }
    }
}

// Guards against a guess: nobody knows the version of a stream whose first attempt is unknown, is not
// named, or was used by two callers.
#[async_std::test]
async fn stream_of_unknown_version_is_refused_at_once() {
    let versions = Versions::start("gateway-continued-unknown", 2).await;
    for i in 0..4 {
        let mut unnamed = versions::begin("p", &format!("unnamed{i}"));
        unnamed.headers += "Last-Event-Id: 2\r\n";
        let unknown = versions::go_on("p", &format!("unknown{i}"), "nobody");
        for request in [unnamed, unknown] {
            let sent_at = Instant::now();
            let response = versions.fleet.send(i % 2, &request).await;
            versions.assert_refused(&response, &request.id, sent_at);
        }
    }
    // The same identifier at two daemons, at another version each.
    for (daemon, other) in [(0, "v2"), (1, "v1")] {
        for (engine, version) in &versions.engines {
            let is_other = *version == other;
            let full = is_other.then_some(EndpointBehavior::Full);
            engine.set_behavior(full.unwrap_or(BREAKS_OFF));
        }
        versions.begin(daemon, &versions::begin("p", "twice")).await;
    }
    for (engine, _) in &versions.engines {
        engine.set_behavior(BREAKS_OFF);
    }
    for daemon in 0..2 {
        let request = versions::go_on("p", &format!("of-two{daemon}"), "twice");
        let sent_at = Instant::now();
        let response = versions.fleet.send(daemon, &request).await;
        versions.assert_refused(&response, &request.id, sent_at);
    }
}

// Guards against a new stream that is recorded at one version and runs at another, because the
// engines of the first one refuse it.
#[async_std::test]
async fn new_stream_that_moves_to_another_version_goes_on_there() {
    let mut versions = Versions::start("gateway-continued-moved", 2).await;
    for (engine, version) in &versions.engines {
        let full = (*version == "v1").then_some(EndpointBehavior::Full);
        engine.set_behavior(full.unwrap_or(BREAKS_OFF));
    }
    for i in 0..12 {
        let (program, first) = (format!("p{i}"), format!("first{i}"));
        let (_, version) = versions
            .begin(i % 2, &versions::begin(&program, &first))
            .await;
        assert_eq!(version, "v2");
    }
    for (engine, _) in &versions.engines {
        engine.set_behavior(BREAKS_OFF);
    }
    for round in ["before", "after"] {
        for i in 0..12 {
            let second = format!("{round}{i}");
            let request = versions::go_on(&format!("p{i}"), &second, &format!("first{i}"));
            let response = versions.fleet.send((i + 1) % 2, &request).await;
            versions.assert_goes_on(&response, &second, "v2");
        }
        if round == "before" {
            versions.kill_all_daemons().await;
        }
    }
}

// Guards against a daemon that continues a stream by guess while it cannot read the store.
#[async_std::test]
async fn stream_is_not_joined_while_the_store_is_away() {
    let versions = Versions::start("gateway-continued-away", 2).await;
    let mut begun = Vec::new();
    for i in 0..8 {
        let first = format!("first{i}");
        let request = versions::without_program(versions::begin("-", &first));
        begun.push(versions.begin(0, &request).await);
    }
    versions
        .fleet
        .store
        .set_behavior(StoreBehavior::Unresponsive);
    task::sleep(LIST_DELAY).await;
    for (i, (engine, version)) in begun.iter().enumerate() {
        for daemon in 0..2 {
            let second = format!("second{i}-{daemon}");
            let request =
                versions::without_program(versions::go_on("-", &second, &format!("first{i}")));
            let response = versions.send_without(engine, daemon, &request).await;
            match daemon {
                // This daemon has begun the stream.
                0 => versions.assert_goes_on(&response, &second, version),
                _ => assert_eq!(response.status, 503, "{response:?}"),
            }
        }
    }
}

// Guards against an engine that was started again under its identifier with another version, which
// the list does not say yet.
#[async_std::test]
async fn stream_is_not_joined_at_an_engine_that_was_replaced_under_its_id() {
    let versions = Versions::start("gateway-continued-replaced", 2).await;
    let (replaced, _) = versions.engines[0].clone();
    let mut begun = Vec::new();
    for i in 0..12 {
        let (program, first) = (format!("p{i}"), format!("first{i}"));
        begun.push(
            versions
                .begin(i % 2, &versions::begin(&program, &first))
                .await,
        );
    }
    replaced.replace(2);
    for (i, (engine, version)) in begun.iter().enumerate() {
        let second = format!("second{i}");
        let request = versions::go_on(&format!("p{i}"), &second, &format!("first{i}"));
        let is_replaced = Arc::ptr_eq(engine, &replaced);
        let response = match is_replaced {
            true => versions.fleet.send(i % 2, &request).await,
            false => versions.send_without(engine, i % 2, &request).await,
        };
        if response.status == 200 {
            let (executor, _) = versions.executor(&second).expect("an engine has run it");
            assert!(!Arc::ptr_eq(&executor, &replaced), "{second} {version}");
        }
        // Another engine of the version is left for those that the replaced one began.
        if is_replaced {
            versions.assert_goes_on(&response, &second, version);
        }
    }
    let runs = replaced.executed_requests();
    let ran = |attempt: &str| runs.iter().any(|r| r.id.starts_with(attempt));
    assert!(ran("first") && !ran("second"), "{runs:?}");
}
