//! Records in the streams of the platform's log.

use serde::{Deserialize, Serialize};

use crate::{
    budget, digest,
    id::{CallerId, Fence, Offset, ProgramId, Seq, Turn, VmId, WallMs, WorkspaceId, Writer},
    slot, usage,
};

/// Batch appended to the stream of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Batch {
    /// Claims the slot; takes effect only if `prev` is the current claim.
    Claim {
        /// New owner of the slot.
        writer: Writer,

        /// Offset of the claim that this one replaces.
        prev: Option<Offset>,
    },

    /// Records of an owner, numbered without gaps within its epoch.
    Owned {
        /// Owner that wrote the records.
        writer: Writer,

        /// Offset of the owner's claim, which serves as its fencing number.
        epoch: Offset,

        /// Records with their sequence numbers, in order.
        entries: Vec<Entry>,
    },
}

/// Record with its sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Sequence number assigned by the owner; each number takes effect once
    /// within an epoch.
    pub seq: Seq,

    /// Recorded decision.
    pub record: Record,
}

/// Identifier of an owner's record, unique within the slot.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordId {
    /// Epoch of the owner.
    pub epoch: Offset,

    /// Sequence number assigned by the owner.
    pub seq: Seq,
}

impl RecordId {
    /// Returns the fencing number of the call that the record starts.
    pub fn fence(&self) -> Fence {
        Fence::new(self.epoch, self.seq)
    }
}

/// Decision of an owner about one of its programs or about the slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// Opens a program.
    Open(Open),

    /// Starts a call, which this writer alone may send, once.
    Start(Start),

    /// Ends a call that this writer started.
    Finish(Finish),

    /// Ends a call whose starter no longer owns the slot.
    Settle {
        /// Program of the call.
        program: ProgramId,

        /// Turn of the call.
        turn: Turn,

        /// Outcome that the starter has reported, or `Outcome::Unknown`.
        outcome: Outcome,
    },

    /// Allows a call to be started again after its starter reported that it did
    /// not run.
    Reopen {
        /// Program of the call.
        program: ProgramId,

        /// Turn that may be started again.
        turn: Turn,
    },

    /// Closes a program and its sub-agents.
    Close {
        /// Program to close.
        program: ProgramId,
    },

    /// Complete state of the slot, for readers whose next offset has expired
    /// from the log.
    Snapshot(Box<slot::SlotState>),

    /// Hands the slot over to another daemon.
    Release {
        /// VM whose daemon should claim the slot next.
        to: VmId,
    },
}

/// Record that opens a program.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Open {
    /// New program.
    pub program: ProgramId,

    /// Caller that opens the program.
    pub caller: CallerId,

    /// Workspace that the program is accounted to.
    pub workspace: WorkspaceId,

    /// Parent program, whose budget the new program also draws on.
    pub parent: Option<ProgramId>,

    /// Budget of the new program itself.
    pub limit: budget::Amount,

    /// Time at which the program ends at the latest.
    pub deadline: WallMs,
}

/// Whether a call may be sent again when its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Idempotency {
    /// The call may be repeated; this includes all model turns.
    Idempotent,

    /// The call must take effect at most once.
    NonIdempotent,
}

/// Record of the intent to send a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Start {
    /// Program of the call.
    pub program: ProgramId,

    /// Turn of the call, which must be the next one of the program.
    pub turn: Turn,

    /// Digest of the request.
    pub digest: digest::Digest,

    /// Digest of the history that the call extends.
    #[serde(rename = "after")]
    pub history: digest::Digest,

    /// Amount that the call may draw from the budget.
    pub reserve: budget::Amount,

    /// Whether the call may be repeated.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,

    /// Idempotency key that the caller gave to a non-idempotent call.
    pub key: Option<String>,
}

/// Record of the end of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finish {
    /// Program of the call.
    pub program: ProgramId,

    /// Turn of the call.
    pub turn: Turn,

    /// Record that started the call.
    pub start: RecordId,

    /// Amount that the call drew from the budget.
    pub used: budget::Amount,

    /// Resources charged to the caller.
    pub cost: usage::Cost,

    /// Outcome of the call.
    pub outcome: Outcome,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The call ran and returned this complete answer.
    Answered(Answer),

    /// The call was not sent and never will be.
    NotRun,

    /// The call returned no answer and may be started again; used for
    /// idempotent calls only.
    Failed,

    /// The call was sent and its answer was lost.
    Unknown,
}

/// Complete answer to a call, with the messages that it adds to the history.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,

    /// Media type of the body.
    pub content_type: String,

    /// Body as returned to the caller.
    #[serde_as(as = "serde_with::Bytes")]
    pub body: Vec<u8>,

    /// Messages added to the history, as a JSON list without brackets; may be
    /// empty.
    pub messages: String,
}
