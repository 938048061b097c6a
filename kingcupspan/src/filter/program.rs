//! Operations on programs at the daemon that owns them, except for running turns.

use std::{sync::Arc, time::Duration};

use async_std::task;
use http_types::Response;
use kingcupspan_core::{
    budget,
    id::{ProgramId, Turn, WallMs},
    program::Program,
    record::{Idempotency, Open, Record},
    replica::{Durability, ProposeError},
    slot::Refusal,
};
use serde::Serialize;

use crate::{
    controller::{
        cache,
        slots::{CommitError, SharedSlot},
    },
    daemon::Daemon,
    edge::{
        peer::{Call, ProgramRequest},
        problem::{Kind, Problem},
    },
    filter::turn,
};

/// Response to the opening of a program.
#[derive(Serialize)]
struct OpenResponse {
    program: ProgramId,
}

/// Response to the inspection of a program.
#[derive(Serialize)]
struct InspectResponse {
    program: ProgramId,
    turns: usize,
    next_turn: Turn,
    history_tokens: u64,
    history_digest: String,
    budget_left: budget::Amount,
    ends_at_ms: WallMs,
}

/// Handles a call at the owner of its program.
pub async fn handle(daemon: &Arc<Daemon>, call: Call) -> Result<Response, Problem> {
    let Some(slot) = daemon.slot(call.program.slot) else {
        return Err(unknown_program());
    };
    if !slot.is_serving() {
        return Err(moved());
    }
    match call.request.clone() {
        ProgramRequest::Open {
            workspace,
            tokens,
            calls,
            seconds,
            parent,
        } => {
            let record = Open {
                program: call.program,
                caller: call.caller.clone(),
                workspace,
                parent,
                limit: budget::Amount { tokens, calls },
                deadline: WallMs(daemon.clock.wall().0 + seconds * 1_000),
            };
            open(slot, &call, record).await
        }
        ProgramRequest::Close => close(daemon, slot, &call).await,
        ProgramRequest::Inspect => inspect(slot, &call),
        ProgramRequest::Stored(n) => stored_turn(slot, &call, n),
        ProgramRequest::Turn(request) => turn::handle(daemon, call, request).await,
    }
}

/// Returns the problem for a program that does not exist or belongs to another caller.
pub fn unknown_program() -> Problem {
    Problem::not_run(Kind::NotFound, "no such program")
}

/// Returns the problem for a slot that another daemon owns.
///
/// The entry daemon then looks up the owner again.
pub fn moved() -> Problem {
    Problem::not_run(Kind::Moved, "the slot is owned by another daemon")
}

/// Converts the error of a proposed record to a problem for the caller.
pub fn propose_problem(e: ProposeError) -> Problem {
    match e {
        ProposeError::NotServing | ProposeError::Refused(Refusal::NotOwner) => moved(),
        ProposeError::Refused(Refusal::UnknownProgram) => unknown_program(),
        ProposeError::Refused(Refusal::BudgetExceeded) => Problem::not_run(
            Kind::BudgetExhausted,
            "the program's budget, or its parent's, does not cover the call",
        ),
        ProposeError::Refused(
            refused @ (Refusal::AlreadyExists
            | Refusal::OutOfOrder
            | Refusal::Busy
            | Refusal::NotStarted
            | Refusal::KeyReused
            | Refusal::HistoryMismatch),
        ) => Problem::not_run(Kind::Conflict, refused.to_string()),
    }
}

/// Calls `f` with the program if it belongs to the caller.
pub fn with_program<R>(
    slot: &SharedSlot,
    call: &Call,
    f: impl FnOnce(&Program) -> R,
) -> Result<R, Problem> {
    let found = slot.with_owner(|o| {
        let program = o.state().programs.get(&call.program);
        program.filter(|p| p.caller == call.caller).map(f)
    });
    found.ok_or_else(moved)?.ok_or_else(unknown_program)
}

