//! What this daemon knows of requests that crash endpoints.

use std::sync::Arc;

use kingcupspan_core::gateway::crash_tracker::{Crash, CrashTracker, Fingerprint};
use parking_lot::Mutex;

use crate::{
    clock::Clock,
    gateway::peers::{PeerRequest, Peers},
};

/// Crashes that this daemon has seen or was told of.
pub struct Barred {
    clock: Clock,
    strikes: Mutex<CrashTracker>,
}

impl Barred {
    /// Nothing known yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            strikes: Mutex::default(),
        }
    }

    /// Whether a request must not reach another endpoint.
    pub fn bars(&self, method: &str, target: &str, body: &[u8]) -> bool {
        let strikes = self.strikes.lock();
        !strikes.is_empty() && strikes.is_blocked(Fingerprint::of(method, target, body))
    }

    /// Notes crashes.
    pub fn note(&self, crashes: &[Crash]) {
        let now = self.clock.mono();
        let mut strikes = self.strikes.lock();
        crashes.iter().for_each(|c| strikes.record(c.clone(), now));
    }

    /// Forgets requests without a crash for a while.
    pub fn expire(&self) {
        self.strikes.lock().expire(self.clock.mono());
    }

    /// Notes the crashes that this daemon sees and tells the others, until the
    /// process ends: the request may come again at any of them.
    pub async fn spread(
        self: Arc<Self>,
        peers: Arc<Peers>,
        seen: async_channel::Receiver<Vec<Crash>>,
    ) {
        while let Ok(crashes) = seen.recv().await {
            let endpoint = crashes.first().map_or("-", |c| &*c.endpoint.0);
            log::warn!(endpoint, requests = crashes.len(); "endpoint went down");
            self.note(&crashes);
            peers
                .send_all(peers.others(), &PeerRequest::Crashed(crashes))
                .await;
        }
    }
}
