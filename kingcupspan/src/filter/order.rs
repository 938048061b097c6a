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
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(15_000);

/// What to do with a turn.
pub enum Decision {
    /// Run it; nobody else does while the guard lives.
    Run(RunGuard),

    /// Answer with what it brought before.
    Replay(Outcome),
}

/// The right to run a program's next turn, until dropped.
pub struct RunGuard {
    daemon: Arc<Daemon>,
    program: ProgramId,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(slot) = self.daemon.slot(self.program.slot) {
            slot.finish_run(self.program);
        }
    }
}

/// What the state says about the turn now.
enum Step {
    Run(History),
    Replay(Outcome),
    Reject(Problem),
    Propose(Record),
    Wait,
    Ahead(String),
}

/// Waits for the turn's time and decides what to do with it.
pub async fn run(cx: &mut TurnCx) -> Result<Decision, Problem> {
    wait_for_handover(cx).await?;
    let order_wait = Duration::from_millis(cx.limits.order_wait_ms);
    let mut ahead_since = None;
    loop {
        let changed = cx.slot()?.listen();
        match next_step(cx)? {
            Step::Run(history) => {
                cx.history = history;
                let guard = RunGuard {
                    daemon: Arc::clone(&cx.daemon),
                    program: cx.call.program,
                };
                return Ok(Decision::Run(guard));
            }
            Step::Replay(outcome) => return Ok(Decision::Replay(outcome)),
            Step::Reject(problem) => return Err(problem),
            Step::Propose(record) => {
                // Refused means that the state has changed, so the next look decides.
                let _ = cx.slot()?.propose(record);
            }
            Step::Ahead(detail) => {
                let now = cx.daemon.clock.mono();
                let since = *ahead_since.get_or_insert(now);
                let waited = Duration::from_millis(now.since(since));
                let Some(remaining) = order_wait.checked_sub(waited).filter(|d| !d.is_zero())
                else {
                    return Err(Problem::not_run(Kind::OutOfOrder, detail));
                };
                wait_for_change(changed, remaining.min(cx.remaining_time())).await;
            }
            Step::Wait => wait_for_change(changed, cx.remaining_time()).await,
        }
        if cx.remaining_time().is_zero() {
            let detail = "the same request is still under way; send it again for its answer";
            return Err(Problem::unknown(detail));
        }
    }
}

async fn wait_for_handover(cx: &TurnCx) -> Result<(), Problem> {
    let slot = cx.slot()?;
    let timeout = HANDOVER_TIMEOUT.min(cx.remaining_time());
    slot.wait(timeout, || (!slot.is_handing_over()).then_some(()))
        .await;
    Ok(())
}

async fn wait_for_change(changed: EventListener, timeout: Duration) {
    // Whether the state has changed or time is over, the caller looks again.
    let _ = future::timeout(timeout, changed).await;
}

fn next_step(cx: &TurnCx) -> Result<Step, Problem> {
    let turn = cx.turn_request.turn;
    let program = cx.call.program;
    let slot = cx.slot()?;
    let epoch = slot.with_owner(|o| o.epoch()).ok_or_else(program::moved)?;
    let (admission, history) = program::with_program(slot, &cx.call, |p| {
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
        Admission::Conflict => Step::Reject(Problem::not_run(
            Kind::Conflict,
            format!("turn {turn} carries another request"),
        )),
        Admission::Ahead { next } => {
            Step::Ahead(format!("turn {turn} is ahead: the next turn is {next}"))
        }
        Admission::Busy => Step::Wait,
        Admission::Orphaned(Some(Outcome::NotRun)) => {
            Step::Propose(Record::Reopen { program, turn })
        }
        Admission::Orphaned(Some(outcome)) => Step::Propose(Record::Settle {
            program,
            turn,
            outcome,
        }),
        Admission::Orphaned(None) => Step::Reject(Problem::unknown(
            "a daemon that is gone may have sent this call; it is not sent again, \
             ask for the turn later",
        )),
        Admission::Ready => try_start(cx, slot, history),
    };
    Ok(step)
}

fn try_start(cx: &TurnCx, slot: &SharedSlot, history: History) -> Step {
    if cx.turn_request.history.is_some_and(|h| h != history.digest) {
        let detail = format!("the history's digest is {}", history.digest);
        return Step::Reject(Problem::not_run(Kind::Conflict, detail));
    }
    if !slot.try_start_run(cx.call.program) {
        return Step::Wait;
    }
    let messages = program::with_program(slot, &cx.call, |p| p.messages());
    Step::Run(History {
        messages: messages.unwrap_or_default(),
        ..history
    })
}
