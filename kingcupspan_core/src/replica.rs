//! Replica of one slot at one daemon, which follows the slot's stream and owns
//! the slot while the daemon's claim is the current one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Offset, Seq, Writer},
    owner::{self, Owner},
    reader::Reader,
    record::{Batch, Entry, Record, RecordId},
    slot::{self, Claim, Refusal, SlotState},
};

/// Role of a daemon for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Role {
    /// The daemon applies the records of the stream.
    Following(Reader),

    /// The daemon owns the slot; until `serving` is set, it collects record
    /// copies from its peers.
    Owning { owner: Owner, serving: bool },
}

/// Durability required of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// The record is on the log, or stored by peers while the log is
    /// unreachable.
    LogOrCopies,

    /// The record is on the log.
    Log,
}

/// Error returned when a record cannot be proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This daemon does not serve the slot.
    #[error("the slot is owned by another daemon")]
    NotServing,

    /// The state does not allow the record.
    #[error(transparent)]
    Refused(#[from] Refusal),
}

/// Progress of a proposed record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The record has the requested durability.
    Durable,

    /// The record may still reach the requested durability.
    Pending,

    /// This daemon no longer owns the slot under the epoch of the record.
    Lost,
}

/// Answer to an owner that asks a peer to store copies of its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyResult {
    /// The records are stored.
    #[serde(rename = "Kept")]
    Stored,

    /// The sender has lost the slot.
    Fenced,
}

/// Takeover of a slot by a new owner that has to collect the record copies of
/// former owners before it serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// Epoch of the new owner.
    pub epoch: Offset,

    /// Claims replaced since the last applied record, oldest first. Copies of
    /// earlier claims are not needed, since the owner that wrote that record
    /// had already collected them.
    pub replaced: Vec<Claim>,
}

impl Takeover {
    /// Returns the newest replaced epoch, up to which copies are collected, or
    /// `None` for the first claim.
    pub fn newest_replaced(&self) -> Option<Offset> {
        self.replaced.last().map(|c| c.epoch)
    }
}

/// Copy of a record, stored by a peer for an owner that cannot reach the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordCopy {
    /// Identifier of the record.
    pub id: RecordId,

    /// Copied record.
    pub record: Record,
}

/// Replica of one slot at one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    me: Writer,
    role: Role,

    /// Offset to read next.
    next: Offset,

    /// Epoch of this daemon's last claim that it has lost.
    lost_epoch: Option<Offset>,

    /// Claims replaced since the last applied record, oldest first.
    replaced: Vec<Claim>,

    /// Number of the last own record of which peers store copies.
    copied_upto: Seq,

    /// Copies stored for owners that cannot reach the log.
    copies: BTreeMap<RecordId, Record>,

    /// Newest epoch for which no further copies are stored.
    sealed_epoch: Option<Offset>,
}

