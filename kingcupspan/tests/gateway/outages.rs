//! A store that is away, silent or turns daemons away, and daemons that are cut off.

use std::time::Duration;

use async_std::task;
use kingcupspan_platform_standin::{caller::Request, endpoint::Manner, settings, store::Mood};

use crate::fleet::Fleet;

#[async_std::test]
async fn turns_go_on_while_the_store_is_away() {
    for mood in [Mood::Refusing, Mood::Silent, Mood::LosingAnswers] {
        let fleet = Fleet::start("gateway-outage", 3, 4_000).await;
        let before = fleet.send(0, &Request::turn("p", "t1", None, 3_000)).await;
        assert_eq!(before.status, 200);
        fleet.store.set_mood(mood);
        let during = fleet
            .send(0, &Request::turn("p", "t2", Some("t1"), 3_000))
            .await;
        assert!(
            during.is_whole && during.status == 200,
            "{mood:?}: {during:?}"
        );
        let elsewhere = fleet
            .send(1, &Request::turn("p", "t3", Some("t2"), 3_000))
            .await;
        // The daemon that has claimed the program lends tokens.
        assert_eq!(elsewhere.status, 200, "{mood:?}: {elsewhere:?}");
        let fresh = fleet.send(2, &Request::turn("n", "n1", None, 3_000)).await;
        assert_eq!(fresh.status, 200, "{mood:?}: a new program");
        fleet.store.set_mood(Mood::Serving);
        task::sleep(Duration::from_millis(2_500)).await;
        let after = fleet
            .send(2, &Request::turn("p", "t4", Some("t2"), 3_000))
            .await;
        assert_eq!(after.status, 200, "{mood:?}: after the outage");
        let run = fleet
            .engine
            .runs()
            .into_iter()
            .find(|r| r.id == "t4")
            .expect("it ran");
        let expected = "input of t1;t1.1\nt1.2\ninput of t2;t2.1\nt2.2\ninput of t4;";
        assert_eq!(run.body, expected);
    }
}

#[async_std::test]
async fn a_turn_that_is_not_found_does_not_exist_unless_a_copy_may_be_lost() {
    let mut fleet = Fleet::start("gateway-unknown", 1, 2_000).await;
    let turn = Request::turn("p", "t1", Some("nothing"), 1_000);
    let answer = fleet.send(0, &turn).await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (404, "no such turn\n")
    );
    fleet.daemons[0].kill();
    fleet.restart(0);
    fleet.ready().await;
    let answer = fleet.send(0, &turn).await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (503, "turn not found\n")
    );
    assert!(answer.retry_after.is_some());
    assert_eq!(fleet.engine.runs(), []);
}

#[async_std::test]
async fn one_silent_connection_to_the_store_is_no_outage() {
    let fleet = Fleet::start("gateway-silent", 1, 1_000).await;
    fleet.store.set_mood(Mood::SilentWaits);
    // A read that waits for a change ends without an answer in this time.
    task::sleep(Duration::from_millis(2_500)).await;
    fleet.store.put("keyed.servers", "p1", None);
    fleet.store.put("keyed.servers", "p2", None);
    task::sleep(Duration::from_millis(900)).await;
    let answer = fleet.send(0, &Request::plain("/unsafe/", "none")).await;
    assert_eq!(answer.status, 503);
    assert!(
        !fleet
            .log(0)
            .contains("store is unreachable; calling it through peers"),
        "{}",
        fleet.log(0)
    );
}

#[async_std::test]
async fn a_daemon_that_the_store_turns_away_follows_through_peers() {
    let mut fleet = Fleet::start("gateway-turned-away", 2, 5_000).await;
    let door = fleet.give_own_door(0).await;
    door.set_mood(Mood::Refusing);
    task::sleep(Duration::from_millis(2_500)).await;
    fleet.plain.iter().for_each(|p| p.set_manner(Manner::Hangs));
    let lower = settings::configuration(9, 300).to_string();
    fleet.store.put("keyed.op", "config", Some(&lower));
    task::sleep(Duration::from_millis(1_500)).await;
    let answer = fleet.send(0, &Request::plain("/unsafe/", "slow")).await;
    assert_eq!(answer.status, 504);
    let log = fleet.log(0);
    assert!(!log.contains("cannot follow the configuration"), "{log}");
    assert!(
        !fleet
            .log(1)
            .contains("store is unreachable; calling it through peers"),
        "{}",
        fleet.log(1)
    );
}

#[async_std::test]
async fn a_daemon_that_is_cut_off_sends_callers_to_others() {
    let mut fleet = Fleet::start("gateway-cut", 2, 1_000).await;
    let told = fleet.send(0, &Request::plain("/safe/", "before")).await;
    assert!(!told.closes, "{told:?}");
    // With its store alone away it is as good as the others.
    fleet.store.set_mood(Mood::Refusing);
    task::sleep(Duration::from_millis(1_500)).await;
    assert!(fleet.is_ready(0).await);
    fleet.daemons[1].kill();
    task::sleep(Duration::from_millis(1_500)).await;
    assert!(!fleet.is_ready(0).await);
    let told = fleet.send(0, &Request::plain("/safe/", "during")).await;
    assert_eq!((told.status, told.closes), (200, true));
    fleet.store.set_mood(Mood::Serving);
    task::sleep(Duration::from_millis(1_000)).await;
    assert!(fleet.is_ready(0).await);
}
