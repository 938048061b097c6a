//! Copies of records: peers store them while the log is unavailable, and the next owner of the
//! slot fetches them.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_lite::FutureExt;
use kingcupspan_core::{
    id::{Offset, Slot},
    record::Batch,
    replica::{CopyResult, RecordCopy},
};

use crate::{controller::slots::SharedSlot, daemon::Daemon, edge::peer};

/// Delay before a request to a peer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of a request that stores copies at a peer or fetches them.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Stores copies of pending records at peers while the log is unavailable.
pub(super) async fn replicate(daemon: Arc<Daemon>, index: usize) {
    let slot = &daemon.slots[index];
    loop {
        let changed = slot.changed.listen();
        let proposed = slot.proposed.listen();
        let is_log_unavailable = daemon.log_health.is_unavailable(daemon.clock.mono());
        let batch = match is_log_unavailable {
            true => slot.batch(),
            false => None,
        };
        match batch.filter(|b| slot.inner.lock().replica.needs_copies(b)) {
            Some(batch) if copy_to_peers(&daemon, slot, &batch).await => {}
            Some(_) => task::sleep(RETRY_DELAY).await,
            None => changed.race(proposed).await,
        }
    }
}

/// Stores copies of a batch at peers, preferably in other failure domains; a daemon that is cut
/// off from the other domains relies on the peers of its own domain. Returns `true` if a peer
/// has stored the copies, or `false` if none has or a peer reports that the slot is lost.
async fn copy_to_peers(daemon: &Arc<Daemon>, slot: &SharedSlot, batch: &Batch) -> bool {
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
    let message = peer::StoreCopy {
        slot: slot.id,
        writer: writer.clone(),
        epoch: *epoch,
        entries: entries.clone(),
    };
    let peers = daemon.membership.replica_holders(daemon.clock.mono());
    let mut stored = 0;
    for holder in peers {
        let response = peer::send(
            &daemon.client,
            holder.addr,
            peer::COPY,
            &message,
            COPY_TIMEOUT,
        );
        match response.await {
            Ok(CopyResult::Stored) => stored += 1,
            Ok(CopyResult::Fenced) => return false,
            Err(e) => {
                log::debug!(vm = holder.vm.as_str(), error = e.to_string().as_str();
                    "peer did not store a copy of records");
            }
        }
    }
    if stored > 0 {
        slot.inner.lock().replica.confirm_copies(*epoch, last.seq);
        slot.notify();
    }
    stored > 0
}

/// Fetches the copies from peers after a claim of the slot, then starts serving it.
pub(super) async fn take_over(daemon: Arc<Daemon>, index: usize) {
    let slot = &daemon.slots[index];
    loop {
        let changed = slot.changed.listen();
        let Some(takeover) = slot.inner.lock().replica.takeover() else {
            changed.await;
            continue;
        };
        let mut copies = Vec::new();
        if let Some(upto) = takeover.newest_replaced() {
            copies.extend(slot.seal_copies(upto));
            copies.extend(fetch_copies(&daemon, slot.id, upto).await);
        }
        slot.serve(&takeover, copies);
    }
}

/// Fetches the copies of all epochs up to `upto` from all live peers.
async fn fetch_copies(daemon: &Arc<Daemon>, slot: Slot, upto: Offset) -> Vec<RecordCopy> {
    let peers = daemon.membership.peers(daemon.clock.mono());
    let requests: Vec<_> = peers
        .into_iter()
        .map(|to| task::spawn(fetch_copies_from(Arc::clone(daemon), to, slot, upto)))
        .collect();
    let mut copies = Vec::new();
    for request in requests {
        copies.extend(request.await);
    }
    copies
}

/// Fetches copies from a peer, with retries while the peer is alive: it may hold records that
/// have already been confirmed to a caller as durable.
async fn fetch_copies_from(
    daemon: Arc<Daemon>,
    to: peer::Peer,
    slot: Slot,
    upto: Offset,
) -> Vec<RecordCopy> {
    let message = peer::FetchCopies { slot, upto };
    loop {
        let request = peer::send(
            &daemon.client,
            to.addr,
            peer::COPIES,
            &message,
            COPY_TIMEOUT,
        );
        let response: Result<Vec<RecordCopy>, _> = request.await;
        match response {
            Ok(entries) => return entries,
            Err(_)
                if daemon
                    .membership
                    .has_live_daemon(&to.vm, daemon.clock.mono()) =>
            {
                task::sleep(RETRY_DELAY).await;
            }
            Err(_) => return Vec::new(),
        }
    }
}
