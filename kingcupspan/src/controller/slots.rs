//! Slots: follow their streams, append what their owner proposes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use async_std::{future, task};
use event_listener::Event;
use futures_lite::FutureExt;
use kingcupspan_core::{
    id::{MonoMs, Offset, ProgramId, Seq, Slot, Writer},
    owner::{self, Owner},
    record::{Batch, Entry, Record},
    slot::{self, Claim, Reader, Refusal},
};

use crate::{
    daemon::Daemon,
    edge::{
        peer::{self, Copied},
        platform::LogError,
    },
};

/// Records in one append.
const BATCH_MAX: usize = 512;

/// How long a read of the log waits for records.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// Pause after a failed request to the log.
const LOG_BACKOFF: Duration = Duration::from_millis(100);

/// How long an appended batch may take to be read back before it is sent again.
const READ_BACK_MAX: Duration = Duration::from_millis(1_000);

/// How long a peer may take to keep or return copies.
const COPY_PATIENCE: Duration = Duration::from_millis(500);

/// Snapshots in the time that the log keeps a record.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// A slot with its own lock.
pub struct Cell {
    /// The slot.
    pub slot: Slot,

    inner: parking_lot::Mutex<Inner>,

    /// Signalled whenever the state may have changed.
    changed: Event,

    /// Signalled when there is something to append.
    proposed: Event,
}

/// What a daemon is to a slot.
pub enum Role {
    /// It folds the stream.
    Following(Reader),

    /// It owns the slot; until `serving` it still gathers copies from peers.
    Owning {
        /// The owner's side of the slot.
        owner: Box<Owner>,

        /// Whether calls are taken.
        serving: bool,
    },
}

struct Inner {
    role: Role,
    next: Offset,
    read_at: Option<MonoMs>,
    replaced: Option<Claim>,
    handing_over: bool,
    snapshot_at: MonoMs,
    lost: Option<Offset>,
    copied: Seq,
    copies: BTreeMap<(Offset, Seq), (Writer, Entry)>,
    running: BTreeSet<ProgramId>,
}

/// Why a proposed record did not become durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// Another daemon owns the slot.
    #[error("the slot is owned by another daemon")]
    Lost,

    /// It is not durable in time, but may still become so.
    #[error("the record is not durable in time")]
    TimedOut,
}

/// How durable a record has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// On the log, or kept by peers while the log is away.
    LogOrCopies,

    /// On the log.
    Log,
}

/// A proposed record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proposed {
    /// Fencing number of the owner.
    pub epoch: Offset,

    /// The record's number.
    pub seq: Seq,
}

/// Why a record was not proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This daemon does not serve the slot.
    #[error("the slot is owned by another daemon")]
    NotServing,

    /// The state does not allow it.
    #[error(transparent)]
    Refused(#[from] Refusal),
}

/// State of a slot for the dump.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Summary {
    /// The slot.
    pub slot: Slot,

    /// `following`, `waiting for a snapshot`, `gathering copies` or `owning`.
    pub role: &'static str,

    /// The claim in force.
    pub claim: Option<Claim>,

    /// Next offset to read.
    pub next: Offset,

    /// Records that are not on the log.
    pub pending: usize,

    /// Copies kept for other owners.
    pub copies: usize,

    /// Open programs.
    pub programs: usize,
}

impl Cell {
    /// A slot whose stream has not been read.
    pub fn new(slot: Slot) -> Self {
        Self {
            slot,
            inner: parking_lot::Mutex::new(Inner {
                role: Role::Following(Reader::new(Offset(0))),
                next: Offset(0),
                read_at: None,
                replaced: None,
                handing_over: false,
                snapshot_at: MonoMs(0),
                lost: None,
                copied: Seq(0),
                copies: BTreeMap::new(),
                running: BTreeSet::new(),
            }),
            changed: Event::new(),
            proposed: Event::new(),
        }
    }

    fn stream(&self) -> String {
        format!("slot-{}", self.slot)
    }

    /// Runs `f` on the folded state, if it is whole.
    pub fn with_state<R>(&self, f: impl FnOnce(&slot::SlotState) -> R) -> Option<R> {
        let inner = self.inner.lock();
        match &inner.role {
            Role::Following(reader) => reader.state().map(f),
            Role::Owning { owner, .. } => Some(f(owner.state())),
        }
    }

    /// Runs `f` on the owner's side if this daemon serves the slot.
    pub fn with_owner<R>(&self, f: impl FnOnce(&Owner) -> R) -> Option<R> {
        let inner = self.inner.lock();
        match &inner.role {
            Role::Owning {
                owner,
                serving: true,
            } => Some(f(owner)),
            _ => None,
        }
    }

