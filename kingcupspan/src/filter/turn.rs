//! A turn at the owner of its program: order, budget, place, send, account.

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

/// Who waits for the answer.
pub enum ResponseSink {
    /// Nothing has been answered yet.
    Pending(async_channel::Sender<Result<Response, Problem>>),

    /// The answer is being streamed.
    Streaming(body::Writer),

    /// The caller has its answer or is gone.
    Done,
}

/// A turn on its way through the owner's chain.
pub struct TurnCx {
    /// The daemon.
    pub daemon: Arc<Daemon>,

    /// The request.
    pub call: Call,

    /// The turn that it asks for.
    pub turn_request: TurnRequest,

    /// The limits that hold for it.
    pub limits: Limits,

    /// The caller's weight.
    pub weight: u64,

    /// Digest of the request.
    pub digest: Digest,

    /// Whether it may be repeated.
    pub idempotency: Idempotency,

    /// What can serve it.
    pub served_target: ServedTarget,

    /// When it has to have ended.
    pub deadline: MonoMs,

    /// When it arrived.
    pub arrived_at: MonoMs,

    /// What is reserved for it.
    pub reservation: budget::Amount,

    /// Tokens that a model may decode.
    pub max_tokens: u64,

    /// Tokens and digest of the history that it extends.
    pub history: History,

    /// The place where it may run.
    pub held_grant: Option<grants::HeldGrant>,

    /// Its start on the log.
    pub start_record: Option<RecordId>,

    /// When its start became durable.
    pub start_durable_at: MonoMs,

    /// What it has cost so far.
    pub cost: usage::Cost,

    /// Who waits for its answer.
    pub response_sink: ResponseSink,
}

/// The history that a turn extends.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Its messages, as a JSON list without brackets.
    pub messages: String,

    /// Its tokens.
    pub tokens: u64,

    /// Its digest.
    pub digest: Digest,
}

/// How a call ended at its endpoint.
pub struct CallResult {
    /// The outcome for the log.
    pub outcome: Outcome,

    /// What it drew from the budget.
    pub used: budget::Amount,

    /// What the caller is told if there is no answer.
    pub problem: Option<Problem>,
}

impl TurnCx {
    /// The cell of the program's slot.
    pub fn slot(&self) -> Result<&SharedSlot, Problem> {
        let slot = self.daemon.slot(self.call.program.slot);
        slot.ok_or_else(program::unknown_program)
    }

    /// Time left for the call.
    pub fn remaining_time(&self) -> Duration {
        let now = self.daemon.clock.mono();
        Duration::from_millis(self.deadline.since(now))
    }

    /// Whether the caller wants the answer as a stream.
    pub fn is_streamed(&self) -> bool {
        matches!(self.turn_request.target, Target::Model { stream: true, .. })
    }

    /// Answers the caller, if it has not been answered yet.
    pub async fn respond(&mut self, answer: Result<Response, Problem>) {
        match std::mem::replace(&mut self.response_sink, ResponseSink::Done) {
            ResponseSink::Pending(tx) => {
                // The caller may be gone, the answer stays on the log.
                let _ = tx.send(answer).await;
            }
            // Dropping the writer cuts the stream: what was sent is not whole.
            ResponseSink::Streaming(_) | ResponseSink::Done => {}
        }
    }
}

/// Digest of what a turn asks; how the answer is delivered is no part of it.
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

/// Serves a turn; the work goes on if the caller goes away.
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

async fn run(mut cx: TurnCx) {
    let _guard = match order::run(&mut cx).await {
        Ok(order::Decision::Run(running)) => running,
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

async fn prepare(cx: &mut TurnCx) -> Result<(), Problem> {
    budget_filter::check(cx)?;
    placement::run(cx, &[]).await?;
    budget_filter::reserve(cx).await
}

/// Gives back the place at the endpoint; nobody waits for that.
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

/// The stored outcome of a turn as an answer.
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

/// A whole answer as a response.
pub fn build_response(answer: &Answer, streamed: bool) -> Response {
    let mut res = Response::new(answer.status);
    if !streamed {
        res.set_body(Body::from_bytes(answer.body.clone()));
        res.insert_header("Content-Type", answer.content_type.as_str());
        return res;
    }
    let whole: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    let text = whole["choices"][0]["message"]["content"].as_str();
    let id = whole["id"].as_str().unwrap_or_default();
    let mut events = chunk_event(id, text.unwrap_or_default());
    events.push_str(&end_events(&whole));
    res.set_body(Body::from_bytes(events.into_bytes()));
    res.insert_header("Content-Type", "text/event-stream");
    res
}

/// An event with a piece of text.
pub fn chunk_event(id: &str, text: &str) -> String {
    let event = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": text}}]
    });
    format!("data: {event}\n\n")
}

/// The events that end a stream.
pub fn end_events(whole: &Value) -> String {
    let event = json!({
        "id": whole["id"],
        "object": "chat.completion.chunk",
        "choices": [{
            "index": 0,
            "delta": {},
            "finish_reason": whole["choices"][0]["finish_reason"]
        }],
        "usage": whole["usage"]
    });
    format!("data: {event}\n\ndata: [DONE]\n\n")
}
