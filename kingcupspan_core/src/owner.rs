//! Owner's side of a slot, which numbers proposed records and tracks their
//! commit to the log.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    id::{Offset, Seq, Writer},
    record::{Batch, Entry, Finish, Idempotency, Outcome, Record, RecordId},
    replica::RecordCopy,
    slot, usage,
};

/// Effect on the owner of a batch that was read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The owner's records up to this number are committed to the log.
    Committed(Seq),

    /// Another daemon has become the owner of the slot.
    OwnershipLost,

    /// A former owner reported the outcome of a call.
    OutcomeReported,

    /// The batch changed nothing.
    Unchanged,
}

/// Owner of a slot.
///
/// The state is ahead of the log by the records in `pending`. A record's call
/// must not be sent to an endpoint or answered to a caller before the record is
/// durable.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Owner {
    state: slot::SlotState,
    writer: Writer,
    epoch: Offset,

    /// Number of the last proposed record.
    last: Seq,
    committed: Seq,

    /// Number of the last adopted record.
    last_adopted: Seq,

    /// Proposed records that are not known to be committed.
    pending: VecDeque<Entry>,
}

impl Owner {
    /// Creates an owner from a state whose current claim belongs to `writer`,
    /// or returns `None` if it does not or if records of the claim have been
    /// applied already.
    pub fn new(state: slot::SlotState, writer: &Writer) -> Option<Self> {
        let claim = state.claim.as_ref()?;
        if claim.writer != *writer || claim.last_seq != Seq(0) {
            return None;
        }
        Some(Self {
            writer: writer.clone(),
            epoch: claim.epoch,
            last: Seq(0),
            committed: Seq(0),
            last_adopted: Seq(0),
            pending: VecDeque::new(),
            state,
        })
    }

    /// Returns the state with all proposed records applied.
    pub fn state(&self) -> &slot::SlotState {
        &self.state
    }

    /// Returns the owner's epoch, the offset of its claim, which serves as its
    /// fencing number.
    pub fn epoch(&self) -> Offset {
        self.epoch
    }

    /// Returns the number of the last record committed to the log.
    pub fn committed(&self) -> Seq {
        self.committed
    }

    /// Returns the records that are not known to be committed.
    pub fn pending(&self) -> impl ExactSizeIterator<Item = &Entry> {
        self.pending.iter()
    }

    /// Applies a record to the state and queues it for the log; the call can
    /// wait for the returned identifier to become durable.
    pub fn propose(&mut self, record: Record) -> Result<RecordId, slot::Refusal> {
        let seq = self.last.next();
        self.set_last_seq(seq);
        let checked = self.state.check_reported_outcome(&record);
        let applied = checked.and_then(|()| self.state.apply_record(&record));
        if let Err(refusal) = applied {
            self.set_last_seq(self.last);
            return Err(refusal);
        }
        self.last = seq;
        self.pending.push_back(Entry { seq, record });
        Ok(RecordId {
            epoch: self.epoch,
            seq,
        })
    }

    fn set_last_seq(&mut self, seq: Seq) {
        if let Some(claim) = &mut self.state.claim {
            claim.last_seq = seq;
        }
    }

    /// Returns the records to append next, which stay the same until they are
    /// committed.
    ///
    /// At most `max_entries` records are returned, but all adopted records go
    /// into one append, because peers drop their copies of these as soon as the
    /// first record of this owner is committed.
    pub fn batch(&self, max_entries: usize) -> Option<Batch> {
        if self.pending.is_empty() {
            return None;
        }
        let entries = self.pending.iter().enumerate();
        let entries =
            entries.take_while(|(n, entry)| *n < max_entries || entry.seq <= self.last_adopted);
        Some(Batch::Owned {
            writer: self.writer.clone(),
            epoch: self.epoch,
            entries: entries.map(|(_, entry)| entry.clone()).collect(),
        })
    }

    /// Processes the batch that was read from the log at `offset`.
    pub fn read_back(&mut self, offset: Offset, batch: &Batch) -> Event {
        match batch {
            Batch::Owned {
                writer,
                epoch,
                entries,
            } if *epoch == self.epoch && *writer == self.writer => self.commit(entries),
            Batch::Claim { .. } | Batch::Owned { .. } => match self.state.apply(offset, batch) {
                slot::Applied::Claimed | slot::Applied::Stale => Event::OwnershipLost,
                slot::Applied::OutcomeReported => Event::OutcomeReported,
                slot::Applied::RecordsApplied(_) | slot::Applied::Ignored => Event::Unchanged,
            },
        }
    }

    /// Removes the owner's records that were read from the log from `pending`.
    fn commit(&mut self, entries: &[Entry]) -> Event {
        let before = self.committed;
        for entry in entries {
            if entry.seq == self.committed.next() {
                self.committed = entry.seq;
            }
        }
        while self
            .pending
            .front()
            .is_some_and(|e| e.seq <= self.committed)
        {
            self.pending.pop_front();
        }
        match self.committed > before {
            true => Event::Committed(self.committed),
            false => Event::Unchanged,
        }
    }

    /// Adopts records that former owners could not append to the log, as far as
    /// they extend this state, and returns the number of adopted records.
    ///
    /// A call without an end among these records is adopted as failed, so that
    /// the tokens that it may have used stay charged.
    pub fn adopt(&mut self, copies: &[RecordCopy]) -> usize {
        let mut adopted = 0;
        let mut starts = BTreeMap::new();
        for copy in copies.iter().filter(|c| is_adoptable(&c.record)) {
            let record = with_new_start(&copy.record, &starts);
            if let Ok(id) = self.propose(record) {
                adopted += 1;
                starts.insert(copy.id, id);
            }
        }
        self.fail_open_calls();
        self.last_adopted = self.last;
        adopted
    }

    /// Ends the calls that were started in this epoch as failed.
    fn fail_open_calls(&mut self) {
        let epoch = self.epoch;
        let programs = self.state.programs.iter();
        let open: Vec<Record> = programs
            .filter_map(|(id, p)| {
                let current = p.current.as_ref()?;
                (current.starter.start.epoch == epoch).then(|| {
                    Record::Finish(Finish {
                        program: *id,
                        turn: p.next_turn(),
                        start: current.starter.start,
                        used: current.reserve,
                        cost: usage::Cost::default(),
                        outcome: Outcome::Failed,
                    })
                })
            })
            .collect();
        for record in open {
            // This cannot fail, since each call was found in flight in the same
            // state.
            let _ = self.propose(record);
        }
    }
}

/// Returns the record with the identifier of its start replaced by that of the
/// adopted start.
fn with_new_start(record: &Record, starts: &BTreeMap<RecordId, RecordId>) -> Record {
    let mut record = record.clone();
    if let Record::Finish(finish) = &mut record
        && let Some(id) = starts.get(&finish.start)
    {
        finish.start = *id;
    }
    record
}

/// Returns whether a record may be adopted.
///
/// The start of a non-idempotent call never is, since the call could then take
/// effect twice.
fn is_adoptable(record: &Record) -> bool {
    match record {
        Record::Open(_) | Record::Close { .. } => true,
        Record::Start(start) => start.idempotency == Idempotency::Idempotent,
        // `slot::SlotState` accepts only the end of an adopted start, or an
        // answer.
        Record::Finish(_) => true,
        Record::Settle { .. }
        | Record::Reopen { .. }
        | Record::Snapshot(_)
        | Record::Release { .. } => false,
    }
}
