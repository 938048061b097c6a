//! Fleets of which some daemons reach the endpoints over links that can be cut.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::{Endpoint, EndpointBehavior},
    link::{Cut, Link},
    store::Store,
};

use crate::{fleet::Fleet, process};

/// Time after a cut or its end within which daemons have to adapt to it; that of the users'
/// platform is 3 s.
pub const ADAPT_TIME: Duration = Duration::from_millis(2_000);

/// Interval at which a daemon notices a change of the list of endpoints, with a margin.
pub const LIST_DELAY: Duration = Duration::from_millis(900);

/// Longest time of a request that is served, of which the endpoint takes next to nothing.
const REQUEST_TIME: Duration = Duration::from_millis(500);

/// Requests that may be repeated, that may not, and that are turns, by their ids.
const KINDS: [fn(&str) -> Request; 3] = [
    |id| Request::plain("/safe/", &format!("safe-{id}")),
    |id| Request::plain("/unsafe/", &format!("unsafe-{id}")),
    |id| Request::turn(&format!("p-{id}"), &format!("turn-{id}"), None, 1_000),
];

/// Behavior of the engine, whose turns take so long that ten at a time need ten connections.
const STREAM: EndpointBehavior = EndpointBehavior::Stream {
    events: 2,
    pause: Duration::from_millis(40),
};

/// A fleet of which some daemons reach the endpoints over links that can be cut.
pub struct Linked {
    /// The fleet.
    pub fleet: Fleet,

    /// Links to the engine and to the endpoints of the service.
    pub links: Vec<Link>,
}

impl Linked {
    /// Starts four daemons, of which the first and the third have links.
    pub async fn start(name: &str) -> Self {
        Self::start_with(name, 4, 2).await
    }

    /// Starts daemons of which each `nth` one has links, beginning with the first.
    pub async fn start_with(name: &str, daemons: usize, nth: usize) -> Self {
        let store = Arc::new(Store::default());
        let with_links = store.with_shared_records();
        let mut servers = vec![Arc::clone(&store); nth];
        servers[0] = Arc::clone(&with_links);
        let fleet = Fleet::start_on(name, store, &servers, daemons, 3_000).await;
        fleet.engine.set_behavior(STREAM);
        let mut links = Vec::new();
        for id in ["e1", "p1", "p2"] {
            let addr = (process::unique_loopback_address(), 8080).into();
            let link = Link::open(addr, fleet.plain_endpoint_addr(id)).await;
            with_links.set_link(id, link.addr);
            links.push(link);
            // The daemons get the address of the link with the next record.
            let entry = fleet.store.newest_value("keyed.servers", id);
            let entry = String::from_utf8(entry.expect("the endpoint is listed"));
            let entry = entry.expect("the entry is JSON");
            fleet.store.put("keyed.servers", id, Some(&entry));
        }
        task::sleep(LIST_DELAY).await;
        for endpoint in fleet.service_endpoints.iter().chain([&fleet.engine]) {
            endpoint.drop_connections();
        }
        let linked = Self { fleet, links };
        for daemon in 0..daemons {
            linked.open_connections(daemon).await;
        }
        linked
    }

    /// Cuts all links.
    pub async fn cut(&self, cut: Cut) {
        for link in &self.links {
            link.cut(cut).await;
        }
    }

    /// Heals all links.
    pub async fn heal(&self) {
        for link in &self.links {
            link.heal().await;
        }
    }

    /// Sends requests of each kind to a daemon, ten at a time, which need more connections than
    /// are open; returns the responses with the time of each.
    pub async fn send_each_kind(&self, daemon: usize, label: &str) -> Vec<(Response, Duration)> {
        let addr = self.fleet.caller_addr(daemon);
        let send = |request: Request| async move {
            let sent_at = Instant::now();
            (caller::send(addr, &request).await, sent_at.elapsed())
        };
        let mut responses = Vec::new();
        for kind in KINDS {
            let requests = (0..10).map(|i| kind(&format!("{label}-{daemon}-{i}")));
            let sent: Vec<_> = requests.map(|r| task::spawn(send(r))).collect();
            for response in sent {
                responses.push(response.await);
            }
        }
        responses
    }

    /// Sends a request of each kind to a daemon, one after the other.
    pub async fn open_connections(&self, daemon: usize) {
        for kind in KINDS {
            let request = kind(&format!("first-{daemon}"));
            let response = self.fleet.send(daemon, &request).await;
            assert_eq!(response.status, 200, "{response:?}");
        }
    }

    /// Checks that a daemon serves all requests, each once and in time.
    pub async fn assert_serves(&self, daemon: usize, label: &str) {
        for (response, elapsed) in self.send_each_kind(daemon, label).await {
            assert_eq!(response.status, 200, "{label} {daemon}: {response:?}");
            assert!(response.is_complete, "{label} {daemon}: {response:?}");
            assert!(elapsed < REQUEST_TIME, "{label} {daemon}: {elapsed:?}");
        }
        for i in 0..10 {
            let id = format!("unsafe-{label}-{daemon}-{i}");
            assert_eq!(self.runs(&id), 1, "{id}");
        }
    }

    /// Cuts the links while a request is in flight at an endpoint of a service.
    pub async fn lose_request_in_flight(&self) {
        for endpoint in &self.fleet.service_endpoints {
            endpoint.set_behavior(EndpointBehavior::Hangs);
        }
        let request = Request::plain("/safe/", "in flight");
        let in_flight = self.fleet.send(0, &request);
        let cut = async {
            task::sleep(Duration::from_millis(100)).await;
            self.cut(Cut::Reset).await;
        };
        futures_lite::future::zip(in_flight, cut).await;
        task::sleep(ADAPT_TIME).await;
    }

    /// Checks that none of these daemons has reported a crash.
    pub fn assert_no_crash(&self, daemons: &[usize]) {
        for &daemon in daemons {
            let log = self.fleet.log(daemon);
            assert!(!log.contains("endpoint crashed"), "{log}");
        }
    }

    /// Number of times that services have run a request.
    pub fn runs(&self, id: &str) -> usize {
        let endpoints = self.fleet.service_endpoints.iter();
        let runs = |e: &Arc<Endpoint>| e.executed_requests().iter().filter(|r| r.id == id).count();
        endpoints.map(runs).sum()
    }

    /// Number of connections that a daemon has opened through peers.
    pub async fn tunnels(&self, daemon: usize) -> u64 {
        let label = "tunnels_total{outcome=\"opened\"}";
        self.fleet.metric(daemon, label).await
    }

    /// Checks that daemons without links serve their callers while these are cut, and that they
    /// need no peers once the links are back.
    pub async fn assert_outlives(&self, cut: Cut) {
        self.cut(cut).await;
        // Callers go on to send requests, from which the daemons learn of the cut.
        let cut_at = Instant::now();
        while cut_at.elapsed() < ADAPT_TIME {
            self.send_each_kind(0, "learn").await;
        }
        for daemon in [0, 2, 1, 3] {
            self.send_each_kind(daemon, "settle").await;
            self.assert_serves(daemon, "cut").await;
        }
        assert!(self.tunnels(0).await > 0);
        self.heal().await;
        task::sleep(ADAPT_TIME).await;
        let tunnels = self.tunnels(0).await;
        for daemon in 0..4 {
            self.assert_serves(daemon, "after").await;
        }
        assert_eq!(self.tunnels(0).await, tunnels, "{}", self.fleet.log(0));
    }
}
