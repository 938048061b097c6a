//! A slot's stream: read it, append what the owner proposes, keep it alive.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_lite::FutureExt;
use kingcupspan_core::{
    id::{MonoMs, Offset},
    record::Batch,
};

use crate::{
    controller::slots::SharedSlot,
    daemon::Daemon,
    edge::{peer, platform::LogError},
};

/// How long a read of the log waits for records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Pause after a failed request to the log.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long an appended batch may take to be read back before it is sent again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Snapshots in the time that the log keeps a record.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// Reads the slot's stream.
pub(super) async fn follow(daemon: Arc<Daemon>, index: usize) {
    let slot = &daemon.slots[index];
    let stream = slot.stream();
    loop {
        let from = slot.next_offset();
        // Only who has reached the end has something to wait for.
        let wait = slot
            .last_read_at()
            .map_or(Duration::ZERO, |_| LONG_POLL_TIMEOUT);
        let read = daemon.log.read(&stream, from, wait);
        // A slot that is lost meanwhile is read again from the beginning.
        let restarted = async {
            slot.wait(Duration::MAX, || (slot.next_offset() < from).then_some(()))
                .await;
            None
        };
        let Some(read) = async { Some(read.await) }.or(restarted).await else {
            continue;
        };
        let now = daemon.clock.mono();
        match read {
            Ok(records) if records.is_empty() => {
                daemon.log_health.record_read_success();
                slot.record_end_reached(now);
            }
            Ok(records) => {
                daemon.log_health.record_read_success();
                for stored in records {
                    match rmp_serde::from_slice(&stored.bytes) {
                        Ok(batch) => slot.apply(stored.offset, &batch, now),
                        Err(e) => skip_unreadable(slot, stored.offset, &e),
                    }
                }
                slot.record_read(now);
            }
            Err(LogError::Expired { oldest }) => slot.inner.lock().replica.restart(oldest),
            Err(e) => {
                daemon.metrics.log_errors.inc();
                daemon.log_health.record_read_failure(now);
                slot.notify();
                log::debug!(slot = slot.id.0, error = e.to_string().as_str(); "cannot read the log");
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn skip_unreadable(slot: &SharedSlot, offset: Offset, e: &rmp_serde::decode::Error) {
    log::error!(slot = slot.id.0, offset = offset.0, error = e.to_string().as_str();
        "a record of the log cannot be read and is skipped");
    slot.inner.lock().replica.skip(offset);
}

/// Appends what the owner proposes.
pub(super) async fn append(daemon: Arc<Daemon>, index: usize) {
    let slot = &daemon.slots[index];
    let stream = slot.stream();
    loop {
        let proposed = slot.proposed.listen();
        if !slot.has_pending() {
            proposed.await;
            continue;
        }
        daemon.pacer.acquire().await;
        // Taken only now: more may have been proposed, or the slot lost.
        let Some(batch) = slot.batch() else {
            continue;
        };
        append_once(&daemon, slot, &stream, &batch).await;
    }
}

async fn append_once(daemon: &Arc<Daemon>, slot: &SharedSlot, stream: &str, batch: &Batch) {
    daemon.metrics.log_appends.inc();
    match daemon.log.append(stream, peer::encode(batch)).await {
        Ok(offset) => {
            daemon.log_health.record_append_success();
            slot.apply(offset, batch, daemon.clock.mono());
            await_read_back(slot, batch).await;
        }
        Err(LogError::Limited) => task::sleep(RETRY_DELAY).await,
        Err(e) => {
            daemon.metrics.log_errors.inc();
            daemon.log_health.record_append_failure(daemon.clock.mono());
            slot.notify();
            log::warn!(slot = slot.id.0, error = e.to_string().as_str(); "cannot append to the log");
            task::sleep(RETRY_DELAY).await;
        }
    }
}

/// Waits until the reader has come past an appended batch.
async fn await_read_back(slot: &SharedSlot, batch: &Batch) {
    let Batch::Owned { epoch, entries, .. } = batch else {
        return;
    };
    let Some(last) = entries.last() else {
        return;
    };
    slot.wait(READ_BACK_TIMEOUT, || {
        slot.inner
            .lock()
            .replica
            .is_resolved(*epoch, last.seq)
            .then_some(())
    })
    .await;
}

/// Writes snapshots well before the last one expires.
pub(super) async fn write_snapshots(daemon: Arc<Daemon>, index: usize) {
    let slot = &daemon.slots[index];
    let interval_ms = daemon.settings.platform.retention_ms / SNAPSHOTS_PER_RETENTION;
    loop {
        task::sleep(Duration::from_millis((interval_ms / 4).max(1))).await;
        let due = daemon.clock.mono().since(slot.inner.lock().snapshot_at) >= interval_ms;
        if due && !daemon.log_health.is_unavailable(daemon.clock.mono()) {
            propose_snapshot(slot, daemon.clock.mono());
        }
    }
}

fn propose_snapshot(slot: &SharedSlot, now: MonoMs) {
    let mut inner = slot.inner.lock();
    if inner.replica.propose_snapshot().is_ok() {
        inner.snapshot_at = now;
        drop(inner);
        slot.proposed.notify(usize::MAX);
    }
}
