//! One daemon's part in one slot: it follows the stream, and owns the slot
//! while its own claim is the one in force.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Offset, Seq, Writer},
    owner::{self, Owner},
    reader::Reader,
    record::{Batch, Entry, Record, RecordId},
    slot::{self, Claim, Refusal, SlotState},
};

/// What a daemon is to a slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Role {
    /// It folds the stream.
    Following(Reader),

    /// It owns the slot; until `serving` it still gathers copies from peers.
    Owning { owner: Owner, serving: bool },
}

/// How durable a record has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// On the log, or kept by peers while the log is away.
    LogOrCopies,

    /// On the log.
    Log,
}

/// Why a record was not proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This daemon does not serve the slot.
    #[error("the slot is owned by another daemon")]
    NotServing,

    /// The state does not allow it.
    #[error(transparent)]
    Refused(#[from] Refusal),
}

/// What became of a proposed record so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It is as durable as asked.
    Durable,

    /// It may still become so.
    Pending,

    /// Another daemon owns the slot.
    Lost,
}

/// Answer to an owner that asks for copies of its records to be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyResult {
    /// The records are kept.
    #[serde(rename = "Kept")]
    Stored,

    /// The sender has lost the slot.
    Fenced,
}

/// A claim that awaits the copies of its predecessor's records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// The new owner's fencing number.
    pub epoch: Offset,

    /// The claims since the last record that counted, oldest first: only
    /// whoever wrote that record has fetched what was kept before.
    pub replaced: Vec<Claim>,
}

impl Takeover {
    /// The newest epoch of which copies are wanted, none for the first claim.
    pub fn newest_replaced(&self) -> Option<Offset> {
        self.replaced.last().map(|c| c.epoch)
    }
}

/// A record that is kept for an owner that cannot reach the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordCopy {
    /// The record's name.
    pub id: RecordId,

    /// The record.
    pub record: Record,
}

/// One daemon's part in one slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    me: Writer,
    role: Role,
    next: Offset,
    lost: Option<Offset>,
    replaced: Vec<Claim>,
    copied: Seq,
    copies: BTreeMap<RecordId, Record>,
    sealed: Option<Offset>,
}

impl Replica {
    /// A daemon that has read nothing of the slot's stream.
    pub fn new(me: Writer) -> Self {
        Self {
            me,
            role: Role::Following(Reader::new(Offset(0))),
            next: Offset(0),
            lost: None,
            replaced: Vec::new(),
            copied: Seq(0),
            copies: BTreeMap::new(),
            sealed: None,
        }
    }

    /// The offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The folded state, once it is whole.
    pub fn state(&self) -> Option<&SlotState> {
        match &self.role {
            Role::Following(reader) => reader.state(),
            Role::Owning { owner, .. } => Some(owner.state()),
        }
    }

    /// The claim in force.
    pub fn claim(&self) -> Option<&Claim> {
        self.state()?.claim.as_ref()
    }

    /// The owner's side, whether it serves or not.
    pub fn owner(&self) -> Option<&Owner> {
        match &self.role {
            Role::Owning { owner, .. } => Some(owner),
            Role::Following(_) => None,
        }
    }

    /// The owner's side, if it serves.
    pub fn serving(&self) -> Option<&Owner> {
        match &self.role {
            Role::Owning {
                owner,
                serving: true,
            } => Some(owner),
            _ => None,
        }
    }

