//! Tests of request handling when endpoints fail, refuse requests or are removed.

use std::{net, sync::Arc, time::Duration, time::Instant};

use async_std::{future, task};
use kingcupspan_platform_standin::{
    caller::{self, Request},
    endpoint::{Endpoint, EndpointBehavior},
    settings,
};
use serde_json::json;

use crate::{fleet::Fleet, process};

// An idempotent request is lost at its only endpoint, so it cannot be retried. The error must
// not be a status that guarantees that the request has not run.
#[async_std::test]
async fn a_request_that_may_have_run_is_answered_with_502() {
    let fleet = Fleet::start("gateway-left", 1, 3_000).await;
    fleet.store.put("keyed.servers", "p2", None);
    task::sleep(Duration::from_millis(900)).await;
    fleet.service_endpoints[0].set_behavior(EndpointBehavior::Hangs);
    let request = Request::plain("/safe/", "left");
    let mut conn = caller::start_request(fleet.caller_addr(0), &request)
        .await
        .expect("the daemon accepts connections");
    task::sleep(Duration::from_millis(200)).await;
    fleet.store.put("keyed.servers", "p1", None);
    task::sleep(Duration::from_millis(900)).await;
    fleet.service_endpoints[0].drop_connections();
    let response = caller::read_response(&mut conn)
        .await
        .expect("the daemon responds");
    assert_eq!(response.status, 502, "{response:?}");
}

#[async_std::test]
async fn new_programs_are_refused_while_engines_are_overloaded() {
    let fleet = Fleet::start("gateway-overload", 1, 2_000).await;
    // The engine reports three times as many requests as it has slots.
    fleet.engine.report_load(4, 8, 4);
    let first_turn = Request::turn("p", "t1", None, 9_000);
    assert_eq!(fleet.send(0, &first_turn).await.status, 200);
    let new_program = fleet.send(0, &Request::turn("q", "u1", None, 9_000)).await;
    assert_eq!(new_program.status, 503);
    assert!(new_program.retry_after.is_some(), "{new_program:?}");
    let continued = fleet
        .send(0, &Request::turn("p", "t2", Some("t1"), 9_000))
        .await;
    assert_eq!(continued.status, 200);
    assert!(
        fleet
            .engine
            .executed_requests()
            .iter()
            .all(|r| r.id != "u1")
    );
    fleet.engine.report_load(2, 0, 4);
    let continued_again = Request::turn("p", "t3", Some("t2"), 9_000);
    assert_eq!(fleet.send(0, &continued_again).await.status, 200);
    let retried = fleet.send(0, &Request::turn("q", "u2", None, 9_000)).await;
    assert_eq!(retried.status, 200);
}

#[async_std::test]
async fn an_unsafe_request_is_never_sent_twice() {
    let fleet = Fleet::start("gateway-unsafe", 1, 1_000).await;
    for (behavior, status) in [
        (EndpointBehavior::DropsResponse, 502),
        (EndpointBehavior::TruncatesBody, 502),
        (EndpointBehavior::Unsigned, 502),
        (EndpointBehavior::Hangs, 504),
    ] {
        fleet
            .service_endpoints
            .iter()
            .for_each(|p| p.set_behavior(behavior));
        let id = format!("{behavior:?}");
        let response = fleet.send(0, &Request::plain("/unsafe/", &id)).await;
        assert_eq!(response.status, status, "{behavior:?}");
        let runs = fleet
            .service_endpoints
            .iter()
            .flat_map(|p| p.executed_requests());
        assert_eq!(runs.filter(|r| r.id == id).count(), 1, "{behavior:?}");
    }
}

#[async_std::test]
async fn an_idempotent_request_is_retried_on_another_endpoint() {
    let fleet = Fleet::start("gateway-safe", 1, 1_000).await;
    for behavior in [
        EndpointBehavior::DropsResponse,
        EndpointBehavior::TruncatesBody,
        EndpointBehavior::Unsigned,
    ] {
        fleet.service_endpoints[0].set_behavior(behavior);
        fleet.service_endpoints[1].set_behavior(EndpointBehavior::Plain);
        for i in 0..4 {
            let id = format!("{behavior:?}{i}");
            let response = fleet.send(0, &Request::plain("/safe/", &id)).await;
            assert_eq!(response.body, format!("done {id}\n"), "{response:?}");
        }
    }
}

