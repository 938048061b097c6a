//! Fleets whose engines are of two software versions, and requests that begin and continue streams.

use std::{sync::Arc, time::Duration, time::Instant};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{Request, Response},
    endpoint::{Endpoint, EndpointBehavior},
    settings,
};

use crate::fleet::Fleet;

/// Interval at which a daemon notices a change of the list of endpoints, with a margin.
pub const LIST_DELAY: Duration = Duration::from_millis(900);

/// Longest time in which a request that cannot be served is refused.
pub const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Behavior of the engines: a new stream breaks off after two of its four events.
pub const BREAKS_OFF: EndpointBehavior = EndpointBehavior::BreaksOff { events: 4, sent: 2 };

/// A fleet with two engines of each of two software versions.
pub struct Versions {
    /// The fleet.
    pub fleet: Fleet,

    /// Engines with their versions.
    pub engines: Vec<(Arc<Endpoint>, &'static str)>,
}

impl Versions {
    /// Starts a fleet.
    pub async fn start(name: &str, daemons: usize) -> Self {
        let configuration = settings::with_resumable_route(settings::configuration(1, 4_000));
        let fleet = Fleet::start_with_configuration(name, daemons, &configuration).await;
        Self::add_engines(fleet).await
    }

    /// Starts a fleet whose daemons leave the calls for a program to one of them.
    pub async fn start_with_homes(name: &str, daemons: usize) -> Self {
        let configuration = settings::with_resumable_route(settings::configuration(1, 4_000));
        let start = Fleet::start_configured_with_few_appends(name, daemons, &configuration);
        Self::add_engines(start.await).await
    }

    /// Starts the other engines.
    pub async fn add_engines(fleet: Fleet) -> Self {
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
    pub fn executor(&self, attempt: &str) -> Option<(Arc<Endpoint>, &'static str)> {
        let has_executed = |e: &Endpoint| e.executed_requests().iter().any(|r| r.id == attempt);
        let mut engines = self.engines.iter();
        engines.find(|(e, _)| has_executed(e)).cloned()
    }

    /// Begins a stream, which breaks off; returns its engine and the engine's version.
    pub async fn begin(&self, daemon: usize, request: &Request) -> (Arc<Endpoint>, &'static str) {
        let response = self.fleet.send(daemon, request).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.body.contains(&format!("{}.2", request.id)));
        assert!(!response.is_complete);
        self.executor(&request.id).expect("an engine has run it")
    }

    /// Lets an engine refuse all requests while `request` is sent.
    pub async fn send_without(
        &self,
        engine: &Endpoint,
        daemon: usize,
        request: &Request,
    ) -> Response {
        engine.set_behavior(EndpointBehavior::Full);
        let response = self.fleet.send(daemon, request).await;
        engine.set_behavior(BREAKS_OFF);
        response
    }

    /// Checks that a continued stream has gone on at a version, to its end.
    pub fn assert_goes_on(&self, response: &Response, attempt: &str, version: &str) {
        assert_eq!(response.status, 200, "{attempt}: {response:?}");
        assert!(response.is_complete, "{attempt}: {response:?}");
        assert!(response.body.contains(&format!("{attempt}.4")));
        let (_, executor) = self.executor(attempt).expect("an engine has run it");
        assert_eq!(executor, version, "{attempt}");
    }

    /// Checks that a continued stream was refused at once, and not run.
    pub fn assert_refused(&self, response: &Response, attempt: &str, sent_at: Instant) {
        assert_eq!(response.status, 503, "{attempt}: {response:?}");
        assert!(sent_at.elapsed() < REFUSAL_TIME, "{:?}", sent_at.elapsed());
        assert!(self.executor(attempt).is_none(), "{attempt}");
    }

    /// Removes the engines of a version from the list.
    pub async fn remove(&self, version: &str) {
        for (i, (_, v)) in self.engines.iter().enumerate() {
            if *v == version {
                let id = format!("e{}", i + 1);
                self.fleet.store.put("keyed.servers", &id, None);
            }
        }
        task::sleep(LIST_DELAY).await;
    }

    /// Kills all daemons and starts them again.
    pub async fn kill_all_daemons(&mut self) {
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
pub fn begin(program: &str, id: &str) -> Request {
    Request {
        path: "/advice/x".to_owned(),
        ..Request::turn(program, id, None, 100_000)
    }
}

/// Creates a request that continues a stream after its second event.
pub fn go_on(program: &str, id: &str, first: &str) -> Request {
    let mut request = begin(program, id);
    request.headers += &format!("Resumes: {first}\r\nLast-Event-Id: 2\r\n");
    request
}

/// Creates a request of no program from one of a program.
pub fn without_program(mut request: Request) -> Request {
    let is_of_program = |line: &&str| line.starts_with("Kingcupspan-");
    let lines = request.headers.split_inclusive("\r\n");
    request.headers = lines.filter(|l| !is_of_program(l)).collect();
    request
}
