//! Remembers in which order daemons become home of a workspace.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use kingcupspan_core::gateway::workspace::WorkspaceName;
use parking_lot::Mutex;

use super::HOMES_ASKED;
use crate::gateway::peers::{Peer, Peers};

/// Time for which an order is remembered.
const VALID_FOR: Duration = Duration::from_millis(1_000);

/// Orders of the daemons of one failure domain, by workspace, and when they were determined.
#[derive(Default)]
pub struct Ranking(Mutex<HashMap<WorkspaceName, (Instant, Vec<Peer>)>>);

impl Ranking {
    /// The first daemons of a failure domain in a workspace's order.
    pub fn ranked(&self, peers: &Peers, domain: &str, workspace: &WorkspaceName) -> Vec<Peer> {
        let mut orders = self.0.lock();
        if let Some((at, ranked)) = orders.get(workspace)
            && at.elapsed() < VALID_FOR
        {
            return ranked.clone();
        }
        let ranked = peers.ranked_in_domain(domain, &workspace.0, HOMES_ASKED);
        orders.insert(workspace.clone(), (Instant::now(), ranked.clone()));
        ranked
    }

    /// Forgets an order, since a daemon in it did not respond.
    pub fn forget(&self, workspace: &WorkspaceName) {
        self.0.lock().remove(workspace);
    }

    /// Forgets orders that are no longer valid.
    pub fn expire(&self) {
        self.0.lock().retain(|_, (at, _)| at.elapsed() < VALID_FOR);
    }
}
