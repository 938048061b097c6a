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

use crate::{controller::slots::Cell, daemon::Daemon, edge::peer};

/// Pause before a peer is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long a peer may take to keep or return copies.
const COPY_PATIENCE: Duration = Duration::from_millis(500);

/// Has pending records kept by peers while the log is away.
pub(super) async fn keep(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    loop {
        let changed = cell.changed.listen();
        let proposed = cell.proposed.listen();
        let away = daemon.log_health.is_away(daemon.clock.mono());
        let batch = match away {
            true => cell.batch(),
            false => None,
        };
        match batch.filter(|b| cell.inner.lock().replica.needs_copies(b)) {
            Some(batch) if copy_to_peers(&daemon, cell, &batch).await => {}
            Some(_) => task::sleep(RETRY_PAUSE).await,
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
    let message = peer::StoreCopy {
        slot: cell.slot,
        writer: writer.clone(),
        epoch: *epoch,
        entries: entries.clone(),
    };
    let peers = daemon.membership.keepers(daemon.clock.mono());
    let mut kept = 0;
    for keeper in peers {
        let answer = peer::send(
            &daemon.client,
            keeper.addr,
            peer::COPY,
            &message,
            COPY_PATIENCE,
        );
        match answer.await {
            Ok(CopyResult::Stored) => kept += 1,
            Ok(CopyResult::Fenced) => return false,
            Err(e) => {
                log::debug!(vm = keeper.vm.as_str(), error = e.to_string().as_str(); "no copy kept");
            }
        }
    }
    if kept > 0 {
        cell.inner.lock().replica.confirm_copies(*epoch, last.seq);
        cell.notify();
    }
    kept > 0
}

/// Gathers copies from peers after a claim, then begins to serve.
pub(super) async fn gather(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    loop {
        let changed = cell.changed.listen();
        let Some(takeover) = cell.inner.lock().replica.takeover() else {
            changed.await;
            continue;
        };
        let mut copies = Vec::new();
        if let Some(upto) = takeover.newest_replaced() {
            copies.extend(cell.seal_copies(upto));
            copies.extend(ask_for_copies(&daemon, cell.slot, upto).await);
        }
        cell.serve(&takeover, copies);
    }
}

async fn ask_for_copies(daemon: &Arc<Daemon>, slot: Slot, upto: Offset) -> Vec<RecordCopy> {
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
) -> Vec<RecordCopy> {
    let message = peer::FetchCopies { slot, upto };
    loop {
        let ask = peer::send(
            &daemon.client,
            to.addr,
            peer::COPIES,
            &message,
            COPY_PATIENCE,
        );
        let answer: Result<Vec<RecordCopy>, _> = ask.await;
        match answer {
            Ok(entries) => return entries,
            Err(_) if daemon.membership.answers(&to.vm, daemon.clock.mono()) => {
                task::sleep(RETRY_PAUSE).await;
            }
            Err(_) => return Vec::new(),
        }
    }
}
