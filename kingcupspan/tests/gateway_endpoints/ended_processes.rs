//! Tests of responses without a length whose endpoint ends before it has sent the whole body.

use std::time::Duration;

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::{BodyEnd, EndpointBehavior},
    settings,
};
use kingcupspan_standin::relay;

use crate::{fleet::Fleet, process};

/// Interval at which a daemon notices a change of the list of endpoints, with a margin.
const LIST_DELAY: Duration = Duration::from_millis(900);

/// Time in which an endpoint that crashes is up again, with a margin.
const RESTART_TIME: Duration = Duration::from_millis(1_000);

/// Time of a response that outlasts idle connections.
const LONG_TIME: Duration = Duration::from_millis(4_600);

/// Time in which a daemon finds out whether an endpoint has crashed.
const PROBE_TIME: Duration = Duration::from_millis(2_000);

/// Time after which a response has reached the daemon as far as its endpoint has sent it.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// Makes all endpoints send responses without a length.
fn send_without_length(fleet: &Fleet, end: BodyEnd) {
    let behavior = |is_stream| EndpointBehavior::WithoutLength { is_stream, end };
    fleet.engine.set_behavior(behavior(true));
    for endpoint in &fleet.service_endpoints {
        endpoint.set_behavior(behavior(false));
    }
}

/// Crashes all endpoints while a request of each kind is in flight; returns the responses.
async fn crash_with_requests_in_flight(fleet: &Fleet) -> Vec<Response> {
    let addr = fleet.caller_addr(0);
    let requests = [
        Request::plain("/safe/", "cut-safe"),
        Request::plain("/unsafe/", "cut-unsafe"),
        Request::turn("cut", "cut-turn", None, 1_000),
    ];
    let sent = requests.map(|r| task::spawn(async move { caller::send(addr, &r).await }));
    task::sleep(ARRIVAL_TIME).await;
    fleet.engine.crash();
    fleet.service_endpoints.iter().for_each(|e| e.crash());
    let mut responses = Vec::new();
    for response in sent {
        responses.push(response.await);
    }
    responses
}

// Guards against a response that ends since its endpoint was killed, and looks complete.
#[async_std::test]
async fn response_that_ends_with_a_killed_endpoint_is_not_complete() {
    let fleet = Fleet::start("gateway-ended-process", 1, 3_000).await;
    send_without_length(&fleet, BodyEnd::Held);
    for response in crash_with_requests_in_flight(&fleet).await {
        assert!(
            !response.is_complete || response.status >= 500,
            "{response:?}"
        );
    }
}

/// Starts a daemon of which only the first endpoint of the service is listed.
async fn start_with_one_endpoint(name: &str, timeout_ms: u64) -> Fleet {
    let fleet = Fleet::start(name, 1, timeout_ms).await;
    fleet.store.put("keyed.servers", "p2", None);
    task::sleep(LIST_DELAY).await;
    fleet
}

/// Leaves several idle connections to the endpoint of the service.
async fn fill_idle_connections(fleet: &Fleet) {
    let endpoint = &fleet.service_endpoints[0];
    endpoint.set_behavior(EndpointBehavior::Plain);
    endpoint.set_delay(Duration::from_millis(100));
    let addr = fleet.caller_addr(0);
    let requests = (0..4).map(|i| {
        let request = Request::plain("/safe/", &format!("fill{i}"));
        task::spawn(async move { caller::send(addr, &request).await })
    });
    for sent in requests.collect::<Vec<_>>() {
        assert_eq!(sent.await.status, 200);
    }
    endpoint.set_delay(Duration::ZERO);
}

/// Checks that the whole body arrives of a request that must not be repeated.
async fn assert_is_whole(fleet: &Fleet, id: &str) {
    let response = fleet.send(0, &Request::plain("/unsafe/", id)).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body, format!("done {id}\n"));
    assert!(response.is_complete);
}

