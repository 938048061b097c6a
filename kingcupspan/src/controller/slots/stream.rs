//! A slot's stream: read it, append what the owner proposes, keep it alive.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_lite::FutureExt;
use kingcupspan_core::{
    id::{MonoMs, Offset},
    record::Batch,
};

use crate::{
    controller::slots::Cell,
    daemon::Daemon,
    edge::{peer, platform::LogError},
};

/// How long a read of the log waits for records.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// Pause after a failed request to the log.
const LOG_BACKOFF: Duration = Duration::from_millis(100);

/// How long an appended batch may take to be read back before it is sent again.
const READ_BACK_MAX: Duration = Duration::from_millis(1_000);

/// Snapshots in the time that the log keeps a record.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// Reads the slot's stream.
pub(super) async fn follow(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    let stream = cell.stream();
    loop {
        let from = cell.next();
        // Only who has reached the end has something to wait for.
        let wait = cell.read_at().map_or(Duration::ZERO, |_| READ_WAIT);
        let read = daemon.log.read(&stream, from, wait);
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
                cell.end_reached(now);
            }
            Ok(records) => {
                daemon.log_health.read_worked();
                for stored in records {
                    match rmp_serde::from_slice(&stored.bytes) {
                        Ok(batch) => cell.fold(stored.offset, &batch, now),
                        Err(e) => skip_unreadable(cell, stored.offset, &e),
                    }
                }
                cell.has_read(now);
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
pub(super) async fn append(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    let stream = cell.stream();
    loop {
        let proposed = cell.proposed.listen();
        if !cell.has_pending() {
            proposed.await;
            continue;
        }
        daemon.pacer.acquire().await;
        // Taken only now: more may have been proposed, or the slot lost.
        let Some(batch) = cell.batch() else {
            continue;
        };
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
        Err(LogError::RateLimited) => task::sleep(LOG_BACKOFF).await,
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
            .is_resolved(*epoch, last.seq)
            .then_some(())
    })
    .await;
}

/// Writes snapshots well before the last one expires.
pub(super) async fn snapshot(daemon: Arc<Daemon>, n: usize) {
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
