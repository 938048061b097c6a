//! Tests of responses that pass through a peer whose process ends.

use std::time::Duration;

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::{BodyEnd, EndpointBehavior},
    link::Cut,
};

use crate::linked::Linked;

/// Time after which a response has passed through a peer as far as its endpoint has sent it.
const PASSING_TIME: Duration = Duration::from_millis(300);

/// Starts a fleet whose first daemon needs peers, and whose endpoints send bodies without a length.
async fn start_without_length(name: &str, end: BodyEnd) -> Linked {
    let linked = Linked::start(name).await;
    linked.cut(Cut::Reset).await;
    linked.send_each_kind(0, "learn").await;
    let behavior = |is_stream| EndpointBehavior::WithoutLength { is_stream, end };
    linked.fleet.engine.set_behavior(behavior(true));
    for endpoint in &linked.fleet.service_endpoints {
        endpoint.set_behavior(behavior(false));
    }
    linked
}

/// Kills the peers of the first daemon while it has one request of each kind in flight; returns the
/// responses.
async fn kill_peers(linked: &mut Linked) -> Vec<Response> {
    let addr = linked.fleet.caller_addr(0);
    let requests = [
        Request::plain("/safe/", "cut-safe"),
        Request::plain("/unsafe/", "cut-unsafe"),
        Request::turn("cut", "cut-turn", None, 1_000),
    ];
    let sent = requests.map(|r| task::spawn(async move { caller::send(addr, &r).await }));
    task::sleep(PASSING_TIME).await;
    for daemon in [1, 3] {
        linked.fleet.daemons[daemon].kill();
    }
    let mut responses = Vec::new();
    for response in sent {
        responses.push(response.await);
    }
    responses
}

// Guards against a response that ends since the process of a peer was killed, and looks complete.
#[async_std::test]
async fn response_that_ends_with_a_killed_peer_is_not_complete() {
    let mut linked = start_without_length("gateway-ended-peer", BodyEnd::Held).await;
    for response in kill_peers(&mut linked).await {
        assert!(
            !response.is_complete || response.status >= 500,
            "{response:?}"
        );
    }
}

// Guards against the refusal of whole bodies that come through peers.
#[async_std::test]
async fn response_that_a_peer_passes_on_to_its_end_is_complete() {
    let linked = start_without_length("gateway-ended-whole", BodyEnd::Closed).await;
    for i in 0..6 {
        for path in ["/safe/", "/unsafe/"] {
            let id = format!("whole{}{i}", &path[1..3]);
            let response = linked.fleet.send(0, &Request::plain(path, &id)).await;
            assert_eq!(response.status, 200, "{response:?}");
            assert!(response.is_complete, "{response:?}");
            assert_eq!(response.body, format!("done {id}\n"));
        }
    }
    let log = linked.fleet.log(0);
    assert!(log.contains("until close, through"), "{log}");
}
