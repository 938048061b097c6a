//! Token budgets over daemons, kills and planned stops.

use std::{sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_platform_standin::{caller::Request, store::StoreBehavior};

use crate::fleet::Fleet;

/// Spends a program's budget through two daemons of which the first is restarted;
/// the tokens that came and the status of the last turn.
async fn spend(fleet: &mut Fleet, program: &str, budget: u64) -> (usize, u16) {
    let mut tokens = 0;
    let mut last = 0;
    for round in 0..60 {
        let id = format!("{program}{round}");
        let turn = Request::turn(program, &id, None, budget);
        let answer = fleet.send(round % 2, &turn).await;
        // Ten tokens an event, two events a turn.
        tokens += 10 * answer.body.matches("data: ").count();
        last = answer.status;
        if last != 200 {
            break;
        }
        if round == 4 {
            fleet.daemons[0].kill();
            fleet.restart(0);
            fleet.wait_until_ready().await;
        }
    }
    (tokens, last)
}

#[async_std::test]
async fn a_budget_holds_over_daemons_and_restarts() {
    // The fourth daemon remembers what the first one's failure domain claimed.
    let mut fleet = Fleet::start("gateway-budget", 4, 2_000).await;
    let (tokens, last) = spend(&mut fleet, "p", 300).await;
    assert_eq!(last, 402);
    assert!(
        (100..=400).contains(&tokens),
        "{tokens} tokens of 300 and a turn of 100"
    );
    let again = fleet.send(0, &Request::turn("p", "again", None, 300)).await;
    assert_eq!(again.status, 402);
}

#[async_std::test]
async fn half_of_a_budget_is_set_aside_while_grants_may_be_forgotten() {
    let mut fleet = Fleet::start("gateway-forgotten", 2, 2_000).await;
    let (tokens, last) = spend(&mut fleet, "p", 700).await;
    // Nobody is left in the first failure domain who would know of a grant.
    assert_eq!(last, 503);
    assert!(
        (100..=400).contains(&tokens),
        "{tokens} tokens of half of 700 and a turn of 100"
    );
}

#[async_std::test]
async fn a_planned_stop_gives_unused_tokens_back() {
    let mut fleet = Fleet::start("gateway-return", 2, 2_000).await;
    fleet.daemons[1].kill();
    fleet.restart(1);
    fleet.wait_until_ready().await;
    let first = fleet.send(0, &Request::turn("p", "t1", None, 200)).await;
    assert_eq!(first.status, 200);
    fleet.daemons[0].ask_to_stop();
    let ended = future::timeout(Duration::from_secs(8), fleet.daemons[0].ended()).await;
    assert_eq!(ended, Ok(Some(0)));
    // Half of 200 and a turn of 100 does not hold two whole turns.
    let second = fleet.send(1, &Request::turn("p", "t2", None, 200)).await;
    assert_eq!(second.status, 200, "{second:?}");
}

#[async_std::test]
async fn takings_of_many_programs_share_calls_to_the_store() {
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
    assert!(calls <= 12, "{calls} calls for 40 programs");
}

#[async_std::test]
async fn a_spent_budget_is_refused_without_asking_daemons_that_hold_nothing() {
    let fleet = Fleet::start("gateway-spent", 3, 2_000).await;
    let mut last = 200;
    for round in 0..60 {
        let turn = Request::turn("p", &format!("t{round}"), None, 400);
        last = fleet.send(0, &turn).await.status;
        if last != 200 {
            break;
        }
    }
    assert_eq!(last, 402);
    let before = fleet.peer_request_count(2, "release").await;
    for i in 0..10 {
        let more = Request::turn("p", &format!("more{i}"), None, 400);
        assert_eq!(fleet.send(0, &more).await.status, 402);
    }
    let asked = fleet.peer_request_count(2, "release").await - before;
    assert!(asked <= 1, "asked {asked} times");
}
