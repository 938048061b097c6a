//! Order filter: runs the turns of a program in sequence and each turn only once.

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

/// Maximum time that a call waits for the handover of its slot to end.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(15_000);

/// Decision on how to handle a turn.
pub enum Decision {
    /// Run the turn; no other task runs it while the guard exists.
    Run(RunGuard),

    /// Respond with the stored outcome of the turn.
    Replay(Outcome),
}

/// Exclusive right to run the next turn of a program, released on drop.
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

/// Next step for a turn according to the current state of its program.
enum Step {
    /// Run the turn with this history.
    Run(History),

    /// Respond with the stored outcome.
    Replay(Outcome),

    /// Reject the turn.
    Reject(Problem),

    /// Propose the record to the slot, then evaluate the turn again.
    Propose(Record),

    /// Wait until the state changes.
    Wait,

    /// Wait for earlier turns of the program, for at most the limit `order_wait_ms`.
    ///
    /// Contains the detail of the problem that is returned when the limit is reached.
    WaitForEarlierTurns(String),
}

/// Waits until the turn can be handled and returns the decision.
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
                // An error means that the state has changed; the next iteration re-evaluates it.
                let _ = cx.slot()?.propose(record);
            }
            Step::WaitForEarlierTurns(detail) => {
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

/// Waits until the slot is not being handed over, for at most `HANDOVER_TIMEOUT`.
async fn wait_for_handover(cx: &TurnCx) -> Result<(), Problem> {
    let slot = cx.slot()?;
    let timeout = HANDOVER_TIMEOUT.min(cx.remaining_time());
    slot.wait(timeout, || (!slot.is_handing_over()).then_some(()))
        .await;
    Ok(())
}

/// Waits until the state of the slot changes, for at most `timeout`.
async fn wait_for_change(changed: EventListener, timeout: Duration) {
    // The calling function re-evaluates the turn in both cases.
    let _ = future::timeout(timeout, changed).await;
}

/// Determines the next step for the turn from the state of its program.
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
            Step::WaitForEarlierTurns(format!("turn {turn} is ahead: the next turn is {next}"))
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

/// Checks the expected history and acquires the right to run the turn.
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
