//! Budget filter: reserves part of the budget on the log before a call is sent.

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

/// Tokens that the messages of a call may need in addition to their text.
const MESSAGE_OVERHEAD_TOKENS: u64 = 16;

/// Maximum time that the start record of a call may take to become durable.
const START_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Computes the reservation of the call, or rejects the call if the budget does not cover it.
pub fn check(cx: &mut TurnCx) -> Result<(), Problem> {
    let slot = cx.slot()?;
    let deadline = program::with_program(slot, &cx.call, |p| p.deadline)?;
    if deadline <= cx.daemon.clock.wall() {
        let detail = "the program's time is over";
        return Err(Problem::not_run(Kind::BudgetExhausted, detail));
    }
    let remaining = slot.with_owner(|o| o.state().remaining_budget(cx.call.program));
    let remaining = remaining.ok_or_else(program::moved)?;
    let reservation = match &cx.turn_request.target {
        Target::Service { .. } => Amount::call(0),
        Target::Model {
            messages,
            max_tokens,
            ..
        } => {
            // A token is at least one byte, so the byte count is an upper bound.
            let prompt = messages.len() as u64 + MESSAGE_OVERHEAD_TOKENS;
            let decode = remaining.tokens.saturating_sub(prompt).min(*max_tokens);
            cx.max_tokens = decode;
            Amount::call(prompt + decode.max(1))
        }
    };
    if !reservation.fits_within(&remaining) {
        let detail = format!("the call needs {reservation}, the budget leaves {remaining}");
        return Err(Problem::not_run(Kind::BudgetExhausted, detail));
    }
    cx.reservation = reservation;
    Ok(())
}

/// Writes the start record of the call, which carries the reservation, and waits until the
/// record is durable.
pub async fn reserve(cx: &mut TurnCx) -> Result<(), Problem> {
    let (key, durability) = match (&cx.turn_request.target, cx.idempotency) {
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
        turn: cx.turn_request.turn,
        digest: cx.digest,
        history: cx.history.digest,
        reserve: cx.reservation,
        idempotency: cx.idempotency,
        key,
    };
    let slot = cx.slot()?;
    let proposed = slot
        .propose(Record::Start(start))
        .map_err(program::propose_problem)?;
    match slot
        .commit(proposed, durability, START_TIMEOUT.min(cx.remaining_time()))
        .await
    {
        Ok(()) => {
            cx.start_record = Some(proposed);
            cx.start_durable_at = cx.daemon.clock.mono();
            Ok(())
        }
        Err(e) => Err(cancel_start(cx, proposed, e)),
    }
}

/// Cancels a call whose start record did not become durable, before anything was sent.
///
/// No other daemon may send the call.
fn cancel_start(cx: &TurnCx, proposed: RecordId, e: CommitError) -> Problem {
    let finish = Finish {
        program: cx.call.program,
        turn: cx.turn_request.turn,
        start: proposed,
        used: Amount::default(),
        cost: usage::Cost::default(),
        outcome: Outcome::NotRun,
    };
    match e {
        CommitError::Lost => {
            account::report_outcome(cx, proposed.epoch, finish);
            match cx.idempotency {
                // The entry daemon retries at the new owner, which has no response stored.
                Idempotency::Idempotent => program::moved(),
                Idempotency::NonIdempotent => {
                    let detail = "the daemon lost the program before it sent the call";
                    Problem::not_run(Kind::Unavailable, detail).retry_after(1)
                }
            }
        }
        CommitError::TimedOut => {
            if let Ok(slot) = cx.slot() {
                // An error means that the slot is lost; the call is then settled from the log.
                let _ = slot.propose_in_epoch(proposed.epoch, Record::Finish(finish));
            }
            let detail = "neither the log nor a peer took the record of the call in time";
            Problem::not_run(Kind::Unavailable, detail).retry_after(2)
        }
    }
}