    /// The claim in force.
    pub fn claim(&self) -> Option<Claim> {
        self.with_state(|s| s.claim.clone()).flatten()
    }

    /// Whether new calls have to wait for a handover.
    pub fn is_handing_over(&self) -> bool {
        self.inner.lock().handing_over
    }

    /// Proposes a record.
    pub fn propose(&self, record: Record) -> Result<Proposed, ProposeError> {
        let mut inner = self.inner.lock();
        let Role::Owning {
            owner,
            serving: true,
        } = &mut inner.role
        else {
            return Err(ProposeError::NotServing);
        };
        let seq = owner.propose(record)?;
        let epoch = owner.epoch();
        drop(inner);
        self.proposed.notify(usize::MAX);
        Ok(Proposed { epoch, seq })
    }

    /// Waits until a proposed record is durable.
    pub async fn commit(
        &self,
        proposed: Proposed,
        durability: Durability,
        patience: Duration,
    ) -> Result<(), CommitError> {
        let done = self.wait(patience, || {
            let inner = self.inner.lock();
            match &inner.role {
                Role::Owning { owner, .. } if owner.epoch() == proposed.epoch => {
                    let durable = match durability {
                        Durability::Log => owner.committed(),
                        Durability::LogOrCopies => owner.committed().max(inner.copied),
                    };
                    (durable >= proposed.seq).then_some(Ok(()))
                }
                _ => Some(Err(CommitError::Lost)),
            }
        });
        done.await.unwrap_or(Err(CommitError::TimedOut))
    }

    /// Waits until `ready` returns something; it is asked after each change.
    pub async fn wait<R>(
        &self,
        patience: Duration,
        mut ready: impl FnMut() -> Option<R>,
    ) -> Option<R> {
        if let Some(result) = ready() {
            return Some(result);
        }
        let waiting = async {
            loop {
                let changed = self.changed.listen();
                if let Some(result) = ready() {
                    return result;
                }
                changed.await;
            }
        };
        future::timeout(patience, waiting).await.ok()
    }

    /// Wakes all who wait for a change.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Folds a batch read from the log, or acknowledged at the next offset.
    fn fold(&self, offset: Offset, batch: &Batch, me: &Writer, now: MonoMs) {
        let mut inner = self.inner.lock();
        if offset != inner.next {
            return;
        }
        inner.next = offset.next();
        inner.fold(offset, batch, me, now);
        drop(inner);
        self.notify();
    }

    /// Begins anew at the oldest record that the log keeps.
    fn restart(&self, oldest: Offset) {
        let mut inner = self.inner.lock();
        if let Role::Owning { .. } = inner.role {
            // An owner's own state is whole; it only skips what has expired.
            inner.next = inner.next.max(oldest);
            return;
        }
        let whole = matches!(&inner.role, Role::Following(r) if r.state().is_some());
        if whole && oldest <= inner.next {
            return;
        }
        inner.role = Role::Following(Reader::new(oldest));
        inner.next = oldest;
    }

    /// Notes that everything that was on the log at `now` has been read.
    fn caught_up(&self, now: MonoMs) {
        let mut inner = self.inner.lock();
        inner.read_at = Some(now);
        if let Role::Following(reader) = &mut inner.role {
            reader.give_up_waiting();
        }
    }

    fn next(&self) -> Offset {
        self.inner.lock().next
    }

    /// When the stream was last known to be read to its end.
    pub fn read_at(&self) -> Option<MonoMs> {
        self.inner.lock().read_at
    }

    fn batch(&self) -> Option<Batch> {
        let inner = self.inner.lock();
        match &inner.role {
            Role::Owning { owner, .. } => owner.batch(BATCH_MAX),
            Role::Following(_) => None,
        }
    }

    fn lacks_copies(&self, batch: &Batch) -> bool {
        let copied = self.inner.lock().copied;
        match batch {
            Batch::Owned { entries, .. } => entries.iter().any(|e| e.seq > copied),
            Batch::Claim { .. } => false,
        }
    }

    fn is_committed(&self, epoch: Offset, seq: Seq) -> bool {
        let inner = self.inner.lock();
        match &inner.role {
            Role::Owning { owner, .. } if owner.epoch() == epoch => owner.committed() >= seq,
            _ => true,
        }
    }

    /// Keeps records for an owner that cannot reach the log.
    pub fn keep_copy(&self, copy: peer::Copy) -> Copied {
        let mut inner = self.inner.lock();
        let known = inner.epoch();
        if known.is_some_and(|epoch| epoch > copy.epoch) {
            return Copied::Fenced;
        }
        for entry in copy.entries {
            let key = (copy.epoch, entry.seq);
            inner.copies.insert(key, (copy.writer.clone(), entry));
        }
        Copied::Kept
    }

