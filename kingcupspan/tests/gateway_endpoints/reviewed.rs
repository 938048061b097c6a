//! Tests of whether a report tells what is concluded from it.

use std::{net, sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::{BodyEnd, Endpoint, EndpointBehavior},
    settings,
};

use crate::{fleet::Fleet, process, versions::LIST_DELAY};

/// Number of requests in flight together.
const TOGETHER: usize = 6;

/// Time of a response after which an endpoint may have been started again.
const SLOW: Duration = Duration::from_millis(800);

/// Time of a response that outlasts a change of the list.
const SLOWEST: Duration = Duration::from_millis(2_500);

/// Time after which a response has reached the daemon as far as its endpoint has sent it.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Starts a daemon of which only the first endpoint of the service is listed.
async fn start_with_one_endpoint(name: &str) -> Fleet {
    let fleet = Fleet::start(name, 1, 9_000).await;
    fleet.store.put("keyed.servers", "p2", None);
    task::sleep(LIST_DELAY).await;
    fleet
}

/// Sends requests that must not be repeated, all at once.
async fn send_together(fleet: &Fleet) -> Vec<Response> {
    let addr = fleet.caller_addr(0);
    let requests = (0..TOGETHER).map(|i| Request::plain("/unsafe/", &format!("together{i}")));
    let sent = requests.map(|r| task::spawn(async move { caller::send(addr, &r).await }));
    let mut responses = Vec::new();
    for response in sent.collect::<Vec<_>>() {
        responses.push(response.await);
    }
    responses
}

/// A body without a length that ends in this way.
const fn without_length(end: BodyEnd) -> EndpointBehavior {
    let is_stream = false;
    EndpointBehavior::WithoutLength { is_stream, end }
}

// Guards against whole bodies that are refused since they end together, and the one connection by
// which their end is checked serves one of them.
#[async_std::test]
async fn slow_bodies_that_end_together_are_whole() {
    let fleet = start_with_one_endpoint("gateway-reviewed-together").await;
    let endpoint = &fleet.service_endpoints[0];
    endpoint.omit_report();
    endpoint.set_behavior(without_length(BodyEnd::Closed));
    // From here on the daemon keeps a connection by which ends are checked.
    let first = fleet.send(0, &Request::plain("/unsafe/", "first")).await;
    assert_eq!(first.status, 200, "{first:?}");
    endpoint.set_delay(SLOW);
    let responses = send_together(&fleet).await;
    let statuses: Vec<u16> = responses.iter().map(|r| r.status).collect();
    assert_eq!(statuses, [200; TOGETHER]);
}

/// Starts the second run of the first endpoint at an address of its own, and lists it.
fn start_new_run(fleet: &Fleet) -> Arc<Endpoint> {
    let addr = net::SocketAddr::new(process::unique_loopback_address().into(), 8080);
    let endpoint = Endpoint::new("p1", without_length(BodyEnd::Held));
    endpoint.replace(2);
    task::spawn(Arc::clone(&endpoint).serve(addr));
    let mut entry = settings::entry("plain", addr, "ready");
    entry["born"] = 2.into();
    let entry = entry.to_string();
    fleet.store.put("keyed.servers", "p1", Some(&entry));
    endpoint
}

// Guards against a part of a body that passes for the whole since a former run of its endpoint lives.
#[async_std::test]
async fn former_run_is_no_evidence_for_the_body_of_the_new_one() {
    let fleet = start_with_one_endpoint("gateway-reviewed-former").await;
    fleet.service_endpoints[0].set_delay(SLOWEST);
    let addr = fleet.caller_addr(0);
    let send = |id: &str| {
        let request = Request::plain("/unsafe/", id);
        task::spawn(async move { caller::send(addr, &request).await })
    };
    let slow = send("slow");
    task::sleep(ARRIVAL_TIME).await;
    let new = start_new_run(&fleet);
    task::sleep(LIST_DELAY).await;
    let cut = send("cut");
    assert_eq!(slow.await.status, 200);
    task::sleep(ARRIVAL_TIME).await;
    assert_eq!(new.executed_requests().len(), 1);
    new.crash();
    let response = cut.await;
    assert_eq!(response.status, 502, "{response:?}");
}
