//! Runs a turn at the owner of its program through the filters order, budget, placement, send and
//! account.

use std::{sync::Arc, time::Duration};

use async_std::task;
use http_types::{Body, Response};
use kingcupspan_config::{endpoint::ServedTarget, limits::Limits};
use kingcupspan_core::{
    budget,
    digest::Digest,
    id::MonoMs,
    record::{Answer, Idempotency, Outcome, RecordId},
    usage,
};
use serde_json::{Value, json};

use crate::{
    controller::{grants, slots::SharedSlot},
    daemon::Daemon,
    edge::{
        body,
        peer::{Call, Target, TurnRequest},
        problem::{Kind, Problem},
    },
    filter::{account, budget as budget_filter, order, placement, program, send},
};

/// Destination of the response.
pub enum ResponseSink {
    /// No response has been sent yet.
    Pending(async_channel::Sender<Result<Response, Problem>>),

    /// The response is being streamed.
    Streaming(body::Writer),

    /// The response has been sent, or the caller has disconnected.
    Done,
}

/// Context of a turn in the filter chain of the owner.
pub struct TurnCx {
    /// State shared by all tasks of the daemon.
    pub daemon: Arc<Daemon>,

    /// Call that the entry daemon parsed.
    pub call: Call,

    /// Turn that the call requests.
    pub turn_request: TurnRequest,

    /// Limits that apply to the turn.
    pub limits: Limits,

    /// Weight of the caller in fair queueing.
    pub weight: u64,

    /// Digest of the turn request.
    pub digest: Digest,

    /// Whether the call may be repeated.
    pub idempotency: Idempotency,

    /// Model or service that the call needs.
    pub served_target: ServedTarget,

    /// Time by which the call must have ended.
    pub deadline: MonoMs,

    /// Time at which the call arrived at the owner.
    pub arrived_at: MonoMs,

    /// Part of the budget that is reserved for the call.
    pub reservation: budget::Amount,

    /// Maximum number of tokens that the model may decode.
    pub max_tokens: u64,

    /// History that the turn extends.
    pub history: History,

    /// Grant to send the call to an endpoint.
    pub held_grant: Option<grants::HeldGrant>,

    /// Identifier of the start record on the log.
    pub start_record: Option<RecordId>,

    /// Time at which the start record became durable.
    pub start_durable_at: MonoMs,

    /// Cost of the call so far.
    pub cost: usage::Cost,

    /// Destination of the response.
    pub response_sink: ResponseSink,
}

/// The history that a turn extends.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Messages, as a JSON list without brackets.
    pub messages: String,

    /// Number of tokens.
    pub tokens: u64,

    /// Digest of the history.
    pub digest: Digest,
}

/// Result of running a call.
pub struct CallResult {
    /// Outcome to be written to the log.
    pub outcome: Outcome,

    /// Amount used from the budget.
    pub used: budget::Amount,

    /// Problem returned to the caller if the call has no response.
    pub problem: Option<Problem>,
}

impl TurnCx {
    /// Returns the slot of the program.
    pub fn slot(&self) -> Result<&SharedSlot, Problem> {
        let slot = self.daemon.slot(self.call.program.slot);
        slot.ok_or_else(program::unknown_program)
    }

    /// Returns the time until the deadline of the call.
    pub fn remaining_time(&self) -> Duration {
        let now = self.daemon.clock.mono();
        Duration::from_millis(self.deadline.since(now))
    }

    /// Returns whether the caller requested a streamed response.
    pub fn is_streamed(&self) -> bool {
        matches!(self.turn_request.target, Target::Model { stream: true, .. })
    }

    /// Sends the response, if none has been sent yet.
    pub async fn respond(&mut self, response: Result<Response, Problem>) {
        match std::mem::replace(&mut self.response_sink, ResponseSink::Done) {
            ResponseSink::Pending(tx) => {
                // The caller may have disconnected; the outcome remains on the log.
                let _ = tx.send(response).await;
            }
            // Dropping the writer closes the stream, which marks the response as incomplete.
            ResponseSink::Streaming(_) | ResponseSink::Done => {}
        }
    }
}

/// Returns the digest of a turn request, which does not depend on whether the response is
/// streamed.
fn digest_of(turn_request: &TurnRequest) -> Digest {
    match &turn_request.target {
        Target::Model {
            model,
            messages,
            max_tokens,
            ..
        } => {
            let head = json!(["model", model.as_str(), max_tokens]).to_string();
            Digest::of(head.as_bytes()).chain(messages.as_bytes())
        }
        Target::Service {
            service, path, key, ..
        } => {
            let head = json!(["service", service.as_str(), path, key]).to_string();
            Digest::of(head.as_bytes()).chain(&turn_request.body)
        }
    }
}

/// Handles a turn, which continues to run if the caller disconnects.
pub async fn handle(
    daemon: &Arc<Daemon>,
    call: Call,
    turn_request: TurnRequest,
) -> Result<Response, Problem> {
    let mut cx = build_cx(daemon, call, turn_request)?;
    let (tx, rx) = async_channel::bounded(1);
    cx.response_sink = ResponseSink::Pending(tx);
    task::spawn(run(cx));
    let no_response = || Problem::unknown("the call ended without an answer");
    rx.recv().await.unwrap_or_else(|_| Err(no_response()))
}

