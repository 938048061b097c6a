//! Parses HTTP requests of callers into calls to the owner of a program.

use std::str;

use http_types::Method;
use kingcupspan_config::{caller::Caller, service};
use kingcupspan_core::{
    id::{ModelId, ProgramId, ServiceId, Slot, Turn, WorkspaceId},
    rendezvous,
};
use serde::Deserialize;
use serde_json::{Value, value::RawValue};

use crate::{
    edge::{
        peer::{Call, ProgramRequest, Target, TurnRequest},
        problem::{Kind, Problem},
    },
    filter::RequestCx,
};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Body of a request that opens a program.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OpenBody {
    workspace: WorkspaceId,
    #[serde(default)]
    budget: BudgetBody,
    parent: Option<ProgramId>,
}

/// Requested budget of a program; a missing value means the limit.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetBody {
    tokens: Option<u64>,
    calls: Option<u64>,
    seconds: Option<u64>,
}

/// Body of a chat completion request.
#[derive(Deserialize)]
struct ChatBody<'a> {
    model: ModelId,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Parses the request into a call.
pub fn read(cx: &RequestCx, caller: &Caller, body: Vec<u8>) -> Result<Call, Problem> {
    let path = cx.exchange.req.url().path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let method = cx.exchange.req.method();
    match (method, parts.as_slice()) {
        (Method::Post, ["v1", "programs"]) => open_call(cx, caller, &body),
        (Method::Get, ["v1", "programs", id]) => {
            existing_program_call(cx, caller, id, ProgramRequest::Inspect)
        }
        (Method::Delete, ["v1", "programs", id]) => {
            existing_program_call(cx, caller, id, ProgramRequest::Close)
        }
        (Method::Get, ["v1", "programs", id, "turns", turn]) => {
            let turn = parse(turn, "turn")?;
            existing_program_call(cx, caller, id, ProgramRequest::Stored(turn))
        }
        (Method::Post, ["v1", "chat", "completions"]) => {
            let target = chat_target(cx, &body)?;
            turn_call(cx, caller, target, body)
        }
        (Method::Post, ["v1", "services", service, rest @ ..]) if !rest.is_empty() => {
            let target = service_target(cx, service, &rest.join("/"))?;
            turn_call(cx, caller, target, body)
        }
        _ => {
            let detail = format!("there is no {method} {path}");
            Err(Problem::not_run(Kind::NotFound, detail))
        }
    }
}

/// Parses `raw`; `what` names the expected value in the problem.
fn parse<T: str::FromStr>(raw: &str, what: &str) -> Result<T, Problem> {
    raw.parse().map_err(|_| {
        let detail = format!("{raw:?} is not a valid {what}");
        Problem::not_run(Kind::BadRequest, detail)
    })
}

fn malformed_body(e: &serde_json::Error) -> Problem {
    Problem::not_run(Kind::BadRequest, format!("the body is not valid: {e}"))
}

fn parse_program_id(raw: &str) -> Result<ProgramId, Problem> {
    // No program has a malformed id: respond as for a program of another caller.
    raw.parse()
        .map_err(|_| Problem::not_run(Kind::NotFound, "no such program"))
}

/// Builds a call of the caller to a program.
fn new_call(cx: &RequestCx, caller: &Caller, program: ProgramId, request: ProgramRequest) -> Call {
    Call {
        caller: caller.caller.clone(),
        program,
        request,
        timeout_ms: cx.limits.call_deadline_ms,
    }
}

/// Builds a call to the existing program with the given id.
fn existing_program_call(
    cx: &RequestCx,
    caller: &Caller,
    id: &str,
    request: ProgramRequest,
) -> Result<Call, Problem> {
    Ok(new_call(cx, caller, parse_program_id(id)?, request))
}

/// Builds a call that opens a program, and chooses the id of the program.
fn open_call(cx: &RequestCx, caller: &Caller, body: &[u8]) -> Result<Call, Problem> {
    let body: OpenBody = serde_json::from_slice(body).map_err(|e| malformed_body(&e))?;
    if !caller.workspaces.contains(&body.workspace) {
        let detail = format!("workspace {} is not open to this caller", body.workspace);
        return Err(Problem::not_run(Kind::Forbidden, detail));
    }
    let configuration = &cx.active.configuration;
    let limits = configuration.limits(&caller.caller, Some(&body.workspace));
    let budget = body.budget;
    let request = ProgramRequest::Open {
        workspace: body.workspace,
        tokens: budget_or_limit(budget.tokens, limits.budget_tokens, "tokens")?,
        calls: budget_or_limit(budget.calls, limits.budget_calls, "calls")?,
        seconds: budget_or_limit(budget.seconds, limits.budget_seconds, "seconds")?,
        parent: body.parent,
    };
    let slot = match body.parent {
        Some(parent) => parent.slot,
        None => choose_slot(cx),
    };
    let id = ProgramId {
        slot,
        nonce: rand::random(),
    };
    Ok(new_call(cx, caller, id, request))
}

