//! Exhaustive search over the budget protocol: two daemons of a failure domain
//! that may be cut off and one outside, with the real limits and folding. Records
//! are read at any delay, cuts and outages come and go at any moment.

use kingcupspan_core::{
    gateway::{
        allowance::{self, TakingId, Takings},
        call::ProgramKey,
    },
    id::MonoMs,
};
use pathfinding::directed::bfs;

/// Tokens that all daemons together may hold.
const LIMIT: u64 = 8;

/// Tokens taken or granted at a time.
const STEP: u64 = 1;

/// Daemons; the last one is outside the failure domain.
const DAEMONS: usize = 3;
const OUTSIDE: usize = 2;

/// Deliberate flaws that the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flaw {
    None,
    /// Takings fill the whole limit without asking the others.
    NoConsent,
    /// A daemon that has agreed to grant nothing forgets it.
    ForgetsConsent,
    /// Two daemons of one side grant.
    NoClaim,
    /// A daemon grants with none of its failure domain asked.
    GrantsUnasked,
    /// What was recorded may be granted once more.
    GrantsAnew,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Right {
    Of(usize),
    Nobody,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    recorded: [u64; DAEMONS],
    held: [u64; DAEMONS],
    unrecorded: [u64; DAEMONS],

    /// Tokens that each daemon ever granted itself without the store.
    granted: [u64; DAEMONS],

    /// Who may grant, as each daemon knows it.
    rights: [Option<Right>; DAEMONS],

    /// Set once every daemon has agreed to grant nothing: what was granted before.
    agreed: [Option<u64>; DAEMONS],

    /// Whether the failure domain is cut off, from the store as well.
    is_cut: bool,

    /// Whether the store answers anybody.
    is_store_up: bool,
}

impl World {
    fn start() -> Self {
        Self {
            recorded: [0; DAEMONS],
            held: [0; DAEMONS],
            unrecorded: [0; DAEMONS],
            granted: [0; DAEMONS],
            rights: [None; DAEMONS],
            agreed: [None; DAEMONS],
            is_cut: false,
            is_store_up: true,
        }
    }

    /// Tokens recorded by everybody, folded by the real code.
    fn total(&self) -> u64 {
        let program = ProgramKey::from("p");
        let mut takings = Takings::default();
        for (taker, tokens) in self.recorded.iter().enumerate() {
            let id = TakingId {
                taker: taker.to_string(),
                number: 1,
            };
            takings.apply(&program, id, *tokens, MonoMs(0));
        }
        takings.total(&program)
    }

    fn reaches_store(&self, daemon: usize) -> bool {
        self.is_store_up && (daemon == OUTSIDE || !self.is_cut)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || !self.is_cut || (from != OUTSIDE && to != OUTSIDE)
    }

    /// A taking on the store; reading up to the own record sees every other.
    fn take(&self, daemon: usize, flaw: Flaw) -> Option<Self> {
        let limit = match self.agreed[daemon] {
            Some(unrecorded) => LIMIT.saturating_sub(unrecorded),
            None if flaw == Flaw::NoConsent => LIMIT,
            None => allowance::recorded_limit(LIMIT),
        };
        if !self.reaches_store(daemon) || self.total() + STEP > limit {
            return None;
        }
        let mut next = self.clone();
        next.recorded[daemon] += STEP;
        next.held[daemon] += STEP;
        Some(next)
    }

    /// Asks everybody to grant nothing any more.
    fn agree(&self, daemon: usize, flaw: Flaw) -> Option<Self> {
        if self.agreed[daemon].is_some() || !(0..DAEMONS).all(|d| self.reaches(daemon, d)) {
            return None;
        }
        let mut next = self.clone();
        if flaw != Flaw::ForgetsConsent {
            next.rights = [Some(Right::Nobody); DAEMONS];
        }
        next.agreed[daemon] = Some(self.unrecorded.iter().sum());
        Some(next)
    }