/// Builds the context of a turn.
fn build_cx(
    daemon: &Arc<Daemon>,
    call: Call,
    turn_request: TurnRequest,
) -> Result<TurnCx, Problem> {
    let active = daemon.configuration.get();
    let slot = daemon.slot(call.program.slot);
    let slot = slot.ok_or_else(program::unknown_program)?;
    let workspace = program::with_program(slot, &call, |p| p.workspace.clone())?;
    let configuration = &active.configuration;
    let limits = configuration.limits(&call.caller, Some(&workspace));
    let (served_target, idempotency) = match &turn_request.target {
        Target::Model { model, .. } => {
            (ServedTarget::Model(model.clone()), Idempotency::Idempotent)
        }
        Target::Service { service, key, .. } => {
            let idempotency = match key {
                Some(_) => Idempotency::NonIdempotent,
                None => Idempotency::Idempotent,
            };
            (ServedTarget::Service(service.clone()), idempotency)
        }
    };
    let now = daemon.clock.mono();
    let timeout_ms = call.timeout_ms.min(limits.call_deadline_ms);
    Ok(TurnCx {
        weight: configuration.weight(&call.caller),
        digest: digest_of(&turn_request),
        deadline: MonoMs(now.0 + timeout_ms),
        arrived_at: now,
        daemon: Arc::clone(daemon),
        call,
        turn_request,
        limits,
        idempotency,
        served_target,
        reservation: budget::Amount::default(),
        max_tokens: 0,
        history: History::default(),
        held_grant: None,
        start_record: None,
        start_durable_at: now,
        cost: usage::Cost::default(),
        response_sink: ResponseSink::Done,
    })
}

/// Runs the turn through the filters and responds to the caller.
async fn run(mut cx: TurnCx) {
    let _guard = match order::run(&mut cx).await {
        Ok(order::Decision::Run(guard)) => guard,
        Ok(order::Decision::Replay(outcome)) => {
            let streamed = cx.is_streamed();
            return cx.respond(replay(outcome, streamed)).await;
        }
        Err(problem) => return cx.respond(Err(problem)).await,
    };
    let prepared = prepare(&mut cx).await;
    if let Err(problem) = prepared {
        release_grant(&mut cx);
        return cx.respond(Err(problem)).await;
    }
    let call_result = send::run(&mut cx).await;
    release_grant(&mut cx);
    account::run(&mut cx, call_result).await;
}

/// Reserves the budget and acquires a grant at an endpoint.
async fn prepare(cx: &mut TurnCx) -> Result<(), Problem> {
    budget_filter::check(cx)?;
    placement::run(cx, &[]).await?;
    budget_filter::reserve(cx).await
}

/// Releases the grant at the endpoint in the background.
pub fn release_grant(cx: &mut TurnCx) {
    let Some(grant) = cx.held_grant.take() else {
        return;
    };
    let cost = cx.cost.prompt_tokens + cx.cost.decoded_tokens;
    let daemon = Arc::clone(&cx.daemon);
    task::spawn(async move {
        grants::release(&daemon, &grant.endpoint, grant.ticket, cost).await;
    });
}

/// Converts the stored outcome of a turn to a response.
pub fn replay(outcome: Outcome, streamed: bool) -> Result<Response, Problem> {
    match outcome {
        Outcome::Answered(answer) => Ok(build_response(&answer, streamed)),
        Outcome::NotRun | Outcome::Failed => {
            let detail = "the call was never sent; its turn is over, use the next one";
            Err(Problem::not_run(Kind::Unavailable, detail))
        }
        Outcome::Unknown => {
            let detail = "the call was sent and its answer was lost; it is not sent again";
            Err(Problem::unknown(detail))
        }
    }
}

/// Builds the HTTP response from a stored answer.
pub fn build_response(answer: &Answer, streamed: bool) -> Response {
    let mut res = Response::new(answer.status);
    if !streamed {
        res.set_body(Body::from_bytes(answer.body.clone()));
        res.insert_header("Content-Type", answer.content_type.as_str());
        return res;
    }
    let completion: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    let text = completion["choices"][0]["message"]["content"].as_str();
    let id = completion["id"].as_str().unwrap_or_default();
    let mut events = chunk_event(id, text.unwrap_or_default());
    events.push_str(&end_events(&completion));
    res.set_body(Body::from_bytes(events.into_bytes()));
    res.insert_header("Content-Type", "text/event-stream");
    res
}

/// Builds the server-sent event for a chunk of text.
pub fn chunk_event(id: &str, text: &str) -> String {
    let event = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": text}}]
    });
    format!("data: {event}\n\n")
}

/// Builds the final server-sent events of a stream.
pub fn end_events(completion: &Value) -> String {
    let event = json!({
        "id": completion["id"],
        "object": "chat.completion.chunk",
        "choices": [{
            "index": 0,
            "delta": {},
            "finish_reason": completion["choices"][0]["finish_reason"]
        }],
        "usage": completion["usage"]
    });
    format!("data: {event}\n\ndata: [DONE]\n\n")
}
