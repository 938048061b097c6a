//! Tests of daemons that do not reach the endpoints while other daemons do.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan::edge::tcp::Remote;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::{Endpoint, EndpointBehavior},
    link::{Cut, Link},
    store::Store,
};

use crate::{fleet::Fleet, process};

/// Time after a cut or its end within which daemons have to adapt to it; that of the users'
/// platform is 3 s.
const ADAPT_TIME: Duration = Duration::from_millis(2_000);

/// Interval at which a daemon notices a change of the list of endpoints, with a margin.
const LIST_DELAY: Duration = Duration::from_millis(900);

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
struct Linked {
    fleet: Fleet,
    links: Vec<Link>,
}

impl Linked {
    /// Starts four daemons, of which the first and the third have links.
    async fn start(name: &str) -> Self {
        Self::start_with(name, 4, 2).await
    }

    /// Starts daemons of which each `nth` one has links, beginning with the first.
    async fn start_with(name: &str, daemons: usize, nth: usize) -> Self {
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

    async fn cut(&self, cut: Cut) {
        for link in &self.links {
            link.cut(cut).await;
        }
    }

    async fn heal(&self) {
        for link in &self.links {
            link.heal().await;
        }
    }

    /// Sends requests of each kind to a daemon, ten at a time, which need more connections than
    /// are open; returns the responses with the time of each.
    async fn send_each_kind(&self, daemon: usize, label: &str) -> Vec<(Response, Duration)> {
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
    async fn open_connections(&self, daemon: usize) {
        for kind in KINDS {
            let request = kind(&format!("first-{daemon}"));
            let response = self.fleet.send(daemon, &request).await;
            assert_eq!(response.status, 200, "{response:?}");
        }
    }

    /// Checks that a daemon serves all requests, each once and in time.
    async fn assert_serves(&self, daemon: usize, label: &str) {
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
    async fn lose_request_in_flight(&self) {
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
    fn assert_no_crash(&self, daemons: &[usize]) {
        for &daemon in daemons {
            let log = self.fleet.log(daemon);
            assert!(!log.contains("endpoint crashed"), "{log}");
        }
    }

    /// Number of times that services have run a request.
    fn runs(&self, id: &str) -> usize {
        let endpoints = self.fleet.service_endpoints.iter();
        let runs = |e: &Arc<Endpoint>| e.executed_requests().iter().filter(|r| r.id == id).count();
        endpoints.map(runs).sum()
    }

    /// Number of connections that a daemon has opened through peers.
    async fn tunnels(&self, daemon: usize) -> u64 {
        let label = "tunnels_total{outcome=\"opened\"}";
        self.fleet.metric(daemon, label).await
    }

    /// Checks that daemons without links serve their callers while these are cut, and that they
    /// need no peers once the links are back.
    async fn assert_outlives(&self, cut: Cut) {
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

// Guards against callers who are refused only since their daemon has lost its way to the endpoints.
#[async_std::test]
async fn callers_are_served_while_connections_to_all_endpoints_hang() {
    let linked = Linked::start("gateway-unreached-hang").await;
    linked.assert_outlives(Cut::Hang).await;
}

#[async_std::test]
async fn callers_are_served_while_connections_to_all_endpoints_are_reset() {
    let linked = Linked::start("gateway-unreached-reset").await;
    linked.assert_outlives(Cut::Reset).await;
}

#[async_std::test]
async fn callers_are_served_while_only_old_connections_to_endpoints_work() {
    let linked = Linked::start("gateway-unreached-refuse").await;
    linked.assert_outlives(Cut::RefuseNew).await;
}

// Guards against daemons of a failure domain that is cut off as a whole and ask only each other.
#[async_std::test]
async fn callers_are_served_while_a_failure_domain_reaches_no_endpoint() {
    let daemons = 7;
    // There are three failure domains, which the daemons are assigned to in rotation.
    let linked = Linked::start_with("gateway-unreached-domain", daemons, 3).await;
    linked.cut(Cut::Reset).await;
    for daemon in [0, 3, 6] {
        linked.send_each_kind(daemon, "learn").await;
        linked.assert_serves(daemon, "cut").await;
    }
}

// Guards against a crash that is reported of endpoints which this daemon just does not reach: the
// requests that it had in flight would be refused everywhere.
#[async_std::test]
async fn endpoint_that_is_not_reached_has_not_crashed() {
    let linked = Linked::start("gateway-unreached-crash").await;
    linked.lose_request_in_flight().await;
    linked.assert_no_crash(&[0, 1, 2, 3]);
}

// Guards against the same if all daemons that are left are cut off.
#[async_std::test]
async fn daemons_that_reach_no_endpoint_report_no_crash() {
    let mut linked = Linked::start("gateway-unreached-everywhere").await;
    for daemon in [1, 3] {
        linked.fleet.daemons[daemon].kill();
    }
    linked.lose_request_in_flight().await;
    linked.assert_no_crash(&[0, 2]);
}

// Guards against a request that runs twice, or is said not to have run, since the peer through which
// it was sent has ended.
#[async_std::test]
async fn request_whose_peer_was_killed_has_no_outcome() {
    let mut linked = Linked::start("gateway-unreached-lost").await;
    linked.cut(Cut::Reset).await;
    linked.send_each_kind(0, "learn").await;
    for endpoint in &linked.fleet.service_endpoints {
        endpoint.set_behavior(EndpointBehavior::Hangs);
    }
    let addr = linked.fleet.caller_addr(0);
    let request = Request::plain("/unsafe/", "lost");
    let sent = task::spawn(async move { caller::send(addr, &request).await });
    while linked.runs("lost") == 0 {
        task::sleep(Duration::from_millis(10)).await;
    }
    for daemon in [1, 3] {
        linked.fleet.daemons[daemon].kill();
    }
    assert_eq!(sent.await.status, 502);
    assert_eq!(linked.runs("lost"), 1);
}

// Guards against requests that a planned stop of the peer cuts through which they were sent.
#[async_std::test]
async fn planned_stops_of_peers_cut_no_request_of_others() {
    let mut linked = Linked::start("gateway-unreached-stop").await;
    linked.cut(Cut::Reset).await;
    linked.send_each_kind(0, "learn").await;
    let pause = Duration::from_millis(500);
    let slow = EndpointBehavior::Stream { events: 4, pause };
    linked.fleet.engine.set_behavior(slow);
    let addr = linked.fleet.caller_addr(0);
    let turns = (0..10).map(|i| {
        let request = Request::turn(&format!("q{i}"), &format!("slow{i}"), None, 1_000);
        task::spawn(async move { caller::send(addr, &request).await })
    });
    let turns: Vec<_> = turns.collect();
    task::sleep(pause).await;
    linked.fleet.daemons[1].terminate();
    for turn in turns {
        let response = turn.await;
        assert!(
            response.status == 200 && response.is_complete,
            "{response:?}"
        );
    }
    assert_eq!(linked.fleet.daemons[1].wait_for_exit().await, Some(0));
}

// Guards against callers who wait for a silent endpoint until its connection is given up, though their
// request may be repeated elsewhere.
#[async_std::test]
async fn repeatable_request_does_not_wait_for_a_silent_endpoint() {
    let linked = Linked::start("gateway-unreached-silent").await;
    let [silent, other] = [0, 1].map(|i| Arc::clone(&linked.fleet.service_endpoints[i]));
    silent.set_behavior(EndpointBehavior::Hangs);
    let addr = linked.fleet.caller_addr(0);
    let send = |path: &str, id: String| {
        let request = Request::plain(path, &id);
        task::spawn(async move { (caller::send(addr, &request).await, Instant::now()) })
    };
    let requests = (0..6).flat_map(|i| {
        let safe = send("/safe/", format!("safe{i}"));
        let unsafe_one = send("/unsafe/", format!("unsafe{i}"));
        [safe, unsafe_one]
    });
    let requests: Vec<_> = requests.collect();
    task::sleep(Duration::from_millis(200)).await;
    let cut_at = Instant::now();
    // The second link leads to the first of the service's endpoints.
    linked.links[1].cut(Cut::Hang).await;
    let ran_at = |e: &Endpoint, id: &str| e.executed_requests().iter().any(|r| r.id == id);
    for (n, request) in requests.into_iter().enumerate() {
        let (i, is_safe) = (n / 2, n % 2 == 0);
        let (response, ended_at) = request.await;
        if is_safe {
            assert_eq!(response.status, 200, "safe{i}: {response:?}");
            let elapsed = ended_at - cut_at;
            assert!(
                elapsed < Remote::Endpoint.max_silence(),
                "safe{i}: {elapsed:?}"
            );
            continue;
        }
        let is_at_silent = ran_at(&silent, &format!("unsafe{i}"));
        assert_ne!(is_at_silent, ran_at(&other, &format!("unsafe{i}")));
        let expected: &[u16] = if is_at_silent { &[502, 504] } else { &[200] };
        assert!(
            expected.contains(&response.status),
            "unsafe{i}: {response:?}"
        );
    }
}

// Guards against bytes that are lost or held without bound on their way through a peer.
#[async_std::test]
async fn large_bodies_pass_through_peers() {
    let linked = Linked::start("gateway-unreached-large").await;
    linked.cut(Cut::Reset).await;
    linked.send_each_kind(0, "learn").await;
    let bytes = 3_000_000;
    for endpoint in &linked.fleet.service_endpoints {
        endpoint.set_behavior(EndpointBehavior::Large(bytes));
    }
    for i in 0..4 {
        let request = Request {
            body: "r".repeat(60_000),
            ..Request::plain("/unsafe/", &format!("large{i}"))
        };
        let response = linked.fleet.send(0, &request).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete && response.body.len() == bytes);
        assert_eq!(linked.runs(&request.id), 1);
    }
}

// Guards against peers that are asked again and again for endpoints which nobody reaches, and against
// requests that go from one daemon to the next.
#[async_std::test]
async fn endpoints_that_no_daemon_reaches_are_asked_for_seldom() {
    let linked = Linked::start("gateway-unreached-all").await;
    for id in ["p1", "p2"] {
        // Nothing listens there.
        let addr = (process::unique_loopback_address(), 8080).into();
        let entry = kingcupspan_platform_standin::settings::entry("plain", addr, "ready");
        linked
            .fleet
            .store
            .put("keyed.servers", id, Some(&entry.to_string()));
    }
    linked.cut(Cut::Reset).await;
    task::sleep(LIST_DELAY).await;
    for endpoint in &linked.fleet.service_endpoints {
        endpoint.drop_connections();
    }
    let started_at = Instant::now();
    for i in 0..40 {
        for daemon in 0..4 {
            let request = Request::plain("/unsafe/", &format!("u{daemon}-{i}"));
            let response = linked.fleet.send(daemon, &request).await;
            assert_eq!(response.status, 503, "{response:?}");
        }
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let mut asked = 0;
    for daemon in 0..4 {
        let label = "tunnels_total{outcome=\"not reached\"}";
        asked += linked.fleet.metric(daemon, label).await;
    }
    // Twice a second for each of two endpoints at four daemons, and once for the start.
    let most = 2.0 * 2.0 * 4.0 * (seconds + 1.0);
    assert!(asked as f64 <= most, "{asked} in {seconds} s");
}
