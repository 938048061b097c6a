//! Tests of responses without a length whose endpoint ends before it has sent the whole body.

use std::time::Duration;

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::{BodyEnd, EndpointBehavior},
};

use crate::fleet::Fleet;

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
