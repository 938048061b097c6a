//! Counts refused requests by caller, so that an operator can see which caller causes an overload.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use derive_more::AddAssign;
use kingcupspan_core::id::CallerId;
use serde::{Deserialize, Serialize};

use crate::{
    daemon::Daemon,
    edge::{peer, problem::Kind},
};

/// Path that returns a daemon's refusal counts to its peers.
pub const PATH: &str = "/peer/refusals";

/// Timeout of a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of one caller's refused requests, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, AddAssign, Serialize, Deserialize)]
pub struct RefusalCounts {
    /// Requests refused because the caller already had too many calls waiting.
    pub over_share: u64,

    /// Requests refused because a budget was exhausted.
    pub budget: u64,

    /// Requests refused because no daemon or endpoint could serve them.
    pub unavailable: u64,

    /// Requests refused for an error of their own, such as a bad request or a missing permission.
    pub other: u64,
}

impl RefusalCounts {
    /// Counts a single refusal of the given kind.
    fn single(kind: Kind) -> Self {
        let mut counts = Self::default();
        match kind {
            Kind::OverShare => counts.over_share = 1,
            Kind::BudgetExhausted => counts.budget = 1,
            Kind::Unavailable | Kind::OutcomeUnknown | Kind::Moved => counts.unavailable = 1,
            Kind::BadRequest
            | Kind::Unauthorized
            | Kind::Forbidden
            | Kind::NotFound
            | Kind::Conflict
            | Kind::OutOfOrder
            | Kind::TooLarge
            | Kind::SlowRequest
            | Kind::Quarantined => counts.other = 1,
        }
        counts
    }
}

/// Refusal counts by caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalsByCaller(pub BTreeMap<CallerId, RefusalCounts>);

impl RefusalsByCaller {
    fn add(&mut self, caller: &CallerId, counts: RefusalCounts) {
        *self.0.entry(caller.clone()).or_default() += counts;
    }
}

/// Refusals by this daemon since it started.
#[derive(Default)]
pub struct State {
    inner: parking_lot::Mutex<RefusalsByCaller>,
}

impl State {
    /// Records the refusal of a request of `caller`.
    pub fn record(&self, caller: &CallerId, kind: Kind) {
        self.inner.lock().add(caller, RefusalCounts::single(kind));
    }

    /// Returns the refusals by this daemon.
    pub fn get(&self) -> RefusalsByCaller {
        self.inner.lock().clone()
    }
}

/// Adds up the refusals by this daemon and by all peers that respond.
pub async fn fetch_from_all(daemon: &Arc<Daemon>) -> RefusalsByCaller {
    let mut all = daemon.refusals.get();
    for to in daemon.membership.peers(daemon.clock.mono()) {
        let request = peer::send(&daemon.client, to.addr, PATH, &(), PEER_TIMEOUT);
        let response: Result<RefusalsByCaller, _> = request.await;
        for (caller, counts) in response.unwrap_or_default().0 {
            all.add(&caller, counts);
        }
    }
    all
}
