//! Slots: follow their streams, append what their owner proposes.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_std::{future, task};
use event_listener::{Event, EventListener};
use futures_lite::FutureExt;
use kingcupspan_core::{
    id::{MonoMs, Offset, ProgramId, Slot, Writer},
    owner::Owner,
    program::Program,
    record::{Batch, Record, RecordId},
    replica::{Copied, Durability, Gathering, Kept, Progress, ProposeError, Replica},
    slot::{Claim, SlotState},
};

use crate::{
    daemon::Daemon,
    edge::{peer, platform::LogError},
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

struct Inner {
    replica: Replica,
    read_at: Option<MonoMs>,
    handing_over: bool,
    snapshot_at: MonoMs,
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
    /// A slot whose stream has not been read by `me`.
    pub fn new(slot: Slot, me: &Writer) -> Self {
        Self {
            slot,
            inner: parking_lot::Mutex::new(Inner {
                replica: Replica::new(me.clone()),
                read_at: None,
                handing_over: false,
                snapshot_at: MonoMs(0),
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
    pub fn with_state<R>(&self, f: impl FnOnce(&SlotState) -> R) -> Option<R> {
        self.inner.lock().replica.state().map(f)
    }

    /// Runs `f` on the owner's side if this daemon serves the slot.
    pub fn with_owner<R>(&self, f: impl FnOnce(&Owner) -> R) -> Option<R> {
        self.inner.lock().replica.serving().map(f)
    }

    /// Whether this daemon serves the slot.
    pub fn is_serving(&self) -> bool {
        self.inner.lock().replica.serving().is_some()
    }

    /// Whether this daemon owns the slot, serving or not.
    pub fn is_owning(&self) -> bool {
        self.inner.lock().replica.owner().is_some()
    }

    /// The claim in force.
    pub fn claim(&self) -> Option<Claim> {
        self.inner.lock().replica.claim().cloned()
    }

    /// Whether new calls have to wait for a handover.
    pub fn is_handing_over(&self) -> bool {
        self.inner.lock().handing_over
    }

    /// Proposes a record.
    pub fn propose(&self, record: Record) -> Result<RecordId, ProposeError> {
        let proposed = self.inner.lock().replica.propose(record)?;
        self.proposed.notify(usize::MAX);
        Ok(proposed)
    }

    /// Proposes a record that belongs to one epoch and to no later one.
    pub fn propose_in(&self, epoch: Offset, record: Record) -> Result<RecordId, ProposeError> {
        let proposed = self.inner.lock().replica.propose_in(epoch, record)?;
        self.proposed.notify(usize::MAX);
        Ok(proposed)
    }

    /// Waits until a proposed record is durable.
    pub async fn commit(
        &self,
        proposed: RecordId,
        durability: Durability,
        patience: Duration,
    ) -> Result<(), CommitError> {
        let ended = self.wait(patience, || {
            match self.inner.lock().replica.progress(proposed, durability) {
                Progress::Durable => Some(Ok(())),
                Progress::Lost => Some(Err(CommitError::Lost)),
                Progress::Pending => None,
            }
        });
        ended.await.unwrap_or(Err(CommitError::TimedOut))
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

    /// A listener for the next change; take it before looking at the state.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Wakes all who wait for a change.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Folds a batch read from the log, or acknowledged at the next offset.
    fn fold(&self, offset: Offset, batch: &Batch, now: MonoMs) {
        let mut inner = self.inner.lock();
        let owned = inner.replica.owner().is_some();
        if !inner.replica.fold(offset, batch) {
            return;
        }
        if contains_snapshot(batch) {
            inner.snapshot_at = now;
        }
        if owned != inner.replica.owner().is_some() {
            inner.handing_over = false;
        }
        if owned && inner.replica.owner().is_none() {
            inner.read_at = None;
        }
        drop(inner);
        self.notify();
    }

    /// Notes that everything that was on the log at `now` has been read.
    fn caught_up(&self, now: MonoMs) {
        let mut inner = self.inner.lock();
        inner.read_at = Some(now);
        inner.replica.end_reached();
    }

    fn next(&self) -> Offset {
        self.inner.lock().replica.next()
    }

    /// When the stream was last known to be read to its end.
    pub fn read_at(&self) -> Option<MonoMs> {
        self.inner.lock().read_at
    }

    fn batch(&self) -> Option<Batch> {
        self.inner.lock().replica.batch(BATCH_MAX)
    }

    /// Keeps records for an owner that cannot reach the log.
    pub fn keep_copy(&self, copy: peer::Copy) -> Copied {
        let mut inner = self.inner.lock();
        inner.replica.keep_copies(copy.epoch, copy.entries)
    }

    /// Hands out the kept records of epochs up to one and keeps no more of them.
    pub fn seal_copies(&self, upto: Offset) -> Vec<Kept> {
        self.inner.lock().replica.seal_copies(upto)
    }

    /// Begins to serve with the records that peers kept of the former owner.
    fn serve(&self, gathering: &Gathering, copies: Vec<Kept>) {
        let adopted = self.inner.lock().replica.serve(gathering, copies);
        let epoch = gathering.epoch.0;
        log::info!(slot = self.slot.0, epoch = epoch, adopted = adopted; "owns the slot");
        self.proposed.notify(usize::MAX);
        self.notify();
    }

    /// Stops taking new calls for a handover, or takes them again.
    pub fn set_handing_over(&self, handing_over: bool) {
        self.inner.lock().handing_over = handing_over;
        self.notify();
    }

    /// Takes the right to run the program's next turn; false if it is taken
    /// or the slot is being handed over.
    pub fn begin_run(&self, program: ProgramId) -> bool {
        let mut inner = self.inner.lock();
        !inner.handing_over && inner.running.insert(program)
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
            let running = |p: &Program| {
                p.current
                    .as_ref()
                    .is_some_and(|c| c.starter.start.epoch == epoch)
            };
            o.pending().len() == 0 && !o.state().programs.values().any(running)
        })
        .unwrap_or(true)
    }

    /// The slot's state for the dump.
    pub fn summary(&self) -> Summary {
        let inner = self.inner.lock();
        let replica = &inner.replica;
        let role = match (replica.state(), replica.owner(), replica.serving()) {
            (None, _, _) => "waiting for a snapshot",
            (_, None, _) => "following",
            (_, Some(_), None) => "gathering copies",
            (_, Some(_), Some(_)) => "owning",
        };
        Summary {
            slot: self.slot,
            role,
            claim: replica.claim().cloned(),
            next: replica.next(),
            pending: replica.owner().map_or(0, |o| o.pending().len()),
            copies: replica.copies_len(),
            programs: replica.state().map_or(0, |s| s.programs.len()),
        }
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
        let from = cell.next();
        let read = daemon.log.read(&stream, from, READ_WAIT);
        // A slot that is lost meanwhile is read again from the beginning.
        let lost = async {
            cell.wait(Duration::MAX, || (cell.next() < from).then_some(()))
                .await;
            None
        };
        let Some(read) = async { Some(read.await) }.or(lost).await else {
            continue;
        };
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
                        Ok(batch) => cell.fold(stored.offset, &batch, now),
                        Err(e) => skip_unreadable(cell, stored.offset, &e),
                    }
                }
            }
            Err(LogError::Expired { oldest }) => cell.inner.lock().replica.restart(oldest),
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
    cell.inner.lock().replica.skip(offset);
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
            cell.fold(offset, batch, daemon.clock.mono());
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
        cell.inner
            .lock()
            .replica
            .is_past(*epoch, last.seq)
            .then_some(())
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
        match cell
            .batch()
            .filter(|b| away && cell.inner.lock().replica.lacks_copies(b))
        {
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
        cell.inner.lock().replica.copies_kept(*epoch, last.seq);
        cell.notify();
    }
    kept > 0
}

/// Gathers copies from peers after a claim, then begins to serve.
async fn gather(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    loop {
        let changed = cell.changed.listen();
        let Some(gathering) = cell.inner.lock().replica.gathering() else {
            changed.await;
            continue;
        };
        let mut copies = Vec::new();
        if let Some(upto) = gathering.upto() {
            copies.extend(cell.seal_copies(upto));
            copies.extend(ask_for_copies(&daemon, cell.slot, upto).await);
        }
        cell.serve(&gathering, copies);
    }
}

async fn ask_for_copies(daemon: &Arc<Daemon>, slot: Slot, upto: Offset) -> Vec<Kept> {
    let peers = daemon.membership.peers(daemon.clock.mono());
    let asked: Vec<_> = peers
        .into_iter()
        .map(|to| task::spawn(ask_one_for_copies(Arc::clone(daemon), to, slot, upto)))
        .collect();
    let mut copies = Vec::new();
    for answer in asked {
        copies.extend(answer.await);
    }
    copies
}

/// Asks a peer for as long as it counts as alive: it may hold what a caller
/// has been told to be kept.
async fn ask_one_for_copies(
    daemon: Arc<Daemon>,
    to: peer::Peer,
    slot: Slot,
    upto: Offset,
) -> Vec<Kept> {
    let message = peer::Copies { slot, upto };
    loop {
        let ask = peer::ask(
            &daemon.client,
            to.addr,
            peer::COPIES,
            &message,
            COPY_PATIENCE,
        );
        let answer: Result<Vec<Kept>, _> = ask.await;
        match answer {
            Ok(entries) => return entries,
            Err(_) if daemon.membership.answers(&to.vm, daemon.clock.mono()) => {
                task::sleep(LOG_BACKOFF).await;
            }
            Err(_) => return Vec::new(),
        }
    }
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
    if inner.replica.propose_snapshot().is_ok() {
        inner.snapshot_at = now;
        drop(inner);
        cell.proposed.notify(usize::MAX);
    }
}
