//! Daemons killed, frozen and woken while programs run.

mod common;

use std::time::Duration;

use async_std::task;
use common::{
    Fleet, Plan,
    record::{self, Charged, charge, charge_patiently, must_chat},
};
use kingcupspan::edge::problem::Ran;
use kingcupspan_standin::{engine, service};

/// How long a charge runs: long enough to reach its owner while it does, also
/// beside other load.
const CHARGE_TIME: Duration = Duration::from_millis(1_000);

#[test]
fn history_survives_a_killed_owner_between_turns() {
    task::block_on(async {
        let mut fleet = Fleet::start(Plan::new("kill-between")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "first").await;
        let owner = fleet.owner_of(0, program.id).await;
        fleet.members[owner].process.kill();
        // The answer depends on the whole history, which the caller checks.
        must_chat(&caller, &mut program, "second").await;
        must_chat(&caller, &mut program, "third").await;
    });
}

#[test]
fn history_survives_an_owner_killed_during_a_turn() {
    task::block_on(async {
        let mut plan = Plan::new("kill-during");
        plan.engine = engine::Options {
            time_per_token: Duration::from_millis(30),
            ..engine::Options::default()
        };
        let mut fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "first").await;
        let owner = fleet.owner_of(0, program.id).await;
        let turn = {
            let caller = caller.clone();
            let mut program = program.clone();
            task::spawn(async move {
                must_chat(&caller, &mut program, "second").await;
                program
            })
        };
        task::sleep(Duration::from_millis(150)).await;
        fleet.members[owner].process.kill();
        let mut program = turn.await;
        must_chat(&caller, &mut program, "third").await;
    });
}

#[test]
fn history_survives_two_daemons_killed_at_once() {
    task::block_on(async {
        let mut fleet = Fleet::start(Plan::new("kill-two")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "first").await;
        let owner = fleet.owner_of(0, program.id).await;
        fleet.members[owner].process.kill();
        fleet.members[(owner + 1) % 3].process.kill();
        must_chat(&caller, &mut program, "second").await;
    });
}

#[test]
fn turns_raced_through_all_daemons_run_in_order_once() {
    task::block_on(async {
        let fleet = Fleet::start(Plan::new("raced-turns")).await;
        let caller = fleet.caller();
        let program = caller.open("tests", None, None).await.unwrap();
        let mut racing = Vec::new();
        for turn in (0..6_u32).rev() {
            for _ in 0..3 {
                let caller = caller.clone();
                let mut program = program.clone();
                program.turn = turn;
                let key = format!("race-{turn}");
                racing.push(task::spawn(async move {
                    charge_patiently(&caller, &mut program, &key, Duration::from_secs(20)).await
                }));
            }
        }
        for raced in racing {
            assert_eq!(raced.await, Charged::Yes);
        }
        for turn in 0..6 {
            assert_eq!(fleet.ran(&format!("race-{turn}")), 1, "turn {turn}");
        }
        let about = caller.inspect(&program).await.unwrap();
        assert_eq!(about["turns"], 6);
    });
}

#[test]
fn charge_runs_at_most_once_when_its_owner_is_killed() {
    task::block_on(async {
        let mut plan = Plan::new("kill-charge");
        plan.service = service::Options {
            operation_time: CHARGE_TIME,
            ..service::Options::default()
        };
        let mut fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "first").await;
        let owner = fleet.owner_of(0, program.id).await;
        let charging = {
            let caller = caller.clone();
            let mut program = program.clone();
            task::spawn(async move {
                charge_patiently(&caller, &mut program, "c-1", Duration::from_secs(8)).await
            })
        };
        fleet.begun("c-1").await;
        fleet.members[owner].process.kill();
        let charged = charging.await;
        assert_eq!(fleet.ran("c-1"), 1);
        // Its owner is gone for good, so nobody can know what became of it.
        assert_eq!(charged, Charged::Unknown);
        // The program goes on after it.
        program.turn += 1;
        must_chat(&caller, &mut program, "after").await;
        assert_eq!(fleet.ran("c-1"), 1);
    });
}

#[test]
fn charge_of_a_frozen_owner_is_settled_when_it_wakes() {
    task::block_on(async {
        let mut plan = Plan::new("freeze-charge");
        plan.service = service::Options {
            operation_time: CHARGE_TIME,
            ..service::Options::default()
        };
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let program = caller.open("tests", None, None).await.unwrap();
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        let at_others = fleet.caller_at(&others);
        let charging = {
            let caller = at_others.clone();
            let mut program = program.clone();
            task::spawn(async move { caller.service(&mut program, &charge("c-2")).await })
        };
        fleet.begun("c-2").await;
        fleet.members[owner].process.freeze();
        let mut retried = program.clone();
        let meanwhile =
            charge_patiently(&at_others, &mut retried, "c-2", Duration::from_secs(4)).await;
        assert_eq!(meanwhile, Charged::Unknown);
        fleet.members[owner].process.wake();
        let mut retried = program.clone();
        let charged =
            charge_patiently(&at_others, &mut retried, "c-2", Duration::from_secs(10)).await;
        assert_eq!(
            charged,
            Charged::Yes,
            "the report of the woken owner settles it"
        );
        assert_eq!(fleet.ran("c-2"), 1);
        // Whatever the first request was told, it was not that the charge did not run.
        if let Err(failure) = charging.await {
            assert_ne!(failure.ran(), Ran::No, "{failure}");
        }
    });
}

#[test]
fn planned_stops_one_after_another_cut_no_request() {
    task::block_on(async {
        let mut fleet = Fleet::start(Plan::new("rolling-stop")).await;
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..12 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let mut program = caller.open("tests", None, None).await.unwrap();
                for turn in 0..25 {
                    let text = format!("program {n} turn {turn}");
                    let chat = record::chat(&text);
                    // A refused connection is the balancer's to hide; nothing else may fail.
                    loop {
                        match caller.chat(&mut program, &chat).await {
                            Ok(_) => break,
                            Err(f) if f.kind().is_none() && f.ran() == Ran::No => {}
                            Err(f) => panic!("program {n} turn {turn}: {f}"),
                        }
                    }
                    task::sleep(Duration::from_millis(100)).await;
                }
            }));
        }
        for n in 0..2 {
            task::sleep(Duration::from_millis(500)).await;
            fleet.members[n].process.ask_to_stop();
            let code = fleet.members[n].process.ended().await;
            assert_eq!(code, Some(0), "daemon {n} stops in time");
        }
        for program in running {
            program.await;
        }
    });
}
