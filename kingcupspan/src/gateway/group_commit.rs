//! Batches appends of few records by partition.
//!
//! The store handles one append at a time in each partition. Appends that arrive
//! while a call is in flight share the next call, so a daemon never has more than one
//! call queued in a partition, however many turns append records.

use std::{
    collections::HashMap,
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_platform::store::{self, Partition, Record};
use parking_lot::Mutex;

use crate::gateway::{
    partitions::PartitionId,
    store::{Store, StoreFailure},
};

/// Maximum number of appends in one call.
const BATCH_MAX: usize = 256;

/// Time without a response after which a call is made through a peer as well. All daemons share
/// a few partitions, whose queues further calls to a slow store would fill; it responds within
/// this time.
const NEXT_PATH_DELAY: Duration = Duration::from_millis(300);

/// Longest time for which records that nobody waits for are held back for a call with others;
/// the platform counts a turn that has ended so recently like one in flight.
const LAZY_DELAY: Duration = Duration::from_millis(800);

/// Whether an append starts a call at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// The records are appended by the next call.
    Now,

    /// The records wait up to [`LAZY_DELAY`] for a call with others.
    Lazy,
}

/// Records that are not stored yet and have to be stored by one call.
struct PendingAppend {
    records: Vec<Record>,

    /// Time at which the records are appended by a call of their own.
    due: Instant,

    done: async_channel::Sender<Result<Range<u64>, StoreFailure>>,
}

/// Appends to one partition that wait for a call.
#[derive(Default)]
struct Queue {
    pending: Vec<PendingAppend>,

    /// Whether a task appends the records.
    has_task: bool,

    /// Start of the last call.
    last_call: Option<Instant>,
}

impl Queue {
    /// Whether a call has to be made now.
    fn is_due(&self) -> bool {
        let now = Instant::now();
        self.pending.iter().any(|p| p.due <= now)
    }
}

/// Queues of records to append to the store.
pub struct GroupCommit {
    store: Arc<Store>,
    topics: Arc<[String]>,

    /// Maximum size of the records in one call, in bytes.
    call_bytes: usize,

    /// Queued records by partition.
    queues: Mutex<HashMap<PartitionId, Queue>>,

    /// Shortest time between the starts of two calls in a partition.
    spacing: Mutex<Duration>,
}

impl GroupCommit {
    /// Creates empty queues; partition ids refer to `topics` by index.
    pub fn new(store: Arc<Store>, topics: Arc<[String]>, call_bytes: usize) -> Self {
        Self {
            store,
            topics,
            call_bytes,
            queues: Mutex::default(),
            spacing: Mutex::default(),
        }
    }

    /// Sets the shortest time between the starts of two calls in a partition.
    pub fn set_spacing(&self, spacing: Duration) {
        *self.spacing.lock() = spacing;
    }

    /// Appends all of the records or none, together with others of their partition, and returns
    /// the offsets of all records of the call.
    pub async fn append(
        self: &Arc<Self>,
        id: PartitionId,
        records: Vec<Record>,
        urgency: Urgency,
    ) -> Result<Range<u64>, StoreFailure> {
        let (done, appended) = async_channel::bounded(1);
        let delay = match urgency {
            Urgency::Now => Duration::ZERO,
            Urgency::Lazy => LAZY_DELAY,
        };
        let due = Instant::now() + delay;
        let pending = PendingAppend { records, due, done };
        self.enqueue(id, pending);
        match urgency {
            Urgency::Now => self.start_if_due(id),
            Urgency::Lazy => {
                let group_commit = Arc::clone(self);
                task::spawn(async move {
                    task::sleep(LAZY_DELAY).await;
                    group_commit.start_if_due(id);
                });
            }
        }
        // The task of a partition reports a result for every record.
        appended
            .recv()
            .await
            .unwrap_or(Err(StoreFailure::Unreachable))
    }

    /// Queues records.
    fn enqueue(&self, id: PartitionId, pending: PendingAppend) {
        let mut queues = self.queues.lock();
        queues.entry(id).or_default().pending.push(pending);
    }

    /// Appends the records of a partition now that wait for a call with others.
    pub fn flush(self: &Arc<Self>, id: PartitionId) {
        if let Some(queue) = self.queues.lock().get_mut(&id) {
            let now = Instant::now();
            queue.pending.iter_mut().for_each(|p| p.due = now);
        }
        self.start_if_due(id);
    }

    /// Starts the task of a partition if a call has to be made now and none is running.
    fn start_if_due(self: &Arc<Self>, id: PartitionId) {
        let mut queues = self.queues.lock();
        let Some(queue) = queues.get_mut(&id) else {
            return;
        };
        if !queue.has_task && queue.is_due() {
            queue.has_task = true;
            task::spawn(Arc::clone(self).drain(id));
        }
    }

    /// Appends the records of a partition until none is due.
    async fn drain(self: Arc<Self>, id: PartitionId) {
        loop {
            task::sleep(self.pause(id)).await;
            let Some(batch) = self.next_batch(id) else {
                return;
            };
            let mut records = Vec::new();
            let mut waiters = Vec::new();
            for pending in batch {
                waiters.push(pending.done);
                records.extend(pending.records);
            }
            let partition = Partition::new(&self.topics[id.topic_index], id.number);
            let append = self
                .store
                .append_on_any_path(partition, &records, NEXT_PATH_DELAY);
            let appended = append.await;
            let len = records.len() as u64;
            let offsets = appended.map(|a| a.offset..a.offset + len);
            for done in waiters {
                // The waiting task may have been cancelled.
                let _ = done.try_send(offsets.clone());
            }
        }
    }

    /// Time until the next call may be made in a partition.
    fn pause(&self, id: PartitionId) -> Duration {
        let queues = self.queues.lock();
        let last_call = queues.get(&id).and_then(|q| q.last_call);
        let since = last_call.map_or(Duration::MAX, |at| at.elapsed());
        self.spacing.lock().saturating_sub(since)
    }

    /// Takes the records of the next call; ends the partition's task if none is due.
    fn next_batch(&self, id: PartitionId) -> Option<Vec<PendingAppend>> {
        let mut queues = self.queues.lock();
        let queue = queues.get_mut(&id)?;
        if !queue.is_due() {
            queue.has_task = false;
            return None;
        }
        let queued = queue.pending.iter().take(BATCH_MAX);
        let max_records = store::records_per_call(queued.flat_map(|p| &p.records), self.call_bytes);
        let mut records = 0;
        let fits = |pending: &&PendingAppend| {
            records += pending.records.len();
            records <= max_records
        };
        let len = queue.pending.iter().take_while(fits).count().max(1);
        queue.last_call = Some(Instant::now());
        Some(queue.pending.drain(..len).collect())
    }
}
