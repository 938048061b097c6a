//! Token budgets shared by several daemons, with kills and graceful shutdowns.

use std::{sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_platform_standin::{
    caller::{self, Request},
    endpoint::EndpointBehavior,
    settings,
    store::StoreBehavior,
};
use serde_json::json;

use crate::fleet::Fleet;

/// Sends turns of a program alternately to the first two daemons until one is refused, and
/// kills and restarts the first daemon in between; returns the number of tokens received
/// and the status of the last turn.
async fn spend_budget(fleet: &mut Fleet, program: &str, budget: u64) -> (usize, u16) {
    let mut tokens = 0;
    let mut last_status = 0;
    for round in 0..60 {
        let id = format!("{program}{round}");
        let turn = Request::turn(program, &id, None, budget);
        let response = fleet.send(round % 2, &turn).await;
        // Each event counts as ten tokens; a turn has two events.
        tokens += 10 * response.body.matches("data: ").count();
        last_status = response.status;
        if last_status != 200 {
            break;
        }
        if round == 4 {
            fleet.daemons[0].kill();
            fleet.restart(0);
            fleet.wait_until_ready().await;
        }
    }
    (tokens, last_status)
}

#[async_std::test]
async fn budget_is_enforced_across_daemons_and_restarts() {
    // The fourth daemon is in the failure domain of the first one and remembers its claims.
    let mut fleet = Fleet::start("gateway-budget", 4, 2_000).await;
    let (tokens, last_status) = spend_budget(&mut fleet, "p", 300).await;
    assert_eq!(last_status, 402);
    assert!(
        (100..=400).contains(&tokens),
        "received {tokens} tokens; the limit is the budget of 300 plus one turn of 100"
    );
    let repeated = fleet.send(0, &Request::turn("p", "again", None, 300)).await;
    assert_eq!(repeated.status, 402);
}

#[async_std::test]
async fn half_of_budget_is_reserved_while_offline_grants_may_be_unknown() {
    let mut fleet = Fleet::start("gateway-forgotten", 2, 2_000).await;
    let (tokens, last_status) = spend_budget(&mut fleet, "p", 700).await;
    // The only daemon of the first failure domain was restarted, so an offline grant made
    // there may be unknown to all daemons.
    assert_eq!(last_status, 503);
    assert!(
        (100..=400).contains(&tokens),
        "received {tokens} tokens; the limit is half of the budget of 700 plus one turn of 100, (700 + 100) / 2"
    );
}

#[async_std::test]
async fn whole_budget_is_available_after_all_daemons_were_restarted_gracefully() {
    let mut fleet = Fleet::start("gateway-rolling-budget", 3, 2_000).await;
    fleet.restart_all_gracefully().await;
    let mut tokens = 0;
    let mut last_status = 200;
    for round in 0..60 {
        let turn = Request::turn("p", &format!("t{round}"), None, 700);
        let response = fleet.send(round % 3, &turn).await;
        tokens += 10 * response.body.matches("data: ").count();
        last_status = response.status;
        if last_status != 200 {
            break;
        }
    }
    assert_eq!(last_status, 402);
    assert!(
        (600..=800).contains(&tokens),
        "received {tokens} tokens; the limit is the budget of 700 plus one turn of 100"
    );
}

/// Makes the engine generate the given number of events, of ten tokens each, in a turn.
fn set_events_per_turn(fleet: &Fleet, events: u32) {
    fleet.engine.set_behavior(EndpointBehavior::Stream {
        events,
        pause: Duration::from_millis(1),
    });
}

/// Sends turns of a program to all daemons in rotation until one is refused; returns the
/// number of tokens received.
async fn spend_until_refused(fleet: &Fleet, program: &str, name: &str, budget: u64) -> usize {
    let mut tokens = 0;
    for round in 0..60 {
        let turn = Request::turn(program, &format!("{name}{round}"), None, budget);
        let response = fleet.send(round % fleet.daemons.len(), &turn).await;
        tokens += 10 * response.body.matches("data: ").count();
        if response.status != 200 {
            break;
        }
    }
    tokens
}

// Guards against offline grants that are forgotten although their program goes on: it may
// do so for longer than a turn is kept.
#[async_std::test]
async fn forgotten_grant_counts_as_long_as_its_program_goes_on() {
    const BUDGET: u64 = 1_000;
    let mut fleet = Fleet::start("gateway-long-program", 3, 4_000).await;
    let mut configuration = settings::configuration(2, 4_000);
    configuration["routes"][0]["retention_s"] = json!(2.0);
    fleet
        .store
        .put("keyed.op", "config", Some(&configuration.to_string()));
    task::sleep(Duration::from_millis(1_500)).await;
    set_events_per_turn(&fleet, 10);
    let first = fleet
        .send(0, &Request::turn("p", "first", None, BUDGET))
        .await;
    assert_eq!(first.status, 200, "{first:?}");
    let mut tokens = 100;
    fleet.store.set_behavior(StoreBehavior::Unavailable);
    tokens += spend_until_refused(&fleet, "p", "offline", BUDGET).await;
    fleet.daemons.iter_mut().for_each(|d| d.kill());
    fleet.store.set_behavior(StoreBehavior::Available);
    for daemon in 0..fleet.daemons.len() {
        fleet.restart(daemon);
    }
    fleet.wait_until_ready().await;
    set_events_per_turn(&fleet, 1);
    // The retention and the difference between clocks add up to twelve seconds.
    for round in 0..14 {
        let turn = Request::turn("p", &format!("slow{round}"), None, BUDGET);
        let response = fleet.send(round % 3, &turn).await;
        tokens += 10 * response.body.matches("data: ").count();
        task::sleep(Duration::from_millis(1_000)).await;
    }
    set_events_per_turn(&fleet, 10);
    tokens += spend_until_refused(&fleet, "p", "fast", BUDGET).await;
    assert!(
        (700..=1_100).contains(&tokens),
        "received {tokens} tokens; the limit is the budget of 1,000 plus one turn of 100"
    );
}

// Guards against tokens that were allocated for a turn whose caller has left meanwhile, and that
// nobody holds.
#[async_std::test]
async fn tokens_for_turns_whose_callers_have_left_can_be_used() {
    let fleet = Fleet::start("gateway-cancelled-turn", 1, 4_000).await;
    // An append takes 150 ms.
    fleet.store.set_behavior(StoreBehavior::SlowAppends);
    for i in 0..4 {
        let turn = Request::turn("p", &format!("left{i}"), None, 200);
        let conn = caller::start_request(fleet.caller_addr(0), &turn).await;
        task::sleep(Duration::from_millis(60)).await;
        drop(conn);
        task::sleep(Duration::from_millis(400)).await;
    }
    // All tokens are left: the limit is the budget of 200 plus one turn of 100.
    for i in 0..3 {
        let turn = Request::turn("p", &format!("served{i}"), None, 200);
        let response = fleet.send(0, &turn).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

// Guards against tokens that were allocated by a call whose response was lost, and that nobody
// holds.
#[async_std::test]
async fn tokens_of_calls_without_a_response_can_be_used() {
    let fleet = Fleet::start("gateway-lost-response", 1, 4_000).await;
    set_events_per_turn(&fleet, 1);
    // The first turn gets an offline grant of half of the limit once its call has timed out.
    fleet.store.set_behavior(StoreBehavior::DropsResponses);
    let first = fleet.send(0, &Request::turn("p", "lost", None, 200)).await;
    fleet.store.set_behavior(StoreBehavior::Available);
    task::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(first.status, 200, "{first:?}");
    // Turns reserve 100 tokens and use 10, so that all but the last 90 of 300 are used.
    let tokens = 10 + spend_until_refused(&fleet, "p", "later", 200).await;
    assert!(tokens >= 200, "received {tokens} tokens of a budget of 200");
}

#[async_std::test]
async fn graceful_shutdown_returns_unused_tokens() {
    let mut fleet = Fleet::start("gateway-return", 2, 2_000).await;
    fleet.daemons[1].kill();
    fleet.restart(1);
    fleet.wait_until_ready().await;
    let first = fleet.send(0, &Request::turn("p", "t1", None, 200)).await;
    assert_eq!(first.status, 200);
    fleet.daemons[0].terminate();
    let ended = future::timeout(Duration::from_secs(8), fleet.daemons[0].wait_for_exit()).await;
    assert_eq!(ended, Ok(Some(0)));
    // The budget is 200 tokens, and each turn reserves 100. While offline grants are possible,
    // allocations may total at most half of the limit: (200 + 100) / 2 = 150 tokens. So the
    // second turn fits only if the first daemon returned its unused tokens.
    let second = fleet.send(1, &Request::turn("p", "t2", None, 200)).await;
    assert_eq!(second.status, 200, "{second:?}");
}

#[async_std::test]
async fn allocations_of_many_programs_share_calls_to_the_store() {
    let fleet = Arc::new(Fleet::start("gateway-batch", 1, 5_000).await);
    fleet.store.set_behavior(StoreBehavior::SlowAppends);
    let before = fleet.store.append_count("keyed.takings");
    let turns: Vec<_> = (0..40)
        .map(|i| {
            let fleet = Arc::clone(&fleet);
            task::spawn(async move {
                let program = format!("p{i}");
                let turn = Request::turn(&program, &format!("t{i}"), None, 9_000);
                fleet.send(0, &turn).await.status
            })
        })
        .collect();
    for turn in turns {
        assert_eq!(turn.await, 200);
    }
    let calls = fleet.store.append_count("keyed.takings") - before;
    assert!(calls <= 12, "{calls} append calls for 40 programs");
}

#[async_std::test]
async fn exhausted_budget_is_refused_without_polling_daemons_without_tokens() {
    let fleet = Fleet::start("gateway-spent", 3, 2_000).await;
    let mut last_status = 200;
    for round in 0..60 {
        let turn = Request::turn("p", &format!("t{round}"), None, 400);
        last_status = fleet.send(0, &turn).await.status;
        if last_status != 200 {
            break;
        }
    }
    assert_eq!(last_status, 402);
    let before = fleet.peer_request_count(2, "release").await;
    for i in 0..10 {
        let more = Request::turn("p", &format!("more{i}"), None, 400);
        assert_eq!(fleet.send(0, &more).await.status, 402);
    }
    let polls = fleet.peer_request_count(2, "release").await - before;
    assert!(polls <= 1, "polled {polls} times");
}
