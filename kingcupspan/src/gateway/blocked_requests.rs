//! What this daemon knows of requests that crash endpoints.

use std::sync::Arc;

use kingcupspan_core::gateway::strikes::{Crash, Fingerprint, Strikes};
use parking_lot::Mutex;

use crate::{
    clock::Clock,
    gateway::peers::{Ask, Peers},
};

/// Crashes that this daemon has seen or was told of.
pub struct BlockedRequests {
    clock: Clock,
    tracker: Mutex<Strikes>,
}

impl BlockedRequests {
    /// Nothing known yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            tracker: Mutex::default(),
        }
    }

    /// Whether a request must not reach another endpoint.
    pub fn is_blocked(&self, method: &str, target: &str, body: &[u8]) -> bool {
        let tracker = self.tracker.lock();
        !tracker.is_empty() && tracker.bars(Fingerprint::of(method, target, body))
    }

    /// Notes crashes.
    pub fn record(&self, crashes: &[Crash]) {
        let now = self.clock.mono();
        let mut tracker = self.tracker.lock();
        crashes.iter().for_each(|c| tracker.note(c.clone(), now));
    }

    /// Forgets requests without a crash for a while.
    pub fn expire(&self) {
        self.tracker.lock().expire(self.clock.mono());
    }

    /// Notes the crashes that this daemon sees and tells the others, until the
    /// process ends: the request may come again at any of them.
    pub async fn share_crashes(
        self: Arc<Self>,
        peers: Arc<Peers>,
        observed: async_channel::Receiver<Vec<Crash>>,
    ) {
        while let Ok(crashes) = observed.recv().await {
            let endpoint = crashes.first().map_or("-", |c| &*c.endpoint.0);
            log::warn!(endpoint, requests = crashes.len(); "endpoint went down");
            self.record(&crashes);
            peers.ask_all(peers.all(), &Ask::Crashed(crashes)).await;
        }
    }
}
