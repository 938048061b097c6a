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

/// Turns of one partition that this daemon writes to the store.
#[derive(Default)]
struct PartitionQueue {
    /// Turns that wait for the next call.
    waiting: Vec<PendingTurn>,

    /// Number of turns in the call in flight.
    in_flight: usize,
}

/// Queues of turns that this daemon writes to the store.
pub struct Backlog {
    partitions: Arc<Partitions>,

    /// Queued turns by partition; a task writes the turns of each partition that has an
    /// entry.
    queues: Mutex<HashMap<PartitionId, PartitionQueue>>,

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

    /// Number of turns that this daemon writes to the store and that are not stored yet.
    pub fn unstored_turns(&self) -> usize {
        let queues = self.queues.lock();
        queues.values().map(|q| q.waiting.len() + q.in_flight).sum()
    }

    /// Whether turns are not stored yet, including those held for other daemons.
    pub fn has_unstored_turns(&self) -> bool {
        self.unstored_turns() > 0 || !self.replicas.lock().is_empty()
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
            queue.waiting.push(pending);
            return stored;
        }
        let queue = PartitionQueue {
            waiting: vec![pending],
            in_flight: 0,
        };
        queues.insert(partition, queue);
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
        while let Some(batch) = self.next_batch(partition) {
            self.store(partition, &batch).await;
            for pending in batch {
                // Nothing waits for a turn that peers have replicated.
                let _ = pending.done.try_send(());
            }
        }
    }

    /// Takes the turns of the next call; removes the queue if it is empty.
    fn next_batch(&self, partition: PartitionId) -> Option<Vec<PendingTurn>> {
        let mut queues = self.queues.lock();
        let queue = queues.get_mut(&partition)?;
        queue.in_flight = queue.waiting.len().min(BATCH_MAX);
        if queue.in_flight == 0 {
            queues.remove(&partition);
            return None;
        }
        Some(queue.waiting.drain(..queue.in_flight).collect())
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
