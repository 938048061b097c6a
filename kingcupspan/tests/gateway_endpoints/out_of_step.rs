//! Tests that a daemon that is out of step with the others, or has an old list, joins no streams of
//! different software versions.

use std::{net, sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::Request,
    endpoint::{Endpoint, EndpointBehavior},
    settings,
    store::{Store, StoreBehavior},
};

use crate::{
    fleet::Fleet,
    process,
    versions::{self, BREAKS_OFF, LIST_DELAY, Versions},
};

/// Time for which a daemon stands still, and in which it is in step again.
const STANDSTILL: Duration = Duration::from_millis(2_000);

/// Number of streams that are begun and continued.
const STREAMS: usize = 16;

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

/// Starts the second run of an engine, at an address of its own, and lists it as ready.
fn start_new_run(store: &Store, id: &str, version: &str) -> Arc<Endpoint> {
    let addr = net::SocketAddr::new(process::unique_loopback_address().into(), 8080);
    let endpoint = Endpoint::new(id, BREAKS_OFF);
    endpoint.replace(2);
    task::spawn(Arc::clone(&endpoint).serve(addr));
    let mut entry = settings::versioned_entry("llm", addr, "ready", version);
    entry["born"] = 2.into();
    store.put("keyed.servers", id, Some(&entry.to_string()));
    endpoint
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
    let new = start_new_run(&versions.fleet.store, "e1", "v2");
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

/// Streams that have begun at a daemon and broken off, with the versions of their engines.
struct Begun(Vec<(String, &'static str)>);

impl Begun {
    /// Number of streams that go on if all records are known: an unnamed one does if the earlier
    /// stream of its request was of the same version.
    fn unambiguous(&self, earlier: &[&str]) -> usize {
        let versions = self.0.iter().map(|(_, version)| version).zip(earlier);
        let is_known = |(i, (version, earlier)): &(usize, (&&str, &&str))| {
            !is_unnamed(*i) || version == earlier
        };
        versions.enumerate().filter(is_known).count()
    }
}

/// Whether a stream is continued without a name.
fn is_unnamed(i: usize) -> bool {
    i.is_multiple_of(2)
}

impl Versions {
    /// Begins streams at a daemon whose requests will be sent again, at another daemon; returns the
    /// versions of their engines.
    async fn begin_earlier(&self, daemon: usize) -> Vec<&'static str> {
        let mut earlier = Vec::new();
        for i in 0..STREAMS {
            let mut request = begin_unbudgeted(&format!("p{i}"), &format!("first{i}"));
            request.id = format!("earlier{i}");
            let (_, version) = self.begin(daemon, &request).await;
            earlier.push(version);
        }
        earlier
    }

    /// Lets engines of a new version join, one of them in place of an engine, and begins streams at a
    /// daemon once it has read of them.
    async fn begin_while_engines_join(&mut self, daemon: usize) -> Begun {
        let store = &self.fleet.store;
        let replacing = start_new_run(store, "e1", "v3");
        let joined = Fleet::start_endpoint_of_version(store, "llm", "e5", BREAKS_OFF, "v3");
        self.engines[0].0.replace(2);
        // At its former address runs the new version as well.
        self.engines[0].1 = "v3";
        self.engines.extend([(replacing, "v3"), (joined, "v3")]);
        task::sleep(LIST_DELAY).await;
        let mut begun = Vec::new();
        for i in 0..STREAMS {
            let first = format!("first{i}");
            let request = begin_unbudgeted(&format!("p{i}"), &first);
            let (_, version) = self.begin(daemon, &request).await;
            begun.push((first, version));
        }
        assert!(begun.iter().any(|(_, v)| *v == "v3"), "{begun:?}");
        Begun(begun)
    }

    /// Continues streams at a daemon: each goes on at its version or is refused; returns how many
    /// went on.
    async fn continue_or_refuse(&self, daemon: usize, begun: &Begun, round: &str) -> usize {
        let mut count = 0;
        for (i, (first, version)) in begun.0.iter().enumerate() {
            let of_first = begin_unbudgeted(&format!("p{i}"), first);
            let name = (!is_unnamed(i)).then_some(first.as_str());
            let attempt = format!("{round}{i}");
            let request = continue_unbudgeted(&of_first, &attempt, name);
            let response = self.fleet.send(daemon, &request).await;
            if response.status == 503 {
                assert!(self.executor(&attempt).is_none(), "{attempt}");
                continue;
            }
            self.assert_goes_on(&response, &attempt, version);
            count += 1;
        }
        count
    }
}

// Guards against a daemon that stood still while engines of a new version joined, and continues
// streams by the list and the records that it had before.
#[async_std::test]
async fn daemon_that_stood_still_joins_no_streams() {
    let mut versions = Versions::start("gateway-stood-still", 2).await;
    let earlier = versions.begin_earlier(0).await;
    versions.fleet.daemons[0].suspend();
    let begun = versions.begin_while_engines_join(1).await;
    task::sleep(STANDSTILL).await;
    versions.fleet.daemons[0].resume();
    versions.continue_or_refuse(0, &begun, "at-once").await;
    task::sleep(STANDSTILL).await;
    let count = versions.continue_or_refuse(0, &begun, "later").await;
    assert_eq!(count, begun.unambiguous(&earlier));
}

// Guards against the same at a daemon that was cut off from the store.
#[async_std::test]
async fn daemon_that_was_cut_off_from_the_store_joins_no_streams() {
    for behavior in [StoreBehavior::Unavailable, StoreBehavior::Unresponsive] {
        let name = format!("gateway-cut-off-{behavior:?}");
        let mut versions = Versions::start(&name, 2).await;
        let store = versions.fleet.restart_with_own_store_server(0).await;
        let earlier = versions.begin_earlier(0).await;
        store.set_behavior(behavior);
        let begun = versions.begin_while_engines_join(1).await;
        // Peers, which pass calls to the store on, are out of reach as well.
        versions.fleet.daemons[1].suspend();
        versions.continue_or_refuse(0, &begun, "alone").await;
        versions.fleet.daemons[1].resume();
        versions.continue_or_refuse(0, &begun, "cut-off").await;
        store.set_behavior(StoreBehavior::Available);
        versions.continue_or_refuse(0, &begun, "at-once").await;
        task::sleep(STANDSTILL).await;
        let count = versions.continue_or_refuse(0, &begun, "later").await;
        assert_eq!(count, begun.unambiguous(&earlier), "{behavior:?}");
    }
}