#[async_std::test]
async fn a_request_refused_by_all_endpoints_did_not_run_and_gets_retry_after() {
    let fleet = Fleet::start("gateway-full", 1, 1_000).await;
    fleet
        .service_endpoints
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::Full));
    let response = fleet.send(0, &Request::plain("/unsafe/", "full")).await;
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    assert!(
        fleet
            .service_endpoints
            .iter()
            .all(|p| p.executed_requests().iter().all(|r| r.id != "full"))
    );
}

// Guards against a second copy of a rejection that is taken as the response to the same request,
// sent once more on the same connection: the request has run although 503 says that it has not.
#[async_std::test]
async fn a_repeated_rejection_is_not_taken_for_another_one() {
    let fleet = Fleet::start("gateway-repeated", 1, 1_000).await;
    fleet
        .service_endpoints
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::RepeatsRejection));
    for i in 0..20 {
        let id = format!("r{i}");
        let response = fleet.send(0, &Request::plain("/unsafe/", &id)).await;
        let executed = fleet.service_endpoints.iter();
        let runs = executed.flat_map(|p| p.executed_requests());
        let runs = runs.filter(|r| r.id == id).count();
        assert!(
            (response.status, runs) == (503, 0) || (response.status, runs) == (200, 1),
            "{runs} runs: {response:?}"
        );
    }
}

#[async_std::test]
async fn a_response_to_another_request_is_skipped() {
    let fleet = Fleet::start("gateway-crossed", 1, 1_000).await;
    fleet
        .service_endpoints
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::SendsForeignResponse));
    for id in ["x1", "x2", "x3"] {
        let response = fleet.send(0, &Request::plain("/unsafe/", id)).await;
        assert_eq!(
            (response.status, response.body),
            (200, format!("done {id}\n"))
        );
    }
}

#[async_std::test]
async fn a_request_that_crashes_endpoints_is_blocked_at_all_daemons() {
    let fleet = Fleet::start("gateway-crashes", 2, 1_000).await;
    fleet
        .service_endpoints
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::Crashes));
    let bad = |i: usize| Request::plain("/unsafe/bad", &format!("bad{i}"));
    for i in 0..8 {
        let response = fleet.send(i % 2, &bad(i)).await;
        assert_ne!(response.status, 200);
        // The endpoints remain listed and accept connections again within this time.
        task::sleep(Duration::from_millis(1_200)).await;
    }
    let runs: usize = fleet
        .service_endpoints
        .iter()
        .map(|p| p.executed_requests().len())
        .sum();
    // Two of the runs are readiness probes sent when the fleet started.
    assert!(runs - 2 <= 4, "{runs} runs");
    fleet
        .service_endpoints
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::Plain));
    assert_eq!(fleet.send(0, &bad(8)).await.status, 503);
    let other = Request::plain("/unsafe/good", "good");
    assert_eq!(fleet.send(0, &other).await.status, 200);
}

#[async_std::test]
async fn the_request_is_cancelled_when_its_caller_disconnects() {
    let fleet = Fleet::start("gateway-gone", 1, 5_000).await;
    fleet.engine.set_behavior(EndpointBehavior::Stream {
        events: 1_000,
        pause: Duration::from_millis(20),
    });
    let turn = Request::turn("p", "t1", None, 9_000);
    let conn = caller::start_request(fleet.caller_addr(0), &turn).await;
    task::sleep(Duration::from_millis(300)).await;
    drop(conn);
    task::sleep(Duration::from_millis(400)).await;
    assert_eq!(fleet.engine.cancelled_requests(), 1);
}

#[async_std::test]
async fn endpoints_that_are_not_ready_get_no_requests() {
    let fleet = Fleet::start("gateway-drain", 1, 1_000).await;
    let addr = net::SocketAddr::new(process::unique_loopback_address().into(), 1);
    for state in ["draining", "asleep"] {
        let entry = settings::entry("plain", addr, state).to_string();
        fleet.store.put("keyed.servers", "p1", Some(&entry));
        task::sleep(Duration::from_millis(900)).await;
        let before = fleet.service_endpoints[0].executed_requests().len();
        for i in 0..6 {
            let id = format!("{state}{i}");
            let response = fleet.send(0, &Request::plain("/unsafe/", &id)).await;
            assert_eq!(response.status, 200);
        }
        assert_eq!(fleet.service_endpoints[0].executed_requests().len(), before);
    }
    fleet.store.put("keyed.servers", "p2", None);
    task::sleep(Duration::from_millis(900)).await;
    let response = fleet.send(0, &Request::plain("/unsafe/", "none")).await;
    assert_eq!(response.status, 503);
}

