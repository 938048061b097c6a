//! Tests of what is concluded from reports and from the ends of responses.

use std::{net, sync::Arc, time::Duration};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::StreamExt;
use kingcupspan::http::conn::Conn;
use kingcupspan_platform::headers::HeaderLookup;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::{BodyEnd, Endpoint, EndpointBehavior},
    settings,
};

use crate::{
    fleet::Fleet,
    process,
    versions::{self, LIST_DELAY},
};

/// Maximum size of a request's head or body.
const REQUEST_MAX_BYTES: usize = 64 * 1024;

/// Number of requests in flight together.
const TOGETHER: usize = 6;

/// Time of a response after which an endpoint may have been started again.
const SLOW: Duration = Duration::from_millis(800);

/// Time of a response that outlasts a change of the list.
const SLOWEST: Duration = Duration::from_millis(2_500);

/// Time after which a response has reached the daemon as far as its endpoint has sent it.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Report of an endpoint that has none.
const NO_REPORT: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// Time of a late report, after which a caller still waits.
const LATE_REPORT_TIME: Duration = Duration::from_millis(300);

/// Report of an endpoint.
const REPORT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}";

/// Report of an endpoint that closes connections, as one does that leaves.
const CLOSING_REPORT: &str =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n{\"born\":1}";

/// How an endpoint gives its report and ends its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    /// It has no report, and says so once more before its next response.
    RepeatsReport,

    /// It closes the connection behind each response, which has no length, and each report.
    Closes,

    /// It takes its time for the report.
    ReportsLate,
}

/// Responds to requests on a connection.
async fn serve_connection(stream: TcpStream, manner: Manner) {
    let mut conn = Conn::new(stream);
    let mut owed = "";
    while let Ok(head) = conn.request_head(REQUEST_MAX_BYTES).await {
        let mut framing = head.framing.clone();
        if conn.body(&mut framing, REQUEST_MAX_BYTES).await.is_err() {
            return;
        }
        let id = head.headers.get("kingcupspan-request-id");
        let text = match (id, manner) {
            (None, Manner::RepeatsReport) => {
                owed = NO_REPORT;
                NO_REPORT.to_owned()
            }
            (None, Manner::Closes) => CLOSING_REPORT.to_owned(),
            (None, Manner::ReportsLate) => {
                task::sleep(LATE_REPORT_TIME).await;
                REPORT.to_owned()
            }
            (Some(id), _) => std::mem::take(&mut owed).to_owned() + &response(id, manner),
        };
        if conn.write(text.as_bytes()).await.is_err() || manner == Manner::Closes {
            return;
        }
    }
}

/// Response to a request, a stream of one event.
fn response(id: &str, manner: Manner) -> String {
    let event = format!("id: 1\ndata: {id}.1\n\n");
    let framing = match manner {
        Manner::RepeatsReport | Manner::ReportsLate => {
            format!("Content-Length: {}\r\n", event.len())
        }
        Manner::Closes => "Connection: close\r\n".to_owned(),
    };
    format!(
        "HTTP/1.1 200 OK\r\nKingcupspan-Request-Id: {id}\r\nKingcupspan-Server-Signature: s\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n{event}"
    )
}

/// Starts a daemon whose endpoints are one engine and one endpoint of the service, both of a manner.
async fn start_with(name: &str, manner: Manner) -> Fleet {
    let configuration = settings::with_resumable_route(settings::configuration(1, 4_000));
    let fleet = Fleet::start_with_configuration(name, 1, &configuration).await;
    fleet.store.put("keyed.servers", "p2", None);
    for (id, service) in [("e1", "llm"), ("p1", "plain")] {
        let addr = net::SocketAddr::new(process::unique_loopback_address().into(), 8080);
        let listener = TcpListener::bind(addr).await.expect("the address is free");
        task::spawn(async move {
            while let Some(Ok(stream)) = listener.incoming().next().await {
                task::spawn(serve_connection(stream, manner));
            }
        });
        let entry = settings::entry(service, addr, "ready").to_string();
        fleet.store.put("keyed.servers", id, Some(&entry));
    }
    task::sleep(LIST_DELAY).await;
    for endpoint in fleet.service_endpoints.iter().chain([&fleet.engine]) {
        endpoint.drop_connections();
    }
    fleet
}

// Guards against a late second report that is passed on as the answer to a request.
#[async_std::test]
async fn late_report_is_not_passed_on() {
    let fleet = start_with("gateway-reviewed-report", Manner::RepeatsReport).await;
    for i in 0..4 {
        let request = versions::begin(&format!("p{i}"), &format!("late{i}"));
        let response = fleet.send(0, &request).await;
        let is_own = response.body.contains(&format!("late{i}.1"));
        assert!(
            matches!(response.status, 502 | 503) || is_own,
            "{response:?}"
        );
    }
}

// Guards against whole bodies that are refused since their endpoint leaves, or always closes.
#[async_std::test]
async fn body_without_a_length_of_an_endpoint_that_closes_connections_is_whole() {
    let fleet = start_with("gateway-reviewed-closing", Manner::Closes).await;
    let request = Request::plain("/unsafe/", "closing");
    let response = fleet.send(0, &request).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.body.contains("closing.1"), "{response:?}");
}

// Guards against streams that are never sent to an endpoint which closes connections.
#[async_std::test]
async fn endpoint_that_closes_connections_gets_streams() {
    let fleet = start_with("gateway-reviewed-streams", Manner::Closes).await;
    let response = fleet.send(0, &versions::begin("p", "stream")).await;
    assert_eq!(response.status, 200, "{response:?}");
}

// Guards against streams that are never sent to an endpoint whose report takes long.
#[async_std::test]
async fn endpoint_that_reports_late_gets_streams() {
    let fleet = start_with("gateway-reviewed-late", Manner::ReportsLate).await;
    let response = fleet.send(0, &versions::begin("p", "stream")).await;
    assert_eq!(response.status, 200, "{response:?}");
}

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

// Guards against a turn that was answered whole, without a body, and cannot be continued.
#[async_std::test]
async fn turn_that_was_answered_without_a_body_is_continued() {
    let fleet = Fleet::start("gateway-reviewed-bodiless", 1, 4_000).await;
    let engine = &fleet.engine;
    engine.set_behavior(EndpointBehavior::OddStatus(204));
    let first = Request::turn("p", "first", None, 1_000);
    assert_eq!(fleet.send(0, &first).await.status, 204);
    engine.set_behavior(EndpointBehavior::Stream {
        events: 2,
        pause: Duration::ZERO,
    });
    let next = Request::turn("p", "next", Some("first"), 1_000);
    let response = fleet.send(0, &next).await;
    assert_eq!(response.status, 200, "{response:?}");
}
