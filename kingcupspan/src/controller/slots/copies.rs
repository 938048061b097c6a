//! Copies of records with peers while the log is away, and their return to
//! whoever claims the slot next.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_lite::FutureExt;
use kingcupspan_core::{
    id::{Offset, Slot},
    record::Batch,
    replica::{CopyResult, RecordCopy},
};

use crate::{controller::slots::SharedSlot, daemon::Daemon, edge::peer};

/// Pause before a peer is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a peer may take to keep or return copies.
const COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// Has pending records kept by peers while the log is away.
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

/// Has records kept by daemons of other failure domains while the log is away;
/// one that is cut off with its own domain only takes what peers it has.
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
    let message = peer::Copy {
        slot: slot.id,
        writer: writer.clone(),
        epoch: *epoch,
        entries: entries.clone(),
    };
    let peers = daemon.membership.replica_holders(daemon.clock.mono());
    let mut stored = 0;
    for peer_holder in peers {
        let response = peer::ask(
            &daemon.client,
            peer_holder.addr,
            peer::COPY,
            &message,
            COPY_TIMEOUT,
        );
        match response.await {
            Ok(CopyResult::Stored) => stored += 1,
            Ok(CopyResult::Fenced) => return false,
            Err(e) => {
                log::debug!(vm = peer_holder.vm.as_str(), error = e.to_string().as_str(); "no copy kept");
            }
        }
    }
    if stored > 0 {
        slot.inner.lock().replica.confirm_copies(*epoch, last.seq);
        slot.notify();
    }
    stored > 0
}

/// Gathers copies from peers after a claim, then begins to serve.
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

async fn fetch_copies(daemon: &Arc<Daemon>, slot: Slot, upto: Offset) -> Vec<RecordCopy> {
    let peers = daemon.membership.peers(daemon.clock.mono());
    let requests: Vec<_> = peers
        .into_iter()
        .map(|to| task::spawn(fetch_copies_from(Arc::clone(daemon), to, slot, upto)))
        .collect();
    let mut copies = Vec::new();
    for response in requests {
        copies.extend(response.await);
    }
    copies
}

/// Asks a peer for as long as it counts as alive: it may hold what a caller
/// has been told to be kept.
async fn fetch_copies_from(
    daemon: Arc<Daemon>,
    to: peer::Peer,
    slot: Slot,
    upto: Offset,
) -> Vec<RecordCopy> {
    let message = peer::Copies { slot, upto };
    loop {
        let request = peer::ask(
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
