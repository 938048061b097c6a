//! Tests of whether a report tells what is concluded from it.

use std::{net, sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{self, Request},
    endpoint::{BodyEnd, Endpoint, EndpointBehavior},
    settings,
};

use crate::{fleet::Fleet, process, versions::LIST_DELAY};

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

/// A body without a length that ends in this way.
const fn without_length(end: BodyEnd) -> EndpointBehavior {
    let is_stream = false;
    EndpointBehavior::WithoutLength { is_stream, end }
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
