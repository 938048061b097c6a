//! A daemon's account of the token budget of one program, and reservations from it.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::sync::Mutex as AsyncMutex;
use kingcupspan_core::gateway::{
    allocation::{AllocationId, LocalQuota},
    grant::Incarnation,
};
use parking_lot::Mutex;

/// Pause before all daemons are asked again to disable offline grants, after not all of
/// them agreed.
const AGREEMENT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// This daemon's state of the token budget of one program.
#[derive(Default)]
pub(super) struct Account {
    pub(super) quota: Mutex<LocalQuota>,

    /// Held by the turn that obtains tokens from the store or from peers.
    pub(super) obtain_lock: AsyncMutex<()>,

    /// Valid allocations of this daemon, with the number of tokens of each.
    pub(super) allocations: Mutex<Vec<(AllocationId, u64)>>,

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
