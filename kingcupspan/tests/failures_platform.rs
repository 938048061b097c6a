//! Tests of an unavailable, slow or faulty platform, network partitions, concurrent publishes,
//! budgets and access control.

mod common;

use std::time::{Duration, Instant};

use async_std::task;
use common::{
    Fleet, FleetOptions,
    fleet::CALLER_KEY,
    requests::{ChargeOutcome, charge, charge_with_retries, chat, chat_must_succeed, was_not_run},
};
use kingcupspan::{
    command::publish::{self, PublishError},
    edge::problem::Kind,
};
use kingcupspan_core::id::Version;
use kingcupspan_standin::{caller::Caller, faults::Faults, log_service};

/// Maximum time until a configuration takes effect on all daemons.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(8);

/// Returns faults that make a service refuse all requests.
fn outage() -> Faults {
    Faults {
        refuse: true,
        ..Faults::default()
    }
}

#[test]
fn model_turns_continue_and_charges_are_refused_while_the_log_is_unavailable() {
    task::block_on(async {
        let fleet = Fleet::start(FleetOptions::new("log-away")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "before").await;
        fleet.log.faults.set(outage());
        chat_must_succeed(&caller, &mut program, "during").await;
        chat_must_succeed(&caller, &mut program, "still").await;
        let refused = caller
            .service(&mut program, &charge("c-1"))
            .await
            .unwrap_err();
        assert!(was_not_run(&refused), "{refused}");
        assert_eq!(fleet.run_count("c-1"), 0);
        fleet.log.faults.set(Faults::default());
        let charged =
            charge_with_retries(&caller, &mut program, "c-1", Duration::from_secs(15)).await;
        assert_eq!(charged, ChargeOutcome::Completed);
        assert_eq!(fleet.run_count("c-1"), 1);
        chat_must_succeed(&caller, &mut program, "after").await;
    });
}

