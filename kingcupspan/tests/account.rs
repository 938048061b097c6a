//! The account: it adds up to what the endpoints did, and names the refused.

mod common;

use std::{process::Command, time::Duration};

use async_std::task;
use common::{
    Fleet, Plan,
    record::{chat, must_chat},
};
use kingcupspan::edge::problem::Kind;
use serde_json::Value;

/// The account as an operator sees it.
fn usage(fleet: &Fleet, n: usize) -> Value {
    let addr = fleet.members[n].settings.listen.operators.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_kingcupspan"))
        .args(["usage", "--json", "--daemon", &addr])
        .output()
        .expect("usage runs");
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn account_adds_up_and_names_who_was_refused() {
    task::block_on(async {
        let mut plan = Plan::new("account");
        plan.engines = 1;
        plan.engine.batch = 1;
        plan.limits = serde_json::json!({"waiting_calls": 2});
        let fleet = Fleet::start(plan).await;
        let caller = fleet.caller();
        let mut running = Vec::new();
        for n in 0..24 {
            let caller = caller.clone();
            running.push(task::spawn(async move {
                let mut program = caller.open("tests", None, None).await.unwrap();
                let text = format!("program {n} decode=16");
                caller.chat(&mut program, &chat(&text)).await
            }));
        }
        let mut refused = 0;
        for program in running {
            if let Err(failure) = program.await {
                assert_eq!(failure.kind(), Some(Kind::OverShare), "{failure}");
                refused += 1;
            }
        }
        let mut program = caller.open("tests", None, None).await.unwrap();
        must_chat(&caller, &mut program, "one more").await;
        let done = fleet.engines[0].stats();
        // Followers read the last record a moment after the owner.
        task::sleep(Duration::from_millis(300)).await;
        for n in 0..3 {
            let usage = usage(&fleet, n);
            let cost = &usage["account"]["tester/tests"];
            assert_eq!(cost["calls"], done.calls, "{usage}");
            assert_eq!(cost["decoded_tokens"], done.decoded_tokens);
            assert_eq!(cost["prompt_tokens"], done.prompt_tokens);
            assert_eq!(cost["cached_tokens"], done.cached_tokens);
            assert_eq!(usage["refusals"]["tester"]["over_share"], refused);
        }
        assert!(refused > 0, "the overload was refused");
    });
}
