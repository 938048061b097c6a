//! Token budgets of the programs whose turns run through this daemon.
//!
//! The tokens that a turn may use are allocated by a record in the store before it runs, and a
//! second record settles the allocation. No tokens are handed out that the store does not know
//! of, and none are held for later turns, so that a daemon that is killed leaves only its turns
//! in flight unknown. The settlement is part of the call that stores a turn which is kept; that
//! of another turn shares a call with later records, and its answer ends before, unless the
//! store is away.

mod holders;
mod reservation;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use futures_lite::FutureExt;
use kingcupspan_core::{
    gateway::{
        allocation::{self, AllocationId, BudgetState, Settlement, TokenBalance},
        call::ProgramKey,
        stream_origin::StreamRecord,
        workspace,
    },
    id::{MonoMs, WallMs},
};
use parking_lot::Mutex;
use rand::Rng;

pub use self::reservation::Reservation;
use crate::{
    clock::Clock,
    gateway::{
        allocation_homes::AllocationHomes, group_commit::Urgency, partitions::Partitions,
        peers::Peers, store::StoreFailure,
    },
};

/// Pause before tokens are looked for again that turns in flight may set free.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Longest pause before a record whose call failed is appended once more.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest time for which other daemons wait for the settlements of a program.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause between checks whether allocations are settled.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(4);

/// Longest time for which a shutdown waits for allocations to be settled.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Error returned when tokens cannot be reserved for a turn.
#[derive(Debug, thiserror::Error)]
pub enum ReserveError {
    /// The program has used up its token budget.
    #[error("token budget is exhausted: {} tokens used, {} reserved, other daemons may hold more: {}",
        .0.used, .0.reserved, .0.is_uncertain
    )]
    Exhausted(TokenBalance),

    /// The remaining tokens are reserved by turns in flight, and none became free before the
    /// deadline.
    #[error("remaining tokens are reserved by other turns: {} tokens used, {} reserved, \
         other daemons may hold more: {}",
        .0.used, .0.reserved, .0.is_uncertain
    )]
    AllReserved(TokenBalance),

    /// The state of the budget is unknown because the store is unavailable.
    #[error("cannot read or allocate the token budget: {0}")]
    StoreUnavailable(#[from] StoreFailure),
}

/// Request of a turn for tokens.
#[derive(Debug, Clone)]
pub struct TokenRequest {
    /// Program of the turn.
    pub program: ProgramKey,

    /// Token budget of the program.
    pub budget: u64,

    /// Maximum number of tokens that the turn may use.
    pub max_tokens: u64,

    /// Time until which the turn can wait for its tokens.
    pub deadline: Instant,

    /// Where the turn's stream is begun, if it may be continued later.
    pub stream: Option<StreamRecord>,
}

/// State of an allocation that is not settled in the store yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OpenAllocation {
    /// The tokens are reserved for a turn in flight.
    Reserved(u64),

    /// The turn has ended; the record of its use is on the way.
    Ended,
}

/// Allocations of one program that this daemon has not settled yet.
type OpenAllocations = HashMap<AllocationId, OpenAllocation>;

/// Token reservations of the turns that run through this daemon.
pub struct Ledger {
    clock: Clock,
    partitions: Arc<Partitions>,
    homes: Arc<AllocationHomes>,
    peers: Arc<Peers>,

    /// Time in the id of the last allocation.
    last_allocation: Mutex<WallMs>,

    /// Allocations by program that are not settled in the store yet.
    open: Mutex<HashMap<ProgramKey, OpenAllocations>>,

    /// Balances of programs that have spent their budgets, and when that was found.
    spent: Mutex<HashMap<ProgramKey, (TokenBalance, MonoMs)>>,
}

impl Ledger {
    /// Creates a ledger without reservations.
    pub fn new(
        partitions: Arc<Partitions>,
        homes: Arc<AllocationHomes>,
        peers: Arc<Peers>,
        clock: Clock,
    ) -> Self {
        Self {
            clock,
            partitions,
            homes,
            peers,
            last_allocation: Mutex::default(),
            open: Mutex::default(),
            spent: Mutex::default(),
        }
    }

