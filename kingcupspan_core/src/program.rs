//! State of one program: its calls in order, its history and its budget.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    budget, digest,
    id::{CallerId, Offset, ProgramId, Turn, WallMs, WorkspaceId, Writer},
    record, usage,
};

/// Daemon and record that started a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Starter {
    /// Daemon incarnation that may send the call.
    pub writer: Writer,

    /// Record by which the daemon started the call.
    pub start: record::RecordId,
}

/// Call that has a start but no end in the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StartedCall {
    /// Digest of the request.
    pub digest: digest::Digest,

    /// Daemon that may send the call, and the record of its start.
    pub starter: Starter,

    /// Amount reserved for the call.
    pub reserve: budget::Amount,

    /// Whether the call may be sent again.
    #[serde(rename = "repeat")]
    pub idempotency: record::Idempotency,

    /// Outcome that the starter reported after it had lost the slot.
    #[serde(rename = "fate")]
    pub reported_outcome: Option<record::Outcome>,
}

/// Call that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedCall {
    /// Digest of the request.
    pub digest: digest::Digest,

    /// Daemon and record that started the call.
    pub starter: Starter,

    /// Outcome of the call, as far as it is known.
    pub outcome: record::Outcome,
}

/// State of an open program.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Program {
    /// Caller that opened the program.
    pub caller: CallerId,

    /// Workspace that the program is accounted to.
    pub workspace: WorkspaceId,

    /// Parent program, whose budget the program also draws on.
    pub parent: Option<ProgramId>,

    /// Time at which the program ends at the latest.
    pub deadline: WallMs,

    /// Budget of the program itself.
    pub ledger: budget::Ledger,

    /// Chained digest of the program's history.
    pub history: digest::Digest,

    /// Number of tokens in the program's history.
    pub history_tokens: u64,

    /// Ended calls, in order.
    pub turns: Vec<EndedCall>,

    /// Call in flight.
    pub current: Option<StartedCall>,

    /// Idempotency keys of non-idempotent calls and the turns that used them.
    pub keys: BTreeMap<String, Turn>,
}

/// Decision on a request for a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The turn has ended; its stored outcome is the answer.
    Replay(record::Outcome),

    /// The turn belongs to a different request.
    Conflict,

    /// Earlier turns of the program have not ended.
    Ahead {
        /// Next turn of the program.
        next: Turn,
    },

    /// The same request is in flight at this owner.
    Busy,

    /// The call may be started.
    Ready,

    /// A former owner may have sent the call, so it must not be sent again.
    /// Contains the outcome that the former owner reported, if any.
    Orphaned(Option<record::Outcome>),
}

impl Program {
    /// Creates a program without calls.
    pub fn new(open: &record::Open) -> Self {
        Self {
            caller: open.caller.clone(),
            workspace: open.workspace.clone(),
            parent: open.parent,
            deadline: open.deadline,
            ledger: budget::Ledger::new(open.limit),
            history: digest::Digest::default(),
            history_tokens: 0,
            turns: Vec::new(),
            current: None,
            keys: BTreeMap::new(),
        }
    }

    /// Returns the caller and workspace that the program's calls are accounted
    /// to.
    pub fn account_key(&self) -> usage::Key {
        usage::Key {
            caller: self.caller.clone(),
            workspace: self.workspace.clone(),
        }
    }

    /// Returns the turn that is in flight or may be started next.
    pub fn next_turn(&self) -> Turn {
        Turn(self.turns.len() as u32)
    }

    /// Decides on a request for `turn`, for the owner whose claim has the
    /// offset `epoch`.
    pub fn admit(&self, turn: Turn, digest: digest::Digest, epoch: Offset) -> Admission {
        if let Some(ended) = self.turns.get(turn.0 as usize) {
            return match ended.digest == digest {
                true => Admission::Replay(ended.outcome.clone()),
                false => Admission::Conflict,
            };
        }
        if turn != self.next_turn() {
            return Admission::Ahead {
                next: self.next_turn(),
            };
        }
        let Some(current) = &self.current else {
            return Admission::Ready;
        };
        if current.digest != digest {
            return Admission::Conflict;
        }
        if current.starter.start.epoch == epoch {
            return Admission::Busy;
        }
        match current.idempotency {
            record::Idempotency::Idempotent => Admission::Ready,
            record::Idempotency::NonIdempotent => {
                Admission::Orphaned(current.reported_outcome.clone())
            }
        }
    }

    /// Ends the call in flight.
    pub(crate) fn settle(&mut self, outcome: record::Outcome, used: budget::Amount) {
        let Some(current) = self.current.take() else {
            return;
        };
        let outcome = match current.idempotency {
            record::Idempotency::Idempotent => outcome,
            record::Idempotency::NonIdempotent => without_messages(outcome),
        };
        if let record::Outcome::Answered(answer) = &outcome
            && !answer.messages.is_empty()
        {
            self.history = self.history.chain(answer.messages.as_bytes());
            self.history_tokens += used.tokens;
        }
        self.turns.push(EndedCall {
            digest: current.digest,
            starter: current.starter,
            outcome,
        });
    }

    /// Records the outcome that a former owner reports for a call that no
    /// other daemon may send, and returns whether the report took effect.
    pub(crate) fn record_reported_outcome(
        &mut self,
        turn: Turn,
        starter: &Starter,
        outcome: &record::Outcome,
    ) -> bool {
        if let Some(ended) = self.turns.get_mut(turn.0 as usize) {
            let is_unresolved = ended.outcome == record::Outcome::Unknown;
            let has_final_outcome = is_final(outcome);
            if ended.starter != *starter || !is_unresolved || !has_final_outcome {
                return false;
            }
            ended.outcome = without_messages(outcome.clone());
            return true;
        }
        if turn != self.next_turn() {
            return false;
        }
        match &mut self.current {
            Some(current)
                if current.starter == *starter
                    && current.idempotency == record::Idempotency::NonIdempotent
                    && current.reported_outcome.is_none()
                    && is_final(outcome) =>
            {
                current.reported_outcome = Some(outcome.clone());
                true
            }
            _ => false,
        }
    }

    /// Returns the messages of the history, separated by commas as in a JSON
    /// list.
    pub fn messages(&self) -> String {
        let parts = self.turns.iter().filter_map(|t| match &t.outcome {
            record::Outcome::Answered(a) if !a.messages.is_empty() => Some(a.messages.as_str()),
            _ => None,
        });
        let parts: Vec<&str> = parts.collect();
        parts.join(",")
    }
}

/// Removes the messages from an outcome.
///
/// A call whose outcome may be reported late never extends the history, so that
/// the history does not depend on when the report arrives.
fn without_messages(mut outcome: record::Outcome) -> record::Outcome {
    if let record::Outcome::Answered(answer) = &mut outcome {
        answer.messages.clear();
    }
    outcome
}

/// Returns whether a reported outcome is final for a non-idempotent call.
fn is_final(outcome: &record::Outcome) -> bool {
    match outcome {
        record::Outcome::Answered(_) | record::Outcome::NotRun => true,
        record::Outcome::Failed | record::Outcome::Unknown => false,
    }
}
