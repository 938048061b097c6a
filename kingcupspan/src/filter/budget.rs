//! Budget: reserve on the log before anything is sent.

use std::time::Duration;

use kingcupspan_core::{
    budget::Amount,
    record::{Finish, Idempotency, Outcome, Record, RecordId, Start},
    replica::Durability,
    usage,
};

use crate::{
    controller::slots::CommitError,
    edge::{
        peer::Target,
        problem::{Kind, Problem},
    },
    filter::{account, program, turn::TurnCx},
};

/// Tokens that a message may add beyond its text.
const MESSAGE_OVERHEAD_TOKENS: u64 = 16;

/// How long the start of a call may take to become durable.
const START_MAX: Duration = Duration::from_millis(5_000);

/// Works out what the call may use, or refuses it.
pub fn check(cx: &mut TurnCx) -> Result<(), Problem> {
    let cell = cx.cell()?;
    let deadline = program::with_program(cell, &cx.call, |p| p.deadline)?;
    if deadline <= cx.daemon.clock.wall() {
        let detail = "the program's time is over";
        return Err(Problem::not_run(Kind::BudgetExhausted, detail));
    }
    let left = cell.with_owner(|o| o.state().remaining_budget(cx.call.program));
    let left = left.ok_or_else(program::moved)?;
    let reserve = match &cx.ask.target {
        Target::Service { .. } => Amount::call(0),
        Target::Model {
            messages,
            max_tokens,
            ..
        } => {
            // A token is at least a byte, so this is never too little.
            let prompt = messages.len() as u64 + MESSAGE_OVERHEAD_TOKENS;
            let decode = left.tokens.saturating_sub(prompt).min(*max_tokens);
            cx.max_tokens = decode;
            Amount::call(prompt + decode.max(1))
        }
    };
    if !reserve.fits_within(&left) {
        let detail = format!("the call needs {reserve}, the budget leaves {left}");
        return Err(Problem::not_run(Kind::BudgetExhausted, detail));
    }
    cx.reserve = reserve;
    Ok(())
}

/// Writes the start of the call, which holds the reservation, and waits until
/// it is durable.
pub async fn reserve(cx: &mut TurnCx) -> Result<(), Problem> {
    let (key, durability) = match (&cx.ask.target, cx.repeat) {
        (Target::Service { key, .. }, Idempotency::NonIdempotent) => (key.clone(), Durability::Log),
        _ => (None, Durability::LogOrCopies),
    };
    let now = cx.daemon.clock.mono();
    if durability == Durability::Log && cx.daemon.log_health.is_unavailable(now) {
        let detail = "calls that must not run twice wait for the platform's log, which is away";
        return Err(Problem::not_run(Kind::Unavailable, detail).retry_after(5));
    }
    let start = Start {
        program: cx.call.program,
        turn: cx.ask.turn,
        digest: cx.digest,
        history: cx.history.digest,
        reserve: cx.reserve,
        idempotency: cx.repeat,
        key,
    };
    let cell = cx.cell()?;
    let proposed = cell
        .propose(Record::Start(start))
        .map_err(program::refusal)?;
    match cell
        .commit(proposed, durability, START_MAX.min(cx.left()))
        .await
    {
        Ok(()) => {
            cx.started = Some(proposed);
            cx.started_at = cx.daemon.clock.mono();
            Ok(())
        }
        Err(e) => Err(withdraw(cx, proposed, e)),
    }
}

/// Gives the call up before anything was sent; nobody else may send it.
fn withdraw(cx: &TurnCx, proposed: RecordId, e: CommitError) -> Problem {
    let finish = Finish {
        program: cx.call.program,
        turn: cx.ask.turn,
        start: proposed,
        used: Amount::default(),
        cost: usage::Cost::default(),
        outcome: Outcome::NotRun,
    };
    match e {
        CommitError::Lost => {
            account::report_fate(cx, proposed.epoch, finish);
            match cx.repeat {
                // The entry daemon asks the new owner, which knows of no answer.
                Idempotency::Idempotent => program::moved(),
                Idempotency::NonIdempotent => {
                    let detail = "the daemon lost the program before it sent the call";
                    Problem::not_run(Kind::Unavailable, detail).retry_after(1)
                }
            }
        }
        CommitError::TimedOut => {
            if let Ok(cell) = cx.cell() {
                // A refusal means that the slot is lost, which the fold settles.
                let _ = cell.propose_in_epoch(proposed.epoch, Record::Finish(finish));
            }
            let detail = "neither the log nor a peer took the record of the call in time";
            Problem::not_run(Kind::Unavailable, detail).retry_after(2)
        }
    }
}