/// Builds a JSON response.
pub fn json<T: Serialize>(status: u16, value: &T) -> Response {
    let mut res = Response::new(status);
    res.set_body(serde_json::to_vec(value).unwrap_or_default());
    res.set_content_type(http_types::mime::JSON);
    res
}

/// Opens a program; opening an id that is already open succeeds.
async fn open(slot: &SharedSlot, call: &Call, record: Open) -> Result<Response, Problem> {
    if let Some(parent) = record.parent {
        let parent_call = Call {
            program: parent,
            ..call.clone()
        };
        with_program(slot, &parent_call, |_| ())?;
    }
    let already_open = with_program(slot, call, |_| ()).is_ok();
    if !already_open {
        let proposed = slot
            .propose(Record::Open(record))
            .map_err(propose_problem)?;
        let timeout = Duration::from_millis(call.timeout_ms);
        match slot
            .commit(proposed, Durability::LogOrCopies, timeout)
            .await
        {
            Ok(()) => {}
            // Opening the same id twice is detected, so the entry daemon may retry.
            Err(CommitError::Lost) => return Err(moved()),
            Err(CommitError::TimedOut) => return Err(not_durable()),
        }
    }
    let opened = OpenResponse {
        program: call.program,
    };
    Ok(json(201, &opened))
}

/// Returns the problem for a record that is not durable in time, but may still become so.
pub fn not_durable() -> Problem {
    Problem::unknown("neither the log nor a peer has taken the record in time")
}

/// Closes a program and its descendants.
async fn close(daemon: &Arc<Daemon>, slot: &SharedSlot, call: &Call) -> Result<Response, Problem> {
    let has_non_idempotent_call = with_program(slot, call, |p| {
        p.current
            .as_ref()
            .is_some_and(|c| c.idempotency == Idempotency::NonIdempotent)
    })?;
    if has_non_idempotent_call {
        let detail = "a call that must not be cut is under way; close the program after it";
        return Err(Problem::not_run(Kind::Conflict, detail));
    }
    let closed_programs = slot
        .with_owner(|o| o.state().descendants(call.program))
        .unwrap_or_default();
    let record = Record::Close {
        program: call.program,
    };
    let proposed = slot.propose(record).map_err(propose_problem)?;
    slot.notify();
    let timeout = Duration::from_millis(call.timeout_ms);
    match slot
        .commit(proposed, Durability::LogOrCopies, timeout)
        .await
    {
        Ok(()) => {}
        Err(CommitError::Lost) => return Err(moved()),
        Err(CommitError::TimedOut) => return Err(not_durable()),
    }
    task::spawn(cache::release_closed(
        Arc::clone(daemon),
        closed_programs,
        proposed.fence(),
    ));
    Ok(Response::new(204))
}

/// Returns the state and the remaining budget of a program.
fn inspect(slot: &SharedSlot, call: &Call) -> Result<Response, Problem> {
    let remaining = slot.with_owner(|o| o.state().remaining_budget(call.program));
    let remaining = remaining.ok_or_else(moved)?;
    let inspected = with_program(slot, call, |p| InspectResponse {
        program: call.program,
        turns: p.turns.len(),
        next_turn: p.next_turn(),
        history_tokens: p.history_tokens,
        history_digest: p.history.to_string(),
        budget_left: remaining,
        ends_at_ms: p.deadline,
    })?;
    Ok(json(200, &inspected))
}

/// Returns the stored response of turn `n`.
fn stored_turn(slot: &SharedSlot, call: &Call, n: Turn) -> Result<Response, Problem> {
    let outcome = with_program(slot, call, |p| {
        p.turns.get(n.0 as usize).map(|t| t.outcome.clone())
    })?;
    let missing = || Problem::not_run(Kind::NotFound, format!("turn {n} has not ended"));
    turn::replay(outcome.ok_or_else(missing)?, false)
}