    /// The kept records of an epoch, in order.
    pub fn copies(&self, epoch: Offset) -> Vec<Entry> {
        let inner = self.inner.lock();
        let range = (epoch, Seq(0))..=(epoch, Seq(u64::MAX));
        let entries = inner.copies.range(range).map(|(_, (_, entry))| entry);
        entries.cloned().collect()
    }

    /// Begins to serve with the records that peers kept of the former owner.
    fn adopt_and_serve(&self, epoch: Offset, replaced: Option<&Claim>, mut copies: Vec<Entry>) {
        let mut inner = self.inner.lock();
        let Role::Owning { owner, serving } = &mut inner.role else {
            return;
        };
        if owner.epoch() != epoch {
            return;
        }
        copies.sort_by_key(|e| e.seq);
        copies.dedup_by_key(|e| e.seq);
        let after = replaced.map_or(Seq(0), |c| c.last_seq);
        copies.retain(|e| e.seq > after);
        let adopted = owner.adopt(&copies);
        *serving = true;
        drop(inner);
        if adopted > 0 {
            log::info!(slot = self.slot.0, records = adopted; "adopted copies of the former owner");
        }
        self.proposed.notify(usize::MAX);
        self.notify();
    }

    /// Stops taking new calls for a handover, or takes them again.
    pub fn set_handing_over(&self, handing_over: bool) {
        self.inner.lock().handing_over = handing_over;
        self.notify();
    }

    /// Takes the right to run the program's next turn; false if it is taken.
    pub fn begin_run(&self, program: ProgramId) -> bool {
        self.inner.lock().running.insert(program)
    }

    /// Gives that right back.
    pub fn end_run(&self, program: ProgramId) {
        self.inner.lock().running.remove(&program);
        self.notify();
    }

    /// Whether no call is under way and everything is on the log.
    pub fn is_quiet(&self) -> bool {
        if !self.inner.lock().running.is_empty() {
            return false;
        }
        self.with_owner(|o| {
            let epoch = o.epoch();
            let running = |p: &kingcupspan_core::program::Program| {
                p.current.as_ref().is_some_and(|c| c.starter.epoch == epoch)
            };
            o.pending().len() == 0 && !o.state().programs.values().any(running)
        })
        .unwrap_or(true)
    }

    /// The slot's state for the dump.
    pub fn summary(&self) -> Summary {
        let inner = self.inner.lock();
        let (role, state, pending) = match &inner.role {
            Role::Following(reader) => match reader.state() {
                Some(state) => ("following", Some(state), 0),
                None => ("waiting for a snapshot", None, 0),
            },
            Role::Owning { owner, serving } => {
                let role = match serving {
                    true => "owning",
                    false => "gathering copies",
                };
                (role, Some(owner.state()), owner.pending().len())
            }
        };
        Summary {
            slot: self.slot,
            role,
            claim: state.and_then(|s| s.claim.clone()),
            next: inner.next,
            pending,
            copies: inner.copies.len(),
            programs: state.map_or(0, |s| s.programs.len()),
        }
    }
}

impl Inner {
    fn epoch(&self) -> Option<Offset> {
        match &self.role {
            Role::Following(reader) => reader.state().and_then(slot::SlotState::epoch),
            Role::Owning { owner, .. } => Some(owner.epoch()),
        }
    }

    fn fold(&mut self, offset: Offset, batch: &Batch, me: &Writer, now: MonoMs) {
        self.drop_copies(batch);
        if contains_snapshot(batch) {
            self.snapshot_at = now;
        }
        match &mut self.role {
            Role::Following(reader) => {
                let before = reader.state().and_then(|s| s.claim.clone());
                if reader.apply(offset, batch) == slot::Applied::Claimed {
                    self.replaced = before;
                    self.take_over(me);
                }
            }
            Role::Owning { owner, .. } => {
                if owner.read_back(offset, batch) == owner::Event::Lost {
                    self.lose();
                }
            }
        }
    }

    /// Becomes the owner if the claim just folded is this daemon's.
    fn take_over(&mut self, me: &Writer) {
        let Role::Following(reader) = &self.role else {
            return;
        };
        let Some(owner) = reader.state().and_then(|s| Owner::new(s.clone(), me)) else {
            return;
        };
        // An epoch that was lost is read again from the log as any other's.
        if self.lost.is_some_and(|lost| owner.epoch() <= lost) {
            return;
        }
        self.copied = Seq(0);
        self.handing_over = false;
        self.role = Role::Owning {
            owner: Box::new(owner),
            serving: false,
        };
    }

