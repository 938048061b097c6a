//! Token budgets of programs, shared by daemons through allocations in the store.
//!
//! Before a daemon lets a turn run, it allocates tokens of the program's budget to
//! itself by a record in the store. The allocation is valid if it fits into the limit
//! together with all allocations that were read up to its own record. The last valid
//! allocation has seen all others, so valid allocations never exceed the limit, even
//! if records are lost, late or repeated. Daemons hand unused tokens to each other
//! directly; that does not change the sum of all allocations.
//!
//! While the store is unreachable, a daemon may grant itself some of a program's
//! tokens and record them later. Allocations leave room for these offline grants until
//! every daemon has agreed to make no more of them, so the limit holds regardless of
//! which daemon has read which record.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{call::ProgramKey, grant::Incarnation},
    id::{MonoMs, WallMs},
};

/// Identifier of an allocation within a program.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AllocationId {
    /// The daemon that allocated the tokens.
    #[serde(rename = "taker")]
    pub daemon: Incarnation,

    /// Time of the allocation, advanced where needed so that it increases with each
    /// allocation of the daemon.
    #[serde(rename = "number")]
    pub made_at: WallMs,
}

/// The allocations of all programs, as read from the store so far.
#[derive(Debug, Clone, Default)]
pub struct Allocations {
    programs: HashMap<ProgramKey, Program>,
}

/// The allocations of one program.
#[derive(Debug, Clone, Default)]
struct Program {
    /// Tokens of each allocation.
    allocations: BTreeMap<AllocationId, u64>,

    /// Whether the store holds the record that disables offline grants.
    grants_disabled: bool,

    /// Time at which a record of the program was last read.
    last_read: MonoMs,
}

impl Allocations {
    /// Applies an allocation record read at `now`.
    ///
    /// A later record of the same allocation replaces its amount.
    pub fn apply(&mut self, program: &ProgramKey, id: AllocationId, tokens: u64, now: MonoMs) {
        let program = self.programs.entry(program.clone()).or_default();
        program.allocations.insert(id, tokens);
        program.last_read = now;
    }

    /// Applies a record, read at `now`, that disables offline grants of a program.
    pub fn disable_offline_grants(&mut self, program: &ProgramKey, now: MonoMs) {
        let program = self.programs.entry(program.clone()).or_default();
        program.grants_disabled = true;
        program.last_read = now;
    }

    /// Whether a record that disables offline grants of a program was read.
    pub fn grants_disabled(&self, program: &ProgramKey) -> bool {
        self.programs
            .get(program)
            .is_some_and(|p| p.grants_disabled)
    }

    /// Removes programs of which no record was read since the time that `before` returns.
    pub fn expire(&mut self, before: impl Fn(&ProgramKey) -> MonoMs) {
        self.programs
            .retain(|program, p| p.last_read >= before(program));
    }

    /// Whether a record of a program was read and the program has not been removed since.
    pub fn contains(&self, program: &ProgramKey) -> bool {
        self.programs.contains_key(program)
    }

    /// Returns the time of a program's first allocation; `None` if no allocation was read.
    pub fn first_made_at(&self, program: &ProgramKey) -> Option<WallMs> {
        let program = self.programs.get(program)?;
        program.allocations.keys().map(|id| id.made_at).min()
    }

    /// Returns the tokens of a program allocated by all daemons together.
    pub fn total_allocated(&self, program: &ProgramKey) -> u64 {
        let program = self.programs.get(program);
        program.map_or(0, |p| p.allocations.values().sum())
    }

    /// Returns the tokens of a program allocated by each daemon.
    pub fn allocated_by_daemon(&self, program: &ProgramKey) -> BTreeMap<Incarnation, u64> {
        let mut allocated = BTreeMap::new();
        let program = self.programs.get(program);
        for (id, tokens) in program.into_iter().flat_map(|p| &p.allocations) {
            *allocated.entry(id.daemon.clone()).or_default() += tokens;
        }
        allocated
    }
}

/// Returns the largest sum of all allocations of a program.
///
/// The limit exceeds the budget by `max_tokens`, the maximum for one turn, because a turn
/// is admitted while the budget is not spent and may then use that many tokens.
pub fn limit(budget: u64, max_tokens: u64) -> u64 {
    budget + max_tokens
}

/// Returns the largest sum of recorded allocations while a daemon may still make
/// offline grants.
pub fn recorded_allocation_limit(limit: u64) -> u64 {
    limit / 2
}

/// Returns the maximum number of tokens that all daemons together may grant offline.
pub fn offline_grant_limit(limit: u64) -> u64 {
    limit - recorded_allocation_limit(limit)
}

/// Returns the maximum number of tokens that the daemons of a failure domain may grant
/// offline while it is cut off from all others.
///
/// Two such domains together stay within [`offline_grant_limit`].
pub fn cut_off_grant_limit(limit: u64) -> u64 {
    offline_grant_limit(limit) / 2
}

