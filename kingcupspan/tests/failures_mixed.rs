//! Tests of suspended daemons, one-way network partitions, and two simultaneous failures.

mod common;

use std::time::Duration;

use async_std::task;
use common::{
    Fleet, FleetOptions,
    requests::{chat, chat_must_succeed},
};
use kingcupspan_standin::{engine, faults::Faults};

#[test]
fn history_survives_a_suspended_owner_that_resumes() {
    task::block_on(async {
        let fleet = Fleet::start(FleetOptions::new("freeze-history")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        let caller_at_others = fleet.caller_via(&others);
        fleet.daemons[owner].process.suspend();
        chat_must_succeed(&caller_at_others, &mut program, "while it is suspended").await;
        chat_must_succeed(&caller_at_others, &mut program, "and again").await;
        fleet.daemons[owner].process.resume();
        // The resumed daemon may still consider itself the owner; it must not fork the history.
        let caller_at_owner = fleet.caller_via(&[owner]);
        chat_must_succeed(&caller_at_owner, &mut program, "at the resumed owner").await;
        chat_must_succeed(&caller_at_others, &mut program, "at the others").await;
    });
}

#[test]
fn one_way_partition_between_daemons_loses_no_turn() {
    task::block_on(async {
        let mut options = FleetOptions::new("one-way");
        options.use_relays = true;
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        // The owner receives messages from the other daemons, but its responses do not reach them.
        for (n, daemon) in fleet.daemons.iter().enumerate() {
            if n != owner {
                daemon.peer_links[owner].set_blocked_directions(false, true);
            }
        }
        for turn in 0..6 {
            chat_must_succeed(&caller, &mut program, &format!("during {turn}")).await;
        }
        for daemon in &fleet.daemons {
            daemon.peer_links[owner].set_blocked(false);
        }
        chat_must_succeed(&caller, &mut program, "after").await;
    });
}

#[test]
fn programs_complete_when_one_engine_leaves_and_another_fails() {
    task::block_on(async {
        let mut options = FleetOptions::new("leave-fail");
        options.engine_count = 3;
        options.engine_options = engine::Options {
            time_per_token: Duration::from_millis(10),
            ..engine::Options::default()
        };
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..9 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let mut program = caller.open("tests", None, None).await.unwrap();
                for turn in 0..12 {
                    chat_must_succeed(&caller, &mut program, &format!("program {n} turn {turn}"))
                        .await;
                }
                caller.close(&program).await.unwrap();
            }));
        }
        task::sleep(Duration::from_millis(600)).await;
        fleet
            .vms
            .iter()
            .for_each(|list| list.mark_leaving("engine-vm-0"));
        fleet.engines[1].faults.set(Faults {
            refuse: true,
            cut_streams: 8,
            ..Faults::default()
        });
        for program in running {
            program.await;
        }
    });
}

#[test]
fn turns_continue_while_the_owner_is_suspended_and_the_log_loses_responses() {
    task::block_on(async {
        let fleet = Fleet::start(FleetOptions::new("freeze-lost")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        fleet.log.faults.set(Faults {
            lose_answers: 4,
            ..Faults::default()
        });
        fleet.daemons[owner].process.suspend();
        let caller_at_others = fleet.caller_via(&others);
        chat_must_succeed(&caller_at_others, &mut program, "during").await;
        fleet.daemons[owner].process.resume();
        let response = caller.chat(&mut program.clone(), &chat("one")).await;
        assert!(
            response.is_ok() || response.as_ref().is_err_and(|f| f.is_retryable()),
            "{response:?}"
        );
        chat_must_succeed(&caller, &mut program, "one").await;
    });
}
