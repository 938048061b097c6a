//! What becomes of requests when endpoints fail, are full or leave.

use std::{net, time::Duration, time::Instant};

use async_std::{future, task};
use kingcupspan_platform_standin::{
    caller::{self, Request},
    endpoint::EndpointBehavior,
    settings,
};

use crate::{fleet::Fleet, process};

#[async_std::test]
async fn an_idempotent_request_that_may_have_run_is_not_said_not_to_have() {
    let fleet = Fleet::start("gateway-left", 1, 3_000).await;
    fleet.store.put("keyed.servers", "p2", None);
    task::sleep(Duration::from_millis(900)).await;
    fleet.plain[0].set_behavior(EndpointBehavior::Hangs);
    let request = Request::plain("/safe/", "left");
    let mut conn = caller::start_request(fleet.front(0), &request)
        .await
        .expect("it listens");
    task::sleep(Duration::from_millis(200)).await;
    fleet.store.put("keyed.servers", "p1", None);
    task::sleep(Duration::from_millis(900)).await;
    fleet.plain[0].drop_connections();
    let answer = caller::read_response(&mut conn).await.expect("an answer");
    assert_eq!(answer.status, 502, "{answer:?}");
}

#[async_std::test]
async fn programs_begin_later_while_the_engines_are_overloaded() {
    let fleet = Fleet::start("gateway-overload", 1, 2_000).await;
    // Three times as much work as there are slots.
    fleet.engine.report_load(4, 8, 4);
    let first = Request::turn("p", "t1", None, 9_000);
    assert_eq!(fleet.send(0, &first).await.status, 200);
    let begins = fleet.send(0, &Request::turn("q", "u1", None, 9_000)).await;
    assert_eq!(begins.status, 503);
    assert!(begins.retry_after.is_some(), "{begins:?}");
    let goes_on = fleet
        .send(0, &Request::turn("p", "t2", Some("t1"), 9_000))
        .await;
    assert_eq!(goes_on.status, 200);
    assert!(
        fleet
            .engine
            .executed_requests()
            .iter()
            .all(|r| r.id != "u1")
    );
    fleet.engine.report_load(2, 0, 4);
    let more = Request::turn("p", "t3", Some("t2"), 9_000);
    assert_eq!(fleet.send(0, &more).await.status, 200);
    let again = fleet.send(0, &Request::turn("q", "u2", None, 9_000)).await;
    assert_eq!(again.status, 200);
}

#[async_std::test]
async fn an_unsafe_request_is_never_sent_twice() {
    let fleet = Fleet::start("gateway-unsafe", 1, 1_000).await;
    for (manner, status) in [
        (EndpointBehavior::DropsResponse, 502),
        (EndpointBehavior::TruncatesBody, 502),
        (EndpointBehavior::Unsigned, 502),
        (EndpointBehavior::Hangs, 504),
    ] {
        fleet.plain.iter().for_each(|p| p.set_behavior(manner));
        let id = format!("{manner:?}");
        let answer = fleet.send(0, &Request::plain("/unsafe/", &id)).await;
        assert_eq!(answer.status, status, "{manner:?}");
        let runs = fleet.plain.iter().flat_map(|p| p.executed_requests());
        assert_eq!(runs.filter(|r| r.id == id).count(), 1, "{manner:?}");
    }
}

#[async_std::test]
async fn an_idempotent_request_is_repeated_elsewhere() {
    let fleet = Fleet::start("gateway-safe", 1, 1_000).await;
    for manner in [
        EndpointBehavior::DropsResponse,
        EndpointBehavior::TruncatesBody,
        EndpointBehavior::Unsigned,
    ] {
        fleet.plain[0].set_behavior(manner);
        fleet.plain[1].set_behavior(EndpointBehavior::Plain);
        for i in 0..4 {
            let id = format!("{manner:?}{i}");
            let answer = fleet.send(0, &Request::plain("/safe/", &id)).await;
            assert_eq!(answer.body, format!("done {id}\n"), "{answer:?}");
        }
    }
}

#[async_std::test]
async fn a_refusal_is_true_and_says_when_to_come_back() {
    let fleet = Fleet::start("gateway-full", 1, 1_000).await;
    fleet
        .plain
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::Full));
    let answer = fleet.send(0, &Request::plain("/unsafe/", "full")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(
        fleet
            .plain
            .iter()
            .all(|p| p.executed_requests().iter().all(|r| r.id != "full"))
    );
}

#[async_std::test]
async fn an_answer_to_another_request_is_passed_over() {
    let fleet = Fleet::start("gateway-crossed", 1, 1_000).await;
    fleet
        .plain
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::SendsForeignResponse));
    for id in ["x1", "x2", "x3"] {
        let answer = fleet.send(0, &Request::plain("/unsafe/", id)).await;
        assert_eq!((answer.status, answer.body), (200, format!("done {id}\n")));
    }
}

