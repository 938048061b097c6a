//! An owner's side of a slot: propose records, number them, see them committed.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    id::{Offset, Seq, Writer},
    record::{Batch, Entry, Finish, Idempotency, Outcome, Record, RecordId},
    replica::RecordCopy,
    slot, usage,
};

/// What reading a batch back from the log means to the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Own records up to this number are on the log and count.
    Committed(Seq),

    /// Another daemon owns the slot from now on.
    OwnershipLost,

    /// A former owner reported the fate of a call.
    OutcomeReported,

    /// Nothing changed.
    Unchanged,
}

/// The owner of a slot.
///
/// Its state runs ahead of the log by the records in `pending`; whatever is
/// told to a caller or sent to an endpoint waits until they are committed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Owner {
    state: slot::SlotState,
    writer: Writer,
    epoch: Offset,
    last: Seq,
    committed: Seq,
    whole: Seq,
    pending: VecDeque<Entry>,
}

impl Owner {
    /// Takes over a state whose claim is `writer`'s.
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
            whole: Seq(0),
            pending: VecDeque::new(),
            state,
        })
    }

    /// The state with all proposed records folded in.
    pub fn state(&self) -> &slot::SlotState {
        &self.state
    }

    /// The owner's fencing number.
    pub fn epoch(&self) -> Offset {
        self.epoch
    }

    /// Number of the last record that is on the log.
    pub fn committed(&self) -> Seq {
        self.committed
    }

    /// Records that are not known to be on the log.
    pub fn pending(&self) -> impl ExactSizeIterator<Item = &Entry> {
        self.pending.iter()
    }

    /// Folds a record into the state and queues it; the call waits for its number.
    pub fn propose(&mut self, record: Record) -> Result<RecordId, slot::Refusal> {
        let seq = self.last.next();
        self.set_last_seq(seq);
        let checked = self.state.check_reported_outcome(&record);
        let applied = checked.and_then(|()| self.state.apply_record(&record));
        if let Err(refused) = applied {
            self.set_last_seq(self.last);
            return Err(refused);
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

    /// The records to append next: the same ones again until they are
    /// committed. What was adopted goes in one append, however much it is,
    /// since the first record that counts ends its safekeeping elsewhere.
    pub fn batch(&self, most: usize) -> Option<Batch> {
        if self.pending.is_empty() {
            return None;
        }
        let taken = self.pending.iter().enumerate();
        let taken = taken.take_while(|(n, entry)| *n < most || entry.seq <= self.whole);
        Some(Batch::Owned {
            writer: self.writer.clone(),
            epoch: self.epoch,
            entries: taken.map(|(_, entry)| entry.clone()).collect(),
        })
    }

    /// Takes in the batch that the log holds at `offset`.
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
                slot::Applied::Folded(_) | slot::Applied::Ignored => Event::Unchanged,
            },
        }
    }

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

    /// Adopts records that former owners could not bring to the log, as far
    /// as they extend this state; returns how many did.
    ///
    /// A call whose end is not among them is adopted as failed, so that what
    /// it may have used stays charged.
    pub fn adopt(&mut self, kept: &[RecordCopy]) -> usize {
        let mut adopted = 0;
        let mut starts = BTreeMap::new();
        for kept in kept.iter().filter(|k| adoptable(&k.record)) {
            let record = renamed(&kept.record, &starts);
            if let Ok(id) = self.propose(record) {
                adopted += 1;
                starts.insert(kept.id, id);
            }
        }
        self.fail_open_calls();
        self.whole = self.last;
        adopted
    }

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
            // Each call was found open in this very state.
            let _ = self.propose(record);
        }
    }
}

/// The record with the start that it ends under its new name.
fn renamed(record: &Record, starts: &BTreeMap<RecordId, RecordId>) -> Record {
    let mut record = record.clone();
    if let Record::Finish(finish) = &mut record
        && let Some(id) = starts.get(&finish.start)
    {
        finish.start = *id;
    }
    record
}

/// Only what cannot take effect twice is adopted: never the intent of a
/// non-idempotent call.
fn adoptable(record: &Record) -> bool {
    match record {
        Record::Open(_) | Record::Close { .. } => true,
        Record::Start(start) => start.idempotency == Idempotency::Idempotent,
        // Only the end of an adopted start, or an answer, fits the state.
        Record::Finish(_) => true,
        Record::Settle { .. }
        | Record::Reopen { .. }
        | Record::Snapshot(_)
        | Record::Release { .. } => false,
    }
}
