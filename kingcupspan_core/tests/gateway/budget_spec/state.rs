//! State of the model, and what a daemon knows of it.

use std::hash::{DefaultHasher, Hash, Hasher};

use kingcupspan_core::{
    gateway::{
        allocation::{self, AllocationId, Allocations},
        call::ProgramKey,
        incarnation::Incarnation,
    },
    id::{MonoMs, WallMs},
};

use super::{BUDGET_TOKENS, CUT_DAEMON, DAEMONS, Flaw, MAX_TOKENS, TURNS};

/// Progress of a turn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Not begun.
    #[default]
    Idle,

    /// Calls that allocate the tokens got no response.
    Requested,

    /// The allocation is recorded; the other records are not read yet.
    Recorded,

    /// The endpoint runs the turn.
    Running,

    /// The settlement is not acknowledged yet; whether the turn was answered whole.
    Settling { is_whole: bool },

    /// The settlement is acknowledged; whether the turn was answered whole.
    Settled { is_whole: bool },

    /// The daemon was killed while the turn was in flight.
    Killed,
}

/// A turn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Turn {
    pub(super) phase: Phase,

    /// Tokens that the caller has got.
    pub(super) used: u64,

    /// Run of the daemon that made the allocation.
    pub(super) run: u8,

    /// Whether a call that allocates the tokens may still be executed.
    pub(super) has_late_call: bool,
}

/// Records of a turn's allocation in the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Stored {
    /// Tokens of the newest record with the key of the allocation.
    pub(super) allocation: Option<u64>,

    /// Tokens of the record that settles the allocation.
    pub(super) settlement: Option<u64>,

    /// Tokens of the last record of either kind.
    pub(super) last: Option<u64>,
}

/// Tokens of each turn's allocation that a daemon has read.
pub(super) type View = [Option<u64>; TURNS];

/// A daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Daemon {
    /// Number of this run.
    pub(super) run: u8,

    /// What the daemon has read.
    pub(super) view: View,

    /// Whether the daemon has read the records since it was started.
    pub(super) has_read: bool,

    /// First page of a read that is not complete.
    pub(super) listing: Option<Listing>,
}

/// First page of a read, and what was appended since.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Listing {
    /// Records of the keys in the first page, as they were then.
    page: [Stored; TURNS],

    /// Keys in the first page of which a record was appended since.
    appended: [Keys; TURNS],
}

/// A selection of the keys of a turn's records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct Keys {
    allocation: bool,
    settlement: bool,
}

/// The keys of a turn's records that are in the first page.
fn keys_in_first_page(turn: usize) -> Keys {
    Keys {
        allocation: turn == TURNS - 1,
        settlement: true,
    }
}

/// State of the whole model.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct ModelState {
    pub(super) turns: [Turn; TURNS],
    pub(super) daemons: [Daemon; DAEMONS],
    pub(super) stored: [Stored; TURNS],
    pub(super) is_store_down: bool,
    pub(super) is_cut: bool,
    pub(super) kills: u8,
    pub(super) lost_calls: u8,
}

/// Daemon through which a turn runs.
pub(super) fn daemon_of(turn: usize) -> usize {
    turn % DAEMONS
}

/// Identifier of the run of a daemon.
pub(super) fn incarnation(daemon: usize, run: u8) -> Incarnation {
    Incarnation::from(format!("{daemon}/{run}"))
}

/// The program of all turns.
pub(super) fn program() -> ProgramKey {
    ProgramKey::from("p")
}

impl Listing {
    /// Lists the first page.
    pub(super) fn first_page(stored: &[Stored; TURNS]) -> Self {
        let in_first_page = |turn: usize| Stored {
            allocation: stored[turn]
                .allocation
                .filter(|_| keys_in_first_page(turn).allocation),
            settlement: stored[turn]
                .settlement
                .filter(|_| keys_in_first_page(turn).settlement),
            last: None,
        };
        Self {
            page: std::array::from_fn(in_first_page),
            appended: Default::default(),
        }
    }

    /// Notes that records of a turn with these keys are appended.
    fn note_appended(&mut self, turn: usize, keys: Keys) {
        let listed = keys_in_first_page(turn);
        self.appended[turn].allocation |= keys.allocation && listed.allocation;
        self.appended[turn].settlement |= keys.settlement && listed.settlement;
    }

