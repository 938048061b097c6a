//! Refusals by caller, so that one look shows whose overload it is.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use derive_more::AddAssign;
use kingcupspan_core::id::CallerId;
use serde::{Deserialize, Serialize};

use crate::{
    daemon::Daemon,
    edge::{peer, problem::Kind},
};

/// Path on which peers tell their refusals.
pub const PATH: &str = "/peer/refusals";

/// How long a peer may take.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests of one caller that were refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, AddAssign, Serialize, Deserialize)]
pub struct RefusalCounts {
    /// Because the caller had too much waiting.
    pub over_share: u64,

    /// Because a budget was spent.
    pub budget: u64,

    /// Because nothing could serve them.
    pub unavailable: u64,

    /// For what was wrong with them.
    pub other: u64,
}

impl RefusalCounts {
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

/// Refusals by caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalsByCaller(pub BTreeMap<CallerId, RefusalCounts>);

impl RefusalsByCaller {
    fn add(&mut self, caller: &CallerId, counts: RefusalCounts) {
        *self.0.entry(caller.clone()).or_default() += counts;
    }
}

/// Refusals at this daemon since its start.
#[derive(Default)]
pub struct State {
    inner: parking_lot::Mutex<RefusalsByCaller>,
}

impl State {
    /// Notes a refusal.
    pub fn record(&self, caller: &CallerId, kind: Kind) {
        self.inner.lock().add(caller, RefusalCounts::single(kind));
    }

    /// The refusals at this daemon.
    pub fn get(&self) -> RefusalsByCaller {
        self.inner.lock().clone()
    }
}

/// The refusals at this daemon and all that answer.
pub async fn fetch_from_all(daemon: &Arc<Daemon>) -> RefusalsByCaller {
    let mut all = daemon.refusals.get();
    for to in daemon.membership.peers(daemon.clock.mono()) {
        let request = peer::ask(&daemon.client, to.addr, PATH, &(), PEER_TIMEOUT);
        let response: Result<RefusalsByCaller, _> = request.await;
        for (caller, counts) in response.unwrap_or_default().0 {
            all.add(&caller, counts);
        }
    }
    all
}
