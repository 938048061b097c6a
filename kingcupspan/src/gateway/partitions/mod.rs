//! State that the daemons share through the store: turns and allocations of token
//! budgets.
//!
//! A turn lies in a partition chosen by its id, so that every daemon can find it by its
//! id; allocations lie in a partition chosen by their program. A daemon reads a
//! partition from where its last read ended, and only when it needs the records.

mod accounts;
mod streams;
mod turns;

use std::{
    collections::{BTreeMap, HashMap},
    ops::Range,
    sync::Arc,
    time::Duration,
};

use async_std::{
    sync::{Mutex as AsyncMutex, MutexGuardArc},
    task,
};
use futures_lite::FutureExt;
use kingcupspan_core::{
    digest::Digest,
    gateway::{
        allocation::{AllocationId, Allocations, DaemonAllocations, Settlement},
        call::{ProgramKey, RequestId},
        expiry::TurnExpiry,
        fragment::Assembler,
        history::TurnCache,
        incarnation::Incarnation,
        stream_origin::{StreamOrigins, StreamRecord},
    },
    id::MonoMs,
    retry::Backoff,
};
use kingcupspan_platform::{
    settings::StoreSettings,
    store::{self, AppendResponse, Partition, Record, StoreLimits},
};
use parking_lot::Mutex;

pub use self::turns::TurnToStore;
use crate::{
    clock::Clock,
    gateway::{
        group_commit::{GroupCommit, Urgency},
        partition_cursor::PartitionCursor,
        store::{Store, StoreFailure},
        stored_record::{self, StoredRecord},
    },
};

/// Number of topics over which turns are spread. Together with the partitions of each
/// topic this limits the amount of data that is read for one turn or program.
const TURN_TOPICS: usize = 64;

/// Index of the topic that holds allocations, after the topics that hold turns.
const ALLOCATION_TOPIC: usize = TURN_TOPICS;

/// Longest pause after the first failed read of the allocations of several in a row.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest pause after any failed read of the allocations.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(2_400);

/// Identifies a partition of the gateway's own topics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PartitionId {
    /// Index of the topic.
    pub topic_index: usize,

    /// Number of the partition within the topic.
    pub number: u32,
}

/// Read position in a partition, locked while the partition is read.
type SharedCursor = Arc<AsyncMutex<PartitionCursor>>;

/// The gateway's partitions in the store, and the state read from them.
pub struct Partitions {
    clock: Clock,
    store: Arc<Store>,
    topics: Arc<[String]>,
    group_commit: Arc<GroupCommit>,
    partitions_per_topic: u32,
    limits: StoreLimits,
    cursors: Mutex<HashMap<PartitionId, SharedCursor>>,

    /// Partitions that were read completely since the process started, with the start of the
    /// last such read.
    last_reads: Mutex<HashMap<PartitionId, MonoMs>>,

    expiry: Mutex<HashMap<PartitionId, TurnExpiry>>,
    turns: Mutex<TurnCache>,

    /// Fragments of turns of which others have not been read yet.
    fragments: Mutex<Assembler>,

    allocations: Mutex<Allocations>,

    /// Streams that may be continued.
    streams: Mutex<StreamOrigins>,

    /// Number of streams that this daemon has recorded, by number of the partition.
    recorded_streams: Mutex<HashMap<u32, u32>>,
}

impl Partitions {
    /// Creates an empty state; up to `cache_bytes` of turns are held in memory.
    pub fn new(
        store: Arc<Store>,
        settings: &StoreSettings,
        cache_bytes: usize,
        clock: Clock,
    ) -> Self {
        let name = |i| store::keyed_topic(&format!("turns-{i}"));
        let mut topics: Vec<String> = (0..TURN_TOPICS).map(name).collect();
        topics.push(store::keyed_topic("takings"));
        let topics: Arc<[String]> = topics.into();
        Self {
            clock,
            group_commit: Arc::new(GroupCommit::new(
                Arc::clone(&store),
                Arc::clone(&topics),
                settings.limits.call_bytes,
            )),
            store,
            topics,
            partitions_per_topic: settings.partitions,
            limits: settings.limits,
            cursors: Mutex::default(),
            last_reads: Mutex::default(),
            expiry: Mutex::default(),
            turns: Mutex::new(TurnCache::new(cache_bytes)),
            fragments: Mutex::default(),
            allocations: Mutex::default(),
            streams: Mutex::default(),
            recorded_streams: Mutex::default(),
        }
    }

    /// Partition that holds the allocations of a program. All allocations are in one
    /// topic, so that a daemon can read all of them when it starts.
    pub fn partition_of_program(&self, program: &ProgramKey) -> PartitionId {
        let hash = Digest::of(program.0.as_bytes()).prefix_u64();
        PartitionId {
            topic_index: ALLOCATION_TOPIC,
            number: (hash % u64::from(self.partitions_per_topic)) as u32,
        }
    }