    /// Follows again from the beginning: the state ran ahead of the log.
    fn lose(&mut self) {
        if let Role::Owning { owner, .. } = &self.role {
            self.lost = Some(owner.epoch());
        }
        self.role = Role::Following(Reader::new(Offset(0)));
        self.next = Offset(0);
        self.read_at = None;
        self.handing_over = false;
        self.copied = Seq(0);
    }

    fn drop_copies(&mut self, batch: &Batch) {
        let Batch::Owned { epoch, entries, .. } = batch else {
            return;
        };
        for entry in entries {
            self.copies.remove(&(*epoch, entry.seq));
        }
        // Copies of epochs before this one have been adopted or are void.
        self.copies.retain(|(kept, _), _| kept >= epoch);
    }
}

fn contains_snapshot(batch: &Batch) -> bool {
    match batch {
        Batch::Owned { entries, .. } => entries
            .iter()
            .any(|e| matches!(e.record, Record::Snapshot(_))),
        Batch::Claim { .. } => false,
    }
}

/// Runs the tasks of all slots.
pub async fn tend(daemon: Arc<Daemon>) {
    let mut tasks = Vec::new();
    for n in 0..daemon.slots.len() {
        tasks.push(task::spawn(follow(Arc::clone(&daemon), n)));
        tasks.push(task::spawn(append(Arc::clone(&daemon), n)));
        tasks.push(task::spawn(copy(Arc::clone(&daemon), n)));
        tasks.push(task::spawn(gather(Arc::clone(&daemon), n)));
        tasks.push(task::spawn(snapshot(Arc::clone(&daemon), n)));
    }
    for running in tasks {
        running.await;
    }
}

/// Reads the slot's stream.
async fn follow(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    let stream = cell.stream();
    loop {
        let asked = daemon.clock.mono();
        let read = daemon.log.read(&stream, cell.next(), READ_WAIT).await;
        let now = daemon.clock.mono();
        match read {
            Ok(records) if records.is_empty() => {
                daemon.log_health.read_worked();
                cell.caught_up(asked);
            }
            Ok(records) => {
                daemon.log_health.read_worked();
                for stored in records {
                    match rmp_serde::from_slice(&stored.bytes) {
                        Ok(batch) => cell.fold(stored.offset, &batch, &daemon.writer, now),
                        Err(e) => skip_unreadable(cell, stored.offset, &e),
                    }
                }
            }
            Err(LogError::Expired { oldest }) => cell.restart(oldest),
            Err(e) => {
                daemon.metrics.log_errors.inc();
                daemon.log_health.read_failed(now);
                cell.notify();
                log::debug!(slot = cell.slot.0, error = e.to_string().as_str(); "cannot read the log");
                task::sleep(LOG_BACKOFF).await;
            }
        }
    }
}

fn skip_unreadable(cell: &Cell, offset: Offset, e: &rmp_serde::decode::Error) {
    log::error!(slot = cell.slot.0, offset = offset.0, error = e.to_string().as_str();
        "a record of the log cannot be read and is skipped");
    let mut inner = cell.inner.lock();
    if inner.next == offset {
        inner.next = offset.next();
    }
}

/// Appends what the owner proposes.
async fn append(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    let stream = cell.stream();
    loop {
        let proposed = cell.proposed.listen();
        let Some(batch) = cell.batch() else {
            proposed.await;
            continue;
        };
        daemon.pacer.acquire().await;
        // More may have been proposed while the append had to wait.
        let batch = cell.batch().unwrap_or(batch);
        append_once(&daemon, cell, &stream, &batch).await;
    }
}

async fn append_once(daemon: &Arc<Daemon>, cell: &Cell, stream: &str, batch: &Batch) {
    daemon.metrics.log_appends.inc();
    match daemon.log.append(stream, peer::encode(batch)).await {
        Ok(offset) => {
            daemon.log_health.append_worked();
            cell.fold(offset, batch, &daemon.writer, daemon.clock.mono());
            await_read_back(cell, batch).await;
        }
        Err(LogError::Limited) => task::sleep(LOG_BACKOFF).await,
        Err(e) => {
            daemon.metrics.log_errors.inc();
            daemon.log_health.append_failed(daemon.clock.mono());
            cell.notify();
            log::warn!(slot = cell.slot.0, error = e.to_string().as_str(); "cannot append to the log");
            task::sleep(LOG_BACKOFF).await;
        }
    }
}