/// Returns the number of tokens of an offline grant when `missing` are needed, the daemon
/// has granted itself `granted` before and may grant itself `max_grant` in total; `None`
/// if too few are left.
///
/// A grant takes all tokens still permitted, because each grant needs the agreement of
/// a majority of the daemons.
pub fn offline_grant_size(missing: u64, granted: u64, max_grant: u64) -> Option<u64> {
    let permitted = max_grant.saturating_sub(granted);
    (permitted >= missing).then_some(permitted)
}

/// Returns the number of tokens to allocate when `missing` are needed and `total` are
/// already allocated.
///
/// The allocation includes tokens for future turns as long as plenty remain for other
/// daemons, and for this daemon after a restart, which loses the tokens that it
/// allocated in advance.
pub fn allocation_size(missing: u64, max_tokens: u64, total: u64, limit: u64) -> u64 {
    let two_turns_ahead = missing + 2 * max_tokens;
    let one_turn_ahead = missing + max_tokens;
    if total + two_turns_ahead <= recorded_allocation_limit(limit) / 4 {
        return two_turns_ahead;
    }
    if total + one_turn_ahead <= recorded_allocation_limit(limit) / 2 {
        return one_turn_ahead;
    }
    missing
}

/// Returns the available tokens above `max_tokens`, which an idle program should give
/// back, or 0 while a turn is running.
///
/// Concurrent turns reserve far more tokens than they use, so a quota is larger than
/// needed after they have ended. This function does not check how long ago the last
/// turn was.
pub fn excess(quota: &LocalQuota, max_tokens: u64) -> u64 {
    match quota.reserved {
        0 => quota.available().saturating_sub(max_tokens),
        _ => 0,
    }
}

/// Reduces allocations by `unused` tokens, the last allocation first, and returns the
/// changed allocations with their new amounts.
pub fn shrink(
    allocations: &mut [(AllocationId, u64)],
    mut unused: u64,
) -> Vec<(AllocationId, u64)> {
    let mut changed = Vec::new();
    for (id, tokens) in allocations.iter_mut().rev() {
        let returned = unused.min(*tokens);
        if returned > 0 {
            *tokens -= returned;
            unused -= returned;
            changed.push((id.clone(), *tokens));
        }
    }
    changed
}

/// The tokens of one program's budget that one daemon holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalQuota {
    /// Tokens from valid allocations and from other daemons, less those handed to other
    /// daemons.
    #[serde(rename = "taken")]
    pub allocated: u64,

    /// Tokens used by turns that have ended.
    pub used: u64,

    /// Tokens reserved for turns in flight.
    pub reserved: u64,
}

impl LocalQuota {
    /// Returns the tokens that are neither used nor reserved.
    pub fn available(&self) -> u64 {
        self.allocated.saturating_sub(self.used + self.reserved)
    }

    /// Reserves `max_tokens` tokens for a turn, or returns false if fewer are available.
    pub fn reserve(&mut self, max_tokens: u64) -> bool {
        let is_enough = self.available() >= max_tokens;
        if is_enough {
            self.reserved += max_tokens;
        }
        is_enough
    }

    /// Adds tokens of a valid allocation, of an offline grant or from another daemon.
    pub fn add(&mut self, tokens: u64) {
        self.allocated += tokens;
    }

    /// Removes up to `requested` available tokens from the quota, to hand them to
    /// another daemon or to give them back, and returns their number.
    pub fn release(&mut self, requested: u64) -> u64 {
        let released = self.available().min(requested);
        self.allocated -= released;
        released
    }

    /// Ends a turn that had `max_tokens` tokens reserved and used `used` of them.
    pub fn settle(&mut self, max_tokens: u64, used: u64) {
        self.reserved = self.reserved.saturating_sub(max_tokens);
        self.used += used;
    }
}

/// What a daemon knows of a program's tokens when it cannot obtain enough of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenBalance {
    /// Tokens used by turns that have ended, and all tokens allocated by daemons that
    /// have ended.
    pub used: u64,

    /// Tokens reserved for turns in flight, some of which may be given back.
    pub reserved: u64,

    /// Whether daemons that did not answer may hold further tokens, or tokens are set
    /// aside for offline grants until all daemons have agreed to make no more.
    pub is_uncertain: bool,
}

/// State of a budget that lacks tokens for a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetState {
    /// The budget is spent, and the turn is refused permanently.
    Spent,

    /// Tokens may become available again.
    Undetermined,
}

/// Returns whether a budget that lacks tokens for a turn is spent.
pub fn budget_state(budget: u64, balance: TokenBalance) -> BudgetState {
    let may_recover = balance.reserved > 0 || balance.is_uncertain;
    match balance.used >= budget || !may_recover {
        true => BudgetState::Spent,
        false => BudgetState::Undetermined,
    }
}
