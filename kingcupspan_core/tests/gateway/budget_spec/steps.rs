//! Steps of the model: what turns, daemons and the store may do in a state.

use super::{
    Bounds, DAEMONS, Flaw, MAX_TOKENS, TURNS,
    state::{Daemon, Listing, ModelState, Phase, Stored, daemon_of, program},
};

impl ModelState {
    /// The store executes a call that allocates the tokens of a turn.
    pub(super) fn with_allocation(&self, turn: usize) -> Self {
        let mut next = self.clone();
        next.stored[turn].allocation = Some(MAX_TOKENS);
        next.stored[turn].last = Some(MAX_TOKENS);
        next.note_appended(turn, true, false);
        next
    }

    /// The store executes a call that settles the allocation of a turn.
    pub(super) fn with_settlement(&self, turn: usize, flaw: Flaw) -> Self {
        let mut next = self.clone();
        let tokens = match flaw {
            Flaw::HoldsAhead if self.turns[turn].used > 0 => MAX_TOKENS,
            Flaw::SettlesTooEarly => self.turns[turn].used.saturating_sub(1),
            _ => self.turns[turn].used,
        };
        next.stored[turn] = Stored {
            allocation: None,
            settlement: Some(tokens),
            last: Some(tokens),
        };
        next.note_appended(turn, true, true);
        next
    }

    /// Makes a call, which may get no response or be executed late; `executed` is the state if
    /// it is executed, `answered` if its response arrives as well.
    fn call(
        &self,
        executed: Self,
        answered: Self,
        late: Option<Self>,
        bounds: Bounds,
    ) -> Vec<Self> {
        let mut outcomes = vec![answered];
        if self.lost_calls < bounds.lost_calls {
            outcomes.extend(late.into_iter().chain([executed]).map(|mut s| {
                s.lost_calls += 1;
                s
            }));
        }
        outcomes
    }

    /// Makes a call that allocates the tokens of a turn.
    fn allocate(&self, turn: usize, bounds: Bounds) -> Vec<Self> {
        let mut begun = self.clone();
        begun.turns[turn].run = self.daemons[daemon_of(turn)].run;
        begun.turns[turn].phase = Phase::Requested;
        let mut late = begun.clone();
        late.turns[turn].has_late_call = true;
        let executed = begun.with_allocation(turn);
        let answered = executed.with_phase(turn, Phase::Recorded);
        self.call(executed, answered, Some(late), bounds)
    }

    /// Begins a turn if it fits by what its daemon has read, now or before.
    fn begin(&self, turn: usize, flaw: Flaw, bounds: Bounds) -> Vec<Self> {
        let daemon = daemon_of(turn);
        if !self.reaches_store(daemon) {
            return match flaw {
                Flaw::GrantsOffline => vec![self.with_phase(turn, Phase::Running)],
                _ => Vec::new(),
            };
        }
        if self.fits(&self.daemons[daemon].view, flaw) {
            return self.allocate(turn, bounds);
        }
        let refreshed = self.with_read(daemon, flaw);
        match refreshed.fits(&refreshed.daemons[daemon].view, flaw) {
            true => refreshed.allocate(turn, bounds),
            false => vec![refreshed],
        }
    }

    /// Reads the records before that of a turn and runs it if it is valid.
    fn check(&self, turn: usize, flaw: Flaw) -> Vec<Self> {
        let daemon = daemon_of(turn);
        if flaw == Flaw::RunsUnchecked {
            return vec![self.with_phase(turn, Phase::Running)];
        }
        if !self.reaches_store(daemon) {
            return vec![self.with_phase(turn, Phase::Settling { is_whole: false })];
        }
        let read = self.with_read(daemon, flaw);
        let allocations = read.allocations(&read.daemons[daemon].view);
        match allocations.total_allocated(&program()) <= self.limit(flaw) {
            true => vec![read.with_phase(turn, Phase::Running)],
            false => vec![read.with_phase(turn, Phase::Settling { is_whole: false })],
        }
    }

    /// Continues a running turn: it uses a token, ends or breaks off.
    fn run(&self, turn: usize, flaw: Flaw) -> Vec<Self> {
        let mut next = Vec::new();
        if self.turns[turn].used < MAX_TOKENS {
            let mut using = self.clone();
            using.turns[turn].used += 1;
            next.push(using);
        }
        let whole = match flaw {
            Flaw::EndsBeforeSettling => Phase::Settled { is_whole: true },
            _ => Phase::Settling { is_whole: true },
        };
        next.push(self.with_phase(turn, whole));
        next.push(self.with_phase(turn, Phase::Settling { is_whole: false }));
        next
    }