    /// The records of both pages, and those that were appended since the first one.
    fn completed(&self, stored: &[Stored; TURNS], flaw: Flaw) -> [Stored; TURNS] {
        std::array::from_fn(|turn| {
            let (page, now) = (self.page[turn], stored[turn]);
            let mut keys = keys_in_first_page(turn);
            if flaw != Flaw::SkipsAppended {
                keys.allocation &= !self.appended[turn].allocation;
                keys.settlement &= !self.appended[turn].settlement;
            }
            Stored {
                allocation: if keys.allocation {
                    page.allocation
                } else {
                    now.allocation
                },
                settlement: if keys.settlement {
                    page.settlement
                } else {
                    now.settlement
                },
                last: now.last,
            }
        })
    }
}

impl ModelState {
    /// Notes for all reads in progress that records of a turn are appended.
    pub(super) fn note_appended(&mut self, turn: usize, allocation: bool, settlement: bool) {
        let keys = Keys {
            allocation,
            settlement,
        };
        let listings = self.daemons.iter_mut().filter_map(|d| d.listing.as_mut());
        listings.for_each(|l| l.note_appended(turn, keys));
    }

    /// Whether a daemon reaches the store.
    pub(super) fn reaches_store(&self, daemon: usize) -> bool {
        let is_cut = self.is_cut && daemon == CUT_DAEMON;
        !self.is_store_down && !is_cut
    }

    /// The state with a turn in another phase.
    pub(super) fn with_phase(&self, turn: usize, phase: Phase) -> Self {
        let mut next = self.clone();
        next.turns[turn].phase = phase;
        next
    }

    /// Allocations as the real rules hold them.
    pub(super) fn allocations(&self, view: &View) -> Allocations {
        let mut allocations = Allocations::default();
        for (turn, tokens) in view.iter().enumerate() {
            let Some(tokens) = tokens else { continue };
            let id = AllocationId {
                daemon: incarnation(daemon_of(turn), self.turns[turn].run),
                made_at: WallMs(turn as u64),
            };
            allocations.apply(&program(), id, *tokens, MonoMs(0));
        }
        allocations
    }

    /// Largest sum of all allocations.
    pub(super) fn limit(&self, flaw: Flaw) -> u64 {
        let limit = allocation::limit(BUDGET_TOKENS, MAX_TOKENS);
        match flaw {
            Flaw::SetsHalfAside if self.kills > 0 => limit / 2,
            _ => limit,
        }
    }

    /// Whether the tokens of another turn fit, according to a daemon's view.
    pub(super) fn fits(&self, view: &View, flaw: Flaw) -> bool {
        let total = self.allocations(view).total_allocated(&program());
        total + MAX_TOKENS <= self.limit(flaw)
    }

    /// The newest record of each key, as a daemon reads them when it starts.
    fn newest(&self, daemon: usize, flaw: Flaw) -> View {
        let listing = self.daemons[daemon].listing;
        let stored = listing.map_or(self.stored, |l| l.completed(&self.stored, flaw));
        stored.map(|s| match (s.allocation, s.settlement) {
            _ if flaw == Flaw::SettlesUnderSameKey => s.last,
            (Some(allocation), Some(settlement)) => Some(allocation.min(settlement)),
            (allocation, settlement) => allocation.or(settlement),
        })
    }

    /// A daemon's view after it has read all records.
    pub(super) fn read(&self, daemon: usize, flaw: Flaw) -> View {
        let Daemon { view, has_read, .. } = self.daemons[daemon];
        let newest = self.newest(daemon, flaw);
        let mut read = view;
        for turn in 0..TURNS {
            read[turn] = match (view[turn], newest[turn]) {
                _ if !has_read => newest[turn],
                _ if flaw == Flaw::LastRecordCounts => self.stored[turn].last.or(view[turn]),
                (Some(known), Some(newest)) => Some(known.min(newest)),
                (known, newest) => known.or(newest),
            };
        }
        read
    }

    /// A daemon reads all records.
    pub(super) fn with_read(&self, daemon: usize, flaw: Flaw) -> Self {
        let mut next = self.clone();
        next.daemons[daemon].view = self.read(daemon, flaw);
        next.daemons[daemon].has_read = true;
        next.daemons[daemon].listing = None;
        next
    }

    /// Returns a digest of the state, equal for equal states only.
    pub(super) fn digest(&self) -> [u64; 2] {
        [0, 1].map(|seed| {
            let mut hasher = DefaultHasher::new();
            (seed, self).hash(&mut hasher);
            hasher.finish()
        })
    }
}
