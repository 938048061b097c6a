//! Tests that a stream goes on only at the software version that began it, and that it does go on
//! there.

use std::{sync::Arc, time::Duration, time::Instant};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{Request, Response},
    endpoint::{Endpoint, EndpointBehavior},
    settings,
    store::StoreBehavior,
};

use crate::fleet::Fleet;

/// Interval at which a daemon notices a change of the list of endpoints, with a margin.
const LIST_DELAY: Duration = Duration::from_millis(900);

/// Longest time in which a request that cannot be served is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Behavior of the engines: a new stream breaks off after two of its four events.
const BREAKS_OFF: EndpointBehavior = EndpointBehavior::BreaksOff { events: 4, sent: 2 };

/// A fleet with two engines of each of two software versions.
struct Versions {
    fleet: Fleet,

    /// Engines with their versions.
    engines: Vec<(Arc<Endpoint>, &'static str)>,
}

impl Versions {
    async fn start(name: &str, daemons: usize) -> Self {
        let configuration = settings::with_resumable_route(settings::configuration(1, 4_000));
        let fleet = Fleet::start_with_configuration(name, daemons, &configuration).await;
        Self::add_engines(fleet).await
    }

    /// Starts a fleet whose daemons leave the calls for a program to one of them.
    async fn start_with_homes(name: &str, daemons: usize) -> Self {
        let configuration = settings::with_resumable_route(settings::configuration(1, 4_000));
        let start = Fleet::start_configured_with_few_appends(name, daemons, &configuration);
        Self::add_engines(start.await).await
    }

    /// Starts the other engines.
    async fn add_engines(fleet: Fleet) -> Self {
        fleet.engine.set_behavior(BREAKS_OFF);
        let mut engines = vec![(Arc::clone(&fleet.engine), settings::ENDPOINT_VERSION)];
        for (id, version) in [("e2", "v1"), ("e3", "v2"), ("e4", "v2")] {
            let start = Fleet::start_endpoint_of_version;
            engines.push((start(&fleet.store, "llm", id, BREAKS_OFF, version), version));
        }
        task::sleep(LIST_DELAY).await;
        Self { fleet, engines }
    }

    /// Returns the engine that has executed an attempt, and its version.
    fn executor(&self, attempt: &str) -> Option<(Arc<Endpoint>, &'static str)> {
        let has_executed = |e: &Endpoint| e.executed_requests().iter().any(|r| r.id == attempt);
        let mut engines = self.engines.iter();
        engines.find(|(e, _)| has_executed(e)).cloned()
    }

    /// Begins a stream, which breaks off; returns its engine and the engine's version.
    async fn begin(&self, daemon: usize, request: &Request) -> (Arc<Endpoint>, &'static str) {
        let response = self.fleet.send(daemon, request).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.body.contains(&format!("{}.2", request.id)));
        assert!(!response.is_complete);
        self.executor(&request.id).expect("an engine has run it")
    }

    /// Lets an engine refuse all requests while `request` is sent.
    async fn send_without(&self, engine: &Endpoint, daemon: usize, request: &Request) -> Response {
        engine.set_behavior(EndpointBehavior::Full);
        let response = self.fleet.send(daemon, request).await;
        engine.set_behavior(BREAKS_OFF);
        response
    }

    /// Checks that a continued stream has gone on at a version, to its end.
    fn assert_goes_on(&self, response: &Response, attempt: &str, version: &str) {
        assert_eq!(response.status, 200, "{attempt}: {response:?}");
        assert!(response.is_complete, "{attempt}: {response:?}");
        assert!(response.body.contains(&format!("{attempt}.4")));
        let (_, executor) = self.executor(attempt).expect("an engine has run it");
        assert_eq!(executor, version, "{attempt}");
    }

    /// Checks that a continued stream was refused at once, and not run.
    fn assert_refused(&self, response: &Response, attempt: &str, sent_at: Instant) {
        assert_eq!(response.status, 503, "{attempt}: {response:?}");
        assert!(sent_at.elapsed() < REFUSAL_TIME, "{:?}", sent_at.elapsed());
        assert!(self.executor(attempt).is_none(), "{attempt}");
    }

    /// Removes the engines of a version from the list.
    async fn remove(&self, version: &str) {
        for (i, (_, v)) in self.engines.iter().enumerate() {
            if *v == version {
                let id = format!("e{}", i + 1);
                self.fleet.store.put("keyed.servers", &id, None);
            }
        }
        task::sleep(LIST_DELAY).await;
    }