    /// Folds the batch at `offset`; false if another offset is the next.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> bool {
        if offset != self.next {
            return false;
        }
        self.next = offset.next();
        match &mut self.role {
            Role::Following(reader) => {
                let before = reader.state().and_then(|s| s.claim.clone());
                match reader.apply(offset, batch) {
                    slot::Applied::Claimed => {
                        self.replaced.extend(before);
                        self.take_over();
                    }
                    slot::Applied::Folded(seq) => {
                        self.replaced.clear();
                        self.drop_copies(seq);
                    }
                    slot::Applied::OutcomeReported
                    | slot::Applied::Ignored
                    | slot::Applied::Stale => {}
                }
            }
            Role::Owning { owner, .. } => match owner.read_back(offset, batch) {
                owner::Event::OwnershipLost => self.lose(),
                owner::Event::Committed(seq) => {
                    self.replaced.clear();
                    self.drop_copies(seq);
                }
                owner::Event::OutcomeReported | owner::Event::Unchanged => {}
            },
        }
        true
    }

    /// Passes over a record that cannot be read.
    pub fn skip(&mut self, offset: Offset) {
        if self.next == offset {
            self.next = offset.next();
        }
    }

    /// Begins anew at the oldest record that the log keeps.
    ///
    /// An owner cannot know whether a claim was among what has expired, so it
    /// is one no longer.
    pub fn restart(&mut self, oldest: Offset) {
        if self.next >= oldest {
            return;
        }
        if self.owner().is_some() {
            self.lose();
        }
        self.next = oldest;
        self.role = Role::Following(Reader::new(oldest));
    }

    /// Notes that the stream has been read to its end.
    pub fn end_reached(&mut self) {
        if let Role::Following(reader) = &mut self.role {
            reader.start_from_empty();
        }
    }

    /// Becomes the owner if the claim just folded is this daemon's.
    fn take_over(&mut self) {
        let Role::Following(reader) = &self.role else {
            return;
        };
        let state = reader.state().cloned();
        let Some(owner) = state.and_then(|s| Owner::new(s, &self.me)) else {
            return;
        };
        // An epoch that was lost is read again from the log as any other's.
        if self.lost.is_some_and(|lost| owner.epoch() <= lost) {
            return;
        }
        self.copied = Seq(0);
        self.role = Role::Owning {
            owner,
            serving: false,
        };
    }

    /// Follows again from the beginning: the state ran ahead of the log.
    /// What is not on the log is kept for the next owner.
    fn lose(&mut self) {
        if let Role::Owning { owner, .. } = &self.role {
            let epoch = owner.epoch();
            let name = |seq| RecordId { epoch, seq };
            let pending = owner.pending().map(|e| (name(e.seq), e.record.clone()));
            self.copies.extend(pending);
            self.lost = Some(epoch);
        }
        self.role = Role::Following(Reader::new(Offset(0)));
        self.next = Offset(0);
        self.replaced.clear();
        self.copied = Seq(0);
    }

    /// Drops what has counted on the log, and what former owners left.
    fn drop_copies(&mut self, seq: Seq) {
        let Some(epoch) = self.claim().map(|c| c.epoch) else {
            return;
        };
        self.copies
            .retain(|kept, _| *kept > RecordId { epoch, seq });
    }

    /// Proposes a record.
    pub fn propose(&mut self, record: Record) -> Result<RecordId, ProposeError> {
        let Role::Owning {
            owner,
            serving: true,
        } = &mut self.role
        else {
            return Err(ProposeError::NotServing);
        };
        Ok(owner.propose(record)?)
    }

    /// Proposes a record that belongs to one epoch and to no later one.
    pub fn propose_in_epoch(
        &mut self,
        epoch: Offset,
        record: Record,
    ) -> Result<RecordId, ProposeError> {
        match self.serving() {
            Some(owner) if owner.epoch() == epoch => self.propose(record),
            _ => Err(ProposeError::NotServing),
        }
    }

    /// Proposes a snapshot of the state as it is.
    pub fn propose_snapshot(&mut self) -> Result<RecordId, ProposeError> {
        let owner = self.serving().ok_or(ProposeError::NotServing)?;
        let state = Box::new(owner.state().clone());
        self.propose(Record::Snapshot(state))
    }

    /// What became of a proposed record.
    pub fn progress(&self, proposed: RecordId, durability: Durability) -> Progress {
        let Some(owner) = self.owner().filter(|o| o.epoch() == proposed.epoch) else {
            return Progress::Lost;
        };
        let durable = match durability {
            Durability::Log => owner.committed(),
            Durability::LogOrCopies => owner.committed().max(self.copied),
        };
        match durable >= proposed.seq {
            true => Progress::Durable,
            false => Progress::Pending,
        }
    }

    /// The records to append next.
    pub fn batch(&self, most: usize) -> Option<Batch> {
        self.owner().and_then(|o| o.batch(most))
    }

    /// Whether a batch of this owner is on the log, or has become void.
    pub fn is_resolved(&self, epoch: Offset, seq: Seq) -> bool {
        match self.owner() {
            Some(owner) if owner.epoch() == epoch => owner.committed() >= seq,
            _ => true,
        }
    }

    /// Whether a batch has records that no peer keeps.
    pub fn needs_copies(&self, batch: &Batch) -> bool {
        match batch {
            Batch::Owned { entries, .. } => entries.iter().any(|e| e.seq > self.copied),
            Batch::Claim { .. } => false,
        }
    }

    /// Notes that peers keep the records of `epoch` up to `seq`.
    pub fn confirm_copies(&mut self, epoch: Offset, seq: Seq) {
        if self.owner().is_some_and(|o| o.epoch() == epoch) {
            self.copied = self.copied.max(seq);
        }
    }

    /// Keeps records for an owner that cannot reach the log.
    pub fn store_copies(&mut self, epoch: Offset, entries: Vec<Entry>) -> CopyResult {
        let known = self.claim().map(|c| c.epoch);
        let sealed = self.sealed.is_some_and(|sealed| sealed >= epoch);
        if sealed || known.is_some_and(|known| known > epoch) {
            return CopyResult::Fenced;
        }
        for entry in entries {
            let seq = entry.seq;
            self.copies.insert(RecordId { epoch, seq }, entry.record);
        }
        CopyResult::Stored
    }

    /// Hands out the kept records of all epochs up to one, in order, and keeps
    /// no more of these: what an owner is told to be kept is with its successor.
    pub fn seal_copies(&mut self, upto: Offset) -> Vec<RecordCopy> {
        self.sealed = self.sealed.max(Some(upto));
        let wanted = self.copies.iter().filter(|(id, _)| id.epoch <= upto);
        wanted
            .map(|(id, record)| RecordCopy {
                id: *id,
                record: record.clone(),
            })
            .collect()
    }

    /// Records that are kept for owners.
    pub fn copies_len(&self) -> usize {
        self.copies.len()
    }

    /// The claim that still gathers copies, if it is so.
    pub fn takeover(&self) -> Option<Takeover> {
        match &self.role {
            Role::Owning {
                owner,
                serving: false,
            } => Some(Takeover {
                epoch: owner.epoch(),
                replaced: self.replaced.clone(),
            }),
            _ => None,
        }
    }

    /// Begins to serve with the records that were kept of former owners;
    /// returns how many were adopted.
    pub fn serve(&mut self, takeover: &Takeover, mut copies: Vec<RecordCopy>) -> usize {
        let Role::Owning { owner, serving } = &mut self.role else {
            return 0;
        };
        if owner.epoch() != takeover.epoch {
            return 0;
        }
        copies.sort_by_key(|kept| kept.id);
        copies.dedup_by_key(|kept| kept.id);
        copies.retain(|kept| is_wanted(takeover, &kept.id));
        // An owner that had records kept had adopted what was kept before them.
        let newest = copies.last().map(|kept| kept.id.epoch);
        copies.retain(|kept| Some(kept.id.epoch) == newest);
        *serving = true;
        owner.adopt(&copies)
    }
}

/// Whether a kept record is of a replaced owner and not on the log.
fn is_wanted(takeover: &Takeover, id: &RecordId) -> bool {
    let claim = takeover.replaced.iter().find(|c| c.epoch == id.epoch);
    claim.is_some_and(|c| id.seq > c.last_seq)
}
