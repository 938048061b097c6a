//! Appends of single records, gathered by partition.
//!
//! Answers a store that takes one append at a time in each partition: while a call
//! is under way the records that come share the next one, so that a daemon never
//! has more than one call waiting in a partition, however many turns ask.

use std::{collections::HashMap, sync::Arc};

use async_std::task;
use kingcupspan_platform::store::{Partition, Record};
use parking_lot::Mutex;

use crate::gateway::{
    partitions::PartitionId,
    store::{Store, StoreFailure},
};

/// Records in one call.
const BATCH_MAX: usize = 256;

/// A record that is not stored yet.
struct Waiting {
    record: Record,
    done: async_channel::Sender<Result<u64, StoreFailure>>,
}

/// Records on their way to the store.
pub struct GroupCommit {
    store: Arc<Store>,
    topics: Arc<[String]>,

    /// Records by partition; one with an entry has a task that appends them.
    queues: Mutex<HashMap<PartitionId, Vec<Waiting>>>,
}

impl GroupCommit {
    /// Nothing to append yet; places are partitions of `topics`.
    pub fn new(store: Arc<Store>, topics: Arc<[String]>) -> Self {
        Self {
            store,
            topics,
            queues: Mutex::default(),
        }
    }

    /// Appends a record with others of its partition; its offset.
    pub async fn append(
        self: &Arc<Self>,
        place: PartitionId,
        record: Record,
    ) -> Result<u64, StoreFailure> {
        let (done, appended) = async_channel::bounded(1);
        self.put(place, Waiting { record, done });
        // The task that appends a partition's records ends only when all are done.
        appended
            .recv()
            .await
            .unwrap_or(Err(StoreFailure::Unreachable))
    }

    fn put(self: &Arc<Self>, place: PartitionId, waiting: Waiting) {
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get_mut(&place) {
            queue.push(waiting);
            return;
        }
        queues.insert(place, vec![waiting]);
        task::spawn(Arc::clone(self).drain(place));
    }

    async fn drain(self: Arc<Self>, place: PartitionId) {
        while let Some(batch) = self.next_batch(place) {
            let (records, waiting): (Vec<_>, Vec<_>) =
                batch.into_iter().map(|w| (w.record, w.done)).unzip();
            let partition = Partition::new(&self.topics[place.topic], place.part);
            let appended = self.store.append(partition, &records).await;
            for (i, done) in waiting.into_iter().enumerate() {
                let result = appended.as_ref().map(|a| a.offset + i as u64);
                // Whoever asked may have gone.
                let _ = done.try_send(result.map_err(Clone::clone));
            }
        }
    }

    /// The records for the next call; none if the partition has no more.
    fn next_batch(&self, place: PartitionId) -> Option<Vec<Waiting>> {
        let mut queues = self.queues.lock();
        let queue = queues.get_mut(&place)?;
        if queue.is_empty() {
            queues.remove(&place);
            return None;
        }
        let len = queue.len().min(BATCH_MAX);
        Some(queue.drain(..len).collect())
    }
}
