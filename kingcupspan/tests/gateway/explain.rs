//! Explanations where requests would go, compared with where they go.

use std::net;

use http_types::Method;
use kingcupspan::{
    command::explain,
    edge::client::{Client, ClientRequest},
    gateway::serve::explain::Explanation,
};
use kingcupspan_platform_standin::{
    caller::Request,
    endpoint::{Endpoint, EndpointBehavior},
    settings,
};

use crate::fleet::Fleet;

/// Requests of each kind that are explained and then sent.
const REQUESTS: usize = 100;

/// Returns where a daemon would send a request.
async fn explain(fleet: &Fleet, request: &Request) -> Explanation {
    let mut headers: Vec<String> = request.headers.lines().map(str::to_owned).collect();
    headers.push(format!("Kingcupspan-Request-Id: {}", request.id));
    let target = format!("test.example{}", request.path);
    let path = explain::request_path("POST", &headers, &target);
    let addr = net::SocketAddr::new(fleet.addresses[0].into(), 7395);
    let response = Client::default()
        .send(ClientRequest::new(Method::Get, addr, path))
        .await
        .expect("the daemon answers");
    let bytes = response.bytes(1 << 20).await.expect("it can be read");
    serde_json::from_slice(&bytes).expect("the explanation is JSON")
}

/// Total number of requests that endpoints have executed.
fn runs(endpoints: &[std::sync::Arc<Endpoint>]) -> usize {
    endpoints.iter().map(|e| e.executed_requests().len()).sum()
}

// Guards against explanations that differ from what happens, or that run or count something.
#[async_std::test]
async fn requests_go_where_they_were_explained_to_go() {
    let fleet = Fleet::start("gateway-explain", 1, 3_000).await;
    let behavior = EndpointBehavior::Stream {
        events: 1,
        pause: std::time::Duration::from_millis(1),
    };
    let mut endpoints = vec![fleet.engine.clone()];
    endpoints.extend(fleet.service_endpoints.iter().cloned());
    for id in ["e2", "e3"] {
        endpoints.push(Fleet::start_endpoint(&fleet.store, "llm", id, behavior));
    }
    async_std::task::sleep(std::time::Duration::from_millis(1_500)).await;
    for i in 0..REQUESTS {
        let program = format!("program{}", i / 2);
        let requests = [
            Request::plain("/unsafe/x", &format!("plain{i}")),
            Request::turn(&program, &format!("turn{i}"), None, 100_000),
        ];
        for request in requests {
            let before = runs(&endpoints);
            explain(&fleet, &request).await;
            let explained = explain(&fleet, &request).await;
            assert_eq!(runs(&endpoints), before, "an explanation was run");
            let first = &explained.endpoints.first().expect("there is an endpoint");
            let response = fleet.send(0, &request).await;
            let signature = format!("s-{}", first.endpoint.id);
            assert_eq!(response.signature, Some(signature), "{explained:?}");
        }
    }
}

// Guards against an explanation that misses why a request is refused.
#[async_std::test]
async fn refusals_are_explained() {
    let fleet = Fleet::start("gateway-explain-refusal", 1, 3_000).await;
    let unknown = Request::plain("/none/", "n");
    let explained = explain(&fleet, &unknown).await;
    let response = fleet.send(0, &unknown).await;
    let refusal = explained.refusal.as_ref().expect("it is refused");
    assert_eq!(refusal.status, response.status);
    assert_eq!(format!("{}\n", refusal.reason), response.body);
    let lines = explain::lines(&explained);
    assert_eq!(lines, "configuration 1\nrefused: 404 no route\n");
    fleet.engine.report_load(8, 8, 4);
    let first = Request::turn("busy", "b1", None, 1_000);
    assert_eq!(fleet.send(0, &first).await.status, 200);
    let explained = explain(&fleet, &Request::turn("new", "b2", None, 1_000)).await;
    assert_eq!(explained.refused_share, 1.0, "{explained:?}");
    let lines = explain::lines(&explained);
    // The first request was one of the 16 and has ended.
    let pressure = "3.75 requests a slot, 100% refused";
    assert!(lines.contains(pressure), "{lines}");
}

// Guards against a command that asks for another request than it was told.
#[async_std::test]
async fn command_prints_where_a_request_would_go() {
    let fleet = Fleet::start("gateway-explain-command", 1, 3_000).await;
    let request = Request::plain("/safe/a?b=c&d=%20", "explain");
    let explained = explain(&fleet, &request).await;
    let daemon = format!("{}:7395", fleet.addresses[0]);
    let target = format!("test.example{}", request.path);
    let header = "Kingcupspan-Request-Id: explain";
    let args = ["explain", "--daemon", &daemon, "--header", header];
    let output = |json: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_kingcupspan"));
        let output = command.args(args).args(json).arg(&target).output();
        let output = output.expect("the command runs").stdout;
        String::from_utf8(output).expect("the output is UTF-8")
    };
    let lines = output(&[]);
    assert_eq!(lines, explain::lines(&explained));
    println!("{lines}");
    let json: Explanation = serde_json::from_str(&output(&["--json"])).expect("it is JSON");
    assert_eq!(json, explained);
}

// Guards against explanations that count as requests of a workspace, or that name the rank of the
// route where that of the workspace decides.
#[async_std::test]
async fn workspaces_are_explained_and_not_counted() {
    let configuration = settings::configuration(2, 3_000);
    let mut configuration = settings::with_workspaces(configuration, &[("north", "north-key")]);
    configuration["tenants"][0]["priority"] = 2.into();
    let fleet = Fleet::start_with_configuration("gateway-explain-rank", 1, &configuration).await;
    let with_key = |mut request: Request| {
        request.headers += "Authorization: Bearer north-key\r\n";
        request
    };
    // One of the four requests is the first turn itself, which has ended.
    fleet.engine.report_load(4, 0, 4);
    let first = with_key(Request::turn("first", "w1", None, 1_000));
    assert_eq!(fleet.send(0, &first).await.status, 200);
    let counted = || async {
        let dump = fleet.operator_text(0, "/dump").await;
        let dump: serde_json::Value = serde_json::from_str(&dump).expect("the dump is JSON");
        dump["workspaces"][0]["requests"].as_u64()
    };
    let before = counted().await;
    let new = with_key(Request::turn("new", "w2", None, 1_000));
    let explained = explain(&fleet, &new).await;
    assert_eq!(counted().await, before, "an explanation was counted");
    assert_eq!(explained.workspace.as_deref(), Some("north"));
    let route = explained.route.as_ref().expect("there is a route");
    assert_eq!(route.rank, 1, "{explained:?}");
    // At a utilization of 0.75, programs of rank 0 all begin, and nine of ten others do.
    assert!(
        (explained.refused_share - 0.1).abs() < 1e-6,
        "{explained:?}"
    );
}
