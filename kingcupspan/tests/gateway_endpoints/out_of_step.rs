//! Tests that a daemon that is out of step with the others, or has an old list, joins no streams of
//! different software versions.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::Request,
    endpoint::{Endpoint, EndpointBehavior},
    settings,
    store::StoreBehavior,
};

use crate::{
    fleet::Fleet,
    versions::{self, BREAKS_OFF, LIST_DELAY, Versions},
};

impl Versions {
    /// Starts a fleet with three engines of one version.
    async fn start_of_one_version(name: &str, daemons: usize) -> Self {
        let configuration = settings::with_resumable_route(settings::configuration(1, 4_000));
        let fleet = Fleet::start_with_configuration(name, daemons, &configuration).await;
        fleet.engine.set_behavior(BREAKS_OFF);
        let mut engines = vec![(Arc::clone(&fleet.engine), settings::ENDPOINT_VERSION)];
        for id in ["e2", "e3"] {
            let engine = Fleet::start_endpoint(&fleet.store, "llm", id, BREAKS_OFF);
            engines.push((engine, settings::ENDPOINT_VERSION));
        }
        task::sleep(LIST_DELAY).await;
        Self { fleet, engines }
    }
}

/// Number of requests that an engine has executed.
fn runs(engine: &Endpoint) -> usize {
    engine.executed_requests().len()
}

// Guards against a stream that begins or goes on at an engine that was started again with another
// version, which a list of one version does not say yet though it was read a moment ago.
#[async_std::test]
async fn engine_replaced_under_its_id_gets_no_stream_while_one_version_is_listed() {
    let versions = Versions::start_of_one_version("gateway-replaced-alone", 2).await;
    let replaced = Arc::clone(&versions.engines[0].0);
    for i in 0..12 {
        let first = versions::begin(&format!("p{i}"), &format!("first{i}"));
        versions.begin(i % 2, &first).await;
    }
    let before = runs(&replaced);
    assert!(before > 0);
    replaced.replace(2);
    for i in 0..12 {
        let second = format!("second{i}");
        let request = versions::go_on(&format!("p{i}"), &second, &format!("first{i}"));
        let response = versions.fleet.send(i % 2, &request).await;
        versions.assert_goes_on(&response, &second, settings::ENDPOINT_VERSION);
        let new = versions::begin(&format!("q{i}"), &format!("new{i}"));
        versions.begin(i % 2, &new).await;
    }
    let executed = replaced.executed_requests();
    let ids: Vec<&str> = executed[before..].iter().map(|r| r.id.as_str()).collect();
    assert!(ids.is_empty(), "{ids:?}");
}

/// Lets only the engines of a version take requests.
fn admit_only(versions: &Versions, admitted: &str) {
    for (engine, version) in &versions.engines {
        let is_admitted = *version == admitted;
        let behavior = is_admitted.then_some(BREAKS_OFF);
        engine.set_behavior(behavior.unwrap_or(EndpointBehavior::Full));
    }
}

/// Creates a request that begins a stream of a program without a budget, which needs no store.
fn begin_unbudgeted(program: &str, id: &str) -> Request {
    let mut request = versions::begin(program, id);
    let lines = request.headers.split_inclusive("\r\n");
    let is_budget = |line: &&str| line.starts_with("Kingcupspan-Token-Budget");
    request.headers = lines.filter(|l| !is_budget(l)).collect();
    request
}

/// Creates another attempt of a request, which continues its stream; `first` names the attempt that
/// began it.
fn continue_unbudgeted(begun: &Request, id: &str, first: Option<&str>) -> Request {
    let mut request = begun.clone();
    request.id = id.to_owned();
    request.headers += "Last-Event-Id: 2\r\n";
    if let Some(first) = first {
        request.headers += &format!("Resumes: {first}\r\n");
    }
    request
}

// Guards against a daemon that cannot read the store and takes what it remembers for all there is:
// another daemon has begun a stream of the same request since, or one that it has only read of.
#[async_std::test]
async fn without_the_store_only_streams_that_a_daemon_has_begun_itself_go_on() {
    let versions = Versions::start("gateway-remembered", 2).await;
    admit_only(&versions, "v1");
    let own = begin_unbudgeted("p", "own");
    versions.begin(0, &own).await;
    let read_of = begin_unbudgeted("q", "read-of");
    versions.begin(1, &read_of).await;
    let request = continue_unbudgeted(&read_of, "read", Some("read-of"));
    let response = versions.fleet.send(0, &request).await;
    versions.assert_goes_on(&response, "read", "v1");
    admit_only(&versions, "v2");
    let mut again = own.clone();
    again.id = "again".to_owned();
    versions.begin(1, &again).await;
    for (engine, _) in &versions.engines {
        engine.set_behavior(BREAKS_OFF);
    }
    let store = &versions.fleet.store;
    store.set_behavior(StoreBehavior::Unresponsive);
    task::sleep(LIST_DELAY).await;
    let refused = [
        continue_unbudgeted(&own, "unnamed", None),
        continue_unbudgeted(&read_of, "of-other-daemon", Some("read-of")),
        continue_unbudgeted(&own, "not-read-of", Some("again")),
    ];
    for request in &refused {
        let response = versions.fleet.send(0, request).await;
        assert_eq!(response.status, 503, "{}: {response:?}", request.id);
        assert!(response.retry_after.is_some(), "{response:?}");
        assert!(versions.executor(&request.id).is_none(), "{}", request.id);
    }
    let named = continue_unbudgeted(&own, "named", Some("own"));
    let response = versions.fleet.send(0, &named).await;
    versions.assert_goes_on(&response, "named", "v1");
}

// Guards against a connection to a former run of an engine that is taken for one to the run that is
// listed now: the new run would get no streams, and other requests would go to the former one.
#[async_std::test]
async fn connections_to_a_former_run_are_not_used_for_the_new_one() {
    let versions = Versions::start_of_one_version("gateway-former-run", 1).await;
    for id in ["e2", "e3"] {
        versions.fleet.store.put("keyed.servers", id, None);
    }
    task::sleep(LIST_DELAY).await;
    let (former, _) = &versions.engines[0];
    former.set_behavior(EndpointBehavior::Stream {
        events: 2,
        pause: Duration::from_millis(1),
    });
    for id in ["first", "next"] {
        let response = versions.fleet.send(0, &versions::begin("p", id)).await;
        assert!(response.is_complete, "{response:?}");
    }
    // The former run still holds its connections while the new one is listed at another address.
    let new = Fleet::start_new_run(&versions.fleet.store, "llm", "e1", BREAKS_OFF, 2, "v2");
    task::sleep(LIST_DELAY).await;
    let before = runs(former);
    let turn = Request::turn("q", "turn", None, 100_000);
    let mut statuses = Vec::new();
    for request in [turn, versions::begin("r", "new")] {
        let response = versions.fleet.send(0, &request).await;
        statuses.push((request.id, response.status));
    }
    let expected = ["turn", "new"].map(|id| (id.to_owned(), 200));
    assert_eq!((statuses, runs(former)), (expected.to_vec(), before));
    assert_eq!(runs(&new), 2);
}
