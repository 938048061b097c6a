//! Turns on their way to the store.
//!
//! Turns of one partition go one call after another, so that those that come while
//! a call is under way share the next one. While the store is away one partition
//! at a time tries.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{sync::Mutex as AsyncMutex, task};
use kingcupspan_core::gateway::{call::RequestId, history::Turn};
use parking_lot::Mutex;

use crate::gateway::partitions::{PartitionId, Partitions};

/// Pause between attempts at the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How long whoever served a turn has to store it before a keeper of a copy does.
const COPY_DUE_AFTER: Duration = Duration::from_secs(2);

/// Turns in one call to the store.
const BATCH_MAX: usize = 64;

/// A turn that is not stored yet.
struct Pending {
    id: RequestId,
    turn: Arc<Turn>,
    done: async_channel::Sender<()>,
}

/// Turns that this daemon brings to the store.
pub struct Backlog {
    partitions: Arc<Partitions>,

    /// Turns by partition; one with an entry has a task that stores them.
    queues: Mutex<HashMap<PartitionId, Vec<Pending>>>,

    /// Copies kept for other daemons, and when they came.
    copies: Mutex<HashMap<RequestId, (Arc<Turn>, Instant)>>,

    /// Held by the partition that tries while the store is away.
    probe: AsyncMutex<()>,
}

impl Backlog {
    /// Nothing to store yet.
    pub fn new(partitions: Arc<Partitions>) -> Self {
        Self {
            partitions,
            queues: Mutex::default(),
            copies: Mutex::default(),
            probe: AsyncMutex::default(),
        }
    }

    /// Number of turns that are not stored yet.
    pub fn len(&self) -> usize {
        self.queues.lock().values().map(Vec::len).sum()
    }

    /// Whether all turns are stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Brings a turn to the store, however long that takes; the receiver is told.
    pub fn put(self: &Arc<Self>, id: RequestId, turn: Arc<Turn>) -> async_channel::Receiver<()> {
        let (done, stored) = async_channel::bounded(1);
        let place = self.partitions.partition_of_turn(&id);
        let pending = Pending { id, turn, done };
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get_mut(&place) {
            queue.push(pending);
            return stored;
        }
        queues.insert(place, vec![pending]);
        task::spawn(Arc::clone(self).drain(place));
        stored
    }

    /// Keeps a copy for a daemon that brings the turn to the store itself.
    pub fn store_replica(&self, id: RequestId, turn: Arc<Turn>) {
        self.partitions.cache_turn(id.clone(), Arc::clone(&turn));
        self.copies.lock().insert(id, (turn, Instant::now()));
    }

    /// Notes that turns are stored: their copies need not be.
    pub fn remove_replicas(&self, ids: &[RequestId]) {
        let mut copies = self.copies.lock();
        ids.iter().for_each(|id| drop(copies.remove(id)));
    }

    /// Brings copies to the store whose daemon has not done so in time.
    pub fn store_overdue_replicas(self: &Arc<Self>) {
        if self.partitions.store_unreachable_for().is_some() {
            return;
        }
        let due: Vec<_> = {
            let mut copies = self.copies.lock();
            copies
                .extract_if(|_, (_, at)| at.elapsed() > COPY_DUE_AFTER)
                .collect()
        };
        if !due.is_empty() {
            log::info!(turns = due.len(); "storing turns of other daemons");
        }
        for (id, (turn, _)) in due {
            drop(self.put(id, turn));
        }
    }

    /// Stores the turns of a partition until none is left.
    async fn drain(self: Arc<Self>, place: PartitionId) {
        loop {
            let batch = {
                let mut queues = self.queues.lock();
                let Some(queue) = queues.get_mut(&place).filter(|q| !q.is_empty()) else {
                    queues.remove(&place);
                    return;
                };
                let len = queue.len().min(BATCH_MAX);
                queue.drain(..len).collect::<Vec<_>>()
            };
            self.store(place, &batch).await;
            for pending in batch {
                // Nobody waits for a turn that peers keep.
                let _ = pending.done.try_send(());
            }
        }
    }

    async fn store(&self, place: PartitionId, batch: &[Pending]) {
        let turns: Vec<_> = batch
            .iter()
            .map(|p| (p.id.clone(), Arc::clone(&p.turn)))
            .collect();
        let begun = Instant::now();
        let Err(first) = self.partitions.store_turns(place, &turns).await else {
            return;
        };
        log::info!(request = &*turns[0].0.0, turns = turns.len(), error = first.to_string().as_str(); "turns not stored yet");
        loop {
            task::sleep(RETRY_PAUSE).await;
            let _probe = self.probe.lock().await;
            if self.partitions.store_turns(place, &turns).await.is_ok() {
                break;
            }
        }
        let ms = begun.elapsed().as_millis() as u64;
        log::info!(request = &*turns[0].0.0, turns = turns.len(), ms; "turns stored late");
    }
}
