//! Account filter: writes the outcome of a call to the log, then responds to the caller.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_core::{
    id::{Offset, Seq},
    record::{Batch, Entry, Finish, Idempotency, Outcome, Record, RecordId},
    replica::Durability,
};
use serde_json::Value;

use crate::{
    controller::slots::CommitError,
    edge::{peer, problem::Problem},
    filter::{
        program,
        turn::{self, CallResult, ResponseSink, TurnCx},
    },
};

/// Pause between attempts to report the outcome of a call.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of attempts to report the outcome of a call.
const MAX_REPORT_ATTEMPTS: usize = 240;

/// Minimum time that the finish record of a call has to become durable, even if the call's
/// deadline is earlier.
const FINISH_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Writes the finish record of the call and responds to the caller.
pub async fn run(cx: &mut TurnCx, call_result: CallResult) {
    let Some(start) = cx.start_record else {
        return cx.respond(Err(program::not_durable())).await;
    };
    let finish = Finish {
        program: cx.call.program,
        turn: cx.turn_request.turn,
        start,
        used: call_result.used,
        cost: cx.cost,
        outcome: call_result.outcome.clone(),
    };
    let proposed = match cx.slot() {
        Ok(slot) => slot.propose_in_epoch(start.epoch, Record::Finish(finish.clone())),
        Err(problem) => return cx.respond(Err(problem)).await,
    };
    let Ok(proposed) = proposed else {
        report_outcome(cx, start.epoch, finish);
        return respond_after_lost_slot(cx, call_result).await;
    };
    match commit_finish(cx, proposed).await {
        Ok(()) => respond_after_commit(cx, call_result).await,
        Err(CommitError::Lost) => {
            report_outcome(cx, start.epoch, finish);
            respond_after_lost_slot(cx, call_result).await;
        }
        Err(CommitError::TimedOut) => cx.respond(Err(program::not_durable())).await,
    }
}

/// Waits until the proposed finish record is durable.
async fn commit_finish(cx: &TurnCx, proposed: RecordId) -> Result<(), CommitError> {
    let Ok(slot) = cx.slot() else {
        return Err(CommitError::Lost);
    };
    let timeout = FINISH_TIMEOUT.max(cx.remaining_time());
    slot.commit(proposed, Durability::LogOrCopies, timeout)
        .await
}

/// Sends the response, or its final events if it is streamed, once the finish record is durable.
async fn respond_after_commit(cx: &mut TurnCx, call_result: CallResult) {
    if let Some(problem) = call_result.problem {
        return cx.respond(Err(problem)).await;
    }
    let Outcome::Answered(answer) = call_result.outcome else {
        return cx.respond(Err(program::not_durable())).await;
    };
    let streamed = cx.is_streamed();
    match std::mem::replace(&mut cx.response_sink, ResponseSink::Done) {
        ResponseSink::Streaming(writer) => {
            let completion: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
            writer
                .write(turn::end_events(&completion).into_bytes())
                .await;
            writer.finish().await;
        }
        pending @ ResponseSink::Pending(_) => {
            cx.response_sink = pending;
            let mut res = turn::build_response(&answer, streamed);
            if let Ok(slot) = cx.slot()
                && let Ok(digest) = program::with_program(slot, &cx.call, |p| p.history)
            {
                res.insert_header("History-Digest", digest.to_string());
            }
            cx.respond(Ok(res)).await;
        }
        ResponseSink::Done => {}
    }
}

/// Responds to the caller after another daemon has taken over the slot of the program.
async fn respond_after_lost_slot(cx: &mut TurnCx, call_result: CallResult) {
    let response = match (cx.idempotency, call_result.outcome, call_result.problem) {
        // The new owner has no record of this attempt and runs the turn itself.
        (Idempotency::Idempotent, _, _) => Err(program::moved()),
        // The outcome is final, regardless of which daemon owns the program.
        (Idempotency::NonIdempotent, Outcome::Answered(answer), _) => {
            Ok(turn::build_response(&answer, false))
        }
        (Idempotency::NonIdempotent, _, Some(problem)) => Err(problem),
        (Idempotency::NonIdempotent, _, None) => {
            Err(Problem::unknown("the daemon lost the program"))
        }
    };
    cx.respond(response).await;
}

/// Appends the outcome of a non-idempotent call to the log after this daemon has lost the slot.
///
/// Only the daemon that started a call can send it, so the state machine accepts such a late
/// finish record from that daemon alone.
pub fn report_outcome(cx: &TurnCx, epoch: Offset, finish: Finish) {
    if cx.idempotency == Idempotency::Idempotent {
        return;
    }
    let batch = Batch::Owned {
        writer: cx.daemon.writer.clone(),
        epoch,
        entries: vec![Entry {
            seq: Seq(u64::MAX),
            record: Record::Finish(finish),
        }],
    };
    let daemon = Arc::clone(&cx.daemon);
    let stream = format!("slot-{}", cx.call.program.slot);
    task::spawn(async move {
        for _ in 0..MAX_REPORT_ATTEMPTS {
            daemon.pacer.acquire().await;
            daemon.metrics.log_appends.inc();
            if daemon
                .log
                .append(&stream, peer::encode(&batch))
                .await
                .is_ok()
            {
                return;
            }
            task::sleep(REPORT_RETRY_INTERVAL).await;
        }
        log::error!(
            stream = stream.as_str();
            "could not report the outcome of a call to the log; giving up"
        );
    });
}
