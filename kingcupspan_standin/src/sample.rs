//! The sample programs of both deployments, as the brief describes them.

use std::time::Duration;

use crate::caller::{Budget, Caller, Chat, Failure, Program, Service};

/// One deployment's names.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Its name, which is also that of its folder of examples.
    pub name: &'static str,

    /// Key of the caller that runs the sample.
    pub key: &'static str,

    /// The caller's workspace.
    pub workspace: &'static str,

    /// The model of its advisory runners.
    pub model: &'static str,

    /// Its service.
    pub service: &'static str,

    /// An idempotent operation.
    pub lookup: &'static str,

    /// A non-idempotent operation.
    pub action: &'static str,
}

/// The feather-bed renovators.
pub const MAGNOLIA: Deployment = Deployment {
    name: "magnolia",
    key: "sample-key-shop-clerks",
    workspace: "estimates",
    model: "feather-llm",
    service: "shop-ledger",
    lookup: "prices",
    action: "orders",
};

/// The nib grinders.
pub const PLUMILLA: Deployment = Deployment {
    name: "plumilla",
    key: "sample-key-franchisees",
    workspace: "fitting",
    model: "consejero",
    service: "taller",
    lookup: "benches",
    action: "bookings",
};

/// A line of a transcript.
pub type Line = String;

/// Runs the sample program: turns streamed and whole, a pause, a lookup, an
/// action that must not run twice, a sub-agent, the end.
pub async fn run(caller: &Caller, at: &Deployment, key: &str) -> Result<Vec<Line>, Failure> {
    let mut lines = vec![format!("deployment {}", at.name)];
    let budget = Budget {
        tokens: 20_000,
        calls: 20,
        seconds: 600,
    };
    let mut program = caller.open(at.workspace, Some(budget), None).await?;
    lines.push("open: 201".to_owned());
    for (i, (text, stream)) in [
        (
            "a goose down pillow has gone flat, what does refilling take",
            true,
        ),
        ("and with a new ticking of sateen", false),
    ]
    .iter()
    .enumerate()
    {
        let chat = chat(at, text, *stream);
        let answer = caller.chat(&mut program, &chat).await?;
        lines.push(format!("turn {i} stream={stream}: {answer}"));
    }
    async_std::task::sleep(Duration::from_millis(20)).await;
    lines.push(lookup(caller, &mut program, at).await?);
    lines.push(act(caller, &mut program, at, key).await?);
    lines.extend(sub_agent(caller, &program, at).await?);
    let answer = caller
        .chat(&mut program, &chat(at, "sum it up for the client", true))
        .await?;
    lines.push(format!("turn {} stream=true: {answer}", program.turn - 1));
    let about = caller.inspect(&program).await?;
    lines.push(format!("history: {} tokens", about["history_tokens"]));
    lines.push(format!("budget left: {}", about["budget_left"]));
    caller.close(&program).await?;
    lines.push("close: 204".to_owned());
    Ok(lines)
}

fn chat<'a>(at: &Deployment, text: &'a str, stream: bool) -> Chat<'a> {
    Chat {
        model: at.model,
        text,
        max_tokens: 24,
        stream,
    }
}

async fn lookup(caller: &Caller, program: &mut Program, at: &Deployment) -> Result<Line, Failure> {
    let call = Service {
        service: at.service,
        path: at.lookup,
        body: "{\"item\":\"p-70\"}",
        key: None,
    };
    let answer = caller.service(program, &call).await?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Ok(format!("turn {} {}: {body}", program.turn - 1, at.lookup))
}

async fn act(
    caller: &Caller,
    program: &mut Program,
    at: &Deployment,
    key: &str,
) -> Result<Line, Failure> {
    let call = Service {
        service: at.service,
        path: at.action,
        body: "{\"item\":\"p-70\",\"count\":2}",
        key: Some(key),
    };
    let first = caller.service(program, &call).await?;
    // The same request again gets the first one's answer and runs nothing.
    program.turn -= 1;
    let again = caller.service(program, &call).await?;
    let same = first.body == again.body;
    let body = String::from_utf8_lossy(&first.body).into_owned();
    Ok(format!(
        "turn {} {}: {body} repeated with the same answer: {same}",
        program.turn - 1,
        at.action
    ))
}

async fn sub_agent(
    caller: &Caller,
    parent: &Program,
    at: &Deployment,
) -> Result<Vec<Line>, Failure> {
    let mut child = caller.open(at.workspace, None, Some(parent.id)).await?;
    let answer = caller
        .chat(&mut child, &chat(at, "compare the two fillings", false))
        .await?;
    caller.close(&child).await?;
    Ok(vec![format!("sub-agent turn 0: {answer}")])
}
