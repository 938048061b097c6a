//! Slots: partitions of the programs, each with its own log stream. This module holds the
//! state of each slot and the tasks that replicate it from its stream.

mod copies;
mod stream;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use async_std::{future, task};
use event_listener::{Event, EventListener};
use kingcupspan_core::{
    id::{MonoMs, Offset, ProgramId, Slot, Writer},
    owner::Owner,
    program::Program,
    record::{Batch, Record, RecordId},
    replica::{CopyResult, Durability, Progress, ProposeError, RecordCopy, Replica, Takeover},
    slot::{Claim, SlotState},
};

use crate::{daemon::Daemon, edge::peer};

/// Largest number of records in one append.
const BATCH_MAX: usize = 512;

/// State of a slot, protected by its own lock and shared by the tasks of the daemon.
pub struct SharedSlot {
    /// Identifier of the slot.
    pub id: Slot,

    inner: parking_lot::Mutex<Inner>,

    /// Notified whenever the state may have changed.
    changed: Event,

    /// Notified when a record has been proposed and must be appended to the log.
    proposed: Event,
}

struct Inner {
    replica: Replica,

    /// Time of the last successful read of the stream; `None` until its end has been reached.
    last_read_at: Option<MonoMs>,

    /// Whether a handover to another daemon is in progress.
    is_handing_over: bool,

    /// Time at which the last snapshot was applied or proposed.
    snapshot_at: MonoMs,

    /// Programs with a turn that this daemon is running.
    running: BTreeSet<ProgramId>,
}

/// Error returned when a proposed record is not known to be durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// The slot is owned by another daemon.
    #[error("the slot is owned by another daemon")]
    Lost,

    /// The record did not become durable before the timeout, but may still do so.
    #[error("the record did not become durable in time")]
    TimedOut,
}

/// State of a slot for the state dump.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Summary {
    /// Identifier of the slot.
    pub slot: Slot,

    /// This daemon's role: `following`, `waiting for a snapshot`, `gathering copies` or `owning`.
    pub role: &'static str,

    /// The current claim.
    pub claim: Option<Claim>,

    /// Offset of the next record to read.
    pub next: Offset,

    /// Number of proposed records that are not on the log yet.
    pub pending: usize,

    /// Number of copies of records stored for other owners.
    pub copies: usize,

    /// Number of open programs.
    pub programs: usize,
}

impl SharedSlot {
    /// Creates the state of a slot whose stream has not been read yet; `me` is this daemon.
    pub fn new(id: Slot, me: &Writer) -> Self {
        Self {
            id,
            inner: parking_lot::Mutex::new(Inner {
                replica: Replica::new(me.clone()),
                last_read_at: None,
                is_handing_over: false,
                snapshot_at: MonoMs(0),
                running: BTreeSet::new(),
            }),
            changed: Event::new(),
            proposed: Event::new(),
        }
    }

    /// Name of the slot's log stream.
    fn stream(&self) -> String {
        format!("slot-{}", self.id)
    }

    /// Calls `f` with the replicated state, or returns `None` while a snapshot is still missing.
    pub fn with_state<R>(&self, f: impl FnOnce(&SlotState) -> R) -> Option<R> {
        self.inner.lock().replica.state().map(f)
    }

    /// Calls `f` with the owner's state, or returns `None` unless this daemon serves the slot.
    pub fn with_owner<R>(&self, f: impl FnOnce(&Owner) -> R) -> Option<R> {
        self.inner.lock().replica.serving().map(f)
    }

    /// Whether this daemon serves the slot.
    pub fn is_serving(&self) -> bool {
        self.inner.lock().replica.serving().is_some()
    }

    /// Whether this daemon owns the slot. A new owner does not serve the slot until it has
    /// gathered copies from its peers.
    pub fn is_owning(&self) -> bool {
        self.inner.lock().replica.owner().is_some()
    }

    /// Returns the current claim.
    pub fn claim(&self) -> Option<Claim> {
        self.inner.lock().replica.claim().cloned()
    }

    /// Whether the slot is being handed over, so that new calls must wait.
    pub fn is_handing_over(&self) -> bool {
        self.inner.lock().is_handing_over
    }

    /// Proposes a record, to be appended to the log in the background.
    pub fn propose(&self, record: Record) -> Result<RecordId, ProposeError> {
        let proposed = self.inner.lock().replica.propose(record)?;
        self.proposed.notify(usize::MAX);
        Ok(proposed)
    }

    /// Proposes a record that is valid only in the given epoch.
    pub fn propose_in_epoch(
        &self,
        epoch: Offset,
        record: Record,
    ) -> Result<RecordId, ProposeError> {
        let proposed = self.inner.lock().replica.propose_in_epoch(epoch, record)?;
        self.proposed.notify(usize::MAX);
        Ok(proposed)
    }

