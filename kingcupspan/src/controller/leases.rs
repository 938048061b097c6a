//! Leases: claim slots whose owner is gone, hand over those that belong elsewhere.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_core::{
    id::{MonoMs, VmId},
    membership::Decision,
    program::Program,
    record::{Batch, Idempotency, Outcome, Record},
    replica::Durability,
    slot::Claim,
};

use crate::{controller::slots::Cell, daemon::Daemon, edge::peer};

/// Time between looks at all slots.
const TICK: Duration = Duration::from_millis(50);

/// Age beyond which the reading of a stream is too old to claim on, in leases.
const READ_LEASES_MAX: u64 = 3;

/// How long a handover waits for calls to end.
const QUIET_MAX: Duration = Duration::from_millis(10_000);

/// How long the release of a slot may take to reach the log.
const RELEASE_MAX: Duration = Duration::from_millis(5_000);

/// Pause after a claim that did not take effect.
const CLAIM_BACKOFF: Duration = Duration::from_millis(300);

/// Leases after which a call whose starter is gone is closed as unknown.
const ORPHAN_LEASES: u64 = 5;

/// Looks after all slots.
pub async fn tend(daemon: Arc<Daemon>) {
    let tasks: Vec<_> = (0..daemon.slots.len())
        .map(|n| task::spawn(tend_slot(Arc::clone(&daemon), n)))
        .collect();
    for running in tasks {
        running.await;
    }
}

async fn tend_slot(daemon: Arc<Daemon>, n: usize) {
    let cell = &daemon.slots[n];
    let mut owner_since = daemon.clock.mono();
    let mut looked_at = owner_since;
    loop {
        task::sleep(TICK).await;
        let now = daemon.clock.mono();
        if !cell.is_serving() {
            owner_since = now;
        }
        if !is_current(&daemon, cell, now) {
            continue;
        }
        let claim = cell.claim();
        let owning = cell.is_owning();
        match daemon
            .membership
            .decide(cell.slot, claim.as_ref(), owning, now)
        {
            Decision::Claim => claim_slot(&daemon, cell, claim.as_ref()).await,
            Decision::HandOver(to) => hand_over(&daemon, cell, to).await,
            Decision::NoChange => {}
        }
        let patience_ms = ORPHAN_LEASES * daemon.settings.lease_ms;
        let due = now.since(looked_at) > daemon.settings.lease_ms;
        if due && now.since(owner_since) > patience_ms {
            looked_at = now;
            settle_orphans(&daemon, cell);
        }
    }
}

/// Whether the stream has been read recently enough to act on it.
fn is_current(daemon: &Daemon, cell: &Cell, now: MonoMs) -> bool {
    let max_ms = READ_LEASES_MAX * daemon.settings.lease_ms;
    cell.read_at().is_some_and(|at| now.since(at) <= max_ms)
}

async fn claim_slot(daemon: &Arc<Daemon>, cell: &Cell, prev: Option<&Claim>) {
    let prev = prev.map(|c| c.epoch);
    let batch = Batch::Claim {
        writer: daemon.writer.clone(),
        prev,
    };
    daemon.pacer.acquire().await;
    daemon.metrics.log_appends.inc();
    let stream = format!("slot-{}", cell.slot);
    match daemon.log.append(&stream, peer::encode(&batch)).await {
        Ok(offset) => log::debug!(slot = cell.slot.0, offset = offset.0; "claim appended"),
        Err(e) => {
            log::warn!(slot = cell.slot.0, error = e.to_string().as_str(); "cannot claim the slot");
        }
    }
    // The claim counts when it is read back and not before.
    cell.wait(CLAIM_BACKOFF, || {
        (cell.claim().map(|c| c.epoch) != prev).then_some(())
    })
    .await;
}

/// Lets calls end, then releases the slot to another daemon.
pub async fn hand_over(daemon: &Arc<Daemon>, cell: &Cell, to: VmId) {
    if !cell.is_serving() {
        return;
    }
    cell.set_handing_over(true);
    let quiet = cell.wait(QUIET_MAX, || cell.is_quiet().then_some(())).await;
    if quiet.is_none() {
        cell.set_handing_over(false);
        return;
    }
    let Ok(proposed) = cell.propose(Record::Release { to: to.clone() }) else {
        cell.set_handing_over(false);
        return;
    };
    let committed = cell.commit(proposed, Durability::Log, RELEASE_MAX).await;
    log::info!(slot = cell.slot.0, to = to.as_str(), committed = committed.is_ok(); "slot released");
    let claimed = cell
        .wait(RELEASE_MAX, || (!cell.is_serving()).then_some(()))
        .await;
    if claimed.is_none() {
        // The claim is still ours; whoever is the candidate claims it anew.
        cell.set_handing_over(false);
    }
    daemon.metrics.handovers.inc();
}

/// Closes non-idempotent calls that a former owner started and never reported.
fn settle_orphans(daemon: &Daemon, cell: &Cell) {
    let orphans = cell.with_owner(|o| {
        let epoch = o.epoch();
        let programs = o.state().programs.iter();
        let orphaned = programs.filter(|(_, p)| {
            p.current.as_ref().is_some_and(|c| {
                c.idempotency == Idempotency::NonIdempotent
                    && c.starter.start.epoch != epoch
                    && !daemon
                        .membership
                        .is_alive(&c.starter.writer, daemon.clock.mono())
            })
        });
        let orphaned = orphaned.map(|(id, p)| Record::Settle {
            program: *id,
            turn: p.next_turn(),
            outcome: fate(p),
        });
        orphaned.collect::<Vec<Record>>()
    });
    for record in orphans.unwrap_or_default() {
        if cell.propose(record).is_ok() {
            daemon.metrics.orphans_settled.inc();
        }
    }
}

/// What is known of a program's call under way.
fn fate(program: &Program) -> Outcome {
    let known = program
        .current
        .as_ref()
        .and_then(|c| c.reported_outcome.clone());
    known.unwrap_or(Outcome::Unknown)
}
