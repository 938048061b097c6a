//! One program: the order of its calls, its history and its budget.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    budget, digest,
    id::{CallerId, Offset, ProgramId, Turn, WallMs, WorkspaceId, Writer},
    record, usage,
};

/// Who started a call, and by which record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Starter {
    /// The incarnation that may send the call.
    pub writer: Writer,

    /// Its record of the start.
    pub start: record::RecordId,
}

/// A call that was started and has not ended on the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StartedCall {
    /// Digest of the request.
    pub digest: digest::Digest,

    /// Who may send it.
    pub starter: Starter,

    /// What is reserved for it.
    pub reserve: budget::Amount,

    /// Whether it may be sent again.
    #[serde(rename = "repeat")]
    pub idempotency: record::Idempotency,

    /// What a starter that lost the slot reported later.
    #[serde(rename = "fate")]
    pub reported_outcome: Option<record::Outcome>,
}

/// A call that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedCall {
    /// Digest of the request.
    pub digest: digest::Digest,

    /// Who started it.
    pub starter: Starter,

    /// How it ended, as far as is known.
    pub outcome: record::Outcome,
}

/// State of an open program.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Program {
    /// Who opened it.
    pub caller: CallerId,

    /// What it is accounted to.
    pub workspace: WorkspaceId,

    /// The program whose budget it draws on.
    pub parent: Option<ProgramId>,

    /// When it ends at the latest.
    pub deadline: WallMs,

    /// Its own budget.
    pub ledger: budget::Ledger,

    /// Chained digest of its history.
    pub history: digest::Digest,

    /// Tokens of its history.
    pub history_tokens: u64,

    /// Ended calls, in order.
    pub turns: Vec<EndedCall>,

    /// The call under way.
    pub current: Option<StartedCall>,

    /// Keys of non-idempotent calls and the turns that used them.
    pub keys: BTreeMap<String, Turn>,
}

/// What may be done with a request for a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The turn has ended: answer with its stored outcome.
    Replay(record::Outcome),

    /// The turn carries another request.
    Conflict,

    /// Earlier turns have not ended.
    Ahead {
        /// The next turn of the program.
        next: Turn,
    },

    /// The same request is under way at this owner.
    Busy,

    /// The call may be started.
    Ready,

    /// A former owner may have sent it and it must not be sent again.
    Orphaned(Option<record::Outcome>),
}

impl Program {
    /// A program without calls.
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

    /// Whom its calls are accounted to.
    pub fn account_key(&self) -> usage::Key {
        usage::Key {
            caller: self.caller.clone(),
            workspace: self.workspace.clone(),
        }
    }

    /// The turn that may be started next, or is under way.
    pub fn next_turn(&self) -> Turn {
        Turn(self.turns.len() as u32)
    }

    /// Decides on a request for `turn` as seen by the owner with claim `epoch`.
    pub fn admit(&self, turn: Turn, digest: digest::Digest, epoch: Offset) -> Admission {
        if let Some(settled) = self.turns.get(turn.0 as usize) {
            return match settled.digest == digest {
                true => Admission::Replay(settled.outcome.clone()),
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

    /// Ends the call under way.
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

    /// Notes what a former owner reports of a call that only it could send.
    pub(crate) fn record_reported_outcome(
        &mut self,
        turn: Turn,
        starter: &Starter,
        outcome: &record::Outcome,
    ) -> bool {
        if let Some(settled) = self.turns.get_mut(turn.0 as usize) {
            let open = settled.outcome == record::Outcome::Unknown;
            let known = is_final(outcome);
            if settled.starter != *starter || !open || !known {
                return false;
            }
            settled.outcome = without_messages(outcome.clone());
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

    /// The history as a JSON list of messages.
    pub fn messages(&self) -> String {
        let parts = self.turns.iter().filter_map(|t| match &t.outcome {
            record::Outcome::Answered(a) if !a.messages.is_empty() => Some(a.messages.as_str()),
            _ => None,
        });
        let parts: Vec<&str> = parts.collect();
        parts.join(",")
    }
}

/// A call whose outcome may become known late never extends the history, so
/// that it does not matter when it does.
fn without_messages(mut outcome: record::Outcome) -> record::Outcome {
    if let record::Outcome::Answered(answer) = &mut outcome {
        answer.messages.clear();
    }
    outcome
}

/// Whether a report settles what became of a non-idempotent call.
fn is_final(outcome: &record::Outcome) -> bool {
    match outcome {
        record::Outcome::Answered(_) | record::Outcome::NotRun => true,
        record::Outcome::Failed | record::Outcome::Unknown => false,
    }
}