// Guards against entries of another writer in the list of endpoints that end a daemon or stop
// it from following the list.
#[async_std::test]
async fn odd_entries_name_no_endpoint_and_hold_nothing_up() {
    let mut fleet = Fleet::start("gateway-odd-entries", 1, 1_000).await;
    let nested = "[".repeat(200_000);
    let addr = net::SocketAddr::new(process::unique_loopback_address().into(), 1);
    let entry = settings::entry("plain", addr, "ready").to_string();
    let odd = [
        nested.clone(),
        format!("{{\"service\":{nested}"),
        format!("{{\"more\":{nested}{}", "]".repeat(200_000)),
        entry.replace("\"slots\":4", "\"slots\":1e999"),
        entry.replace("\"slots\":4", "\"slots\":4294967296"),
        entry.replace("\"slots\":4", "\"slots\":-1"),
        entry.replace("\"born\":1", "\"born\":1e400"),
        entry.replace(":1\"", ":65536\""),
        entry.replace(":1\"", ":-1\""),
        entry.replace("\"ready\"", "7"),
        "null".to_owned(),
        "\u{0}\u{1}".to_owned(),
    ];
    for (i, value) in odd.iter().enumerate() {
        assert_ne!(*value, entry, "entry {i} is not odd");
        fleet
            .store
            .put("keyed.servers", &format!("odd{i}"), Some(value));
    }
    fleet.store.put("keyed.servers", "p1", None);
    task::sleep(Duration::from_millis(1_500)).await;
    let before = fleet.service_endpoints[0].executed_requests().len();
    for i in 0..8 {
        let response = fleet
            .send(0, &Request::plain("/unsafe/", &format!("o{i}")))
            .await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(fleet.service_endpoints[0].executed_requests().len(), before);
    // A daemon that starts now reads the list as a whole.
    fleet.daemons[0].kill();
    fleet.restart(0);
    fleet.wait_until_ready().await;
    assert!(fleet.daemons[0].is_running());
}

// Guards against requests that reach an endpoint after it has said in a response that it leaves,
// although the list of endpoints does not say so.
#[async_std::test]
async fn an_endpoint_that_says_that_it_leaves_gets_no_requests() {
    let fleet = Fleet::start("gateway-leaving", 1, 1_000).await;
    let [leaving, other] = &fleet.service_endpoints;
    leaving.set_leaving(true);
    for (name, behavior) in [
        ("plain", EndpointBehavior::Plain),
        ("full", EndpointBehavior::Full),
    ] {
        leaving.set_behavior(behavior);
        // At the latest the second request reaches it; it says that it leaves.
        for i in 0..2 {
            fleet
                .send(0, &Request::plain("/unsafe/", &format!("{name}{i}")))
                .await;
        }
        leaving.set_behavior(EndpointBehavior::Plain);
        let before = leaving.executed_requests().len();
        // Its entry is written again, as at each heartbeat.
        let entry = fleet.store.newest_value("keyed.servers", "p1");
        let entry = entry.and_then(|e| String::from_utf8(e).ok());
        fleet.store.put("keyed.servers", "p1", entry.as_deref());
        for i in 0..8 {
            let request = Request::plain("/unsafe/", &format!("{name}-later{i}"));
            assert_eq!(fleet.send(0, &request).await.status, 200);
            task::sleep(Duration::from_millis(120)).await;
        }
        assert_eq!(leaving.executed_requests().len(), before, "{name}");
        assert!(other.executed_requests().len() >= 8);
        // The endpoint is started again under its id.
        let addr = fleet.plain_endpoint_addr("p1");
        let mut entry = settings::entry("plain", addr, "ready");
        entry["born"] = json!(2 + before);
        fleet
            .store
            .put("keyed.servers", "p1", Some(&entry.to_string()));
        leaving.set_leaving(false);
        task::sleep(Duration::from_millis(900)).await;
        for i in 0..4 {
            let request = Request::plain("/unsafe/", &format!("{name}-again{i}"));
            assert_eq!(fleet.send(0, &request).await.status, 200);
        }
        assert!(leaving.executed_requests().len() > before, "{name}");
        leaving.set_leaving(true);
    }
    // Both say so: the request is refused at once.
    other.set_leaving(true);
    for i in 0..3 {
        fleet
            .send(0, &Request::plain("/unsafe/", &format!("last{i}")))
            .await;
    }
    let refused = fleet.send(0, &Request::plain("/unsafe/", "none")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
}

#[async_std::test]
async fn a_graceful_shutdown_completes_requests_and_then_refuses_connections() {
    let mut fleet = Fleet::start("gateway-stop", 1, 5_000).await;
    fleet.engine.set_behavior(EndpointBehavior::Stream {
        events: 30,
        pause: Duration::from_millis(100),
    });
    let turn = Request::turn("p", "t1", None, 9_000);
    let mut early = caller::start_request(fleet.caller_addr(0), &turn)
        .await
        .expect("the daemon accepts connections");
    task::sleep(Duration::from_millis(100)).await;
    fleet.daemons[0].terminate();
    task::sleep(Duration::from_millis(200)).await;
    let during = fleet.send(0, &Request::plain("/unsafe/", "during")).await;
    assert_eq!(
        during.status, 200,
        "connections are still accepted early in the shutdown"
    );
    let response = caller::read_response(&mut early)
        .await
        .expect("the daemon responds");
    assert!(response.is_complete, "{response:?}");
    task::sleep(Duration::from_millis(200)).await;
    let late = fleet.send(0, &Request::plain("/unsafe/", "late")).await;
    assert_eq!(
        late.status, 0,
        "connections are refused late in the shutdown"
    );
    let ended = future::timeout(Duration::from_secs(8), fleet.daemons[0].wait_for_exit()).await;
    assert_eq!(ended, Ok(Some(0)));
}

#[async_std::test]
async fn a_new_configuration_takes_effect_and_older_or_malformed_ones_are_ignored() {
    let fleet = Fleet::start("gateway-config", 1, 5_000).await;
    fleet
        .service_endpoints
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::Hangs));
    let lower = settings::configuration(9, 300).to_string();
    fleet.store.put("keyed.op", "config", Some(&lower));
    let older = settings::configuration(4, 5_000).to_string();
    fleet.store.put("keyed.op", "config", Some(&older));
    fleet
        .store
        .put("keyed.op", "config", Some("{\"resource_version\": 10"));
    task::sleep(Duration::from_millis(1_500)).await;
    let started_at = Instant::now();
    let response = fleet.send(0, &Request::plain("/unsafe/", "slow")).await;
    assert_eq!(response.status, 504);
    assert!(
        started_at.elapsed() < Duration::from_millis(800),
        "{:?}",
        started_at.elapsed()
    );
}

