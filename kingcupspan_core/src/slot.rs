//! State machine of a slot: every daemon that applies the same records reaches
//! the same state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    budget,
    id::{Offset, ProgramId, Seq, Turn, VmId, Writer},
    program,
    record::{self, Batch, Entry, Idempotency, Outcome, Record, RecordId},
    usage,
};

/// Claim of the slot by its current owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Owner of the slot.
    pub writer: Writer,

    /// Offset of the claim, which serves as the owner's fencing number.
    pub epoch: Offset,

    /// Number of the owner's last applied record.
    pub last_seq: Seq,

    /// VM whose daemon should claim the slot next, once the owner has released
    /// it.
    pub released_to: Option<VmId>,
}

/// State of one slot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotState {
    /// Current claim, if the slot has been claimed.
    pub claim: Option<Claim>,

    /// Open programs.
    pub programs: BTreeMap<ProgramId, program::Program>,

    /// Accumulated cost of the calls of open and closed programs.
    pub account: usage::Account,
}

/// Reason for which a record is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The writer does not own the slot.
    #[error("the slot is owned by another daemon")]
    NotOwner,

    /// The program does not exist.
    #[error("no such program")]
    UnknownProgram,

    /// The program already exists.
    #[error("the program exists already")]
    AlreadyExists,

    /// The turn is not the next one of the program.
    #[error("the turn is out of order")]
    OutOfOrder,

    /// A call of the program is in flight, or its reported outcome differs from
    /// the record.
    #[error("a call of this program is under way")]
    Busy,

    /// The turn has no call in flight that this record may end.
    #[error("no such call is under way")]
    NotStarted,

    /// The remaining budget does not cover the call.
    #[error("the budget is spent")]
    BudgetExceeded,

    /// The idempotency key belongs to another call.
    #[error("the idempotency key belongs to another call of this program")]
    KeyReused,

    /// The call extends a history other than the program's current one.
    #[error("the history differs")]
    HistoryMismatch,
}

/// Effect of a batch on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A claim took effect.
    Claimed,

    /// Records of the owner were applied, up to this number.
    RecordsApplied(Seq),

    /// A former owner reported the outcome of a call.
    OutcomeReported,

    /// The batch had no effect.
    Ignored,

    /// The state was built from a snapshot of a fenced-off owner and must be
    /// discarded.
    Stale,
}

