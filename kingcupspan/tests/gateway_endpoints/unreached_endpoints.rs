//! Tests of daemons that do not reach the endpoints while other daemons do.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan::edge::tcp::Remote;
use kingcupspan_platform_standin::{
    caller::{self, Request},
    endpoint::{Endpoint, EndpointBehavior},
    link::Cut,
};

use crate::{
    linked::{LIST_DELAY, Linked},
    process,
};

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