// Guards against programs that lose the engine with their prompts in its cache with each call of
// a tool.
#[async_std::test]
async fn program_stays_at_its_engine_after_a_call_of_a_tool() {
    let fleet = Fleet::start("gateway-tool", 1, 2_000).await;
    let stream = EndpointBehavior::Stream {
        events: 1,
        pause: Duration::from_millis(1),
    };
    let second = Fleet::start_endpoint(&fleet.store, "llm", "e2", stream);
    task::sleep(Duration::from_millis(900)).await;
    let engines = [Arc::clone(&fleet.engine), second];
    engines.iter().for_each(|e| e.report_load(1, 0, 4));
    let mut programs = 0;
    // Until both engines have reported their load.
    while engines.iter().any(|e| e.executed_requests().is_empty()) {
        let program = format!("p{programs}");
        fleet
            .send(0, &Request::turn(&program, &program, None, 1_000))
            .await;
        programs += 1;
    }
    let engine_of = |id: &str| {
        let ran = |e: &Arc<Endpoint>| e.executed_requests().iter().any(|r| r.id == id);
        engines.iter().position(ran).expect("the turn has run")
    };
    let home = engine_of("p0");
    // Crowded, but not so much that a program moves.
    engines[home].report_load(5, 0, 4);
    fleet
        .send(0, &Request::turn("p0", "t2", Some("p0"), 1_000))
        .await;
    let tool = Request {
        headers: "Kingcupspan-Program-Id: p0\r\nKingcupspan-Session-Id: p0\r\n".to_owned(),
        ..Request::plain("/safe/", "tool")
    };
    assert_eq!(fleet.send(0, &tool).await.status, 200);
    fleet
        .send(0, &Request::turn("p0", "t3", Some("t2"), 1_000))
        .await;
    assert_eq!((engine_of("t2"), engine_of("t3")), (home, home));
}
