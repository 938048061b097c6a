//! Order: a turn runs after the ones before it, and once.

use std::{sync::Arc, time::Duration};

use async_std::future;
use event_listener::EventListener;
use kingcupspan_core::{
    id::ProgramId,
    program::Admission,
    record::{Outcome, Record},
};

use crate::{
    controller::slots::SharedSlot,
    daemon::Daemon,
    edge::problem::{Kind, Problem},
    filter::{
        program,
        turn::{History, TurnCx},
    },
};

/// How long a call waits for the end of a handover.
const HANDOVER_MAX: Duration = Duration::from_millis(15_000);

/// What to do with a turn.
pub enum Verdict {
    /// Run it; nobody else does while the guard lives.
    Run(Running),

    /// Answer with what it brought before.
    Replay(Outcome),
}

/// The right to run a program's next turn, until dropped.
pub struct Running {
    daemon: Arc<Daemon>,
    program: ProgramId,
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(cell) = self.daemon.slot(self.program.slot) {
            cell.finish_run(self.program);
        }
    }
}

/// What the state says about the turn now.
enum Step {
    Go(History),
    Replay(Outcome),
    Refuse(Problem),
    Settle(Record),
    Wait,
    Ahead(String),
}

/// Waits for the turn's time and decides what to do with it.
pub async fn run(cx: &mut TurnCx) -> Result<Verdict, Problem> {
    wait_for_handover(cx).await?;
    let order_wait = Duration::from_millis(cx.limits.order_wait_ms);
    let mut ahead_since = None;
    loop {
        let changed = cx.cell()?.listen();
        match step(cx)? {
            Step::Go(history) => {
                cx.history = history;
                let running = Running {
                    daemon: Arc::clone(&cx.daemon),
                    program: cx.call.program,
                };
                return Ok(Verdict::Run(running));
            }
            Step::Replay(outcome) => return Ok(Verdict::Replay(outcome)),
            Step::Refuse(problem) => return Err(problem),
            Step::Settle(record) => {
                // Refused means that the state has changed, so the next look decides.
                let _ = cx.cell()?.propose(record);
            }
            Step::Ahead(detail) => {
                let now = cx.daemon.clock.mono();
                let since = *ahead_since.get_or_insert(now);
                let waited = Duration::from_millis(now.since(since));
                let Some(left) = order_wait.checked_sub(waited).filter(|d| !d.is_zero()) else {
                    return Err(Problem::not_run(Kind::OutOfOrder, detail));
                };
                wait(changed, left.min(cx.left())).await;
            }
            Step::Wait => wait(changed, cx.left()).await,
        }
        if cx.left().is_zero() {
            let detail = "the same request is still under way; send it again for its answer";
            return Err(Problem::unknown(detail));
        }
    }
}

async fn wait_for_handover(cx: &TurnCx) -> Result<(), Problem> {
    let cell = cx.cell()?;
    let patience = HANDOVER_MAX.min(cx.left());
    cell.wait(patience, || (!cell.is_handing_over()).then_some(()))
        .await;
    Ok(())
}

async fn wait(changed: EventListener, patience: Duration) {
    // Whether the state has changed or time is over, the caller looks again.
    let _ = future::timeout(patience, changed).await;
}

fn step(cx: &TurnCx) -> Result<Step, Problem> {
    let turn = cx.ask.turn;
    let program = cx.call.program;
    let cell = cx.cell()?;
    let epoch = cell.with_owner(|o| o.epoch()).ok_or_else(program::moved)?;
    let (admission, history) = program::with_program(cell, &cx.call, |p| {
        let admission = p.admit(turn, cx.digest, epoch);
        let history = History {
            messages: String::new(),
            tokens: p.history_tokens,
            digest: p.history,
        };
        (admission, history)
    })?;
    let step = match admission {
        Admission::Replay(outcome) => Step::Replay(outcome),
        Admission::Conflict => Step::Refuse(Problem::not_run(
            Kind::Conflict,
            format!("turn {turn} carries another request"),
        )),
        Admission::Ahead { next } => {
            Step::Ahead(format!("turn {turn} is ahead: the next turn is {next}"))
        }
        Admission::Busy => Step::Wait,
        Admission::Orphaned(Some(Outcome::NotRun)) => {
            Step::Settle(Record::Reopen { program, turn })
        }
        Admission::Orphaned(Some(outcome)) => Step::Settle(Record::Settle {
            program,
            turn,
            outcome,
        }),
        Admission::Orphaned(None) => Step::Refuse(Problem::unknown(
            "a daemon that is gone may have sent this call; it is not sent again, \
             ask for the turn later",
        )),
        Admission::Ready => ready(cx, cell, history),
    };
    Ok(step)
}

fn ready(cx: &TurnCx, cell: &SharedSlot, history: History) -> Step {
    if cx.ask.history.is_some_and(|h| h != history.digest) {
        let detail = format!("the history's digest is {}", history.digest);
        return Step::Refuse(Problem::not_run(Kind::Conflict, detail));
    }
    if !cell.try_start_run(cx.call.program) {
        return Step::Wait;
    }
    let messages = program::with_program(cell, &cx.call, |p| p.messages());
    Step::Go(History {
        messages: messages.unwrap_or_default(),
        ..history
    })
}
