//! Tests of endpoints that answer a request twice, the second time late.

use std::{collections::HashSet, time::Duration};

use async_std::{future, net::TcpStream, task};
use kingcupspan::http::conn::Conn;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::EndpointBehavior,
};

use crate::fleet::Fleet;

/// Number of requests in flight together, which leave as many idle connections.
const TOGETHER: usize = 8;

/// Time for which a caller waits for the answer to a HEAD request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a daemon whose endpoints send each response once more before the next.
async fn start_repeating(name: &str, is_named: bool) -> Fleet {
    let fleet = Fleet::start(name, 1, 1_000).await;
    let behavior = EndpointBehavior::RepeatsResponse { is_named };
    fleet
        .service_endpoints
        .iter()
        .for_each(|e| e.set_behavior(behavior));
    fleet
}

/// Sends requests that may not be repeated, all at once.
async fn send_together(fleet: &Fleet, prefix: &str) -> Vec<Response> {
    let addr = fleet.caller_addr(0);
    let sent = (0..TOGETHER).map(|i| {
        let request = Request::plain("/unsafe/", &format!("{prefix}{i}"));
        task::spawn(async move { caller::send(addr, &request).await })
    });
    let sent: Vec<_> = sent.collect();
    let mut responses = Vec::new();
    for response in sent {
        responses.push(response.await);
    }
    responses
}

/// Sends a HEAD request and returns the status of its response, 0 if there is none.
async fn send_head(fleet: &Fleet, id: &str) -> u16 {
    let status = async {
        let mut conn = Conn::new(TcpStream::connect(fleet.caller_addr(0)).await.ok()?);
        let request = format!(
            "HEAD /unsafe/ HTTP/1.1\r\nHost: test.example\r\nKingcupspan-Request-Id: {id}\r\n\
             Kingcupspan-Deadline-Ms: 5000\r\n\r\n"
        );
        conn.write(request.as_bytes()).await.ok()?;
        let head = conn.response_head("HEAD").await.ok()?;
        Some(head.status)
    };
    let status = future::timeout(HEAD_TIMEOUT, status).await;
    status.ok().flatten().unwrap_or_default()
}

// Guards against a caller's next try under the same id that gets the answer to the first one.
#[async_std::test]
async fn next_try_does_not_get_the_late_answer_to_the_first() {
    let fleet = start_repeating("gateway-late-same-id", true).await;
    let mut bodies = HashSet::new();
    for _ in 0..10 {
        for id in ["again1", "again2"] {
            let response = fleet.send(0, &Request::plain("/unsafe/", id)).await;
            assert_eq!(response.status, 200, "{response:?}");
            assert!(response.body.starts_with(&format!("done {id} in run")));
            assert!(bodies.insert(response.body.clone()), "{response:?}");
        }
    }
}

// Guards against a caller who uses one id again and again and fills the endpoint with connections.
#[async_std::test]
async fn tries_under_one_id_leave_few_connections() {
    let fleet = Fleet::start("gateway-late-one-id", 1, 1_000).await;
    for _ in 0..50 {
        let response = fleet.send(0, &Request::plain("/unsafe/", "one")).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    // Endpoints learn of a closed connection a moment later.
    task::sleep(Duration::from_millis(300)).await;
    for endpoint in &fleet.service_endpoints {
        let open = endpoint.open_connections();
        assert!(open <= TOGETHER, "{open} open connections");
    }
}

/// Sends requests of which every third is HEAD, beginning with the one numbered `head_at`.
///
/// Endpoints take turns, so that each gets requests of both methods.
async fn assert_methods_do_not_mix(fleet: &Fleet, head_at: usize) {
    for i in 0..30 {
        let id = format!("mixed{i}");
        if i % 3 == head_at {
            assert_eq!(send_head(fleet, &id).await, 200, "{id}");
            continue;
        }
        let response = fleet.send(0, &Request::plain("/unsafe/", &id)).await;
        assert_eq!(response.status, 200, "{id}: {response:?}");
        assert!(response.body.starts_with(&format!("done {id} in run")));
    }
}

// Guards against a late answer to HEAD whose announced body is awaited and never comes.
#[async_std::test]
async fn late_answer_to_head_does_not_cost_the_next_answer() {
    let fleet = start_repeating("gateway-late-head-first", true).await;
    assert_methods_do_not_mix(&fleet, 0).await;
}

// Guards against a late answer whose body is left on the connection, since a HEAD request waits there.
#[async_std::test]
async fn late_answer_does_not_cost_the_answer_to_head() {
    let fleet = start_repeating("gateway-late-head-next", true).await;
    assert_methods_do_not_mix(&fleet, 2).await;
}

// Guards against a late answer without an id that is passed on as the answer to the next request.
#[async_std::test]
async fn late_answer_that_names_no_request_is_not_passed_on() {
    let fleet = start_repeating("gateway-late-unnamed", false).await;
    for i in 0..20 {
        for path in ["/unsafe/", "/safe/"] {
            let id = format!("next{i}-{}", path.trim_matches('/'));
            let response = fleet.send(0, &Request::plain(path, &id)).await;
            let is_own = response.body.starts_with(&format!("done {id} in run"));
            assert!(response.status != 200 || is_own, "{id}: {response:?}");
            assert!([200, 502].contains(&response.status), "{id}: {response:?}");
        }
    }
}

// Guards against endpoints whose every second answer is lost, since none names its request.
#[async_std::test]
async fn endpoint_that_names_no_requests_is_served() {
    let fleet = Fleet::start("gateway-late-nameless", 1, 1_000).await;
    for endpoint in &fleet.service_endpoints {
        endpoint.omit_request_ids();
        // The connections from before have answered with ids.
        endpoint.drop_connections();
    }
    task::sleep(Duration::from_millis(100)).await;
    for i in 0..20 {
        let id = format!("nameless{i}");
        let response = fleet.send(0, &Request::plain("/unsafe/", &id)).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body, format!("done {id}\n"));
    }
}

// Guards against an endpoint that stops to name requests and costs an answer on each connection.
#[async_std::test]
async fn endpoint_that_stops_naming_requests_costs_few_answers() {
    let fleet = Fleet::start("gateway-late-stops", 1, 1_000).await;
    for response in send_together(&fleet, "before").await {
        assert_eq!(response.status, 200, "{response:?}");
    }
    fleet
        .service_endpoints
        .iter()
        .for_each(|e| e.omit_request_ids());
    let mut lost = 0;
    for i in 0..3 * TOGETHER {
        let id = format!("after{i}");
        let response = fleet.send(0, &Request::plain("/unsafe/", &id)).await;
        match response.status {
            200 => assert_eq!(response.body, format!("done {id}\n")),
            502 => lost += 1,
            _ => panic!("{response:?}"),
        }
    }
    assert!(lost <= fleet.service_endpoints.len(), "{lost} lost");
}