    async fn kill_all_daemons(&mut self) {
        for daemon in &mut self.fleet.daemons {
            daemon.kill();
        }
        for daemon in 0..self.fleet.daemons.len() {
            self.fleet.restart(daemon);
        }
        self.fleet.wait_until_ready().await;
    }
}

/// Creates a request that begins a stream of a program.
fn begin(program: &str, id: &str) -> Request {
    Request {
        path: "/advice/x".to_owned(),
        ..Request::turn(program, id, None, 100_000)
    }
}

/// Creates a request that continues a stream after its second event.
fn go_on(program: &str, id: &str, first: &str) -> Request {
    let mut request = begin(program, id);
    request.headers += &format!("Resumes: {first}\r\nLast-Event-Id: 2\r\n");
    request
}

/// Creates a request of no program from one of a program.
fn without_program(mut request: Request) -> Request {
    let is_of_program = |line: &&str| line.starts_with("Kingcupspan-");
    let lines = request.headers.split_inclusive("\r\n");
    request.headers = lines.filter(|l| !is_of_program(l)).collect();
    request
}

// Guards against a stream that is continued by an engine of another software version while one of
// its own is ready, at the daemon that began it or at another one.
#[async_std::test]
async fn continued_stream_stays_at_the_version_that_began_it() {
    let versions = Versions::start("gateway-continued", 2).await;
    for i in 0..16 {
        let (program, first) = (format!("p{i}"), format!("first{i}"));
        let (engine, version) = versions.begin(i % 2, &begin(&program, &first)).await;
        let second = format!("second{i}");
        let request = go_on(&program, &second, &first);
        let daemon = (i / 2) % 2;
        let response = versions.send_without(&engine, daemon, &request).await;
        versions.assert_goes_on(&response, &second, version);
        // A further attempt names the first one as well.
        let third = format!("third{i}");
        let request = go_on(&program, &third, &first);
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
        begun.push(versions.begin(i % DAEMONS, &begin(&program, &first)).await);
    }
    for round in ["before", "after"] {
        for (i, (engine, version)) in begun.iter().enumerate() {
            let second = format!("{round}{i}");
            let request = go_on(&format!("p{i}"), &second, &format!("first{i}"));
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
        let request = without_program(begin("-", &first));
        let (engine, version) = versions.begin(i % 2, &request).await;
        let second = format!("second{i}");
        let request = without_program(go_on("-", &second, &first));
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
        let request = begin(&format!("p{i}"), &format!("first{i}"));
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
        begun.push(versions.begin(i % 2, &begin(&program, &first)).await);
    }
    versions.kill_all_daemons().await;
    for (i, (engine, version)) in begun.iter().enumerate() {
        let second = format!("second{i}");
        let request = go_on(&format!("p{i}"), &second, &format!("first{i}"));
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
        let (_, version) = versions.begin(i % 2, &begin(&program, &first)).await;
        of_old_version.extend((version == "v1").then_some(i));
    }
    assert!(!of_old_version.is_empty());
    versions.remove("v1").await;
    for round in ["before", "after"] {
        for i in &of_old_version {
            let second = format!("{round}{i}");
            let request = go_on(&format!("p{i}"), &second, &format!("first{i}"));
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
        let mut unnamed = begin("p", &format!("unnamed{i}"));
        unnamed.headers += "Last-Event-Id: 2\r\n";
        let unknown = go_on("p", &format!("unknown{i}"), "nobody");
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
        versions.begin(daemon, &begin("p", "twice")).await;
    }
    for (engine, _) in &versions.engines {
        engine.set_behavior(BREAKS_OFF);
    }
    for daemon in 0..2 {
        let request = go_on("p", &format!("of-two{daemon}"), "twice");
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
        let (_, version) = versions.begin(i % 2, &begin(&program, &first)).await;
        assert_eq!(version, "v2");
    }
    for (engine, _) in &versions.engines {
        engine.set_behavior(BREAKS_OFF);
    }
    for round in ["before", "after"] {
        for i in 0..12 {
            let second = format!("{round}{i}");
            let request = go_on(&format!("p{i}"), &second, &format!("first{i}"));
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
        let request = without_program(begin("-", &first));
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
            let request = without_program(go_on("-", &second, &format!("first{i}")));
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
        begun.push(versions.begin(i % 2, &begin(&program, &first)).await);
    }
    replaced.replace(2);
    for (i, (engine, version)) in begun.iter().enumerate() {
        let second = format!("second{i}");
        let request = go_on(&format!("p{i}"), &second, &format!("first{i}"));
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
