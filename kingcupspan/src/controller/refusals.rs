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
const PEER_PATIENCE: Duration = Duration::from_millis(500);

/// Requests of one caller that were refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, AddAssign, Serialize, Deserialize)]
pub struct Refused {
    /// Because the caller had too much waiting.
    pub over_share: u64,

    /// Because a budget was spent.
    pub budget: u64,

    /// Because nothing could serve them.
    pub unavailable: u64,

    /// For what was wrong with them.
    pub other: u64,
}

impl Refused {
    fn of(kind: Kind) -> Self {
        let mut refused = Self::default();
        match kind {
            Kind::OverShare => refused.over_share = 1,
            Kind::BudgetExhausted => refused.budget = 1,
            Kind::Unavailable | Kind::OutcomeUnknown | Kind::Moved => refused.unavailable = 1,
            Kind::BadRequest
            | Kind::Unauthorized
            | Kind::Forbidden
            | Kind::NotFound
            | Kind::Conflict
            | Kind::OutOfOrder
            | Kind::TooLarge
            | Kind::SlowRequest
            | Kind::Quarantined => refused.other = 1,
        }
        refused
    }
}

/// Refusals by caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ByCaller(pub BTreeMap<CallerId, Refused>);

impl ByCaller {
    fn add(&mut self, caller: &CallerId, refused: Refused) {
        *self.0.entry(caller.clone()).or_default() += refused;
    }
}

/// Refusals at this daemon since its start.
#[derive(Default)]
pub struct State {
    inner: parking_lot::Mutex<ByCaller>,
}

impl State {
    /// Notes a refusal.
    pub fn note(&self, caller: &CallerId, kind: Kind) {
        self.inner.lock().add(caller, Refused::of(kind));
    }

    /// The refusals at this daemon.
    pub fn get(&self) -> ByCaller {
        self.inner.lock().clone()
    }
}

/// The refusals at this daemon and all that answer.
pub async fn of_fleet(daemon: &Arc<Daemon>) -> ByCaller {
    let mut all = daemon.refusals.get();
    for to in daemon.membership.peers(daemon.clock.mono()) {
        let ask = peer::send(&daemon.client, to.addr, PATH, &(), PEER_PATIENCE);
        let answer: Result<ByCaller, _> = ask.await;
        for (caller, refused) in answer.unwrap_or_default().0 {
            all.add(&caller, refused);
        }
    }
    all
}