/// Waits until the reader has come past an appended batch.
async fn await_read_back(cell: &Cell, batch: &Batch) {
    let Batch::Owned { epoch, entries, .. } = batch else {
        return;
    };
    let Some(last) = entries.last() else {
        return;
    };
    cell.wait(READ_BACK_MAX, || {
        cell.is_committed(*epoch, last.seq).then_some(())
    })
    .await;
}

/// Has pending records kept by peers while the log is away.
async fn copy(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    loop {
        let changed = cell.changed.listen();
        let proposed = cell.proposed.listen();
        let away = daemon.log_health.is_away(daemon.clock.mono());
        match cell.batch().filter(|b| away && cell.lacks_copies(b)) {
            Some(batch) if copy_to_peers(&daemon, cell, &batch).await => {}
            Some(_) => task::sleep(LOG_BACKOFF).await,
            None => changed.race(proposed).await,
        }
    }
}

/// Has records kept by daemons of other failure domains while the log is away;
/// one that is cut off with its own domain only takes what peers it has.
async fn copy_to_peers(daemon: &Arc<Daemon>, cell: &Cell, batch: &Batch) -> bool {
    let Batch::Owned {
        writer,
        epoch,
        entries,
    } = batch
    else {
        return false;
    };
    let Some(last) = entries.last() else {
        return false;
    };
    let message = peer::Copy {
        slot: cell.slot,
        writer: writer.clone(),
        epoch: *epoch,
        entries: entries.clone(),
    };
    let peers = daemon.membership.keepers(daemon.clock.mono());
    let mut kept = 0;
    for keeper in peers {
        let answer = peer::ask(
            &daemon.client,
            keeper.addr,
            peer::COPY,
            &message,
            COPY_PATIENCE,
        );
        match answer.await {
            Ok(Copied::Kept) => kept += 1,
            Ok(Copied::Fenced) => return false,
            Err(e) => {
                log::debug!(vm = keeper.vm.as_str(), error = e.to_string().as_str(); "no copy kept");
            }
        }
    }
    if kept > 0 {
        let mut inner = cell.inner.lock();
        inner.copied = inner.copied.max(last.seq);
        drop(inner);
        cell.notify();
    }
    kept > 0
}

/// Gathers copies from peers after a claim, then begins to serve.
async fn gather(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    loop {
        let changed = cell.changed.listen();
        let gathering = {
            let inner = cell.inner.lock();
            match &inner.role {
                Role::Owning {
                    owner,
                    serving: false,
                } => Some((owner.epoch(), inner.replaced.clone())),
                _ => None,
            }
        };
        let Some((epoch, replaced)) = gathering else {
            changed.await;
            continue;
        };
        let mut copies = Vec::new();
        if let Some(former) = &replaced {
            copies.extend(cell.copies(former.epoch));
            copies.extend(ask_for_copies(&daemon, cell.slot, former.epoch).await);
        }
        cell.adopt_and_serve(epoch, replaced.as_ref(), copies);
        log::info!(slot = cell.slot.0, epoch = epoch.0; "owns the slot");
    }
}

async fn ask_for_copies(daemon: &Arc<Daemon>, slot: Slot, epoch: Offset) -> Vec<Entry> {
    let message = peer::Copies { slot, epoch };
    let peers = daemon.membership.peers(daemon.clock.mono());
    let asked = peers.into_iter().map(|to| {
        let daemon = Arc::clone(daemon);
        let message = message.clone();
        task::spawn(async move {
            let ask = peer::ask(
                &daemon.client,
                to.addr,
                peer::COPIES,
                &message,
                COPY_PATIENCE,
            );
            let answer: Result<Vec<Entry>, _> = ask.await;
            answer.unwrap_or_default()
        })
    });
    let asked: Vec<_> = asked.collect();
    let mut copies = Vec::new();
    for answer in asked {
        copies.extend(answer.await);
    }
    copies
}

/// Writes snapshots well before the last one expires.
async fn snapshot(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    let every_ms = daemon.settings.platform.retention_ms / SNAPSHOTS_PER_RETENTION;
    loop {
        task::sleep(Duration::from_millis((every_ms / 4).max(1))).await;
        let due = daemon.clock.mono().since(cell.inner.lock().snapshot_at) >= every_ms;
        if due && !daemon.log_health.is_away(daemon.clock.mono()) {
            propose_snapshot(cell, daemon.clock.mono());
        }
    }
}

fn propose_snapshot(cell: &Cell, now: MonoMs) {
    let mut inner = cell.inner.lock();
    let Role::Owning {
        owner,
        serving: true,
    } = &mut inner.role
    else {
        return;
    };
    if owner.propose_snapshot().is_ok() {
        inner.snapshot_at = now;
        drop(inner);
        cell.proposed.notify(usize::MAX);
    }
}