#[async_std::test]
async fn a_request_that_crashes_endpoints_is_refused_everywhere() {
    let fleet = Fleet::start("gateway-crashes", 2, 1_000).await;
    fleet
        .plain
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::Crashes));
    let bad = |i: usize| Request::plain("/unsafe/bad", &format!("bad{i}"));
    for i in 0..8 {
        let answer = fleet.send(i % 2, &bad(i)).await;
        assert_ne!(answer.status, 200);
        // Endpoints are back and listed all the time.
        task::sleep(Duration::from_millis(1_200)).await;
    }
    let runs: usize = fleet
        .plain
        .iter()
        .map(|p| p.executed_requests().len())
        .sum();
    // Two runs are the probes of the fleet's start.
    assert!(runs - 2 <= 4, "{runs} runs");
    fleet
        .plain
        .iter()
        .for_each(|p| p.set_behavior(EndpointBehavior::Plain));
    assert_eq!(fleet.send(0, &bad(8)).await.status, 503);
    let other = Request::plain("/unsafe/good", "good");
    assert_eq!(fleet.send(0, &other).await.status, 200);
}

#[async_std::test]
async fn an_endpoint_stops_when_its_caller_leaves() {
    let fleet = Fleet::start("gateway-gone", 1, 5_000).await;
    fleet.engine.set_behavior(EndpointBehavior::Stream {
        events: 1_000,
        pause: Duration::from_millis(20),
    });
    let turn = Request::turn("p", "t1", None, 9_000);
    let conn = caller::start_request(fleet.front(0), &turn).await;
    task::sleep(Duration::from_millis(300)).await;
    drop(conn);
    task::sleep(Duration::from_millis(400)).await;
    assert_eq!(fleet.engine.cancelled_requests(), 1);
}

#[async_std::test]
async fn an_endpoint_that_leaves_gets_no_new_requests() {
    let fleet = Fleet::start("gateway-drain", 1, 1_000).await;
    let addr = net::SocketAddr::new(process::own_address().into(), 1);
    for state in ["draining", "asleep"] {
        let entry = settings::entry("plain", addr, state).to_string();
        fleet.store.put("keyed.servers", "p1", Some(&entry));
        task::sleep(Duration::from_millis(900)).await;
        let before = fleet.plain[0].executed_requests().len();
        for i in 0..6 {
            let id = format!("{state}{i}");
            let answer = fleet.send(0, &Request::plain("/unsafe/", &id)).await;
            assert_eq!(answer.status, 200);
        }
        assert_eq!(fleet.plain[0].executed_requests().len(), before);
    }
    fleet.store.put("keyed.servers", "p2", None);
    task::sleep(Duration::from_millis(900)).await;
    let answer = fleet.send(0, &Request::plain("/unsafe/", "none")).await;
    assert_eq!(answer.status, 503);
}

#[async_std::test]
async fn a_planned_stop_cuts_no_request_and_takes_no_connection_late() {
    let mut fleet = Fleet::start("gateway-stop", 1, 5_000).await;
    fleet.engine.set_behavior(EndpointBehavior::Stream {
        events: 30,
        pause: Duration::from_millis(100),
    });
    let turn = Request::turn("p", "t1", None, 9_000);
    let mut early = caller::start_request(fleet.front(0), &turn)
        .await
        .expect("it listens");
    task::sleep(Duration::from_millis(100)).await;
    fleet.daemons[0].ask_to_stop();
    task::sleep(Duration::from_millis(200)).await;
    let during = fleet.send(0, &Request::plain("/unsafe/", "during")).await;
    assert_eq!(during.status, 200, "connections are still accepted");
    let answer = caller::read_response(&mut early).await.expect("an answer");
    assert!(answer.is_complete, "{answer:?}");
    task::sleep(Duration::from_millis(200)).await;
    let late = fleet.send(0, &Request::plain("/unsafe/", "late")).await;
    assert_eq!(
        late.status, 0,
        "nothing is accepted after the stop has closed the door"
    );
    let ended = future::timeout(Duration::from_secs(8), fleet.daemons[0].ended()).await;
    assert_eq!(ended, Ok(Some(0)));
}

#[async_std::test]
async fn a_lowered_timeout_is_in_force_at_once() {
    let fleet = Fleet::start("gateway-config", 1, 5_000).await;
    fleet
        .plain
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
    let begun = Instant::now();
    let answer = fleet.send(0, &Request::plain("/unsafe/", "slow")).await;
    assert_eq!(answer.status, 504);
    assert!(
        begun.elapsed() < Duration::from_millis(800),
        "{:?}",
        begun.elapsed()
    );
}
