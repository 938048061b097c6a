//! Turns that are waiting to be written to the store.
//!
//! The turns of one partition are written one call after another, so that turns that
//! arrive while a call is in flight share the next call. While the store is
//! unreachable only one partition at a time retries.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{sync::Mutex as AsyncMutex, task};
use kingcupspan_core::gateway::{call::RequestId, history::Turn};
use parking_lot::Mutex;

use crate::gateway::partitions::{PartitionId, Partitions};

/// Pause between attempts to write to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time that the daemon that served a turn has to store it before a replica holder does.
const REPLICA_OVERDUE_AFTER: Duration = Duration::from_secs(2);

/// Maximum number of turns in one call to the store.
const BATCH_MAX: usize = 64;

/// A turn that is not stored yet.
struct PendingTurn {
    id: RequestId,
    turn: Arc<Turn>,
    done: async_channel::Sender<()>,
}

/// Queues of turns that this daemon writes to the store.
pub struct Backlog {
    partitions: Arc<Partitions>,

    /// Queued turns by partition; a task writes the turns of each partition that has an
    /// entry.
    queues: Mutex<HashMap<PartitionId, Vec<PendingTurn>>>,

    /// Replicas held for other daemons, with the time each one was received.
    replicas: Mutex<HashMap<RequestId, (Arc<Turn>, Instant)>>,

    /// Held by the partition that retries while the store is unreachable.
    retry_lock: AsyncMutex<()>,
}

impl Backlog {
    /// Creates an empty backlog.
    pub fn new(partitions: Arc<Partitions>) -> Self {
        Self {
            partitions,
            queues: Mutex::default(),
            replicas: Mutex::default(),
            retry_lock: AsyncMutex::default(),
        }
    }

    /// Number of turns that are queued.
    pub fn queued_turns(&self) -> usize {
        self.queues.lock().values().map(Vec::len).sum()
    }

    /// Whether turns are queued or held for other daemons.
    pub fn has_unstored_turns(&self) -> bool {
        self.queued_turns() > 0 || !self.replicas.lock().is_empty()
    }

    /// Queues a turn to be written to the store, with unlimited retries; the receiver is
    /// notified once the turn is stored.
    pub fn enqueue(
        self: &Arc<Self>,
        id: RequestId,
        turn: Arc<Turn>,
    ) -> async_channel::Receiver<()> {
        let (done, stored) = async_channel::bounded(1);
        let partition = self.partitions.partition_of_turn(&id);
        let pending = PendingTurn { id, turn, done };
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get_mut(&partition) {
            queue.push(pending);
            return stored;
        }
        queues.insert(partition, vec![pending]);
        task::spawn(Arc::clone(self).drain(partition));
        stored
    }

    /// Holds a replica for a daemon that writes the turn to the store itself.
    pub fn store_replica(&self, id: RequestId, turn: Arc<Turn>) {
        self.partitions.cache_turn(id.clone(), Arc::clone(&turn));
        self.replicas.lock().insert(id, (turn, Instant::now()));
    }

    /// Removes the replicas of turns that are in the store.
    pub fn remove_replicas(&self, ids: &[RequestId]) {
        let mut replicas = self.replicas.lock();
        ids.iter().for_each(|id| drop(replicas.remove(id)));
    }

    /// Queues the replicas of turns that the daemon that served them has not stored in time.
    pub fn store_overdue_replicas(self: &Arc<Self>) {
        if self.partitions.store_unreachable_for().is_some() {
            return;
        }
        let overdue: Vec<_> = {
            let mut replicas = self.replicas.lock();
            replicas
                .extract_if(|_, (_, at)| at.elapsed() > REPLICA_OVERDUE_AFTER)
                .collect()
        };
        if !overdue.is_empty() {
            log::info!(turns = overdue.len(); "writing overdue replicas of other daemons' turns to the store");
        }
        for (id, (turn, _)) in overdue {
            drop(self.enqueue(id, turn));
        }
    }

    /// Writes the turns of a partition until its queue is empty.
    async fn drain(self: Arc<Self>, partition: PartitionId) {
        loop {
            let batch = {
                let mut queues = self.queues.lock();
                let Some(queue) = queues.get_mut(&partition).filter(|q| !q.is_empty()) else {
                    queues.remove(&partition);
                    return;
                };
                let len = queue.len().min(BATCH_MAX);
                queue.drain(..len).collect::<Vec<_>>()
            };
            self.store(partition, &batch).await;
            for pending in batch {
                // Nothing waits for a turn that peers have replicated.
                let _ = pending.done.try_send(());
            }
        }
    }

    /// Writes a batch of turns of one partition, retrying until it succeeds.
    async fn store(&self, partition: PartitionId, batch: &[PendingTurn]) {
        let turns: Vec<_> = batch
            .iter()
            .map(|p| (p.id.clone(), Arc::clone(&p.turn)))
            .collect();
        let started = Instant::now();
        let Err(error) = self.partitions.store_turns(partition, &turns).await else {
            return;
        };
        log::info!(request = &*turns[0].0.0, turns = turns.len(), error = error.to_string().as_str(); "failed to write turns to the store; retrying");
        loop {
            task::sleep(RETRY_DELAY).await;
            let _retry = self.retry_lock.lock().await;
            if self.partitions.store_turns(partition, &turns).await.is_ok() {
                break;
            }
        }
        let ms = started.elapsed().as_millis() as u64;
        log::info!(request = &*turns[0].0.0, turns = turns.len(), ms; "turns written to the store after retries");
    }
}
