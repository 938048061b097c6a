//! Tests of gateway processes against simulated platform services: complete sessions, and
//! failures of daemons, endpoints and the store.

#[allow(dead_code)] // Each test binary uses only part of this module.
#[path = "../common/process.rs"]
mod process;

mod allocation_homes;
mod budgets;
mod caller_framing;
mod durable_turns;
mod encodings;
mod endless_responses;
mod explain;
mod fleet;
mod held_bytes;
mod hostile_clients;
mod large_configurations;
mod large_turns;
mod malformed_responses;
mod outages;
mod paged_reads;
mod placement;
mod quotas;
mod rate_limits;
mod request_framing;
mod requests;
mod responses_without_length;
mod second_copies;
mod shared_records;
mod shutdown;
mod workspaces;

use std::fmt::Write;

use kingcupspan_platform_standin::caller::{Request, Response};

use fleet::Fleet;

/// Writes a response in the form recorded in the snapshot.
fn write_response(out: &mut String, label: &str, response: &Response) {
    let Response { status, body, .. } = response;
    let signature = response.signature.as_deref().unwrap_or("-");
    writeln!(
        out,
        "{label}: {status} from {signature}, whole {}\n{body}",
        response.is_complete
    )
    .expect("writing to a string succeeds");
}

// Guards against the loss of stored turns: a session must continue on another daemon after
// its daemon is killed, and from any program after all daemons are restarted.
#[async_std::test]
async fn a_session_continues_on_another_daemon_after_kills() {
    let mut fleet = Fleet::start("gateway-session", 2, 3_000).await;
    let mut out = String::new();
    let first = fleet.send(0, &Request::turn("p", "t1", None, 1_000)).await;
    write_response(&mut out, "first turn", &first);
    fleet.daemons[0].kill();
    let second = fleet
        .send(1, &Request::turn("p", "t2", Some("t1"), 1_000))
        .await;
    write_response(&mut out, "second turn, elsewhere after a kill", &second);
    fleet.daemons[1].kill();
    fleet.restart(0);
    fleet.restart(1);
    fleet.wait_until_ready().await;
    let third = fleet
        .send(0, &Request::turn("q", "t3", Some("t2"), 1_000))
        .await;
    write_response(
        &mut out,
        "third turn, another program after all were killed",
        &third,
    );
    let tool_call = Request {
        body: "charge".to_owned(),
        ..Request::plain("/unsafe/%7Ea/./b?x=%zz", "c1")
    };
    write_response(&mut out, "tool", &fleet.send(0, &tool_call).await);
    write_response(
        &mut out,
        "no route",
        &fleet.send(0, &Request::plain("/none/", "c2")).await,
    );
    out.push_str("the engine ran\n");
    for run in fleet.engine.executed_requests() {
        writeln!(out, "  {} {:?}", run.id, run.body).expect("writing to a string succeeds");
    }
    out.push_str("the services ran\n");
    for run in fleet
        .service_endpoints
        .iter()
        .flat_map(|p| p.executed_requests())
    {
        if run.id != "probe" {
            writeln!(out, "  {} {} {:?}", run.id, run.target, run.body)
                .expect("writing to a string succeeds");
        }
    }
    insta::assert_snapshot!(out.replace("s-p1", "s-p").replace("s-p2", "s-p"));
}