impl Replica {
    /// Creates a replica that has read nothing of the slot's stream.
    pub fn new(me: Writer) -> Self {
        Self {
            me,
            role: Role::Following(Reader::new(Offset(0))),
            next: Offset(0),
            lost_epoch: None,
            replaced: Vec::new(),
            copied_upto: Seq(0),
            copies: BTreeMap::new(),
            sealed_epoch: None,
        }
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the state of the slot, once it is complete.
    pub fn state(&self) -> Option<&SlotState> {
        match &self.role {
            Role::Following(reader) => reader.state(),
            Role::Owning { owner, .. } => Some(owner.state()),
        }
    }

    /// Returns the current claim.
    pub fn claim(&self) -> Option<&Claim> {
        self.state()?.claim.as_ref()
    }

    /// Returns the owner, whether or not it serves yet, if this daemon owns the
    /// slot.
    pub fn owner(&self) -> Option<&Owner> {
        match &self.role {
            Role::Owning { owner, .. } => Some(owner),
            Role::Following(_) => None,
        }
    }

    /// Returns the owner if this daemon owns the slot and serves it.
    pub fn serving(&self) -> Option<&Owner> {
        match &self.role {
            Role::Owning {
                owner,
                serving: true,
            } => Some(owner),
            _ => None,
        }
    }

    /// Applies the batch at `offset`; returns false if this is not the next
    /// offset.
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
                        self.become_owner();
                    }
                    slot::Applied::RecordsApplied(seq) => {
                        self.replaced.clear();
                        self.drop_copies(seq);
                    }
                    slot::Applied::OutcomeReported
                    | slot::Applied::Ignored
                    | slot::Applied::Stale => {}
                }
            }
            Role::Owning { owner, .. } => match owner.read_back(offset, batch) {
                owner::Event::OwnershipLost => self.lose_ownership(),
                owner::Event::Committed(seq) => {
                    self.replaced.clear();
                    self.drop_copies(seq);
                }
                owner::Event::OutcomeReported | owner::Event::Unchanged => {}
            },
        }
        true
    }

    /// Skips a batch that cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        if self.next == offset {
            self.next = offset.next();
        }
    }

    /// Restarts at the oldest record that the log still has.
    ///
    /// An owner gives up the slot, because the expired records may have
    /// contained another daemon's claim.
    pub fn restart(&mut self, oldest: Offset) {
        if self.next >= oldest {
            return;
        }
        if self.owner().is_some() {
            self.lose_ownership();
        }
        self.next = oldest;
        self.role = Role::Following(Reader::new(oldest));
    }

    /// Handles the end of the stream, at which a reader that has found no
    /// snapshot starts from the empty state.
    pub fn end_reached(&mut self) {
        if let Role::Following(reader) = &mut self.role {
            reader.start_from_empty();
        }
    }

    /// Becomes the owner if the claim that was just applied is this daemon's.
    fn become_owner(&mut self) {
        let Role::Following(reader) = &self.role else {
            return;
        };
        let state = reader.state().cloned();
        let Some(owner) = state.and_then(|s| Owner::new(s, &self.me)) else {
            return;
        };
        // A lost epoch of this daemon is read again from the log like an epoch
        // of another daemon.
        if self.lost_epoch.is_some_and(|lost| owner.epoch() <= lost) {
            return;
        }
        self.copied_upto = Seq(0);
        self.role = Role::Owning {
            owner,
            serving: false,
        };
    }

    /// Gives up ownership and follows the stream again from the beginning,
    /// because the state was ahead of the log. Copies of records that are not
    /// on the log are stored for the next owner.
    fn lose_ownership(&mut self) {
        if let Role::Owning { owner, .. } = &self.role {
            let epoch = owner.epoch();
            let id_of = |seq| RecordId { epoch, seq };
            let pending = owner.pending().map(|e| (id_of(e.seq), e.record.clone()));
            self.copies.extend(pending);
            self.lost_epoch = Some(epoch);
        }
        self.role = Role::Following(Reader::new(Offset(0)));
        self.next = Offset(0);
        self.replaced.clear();
        self.copied_upto = Seq(0);
    }

    /// Drops the copies of former owners' records and of the current owner's
    /// records up to `seq`.
    fn drop_copies(&mut self, seq: Seq) {
        let Some(epoch) = self.claim().map(|c| c.epoch) else {
            return;
        };
        self.copies.retain(|id, _| *id > RecordId { epoch, seq });
    }

    /// Proposes a record for the log.
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

    /// Proposes a record that is valid only in the given epoch.
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

    /// Proposes a snapshot of the current state.
    pub fn propose_snapshot(&mut self) -> Result<RecordId, ProposeError> {
        let owner = self.serving().ok_or(ProposeError::NotServing)?;
        let state = Box::new(owner.state().clone());
        self.propose(Record::Snapshot(state))
    }

    /// Returns the progress of a proposed record.
    pub fn progress(&self, proposed: RecordId, durability: Durability) -> Progress {
        let Some(owner) = self.owner().filter(|o| o.epoch() == proposed.epoch) else {
            return Progress::Lost;
        };
        let durable = match durability {
            Durability::Log => owner.committed(),
            Durability::LogOrCopies => owner.committed().max(self.copied_upto),
        };
        match durable >= proposed.seq {
            true => Progress::Durable,
            false => Progress::Pending,
        }
    }

    /// Returns the records to append next.
    pub fn batch(&self, max_entries: usize) -> Option<Batch> {
        self.owner().and_then(|o| o.batch(max_entries))
    }

    /// Returns whether the records of `epoch` up to `seq` are on the log, or
    /// can no longer take effect because the epoch has ended.
    pub fn is_resolved(&self, epoch: Offset, seq: Seq) -> bool {
        match self.owner() {
            Some(owner) if owner.epoch() == epoch => owner.committed() >= seq,
            _ => true,
        }
    }

    /// Returns whether a batch has records of which no peer stores a copy.
    pub fn needs_copies(&self, batch: &Batch) -> bool {
        match batch {
            Batch::Owned { entries, .. } => entries.iter().any(|e| e.seq > self.copied_upto),
            Batch::Claim { .. } => false,
        }
    }

    /// Marks the records of `epoch` up to `seq` as stored by peers.
    pub fn confirm_copies(&mut self, epoch: Offset, seq: Seq) {
        if self.owner().is_some_and(|o| o.epoch() == epoch) {
            self.copied_upto = self.copied_upto.max(seq);
        }
    }

    /// Stores copies of records for an owner that cannot reach the log.
    pub fn store_copies(&mut self, epoch: Offset, entries: Vec<Entry>) -> CopyResult {
        let known = self.claim().map(|c| c.epoch);
        let is_sealed = self.sealed_epoch.is_some_and(|sealed| sealed >= epoch);
        if is_sealed || known.is_some_and(|known| known > epoch) {
            return CopyResult::Fenced;
        }
        for entry in entries {
            let seq = entry.seq;
            self.copies.insert(RecordId { epoch, seq }, entry.record);
        }
        CopyResult::Stored
    }

    /// Returns the stored copies of all epochs up to `upto`, in order, and
    /// refuses to store further copies of these epochs.
    ///
    /// An owner's confirmed copies have thus all been handed to its successor.
    pub fn seal_copies(&mut self, upto: Offset) -> Vec<RecordCopy> {
        self.sealed_epoch = self.sealed_epoch.max(Some(upto));
        let wanted = self.copies.iter().filter(|(id, _)| id.epoch <= upto);
        wanted
            .map(|(id, record)| RecordCopy {
                id: *id,
                record: record.clone(),
            })
            .collect()
    }

    /// Returns the number of stored copies.
    pub fn copies_len(&self) -> usize {
        self.copies.len()
    }

    /// Returns the takeover in progress, if this daemon owns the slot and does
    /// not serve yet.
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

    /// Starts to serve with the collected copies of former owners' records, and
    /// returns the number of adopted records.
    pub fn serve(&mut self, takeover: &Takeover, mut copies: Vec<RecordCopy>) -> usize {
        let Role::Owning { owner, serving } = &mut self.role else {
            return 0;
        };
        if owner.epoch() != takeover.epoch {
            return 0;
        }
        copies.sort_by_key(|copy| copy.id);
        copies.dedup_by_key(|copy| copy.id);
        copies.retain(|copy| is_wanted(takeover, &copy.id));
        // An owner with copies of its own had already adopted the copies of
        // earlier owners.
        let newest = copies.last().map(|copy| copy.id.epoch);
        copies.retain(|copy| Some(copy.id.epoch) == newest);
        *serving = true;
        owner.adopt(&copies)
    }
}

/// Returns whether a copy belongs to a replaced owner and its record is not on
/// the log.
fn is_wanted(takeover: &Takeover, id: &RecordId) -> bool {
    let claim = takeover.replaced.iter().find(|c| c.epoch == id.epoch);
    claim.is_some_and(|c| id.seq > c.last_seq)
}
