//! Token budgets of programs, shared by daemons through takings on the store.
//!
//! A daemon takes tokens out of a program's budget by a record on the store
//! before it lets a turn run. Its taking is valid if it and all others that
//! stand before or beside it fit into the budget, as read up to its own record.
//! The last valid taking has seen every other, so valid takings never exceed
//! the budget, whatever was lost, late or repeated.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::gateway::call::ProgramKey;

/// Names one taking of a program: who took and its number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TakingId {
    /// The incarnation of the daemon that took.
    pub taker: String,

    /// Grows with each of its takings.
    pub number: u64,
}

/// All takings of programs as far as they were read.
#[derive(Debug, Clone, Default)]
pub struct Takings {
    programs: HashMap<ProgramKey, HashMap<TakingId, u64>>,
}

impl Takings {
    /// Folds a record; a later amount of the same taking replaces the former.
    pub fn apply(&mut self, program: &ProgramKey, id: TakingId, tokens: u64) {
        let takings = self.programs.entry(program.clone()).or_default();
        takings.insert(id, tokens);
    }

    /// Tokens taken by everybody.
    pub fn total(&self, program: &ProgramKey) -> u64 {
        let takings = self.programs.get(program);
        takings.map_or(0, |t| t.values().sum())
    }

    /// Forgets a program.
    pub fn forget(&mut self, program: &ProgramKey) {
        self.programs.remove(program);
    }
}

/// What becomes of a turn that asks for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The turn may run; its most is reserved.
    Run,

    /// This many tokens must be taken first.
    Take(u64),

    /// The budget does not hold the turn.
    Spent,
}

/// What this daemon holds of one program's budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Allowance {
    /// Tokens taken by valid takings.
    pub taken: u64,

    /// Tokens that ended turns have used.
    pub used: u64,

    /// Tokens that turns under way may use at most.
    pub reserved: u64,
}

impl Allowance {
    /// Tokens that a new turn can have.
    pub fn free(&self) -> u64 {
        self.taken.saturating_sub(self.used + self.reserved)
    }

    /// Decides on a turn of at most `most` tokens, with `others` taken by all
    /// daemons out of `budget`, this one's takings included.
    pub fn decide(&mut self, most: u64, budget: u64, total_taken: u64) -> Verdict {
        if self.free() >= most {
            self.reserved += most;
            return Verdict::Run;
        }
        let missing = most - self.free();
        let left = budget.saturating_sub(total_taken);
        match missing <= left {
            true => Verdict::Take(want(missing, most, left)),
            false => Verdict::Spent,
        }
    }

    /// Adds a valid taking.
    pub fn add(&mut self, tokens: u64) {
        self.taken += tokens;
    }

    /// Ends a turn that had `most` reserved.
    pub fn settle(&mut self, most: u64, used: u64) {
        self.reserved = self.reserved.saturating_sub(most);
        self.used += used;
    }
}

/// How much to take: enough for a second turn where the budget holds plenty.
fn want(missing: u64, most: u64, left: u64) -> u64 {
    let generous = missing + most;
    match left >= generous + 2 * most {
        true => generous,
        false => missing,
    }
}
