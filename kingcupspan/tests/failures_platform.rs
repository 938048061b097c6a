//! The platform away, slow or lying; failure domains cut off; operators racing.

mod common;

use std::time::{Duration, Instant};

use async_std::task;
use common::{
    Fleet, Plan,
    fleet::KEY,
    record::{Charged, charge, charge_patiently, chat, is_clear_refusal, must_chat},
};
use kingcupspan::{
    command::publish::{self, PublishError},
    edge::problem::Kind,
};
use kingcupspan_core::id::Version;
use kingcupspan_standin::{caller::Caller, faults::Faults, log_service};

/// A configuration is in force everywhere within this time.
const IN_FORCE_MAX: Duration = Duration::from_secs(8);

fn outage() -> Faults {
    Faults {
        refuse: true,
        ..Faults::default()
    }
}

#[test]
fn model_turns_go_on_and_charges_wait_while_the_log_is_away() {
    task::block_on(async {
        let fleet = Fleet::start(Plan::new("log-away")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "before").await;
        fleet.log.faults.set(outage());
        must_chat(&caller, &mut program, "during").await;
        must_chat(&caller, &mut program, "still").await;
        let refused = caller
            .service(&mut program, &charge("c-1"))
            .await
            .unwrap_err();
        assert!(is_clear_refusal(&refused), "{refused}");
        assert_eq!(fleet.ran("c-1"), 0);
        fleet.log.faults.set(Faults::default());
        let charged = charge_patiently(&caller, &mut program, "c-1", Duration::from_secs(15)).await;
        assert_eq!(charged, Charged::Yes);
        assert_eq!(fleet.ran("c-1"), 1);
        must_chat(&caller, &mut program, "after").await;
    });
}