#[test]
fn history_survives_an_owner_killed_while_the_log_is_unavailable() {
    task::block_on(async {
        let mut fleet = Fleet::start(FleetOptions::new("log-away-kill")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        fleet.log.faults.set(outage());
        chat_must_succeed(&caller, &mut program, "during").await;
        fleet.daemons[owner].process.kill();
        // No daemon can claim the slot without the log, so the turn is refused as not run.
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        let caller_at_others = fleet.caller_via(&others);
        let refused = caller_at_others.chat(&mut program, &chat("refused")).await;
        let refused = refused.expect_err("no daemon owns the program");
        assert!(was_not_run(&refused), "{refused}");
        fleet.log.faults.set(Faults::default());
        // The turn that ran during the outage is part of the history.
        chat_must_succeed(&caller_at_others, &mut program, "after").await;
    });
}

#[test]
fn restarted_daemon_gets_the_configuration_from_peers_while_the_log_is_unavailable() {
    task::block_on(async {
        let mut fleet = Fleet::start(FleetOptions::new("log-away-fresh")).await;
        fleet.log.faults.set(outage());
        fleet.daemons[2].process.kill();
        fleet.restart(2);
        fleet
            .wait_until(
                "the configuration takes effect on the restarted daemon",
                PUBLISH_TIMEOUT,
                || async {
                    let state = fleet.dump(2, "configuration").await;
                    state.is_some_and(|s| s["version"] == 1)
                },
            )
            .await;
    });
}

#[test]
fn charges_run_once_when_log_responses_are_lost_or_delayed() {
    task::block_on(async {
        let fleet = Fleet::start(FleetOptions::new("log-lost")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        for n in 0..6 {
            let key = format!("c-{n}");
            fleet.log.faults.set(Faults {
                lose_answers: 3,
                late_append_ms: 150 * (n % 2),
                ..Faults::default()
            });
            let mut charging_program = program.clone();
            let charging = {
                let caller = caller.clone();
                let key = key.clone();
                task::spawn(async move {
                    let timeout = Duration::from_secs(20);
                    let charged =
                        charge_with_retries(&caller, &mut charging_program, &key, timeout).await;
                    (charged, charging_program)
                })
            };
            task::sleep(Duration::from_millis(700)).await;
            fleet.log.faults.set(Faults::default());
            let (charged, charging_program) = charging.await;
            assert_eq!(charged, ChargeOutcome::Completed, "{key}");
            assert_eq!(fleet.run_count(&key), 1, "{key}");
            program = charging_program;
        }
    });
}

#[test]
fn programs_survive_the_log_retention_period() {
    task::block_on(async {
        let mut options = FleetOptions::new("expiry");
        options.log_options = log_service::Options {
            retention: Duration::from_secs(4),
            ..log_service::Options::default()
        };
        let mut fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "before").await;
        task::sleep(Duration::from_secs(6)).await;
        // The log's records of the program and of the configuration written before the wait have
        // expired.
        for n in 0..3 {
            fleet.daemons[n].process.kill();
            fleet.restart(n);
            task::sleep(Duration::from_millis(1_200)).await;
        }
        chat_must_succeed(&caller, &mut program, "after").await;
        let state = fleet.dump(1, "configuration").await.unwrap();
        assert_eq!(state["version"], 1);
    });
}

#[test]
fn partitioned_owner_is_replaced_and_cannot_fork_the_history() {
    task::block_on(async {
        let mut options = FleetOptions::new("cut-domain");
        options.use_relays = true;
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        fleet.set_peer_links_cut(owner, true);
        fleet.daemons[owner].log_link.set_blocked(true);
        let caller_at_others = fleet.caller_via(&others);
        chat_must_succeed(&caller_at_others, &mut program, "during").await;
        // The partitioned daemon must not fork the history from its outdated state.
        let caller_at_owner = fleet.caller_via(&[owner]);
        let mut stale = program.clone();
        let response = caller_at_owner.chat(&mut stale, &chat("fork")).await;
        assert!(
            response.is_err(),
            "the former owner refuses a turn of a program that it no longer owns"
        );
        fleet.set_peer_links_cut(owner, false);
        fleet.daemons[owner].log_link.set_blocked(false);
        chat_must_succeed(&caller, &mut program, "after").await;
        chat_must_succeed(&caller_at_owner, &mut program, "at the former owner").await;
    });
}

#[test]
fn charge_runs_at_most_once_when_its_owner_is_suspended_and_partitioned() {
    task::block_on(async {
        let mut options = FleetOptions::new("freeze-cut");
        options.use_relays = true;
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let program = caller.open("tests", None, None).await.unwrap();
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        let caller_at_others = fleet.caller_via(&others);
        let first = {
            let caller = caller_at_others.clone();
            let mut program = program.clone();
            task::spawn(async move { caller.service(&mut program, &charge("c-9")).await })
        };
        fleet.daemons[owner].process.suspend();
        fleet.daemons[owner]
            .log_link
            .set_blocked_directions(false, true);
        let mut retried = program.clone();
        charge_with_retries(
            &caller_at_others,
            &mut retried,
            "c-9",
            Duration::from_secs(3),
        )
        .await;
        fleet.daemons[owner].process.resume();
        task::sleep(Duration::from_millis(500)).await;
        fleet.daemons[owner].log_link.set_blocked(false);
        let mut retried = program.clone();
        charge_with_retries(
            &caller_at_others,
            &mut retried,
            "c-9",
            Duration::from_secs(10),
        )
        .await;
        let first = first.await;
        assert!(
            fleet.run_count("c-9") <= 1,
            "ran {} times",
            fleet.run_count("c-9")
        );
        if first.is_ok() {
            assert_eq!(fleet.run_count("c-9"), 1);
        }
    });
}

#[test]
fn one_of_two_concurrent_publishes_succeeds_and_the_other_is_rejected() {
    task::block_on(async {
        let mut fleet = Fleet::start(FleetOptions::new("operators")).await;
        let settings = fleet.daemons[0].settings.clone();
        let mut first = fleet.configuration.clone();
        first["defaults"]["attempts"] = 5.into();
        let mut second = fleet.configuration.clone();
        second["defaults"]["attempts"] = 6.into();
        let tasks = [first, second].map(|document| {
            let settings = settings.clone();
            task::spawn(async move { publish::publish(&settings, Version(1), &document).await })
        });
        let [one, two] = tasks;
        let results = [one.await, two.await];
        let successes = results.iter().filter(|r| **r == Ok(Version(2))).count();
        let rejections = results
            .iter()
            .filter(|r| matches!(r, Err(PublishError::VersionConflict { .. })))
            .count();
        assert_eq!((successes, rejections), (1, 1), "{results:?}");
        let duration = fleet
            .wait_until(
                "version 2 takes effect on all daemons",
                PUBLISH_TIMEOUT,
                || async {
                    let mut is_current = true;
                    for n in 0..3 {
                        let state = fleet.dump(n, "configuration").await;
                        is_current &= state.is_some_and(|s| s["version"] == 2);
                    }
                    is_current
                },
            )
            .await;
        println!("version 2 took effect on all daemons after {duration:?}");
        for n in 0..3 {
            fleet.daemons[n].process.kill();
            fleet.restart(n);
        }
        fleet
            .wait_until(
                "version 2 takes effect after a restart of all daemons",
                PUBLISH_TIMEOUT,
                || async {
                    let state = fleet.dump(1, "configuration").await;
                    state.is_some_and(|s| s["version"] == 2)
                },
            )
            .await;
    });
}

#[test]
fn budget_is_not_exceeded_when_the_owner_is_killed() {
    task::block_on(async {
        let mut fleet = Fleet::start(FleetOptions::new("budget-kill")).await;
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
                let deadline = Instant::now() + Duration::from_secs(12);
                let mut turn = 0;
                while Instant::now() < deadline && turn < 4 {
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
        fleet.daemons[owner].process.kill();
        for child in running {
            child.await;
        }
        let mut ran = 0;
        for n in 0..4 {
            for turn in 0..4 {
                ran += fleet.run_count(&format!("b-{n}-{turn}"));
            }
        }
        assert!(ran <= 6, "{ran} calls ran on a budget of 6");
        assert!(ran >= 1, "at least one call ran");
    });
}

#[test]
fn program_is_not_accessible_with_an_unknown_key() {
    task::block_on(async {
        let mut options = FleetOptions::new("other-caller");
        options.daemon_count = 1;
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        let other_caller = Caller::new(fleet.caller_addrs(), "another-key");
        let refused = other_caller
            .chat(&mut program, &chat("mine"))
            .await
            .unwrap_err();
        assert_eq!(refused.kind(), Some(Kind::Unauthorized));
        assert_ne!(CALLER_KEY, "another-key");
    });
}
