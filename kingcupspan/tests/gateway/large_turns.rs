//! Turns that are larger than a record of the store, or than one call to it.

use std::time::Duration;

use async_std::task;
use kingcupspan_platform_standin::{caller::Request, settings};
use serde_json::json;

use crate::fleet::Fleet;

/// Sizes of turns in bytes: one that fits into a record, one that needs several records
/// and one that needs several calls.
const SIZES: [usize; 3] = [1_000, 300_000, 3_500_000];

/// Creates a turn whose input has the given size.
fn large_turn(id: &str, bytes: usize) -> Request {
    Request {
        body: "x".repeat(bytes),
        ..Request::turn(id, id, None, 9_000)
    }
}

// Guards against turns that the store refuses for their size, which are lost with the
// daemons that hold them in memory.
#[async_std::test]
async fn turns_of_any_size_are_kept_while_all_daemons_restart() {
    let mut fleet = Fleet::start("gateway-large-turns", 3, 5_000).await;
    let mut configuration = settings::configuration(2, 5_000);
    configuration["limits"]["max_body_bytes"] = json!(4_194_304);
    fleet
        .store
        .put("keyed.op", "config", Some(&configuration.to_string()));
    task::sleep(Duration::from_millis(1_500)).await;
    for bytes in SIZES {
        let response = fleet
            .send(0, &large_turn(&format!("t{bytes}"), bytes))
            .await;
        assert_eq!(response.status, 200, "{bytes} bytes: {response:?}");
    }
    fleet.restart_all_gracefully().await;
    for (daemon, bytes) in SIZES.into_iter().enumerate() {
        let id = format!("u{bytes}");
        let previous = format!("t{bytes}");
        let next = Request::turn("q", &id, Some(&previous), 9_000);
        let response = fleet.send(daemon, &next).await;
        assert_eq!(response.status, 200, "after {bytes} bytes: {response:?}");
        let runs = fleet.engine.executed_requests();
        let run = runs.iter().find(|r| r.id == id).expect("the engine ran it");
        let prompt = format!(
            "{}{previous}.1\n{previous}.2\ninput of {id};",
            "x".repeat(bytes)
        );
        assert!(run.body == prompt, "prompt of {} bytes", run.body.len());
    }
}
