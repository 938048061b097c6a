//! Stores a turn durably before its answer ends.
//!
//! A turn counts from the end of its answer on, and daemons have no disks: whatever is only
//! in their memory is lost if all of them are killed. So the end of an answer waits until
//! the store has acknowledged the turn and each ancestor that has to be renewed for it, for
//! as long as the caller waits.

use std::sync::Arc;

use crate::gateway::{
    backlog::Backlog,
    partitions::{Partitions, TurnToStore},
};

/// Stores a turn; returns once every daemon can look it up, also after a restart of all.
pub async fn store_turn(backlog: &Arc<Backlog>, partitions: &Partitions, turn: TurnToStore) {
    let renewed = partitions.turns_to_renew(&turn.turn);
    let renewed = renewed.into_iter().map(|(id, turn)| TurnToStore {
        id,
        turn,
        settlement: None,
    });
    let turns = renewed.chain([turn]);
    let stored: Vec<_> = turns.map(|turn| backlog.enqueue(turn)).collect();
    for turn in stored {
        // Receiving fails only if the backlog is gone, which happens when the process exits.
        if turn.recv().await.is_err() {
            return futures_lite::future::pending().await;
        }
    }
}
