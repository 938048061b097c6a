//! Frozen daemons, one-way cuts, and two failures at once.

mod common;

use std::time::Duration;

use async_std::task;
use common::{
    Fleet, Plan,
    record::{chat, must_chat},
};
use kingcupspan_standin::{engine, faults::Faults};

#[test]
fn history_survives_a_frozen_owner_that_wakes() {
    task::block_on(async {
        let fleet = Fleet::start(Plan::new("freeze-history")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        let at_others = fleet.caller_at(&others);
        fleet.members[owner].process.freeze();
        must_chat(&at_others, &mut program, "while it is frozen").await;
        must_chat(&at_others, &mut program, "and again").await;
        fleet.members[owner].process.wake();
        // It believes that it owns the program; whatever it says, it must not fork it.
        let at_owner = fleet.caller_at(&[owner]);
        must_chat(&at_owner, &mut program, "at the woken owner").await;
        must_chat(&at_others, &mut program, "at the others").await;
    });
}

#[test]
fn one_way_cut_between_daemons_loses_no_turn() {
    task::block_on(async {
        let mut plan = Plan::new("one-way");
        plan.relays = true;
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        // The owner hears the others, and its answers to them are lost.
        for (n, member) in fleet.members.iter().enumerate() {
            if n != owner {
                member.to_peers[owner].set_blocked_directions(false, true);
            }
        }
        for turn in 0..6 {
            must_chat(&caller, &mut program, &format!("during {turn}")).await;
        }
        for member in &fleet.members {
            member.to_peers[owner].set_blocked(false);
        }
        must_chat(&caller, &mut program, "after").await;
    });
}

#[test]
fn programs_end_when_one_engine_leaves_and_another_fails() {
    task::block_on(async {
        let mut plan = Plan::new("leave-fail");
        plan.engines = 3;
        plan.engine = engine::Options {
            time_per_token: Duration::from_millis(10),
            ..engine::Options::default()
        };
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..9 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let mut program = caller.open("tests", None, None).await.unwrap();
                for turn in 0..12 {
                    must_chat(&caller, &mut program, &format!("program {n} turn {turn}")).await;
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
fn frozen_owner_keeps_no_turn_from_its_caller_while_the_log_loses_answers() {
    task::block_on(async {
        let fleet = Fleet::start(Plan::new("freeze-lost")).await;
        let caller = fleet.caller();
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "before").await;
        let owner = fleet.owner_of(0, program.id).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != owner).collect();
        fleet.log.faults.set(Faults {
            lose_answers: 4,
            ..Faults::default()
        });
        fleet.members[owner].process.freeze();
        let at_others = fleet.caller_at(&others);
        must_chat(&at_others, &mut program, "during").await;
        fleet.members[owner].process.wake();
        let answer = caller.chat(&mut program.clone(), &chat("one")).await;
        assert!(
            answer.is_ok() || answer.as_ref().is_err_and(|f| f.is_retryable()),
            "{answer:?}"
        );
        must_chat(&caller, &mut program, "one").await;
    });
}
