//! Remembers which daemons come before this one in the orders in which daemons become home.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use kingcupspan_core::gateway::workspace::WorkspaceName;
use parking_lot::Mutex;

use crate::gateway::peers::{Peer, Peers};

/// Time for which an order is remembered.
const VALID_FOR: Duration = Duration::from_millis(1_000);

/// Number of daemons before this one that are asked whether they are home.
const MAX_BEFORE: usize = 3;

/// Daemons before this one and when they were determined, by workspace.
#[derive(Default)]
pub struct Ranking(Mutex<HashMap<WorkspaceName, (Instant, Vec<Peer>)>>);

impl Ranking {
    /// The first daemons in a workspace's order, up to this one.
    pub fn before_local(&self, peers: &Peers, workspace: &WorkspaceName) -> Vec<Peer> {
        let mut orders = self.0.lock();
        if let Some((at, before)) = orders.get(workspace)
            && at.elapsed() < VALID_FOR
        {
            return before.clone();
        }
        let before = peers.listed_up_to_local(&workspace.0, MAX_BEFORE);
        orders.insert(workspace.clone(), (Instant::now(), before.clone()));
        before
    }

    /// Forgets orders that are no longer valid.
    pub fn expire(&self) {
        self.0.lock().retain(|_, (at, _)| at.elapsed() < VALID_FOR);
    }
}
