//! Stores a turn durably before its answer ends.
//!
//! The store normally accepts a turn within a few milliseconds. While the store
//! does not respond, the turn is replicated to two peers, one of them in another failure
//! domain, so that the answer can end; it is written to the store as soon as the store
//! accepts it. Without such peers the answer waits for the store: a turn that only this
//! failure domain holds is lost to the other ones, and for good if the domain fails.

use std::{sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_core::gateway::{call::RequestId, history::Turn};

use crate::gateway::{
    backlog::Backlog,
    partitions::Partitions,
    peers::{Peer, PeerRequest, PeerResponse, Peers},
};

/// Time to wait for the store before each attempt to replicate the turn to peers.
const STORE_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of replicas that make a turn durable while the store does not respond.
const REPLICAS: usize = 2;

/// Where a turn is stored when its answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// The turn is in the store.
    Stored,

    /// Peers hold replicas of the turn until it is in the store.
    Replicated,
}

/// Stores a turn; returns once every daemon can look it up.
pub async fn store_turn(
    backlog: &Arc<Backlog>,
    partitions: &Partitions,
    peers: &Arc<Peers>,
    id: &RequestId,
    turn: Arc<Turn>,
) -> Durability {
    partitions.cache_turn(id.clone(), Arc::clone(&turn));
    for (id, turn) in partitions.turns_to_renew(&turn) {
        // These turns are stored already, so nothing has to wait for their renewal.
        drop(backlog.enqueue(id, turn));
    }
    let stored = backlog.enqueue(id.clone(), Arc::clone(&turn));
    let mut replica_holders = Vec::new();
    while future::timeout(STORE_TIMEOUT, stored.recv()).await.is_err() {
        replicate(peers, id, &turn, &mut replica_holders).await;
        if is_durable(peers, &replica_holders) {
            log::info!(request = &*id.0; "store did not respond in time; turn replicated to peers until it is stored");
            task::spawn(release_replicas(
                Arc::clone(peers),
                replica_holders,
                stored,
                id.clone(),
            ));
            return Durability::Replicated;
        }
    }
    Durability::Stored
}

/// Notifies the replica holders once the turn is in the store.
async fn release_replicas(
    peers: Arc<Peers>,
    replica_holders: Vec<Peer>,
    stored: async_channel::Receiver<()>,
    id: RequestId,
) {
    // Receiving fails only if the backlog is gone, which happens when the process exits.
    if stored.recv().await.is_ok() {
        peers
            .send_all(replica_holders, &PeerRequest::Stored(vec![id]))
            .await;
    }
}

/// Whether the replica holders suffice for the answer to end.
fn is_durable(peers: &Peers, replica_holders: &[Peer]) -> bool {
    let is_elsewhere = |p: &Peer| p.domain != peers.local.domain;
    replica_holders.len() >= REPLICAS
        && (peers.domain_count() == 1 || replica_holders.iter().any(is_elsewhere))
}

/// Sends a turn to further peers until there are enough replica holders.
async fn replicate(
    peers: &Arc<Peers>,
    id: &RequestId,
    turn: &Turn,
    replica_holders: &mut Vec<Peer>,
) {
    let request = PeerRequest::Keep(id.clone(), turn.clone());
    let mut others = peers.others();
    others.retain(|p| replica_holders.iter().all(|h| h.vm != p.vm));
    if replica_holders.len() >= REPLICAS {
        others.retain(|p| p.domain != peers.local.domain);
    }
    for group in others.chunks(REPLICAS) {
        let responses = peers.send_all(group.to_vec(), &request).await;
        let accepted = responses
            .into_iter()
            .filter(|(_, r)| matches!(r, Ok(PeerResponse::Kept)));
        replica_holders.extend(accepted.map(|(peer, _)| peer));
        if is_durable(peers, replica_holders) {
            return;
        }
    }
}