// Guards against the refusal of whole bodies: of an endpoint that tells nothing of its runs, and whose
// responses outlast idle connections.
#[async_std::test]
async fn long_response_of_an_endpoint_without_a_report_is_complete() {
    let fleet = start_with_one_endpoint("gateway-ended-long", 9_000).await;
    fleet.service_endpoints[0].omit_report();
    send_without_length(&fleet, BodyEnd::Closed);
    assert_is_whole(&fleet, "short").await;
    fleet.service_endpoints[0].set_delay(LONG_TIME);
    assert_is_whole(&fleet, "long").await;
}

// Guards against the refusal of whole bodies of an endpoint that was started again and is listed late.
#[async_std::test]
async fn response_of_a_run_that_is_not_listed_yet_is_complete() {
    let fleet = start_with_one_endpoint("gateway-ended-unlisted", 3_000).await;
    fleet.service_endpoints[0].replace(2);
    fill_idle_connections(&fleet).await;
    send_without_length(&fleet, BodyEnd::Closed);
    // The oldest connection, if this request is sent on it, may lead to the listed run.
    let first = fleet.send(0, &Request::plain("/safe/", "first")).await;
    assert_eq!(first.body, "done first\n", "{first:?}");
    for i in 0..6 {
        assert_is_whole(&fleet, &format!("unlisted{i}")).await;
    }
}

/// Crashes the endpoint of a service whose connections are held back until it is up again; returns
/// the response to a request that was in flight.
async fn crash_behind_a_relay(fleet: &Fleet) -> Response {
    let addr = (process::unique_loopback_address(), 8080).into();
    let relay = relay::start(addr, fleet.plain_endpoint_addr("p1")).await;
    let relay = relay.expect("the address is free");
    let entry = settings::entry("plain", addr, "ready").to_string();
    fleet.store.put("keyed.servers", "p1", Some(&entry));
    task::sleep(LIST_DELAY).await;
    fleet.service_endpoints[0].drop_connections();
    fill_idle_connections(fleet).await;
    send_without_length(fleet, BodyEnd::Held);
    let caller = fleet.caller_addr(0);
    let request = Request::plain("/unsafe/", "held-back");
    let sent = task::spawn(async move { caller::send(caller, &request).await });
    task::sleep(ARRIVAL_TIME).await;
    relay.link_faults.set_blocked(true);
    fleet.service_endpoints[0].crash();
    task::sleep(RESTART_TIME).await;
    relay.link_faults.set_blocked(false);
    sent.await
}

// Guards against the next run of an endpoint that passes for the one which has sent a part of a body.
#[async_std::test]
async fn response_that_was_held_back_past_a_restart_is_not_complete() {
    let fleet = start_with_one_endpoint("gateway-ended-held-back", 5_000).await;
    let response = crash_behind_a_relay(&fleet).await;
    assert_eq!(response.status, 502, "{response:?}");
}

// Guards against the same if the endpoint tells nothing of its runs.
#[async_std::test]
async fn response_of_an_untold_run_that_was_held_back_past_a_restart_is_not_complete() {
    let fleet = start_with_one_endpoint("gateway-ended-untold", 5_000).await;
    fleet.service_endpoints[0].omit_report();
    let response = crash_behind_a_relay(&fleet).await;
    assert_eq!(response.status, 502, "{response:?}");
}

// Guards against requests that are refused everywhere since endpoints went down behind their responses.
#[async_std::test]
async fn endpoint_that_goes_down_behind_its_response_has_not_crashed() {
    let fleet = Fleet::start("gateway-ended-behind", 1, 3_000).await;
    send_without_length(&fleet, BodyEnd::Crash);
    for _ in 0..4 {
        let response = fleet.send(0, &Request::plain("/unsafe/", "behind")).await;
        assert!(matches!(response.status, 502 | 503), "{response:?}");
        task::sleep(PROBE_TIME).await;
    }
    let log = fleet.log(0);
    assert!(!log.contains("endpoint crashed"), "{log}");
    send_without_length(&fleet, BodyEnd::Closed);
    assert_is_whole(&fleet, "behind").await;
}
