//! Records on the streams of the platform's log.

use serde::{Deserialize, Serialize};

use crate::{
    budget, digest,
    id::{CallerId, Fence, Offset, ProgramId, Seq, Turn, VmId, WallMs, WorkspaceId, Writer},
    slot, usage,
};

/// One append to the stream of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Batch {
    /// Asks for the slot; counts only if `prev` is the claim in force.
    Claim {
        /// The new owner.
        writer: Writer,

        /// Offset of the claim that this one replaces.
        prev: Option<Offset>,
    },

    /// Records of an owner, numbered without gaps within its epoch.
    Owned {
        /// The owner.
        writer: Writer,

        /// Offset of the owner's claim: its fencing number.
        epoch: Offset,

        /// The records with their numbers, in order.
        entries: Vec<Entry>,
    },
}

/// A numbered record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The writer's number; each counts once within an epoch.
    pub seq: Seq,

    /// What happened.
    pub record: Record,
}

/// Identifies a record of an owner: no other record of the slot has the same.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordId {
    /// Fencing number of the owner.
    pub epoch: Offset,

    /// The owner's number.
    pub seq: Seq,
}

impl RecordId {
    /// Fencing number of the call that the record starts.
    pub fn fence(&self) -> Fence {
        Fence::new(self.epoch, self.seq)
    }
}

/// What an owner decides about its programs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A program begins.
    Open(Open),

    /// A call may be sent from now on, by this writer only and once.
    Start(Start),

    /// The call that this writer started has ended.
    Finish(Finish),

    /// A call whose writer is gone is closed.
    Settle {
        /// The program.
        program: ProgramId,

        /// The turn that is closed.
        turn: Turn,

        /// What its writer has reported, or unknown.
        outcome: Outcome,
    },

    /// A call whose writer reported that it did not run may be started again.
    Reopen {
        /// The program.
        program: ProgramId,

        /// The turn that is free again.
        turn: Turn,
    },

    /// A program and its sub-agents are over.
    Close {
        /// The program.
        program: ProgramId,
    },

    /// The whole state of the slot, for readers whose offset has expired.
    Snapshot(Box<slot::SlotState>),

    /// The owner hands the slot over.
    Release {
        /// The VM that should claim it next.
        to: VmId,
    },
}

/// The beginning of a program.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Open {
    /// The new program.
    pub program: ProgramId,

    /// Who opened it.
    pub caller: CallerId,

    /// What it is accounted to.
    pub workspace: WorkspaceId,

    /// The program whose budget it draws on.
    pub parent: Option<ProgramId>,

    /// Its own limit.
    pub limit: budget::Amount,

    /// When it ends at the latest.
    pub deadline: WallMs,
}

/// Whether a call may be sent again when its outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Idempotency {
    /// A model turn or a call that may be repeated.
    Idempotent,

    /// A call that must take effect at most once.
    NonIdempotent,
}

/// The intent to send a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Start {
    /// The program.
    pub program: ProgramId,

    /// The turn, which is the next one of the program.
    pub turn: Turn,

    /// Digest of the request.
    pub digest: digest::Digest,

    /// Digest of the history that the call extends.
    #[serde(rename = "after")]
    pub history: digest::Digest,

    /// What the call may draw from the budget.
    pub reserve: budget::Amount,

    /// Whether the call may be repeated.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,

    /// The caller's key of a non-idempotent call.
    pub key: Option<String>,
}

/// The end of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finish {
    /// The program.
    pub program: ProgramId,

    /// The turn.
    pub turn: Turn,

    /// The record that started it.
    pub start: RecordId,

    /// What it drew from the budget.
    pub used: budget::Amount,

    /// What its caller is charged.
    pub cost: usage::Cost,

    /// How it ended.
    pub outcome: Outcome,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran and its whole answer is here.
    Answered(Answer),

    /// It was not sent and never will be.
    NotRun,

    /// It brought no answer and may be started again; idempotent calls only.
    Failed,

    /// It was sent and its answer was lost.
    Unknown,
}

/// A whole answer, with what it adds to the history.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,

    /// Media type of the body.
    pub content_type: String,

    /// The body as the caller gets it.
    #[serde_as(as = "serde_with::Bytes")]
    pub body: Vec<u8>,

    /// Messages that join the history, as a JSON list without brackets; may be empty.
    pub messages: String,
}