    /// Reserves tokens of a program's budget for a turn.
    pub async fn reserve(
        self: &Arc<Self>,
        request: &TokenRequest,
    ) -> Result<Reservation, ReserveError> {
        if let Some(balance) = self.spent_balance(request) {
            return Err(ReserveError::Exhausted(balance));
        }
        let mut reservation = Reservation::new(Arc::clone(self), request);
        loop {
            match self.try_reserve(&mut reservation, request).await {
                Ok(true) => return Ok(reservation),
                // Dropping the last reservation settles it without any use.
                Ok(false) => reservation = Reservation::new(Arc::clone(self), request),
                Err(ReserveError::StoreUnavailable(_)) if may_wait(request) => {
                    let remaining = request.deadline.saturating_duration_since(Instant::now());
                    self.wait_for_store(RETRY_DELAY.min(remaining)).await;
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Allocates the tokens of a reservation; returns false if the reservation must not be used,
    /// since other turns allocated tokens at the same time.
    async fn try_reserve(
        &self,
        reservation: &mut Reservation,
        request: &TokenRequest,
    ) -> Result<bool, ReserveError> {
        while !reservation.is_requested() && !self.fits(request) {
            // Turns may have set tokens free since the last read.
            self.homes.refresh(&request.program).await?;
            if !self.fits(request) {
                self.refuse_or_wait(request).await?;
            }
        }
        let limit = allocation::limit(request.budget, request.max_tokens);
        let is_known_within = reservation.allocate(limit).await?;
        Ok(is_known_within || self.is_within_limit(request))
    }

    /// Whether the tokens of a turn fit into the budget, by the records read so far.
    fn fits(&self, request: &TokenRequest) -> bool {
        let total = self.partitions.total_allocated(&request.program);
        total + request.max_tokens <= allocation::limit(request.budget, request.max_tokens)
    }

    /// Whether all allocations read so far, also that of the turn, fit into the budget.
    fn is_within_limit(&self, request: &TokenRequest) -> bool {
        let total = self.partitions.total_allocated(&request.program);
        total <= allocation::limit(request.budget, request.max_tokens)
    }

    /// Refuses a turn for which there are no tokens, or waits for turns in flight to set some
    /// free.
    async fn refuse_or_wait(&self, request: &TokenRequest) -> Result<(), ReserveError> {
        let balance = self.balance(&request.program).await?;
        if self.fits(request) {
            return Ok(());
        }
        if balance.budget_state(request.budget) == BudgetState::Spent {
            self.note_spent(&request.program, balance);
            return Err(ReserveError::Exhausted(balance));
        }
        if !may_wait(request) {
            return Err(ReserveError::AllReserved(balance));
        }
        // Turns that wait for the same tokens must not go on at the same moment.
        let factor = rand::rng().random_range(0.5..1.0);
        task::sleep(POLL_INTERVAL.mul_f64(factor)).await;
        Ok(())
    }

    /// Balance of a program that has spent the budget of the request, if that is known: what
    /// ended turns have used never becomes free.
    fn spent_balance(&self, request: &TokenRequest) -> Option<TokenBalance> {
        let spent = self.spent.lock();
        let (balance, _) = spent.get(&request.program)?;
        (balance.used > request.budget).then_some(*balance)
    }

    /// Notes what the turns of a program have used, so that further turns are refused without
    /// a call.
    fn note_spent(&self, program: &ProgramKey, balance: TokenBalance) {
        if balance.is_estimated {
            return;
        }
        let noted = (balance, self.clock.mono());
        self.spent.lock().insert(program.clone(), noted);
    }

    /// Forgets budgets that were found spent longer than `span` ago.
    pub fn expire(&self, span: Duration) {
        let before = self.clock.before(span);
        self.spent.lock().retain(|_, (_, at)| *at >= before);
    }

    /// Settles an allocation with the tokens that its turn has used, however long that takes.
    async fn settle(&self, settlement: &Settlement, urgency: Urgency) {
        while let Err(e) = self.homes.settle(settlement, urgency).await {
            let program = workspace::readable(&settlement.program.0);
            log::debug!(program = &*program, error = e.to_string().as_str(); "failed to settle tokens; retrying");
            self.wait_for_store(RETRY_DELAY).await;
        }
        self.forget(&settlement.program, &settlement.id);
    }

    /// Settles the allocations of a program whose turns have ended, so that other daemons can
    /// read what is free.
    pub async fn flush(&self, program: &ProgramKey) {
        let started_at = Instant::now();
        self.partitions.flush_settlements(program);
        while self.has_ended_turns(program) && started_at.elapsed() < FLUSH_TIMEOUT {
            task::sleep(FLUSH_POLL_INTERVAL).await;
        }
    }

    /// Whether allocations of a program are not settled although their turns have ended.
    fn has_ended_turns(&self, program: &ProgramKey) -> bool {
        let open = self.open.lock();
        let of_program = open.get(program);
        of_program.is_some_and(|o| o.values().any(|a| *a == OpenAllocation::Ended))
    }

    /// Notes that the turn of an allocation has ended.
    fn note_ended(&self, program: &ProgramKey, id: &AllocationId) {
        let mut open = self.open.lock();
        let allocation = open.get_mut(program).and_then(|o| o.get_mut(id));
        if let Some(allocation) = allocation {
            *allocation = OpenAllocation::Ended;
        }
    }

    /// Forgets an allocation that is settled in the store.
    fn forget(&self, program: &ProgramKey, id: &AllocationId) {
        let mut open = self.open.lock();
        let Some(of_program) = open.get_mut(program) else {
            return;
        };
        of_program.remove(id);
        if of_program.is_empty() {
            open.remove(program);
        }
    }

    /// Waits until the store responds again, for `max` at most.
    async fn wait_for_store(&self, max: Duration) {
        task::sleep(max).or(self.partitions.wait_for_store()).await;
    }

    /// Waits for allocations to be settled before the process exits.
    pub async fn settle_all(&self) {
        let started_at = Instant::now();
        let is_late = || started_at.elapsed() > SETTLE_TIMEOUT;
        let programs: Vec<ProgramKey> = self.open.lock().keys().cloned().collect();
        for program in &programs {
            self.partitions.flush_settlements(program);
        }
        while !self.open.lock().is_empty() && !is_late() {
            task::sleep(FLUSH_POLL_INTERVAL).await;
        }
        let open: usize = self.open.lock().values().map(HashMap::len).sum();
        if open > 0 {
            log::warn!(open; "token allocations are not settled at the stop; they count as used");
        }
    }

    /// Tokens of a program that turns in flight through this daemon have reserved.
    fn reserved(&self, program: &ProgramKey) -> u64 {
        let open = self.open.lock();
        let tokens = |allocation: &OpenAllocation| match allocation {
            OpenAllocation::Reserved(tokens) => *tokens,
            OpenAllocation::Ended => 0,
        };
        let of_program = open.get(program).into_iter().flat_map(HashMap::values);
        of_program.map(tokens).sum()
    }

    /// Creates an id for a new allocation of this daemon.
    pub fn next_allocation_id(&self) -> AllocationId {
        let mut last = self.last_allocation.lock();
        *last = self.clock.wall().max(WallMs(last.0 + 1));
        AllocationId {
            daemon: self.peers.local.incarnation.clone(),
            made_at: *last,
        }
    }

    /// Notes that an allocation is made for a turn in flight.
    fn note_allocation(&self, program: &ProgramKey, id: &AllocationId, tokens: u64) {
        let mut open = self.open.lock();
        let of_program = open.entry(program.clone()).or_default();
        of_program.insert(id.clone(), OpenAllocation::Reserved(tokens));
    }
}

/// Whether a turn can wait for tokens once more.
fn may_wait(request: &TokenRequest) -> bool {
    Instant::now() + POLL_INTERVAL < request.deadline
}
