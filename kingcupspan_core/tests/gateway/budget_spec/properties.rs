//! Properties that hold in each state.

use kingcupspan_core::{
    gateway::allocation::{self, BudgetState, HolderState, TokenBalance},
    id::WallMs,
};

use super::{
    BUDGET_TOKENS, DAEMONS, Flaw, MAX_TOKENS, TURNS,
    state::{ModelState, Phase, daemon_of, incarnation, program},
};

impl ModelState {
    /// Whether callers have got more tokens than the limit.
    pub(super) fn is_exceeded(&self) -> bool {
        let used: u64 = self.turns.iter().map(|t| t.used).sum();
        used > allocation::limit(BUDGET_TOKENS, MAX_TOKENS)
    }

    /// The state once the store is back and all daemons have settled what is not in flight.
    fn recovered(&self, flaw: Flaw) -> Self {
        let mut next = self.clone();
        for turn in 0..TURNS {
            let phase = self.turns[turn].phase;
            if matches!(
                phase,
                Phase::Requested | Phase::Recorded | Phase::Settling { .. }
            ) {
                let is_whole = phase == Phase::Settling { is_whole: true };
                next = next.with_settlement(turn, flaw);
                next.turns[turn].phase = Phase::Settled { is_whole };
            }
        }
        (0..DAEMONS).fold(next, |next, daemon| next.with_read(daemon, flaw))
    }

    /// Largest number of tokens that a turn may count with.
    fn expected(&self, turn: usize) -> u64 {
        match self.turns[turn].phase {
            Phase::Idle => 0,
            Phase::Running | Phase::Killed => MAX_TOKENS,
            _ => self.turns[turn].used,
        }
    }

    /// What a daemon tells the turns that lack tokens.
    fn budget_state(&self, daemon: usize, flaw: Flaw) -> BudgetState {
        let allocations = self.allocations(&self.daemons[daemon].view);
        let mut balance = TokenBalance::default();
        for (holder, allocated) in allocations.by_daemon(&program()) {
            let runs = (0..DAEMONS).find(|d| incarnation(*d, self.daemons[*d].run) == holder);
            let state = match runs {
                Some(holder) => HolderState::Reserves(self.reserved(holder)),
                None if flaw == Flaw::WaitsForEnded => HolderState::Silent,
                None => HolderState::Ended,
            };
            balance.add(&allocated, state, WallMs(0));
        }
        balance.budget_state(BUDGET_TOKENS)
    }

    /// Tokens reserved for the running turns of a daemon.
    fn reserved(&self, daemon: usize) -> u64 {
        let is_running =
            |t: &usize| daemon_of(*t) == daemon && self.turns[*t].phase == Phase::Running;
        (0..TURNS).filter(is_running).count() as u64 * MAX_TOKENS
    }

    /// Whether a turn that fits would not get its tokens once the store is back, or one that
    /// does not would be told to wait although no turn is in flight.
    pub(super) fn is_stuck(&self, flaw: Flaw) -> bool {
        let recovered = self.recovered(flaw);
        let expected: u64 = (0..TURNS).map(|t| recovered.expected(t)).sum();
        let should_fit = expected + MAX_TOKENS <= allocation::limit(BUDGET_TOKENS, MAX_TOKENS);
        let is_idle = recovered.turns.iter().all(|t| t.phase != Phase::Running);
        (0..DAEMONS).any(|daemon| {
            let fits = recovered.fits(&recovered.daemons[daemon].view, flaw);
            let is_refused = should_fit && !fits;
            let waits = recovered.budget_state(daemon, flaw) == BudgetState::Undetermined;
            is_refused || (is_idle && !fits && waits)
        })
    }
}
