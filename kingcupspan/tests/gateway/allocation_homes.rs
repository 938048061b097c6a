//! Allocations of token budgets in a fleet whose daemons share the calls that make them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_platform_standin::{caller::Request, endpoint::EndpointBehavior, settings};

use crate::{budgets, fleet::Fleet};

/// Number of daemons.
const DAEMONS: usize = 6;

/// Turns that each daemon gets in a burst.
const TURNS_PER_DAEMON: usize = 50;

/// Pause between two turns at a daemon.
const PAUSE: Duration = Duration::from_millis(20);

/// Appends a second that the store takes from the fleet.
const APPENDS_PER_S: f64 = 30.0 * DAEMONS as f64;

/// Sends turns of different programs to a daemon at a steady rate; returns how many were answered.
async fn send_turns(fleet: Arc<Fleet>, daemon: usize) -> usize {
    let mut answers = Vec::new();
    for i in 0..TURNS_PER_DAEMON {
        let fleet = Arc::clone(&fleet);
        answers.push(task::spawn(async move {
            let (program, id) = (format!("p{daemon}-{i}"), format!("t{daemon}-{i}"));
            let turn = Request::turn(&program, &id, None, 1_000);
            fleet.send(daemon, &turn).await.status
        }));
        task::sleep(PAUSE).await;
    }
    let mut answered = 0;
    for answer in answers {
        answered += usize::from(answer.await == 200);
    }
    answered
}

// Replays a burst of turns at all daemons of a fleet: guards against daemons that append each
// allocation and settlement by a call of its own, more calls than the store takes.
#[async_std::test]
async fn bursts_of_turns_take_half_of_the_appends_at_most() {
    let name = "gateway-shared-calls";
    let fleet = Arc::new(Fleet::start_with_few_appends(name, DAEMONS, 4_000).await);
    let before = fleet.store.append_count("keyed.takings");
    let started_at = Instant::now();
    let senders: Vec<_> = (0..DAEMONS)
        .map(|daemon| task::spawn(send_turns(Arc::clone(&fleet), daemon)))
        .collect();
    let mut answered = 0;
    for sender in senders {
        answered += sender.await;
    }
    task::sleep(Duration::from_millis(500)).await;
    let calls = fleet.store.append_count("keyed.takings") - before;
    let allowed = 0.5 * APPENDS_PER_S * started_at.elapsed().as_secs_f64();
    assert_eq!(answered, DAEMONS * TURNS_PER_DAEMON);
    assert!(calls as f64 <= allowed, "{calls} calls, {allowed} allowed");
}

// Guards against budgets that are exceeded, or not available as a whole, where a daemon relies on
// what another one has read.
#[async_std::test]
async fn budgets_hold_while_a_home_is_killed_and_restarted() {
    for program in ["p", "q", "r"] {
        let mut fleet = Fleet::start_with_few_appends("gateway-home-kill", 3, 2_000).await;
        let (tokens, last_status) = budgets::spend_budget(&mut fleet, program, 700).await;
        assert_eq!(last_status, 402);
        assert!(
            (700..=800).contains(&tokens),
            "received {tokens} tokens; the limit is the budget of 700 plus one turn of 100"
        );
    }
}

// Guards against turns that fail since the home of their program does not respond.
#[async_std::test]
async fn turns_are_served_while_a_home_is_frozen() {
    let fleet = Fleet::start_with_few_appends("gateway-home-frozen", 4, 4_000).await;
    fleet.daemons[3].suspend();
    for i in 0..12 {
        let turn = Request::turn(&format!("p{i}"), &format!("t{i}"), None, 1_000);
        let response = fleet.send(i % 3, &turn).await;
        assert_eq!(response.status, 200, "turn {i}: {response:?}");
    }
    fleet.daemons[3].resume();
}

// Guards against turns that count as in flight for longer than the platform allows, since the homes
// that were to settle them stopped responding meanwhile.
#[async_std::test]
async fn turns_are_settled_in_time_if_homes_freeze_while_they_run() {
    let fleet = Fleet::start_with_few_appends("gateway-home-settle", 3, 4_000).await;
    let mut configuration = settings::configuration(2, 4_000);
    configuration["routes"][0]["retain_history"] = false.into();
    let configuration = configuration.to_string();
    fleet.store.put("keyed.op", "config", Some(&configuration));
    fleet.engine.set_behavior(EndpointBehavior::Stream {
        events: 2,
        pause: Duration::from_millis(400),
    });
    task::sleep(Duration::from_millis(3_000)).await;
    let fleet = Arc::new(fleet);
    let turns: Vec<_> = (0..8)
        .map(|i| {
            let fleet = Arc::clone(&fleet);
            task::spawn(async move {
                let turn = Request::turn(&format!("p{i}"), &format!("t{i}"), None, 1_000);
                fleet.send(0, &turn).await.status
            })
        })
        .collect();
    task::sleep(Duration::from_millis(400)).await;
    assert_eq!(fleet.store.record_count("keyed.takings"), 8);
    fleet.daemons[1].suspend();
    fleet.daemons[2].suspend();
    for turn in turns {
        assert_eq!(turn.await, 200);
    }
    task::sleep(budgets::SETTLE_TIME).await;
    // Each settlement has a record of its own and deletes the allocation.
    let records = fleet.store.record_count("keyed.takings");
    fleet.daemons[1].resume();
    fleet.daemons[2].resume();
    assert_eq!(records, 3 * 8);
}
