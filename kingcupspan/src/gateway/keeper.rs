//! Keeps a turn before its answer ends.
//!
//! The store keeps it, as a rule within a few milliseconds. While the store does
//! not answer, two peers keep copies and the answer ends; the turn goes to the
//! store as soon as it takes it. Without peers the answer waits for the store.

use std::{sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_core::gateway::{call::RequestId, history::Turn};

use crate::gateway::{
    partitions::Partitions,
    peers::{Ask, Peers, Tell},
};

/// How long the store may take before peers are asked, once and again.
const STORE_PATIENCE: Duration = Duration::from_millis(60);

/// Copies that replace the store for a while.
const COPIES: usize = 2;

/// Pause between attempts at the store.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Who keeps a turn when its answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kept {
    /// The store.
    ByStore,

    /// Peers, until the store takes it.
    ByPeers,
}

/// Keeps a turn; returns once it can be found by whoever needs it.
pub async fn keep(
    partitions: &Arc<Partitions>,
    peers: &Arc<Peers>,
    id: &RequestId,
    turn: Arc<Turn>,
) -> Kept {
    partitions.keep_copy(id.clone(), Arc::clone(&turn));
    let mut storing = task::spawn(store(Arc::clone(partitions), id.clone(), Arc::clone(&turn)));
    while future::timeout(STORE_PATIENCE, &mut storing).await.is_err() {
        if copy(peers, id, &turn).await {
            log::info!(request = &*id.0; "turn kept by peers until the store takes it");
            return Kept::ByPeers;
        }
    }
    Kept::ByStore
}

/// Brings a turn to the store, however long that takes.
pub async fn store(partitions: Arc<Partitions>, id: RequestId, turn: Arc<Turn>) {
    while let Err(e) = partitions.keep_turn(&id, Arc::clone(&turn)).await {
        log::warn!(request = &*id.0, error = e.to_string().as_str(); "turn not stored yet");
        task::sleep(RETRY_PAUSE).await;
    }
}

/// Has peers keep copies; true if enough of them do.
async fn copy(peers: &Arc<Peers>, id: &RequestId, turn: &Turn) -> bool {
    let ask = Ask::Keep(id.clone(), turn.clone());
    let mut kept = 0;
    for group in peers.all().chunks(COPIES) {
        let told = peers.ask_all(group.to_vec(), &ask).await;
        kept += told
            .iter()
            .filter(|(_, t)| matches!(t, Ok(Tell::Kept)))
            .count();
        if kept >= COPIES {
            return true;
        }
    }
    false
}