    /// Waits until a proposed record is as durable as requested.
    pub async fn commit(
        &self,
        proposed: RecordId,
        durability: Durability,
        timeout: Duration,
    ) -> Result<(), CommitError> {
        let result = self.wait(timeout, || {
            match self.inner.lock().replica.progress(proposed, durability) {
                Progress::Durable => Some(Ok(())),
                Progress::Lost => Some(Err(CommitError::Lost)),
                Progress::Pending => None,
            }
        });
        result.await.unwrap_or(Err(CommitError::TimedOut))
    }

    /// Waits until `ready` returns a value, calling it after each change; returns `None` on
    /// timeout.
    pub async fn wait<R>(
        &self,
        timeout: Duration,
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
        future::timeout(timeout, waiting).await.ok()
    }

    /// Returns a listener for the next change. Create it before reading the state, so that no
    /// change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Wakes all tasks that wait for a change.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Applies a batch that was read from the log, or appended at the next offset by this
    /// daemon.
    fn apply(&self, offset: Offset, batch: &Batch, now: MonoMs) {
        let mut inner = self.inner.lock();
        let was_owner = inner.replica.owner().is_some();
        if !inner.replica.apply(offset, batch) {
            return;
        }
        if contains_snapshot(batch) {
            inner.snapshot_at = now;
        }
        if was_owner != inner.replica.owner().is_some() {
            inner.is_handing_over = false;
        }
        if was_owner && inner.replica.owner().is_none() {
            inner.last_read_at = None;
        }
        drop(inner);
        self.notify();
    }

    /// Records that the end of the stream has been reached.
    fn record_end_reached(&self, now: MonoMs) {
        let mut inner = self.inner.lock();
        inner.last_read_at = Some(now);
        inner.replica.end_reached();
    }

    /// Records a successful read, which counts only if the end of the stream has been reached
    /// before.
    fn record_read(&self, now: MonoMs) {
        let mut inner = self.inner.lock();
        inner.last_read_at = inner.last_read_at.map(|_| now);
    }

    /// Returns the offset of the next record to read.
    fn next_offset(&self) -> Offset {
        self.inner.lock().replica.next()
    }

    /// Returns the time of the last successful read of the stream, or `None` until its end has
    /// been reached.
    pub fn last_read_at(&self) -> Option<MonoMs> {
        self.inner.lock().last_read_at
    }

    /// Whether proposed records are waiting to be appended.
    fn has_pending(&self) -> bool {
        let inner = self.inner.lock();
        inner.replica.owner().is_some_and(|o| o.pending().len() > 0)
    }

    /// Returns the next batch of records to append.
    fn batch(&self) -> Option<Batch> {
        self.inner.lock().replica.batch(BATCH_MAX)
    }

    /// Stores copies of records for an owner that cannot reach the log.
    pub fn store_copy(&self, copy: peer::StoreCopy) -> CopyResult {
        let mut inner = self.inner.lock();
        inner.replica.store_copies(copy.epoch, copy.entries)
    }

    /// Returns the stored copies of all epochs up to `upto`, and accepts no more copies of these
    /// epochs.
    pub fn seal_copies(&self, upto: Offset) -> Vec<RecordCopy> {
        self.inner.lock().replica.seal_copies(upto)
    }

    /// Starts serving the slot, with the copies that peers stored for former owners.
    fn serve(&self, takeover: &Takeover, copies: Vec<RecordCopy>) {
        let adopted = self.inner.lock().replica.serve(takeover, copies);
        let epoch = takeover.epoch.0;
        log::info!(slot = self.id.0, epoch = epoch, adopted = adopted;
            "serving the slot as its new owner");
        self.proposed.notify(usize::MAX);
        self.notify();
    }

    /// Starts or ends a handover, during which new calls must wait.
    pub fn set_handing_over(&self, is_handing_over: bool) {
        self.inner.lock().is_handing_over = is_handing_over;
        self.notify();
    }

    /// Marks the program as running a turn; returns `false` if it already runs one or the slot
    /// is being handed over.
    pub fn try_start_run(&self, program: ProgramId) -> bool {
        let mut inner = self.inner.lock();
        !inner.is_handing_over && inner.running.insert(program)
    }

    /// Marks the program as no longer running a turn.
    pub fn finish_run(&self, program: ProgramId) {
        self.inner.lock().running.remove(&program);
        self.notify();
    }

    /// Whether no call is in flight and all proposed records are on the log.
    pub fn is_idle(&self) -> bool {
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

    /// Returns the slot's state for the state dump.
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
            slot: self.id,
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

/// Runs the background tasks of all slots.
pub async fn run(daemon: Arc<Daemon>) {
    let mut tasks = Vec::new();
    for index in 0..daemon.slots.len() {
        tasks.push(task::spawn(stream::follow(Arc::clone(&daemon), index)));
        tasks.push(task::spawn(stream::append(Arc::clone(&daemon), index)));
        tasks.push(task::spawn(copies::replicate(Arc::clone(&daemon), index)));
        tasks.push(task::spawn(copies::take_over(Arc::clone(&daemon), index)));
        tasks.push(task::spawn(stream::write_snapshots(
            Arc::clone(&daemon),
            index,
        )));
    }
    for handle in tasks {
        handle.await;
    }
}
