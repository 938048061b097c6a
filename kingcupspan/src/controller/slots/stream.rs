//! A slot's log stream: reads it, appends the records that the owner proposes, and writes
//! snapshots.

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

/// How long a read of the log waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed request to the log is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long an appended batch may take to be read back before it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of snapshots written within the retention period of the log.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// Reads the slot's stream and applies its batches.
pub(super) async fn follow(daemon: Arc<Daemon>, index: usize) {
    let slot = &daemon.slots[index];
    let stream = slot.stream();
    loop {
        let from = slot.next_offset();
        // Until the end of the stream has been reached, a read returns without waiting.
        let wait = slot
            .last_read_at()
            .map_or(Duration::ZERO, |_| LONG_POLL_TIMEOUT);
        let read = daemon.log.read(&stream, from, wait);
        // If the slot is lost during the read, the read is abandoned: the stream is then
        // read again from the beginning.
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
                log::debug!(slot = slot.id.0, error = e.to_string().as_str();
                    "cannot read the log; retrying");
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Skips a batch that cannot be decoded.
fn skip_unreadable(slot: &SharedSlot, offset: Offset, e: &rmp_serde::decode::Error) {
    log::error!(slot = slot.id.0, offset = offset.0, error = e.to_string().as_str();
        "cannot decode a record of the log; skipping it");
    slot.inner.lock().replica.skip(offset);
}

/// Appends the records that the owner proposes.
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
        // The batch is taken after the wait: more records may have been proposed or the slot may
        // have been lost in the meantime.
        let Some(batch) = slot.batch() else {
            continue;
        };
        append_once(&daemon, slot, &stream, &batch).await;
    }
}

/// Appends a batch and waits until it has been read back.
async fn append_once(daemon: &Arc<Daemon>, slot: &SharedSlot, stream: &str, batch: &Batch) {
    daemon.metrics.log_appends.inc();
    match daemon.log.append(stream, peer::encode(batch)).await {
        Ok(offset) => {
            daemon.log_health.record_append_success();
            slot.apply(offset, batch, daemon.clock.mono());
            await_read_back(slot, batch).await;
        }
        Err(LogError::RateLimited) => task::sleep(RETRY_DELAY).await,
        Err(e) => {
            daemon.metrics.log_errors.inc();
            daemon.log_health.record_append_failure(daemon.clock.mono());
            slot.notify();
            log::warn!(slot = slot.id.0, error = e.to_string().as_str();
                "cannot append to the log; retrying");
            task::sleep(RETRY_DELAY).await;
        }
    }
}

/// Waits until an appended batch has been read back or has become void.
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

/// Proposes a snapshot if this daemon serves the slot.
fn propose_snapshot(slot: &SharedSlot, now: MonoMs) {
    let mut inner = slot.inner.lock();
    if inner.replica.propose_snapshot().is_ok() {
        inner.snapshot_at = now;
        drop(inner);
        slot.proposed.notify(usize::MAX);
    }
}
