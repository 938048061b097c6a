//! Checks that the reported usage matches the work of the endpoints and that refused requests are
//! counted per caller.

mod common;

use std::{process::Command, time::Duration};

use async_std::task;
use common::{
    Fleet, FleetOptions,
    requests::{chat, chat_must_succeed},
};
use kingcupspan::edge::problem::Kind;
use serde_json::Value;

/// Returns the output of the `usage` command for daemon `n`.
fn usage(fleet: &Fleet, n: usize) -> Value {
    let addr = fleet.daemons[n].settings.listen.operators.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_kingcupspan"))
        .args(["usage", "--json", "--daemon", &addr])
        .output()
        .expect("the usage command cannot be run");
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("the usage command printed invalid JSON")
}

#[test]
fn usage_matches_endpoint_work_and_counts_refusals() {
    task::block_on(async {
        let mut options = FleetOptions::new("account");
        options.engine_count = 1;
        options.engine_options.batch = 1;
        options.limits = serde_json::json!({"waiting_calls": 2});
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let mut tasks = Vec::new();
        for n in 0..24 {
            let caller = caller.clone();
            tasks.push(task::spawn(async move {
                let mut program = caller.open("tests", None, None).await.unwrap();
                let text = format!("program {n} decode=16");
                caller.chat(&mut program, &chat(&text)).await
            }));
        }
        let mut refused = 0;
        for task in tasks {
            if let Err(failure) = task.await {
                assert_eq!(failure.kind(), Some(Kind::OverShare), "{failure}");
                refused += 1;
            }
        }
        let mut program = caller.open("tests", None, None).await.unwrap();
        chat_must_succeed(&caller, &mut program, "one more").await;
        let done = fleet.engines[0].stats();
        // Followers read the last record from the log shortly after the owner.
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
        assert!(refused > 0, "no request was refused for overload");
    });
}
