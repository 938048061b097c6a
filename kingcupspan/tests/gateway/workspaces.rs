//! Workspaces: keys of callers, and what endpoints are told.

use std::time::{Duration, Instant};

use async_std::task;
use kingcupspan_core::digest::Digest;
use kingcupspan_platform::headers::{self, HeaderLookup};
use kingcupspan_platform_standin::{
    caller::{self, Request},
    endpoint::ExecutedRequest,
    settings,
    store::StoreBehavior,
};

use crate::fleet::Fleet;

/// Time within which a configuration that the store has acknowledged is active
/// (`config_apply_ms`).
const APPLY_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Key of a caller of the workspace `north`.
const NORTH_KEY: &str = "north-key";

/// Key of a caller of the workspace `south`.
const SOUTH_KEY: &str = "south-key";

/// Starts a fleet whose configuration has two workspaces.
async fn start_fleet(name: &str, daemons: usize) -> Fleet {
    let workspaces = [("north", NORTH_KEY), ("south", SOUTH_KEY)];
    let configuration = settings::with_workspaces(settings::configuration(2, 2_000), &workspaces);
    Fleet::start_with_configuration(name, daemons, &configuration).await
}

/// Adds a key to a request.
fn with_key(mut request: Request, key: &str) -> Request {
    request.headers += &format!("Authorization: Bearer {key}\r\n");
    request
}

/// Requests with an id that plain endpoints have executed.
fn executed_requests(fleet: &Fleet, id: &str) -> Vec<ExecutedRequest> {
    let executed = fleet.service_endpoints.iter();
    let executed = executed.flat_map(|e| e.executed_requests());
    executed.filter(|r| r.id == id).collect()
}

// Guards against keys of callers that reach endpoints, and against callers that name a workspace
// themselves.
#[async_std::test]
async fn endpoints_are_told_the_workspace_and_no_key() {
    let fleet = start_fleet("gateway-workspace-name", 1).await;
    let mut request = with_key(Request::plain("/safe/x", "r1"), NORTH_KEY);
    request.headers += &format!("{}: south\r\n", headers::WORKSPACE);
    assert_eq!(fleet.send(0, &request).await.status, 200);
    let executed = executed_requests(&fleet, "r1");
    assert_eq!(executed.len(), 1);
    let sent = &executed[0].headers;
    let names: Vec<&[u8]> = sent.all(headers::WORKSPACE).collect();
    assert_eq!(names, [b"north"]);
    assert_eq!(sent.get(headers::AUTHORIZATION), None);
}

// Guards against requests that run without a key, or with one that no workspace holds.
#[async_std::test]
async fn requests_without_a_known_key_are_refused() {
    let fleet = start_fleet("gateway-workspace-keys", 1).await;
    let without_key = Request::plain("/safe/x", "r1");
    assert_eq!(fleet.send(0, &without_key).await.status, 401);
    let unknown = with_key(Request::plain("/safe/x", "r2"), "no-such-key");
    assert_eq!(fleet.send(0, &unknown).await.status, 401);
    for id in ["r1", "r2"] {
        assert_eq!(executed_requests(&fleet, id), []);
    }
}

/// Publishes a configuration in which the workspaces hold these keys.
fn publish(fleet: &Fleet, version: u64, workspaces: &[(&str, &str)]) {
    let configuration = settings::configuration(version, 2_000);
    let configuration = settings::with_workspaces(configuration, workspaces);
    let record = configuration.to_string();
    fleet.store.put("keyed.op", "config", Some(&record));
}

