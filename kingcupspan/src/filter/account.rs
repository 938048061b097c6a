//! Account: write how the call ended, then let the caller have its end.

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
        turn::{self, Ended, ReplyTo, TurnCx},
    },
};

/// Pause between tries to report a call's fate.
const REPORT_PAUSE: Duration = Duration::from_millis(500);

/// Tries to report a call's fate.
const REPORTS_MAX: usize = 240;

/// How long the end of a call may take to become durable, beyond its deadline.
const FINISH_MAX: Duration = Duration::from_millis(10_000);

/// Writes the end of the call and answers the caller.
pub async fn run(cx: &mut TurnCx, ended: Ended) {
    let Some(start) = cx.started else {
        return cx.answer(Err(program::not_durable())).await;
    };
    let finish = Finish {
        program: cx.call.program,
        turn: cx.ask.turn,
        start,
        used: ended.used,
        cost: cx.cost,
        outcome: ended.outcome.clone(),
    };
    let proposed = match cx.cell() {
        Ok(cell) => cell.propose_in_epoch(start.epoch, Record::Finish(finish.clone())),
        Err(problem) => return cx.answer(Err(problem)).await,
    };
    let Ok(proposed) = proposed else {
        report_fate(cx, start.epoch, finish);
        return lost(cx, ended).await;
    };
    match commit(cx, proposed).await {
        Ok(()) => durable(cx, ended).await,
        Err(CommitError::Lost) => {
            report_fate(cx, start.epoch, finish);
            lost(cx, ended).await;
        }
        Err(CommitError::TimedOut) => cx.answer(Err(program::not_durable())).await,
    }
}

async fn commit(cx: &TurnCx, proposed: RecordId) -> Result<(), CommitError> {
    let Ok(cell) = cx.cell() else {
        return Err(CommitError::Lost);
    };
    let patience = FINISH_MAX.max(cx.left());
    cell.commit(proposed, Durability::LogOrCopies, patience)
        .await
}

/// The end is durable: the caller gets its last piece.
async fn durable(cx: &mut TurnCx, ended: Ended) {
    if let Some(problem) = ended.problem {
        return cx.answer(Err(problem)).await;
    }
    let Outcome::Answered(answer) = ended.outcome else {
        return cx.answer(Err(program::not_durable())).await;
    };
    let streamed = cx.is_streamed();
    match std::mem::replace(&mut cx.reply_to, ReplyTo::Done) {
        ReplyTo::Streaming(writer) => {
            let whole: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
            writer.write(turn::end_events(&whole).into_bytes()).await;
            writer.finish().await;
        }
        nobody @ ReplyTo::Nobody(_) => {
            cx.reply_to = nobody;
            let mut res = turn::respond(&answer, streamed);
            if let Ok(cell) = cx.cell()
                && let Ok(digest) = program::with_program(cell, &cx.call, |p| p.history)
            {
                res.insert_header("History-Digest", digest.to_string());
            }
            cx.answer(Ok(res)).await;
        }
        ReplyTo::Done => {}
    }
}

/// Another daemon owns the program now.
async fn lost(cx: &mut TurnCx, ended: Ended) {
    let answer = match (cx.repeat, ended.outcome, ended.problem) {
        // The new owner knows nothing of this attempt and runs the turn itself.
        (Idempotency::Idempotent, _, _) => Err(program::moved()),
        // The outcome is certain, whoever owns the program.
        (Idempotency::NonIdempotent, Outcome::Answered(answer), _) => {
            Ok(turn::respond(&answer, false))
        }
        (Idempotency::NonIdempotent, _, Some(problem)) => Err(problem),
        (Idempotency::NonIdempotent, _, None) => {
            Err(Problem::unknown("the daemon lost the program"))
        }
    };
    cx.answer(answer).await;
}

/// Tells the log what became of a call that only this daemon could send, after
/// it has lost the slot; the fold takes it from the starter alone.
pub fn report_fate(cx: &TurnCx, epoch: Offset, finish: Finish) {
    if cx.repeat == Idempotency::Idempotent {
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
        for _ in 0..REPORTS_MAX {
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
            task::sleep(REPORT_PAUSE).await;
        }
        log::error!(stream = stream.as_str(); "the fate of a call could not be reported");
    });
}
