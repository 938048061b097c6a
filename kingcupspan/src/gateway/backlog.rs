//! Turns that are waiting to be written to the store.
//!
//! The turns of one partition are written one call after another, so that turns that
//! arrive while a call is in flight share the next call. While the store is
//! unreachable only one partition at a time retries.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_std::{
    sync::{Mutex as AsyncMutex, MutexGuard as AsyncMutexGuard},
    task,
};
use futures_lite::FutureExt;
use kingcupspan_core::gateway::{turn_queue::TurnQueue, workspace};
use parking_lot::Mutex;

use crate::gateway::{
    partitions::{PartitionId, Partitions, TurnToStore},
    store::StoreFailure,
};

/// Longest pause between attempts to write to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of turns in one call to the store.
const BATCH_MAX: usize = 64;

/// A turn that is not stored yet.
struct PendingTurn {
    turn: TurnToStore,
    done: async_channel::Sender<()>,
}

/// Queues of turns that this daemon writes to the store.
pub struct Backlog {
    partitions: Arc<Partitions>,

    /// Queued turns by partition; a task writes the turns of each partition that has an
    /// entry.
    queues: Mutex<HashMap<PartitionId, TurnQueue<PendingTurn>>>,

    /// Held by the partition that retries while the store is unreachable.
    retry_lock: AsyncMutex<()>,
}

impl Backlog {
    /// Creates an empty backlog.
    pub fn new(partitions: Arc<Partitions>) -> Self {
        Self {
            partitions,
            queues: Mutex::default(),
            retry_lock: AsyncMutex::default(),
        }
    }

    /// Number of turns that this daemon writes to the store and that are not stored yet.
    pub fn unstored_turns(&self) -> usize {
        self.queues.lock().values().map(TurnQueue::len).sum()
    }

    /// Queues a turn to be written to the store; the receiver is notified once the turn is
    /// stored. Dropping the receiver removes a turn that is not being written yet.
    pub fn enqueue(self: &Arc<Self>, turn: TurnToStore) -> async_channel::Receiver<()> {
        let (done, stored) = async_channel::bounded(1);
        let partition = self.partitions.partition_of_turn(&turn.id);
        let mut queues = self.queues.lock();
        let has_task = queues.contains_key(&partition);
        let queue = queues.entry(partition).or_default();
        queue.push(PendingTurn { turn, done });
        if !has_task {
            task::spawn(Arc::clone(self).drain(partition));
        }
        stored
    }

    /// Writes the turns of a partition until its queue is empty.
    async fn drain(self: Arc<Self>, partition: PartitionId) {
        let mut has_failed = false;
        loop {
            let retry = match has_failed {
                true => self.wait_for_retry().await,
                false => None,
            };
            let Some(batch) = self.next_batch(partition) else {
                return;
            };
            let first = batch[0].turn.id.clone();
            let error = self.write(partition, batch).await.err();
            if let Some(e) = error.as_ref().filter(|_| !has_failed) {
                log::info!(request = &*workspace::readable(&first.0), error = e.to_string().as_str(); "failed to write turns to the store; the ends of their answers wait for another attempt");
            }
            has_failed = error.is_some();
            drop(retry);
        }
    }

    /// Waits until a failed call may be made again; the guard is held until it has ended.
    async fn wait_for_retry(&self) -> Option<AsyncMutexGuard<'_, ()>> {
        let store_returned = self.partitions.wait_for_store();
        task::sleep(RETRY_DELAY).or(store_returned).await;
        let retry = self.retry_lock.lock().await;
        self.partitions.store_unreachable_for().map(|_| retry)
    }

    /// Takes the turns of the next call; removes the queue if it is empty.
    fn next_batch(&self, partition: PartitionId) -> Option<Vec<PendingTurn>> {
        let mut queues = self.queues.lock();
        let queue = queues.get_mut(&partition)?;
        let batch = queue.next_batch(BATCH_MAX, |p| !p.done.is_closed());
        if batch.is_empty() {
            queues.remove(&partition);
            return None;
        }
        Some(batch)
    }

    /// Writes a batch of turns of one partition; the turns of a failed call wait for the next.
    async fn write(
        &self,
        partition: PartitionId,
        batch: Vec<PendingTurn>,
    ) -> Result<(), StoreFailure> {
        let turns: Vec<_> = batch.iter().map(|p| p.turn.clone()).collect();
        let written = self.partitions.store_turns(partition, &turns).await;
        let mut queues = self.queues.lock();
        let queue = queues.entry(partition).or_default();
        if written.is_err() {
            queue.failed(batch);
            return written;
        }
        for pending in queue.acknowledged(batch) {
            let TurnToStore { id, turn, .. } = pending.turn;
            self.partitions.cache_turn(id, turn);
            // The caller may have left meanwhile.
            let _ = pending.done.try_send(());
        }
        Ok(())
    }
}
