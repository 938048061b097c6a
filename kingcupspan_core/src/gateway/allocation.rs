//! Token budgets of programs, shared by daemons through allocations in the store.
//!
//! Before a daemon lets a turn run, it allocates the tokens that the turn may use by a record
//! in the store. The allocation is valid if it fits into the limit together with all
//! allocations that were read up to its own record. The last valid allocation has seen all
//! others, so valid allocations never exceed the limit, even if records are lost, late or
//! repeated.
//!
//! A second record settles the allocation after the turn: it tells how many tokens the turn has
//! used, and the others are free again. So a daemon holds no tokens besides those of its turns
//! in flight. If it is killed, only these turns count with all the tokens that they might have
//! used; nobody knows how many they did use. A turn that is kept carries the settlement in the
//! same call, so that whoever continues it knows what it has used.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{call::ProgramKey, incarnation::Incarnation},
    id::{MonoMs, WallMs},
};

/// Age from which on an allocation of a daemon that does not respond counts as used: turns have
/// ended long before, and clocks of VMs differ by less.
const UNSETTLED_MAX: Duration = Duration::from_secs(15);

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

/// Number of tokens of an allocation that its turn has used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settlement {
    /// Program of the turn.
    pub program: ProgramKey,

    /// The allocation.
    pub id: AllocationId,

    /// Tokens used.
    pub used: u64,
}

/// The allocations of all programs, as read from the store so far.
#[derive(Debug, Clone, Default)]
pub struct Allocations {
    programs: HashMap<ProgramKey, Program>,
}

/// Allocations of one daemon of a program's tokens, by the time at which they were made.
pub type DaemonAllocations = BTreeMap<WallMs, u64>;

/// The allocations of one program.
#[derive(Debug, Clone, Default)]
struct Program {
    /// Allocations of each daemon.
    daemons: BTreeMap<Incarnation, DaemonAllocations>,

    /// Time at which a record of the program was last read.
    last_read: MonoMs,
}

impl Allocations {
    /// Applies a record of an allocation, read at `now`.
    ///
    /// Of several records of an allocation the one with the fewest tokens counts, regardless of
    /// their order: an allocation is made with all tokens and settled with fewer, and the call
    /// that made it may be executed once more after it was settled.
    pub fn apply(&mut self, program: &ProgramKey, id: AllocationId, tokens: u64, now: MonoMs) {
        let program = self.programs.entry(program.clone()).or_default();
        let daemon = program.daemons.entry(id.daemon).or_default();
        let allocated = daemon.entry(id.made_at).or_insert(tokens);
        *allocated = tokens.min(*allocated);
        program.last_read = now;
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

    /// Returns the tokens of a program allocated by all daemons together.
    pub fn total_allocated(&self, program: &ProgramKey) -> u64 {
        let program = self.programs.get(program);
        let daemons = program.into_iter().flat_map(|p| p.daemons.values());
        daemons.flat_map(BTreeMap::values).sum()
    }

    /// Returns the allocations of a program of each daemon.
    pub fn by_daemon(&self, program: &ProgramKey) -> BTreeMap<Incarnation, DaemonAllocations> {
        let program = self.programs.get(program);
        program.map(|p| p.daemons.clone()).unwrap_or_default()
    }
}

/// Returns the largest sum of all allocations of a program.
///
/// The limit exceeds the budget by `max_tokens`, the maximum for one turn, because a turn
/// is admitted while the budget is not spent and may then use that many tokens.
pub fn limit(budget: u64, max_tokens: u64) -> u64 {
    budget + max_tokens
}

/// What a daemon that has allocated tokens of a program says about its turns in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    /// The daemon has reserved these tokens for turns in flight.
    Reserves(u64),

    /// The daemon did not respond.
    Silent,

    /// This run of the daemon has ended, and nobody will settle its allocations.
    Ended,
}

/// How the allocated tokens of a program are used, as far as a daemon knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenBalance {
    /// Tokens used by turns that have ended, and all tokens of turns that ended with their
    /// daemon.
    pub used: u64,

    /// Tokens reserved for turns in flight, some of which may become free.
    pub reserved: u64,

    /// Whether daemons that did not respond may have some of the reserved tokens.
    pub is_uncertain: bool,

    /// Whether turns may have used less, since their daemons have ended or did not respond.
    pub is_estimated: bool,
}

impl TokenBalance {
    /// Adds the allocations of one daemon, as read at `now`.
    pub fn add(&mut self, allocations: &DaemonAllocations, holder: HolderState, now: WallMs) {
        let allocated: u64 = allocations.values().sum();
        let reserved = match holder {
            HolderState::Reserves(tokens) => tokens.min(allocated),
            HolderState::Silent => recently_allocated(allocations, now),
            HolderState::Ended => 0,
        };
        self.used += allocated - reserved;
        self.reserved += reserved;
        self.is_uncertain |= holder == HolderState::Silent && reserved > 0;
        self.is_estimated |= !matches!(holder, HolderState::Reserves(_));
    }

    /// Returns whether a budget that lacks tokens for a turn is spent.
    pub fn budget_state(&self, budget: u64) -> BudgetState {
        match self.used >= budget || self.reserved == 0 {
            true => BudgetState::Spent,
            false => BudgetState::Undetermined,
        }
    }
}

/// Returns the tokens of allocations that a turn in flight may have at `now`.
fn recently_allocated(allocations: &DaemonAllocations, now: WallMs) -> u64 {
    let since = now.0.saturating_sub(UNSETTLED_MAX.as_millis() as u64);
    allocations.range(WallMs(since)..).map(|(_, t)| t).sum()
}

/// State of a budget that lacks tokens for a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetState {
    /// The budget is spent, and the turn is refused permanently.
    Spent,

    /// Tokens may become available again.
    Undetermined,
}
