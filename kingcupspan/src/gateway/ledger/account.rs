//! A daemon's account of the token budget of one program, and requests for and reservations of
//! its tokens.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::sync::Mutex as AsyncMutex;
use kingcupspan_core::gateway::{
    allocation::{AllocationId, LocalQuota, TokenBalance},
    call::ProgramKey,
    grant::Incarnation,
};
use parking_lot::Mutex;

use crate::gateway::store::StoreFailure;

/// Pause before all daemons are asked again to disable offline grants, after not all of
/// them agreed.
const AGREEMENT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Error returned when tokens cannot be reserved for a turn.
#[derive(Debug, thiserror::Error)]
pub enum ReserveError {
    /// The program has used up its token budget.
    #[error("token budget is exhausted: {} tokens used, {} reserved, other daemons may hold more: {}",
        .0.used, .0.reserved, .0.is_uncertain
    )]
    Exhausted(TokenBalance),

    /// The remaining tokens are reserved by other turns, or may be held by daemons that
    /// did not respond; none were returned before the deadline.
    #[error("remaining tokens are reserved by other turns: {} tokens used, {} reserved, \
         other daemons may hold more: {}",
        .0.used, .0.reserved, .0.is_uncertain
    )]
    AllReserved(TokenBalance),

    /// The state of the budget is unknown because the store is unavailable.
    #[error("cannot read the token budget: {0}")]
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

    /// Time until which the turn can wait for other turns to return tokens.
    pub deadline: Instant,

    /// Time after the last turn of the program within which the program may continue.
    pub retention: Duration,
}

/// This daemon's state of the token budget of one program.
#[derive(Default)]
pub(super) struct Account {
    pub(super) quota: Mutex<LocalQuota>,

    /// Held by the turn that obtains tokens from the store or from peers.
    pub(super) obtain_lock: AsyncMutex<()>,

    /// Valid allocations of this daemon, with the number of tokens of each.
    pub(super) allocations: Mutex<Vec<(AllocationId, u64)>>,

    /// Allocation whose call failed, with its tokens: the store may have recorded it, now or
    /// later, so that it is made once more under the same id.
    pub(super) unconfirmed: Mutex<Option<(AllocationId, u64)>>,

    /// Tokens that allocations must leave unallocated to cover past offline grants; `None`
    /// until all daemons have disabled offline grants.
    pub(super) grant_reserve: Mutex<Option<u64>>,

    /// Time of the last turn, and the maximum number of tokens that the turn may use.
    pub(super) last_request: Mutex<Option<(Instant, u64)>>,

    /// Other daemons that have held tokens of the program.
    pub(super) quota_holders: Mutex<HashSet<Incarnation>>,

    /// Time at which the daemons were last asked to disable offline grants and not all of
    /// them agreed.
    pub(super) last_disagreement: Mutex<Option<Instant>>,
}

impl Account {
    /// Returns whether to ask all daemons now to disable offline grants.
    pub(super) fn should_request_agreement(&self) -> bool {
        let is_due = |at: Instant| at.elapsed() >= AGREEMENT_RETRY_DELAY;
        self.grant_reserve.lock().is_none() && self.last_disagreement.lock().is_none_or(is_due)
    }
}

/// Tokens reserved for one turn; dropping the reservation makes the unused tokens
/// available to other turns.
pub struct Reservation {
    pub(super) account: Arc<Account>,
    pub(super) max_tokens: u64,

    /// Number of tokens used so far.
    pub used: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.quota.lock().settle(self.max_tokens, self.used);
    }
}