/// Returns the requested amount, or the limit if none is requested.
fn budget_or_limit(requested: Option<u64>, limit: u64, what: &str) -> Result<u64, Problem> {
    match requested {
        Some(requested) if requested > limit => {
            let detail = format!("a budget has at most {limit} {what}");
            Err(Problem::not_run(Kind::Forbidden, detail))
        }
        Some(requested) => Ok(requested),
        None => Ok(limit),
    }
}

/// Chooses a slot that this daemon serves, so that requests for the program that arrive here need
/// no forwarding.
///
/// Falls back to a random slot if this daemon serves none.
fn choose_slot(cx: &RequestCx) -> Slot {
    let nonce: u64 = rand::random();
    let served = cx.daemon.slots.iter().filter(|s| s.is_serving());
    let served: Vec<String> = served.map(|s| s.id.to_string()).collect();
    let chosen = rendezvous::first(&nonce.to_string(), served.iter().map(String::as_str));
    match chosen.and_then(|s| s.parse().ok()) {
        Some(slot) => slot,
        None => Slot((nonce % u64::from(cx.daemon.settings.slots)) as u16),
    }
}

/// Builds a call that runs a turn, from the headers of the request.
fn turn_call(
    cx: &RequestCx,
    caller: &Caller,
    target: Target,
    body: Vec<u8>,
) -> Result<Call, Problem> {
    let header = |name: &str| {
        let missing = || Problem::not_run(Kind::BadRequest, format!("header {name} is missing"));
        cx.exchange.header(name).ok_or_else(missing)
    };
    let id = parse_program_id(header("Program-Id")?)?;
    let turn: Turn = parse(header("Turn")?, "turn")?;
    let history = cx.exchange.header("History-Digest");
    let history = history.map(|h| parse(h, "digest")).transpose()?;
    let request = ProgramRequest::Turn(TurnRequest {
        turn,
        target,
        body,
        history,
    });
    Ok(new_call(cx, caller, id, request))
}

/// Parses and validates the body of a chat completion request.
fn chat_target(cx: &RequestCx, body: &[u8]) -> Result<Target, Problem> {
    let body: ChatBody<'_> = serde_json::from_slice(body).map_err(|e| malformed_body(&e))?;
    if body.messages.is_empty() {
        let detail = "`messages` carries the new messages of this turn, at least one";
        return Err(Problem::not_run(Kind::BadRequest, detail));
    }
    let messages: Vec<&str> = body.messages.iter().map(|m| m.get()).collect();
    for message in &messages {
        check_message(message)?;
    }
    let max_tokens = body.max_tokens.unwrap_or(cx.limits.max_tokens);
    if max_tokens == 0 {
        return Err(Problem::not_run(
            Kind::BadRequest,
            "`max_tokens` is at least 1",
        ));
    }
    Ok(Target::Model {
        model: body.model,
        messages: messages.join(","),
        max_tokens,
        stream: body.stream,
    })
}

/// Checks that a message is an object with a role and a content.
fn check_message(raw: &str) -> Result<(), Problem> {
    let message: Value = serde_json::from_str(raw).map_err(|e| malformed_body(&e))?;
    let has_role = message.get("role").is_some_and(Value::is_string);
    match has_role && message.get("content").is_some() {
        true => Ok(()),
        false => {
            let detail = "each message is an object with `role` and `content`";
            Err(Problem::not_run(Kind::BadRequest, detail))
        }
    }
}

/// Finds the operation of a service and validates the idempotency key.
fn service_target(cx: &RequestCx, name: &str, path: &str) -> Result<Target, Problem> {
    let unknown = || Problem::not_run(Kind::NotFound, format!("no operation {path} of {name}"));
    let service: ServiceId = name.parse().map_err(|_| unknown())?;
    let known = cx
        .active
        .configuration
        .service(&service)
        .ok_or_else(unknown)?;
    let operation = known.operation(path).ok_or_else(unknown)?;
    let key = cx.exchange.header("Idempotency-Key").map(str::to_owned);
    let key = match (operation.idempotency, key) {
        (service::Idempotency::Idempotent, _) => None,
        (service::Idempotency::NonIdempotent, Some(key)) if is_valid_key(&key) => Some(key),
        (service::Idempotency::NonIdempotent, _) => {
            let detail = "this operation is not idempotent: send a printable Idempotency-Key";
            return Err(Problem::not_run(Kind::BadRequest, detail));
        }
    };
    let content_type = cx.exchange.header("Content-Type");
    Ok(Target::Service {
        service,
        path: path.to_owned(),
        key,
        content_type: content_type
            .unwrap_or("application/octet-stream")
            .to_owned(),
    })
}

fn is_valid_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|b| b.is_ascii_graphic())
}