    /// Makes a call that settles the allocation of a turn.
    fn settle(&self, turn: usize, is_whole: bool, flaw: Flaw, bounds: Bounds) -> Vec<Self> {
        let daemon = daemon_of(turn);
        if !self.reaches_store(daemon) {
            return Vec::new();
        }
        let executed = self.with_settlement(turn, flaw);
        let mut answered = executed.with_phase(turn, Phase::Settled { is_whole });
        let settled = executed.stored[turn].settlement;
        answered.daemons[daemon].view[turn] = settled;
        let mut outcomes = self.call(executed, answered, None, bounds);
        if flaw == Flaw::DeletesBeforeSettling {
            let mut deleted = self.clone();
            deleted.stored[turn].allocation = None;
            deleted.note_appended(turn, true, false);
            outcomes.push(deleted);
        }
        if flaw == Flaw::ReusesSettledAllocation && !is_whole && self.turns[turn].used == 0 {
            outcomes.push(
                self.with_settlement(turn, flaw)
                    .with_phase(turn, Phase::Requested),
            );
        }
        outcomes
    }

    /// Returns the states that follow when a turn goes on.
    fn advance(&self, turn: usize, flaw: Flaw, bounds: Bounds) -> Vec<Self> {
        let reaches_store = self.reaches_store(daemon_of(turn));
        match self.turns[turn].phase {
            Phase::Idle => self.begin(turn, flaw, bounds),
            Phase::Requested => {
                let mut next = vec![self.with_phase(turn, Phase::Settling { is_whole: false })];
                if reaches_store {
                    next.extend(self.allocate(turn, bounds));
                }
                next
            }
            Phase::Recorded => self.check(turn, flaw),
            Phase::Running => self.run(turn, flaw),
            Phase::Settling { is_whole } => self.settle(turn, is_whole, flaw, bounds),
            Phase::Settled { .. } | Phase::Killed => Vec::new(),
        }
    }

    /// Kills daemons and starts them again.
    fn kill(&self, daemons: &[usize]) -> Self {
        let mut next = self.clone();
        next.kills += 1;
        for daemon in daemons {
            next.daemons[*daemon] = Daemon {
                run: self.daemons[*daemon].run + 1,
                ..Daemon::default()
            };
        }
        for (n, turn) in next.turns.iter_mut().enumerate() {
            let is_over = matches!(turn.phase, Phase::Idle | Phase::Settled { .. });
            if daemons.contains(&daemon_of(n)) && !is_over {
                turn.phase = Phase::Killed;
            }
        }
        next
    }

    /// A daemon that has read nothing since its start receives the first page.
    fn list_first_page(&self, daemon: usize) -> Option<Self> {
        let Daemon {
            has_read, listing, ..
        } = self.daemons[daemon];
        if has_read || listing.is_some() || !self.reaches_store(daemon) {
            return None;
        }
        let mut next = self.clone();
        next.daemons[daemon].listing = Some(Listing::first_page(&self.stored));
        Some(next)
    }

    /// Returns the states that follow an event outside of the daemons.
    fn events(&self, bounds: Bounds) -> Vec<Self> {
        let mut next = vec![Self {
            is_store_down: !self.is_store_down,
            ..self.clone()
        }];
        if bounds.has_cuts {
            next.push(Self {
                is_cut: !self.is_cut,
                ..self.clone()
            });
        }
        for turn in (0..TURNS).filter(|t| self.turns[*t].has_late_call) {
            if !self.is_store_down {
                let mut executed = self.with_allocation(turn);
                executed.turns[turn].has_late_call = false;
                next.push(executed);
            }
        }
        if bounds.has_pages {
            next.extend((0..DAEMONS).filter_map(|daemon| self.list_first_page(daemon)));
        }
        if self.kills < bounds.kills {
            next.extend([&[0][..], &[1], &[0, 1]].map(|daemons| self.kill(daemons)));
        }
        next
    }

    /// Returns all states that can follow.
    pub(super) fn successors(&self, flaw: Flaw, bounds: Bounds) -> Vec<Self> {
        let advanced = (0..TURNS).flat_map(|turn| self.advance(turn, flaw, bounds));
        advanced.chain(self.events(bounds)).collect()
    }
}
