//! Tests of daemons that are killed, suspended, resumed or shut down while programs run.

mod common;

use std::time::Duration;

use async_std::task;
use common::{
    Fleet, FleetOptions,
    requests::{self, ChargeOutcome, charge, charge_with_retries, chat_must_succeed},
};
use kingcupspan::edge::problem::Ran;
use kingcupspan_standin::{engine, service};

/// Duration of a charge, which leaves a test enough time to act on the owner while the charge
/// runs, even on a machine under load.
const CHARGE_DURATION: Duration = Duration::from_millis(1_000);

#[test]
fn history_survives_a_killed_owner_between_turns() {
    task::block_on(async {
        let mut fleet = Fleet::start(FleetOptions::new("kill-between")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "first").await;
        let owner = fleet.owner_of(0, program.id).await;
        fleet.daemons[owner].process.kill();
        // The response depends on the whole history, which the caller checks.
        chat_must_succeed(&caller, &mut program, "second").await;
        chat_must_succeed(&caller, &mut program, "third").await;
    });
}

#[test]
fn history_survives_an_owner_killed_during_a_turn() {
    task::block_on(async {
        let mut options = FleetOptions::new("kill-during");
        options.engine_options = engine::Options {
            time_per_token: Duration::from_millis(30),
            ..engine::Options::default()
        };
        let mut fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "first").await;
        let owner = fleet.owner_of(0, program.id).await;
        let turn = {
            let caller = caller.clone();
            let mut program = program.clone();
            task::spawn(async move {
                chat_must_succeed(&caller, &mut program, "second").await;
                program
            })
        };
        task::sleep(Duration::from_millis(150)).await;
        fleet.daemons[owner].process.kill();
        let mut program = turn.await;
        chat_must_succeed(&caller, &mut program, "third").await;
    });
}

#[test]
fn history_survives_two_daemons_killed_at_once() {
    task::block_on(async {
        let mut fleet = Fleet::start(FleetOptions::new("kill-two")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "first").await;
        let owner = fleet.owner_of(0, program.id).await;
        fleet.daemons[owner].process.kill();
        fleet.daemons[(owner + 1) % 3].process.kill();
        chat_must_succeed(&caller, &mut program, "second").await;
    });
}

#[test]
fn concurrent_turns_on_all_daemons_run_once_and_in_order() {
    task::block_on(async {
        let fleet = Fleet::start(FleetOptions::new("raced-turns")).await;
        let caller = fleet.caller();
        let program = caller.open("tests", None, None).await.unwrap();
        let mut tasks = Vec::new();
        for turn in (0..6_u32).rev() {
            for _ in 0..3 {
                let caller = caller.clone();
                let mut program = program.clone();
                program.turn = turn;
                let key = format!("race-{turn}");
                tasks.push(task::spawn(async move {
                    charge_with_retries(&caller, &mut program, &key, Duration::from_secs(20)).await
                }));
            }
        }
        for task in tasks {
            assert_eq!(task.await, ChargeOutcome::Completed);
        }
        for turn in 0..6 {
            assert_eq!(fleet.run_count(&format!("race-{turn}")), 1, "turn {turn}");
        }
        let status = caller.inspect(&program).await.unwrap();
        assert_eq!(status["turns"], 6);
    });
}

#[test]
fn charge_runs_at_most_once_when_its_owner_is_killed() {
    task::block_on(async {
        let mut options = FleetOptions::new("kill-charge");
        options.service_options = service::Options {
            operation_time: CHARGE_DURATION,
            ..service::Options::default()
        };
        let mut fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "first").await;
        let owner = fleet.owner_of(0, program.id).await;
        let charging = {
            let caller = caller.clone();
            let mut program = program.clone();
            task::spawn(async move {
                charge_with_retries(&caller, &mut program, "c-1", Duration::from_secs(8)).await
            })
        };
        fleet.wait_for_call_start("c-1").await;
        fleet.daemons[owner].process.kill();
        let charged = charging.await;
        assert_eq!(fleet.run_count("c-1"), 1);
        // The owner is not restarted, so the outcome of the charge cannot be determined.
        assert_eq!(charged, ChargeOutcome::Unknown);
        // The program continues after the charge.
        program.turn += 1;
        chat_must_succeed(&caller, &mut program, "after").await;
        assert_eq!(fleet.run_count("c-1"), 1);
    });
}

#[test]
fn unknown_charge_is_resolved_when_its_suspended_owner_resumes() {
    task::block_on(async {
        let mut options = FleetOptions::new("freeze-charge");
        options.service_options = service::Options {
            operation_time: CHARGE_DURATION,
            ..service::Options::default()
        };
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let program = caller.open("tests", None, None).await.unwrap();
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        let caller_at_others = fleet.caller_via(&others);
        let charging = {
            let caller = caller_at_others.clone();
            let mut program = program.clone();
            task::spawn(async move { caller.service(&mut program, &charge("c-2")).await })
        };
        fleet.wait_for_call_start("c-2").await;
        fleet.daemons[owner].process.suspend();
        let mut retried = program.clone();
        let outcome = charge_with_retries(
            &caller_at_others,
            &mut retried,
            "c-2",
            Duration::from_secs(4),
        )
        .await;
        assert_eq!(outcome, ChargeOutcome::Unknown);
        fleet.daemons[owner].process.resume();
        let mut retried = program.clone();
        let charged = charge_with_retries(
            &caller_at_others,
            &mut retried,
            "c-2",
            Duration::from_secs(10),
        )
        .await;
        assert_eq!(
            charged,
            ChargeOutcome::Completed,
            "the resumed owner reports the outcome"
        );
        assert_eq!(fleet.run_count("c-2"), 1);
        // The first request must not be refused as not run, because the charge ran.
        if let Err(failure) = charging.await {
            assert_ne!(failure.ran(), Ran::No, "{failure}");
        }
    });
}

#[test]
fn rolling_graceful_shutdowns_interrupt_no_request() {
    task::block_on(async {
        let mut fleet = Fleet::start(FleetOptions::new("rolling-stop")).await;
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..12 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let opened = caller.open("tests", None, None).await;
                let mut program = opened.map_err(|e| format!("program {n}: open: {e:?}"))?;
                for turn in 0..25 {
                    let text = format!("program {n} turn {turn}");
                    let chat = requests::chat(&text);
                    // A refused connection is retried, as a load balancer would do; any other failure
                    // fails the test.
                    loop {
                        match caller.chat(&mut program, &chat).await {
                            Ok(_) => break,
                            Err(f) if f.kind().is_none() && f.ran() == Ran::No => {}
                            Err(f) => return Err(format!("program {n} turn {turn}: {f}")),
                        }
                    }
                    task::sleep(Duration::from_millis(100)).await;
                }
                Ok(())
            }));
        }
        for n in 0..2 {
            task::sleep(Duration::from_millis(500)).await;
            fleet.daemons[n].process.terminate();
            let code = fleet.daemons[n].process.wait_for_exit().await;
            assert_eq!(code, Some(0), "daemon {n} shuts down in time");
        }
        let mut failed: Vec<String> = Vec::new();
        for program in running {
            failed.extend(program.await.err());
        }
        assert_eq!(failed, Vec::<String>::new());
    });
}