#[test]
fn history_survives_an_owner_killed_while_the_log_is_away() {
    task::block_on(async {
        let mut fleet = Fleet::start(Plan::new("log-away-kill")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        fleet.log.faults.set(outage());
        must_chat(&caller, &mut program, "during").await;
        fleet.members[owner].process.kill();
        // Nobody can claim the slot without the log: a clear refusal.
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        let at_others = fleet.caller_at(&others);
        let refused = at_others.chat(&mut program, &chat("refused")).await;
        let refused = refused.expect_err("nobody owns the program");
        assert!(is_clear_refusal(&refused), "{refused}");
        fleet.log.faults.set(Faults::default());
        // The turn taken during the outage is part of the history.
        must_chat(&at_others, &mut program, "after").await;
    });
}

#[test]
fn fresh_daemon_learns_the_configuration_from_peers_while_the_log_is_away() {
    task::block_on(async {
        let mut fleet = Fleet::start(Plan::new("log-away-fresh")).await;
        fleet.log.faults.set(outage());
        fleet.members[2].process.kill();
        fleet.restart(2);
        fleet
            .until("the configuration is in force", IN_FORCE_MAX, || async {
                let state = fleet.dump(2, "configuration").await;
                state.is_some_and(|s| s["version"] == 1)
            })
            .await;
    });
}

#[test]
fn charges_run_once_when_answers_of_the_log_are_lost_or_late() {
    task::block_on(async {
        let fleet = Fleet::start(Plan::new("log-lost")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        for n in 0..6 {
            let key = format!("c-{n}");
            fleet.log.faults.set(Faults {
                lose_answers: 3,
                late_append_ms: 150 * (n % 2),
                ..Faults::default()
            });
            let mut at = program.clone();
            let charging = {
                let caller = caller.clone();
                let key = key.clone();
                task::spawn(async move {
                    let patience = Duration::from_secs(20);
                    let charged = charge_patiently(&caller, &mut at, &key, patience).await;
                    (charged, at)
                })
            };
            task::sleep(Duration::from_millis(700)).await;
            fleet.log.faults.set(Faults::default());
            let (charged, at) = charging.await;
            assert_eq!(charged, Charged::Yes, "{key}");
            assert_eq!(fleet.ran(&key), 1, "{key}");
            program = at;
        }
    });
}

#[test]
fn programs_outlive_the_retention_of_the_log() {
    task::block_on(async {
        let mut plan = Plan::new("expiry");
        plan.log = log_service::Options {
            retention: Duration::from_secs(4),
            ..log_service::Options::default()
        };
        let mut fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "before").await;
        task::sleep(Duration::from_secs(6)).await;
        // All records of the program and of the configuration have expired by now.
        for n in 0..3 {
            fleet.members[n].process.kill();
            fleet.restart(n);
            task::sleep(Duration::from_millis(1_200)).await;
        }
        must_chat(&caller, &mut program, "after").await;
        let state = fleet.dump(1, "configuration").await.unwrap();
        assert_eq!(state["version"], 1);
    });
}

#[test]
fn cut_off_domain_goes_on_and_the_others_take_over() {
    task::block_on(async {
        let mut plan = Plan::new("cut-domain");
        plan.relays = true;
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        fleet.cut_from_peers(owner, true);
        fleet.members[owner].to_log.set_blocked(true);
        let at_others = fleet.caller_at(&others);
        must_chat(&at_others, &mut program, "during").await;
        // The cut-off daemon must not make another history out of its old state.
        let at_owner = fleet.caller_at(&[owner]);
        let mut stale = program.clone();
        let answer = at_owner.chat(&mut stale, &chat("fork")).await;
        assert!(
            answer.is_err(),
            "a turn of the lost program at its former owner"
        );
        fleet.cut_from_peers(owner, false);
        fleet.members[owner].to_log.set_blocked(false);
        must_chat(&caller, &mut program, "after").await;
        must_chat(&at_owner, &mut program, "at the former owner").await;
    });
}

#[test]
fn charge_runs_once_when_its_owner_is_frozen_and_then_cut_off() {
    task::block_on(async {
        let mut plan = Plan::new("freeze-cut");
        plan.relays = true;
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let program = caller.open("tests", None, None).await.unwrap();
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        let at_others = fleet.caller_at(&others);
        let first = {
            let caller = at_others.clone();
            let mut program = program.clone();
            task::spawn(async move { caller.service(&mut program, &charge("c-9")).await })
        };
        fleet.members[owner].process.freeze();
        fleet.members[owner]
            .to_log
            .set_blocked_directions(false, true);
        let mut retried = program.clone();
        charge_patiently(&at_others, &mut retried, "c-9", Duration::from_secs(3)).await;
        fleet.members[owner].process.wake();
        task::sleep(Duration::from_millis(500)).await;
        fleet.members[owner].to_log.set_blocked(false);
        let mut retried = program.clone();
        charge_patiently(&at_others, &mut retried, "c-9", Duration::from_secs(10)).await;
        let first = first.await;
        assert!(fleet.ran("c-9") <= 1, "ran {} times", fleet.ran("c-9"));
        if first.is_ok() {
            assert_eq!(fleet.ran("c-9"), 1);
        }
    });
}

#[test]
fn one_of_two_racing_operators_wins_and_the_other_is_told() {
    task::block_on(async {
        let mut fleet = Fleet::start(Plan::new("operators")).await;
        let settings = fleet.members[0].settings.clone();
        let mut first = fleet.configuration.clone();
        first["defaults"]["attempts"] = 5.into();
        let mut second = fleet.configuration.clone();
        second["defaults"]["attempts"] = 6.into();
        let racing = [first, second].map(|document| {
            let settings = settings.clone();
            task::spawn(async move { publish::publish(&settings, Version(1), &document).await })
        });
        let [one, two] = racing;
        let results = [one.await, two.await];
        let wins = results.iter().filter(|r| **r == Ok(Version(2))).count();
        let told = results
            .iter()
            .filter(|r| matches!(r, Err(PublishError::Raced { .. })))
            .count();
        assert_eq!((wins, told), (1, 1), "{results:?}");
        let took = fleet
            .until("version 2 is in force everywhere", IN_FORCE_MAX, || async {
                let mut in_force = true;
                for n in 0..3 {
                    let state = fleet.dump(n, "configuration").await;
                    in_force &= state.is_some_and(|s| s["version"] == 2);
                }
                in_force
            })
            .await;
        println!("in force everywhere after {took:?}");
        for n in 0..3 {
            fleet.members[n].process.kill();
            fleet.restart(n);
        }
        fleet
            .until(
                "it is in force after a restart of all",
                IN_FORCE_MAX,
                || async {
                    let state = fleet.dump(1, "configuration").await;
                    state.is_some_and(|s| s["version"] == 2)
                },
            )
            .await;
    });
}

#[test]
fn budget_is_not_exceeded_across_a_cut_and_a_kill() {
    task::block_on(async {
        let mut fleet = Fleet::start(Plan::new("budget-kill")).await;
        let caller = fleet.caller();
        let budget = kingcupspan_standin::caller::Budget {
            tokens: 100_000,
            calls: 6,
            seconds: 600,
        };
        let program = caller.open("tests", Some(budget), None).await.unwrap();
        let mut children = Vec::new();
        for _ in 0..4 {
            let child = caller.open("tests", None, Some(program.id)).await.unwrap();
            children.push(child);
        }
        let owner = fleet.owner_of(0, program.id).await;
        let mut running = Vec::new();
        for (n, mut child) in children.into_iter().enumerate() {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let until = Instant::now() + Duration::from_secs(12);
                let mut turn = 0;
                while Instant::now() < until && turn < 4 {
                    let key = format!("b-{n}-{turn}");
                    match caller.service(&mut child, &charge(&key)).await {
                        Ok(_) => turn += 1,
                        Err(f) if f.kind() == Some(Kind::BudgetExhausted) => return,
                        Err(_) => task::sleep(Duration::from_millis(100)).await,
                    }
                }
            }));
        }
        task::sleep(Duration::from_millis(40)).await;
        fleet.members[owner].process.kill();
        for child in running {
            child.await;
        }
        let mut ran = 0;
        for n in 0..4 {
            for turn in 0..4 {
                ran += fleet.ran(&format!("b-{n}-{turn}"));
            }
        }
        assert!(ran <= 6, "{ran} calls ran on a budget of 6");
        assert!(ran >= 1, "some calls ran");
    });
}

#[test]
fn another_callers_program_does_not_exist() {
    task::block_on(async {
        let mut plan = Plan::new("other-caller");
        plan.daemons = 1;
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        let stranger = Caller::new(fleet.entries(), "another-key");
        let refused = stranger
            .chat(&mut program, &chat("mine"))
            .await
            .unwrap_err();
        assert_eq!(refused.kind(), Some(Kind::Unauthorized));
        assert_ne!(KEY, "another-key");
    });
}
