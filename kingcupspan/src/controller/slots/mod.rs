//! Slots: their state under their own locks, and the tasks that keep each in
//! line with its stream.

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

/// Records in one append.
const BATCH_MAX: usize = 512;

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
        let proposed = self.inner.lock().replica.propose_in_epoch(epoch, record)?;
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
        if !inner.replica.apply(offset, batch) {
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

    /// Notes that the log answered that there is nothing more to read.
    fn end_reached(&self, now: MonoMs) {
        let mut inner = self.inner.lock();
        inner.read_at = Some(now);
        inner.replica.end_reached();
    }

    /// Notes that a reader that has been at the end before has read on.
    fn has_read(&self, now: MonoMs) {
        let mut inner = self.inner.lock();
        inner.read_at = inner.read_at.map(|_| now);
    }

    fn next(&self) -> Offset {
        self.inner.lock().replica.next()
    }

    /// When the stream was last read, once its end has been reached.
    pub fn read_at(&self) -> Option<MonoMs> {
        self.inner.lock().read_at
    }

    /// Whether there is something to append.
    fn has_pending(&self) -> bool {
        let inner = self.inner.lock();
        inner.replica.owner().is_some_and(|o| o.pending().len() > 0)
    }

    fn batch(&self) -> Option<Batch> {
        self.inner.lock().replica.batch(BATCH_MAX)
    }

    /// Keeps records for an owner that cannot reach the log.
    pub fn keep_copy(&self, copy: peer::StoreCopy) -> CopyResult {
        let mut inner = self.inner.lock();
        inner.replica.store_copies(copy.epoch, copy.entries)
    }

    /// Hands out the kept records of epochs up to one and keeps no more of them.
    pub fn seal_copies(&self, upto: Offset) -> Vec<RecordCopy> {
        self.inner.lock().replica.seal_copies(upto)
    }

    /// Begins to serve with the records that peers kept of the former owner.
    fn serve(&self, takeover: &Takeover, copies: Vec<RecordCopy>) {
        let adopted = self.inner.lock().replica.serve(takeover, copies);
        let epoch = takeover.epoch.0;
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
        tasks.push(task::spawn(stream::follow(Arc::clone(&daemon), n)));
        tasks.push(task::spawn(stream::append(Arc::clone(&daemon), n)));
        tasks.push(task::spawn(copies::keep(Arc::clone(&daemon), n)));
        tasks.push(task::spawn(copies::gather(Arc::clone(&daemon), n)));
        tasks.push(task::spawn(stream::snapshot(Arc::clone(&daemon), n)));
    }
    for running in tasks {
        running.await;
    }
}