impl SlotState {
    /// Applies the batch at `offset`.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Applied {
        match batch {
            Batch::Claim { writer, prev } => self.apply_claim(offset, writer, *prev),
            Batch::Owned {
                writer,
                epoch,
                entries,
            } => self.apply_owned(writer, *epoch, entries),
        }
    }

    fn apply_claim(&mut self, offset: Offset, writer: &Writer, prev: Option<Offset>) -> Applied {
        if self.epoch() != prev {
            return Applied::Ignored;
        }
        self.claim = Some(Claim {
            writer: writer.clone(),
            epoch: offset,
            last_seq: Seq(0),
            released_to: None,
        });
        Applied::Claimed
    }

    fn apply_owned(&mut self, writer: &Writer, epoch: Offset, entries: &[Entry]) -> Applied {
        match self.epoch() {
            Some(current) if epoch == current => self.apply_current(entries),
            Some(current) if epoch > current => Applied::Stale,
            _ => self.apply_former(writer, epoch, entries),
        }
    }

    /// Applies records of the current owner, skipping those applied before.
    pub(crate) fn apply_current(&mut self, entries: &[Entry]) -> Applied {
        let mut last = None;
        for entry in entries {
            let Some(claim) = &mut self.claim else {
                break;
            };
            if entry.seq != claim.last_seq.next() {
                continue;
            }
            claim.last_seq = entry.seq;
            last = Some(entry.seq);
            // The owner checked the record against the same state, so a refusal
            // here leaves the state unchanged, as it did at the owner.
            let _ = self.apply_record(&entry.record);
        }
        last.map_or(Applied::Ignored, Applied::RecordsApplied)
    }

    /// Records the outcomes that a former owner reports for its own calls.
    fn apply_former(&mut self, writer: &Writer, epoch: Offset, entries: &[Entry]) -> Applied {
        let mut has_report = false;
        for entry in entries {
            let Record::Finish(f) = &entry.record else {
                continue;
            };
            // Only the daemon that started a call may report its outcome.
            if f.start.epoch != epoch {
                continue;
            }
            let starter = program::Starter {
                writer: writer.clone(),
                start: f.start,
            };
            if let Some(program) = self.programs.get_mut(&f.program) {
                has_report |= program.record_reported_outcome(f.turn, &starter, &f.outcome);
            }
        }
        match has_report {
            true => Applied::OutcomeReported,
            false => Applied::Ignored,
        }
    }

    /// Returns the offset of the current claim.
    pub fn epoch(&self) -> Option<Offset> {
        self.claim.as_ref().map(|c| c.epoch)
    }

    /// Applies one record of the owner, or returns why it is refused.
    pub(crate) fn apply_record(&mut self, record: &Record) -> Result<(), Refusal> {
        match record {
            Record::Open(open) => self.open(open),
            Record::Start(start) => self.start(start),
            Record::Finish(finish) => self.finish(finish),
            Record::Settle {
                program,
                turn,
                outcome,
            } => self.settle_orphan(*program, *turn, outcome),
            Record::Reopen { program, turn } => self.reopen(*program, *turn),
            Record::Close { program } => self.close(*program),
            Record::Snapshot(_) => Ok(()),
            Record::Release { to } => self.release(to),
        }
    }

    fn open(&mut self, open: &record::Open) -> Result<(), Refusal> {
        if self.programs.contains_key(&open.program) {
            return Err(Refusal::AlreadyExists);
        }
        if let Some(parent) = open.parent
            && !self.programs.contains_key(&parent)
        {
            return Err(Refusal::UnknownProgram);
        }
        let program = program::Program::new(open);
        self.programs.insert(open.program, program);
        Ok(())
    }

    fn start(&mut self, start: &record::Start) -> Result<(), Refusal> {
        let claim = self.claim.as_ref().ok_or(Refusal::NotOwner)?;
        let starter = program::Starter {
            writer: claim.writer.clone(),
            start: RecordId {
                epoch: claim.epoch,
                seq: claim.last_seq,
            },
        };
        let program = self.program_mut(start.program)?;
        if start.turn != program.next_turn() {
            return Err(Refusal::OutOfOrder);
        }
        if start.history != program.history {
            return Err(Refusal::HistoryMismatch);
        }
        if let Some(key) = &start.key
            && program.keys.get(key).is_some_and(|t| *t != start.turn)
        {
            return Err(Refusal::KeyReused);
        }
        if let Some(current) = &program.current {
            let is_same_epoch = current.starter.start.epoch == starter.start.epoch;
            if is_same_epoch || current.idempotency == Idempotency::NonIdempotent {
                return Err(Refusal::Busy);
            }
        }
        self.replace_reservation(start)?;
        let program = self.program_mut(start.program)?;
        if let Some(key) = &start.key {
            program.keys.insert(key.clone(), start.turn);
        }
        program.current = Some(program::StartedCall {
            digest: start.digest,
            starter,
            reserve: start.reserve,
            idempotency: start.idempotency,
            reported_outcome: None,
        });
        Ok(())
    }

    /// Reserves the amount of `start`; the reservation of a former owner's
    /// attempt is booked as spent.
    fn replace_reservation(&mut self, start: &record::Start) -> Result<(), Refusal> {
        let lineage = self.lineage(start.program);
        let abandoned = self
            .programs
            .get(&start.program)
            .and_then(|p| p.current.as_ref())
            .map(|c| c.reserve);
        // An abandoned reservation moves from reserved to spent, which leaves
        // the remaining budget unchanged.
        let fits_all = lineage
            .iter()
            .filter_map(|id| self.programs.get(id))
            .all(|p| start.reserve.fits_within(&p.ledger.remaining()));
        if !fits_all {
            return Err(Refusal::BudgetExceeded);
        }
        if let Some(reserve) = abandoned {
            self.settle_ledgers(start.program, reserve, reserve);
        }
        for id in lineage {
            if let Some(p) = self.programs.get_mut(&id) {
                p.ledger.reserve(start.reserve);
            }
        }
        Ok(())
    }

    fn finish(&mut self, finish: &record::Finish) -> Result<(), Refusal> {
        let epoch = self.epoch().ok_or(Refusal::NotOwner)?;
        let program = self.program_mut(finish.program)?;
        if finish.turn != program.next_turn() {
            return Err(Refusal::OutOfOrder);
        }
        let reserve = match &program.current {
            Some(c) if c.starter.start == finish.start && may_finish(c, finish, epoch) => c.reserve,
            _ => return Err(Refusal::NotStarted),
        };
        let key = program.account_key();
        match &finish.outcome {
            Outcome::NotRun => {
                let none = budget::Amount::default();
                self.settle_ledgers(finish.program, reserve, none);
                self.program_mut(finish.program)?.current = None;
            }
            Outcome::Failed => {
                self.settle_ledgers(finish.program, reserve, finish.used);
                self.program_mut(finish.program)?.current = None;
            }
            Outcome::Answered(_) => {
                self.settle_ledgers(finish.program, reserve, finish.used);
                let used = finish.used.capped_at(&reserve);
                self.program_mut(finish.program)?
                    .settle(finish.outcome.clone(), used);
            }
            Outcome::Unknown => {
                self.settle_ledgers(finish.program, reserve, reserve);
                self.program_mut(finish.program)?
                    .settle(Outcome::Unknown, reserve);
            }
        }
        self.account.charge(&key, finish.cost);
        Ok(())
    }

    /// Ends an orphaned call and books its whole reservation as spent.
    fn settle_orphan(
        &mut self,
        id: ProgramId,
        turn: Turn,
        outcome: &Outcome,
    ) -> Result<(), Refusal> {
        let orphan = self.orphan(id, turn)?;
        let reserve = orphan.reserve;
        // A report that the owner had not yet read has the same effect as one
        // that arrives later.
        let outcome = match (outcome, &orphan.reported_outcome) {
            (Outcome::Unknown, Some(reported)) => reported.clone(),
            (outcome, _) => outcome.clone(),
        };
        self.settle_ledgers(id, reserve, reserve);
        let program = self.program_mut(id)?;
        program.settle(outcome, reserve);
        let key = program.account_key();
        let cost = usage::Cost {
            unknown: 1,
            ..usage::Cost::default()
        };
        self.account.charge(&key, cost);
        Ok(())
    }

    /// Releases an orphaned call that did not run, so that its turn may be
    /// started again.
    fn reopen(&mut self, id: ProgramId, turn: Turn) -> Result<(), Refusal> {
        let reserve = self.orphan(id, turn)?.reserve;
        self.settle_ledgers(id, reserve, budget::Amount::default());
        self.program_mut(id)?.current = None;
        Ok(())
    }

    /// Checks that the outcome in a record matches the outcome that the starter
    /// reported.
    ///
    /// Only the owner makes this check. Readers rely on it, since a reader that
    /// started at a snapshot may not have seen the report.
    pub(crate) fn check_reported_outcome(&mut self, record: &Record) -> Result<(), Refusal> {
        let (id, turn, reported) = match record {
            Record::Reopen { program, turn } => (*program, *turn, &Outcome::NotRun),
            Record::Settle {
                program,
                turn,
                outcome,
            } => (*program, *turn, outcome),
            _ => return Ok(()),
        };
        let known = self.orphan(id, turn)?.reported_outcome.clone();
        match known.unwrap_or(Outcome::Unknown) == *reported {
            true => Ok(()),
            false => Err(Refusal::Busy),
        }
    }

    /// Returns the non-idempotent call in flight that a former owner started.
    fn orphan(&mut self, id: ProgramId, turn: Turn) -> Result<&program::StartedCall, Refusal> {
        let epoch = self.epoch().ok_or(Refusal::NotOwner)?;
        let program = self.program_mut(id)?;
        if turn != program.next_turn() {
            return Err(Refusal::OutOfOrder);
        }
        match &program.current {
            Some(c)
                if c.starter.start.epoch != epoch
                    && c.idempotency == Idempotency::NonIdempotent =>
            {
                Ok(c)
            }
            _ => Err(Refusal::NotStarted),
        }
    }

    fn close(&mut self, id: ProgramId) -> Result<(), Refusal> {
        if !self.programs.contains_key(&id) {
            return Err(Refusal::UnknownProgram);
        }
        for id in self.descendants(id) {
            self.programs.remove(&id);
        }
        Ok(())
    }

    fn release(&mut self, to: &VmId) -> Result<(), Refusal> {
        let claim = self.claim.as_mut().ok_or(Refusal::NotOwner)?;
        claim.released_to = Some(to.clone());
        Ok(())
    }

    fn program_mut(&mut self, id: ProgramId) -> Result<&mut program::Program, Refusal> {
        self.programs.get_mut(&id).ok_or(Refusal::UnknownProgram)
    }

    /// Settles a reservation in the budgets of a program and all its ancestors.
    fn settle_ledgers(&mut self, id: ProgramId, reserved: budget::Amount, used: budget::Amount) {
        for id in self.lineage(id) {
            if let Some(p) = self.programs.get_mut(&id) {
                p.ledger.settle(reserved, used);
            }
        }
    }

    /// Returns a program and its ancestors, the program first.
    pub fn lineage(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut lineage = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            lineage.push(id);
            next = self.programs.get(&id).and_then(|p| p.parent);
        }
        lineage
    }

    /// Returns a program and all its sub-agents.
    pub fn descendants(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut found = vec![id];
        let mut index = 0;
        while let Some(parent) = found.get(index).copied() {
            let children = self
                .programs
                .iter()
                .filter(|(_, p)| p.parent == Some(parent));
            found.extend(children.map(|(id, _)| *id));
            index += 1;
        }
        found
    }

    /// Returns the root program of `id`.
    pub fn root(&self, id: ProgramId) -> ProgramId {
        self.lineage(id).last().copied().unwrap_or(id)
    }

    /// Returns the amount that a new call may reserve from the budgets of the
    /// program and all its ancestors.
    pub fn remaining_budget(&self, id: ProgramId) -> budget::Amount {
        let max = budget::Amount {
            tokens: u64::MAX,
            calls: u64::MAX,
        };
        self.lineage(id)
            .iter()
            .filter_map(|id| self.programs.get(id))
            .fold(max, |remaining, p| {
                remaining.capped_at(&p.ledger.remaining())
            })
    }
}

/// Returns whether the owner with claim `epoch` may end a call. It may end its
/// own calls, and adopt an answer from a former owner's records.
fn may_finish(current: &program::StartedCall, finish: &record::Finish, epoch: Offset) -> bool {
    let is_own = current.starter.start.epoch == epoch;
    is_own || matches!(finish.outcome, Outcome::Answered(_))
}
