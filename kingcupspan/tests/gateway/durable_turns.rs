//! Turns whose answer has ended are in the store, whatever happens to the daemons.

use std::time::{Duration, Instant};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::EndpointBehavior,
    store::StoreBehavior,
};

use crate::fleet::Fleet;

/// Time after which a caller disconnects that receives no further event.
const CALLER_PATIENCE: Duration = Duration::from_millis(2_000);

/// Sends a turn in the background.
fn start_turn(fleet: &Fleet, daemon: usize, id: &str) -> task::JoinHandle<(Response, Instant)> {
    let addr = fleet.caller_addr(daemon);
    let turn = Request::turn(id, id, None, 3_000);
    task::spawn(async move { (caller::send(addr, &turn).await, Instant::now()) })
}

/// Checks that a turn was served and that its answer has ended.
fn assert_served(response: &Response, id: &str, behavior: StoreBehavior) {
    assert!(
        response.status == 200 && response.is_complete,
        "{behavior:?}, {id}: {response:?}"
    );
}

/// Kills all daemons at once, makes the store available and starts the daemons again.
async fn kill_all_and_restart(fleet: &mut Fleet) {
    fleet.daemons.iter_mut().for_each(|d| d.kill());
    fleet.store.set_behavior(StoreBehavior::Available);
    (0..fleet.daemons.len()).for_each(|i| fleet.restart(i));
    fleet.wait_until_ready().await;
}

/// Continues from a turn at another daemon, under another program; returns the status.
async fn continue_from(fleet: &Fleet, id: &str) -> u16 {
    let next = Request::turn("next", &format!("{id}-next"), Some(id), 3_000);
    fleet.send(1, &next).await.status
}

// Guards against answers that end on copies in the memory of daemons, which are gone once all
// daemons are killed.
#[async_std::test]
async fn answer_that_ended_in_an_outage_outlives_a_kill_of_all_daemons() {
    for behavior in [
        StoreBehavior::Unresponsive,
        StoreBehavior::Unavailable,
        StoreBehavior::RejectsTurns,
        StoreBehavior::DropsResponses,
    ] {
        let mut fleet = Fleet::start("gateway-kill-in-outage", 3, 4_000).await;
        fleet.engine.set_behavior(EndpointBehavior::Stream {
            events: 2,
            pause: Duration::from_millis(300),
        });
        let answer = start_turn(&fleet, 0, "t1");
        // The turn has its tokens and runs when the outage begins.
        task::sleep(Duration::from_millis(200)).await;
        fleet.store.set_behavior(behavior);
        task::sleep(CALLER_PATIENCE).await;
        kill_all_and_restart(&mut fleet).await;
        let (response, _) = answer.await;
        // The events arrive although the answer cannot end.
        let expected = "id: 1\ndata: t1.1\n\nid: 2\ndata: t1.2\n\n";
        assert_eq!(response.body, expected, "{behavior:?}: {response:?}");
        assert!(!response.is_complete, "{behavior:?}: {response:?}");
        // A turn that has ended nowhere may be unknown, but must not be served half.
        let status = continue_from(&fleet, "t1").await;
        assert!(matches!(status, 200 | 404), "{behavior:?}: {status}");
    }
}

#[async_std::test]
async fn answer_that_ended_with_a_slow_store_outlives_a_kill_of_all_daemons() {
    for behavior in [StoreBehavior::Slow, StoreBehavior::SlowAppends] {
        let mut fleet = Fleet::start("gateway-kill-slow", 3, 4_000).await;
        fleet.store.set_behavior(behavior);
        // Each daemon reads the list of endpoints within this time and notices.
        task::sleep(Duration::from_millis(1_500)).await;
        let (response, _) = start_turn(&fleet, 0, "t1").await;
        assert_served(&response, "t1", behavior);
        kill_all_and_restart(&mut fleet).await;
        assert_eq!(continue_from(&fleet, "t1").await, 200, "{behavior:?}");
    }
}

#[async_std::test]
async fn answer_ends_once_the_store_returns_before_its_caller_leaves() {
    for behavior in [
        StoreBehavior::Unresponsive,
        StoreBehavior::Unavailable,
        StoreBehavior::RejectsTurns,
        StoreBehavior::DropsResponses,
    ] {
        let mut fleet = Fleet::start("gateway-returns", 3, 6_000).await;
        fleet.engine.set_behavior(EndpointBehavior::Stream {
            events: 4,
            pause: Duration::from_millis(100),
        });
        let answer = start_turn(&fleet, 0, "t1");
        task::sleep(Duration::from_millis(200)).await;
        fleet.store.set_behavior(behavior);
        task::sleep(Duration::from_millis(1_200)).await;
        let returned_at = Instant::now();
        fleet.store.set_behavior(StoreBehavior::Available);
        let (response, ended_at) = answer.await;
        assert_served(&response, "t1", behavior);
        let held = ended_at.saturating_duration_since(returned_at);
        assert!(ended_at > returned_at, "{behavior:?}: ended in the outage");
        assert!(
            held < Duration::from_millis(800),
            "{behavior:?}: {held:?} after the store's return"
        );
        kill_all_and_restart(&mut fleet).await;
        assert_eq!(continue_from(&fleet, "t1").await, 200, "{behavior:?}");
    }
}

// Guards against answers that are held although peers of the daemon reach the store.
#[async_std::test]
async fn turns_of_a_daemon_without_the_store_are_stored_through_its_peers() {
    for behavior in [
        StoreBehavior::Unresponsive,
        StoreBehavior::Unavailable,
        StoreBehavior::DropsResponses,
    ] {
        let mut fleet = Fleet::start("gateway-one-without-store", 4, 4_000).await;
        let store_server = fleet.restart_with_own_store_server(0).await;
        let (before, _) = start_turn(&fleet, 0, "t0").await;
        assert_served(&before, "t0", behavior);
        store_server.set_behavior(behavior);
        for id in ["t1", "t2"] {
            let started_at = Instant::now();
            let (response, ended_at) = start_turn(&fleet, 0, id).await;
            assert_served(&response, id, behavior);
            let elapsed = ended_at - started_at;
            assert!(
                elapsed < CALLER_PATIENCE,
                "{behavior:?}, {id}: ended after {elapsed:?}"
            );
        }
        store_server.set_behavior(StoreBehavior::Available);
        kill_all_and_restart(&mut fleet).await;
        for id in ["t1", "t2"] {
            assert_eq!(continue_from(&fleet, id).await, 200, "{behavior:?}, {id}");
        }
    }
}
