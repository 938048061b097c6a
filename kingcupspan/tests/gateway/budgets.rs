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

/// Time since its end within which the platform counts a turn like one in flight.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Sends turns of a program alternately to the first two daemons until one is refused, and
/// kills and restarts the first daemon in between; returns the number of tokens received
/// and the status of the last turn.
pub async fn spend_budget(fleet: &mut Fleet, program: &str, budget: u64) -> (usize, u16) {
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
            task::sleep(SETTLE_TIME).await;
            fleet.daemons[0].kill();
            fleet.restart(0);
            fleet.wait_until_ready().await;
        }
    }
    (tokens, last_status)
}

#[async_std::test]
async fn budget_is_enforced_across_daemons_and_restarts() {
    let mut fleet = Fleet::start("gateway-budget", 4, 2_000).await;
    let (tokens, last_status) = spend_budget(&mut fleet, "p", 300).await;
    assert_eq!(last_status, 402);
    assert!(
        (300..=400).contains(&tokens),
        "received {tokens} tokens; the limit is the budget of 300 plus one turn of 100"
    );
    let repeated = fleet.send(0, &Request::turn("p", "again", None, 300)).await;
    assert_eq!(repeated.status, 402);
}

// Guards against budgets of which half is set aside for the rest of a program's life, since
// killed daemons may have granted tokens that nobody knows of.
#[async_std::test]
async fn whole_budget_is_available_after_a_kill() {
    let mut fleet = Fleet::start("gateway-forgotten", 2, 2_000).await;
    let (tokens, last_status) = spend_budget(&mut fleet, "p", 700).await;
    assert_eq!(last_status, 402);
    assert!(
        (700..=800).contains(&tokens),
        "received {tokens} tokens; the limit is the budget of 700 plus one turn of 100"
    );
}

/// Sends turns of a program, each of which continues the one before, to all daemons in rotation
/// until one is refused; returns the number of tokens received and the last status.
async fn spend_chain(fleet: &Fleet, name: &str, mut previous: String, budget: u64) -> (u64, u16) {
    let mut tokens = 0;
    for round in 0..60 {
        let id = format!("{name}{round}");
        let turn = Request::turn("p", &id, Some(&previous), budget);
        let response = fleet.send(round % fleet.daemons.len(), &turn).await;
        if response.status != 200 {
            return (tokens, response.status);
        }
        tokens += 10 * response.body.matches("data: ").count() as u64;
        previous = id;
    }
    (tokens, 200)
}

/// Kills all daemons, makes the store available and starts the daemons again.
async fn kill_all_in_outage(fleet: &mut Fleet) {
    fleet.daemons.iter_mut().for_each(|d| d.kill());
    fleet.store.set_behavior(StoreBehavior::Available);
    for daemon in 0..fleet.daemons.len() {
        fleet.restart(daemon);
    }
    fleet.wait_until_ready().await;
}

// Guards against programs that are refused once half of their budget is used, after all daemons
// were killed while the store was away, again and again.
#[async_std::test]
async fn program_spends_its_whole_budget_after_kills_of_all_daemons_in_outages() {
    const BUDGET: u64 = 700;
    for behavior in [StoreBehavior::Unavailable, StoreBehavior::Unresponsive] {
        let mut fleet = Fleet::start("gateway-killed-in-outage", 3, 4_000).await;
        let first = fleet.send(0, &Request::turn("p", "t0", None, BUDGET)).await;
        assert!(first.is_complete, "{behavior:?}: {first:?}");
        let mut tokens = 20;
        for (kill, previous) in ["t0", "t1", "t2"].into_iter().enumerate() {
            let id = format!("t{}", kill + 1);
            let turn = Request::turn("p", &id, Some(previous), BUDGET);
            let answer = fleet.send(kill, &turn).await;
            assert!(answer.is_complete, "{behavior:?}, kill {kill}: {answer:?}");
            tokens += 20;
            fleet.store.set_behavior(behavior);
            task::sleep(Duration::from_millis(300)).await;
            kill_all_in_outage(&mut fleet).await;
        }
        let (more, last_status) = spend_chain(&fleet, "c", "t3".to_owned(), BUDGET).await;
        tokens += more;
        assert_eq!(last_status, 402, "{behavior:?}: after {tokens} tokens");
        assert!(
            (BUDGET..=BUDGET + 100).contains(&tokens),
            "{behavior:?}: received {tokens} tokens; the limit is the budget plus one turn of 100"
        );
    }
}

