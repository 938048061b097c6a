//! The fold of a slot's stream: every daemon that reads the same records
//! reaches the same state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    budget,
    id::{Offset, ProgramId, Seq, Turn, VmId, Writer},
    program,
    record::{self, Batch, Entry, Idempotency, Outcome, Record, RecordId},
    usage,
};

/// The claim in force on a slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The owner.
    pub writer: Writer,

    /// Offset of the claim: the owner's fencing number.
    pub epoch: Offset,

    /// Number of the owner's last record folded here.
    pub last_seq: Seq,

    /// VM that should claim next, once the owner has let go.
    pub released_to: Option<VmId>,
}

/// Folded state of one slot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotState {
    /// The claim in force.
    pub claim: Option<Claim>,

    /// Open programs.
    pub programs: BTreeMap<ProgramId, program::Program>,

    /// What the calls of open and closed programs cost.
    pub account: usage::Account,
}

/// Why a record does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The writer does not own the slot.
    #[error("the slot is owned by another daemon")]
    NotOwner,

    /// There is no such program.
    #[error("no such program")]
    UnknownProgram,

    /// The program exists already.
    #[error("the program exists already")]
    AlreadyExists,

    /// The turn is not the next one of the program.
    #[error("the turn is out of order")]
    OutOfOrder,

    /// A call is under way.
    #[error("a call of this program is under way")]
    Busy,

    /// No call of this writer is under way for the turn.
    #[error("no such call is under way")]
    NotStarted,

    /// The budget does not cover the call.
    #[error("the budget is spent")]
    BudgetExceeded,

    /// The key belongs to another call.
    #[error("the idempotency key belongs to another call of this program")]
    KeyReused,

    /// The call extends another history.
    #[error("the history differs")]
    HistoryMismatch,
}

/// What a batch did to the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A claim took effect.
    Claimed,

    /// Records of the owner were folded, up to this number.
    Folded(Seq),

    /// A former owner reported the fate of a call.
    OutcomeReported,

    /// Nothing counted.
    Ignored,

    /// The state descends from a snapshot that had been fenced off.
    Stale,
}

impl SlotState {
    /// Folds the batch at `offset`.
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
            // here leaves the state as it left the owner's.
            let _ = self.apply_record(&entry.record);
        }
        last.map_or(Applied::Ignored, Applied::Folded)
    }

    fn apply_former(&mut self, writer: &Writer, epoch: Offset, entries: &[Entry]) -> Applied {
        let mut noted = false;
        for entry in entries {
            let Record::Finish(f) = &entry.record else {
                continue;
            };
            // Only the starter itself can tell, and only of its own start.
            if f.start.epoch != epoch {
                continue;
            }
            let starter = program::Starter {
                writer: writer.clone(),
                start: f.start,
            };
            if let Some(program) = self.programs.get_mut(&f.program) {
                noted |= program.record_reported_outcome(f.turn, &starter, &f.outcome);
            }
        }
        match noted {
            true => Applied::OutcomeReported,
            false => Applied::Ignored,
        }
    }

    /// Offset of the claim in force.
    pub fn epoch(&self) -> Option<Offset> {
        self.claim.as_ref().map(|c| c.epoch)
    }

    /// Folds one record of the owner, or says why it does not count.
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
            let same_epoch = current.starter.start.epoch == starter.start.epoch;
            if same_epoch || current.idempotency == Idempotency::NonIdempotent {
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

    /// Reserves for `start`; what a former owner's attempt had reserved counts as spent.
    fn replace_reservation(&mut self, start: &record::Start) -> Result<(), Refusal> {
        let lineage = self.lineage(start.program);
        let abandoned = self
            .programs
            .get(&start.program)
            .and_then(|p| p.current.as_ref())
            .map(|c| c.reserve);
        // An abandoned reservation moves from reserved to spent: what is left stays the same.
        let fits = lineage
            .iter()
            .filter_map(|id| self.programs.get(id))
            .all(|p| start.reserve.fits_within(&p.ledger.remaining()));
        if !fits {
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

    fn settle_orphan(
        &mut self,
        id: ProgramId,
        turn: Turn,
        outcome: &Outcome,
    ) -> Result<(), Refusal> {
        let orphan = self.orphan(id, turn)?;
        let reserve = orphan.reserve;
        // A report that the owner had not read yet counts as if it came later.
        let outcome = match (outcome, &orphan.reported_outcome) {
            (Outcome::Unknown, Some(fate)) => fate.clone(),
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

    fn reopen(&mut self, id: ProgramId, turn: Turn) -> Result<(), Refusal> {
        let reserve = self.orphan(id, turn)?.reserve;
        self.settle_ledgers(id, reserve, budget::Amount::default());
        self.program_mut(id)?.current = None;
        Ok(())
    }

    /// Whether the state bears out what the record of an owner claims to know.
    ///
    /// Only the owner asks this: the fold takes its word, since a reader that
    /// began at a snapshot may not have seen the report.
    pub(crate) fn check_reported_outcome(&mut self, record: &Record) -> Result<(), Refusal> {
        let (id, turn, told) = match record {
            Record::Reopen { program, turn } => (*program, *turn, &Outcome::NotRun),
            Record::Settle {
                program,
                turn,
                outcome,
            } => (*program, *turn, outcome),
            _ => return Ok(()),
        };
        let fate = self.orphan(id, turn)?.reported_outcome.clone();
        match fate.unwrap_or(Outcome::Unknown) == *told {
            true => Ok(()),
            false => Err(Refusal::Busy),
        }
    }

    /// A non-idempotent call under way that a former owner started.
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

    fn settle_ledgers(&mut self, id: ProgramId, reserved: budget::Amount, used: budget::Amount) {
        for id in self.lineage(id) {
            if let Some(p) = self.programs.get_mut(&id) {
                p.ledger.settle(reserved, used);
            }
        }
    }

    /// A program and its ancestors, the program first.
    pub fn lineage(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut lineage = Vec::new();
        let mut next = Some(id);
        while let Some(id) = next {
            lineage.push(id);
            next = self.programs.get(&id).and_then(|p| p.parent);
        }
        lineage
    }

    /// A program and all its sub-agents.
    pub fn descendants(&self, id: ProgramId) -> Vec<ProgramId> {
        let mut found = vec![id];
        let mut at = 0;
        while let Some(parent) = found.get(at).copied() {
            let children = self
                .programs
                .iter()
                .filter(|(_, p)| p.parent == Some(parent));
            found.extend(children.map(|(id, _)| *id));
            at += 1;
        }
        found
    }

    /// The program at the root of `id`'s lineage.
    pub fn root(&self, id: ProgramId) -> ProgramId {
        self.lineage(id).last().copied().unwrap_or(id)
    }

    /// What the program and all its ancestors leave for a new call.
    pub fn remaining_budget(&self, id: ProgramId) -> budget::Amount {
        let max = budget::Amount {
            tokens: u64::MAX,
            calls: u64::MAX,
        };
        self.lineage(id)
            .iter()
            .filter_map(|id| self.programs.get(id))
            .fold(max, |left, p| left.capped_at(&p.ledger.remaining()))
    }
}

/// An owner ends its own calls, and adopts answers that a former owner's
/// records tell of.
fn may_finish(current: &program::StartedCall, finish: &record::Finish, epoch: Offset) -> bool {
    let own = current.starter.start.epoch == epoch;
    own || matches!(finish.outcome, Outcome::Answered(_))
}