// Guards against programs, turns and budgets of two workspaces that meet, since their callers
// choose the same identifiers.
#[async_std::test]
async fn turns_and_budgets_of_two_workspaces_never_meet() {
    let fleet = start_fleet("gateway-workspace-turns", 2).await;
    let first = Request::turn("p", "t1", None, 300);
    for (daemon, key) in [(0, NORTH_KEY), (1, SOUTH_KEY)] {
        let response = fleet.send(daemon, &with_key(first.clone(), key)).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    let second = Request {
        body: "input of north's t2;".to_owned(),
        ..Request::turn("p", "t2", Some("t1"), 300)
    };
    let response = fleet.send(1, &with_key(second, NORTH_KEY)).await;
    assert_eq!(response.status, 200, "{response:?}");

    let others = Request::turn("p", "t3", Some("t2"), 300);
    let others_turn = fleet.send(0, &with_key(others.clone(), SOUTH_KEY)).await;
    let missing = Request::turn("p", "t4", Some("none"), 300);
    let missing_turn = fleet.send(0, &with_key(missing, SOUTH_KEY)).await;
    assert_eq!(others_turn.status, 404);
    assert_eq!(others_turn, missing_turn, "existence must not be told");

    // Each turn uses 20 tokens of its own workspace's 300.
    let spend = |workspace: &'static str, key: &'static str| {
        let fleet = &fleet;
        async move {
            let mut served = 0;
            for n in 0..20 {
                let turn = Request::turn("p", &format!("{workspace}{n}"), None, 100);
                let status = fleet.send(0, &with_key(turn, key)).await.status;
                if status != 200 {
                    return (served, status);
                }
                served += 1;
            }
            (served, 200)
        }
    };
    let (north, south) = (spend("n", NORTH_KEY).await, spend("s", SOUTH_KEY).await);
    assert_eq!((north.1, south.1), (402, 402));
    assert_eq!(south.0, north.0 + 1, "south has used a turn less before");
}

// Guards against keys that stay in force, or are not yet in force, on connections that stay open.
#[async_std::test]
async fn keys_are_added_and_revoked_on_open_connections() {
    let fleet = start_fleet("gateway-workspace-revoke", 2).await;
    let old = with_key(Request::plain("/safe/x", "r1"), SOUTH_KEY);
    let new = with_key(Request::plain("/safe/x", "r2"), "south-key-2");
    let mut connections = Vec::new();
    for daemon in 0..2 {
        let conn = caller::start_request(fleet.caller_addr(daemon), &old).await;
        let mut conn = conn.expect("the daemon accepts connections");
        let response = caller::read_response_with_timeout(&mut conn).await;
        assert_eq!(response.map(|r| r.status), Some(200), "daemon {daemon}");
        connections.push(conn);
    }
    publish(&fleet, 3, &[("north", NORTH_KEY), ("south", "south-key-2")]);
    task::sleep(APPLY_TIMEOUT).await;
    for (daemon, conn) in connections.iter_mut().enumerate() {
        for (request, status) in [(&old, 401), (&new, 200)] {
            let response = caller::send_on_connection(conn, request).await;
            assert_eq!(response.map(|r| r.status), Some(status), "daemon {daemon}");
        }
    }
}

// Guards against daemons that the store rejects and that go on with revoked keys, or refuse new
// ones; they get the changes from others.
#[async_std::test]
async fn keys_change_on_a_daemon_that_the_store_rejects() {
    let mut fleet = start_fleet("gateway-workspace-rejected", 3).await;
    let server = fleet.restart_with_own_store_server(2).await;
    server.set_behavior(StoreBehavior::Unavailable);
    publish(&fleet, 3, &[("north", "new-key")]);
    let started_at = Instant::now();
    let status = |key: &'static str, id: &'static str| {
        let request = with_key(Request::plain("/safe/x", id), key);
        let fleet = &fleet;
        async move { fleet.send(2, &request).await.status }
    };
    while status("new-key", "r1").await != 200 {
        assert!(started_at.elapsed() < APPLY_TIMEOUT);
        task::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(status(NORTH_KEY, "r2").await, 401);
    assert_eq!(status(SOUTH_KEY, "r3").await, 401);
}

// Guards against a key that is called unknown though a newer configuration may hold it, and
// against one that no longer works where nobody can say that it was revoked.
#[async_std::test]
async fn a_daemon_that_cannot_know_answers_503_and_keeps_to_the_keys_that_it_knows() {
    let fleet = start_fleet("gateway-workspace-cut", 1).await;
    fleet.store.set_behavior(StoreBehavior::Unavailable);
    task::sleep(APPLY_TIMEOUT + Duration::from_millis(1_000)).await;
    let unknown = with_key(Request::plain("/safe/x", "r1"), "perhaps-new");
    assert_eq!(fleet.send(0, &unknown).await.status, 503);
    let known = with_key(Request::plain("/safe/x", "r2"), NORTH_KEY);
    assert_eq!(fleet.send(0, &known).await.status, 200);
    assert_eq!(executed_requests(&fleet, "r1"), []);
}

// Guards against daemons that serve requests before they know the keys, and against turns that
// are lost when all daemons restart.
#[async_std::test]
async fn keys_and_turns_of_a_workspace_outlive_a_restart() {
    let mut fleet = start_fleet("gateway-workspace-restart", 2).await;
    let first = with_key(Request::turn("p", "t1", None, 3_000), NORTH_KEY);
    assert_eq!(fleet.send(0, &first).await.status, 200);
    fleet.daemons.iter_mut().for_each(|d| d.kill());
    (0..2).for_each(|daemon| fleet.restart(daemon));
    let early = with_key(Request::plain("/safe/x", "early"), "no-such-key");
    let status = fleet.send(0, &early).await.status;
    assert!(matches!(status, 0 | 401 | 503), "{status}");
    fleet.wait_until_ready().await;
    let second = Request::turn("p", "t2", Some("t1"), 3_000);
    let norths = with_key(second.clone(), NORTH_KEY);
    assert_eq!(fleet.send(1, &norths).await.status, 200);
    assert_eq!(
        fleet.send(1, &with_key(second, SOUTH_KEY)).await.status,
        404
    );
}

// Guards against keys in logs, state dumps, metrics, records and endpoints.
#[async_std::test]
async fn keys_are_in_no_log_dump_metric_or_record() {
    let fleet = start_fleet("gateway-workspace-secret", 2).await;
    for (daemon, key) in [(0, NORTH_KEY), (1, SOUTH_KEY), (0, "unknown-key")] {
        let turn = with_key(Request::turn("p", "t1", None, 3_000), key);
        fleet.send(daemon, &turn).await;
        fleet
            .send(daemon, &with_key(Request::plain("/safe/x", "r1"), key))
            .await;
    }
    publish(&fleet, 3, &[("north", NORTH_KEY), ("south", "south-key-2")]);
    task::sleep(APPLY_TIMEOUT).await;
    for key in [NORTH_KEY, SOUTH_KEY, "unknown-key", "south-key-2"] {
        for daemon in 0..2 {
            let dump = fleet.operator_text(daemon, "/dump").await;
            let metrics = fleet.operator_text(daemon, "/metrics").await;
            for text in [dump, metrics, fleet.log(daemon)] {
                assert!(!text.is_empty() && !text.contains(key), "{text}");
            }
        }
        assert_eq!(fleet.store.topics_with(key), Vec::<String>::new());
    }
    assert!(!fleet.store.topics_with("t1").is_empty());
}

// Guards against an operator who cannot see what workspaces use, and against digests of keys in
// the dump.
#[async_std::test]
async fn state_dump_shows_workspaces_and_their_use() {
    let fleet = start_fleet("gateway-workspace-dump", 1).await;
    let missing = Request::turn("p", "t1", Some("none"), 3_000);
    for (request, key) in [
        (Request::plain("/safe/x", "r1"), SOUTH_KEY),
        (missing, SOUTH_KEY),
    ] {
        fleet.send(0, &with_key(request, key)).await;
    }
    let dump = fleet.operator_text(0, "/dump").await;
    let digest = Digest::of(SOUTH_KEY.as_bytes()).to_string();
    assert!(!dump.contains(&digest), "{dump}");
    let dump: serde_json::Value = serde_json::from_str(&dump).expect("the dump is JSON");
    assert_eq!(dump["configuration"]["workspaces"], serde_json::Value::Null);
    insta::assert_json_snapshot!(dump["workspaces"][1], @r#"
    {
      "name": "south",
      "priority": 1,
      "quota": null,
      "refused": {
        "no such turn": 1
      },
      "requests": 2
    }
    "#);
}

// Guards against a dump that changes for deployments without workspaces.
#[async_std::test]
async fn state_dump_without_workspaces_names_none() {
    let fleet = Fleet::start("gateway-workspace-none", 1, 2_000).await;
    let dump = fleet.operator_text(0, "/dump").await;
    assert!(dump.contains("turns_in_memory") && !dump.contains("workspaces"));
}

// Guards against callers of a configuration without workspaces whose header is taken for a key.
#[async_std::test]
async fn without_workspaces_the_authorization_is_the_endpoints() {
    let fleet = Fleet::start("gateway-workspace-forward", 1, 2_000).await;
    let request = with_key(Request::plain("/safe/x", "r1"), "callers-own");
    assert_eq!(fleet.send(0, &request).await.status, 200);
    let executed = executed_requests(&fleet, "r1");
    let sent = &executed[0].headers;
    let authorization = sent.get(headers::AUTHORIZATION);
    assert_eq!(authorization, Some("Bearer callers-own"));
    assert_eq!(sent.get(headers::WORKSPACE), None);
}

// Guards against a record with a key that two workspaces hold, which would open one to the other.
#[async_std::test]
async fn configuration_with_invalid_workspaces_is_not_activated() {
    let fleet = start_fleet("gateway-workspace-invalid", 1).await;
    publish(&fleet, 3, &[("north", SOUTH_KEY), ("south", SOUTH_KEY)]);
    task::sleep(APPLY_TIMEOUT).await;
    assert_eq!(fleet.configuration_version(0).await, 2);
    let log = fleet.log(0);
    let list = settings::WORKSPACES;
    let finding = format!("/{list}/1/api_keys/0: /{list}/0 holds the same key");
    assert!(log.contains(&finding), "{log}");
    assert!(!log.contains(SOUTH_KEY));
    let request = with_key(Request::plain("/safe/x", "r1"), NORTH_KEY);
    assert_eq!(fleet.send(0, &request).await.status, 200);
}

// Guards against turns without a workspace that a caller with a key may continue, against ones that
// are lost for deployments without workspaces, and against daemons that stay with the old state.
#[async_std::test]
async fn turns_without_a_workspace_are_read_by_callers_without_one() {
    let fleet = Fleet::start("gateway-workspace-begin", 3, 2_000).await;
    let first = Request::turn("p", "t1", None, 3_000);
    assert_eq!(fleet.send(0, &first).await.status, 200);
    publish(&fleet, 2, &[("north", NORTH_KEY)]);
    task::sleep(APPLY_TIMEOUT).await;
    for daemon in 0..3 {
        let next = Request::turn("p", &format!("n{daemon}"), Some("t1"), 3_000);
        assert_eq!(fleet.send(daemon, &next).await.status, 401);
        let next = with_key(next, NORTH_KEY);
        assert_eq!(fleet.send(daemon, &next).await.status, 404);
    }
    let without = settings::configuration(3, 2_000).to_string();
    fleet.store.put("keyed.op", "config", Some(&without));
    task::sleep(APPLY_TIMEOUT).await;
    for daemon in 0..3 {
        let next = Request::turn("p", &format!("w{daemon}"), Some("t1"), 3_000);
        assert_eq!(
            fleet.send(daemon, &next).await.status,
            200,
            "daemon {daemon}"
        );
    }
}
