//! Blocks requests that have crashed endpoints, and shares crash reports with the other
//! daemons.

use std::sync::Arc;

use kingcupspan_core::gateway::{
    crash_tracker::{Crash, CrashTracker, Fingerprint},
    workspace::WorkspaceName,
};
use parking_lot::Mutex;

use crate::{
    clock::Clock,
    gateway::peers::{PeerRequest, Peers},
};

/// Tracks crashes that this daemon observed or that other daemons reported, and blocks
/// the requests that caused them.
pub struct BlockedRequests {
    clock: Clock,
    tracker: Mutex<CrashTracker>,
}

impl BlockedRequests {
    /// Creates a tracker without crashes.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            tracker: Mutex::default(),
        }
    }

    /// Returns whether a request is blocked because it crashed too many endpoints.
    pub fn is_blocked(
        &self,
        workspace: Option<&WorkspaceName>,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> bool {
        let tracker = self.tracker.lock();
        let fingerprint = || Fingerprint::of(method, target, body).within(workspace);
        !tracker.is_empty() && tracker.is_blocked(fingerprint())
    }

    /// Records crashes.
    pub fn record(&self, crashes: &[Crash]) {
        let now = self.clock.mono();
        let mut tracker = self.tracker.lock();
        crashes.iter().for_each(|c| tracker.record(c.clone(), now));
    }

    /// Removes requests that have not crashed an endpoint recently.
    pub fn expire(&self) {
        self.tracker.lock().expire(self.clock.mono());
    }

    /// Records the crashes that this daemon observes and reports them to the other daemons,
    /// since the request may be retried at any of them.
    ///
    /// Runs until the process ends.
    pub async fn share_crashes(
        self: Arc<Self>,
        peers: Arc<Peers>,
        observed: async_channel::Receiver<Vec<Crash>>,
    ) {
        while let Ok(crashes) = observed.recv().await {
            let endpoint = crashes.first().map_or("-", |c| &*c.endpoint.0);
            log::warn!(endpoint, requests = crashes.len(); "endpoint crashed while running requests");
            self.record(&crashes);
            peers
                .send_all(peers.others(), &PeerRequest::Crashed(crashes))
                .await;
        }
    }
}