    /// Partition that holds a turn.
    pub fn partition_of_turn(&self, id: &RequestId) -> PartitionId {
        self.turn_partition(&id.0)
    }

    /// Maps a name to a partition of the topics that hold turns.
    fn turn_partition(&self, name: &str) -> PartitionId {
        let hash = Digest::of(name.as_bytes()).prefix_u64();
        PartitionId {
            topic_index: (hash % TURN_TOPICS as u64) as usize,
            number: (hash / TURN_TOPICS as u64 % u64::from(self.partitions_per_topic)) as u32,
        }
    }

    /// Partition of the store for a partition id.
    fn store_partition(&self, id: PartitionId) -> Partition<'_> {
        Partition::new(&self.topics[id.topic_index], id.number)
    }

    /// Number of tokens of a program that all daemons together have allocated, according
    /// to the records read so far.
    pub fn total_allocated(&self, program: &ProgramKey) -> u64 {
        self.allocations.lock().total_allocated(program)
    }

    /// Start of the last read of the allocations of a program; `None` since the process started.
    fn last_read(&self, program: &ProgramKey) -> Option<MonoMs> {
        let id = self.partition_of_program(program);
        self.last_reads.lock().get(&id).copied()
    }

    /// Whether allocations of a program are in memory.
    pub fn has_allocations(&self, program: &ProgramKey) -> bool {
        self.allocations.lock().contains(program)
    }

    /// Removes incomplete turns from memory of which no fragment was read within `span`, and
    /// programs that had no record within `span` when their partition was last read; later
    /// records are not known yet.
    pub fn expire(&self, span: Duration) {
        self.fragments.lock().expire(self.clock.before(span));
        let before = |program: &ProgramKey| {
            // A partition that was not read, or is forgotten, will be read as a whole.
            let last_read = self.last_read(program).unwrap_or(self.clock.mono());
            MonoMs(last_read.0.saturating_sub(span.as_millis() as u64))
        };
        self.allocations.lock().expire(before);
        self.streams.lock().expire(self.clock.wall());
    }

    /// Allocations of a program that each daemon has made, according to the records read so
    /// far.
    pub fn allocations_by_daemon(
        &self,
        program: &ProgramKey,
    ) -> BTreeMap<Incarnation, DaemonAllocations> {
        self.allocations.lock().by_daemon(program)
    }

    /// Time for which the store has not responded to this daemon; `None` while it responds.
    pub fn store_unreachable_for(&self) -> Option<Duration> {
        self.store.unreachable_for()
    }

    /// Waits until the store has responded to this daemon after it did not.
    pub async fn wait_for_store(&self) {
        self.store.wait_for_return().await;
    }

    /// Whether the store responds, but so slowly that requests should not wait for it.
    pub fn is_store_slow(&self) -> bool {
        self.store.is_slow()
    }

    /// Records an allocation and reads all records before it; the same call records where the
    /// stream is begun for which the tokens are.
    pub async fn allocate(
        &self,
        program: &ProgramKey,
        id: &AllocationId,
        tokens: u64,
        stream: Option<&StreamRecord>,
    ) -> Result<(), StoreFailure> {
        let (record, allocation) = stored_record::allocation(program.clone(), id.clone(), tokens);
        let mut records = vec![record];
        let partition = self.partition_of_program(program);
        let started_at = self.clock.mono();
        // It counts from now on, so that the records of a call are all known when it has ended.
        self.apply(allocation);
        if let Some(stream) = stream {
            let (record, stream) =
                stored_record::stream(program.clone(), id.clone(), stream.clone());
            self.apply(stream);
            records.push(record);
        }
        let append = self.group_commit.append(partition, records, Urgency::Now);
        let offsets = append.await?;
        self.read_up_to(partition, offsets).await?;
        self.last_reads.lock().insert(partition, started_at);
        Ok(())
    }

    /// Records how many tokens of an allocation were used, without reading other records.
    ///
    /// This daemon counts with them at once: its own records are appended in their order.
    pub async fn settle(
        &self,
        settlement: &Settlement,
        urgency: Urgency,
    ) -> Result<(), StoreFailure> {
        let (records, settled) = stored_record::settlement(settlement);
        self.apply(settled);
        let partition = self.partition_of_program(&settlement.program);
        let appended = self.group_commit.append(partition, records, urgency);
        appended.await.map(|_| ())
    }

    /// Appends the settlements of a program's partition now that wait for a call with others.
    pub fn flush_settlements(&self, program: &ProgramKey) {
        self.group_commit.flush(self.partition_of_program(program));
    }

    /// Reads the allocations of a program that were recorded since the last read.
    pub async fn refresh_program(&self, program: &ProgramKey) -> Result<(), StoreFailure> {
        self.refresh(self.partition_of_program(program)).await
    }

    /// Moves the cursor past records of this daemon if no other records precede them.
    fn skip_own_records(&self, id: PartitionId, appended: AppendResponse, records: u64) {
        if let Some(mut cursor) = self.cursor(id).try_lock_arc()
            && cursor.next_offset() == Some(appended.offset)
        {
            cursor.skip_to(appended.offset + records);
        }
    }

    /// Reads all records before those at `own`, the records of one call of this daemon, which are
    /// known already.
    async fn read_up_to(&self, id: PartitionId, own: Range<u64>) -> Result<(), StoreFailure> {
        let mut cursor = self.cursor(id).lock_arc().await;
        if cursor.next_offset().is_some_and(|next| own.contains(&next)) {
            cursor.skip_to(own.end);
        }
        let has_read = |next: Option<u64>| next.is_some_and(|next| next >= own.end);
        if has_read(cursor.next_offset()) {
            return Ok(());
        }
        self.read_next(id, &mut cursor).await?;
        match has_read(cursor.next_offset()) {
            true => Ok(()),
            false => Err(StoreFailure::EndsEarly(own.end)),
        }
    }

    /// Reads the allocations of all programs, retrying until it succeeds.
    pub async fn read_allocations(&self) {
        for number in 0..self.partitions_per_topic {
            let id = PartitionId {
                topic_index: ALLOCATION_TOPIC,
                number,
            };
            let mut backoff = Backoff::new(RETRY_DELAY, RETRY_DELAY_MAX);
            while let Err(e) = self.refresh(id).await {
                log::warn!(error = e.to_string().as_str(); "failed to read token allocations from the store; retrying");
                let pause = backoff.next_pause(rand::random());
                task::sleep(pause).or(self.wait_for_store()).await;
            }
        }
    }

    /// Reads the records appended to a partition since the last read.
    pub async fn refresh(&self, id: PartitionId) -> Result<(), StoreFailure> {
        let mut cursor = self.cursor(id).lock_arc().await;
        self.read_next(id, &mut cursor).await
    }

    /// Reads a whole partition again, to find turns that were evicted from memory.
    pub async fn reload(&self, id: PartitionId) -> Result<(), StoreFailure> {
        let mut cursor = self.cursor(id).lock_arc().await;
        cursor.reset();
        self.read_next(id, &mut cursor).await
    }

    /// Reads a partition from the cursor on and applies the records.
    async fn read_next(
        &self,
        id: PartitionId,
        cursor: &mut MutexGuardArc<PartitionCursor>,
    ) -> Result<(), StoreFailure> {
        let started_at = self.clock.mono();
        let partition = self.store_partition(id);
        let advanced = cursor.advance(&self.store, partition, |changes| {
            changes
                .records()
                .iter()
                .for_each(|r| self.apply_record(id, r));
        });
        advanced.await?;
        self.last_reads.lock().insert(id, started_at);
        Ok(())
    }

    /// Cursor of a partition.
    fn cursor(&self, id: PartitionId) -> SharedCursor {
        Arc::clone(self.cursors.lock().entry(id).or_default())
    }

    /// Decodes a record and applies it to the state in memory.
    fn apply_record(&self, id: PartitionId, record: &Record) {
        let Some(value) = &record.value else {
            if let Some(expiry) = self.expiry.lock().get_mut(&id) {
                expiry.remove(&record.key);
            }
            return;
        };
        match rmp_serde::from_slice(value) {
            Ok(stored) => {
                match &stored {
                    StoredRecord::Turn(turn_id, turn, written) => {
                        let use_key = stored_record::use_key(turn_id);
                        for key in [&record.key, &use_key] {
                            self.track_expiry(id, key, turn.retention, *written);
                        }
                    }
                    StoredRecord::Fragment(f) => {
                        self.track_expiry(id, &record.key, f.retention, f.written);
                    }
                    _ => {}
                }
                self.apply(stored);
            }
            Err(e) => {
                log::error!(key = record.key.as_str(), error = e.to_string().as_str(); "cannot decode record from the store; skipped");
            }
        }
    }

    /// Applies the content of a record to the state in memory.
    fn apply(&self, stored: StoredRecord) {
        match stored {
            StoredRecord::Turn(id, turn, _) => self.cache_turn(id, Arc::new(turn)),
            StoredRecord::Fragment(fragment) => self.apply_fragment(fragment),
            StoredRecord::Allocation(program, id, tokens) => {
                self.allocations
                    .lock()
                    .apply(&program, id, tokens, self.clock.mono());
            }
            StoredRecord::Stream(_, id, record) => {
                let now = self.clock.wall();
                self.streams.lock().insert(id, record, now);
            }
            // Records of former versions.
            StoredRecord::GrantsDisabled(_) | StoredRecord::Claim(..) => {}
        }
    }
}
