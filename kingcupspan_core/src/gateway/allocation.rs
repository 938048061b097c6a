//! Token budgets of programs, shared by daemons through takings on the store.
//!
//! A daemon takes tokens out of a program's budget by a record on the store
//! before it lets a turn run. Its taking is valid if it and all others that
//! were read up to its own record fit into the limit. The last valid taking
//! has seen every other, so valid takings never exceed the limit, whatever was
//! lost, late or repeated. Daemons hand unused tokens to each other directly;
//! that leaves the sum of all takings as it is.
//!
//! While the store is away a daemon may grant a part of a program's tokens, to be
//! recorded later. So that nothing depends on who has read or noticed what,
//! takings leave room for such grants until every daemon has agreed to make none.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{call::ProgramKey, grant::Incarnation},
    id::MonoMs,
};

/// Names one taking of a program: who took and its number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AllocationId {
    /// The daemon that took.
    #[serde(rename = "taker")]
    pub daemon: Incarnation,

    /// Grows with each of its takings.
    pub number: u64,
}

/// All takings of programs as far as they were read.
#[derive(Debug, Clone, Default)]
pub struct Allocations {
    programs: HashMap<ProgramKey, Program>,
}

#[derive(Debug, Clone, Default)]
struct Program {
    takings: BTreeMap<AllocationId, u64>,
    grants_disabled: bool,
    last: MonoMs,
}

impl Allocations {
    /// Folds a record read at `now`; a later amount of the same taking replaces
    /// the former.
    pub fn apply(&mut self, program: &ProgramKey, id: AllocationId, tokens: u64, now: MonoMs) {
        let program = self.programs.entry(program.clone()).or_default();
        program.takings.insert(id, tokens);
        program.last = now;
    }

    /// Folds the announcement that nobody grants tokens without a record any more.
    pub fn disable_offline_grants(&mut self, program: &ProgramKey, now: MonoMs) {
        let program = self.programs.entry(program.clone()).or_default();
        program.grants_disabled = true;
        program.last = now;
    }

    /// Whether that was announced.
    pub fn grants_disabled(&self, program: &ProgramKey) -> bool {
        self.programs
            .get(program)
            .is_some_and(|p| p.grants_disabled)
    }

    /// Forgets programs of which nothing was read since `before`.
    pub fn expire(&mut self, before: MonoMs) {
        self.programs.retain(|_, p| p.last >= before);
    }

    /// Tokens taken by everybody.
    pub fn total_allocated(&self, program: &ProgramKey) -> u64 {
        let program = self.programs.get(program);
        program.map_or(0, |p| p.takings.values().sum())
    }

    /// Who took how many tokens of a program.
    pub fn allocated_by_daemon(&self, program: &ProgramKey) -> BTreeMap<Incarnation, u64> {
        let mut takers = BTreeMap::new();
        let program = self.programs.get(program);
        for (id, tokens) in program.into_iter().flat_map(|p| &p.takings) {
            *takers.entry(id.daemon.clone()).or_default() += tokens;
        }
        takers
    }
}

/// Most that all takings of a program may come to: a turn is let in while the
/// budget is not spent, and may then use its most.
pub fn limit(budget: u64, max_tokens: u64) -> u64 {
    budget + max_tokens
}

/// Most that recorded takings may come to as long as some daemon may be granting
/// tokens without a record.
pub fn recorded_allocation_limit(limit: u64) -> u64 {
    limit / 2
}

/// Most that one side of a network partition may grant without a record. Two
/// sides together stay within what [`recorded_allocation_limit`] leaves.
pub fn offline_grant_limit(limit: u64) -> u64 {
    limit / 4
}

/// Tokens that a daemon grants itself without a record when `missing` are needed and
/// it granted `granted` before: all that it may at once, since every grant has to be
/// agreed to by a majority of the daemons.
pub fn offline_grant_size(missing: u64, granted: u64, limit: u64) -> u64 {
    missing.max(offline_grant_limit(limit).saturating_sub(granted))
}

/// Tokens to take when `missing` are needed and `total` are taken: also for turns
/// to come, as long as much is left for other daemons and for this one after a
/// restart, when it has lost what it took ahead.
pub fn allocation_size(missing: u64, max_tokens: u64, total: u64, limit: u64) -> u64 {
    let generous = missing + 2 * max_tokens;
    let ample = missing + max_tokens;
    if total + generous <= recorded_allocation_limit(limit) / 4 {
        return generous;
    }
    if total + ample <= recorded_allocation_limit(limit) / 2 {
        return ample;
    }
    missing
}

/// Tokens to give back when no turn runs, more than `most` are free and the last
/// turn is a while ago: turns at the same time reserve far more than they use.
pub fn excess(allowance: &LocalQuota, max_tokens: u64) -> u64 {
    match allowance.reserved {
        0 => allowance.available().saturating_sub(max_tokens),
        _ => 0,
    }
}

/// Gives `unused` tokens of takings back, the last first; the takings that change.
pub fn shrink(takings: &mut [(AllocationId, u64)], mut unused: u64) -> Vec<(AllocationId, u64)> {
    let mut changed = Vec::new();
    for (id, tokens) in takings.iter_mut().rev() {
        let back = unused.min(*tokens);
        if back > 0 {
            *tokens -= back;
            unused -= back;
            changed.push((id.clone(), *tokens));
        }
    }
    changed
}

/// What one daemon holds of one program's budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalQuota {
    /// Tokens from valid takings, less those handed to others.
    #[serde(rename = "taken")]
    pub allocated: u64,

    /// Tokens that ended turns have used.
    pub used: u64,

    /// Tokens that turns under way may use at most.
    pub reserved: u64,
}

impl LocalQuota {
    /// Tokens that a new turn can have.
    pub fn available(&self) -> u64 {
        self.allocated.saturating_sub(self.used + self.reserved)
    }

    /// Reserves `most` tokens for a turn; false if there are not as many.
    pub fn reserve(&mut self, max_tokens: u64) -> bool {
        let is_enough = self.available() >= max_tokens;
        if is_enough {
            self.reserved += max_tokens;
        }
        is_enough
    }

    /// Adds tokens of a valid taking or from another daemon.
    pub fn add(&mut self, tokens: u64) {
        self.allocated += tokens;
    }

    /// Hands up to `want` unused tokens to another daemon.
    pub fn release(&mut self, want: u64) -> u64 {
        let released = self.available().min(want);
        self.allocated -= released;
        released
    }

    /// Ends a turn that had `most` reserved.
    pub fn settle(&mut self, max_tokens: u64, used: u64) {
        self.reserved = self.reserved.saturating_sub(max_tokens);
        self.used += used;
    }
}

/// What is known of a program's tokens when some are missing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenBalance {
    /// Tokens used by ended turns, and all that lost daemons had taken.
    pub used: u64,

    /// Tokens that turns under way may still give back.
    pub reserved: u64,

    /// Whether tokens may be held by daemons that did not answer, or are set aside
    /// until all daemons agree.
    pub is_uncertain: bool,
}

/// Whether a budget is spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetState {
    /// It is; the turn is refused for good.
    Spent,

    /// Tokens may come back.
    Undetermined,
}

/// Judges a budget of which tokens are missing.
pub fn budget_state(budget: u64, holdings: TokenBalance) -> BudgetState {
    let may_return = holdings.reserved > 0 || holdings.is_uncertain;
    match holdings.used >= budget || !may_return {
        true => BudgetState::Spent,
        false => BudgetState::Undetermined,
    }
}
