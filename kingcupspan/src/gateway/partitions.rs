//! What the system keeps in the store: turns and takings of token budgets.
//!
//! A turn lies in a partition chosen by its id, so that whoever knows the id
//! finds it; takings lie in one chosen by their program. A daemon reads a
//! partition on from where it stopped, and only when it needs to.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use async_std::{
    sync::{Mutex as AsyncMutex, MutexGuardArc},
    task,
};
use kingcupspan_core::{
    digest::Digest,
    gateway::{
        allocation::{AllocationId, Allocations},
        call::{ProgramKey, RequestId},
        expiry::TurnExpiry,
        grant::Incarnation,
        history::{Turn, TurnCache},
    },
    id::WallMs,
};
use kingcupspan_platform::store::{self, AppendResponse, Partition, Record};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Clock,
    gateway::{
        group_commit::GroupCommit,
        partition_cursor::PartitionCursor,
        store::{Store, StoreFailure},
    },
};

/// Topics over which records are spread; with the partitions of each this
/// keeps what must be read for one turn or program small.
const TOPICS: usize = 64;

/// Index of the topic with takings, behind those with turns.
const TAKINGS_TOPIC: usize = TOPICS;

/// Turns that are dropped in the call that keeps new ones.
const DROPPED_MAX: usize = 64;

/// Turns that may be dropped before the partition is read for it.
const DROPPED_MIN: usize = 32;

/// Pause after a failed read of the takings.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A record.
#[derive(Debug, Serialize, Deserialize)]
enum Stored {
    /// A turn that was answered whole, and when it was stored.
    Turn(RequestId, Turn, WallMs),

    /// Tokens taken out of a program's budget.
    Taking(ProgramKey, AllocationId, u64),

    /// Nobody grants tokens of the program without a record any more.
    Closed(ProgramKey),
}

/// A partition of the system's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PartitionId {
    /// Index of its topic.
    pub topic: usize,

    /// Number of the partition.
    pub part: u32,
}

/// How far a partition was read.
type Position = Arc<AsyncMutex<PartitionCursor>>;

/// The system's partitions and what was read of them.
pub struct Partitions {
    clock: Clock,
    store: Arc<Store>,
    topics: Arc<[String]>,
    commits: Arc<GroupCommit>,
    parts: u32,
    positions: Mutex<HashMap<PartitionId, Position>>,
    read: Mutex<HashSet<PartitionId>>,
    expiry: Mutex<HashMap<PartitionId, TurnExpiry>>,
    turns: Mutex<TurnCache>,
    takings: Mutex<Allocations>,
}

impl Partitions {
    /// Nothing read yet; `parts` partitions in each topic, `cache_bytes` of
    /// turns in memory.
    pub fn new(store: Arc<Store>, parts: u32, cache_bytes: usize, clock: Clock) -> Self {
        let name = |i| store::keyed_topic(&format!("turns-{i}"));
        let mut topics: Vec<String> = (0..TOPICS).map(name).collect();
        topics.push(store::keyed_topic("takings"));
        let topics: Arc<[String]> = topics.into();
        Self {
            clock,
            commits: Arc::new(GroupCommit::new(Arc::clone(&store), Arc::clone(&topics))),
            store,
            topics,
            parts,
            positions: Mutex::default(),
            read: Mutex::default(),
            expiry: Mutex::default(),
            turns: Mutex::new(TurnCache::new(cache_bytes)),
            takings: Mutex::default(),
        }
    }

    /// Where the takings of a program lie: in one topic, which a daemon can read
    /// whole when it starts.
    pub fn partition_of_program(&self, program: &ProgramKey) -> PartitionId {
        let hash = Digest::of(program.0.as_bytes()).prefix_u64();
        PartitionId {
            topic: TAKINGS_TOPIC,
            part: (hash % u64::from(self.parts)) as u32,
        }
    }

    /// Where a turn lies.
    pub fn partition_of_turn(&self, id: &RequestId) -> PartitionId {
        self.place(&id.0)
    }

    fn place(&self, name: &str) -> PartitionId {
        let hash = Digest::of(name.as_bytes()).prefix_u64();
        PartitionId {
            topic: (hash % TOPICS as u64) as usize,
            part: (hash / TOPICS as u64 % u64::from(self.parts)) as u32,
        }
    }