// Guards against turns that count with less than they may have handed out, since their daemon
// was killed while they were in flight, and against programs that lose more than these turns.
#[async_std::test]
async fn turn_in_flight_at_a_kill_counts_with_all_its_tokens() {
    const BUDGET: u64 = 700;
    let mut fleet = Fleet::start("gateway-killed-in-flight", 3, 4_000).await;
    let first = fleet.send(0, &Request::turn("p", "t0", None, BUDGET)).await;
    assert!(first.is_complete, "{first:?}");
    fleet.engine.set_behavior(EndpointBehavior::Stream {
        events: 9,
        pause: Duration::from_millis(200),
    });
    let addr = fleet.caller_addr(1);
    let turn = Request::turn("p", "cut", Some("t0"), BUDGET);
    let cut = task::spawn(async move { caller::send(addr, &turn).await });
    task::sleep(Duration::from_millis(700)).await;
    fleet.store.set_behavior(StoreBehavior::Unavailable);
    kill_all_in_outage(&mut fleet).await;
    let cut = 10 * cut.await.body.matches("data: ").count() as u64;
    assert!((10..90).contains(&cut), "the turn was not in flight: {cut}");
    set_events_per_turn(&fleet, 2);
    let (tokens, last_status) = spend_chain(&fleet, "c", "t0".to_owned(), BUDGET).await;
    assert_eq!(last_status, 402, "after {tokens} tokens");
    // The turn in flight counts with 100 tokens, whatever its caller got.
    assert!(
        (BUDGET - 20 - 100..=BUDGET - 20).contains(&tokens),
        "received {tokens} tokens besides the first 20 and those of the turn in flight"
    );
    assert!(20 + cut + tokens <= BUDGET + 100);
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

// Guards against programs whose budget grows when they go on for longer than a turn is kept, after
// all daemons were killed in an outage.
#[async_std::test]
async fn budget_holds_for_a_program_that_goes_on_long_after_a_kill_of_all_daemons() {
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
    let offline = spend_until_refused(&fleet, "p", "offline", BUDGET).await;
    assert_eq!(
        offline, 0,
        "tokens were granted that the store does not know"
    );
    kill_all_in_outage(&mut fleet).await;
    set_events_per_turn(&fleet, 1);
    for round in 0..14 {
        let turn = Request::turn("p", &format!("slow{round}"), None, BUDGET);
        let response = fleet.send(round % 3, &turn).await;
        assert_eq!(response.status, 200, "{response:?}");
        tokens += 10 * response.body.matches("data: ").count();
        task::sleep(Duration::from_millis(1_000)).await;
    }
    set_events_per_turn(&fleet, 10);
    tokens += spend_until_refused(&fleet, "p", "fast", BUDGET).await;
    assert!(
        (1_000..=1_100).contains(&tokens),
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
    fleet.store.set_behavior(StoreBehavior::DropsResponses);
    let first = fleet.send(0, &Request::turn("p", "lost", None, 200)).await;
    fleet.store.set_behavior(StoreBehavior::Available);
    task::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(first.status, 503, "{first:?}");
    assert_eq!(fleet.engine.executed_requests(), []);
    // Turns reserve 100 tokens and use 10, so that all but the last 90 of 300 are used.
    let tokens = spend_until_refused(&fleet, "p", "later", 200).await;
    assert!(tokens >= 200, "received {tokens} tokens of a budget of 200");
}

#[async_std::test]
async fn graceful_shutdown_returns_unused_tokens() {
    let mut fleet = Fleet::start("gateway-return", 2, 2_000).await;
    fleet.daemons[1].kill();
    fleet.restart(1);
    fleet.wait_until_ready().await;
    let first = fleet.send(0, &Request::turn("p", "t1", None, 80)).await;
    assert_eq!(first.status, 200);
    fleet.daemons[0].terminate();
    let ended = future::timeout(Duration::from_secs(8), fleet.daemons[0].wait_for_exit()).await;
    assert_eq!(ended, Ok(Some(0)));
    // The limit is the budget of 80 tokens plus one turn of 100, and each turn reserves 100 and
    // uses 20. So the second turn fits only if the first daemon settled the first one.
    let second = fleet.send(1, &Request::turn("p", "t2", None, 80)).await;
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