    /// A grant without the store: by a majority, or by the failure domain alone.
    fn grant(&self, daemon: usize, flaw: Flaw) -> Option<Self> {
        let asked: Vec<usize> = (0..DAEMONS).filter(|d| self.reaches(daemon, *d)).collect();
        let is_enough = asked.len() * 2 > DAEMONS || daemon != OUTSIDE;
        if self.reaches_store(daemon) || !is_enough {
            return None;
        }
        let own = Right::Of(daemon);
        let is_denied = |d: &&usize| self.rights[**d].is_some_and(|r| r != own);
        let is_free = asked.iter().find(is_denied).is_none();
        if !is_free && !matches!(flaw, Flaw::NoClaim | Flaw::GrantsUnasked) {
            return None;
        }
        if flaw == Flaw::GrantsUnasked && self.rights[daemon] == Some(Right::Nobody) {
            return None;
        }
        let before = match flaw {
            Flaw::GrantsAnew => self.unrecorded[daemon],
            _ => self.granted[daemon],
        };
        if before + STEP > allowance::unrecorded_limit(LIMIT) {
            return None;
        }
        let mut next = self.clone();
        for d in asked {
            next.rights[d].get_or_insert(own);
        }
        next.unrecorded[daemon] += STEP;
        next.granted[daemon] += STEP;
        next.held[daemon] += STEP;
        Some(next)
    }

    /// Records everything that a daemon granted; its right stays.
    fn record(&self, daemon: usize) -> Option<Self> {
        if self.unrecorded[daemon] == 0 || !self.reaches_store(daemon) {
            return None;
        }
        let mut next = self.clone();
        next.recorded[daemon] += self.unrecorded[daemon];
        next.unrecorded[daemon] = 0;
        Some(next)
    }

    fn successors(&self, flaw: Flaw) -> Vec<Self> {
        let mut next = Vec::new();
        for daemon in 0..DAEMONS {
            next.extend(self.take(daemon, flaw));
            next.extend(self.agree(daemon, flaw));
            next.extend(self.grant(daemon, flaw));
            next.extend(self.record(daemon));
        }
        next.push(Self {
            is_cut: !self.is_cut,
            ..self.clone()
        });
        next.push(Self {
            is_store_up: !self.is_store_up,
            ..self.clone()
        });
        next
    }

    fn is_exceeded(&self) -> bool {
        self.held.iter().sum::<u64>() > LIMIT
    }
}

fn violation(flaw: Flaw) -> Option<Vec<World>> {
    bfs::bfs(&World::start(), |w| w.successors(flaw), World::is_exceeded)
}

#[test]
fn a_budget_is_never_exceeded() {
    assert_eq!(violation(Flaw::None), None);
}

#[test]
fn every_flaw_is_found() {
    for flaw in [
        Flaw::NoConsent,
        Flaw::ForgetsConsent,
        Flaw::NoClaim,
        Flaw::GrantsUnasked,
        Flaw::GrantsAnew,
    ] {
        assert!(violation(flaw).is_some(), "{flaw:?} was not found");
    }
}

#[test]
fn a_taking_leaves_room_for_others() {
    // A large budget: two turns ahead, then one, then just what is needed.
    assert_eq!(allowance::taking(100, 100, 0, 2_000), 300);
    assert_eq!(allowance::taking(100, 100, 400, 2_000), 200);
    assert_eq!(allowance::taking(100, 100, 700, 2_000), 100);
    // A small one: never more than is needed.
    assert_eq!(allowance::taking(100, 100, 0, 400), 100);
}

#[test]
fn programs_are_forgotten_after_a_while() {
    let program = ProgramKey::from("p");
    let id = TakingId {
        taker: "a".to_owned(),
        number: 1,
    };
    let mut takings = Takings::default();
    takings.apply(&program, id, 5, MonoMs(1_000));
    takings.expire(MonoMs(1_000));
    assert_eq!(takings.total(&program), 5);
    takings.expire(MonoMs(1_001));
    assert_eq!(takings.total(&program), 0);
}