    fn partition(&self, place: PartitionId) -> Partition<'_> {
        Partition::new(&self.topics[place.topic], place.part)
    }

    /// The chain of turns that ends with `last`, or the turns that are missing.
    pub fn chain(&self, last: &RequestId) -> Result<Vec<Arc<Turn>>, Vec<RequestId>> {
        self.turns.lock().chain(last)
    }

    /// Tokens taken out of a program's budget, as far as was read.
    pub fn total_allocated(&self, program: &ProgramKey) -> u64 {
        self.takings.lock().total_allocated(program)
    }

    /// Whether the takings of a program were read since the start.
    pub fn has_read_allocations(&self, program: &ProgramKey) -> bool {
        self.read
            .lock()
            .contains(&self.partition_of_program(program))
    }

    /// Whether it was announced that nobody grants tokens without a record.
    pub fn grants_disabled(&self, program: &ProgramKey) -> bool {
        self.takings.lock().grants_disabled(program)
    }

    /// Forgets programs of which nothing was read for `span`.
    pub fn expire(&self, span: Duration) {
        self.takings.lock().expire(self.clock.before(span));
    }

    /// Who took how many tokens of a program, as far as was read.
    pub fn allocated_by_daemon(&self, program: &ProgramKey) -> BTreeMap<Incarnation, u64> {
        self.takings.lock().allocated_by_daemon(program)
    }

    /// How long the store has not answered this daemon.
    pub fn store_unreachable_for(&self) -> Option<Duration> {
        self.store.unreachable_for()
    }

    /// Keeps a turn in memory only, for a daemon that cannot reach the store.
    pub fn cache_turn(&self, id: RequestId, turn: Arc<Turn>) {
        self.turns.lock().insert(id, turn);
    }

    /// Those of some turns that are in memory.
    pub fn cached_turns(&self, ids: &[RequestId]) -> Vec<(RequestId, Turn)> {
        let turns = self.turns.lock();
        let found = |id: &RequestId| Some((id.clone(), (**turns.get(id)?).clone()));
        ids.iter().filter_map(found).collect()
    }

    /// Number of turns in memory.
    pub fn cached_turn_count(&self) -> usize {
        self.turns.lock().len()
    }

    /// Keeps turns of one partition; they can be read everywhere once this returns.
    pub async fn store_turns(
        &self,
        place: PartitionId,
        turns: &[(RequestId, Arc<Turn>)],
    ) -> Result<(), StoreFailure> {
        let dropped = self.due(place).await;
        let now = self.clock.wall();
        let record = |(id, turn): &(RequestId, Arc<Turn>)| Record {
            key: turn_key(id),
            value: Some(encode(&Stored::Turn(id.clone(), (**turn).clone(), now))),
        };
        let mut records: Vec<Record> = turns.iter().map(record).collect();
        records.extend(dropped.iter().map(|key| Record {
            key: key.clone(),
            value: None,
        }));
        let appended = self.append(place, &records).await?;
        self.skip_own(place, appended, records.len() as u64);
        for (record, (_, turn)) in records.iter().zip(turns) {
            self.note_stored(place, &record.key, turn, now);
        }
        let mut expiry = self.expiry.lock();
        let expiry = expiry.entry(place).or_default();
        dropped.iter().for_each(|key| expiry.remove(key));
        Ok(())
    }

    fn note_stored(&self, place: PartitionId, key: &str, turn: &Turn, written: WallMs) {
        let now = (self.clock.mono(), self.clock.wall());
        let mut expiry = self.expiry.lock();
        let expiry = expiry.entry(place).or_default();
        expiry.record(key, turn.retention, written, now);
    }

    /// Turns from which another one continues and that must be stored anew for it.
    pub fn turns_to_renew(&self, turn: &Turn) -> Vec<(RequestId, Arc<Turn>)> {
        let now = self.clock.mono();
        let expiry = self.expiry.lock();
        let is_old = |id: &&RequestId| {
            let expiry = expiry.get(&self.partition_of_turn(id));
            expiry.is_some_and(|e| e.needs_renewal(&turn_key(id), turn.retention, now))
        };
        let old: Vec<&RequestId> = turn.ancestors.iter().filter(is_old).collect();
        let turns = self.turns.lock();
        let found = |id: &RequestId| Some((id.clone(), Arc::clone(turns.get(id)?)));
        old.into_iter().filter_map(found).collect()
    }

    /// Keys of turns in a partition that may be dropped, once there are enough of them.
    async fn due(&self, place: PartitionId) -> Vec<String> {
        let due = || {
            let now = self.clock.mono();
            let expiry = self.expiry.lock();
            let due = expiry.get(&place).map(|e| e.due(now, DROPPED_MAX));
            due.filter(|d| d.len() >= DROPPED_MIN).unwrap_or_default()
        };
        // Others may have renewed some.
        if due().is_empty() || self.refresh(place).await.is_err() {
            return Vec::new();
        }
        due()
    }

    /// Records that tokens were taken and reads everything before the record.
    pub async fn allocate(
        &self,
        program: &ProgramKey,
        id: &AllocationId,
        tokens: u64,
    ) -> Result<(), StoreFailure> {
        let (record, taking) = taking_record(program.clone(), id.clone(), tokens);
        self.record(program, record, taking).await
    }

    /// Records takings of several programs without reading what others took.
    pub async fn update_allocations(
        &self,
        takings: Vec<(ProgramKey, AllocationId, u64)>,
    ) -> Result<(), StoreFailure> {
        let appends: Vec<_> = takings
            .into_iter()
            .map(|(program, id, tokens)| {
                let commits = Arc::clone(&self.commits);
                let place = self.partition_of_program(&program);
                let (record, _) = taking_record(program, id, tokens);
                // All are under way before the first is waited for.
                task::spawn(async move { commits.append(place, record).await })
            })
            .collect();
        let mut all = Ok(());
        for append in appends {
            all = append.await.map(|_| ()).and(all);
        }
        all
    }

    /// Announces that nobody grants tokens of a program without a record any more.
    pub async fn disable_offline_grants(&self, program: &ProgramKey) -> Result<(), StoreFailure> {
        let closed = Stored::Closed(program.clone());
        let record = Record {
            key: key(&format!("closed/{program}")),
            value: Some(encode(&closed)),
        };
        self.record(program, record, closed).await
    }

    /// Appends a record on a program and reads everything before it.
    async fn record(
        &self,
        program: &ProgramKey,
        record: Record,
        stored: Stored,
    ) -> Result<(), StoreFailure> {
        let place = self.partition_of_program(program);
        let offset = self.commits.append(place, record).await?;
        self.apply(stored);
        self.read_to(place, offset).await
    }

    async fn append(
        &self,
        place: PartitionId,
        records: &[Record],
    ) -> Result<AppendResponse, StoreFailure> {
        self.store.append(self.partition(place), records).await
    }

    /// Moves the position past records of our own if nothing lies between.
    fn skip_own(&self, place: PartitionId, appended: AppendResponse, records: u64) {
        if let Some(mut position) = self.position(place).try_lock_arc()
            && position.next_offset() == Some(appended.offset)
        {
            position.skip_to(appended.offset + records);
        }
    }

    async fn read_to(&self, place: PartitionId, own: u64) -> Result<(), StoreFailure> {
        let mut position = self.position(place).lock_arc().await;
        match position.next_offset() {
            Some(at) if at > own => Ok(()),
            Some(at) if at == own => {
                position.skip_to(at + 1);
                Ok(())
            }
            _ => self.read_on(place, &mut position).await,
        }
    }

    /// Reads the takings of all programs, however long that takes.
    pub async fn read_allocations(&self) {
        for part in 0..self.parts {
            let topic = TAKINGS_TOPIC;
            while let Err(e) = self.refresh(PartitionId { topic, part }).await {
                log::warn!(error = e.to_string().as_str(); "takings not read yet");
                task::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Reads everything that a partition holds by now.
    pub async fn refresh(&self, place: PartitionId) -> Result<(), StoreFailure> {
        let mut position = self.position(place).lock_arc().await;
        self.read_on(place, &mut position).await
    }

    /// Reads a partition anew, for turns that are no longer in memory.
    pub async fn reload(&self, place: PartitionId) -> Result<(), StoreFailure> {
        let mut position = self.position(place).lock_arc().await;
        position.reset();
        self.read_on(place, &mut position).await
    }

    async fn read_on(
        &self,
        place: PartitionId,
        position: &mut MutexGuardArc<PartitionCursor>,
    ) -> Result<(), StoreFailure> {
        let partition = self.partition(place);
        let advanced = position.advance(&self.store, partition, Duration::ZERO);
        let changes = advanced.await?;
        changes
            .records()
            .iter()
            .for_each(|r| self.apply_record(place, r));
        self.read.lock().insert(place);
        Ok(())
    }

    fn position(&self, place: PartitionId) -> Position {
        Arc::clone(self.positions.lock().entry(place).or_default())
    }

    fn apply_record(&self, place: PartitionId, record: &Record) {
        let Some(value) = &record.value else {
            if let Some(expiry) = self.expiry.lock().get_mut(&place) {
                expiry.remove(&record.key);
            }
            return;
        };
        match rmp_serde::from_slice(value) {
            Ok(stored) => {
                if let Stored::Turn(_, turn, written) = &stored {
                    self.note_stored(place, &record.key, turn, *written);
                }
                self.apply(stored);
            }
            Err(e) => {
                log::error!(key = record.key.as_str(), error = e.to_string().as_str(); "record skipped");
            }
        }
    }

    fn apply(&self, stored: Stored) {
        match stored {
            Stored::Turn(id, turn, _) => self.turns.lock().insert(id, Arc::new(turn)),
            Stored::Taking(program, id, tokens) => {
                self.takings
                    .lock()
                    .apply(&program, id, tokens, self.clock.mono());
            }
            Stored::Closed(program) => self
                .takings
                .lock()
                .disable_offline_grants(&program, self.clock.mono()),
        }
    }
}

fn turn_key(id: &RequestId) -> String {
    key(&format!("turn/{id}"))
}

fn taking_record(program: ProgramKey, id: AllocationId, tokens: u64) -> (Record, Stored) {
    let key = key(&format!("taking/{program}/{}/{}", id.daemon, id.number));
    let taking = Stored::Taking(program, id, tokens);
    let value = Some(encode(&taking));
    (Record { key, value }, taking)
}

/// A key that every path can carry, from a name that callers choose.
fn key(name: &str) -> String {
    hex::encode(&Digest::of(name.as_bytes()).0[..16])
}

/// Records are made of numbers, texts and bytes, which always encode.
fn encode(stored: &Stored) -> Vec<u8> {
    rmp_serde::to_vec(stored).expect("records encode")
}
