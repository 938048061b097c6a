//! Sample programs for the two example deployments.

use std::time::Duration;

use crate::caller::{Budget, Caller, Chat, Failure, Program, Service};

/// Names that a sample program uses in its example deployment.
#[derive(Debug, Clone, Copy)]
pub struct SampleDeployment {
    /// Name of the deployment and of its directory below the examples.
    pub name: &'static str,

    /// Authentication key of the caller that runs the sample program.
    pub key: &'static str,

    /// Workspace in which the sample program is opened.
    pub workspace: &'static str,

    /// Model that the sample program's chat turns request.
    pub model: &'static str,

    /// Service that the sample program calls.
    pub service: &'static str,

    /// Idempotent operation of the service.
    pub idempotent_operation: &'static str,

    /// Non-idempotent operation of the service.
    pub non_idempotent_operation: &'static str,
}

/// Example deployment of feather-bed renovators.
pub const MAGNOLIA: SampleDeployment = SampleDeployment {
    name: "magnolia",
    key: "sample-key-shop-clerks",
    workspace: "estimates",
    model: "feather-llm",
    service: "shop-ledger",
    idempotent_operation: "prices",
    non_idempotent_operation: "orders",
};

/// Example deployment of nib grinders.
pub const PLUMILLA: SampleDeployment = SampleDeployment {
    name: "plumilla",
    key: "sample-key-franchisees",
    workspace: "fitting",
    model: "consejero",
    service: "taller",
    idempotent_operation: "benches",
    non_idempotent_operation: "bookings",
};

/// Line of a sample program's transcript.
pub type TranscriptLine = String;

/// Runs a sample program and returns its transcript.
///
/// The program consists of a streamed and an unstreamed chat turn, a pause, an
/// idempotent service call, a non-idempotent service call that is sent twice
/// and must run once, a sub-agent, and a final chat turn.
pub async fn run(
    caller: &Caller,
    deployment: &SampleDeployment,
    key: &str,
) -> Result<Vec<TranscriptLine>, Failure> {
    let mut lines = vec![format!("deployment {}", deployment.name)];
    let budget = Budget {
        tokens: 20_000,
        calls: 20,
        seconds: 600,
    };
    let mut program = caller
        .open(deployment.workspace, Some(budget), None)
        .await?;
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
        let chat = chat_request(deployment, text, *stream);
        let response = caller.chat(&mut program, &chat).await?;
        lines.push(format!("turn {i} stream={stream}: {response}"));
    }
    async_std::task::sleep(Duration::from_millis(20)).await;
    lines.push(run_lookup(caller, &mut program, deployment).await?);
    lines.push(run_action(caller, &mut program, deployment, key).await?);
    lines.extend(run_sub_agent(caller, &program, deployment).await?);
    let response = caller
        .chat(
            &mut program,
            &chat_request(deployment, "sum it up for the client", true),
        )
        .await?;
    lines.push(format!("turn {} stream=true: {response}", program.turn - 1));
    let info = caller.inspect(&program).await?;
    lines.push(format!("history: {} tokens", info["history_tokens"]));
    lines.push(format!("budget left: {}", info["budget_left"]));
    caller.close(&program).await?;
    lines.push("close: 204".to_owned());
    Ok(lines)
}

fn chat_request<'a>(deployment: &SampleDeployment, text: &'a str, stream: bool) -> Chat<'a> {
    Chat {
        model: deployment.model,
        text,
        max_tokens: 24,
        stream,
    }
}

/// Calls the idempotent operation.
async fn run_lookup(
    caller: &Caller,
    program: &mut Program,
    deployment: &SampleDeployment,
) -> Result<TranscriptLine, Failure> {
    let call = Service {
        service: deployment.service,
        path: deployment.idempotent_operation,
        body: "{\"item\":\"p-70\"}",
        key: None,
    };
    let response = caller.service(program, &call).await?;
    let body = String::from_utf8_lossy(&response.body).into_owned();
    Ok(format!(
        "turn {} {}: {body}",
        program.turn - 1,
        deployment.idempotent_operation
    ))
}

/// Sends a call of the non-idempotent operation twice and compares the responses.
async fn run_action(
    caller: &Caller,
    program: &mut Program,
    deployment: &SampleDeployment,
    key: &str,
) -> Result<TranscriptLine, Failure> {
    let call = Service {
        service: deployment.service,
        path: deployment.non_idempotent_operation,
        body: "{\"item\":\"p-70\",\"count\":2}",
        key: Some(key),
    };
    let first = caller.service(program, &call).await?;
    // A request repeated with the same idempotency key gets the stored response
    // of the first request, and the operation does not run again.
    program.turn -= 1;
    let repeated = caller.service(program, &call).await?;
    let is_same = first.body == repeated.body;
    let body = String::from_utf8_lossy(&first.body).into_owned();
    Ok(format!(
        "turn {} {}: {body} repeated with the same answer: {is_same}",
        program.turn - 1,
        deployment.non_idempotent_operation
    ))
}

/// Opens a child program, runs one chat turn in it and closes it.
async fn run_sub_agent(
    caller: &Caller,
    parent: &Program,
    deployment: &SampleDeployment,
) -> Result<Vec<TranscriptLine>, Failure> {
    let mut child = caller
        .open(deployment.workspace, None, Some(parent.id))
        .await?;
    let response = caller
        .chat(
            &mut child,
            &chat_request(deployment, "compare the two fillings", false),
        )
        .await?;
    caller.close(&child).await?;
    Ok(vec![format!("sub-agent turn 0: {response}")])
}
