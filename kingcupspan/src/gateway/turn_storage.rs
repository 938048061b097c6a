//! Keeps a turn before its answer ends.
//!
//! The store keeps it, as a rule within a few milliseconds. While the store does
//! not answer, two peers keep copies and the answer ends; the turn goes to the
//! store as soon as it takes it. Without peers the answer waits for the store.

use std::{sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_core::gateway::{call::RequestId, history::Turn};

use crate::gateway::{
    backlog::Backlog,
    partitions::Partitions,
    peers::{Peer, PeerRequest, PeerResponse, Peers},
};

/// How long the store may take before peers are asked, once and again.
const STORE_PATIENCE: Duration = Duration::from_millis(60);

/// Copies that replace the store for a while.
const COPIES: usize = 2;

/// Who keeps a turn when its answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// The store.
    Stored,

    /// Peers, until the store takes it.
    Replicated,
}

/// Keeps a turn; returns once it can be found by whoever needs it.
pub async fn store_turn(
    backlog: &Arc<Backlog>,
    partitions: &Partitions,
    peers: &Arc<Peers>,
    id: &RequestId,
    turn: Arc<Turn>,
) -> Durability {
    partitions.cache_turn(id.clone(), Arc::clone(&turn));
    for (id, turn) in partitions.turns_to_renew(&turn) {
        // They are stored already: nobody has to wait.
        drop(backlog.put(id, turn));
    }
    let stored = backlog.put(id.clone(), Arc::clone(&turn));
    let mut keepers = Vec::new();
    while future::timeout(STORE_PATIENCE, stored.recv())
        .await
        .is_err()
    {
        copy(peers, id, &turn, &mut keepers).await;
        if keepers.len() >= COPIES {
            log::info!(request = &*id.0; "turn kept by peers until the store takes it");
            task::spawn(tell_keepers(Arc::clone(peers), keepers, stored, id.clone()));
            return Durability::Replicated;
        }
    }
    Durability::Stored
}

/// Tells the keepers of copies once the store has the turn.
async fn tell_keepers(
    peers: Arc<Peers>,
    keepers: Vec<Peer>,
    stored: async_channel::Receiver<()>,
    id: RequestId,
) {
    // An error would mean that the backlog has ended, as it does with the process.
    if stored.recv().await.is_ok() {
        peers
            .send_all(keepers, &PeerRequest::Stored(vec![id]))
            .await;
    }
}

/// Has peers keep copies until there are enough.
async fn copy(peers: &Arc<Peers>, id: &RequestId, turn: &Turn, keepers: &mut Vec<Peer>) {
    let ask = PeerRequest::Keep(id.clone(), turn.clone());
    let mut others = peers.others();
    others.retain(|p| keepers.iter().all(|k| k.vm != p.vm));
    for group in others.chunks(COPIES) {
        let told = peers.send_all(group.to_vec(), &ask).await;
        let kept = told
            .into_iter()
            .filter(|(_, t)| matches!(t, Ok(PeerResponse::Kept)));
        keepers.extend(kept.map(|(peer, _)| peer));
        if keepers.len() >= COPIES {
            return;
        }
    }
}
