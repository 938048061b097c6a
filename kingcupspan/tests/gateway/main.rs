//! The gateway as real processes over the platform's stand-ins: whole sessions,
//! and daemons, endpoints and the store that fail.

#[allow(dead_code)] // Each test binary uses a part of it.
#[path = "../common/process.rs"]
mod process;

mod budgets;
mod fleet;
mod outages;
mod requests;

use std::fmt::Write;

use kingcupspan_platform_standin::caller::{Request, Response};

use fleet::Fleet;

fn show(out: &mut String, what: &str, answer: &Response) {
    let Response { status, body, .. } = answer;
    let from = answer.signature.as_deref().unwrap_or("-");
    writeln!(
        out,
        "{what}: {status} from {from}, whole {}\n{body}",
        answer.is_complete
    )
    .expect("text can be written");
}

#[async_std::test]
async fn a_session_over_two_daemons_and_a_kill() {
    let mut fleet = Fleet::start("gateway-session", 2, 3_000).await;
    let mut out = String::new();
    let first = fleet.send(0, &Request::turn("p", "t1", None, 1_000)).await;
    show(&mut out, "first turn", &first);
    fleet.daemons[0].kill();
    let second = fleet
        .send(1, &Request::turn("p", "t2", Some("t1"), 1_000))
        .await;
    show(&mut out, "second turn, elsewhere after a kill", &second);
    fleet.daemons[1].kill();
    fleet.restart(0);
    fleet.restart(1);
    fleet.ready().await;
    let third = fleet
        .send(0, &Request::turn("q", "t3", Some("t2"), 1_000))
        .await;
    show(
        &mut out,
        "third turn, another program after all were killed",
        &third,
    );
    let tool = Request {
        body: "charge".to_owned(),
        ..Request::plain("/unsafe/%7Ea/./b?x=%zz", "c1")
    };
    show(&mut out, "tool", &fleet.send(0, &tool).await);
    show(
        &mut out,
        "no route",
        &fleet.send(0, &Request::plain("/none/", "c2")).await,
    );
    out.push_str("the engine ran\n");
    for run in fleet.engine.executed_requests() {
        writeln!(out, "  {} {:?}", run.id, run.body).expect("text can be written");
    }
    out.push_str("the services ran\n");
    for run in fleet.plain.iter().flat_map(|p| p.executed_requests()) {
        if run.id != "probe" {
            writeln!(out, "  {} {} {:?}", run.id, run.target, run.body).expect("text");
        }
    }
    insta::assert_snapshot!(out.replace("s-p1", "s-p").replace("s-p2", "s-p"));
}
