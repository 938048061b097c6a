//! Leases: claims slots whose owner has failed and hands over slots that belong to another
//! daemon.

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

use crate::{controller::slots::SharedSlot, daemon::Daemon, edge::peer};

/// Interval between checks of each slot.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the last read of a slot's stream beyond which the slot is not claimed or handed
/// over, in lease durations.
const READ_AGE_MAX_LEASES: u64 = 3;

/// How long a handover waits until the slot has no call in flight and no record to append.
const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Timeout of appending the release of a slot to the log, and of the next owner's claim
/// after that.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Maximum time to read back an appended claim; after it the slot is checked again.
const CLAIM_READ_BACK_TIMEOUT: Duration = Duration::from_millis(300);

/// How long this daemon must serve a slot before it settles calls whose starter has failed, in
/// lease durations. The outcome of such a call is unknown unless it has been reported.
const ORPHAN_TIMEOUT_LEASES: u64 = 5;

/// Runs the lease tasks of all slots.
pub async fn run(daemon: Arc<Daemon>) {
    let tasks: Vec<_> = (0..daemon.slots.len())
        .map(|index| task::spawn(run_slot(Arc::clone(&daemon), index)))
        .collect();
    for handle in tasks {
        handle.await;
    }
}

/// Claims or hands over one slot as the membership requires, and settles its orphaned calls.
async fn run_slot(daemon: Arc<Daemon>, index: usize) {
    let slot = &daemon.slots[index];
    let mut serving_since = daemon.clock.mono();
    let mut orphans_checked_at = serving_since;
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let now = daemon.clock.mono();
        if !slot.is_serving() {
            serving_since = now;
        }
        if !is_recently_read(&daemon, slot, now) {
            continue;
        }
        let claim = slot.claim();
        let is_owner = slot.is_owning();
        match daemon
            .membership
            .decide(slot.id, claim.as_ref(), is_owner, now)
        {
            Decision::Claim => claim_slot(&daemon, slot, claim.as_ref()).await,
            Decision::HandOver(to) => hand_over(&daemon, slot, to).await,
            Decision::NoChange => {}
        }
        let orphan_timeout_ms = ORPHAN_TIMEOUT_LEASES * daemon.settings.lease_ms;
        let is_check_due = now.since(orphans_checked_at) > daemon.settings.lease_ms;
        if is_check_due && now.since(serving_since) > orphan_timeout_ms {
            orphans_checked_at = now;
            settle_orphans(&daemon, slot);
        }
    }
}

/// Whether the slot's stream has been read recently enough for decisions about the slot.
fn is_recently_read(daemon: &Daemon, slot: &SharedSlot, now: MonoMs) -> bool {
    let max_ms = READ_AGE_MAX_LEASES * daemon.settings.lease_ms;
    slot.last_read_at()
        .is_some_and(|at| now.since(at) <= max_ms)
}

/// Appends a claim of the slot and waits for the result.
async fn claim_slot(daemon: &Arc<Daemon>, slot: &SharedSlot, prev: Option<&Claim>) {
    let prev = prev.map(|c| c.epoch);
    let batch = Batch::Claim {
        writer: daemon.writer.clone(),
        prev,
    };
    daemon.pacer.acquire().await;
    daemon.metrics.log_appends.inc();
    let stream = format!("slot-{}", slot.id);
    match daemon.log.append(&stream, peer::encode(&batch)).await {
        Ok(offset) => log::debug!(slot = slot.id.0, offset = offset.0;
            "appended a claim of the slot"),
        Err(e) => {
            log::warn!(slot = slot.id.0, error = e.to_string().as_str();
                "cannot append a claim of the slot; retrying");
        }
    }
    // The claim takes effect only when it is read back from the log.
    slot.wait(CLAIM_READ_BACK_TIMEOUT, || {
        (slot.claim().map(|c| c.epoch) != prev).then_some(())
    })
    .await;
}

/// Waits for calls in flight to finish, then releases the slot to another daemon.
pub async fn hand_over(daemon: &Arc<Daemon>, slot: &SharedSlot, to: VmId) {
    if !slot.is_serving() {
        return;
    }
    slot.set_handing_over(true);
    let idle = slot
        .wait(IDLE_TIMEOUT, || slot.is_idle().then_some(()))
        .await;
    if idle.is_none() {
        slot.set_handing_over(false);
        return;
    }
    let Ok(proposed) = slot.propose(Record::Release { to: to.clone() }) else {
        slot.set_handing_over(false);
        return;
    };
    let committed = slot
        .commit(proposed, Durability::Log, RELEASE_TIMEOUT)
        .await;
    log::info!(slot = slot.id.0, to = to.as_str(), committed = committed.is_ok();
        "released the slot to another daemon");
    let taken_over = slot
        .wait(RELEASE_TIMEOUT, || (!slot.is_serving()).then_some(()))
        .await;
    if taken_over.is_none() {
        // No other daemon has claimed the slot, so this daemon still owns it. The preferred
        // owner can claim it later.
        slot.set_handing_over(false);
    }
    daemon.metrics.handovers.inc();
}

/// Settles non-idempotent calls that a former owner started and whose outcome it never
/// recorded.
fn settle_orphans(daemon: &Daemon, slot: &SharedSlot) {
    let orphans = slot.with_owner(|o| {
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
            outcome: known_outcome(p),
        });
        orphaned.collect::<Vec<Record>>()
    });
    for record in orphans.unwrap_or_default() {
        if slot.propose(record).is_ok() {
            daemon.metrics.orphans_settled.inc();
        }
    }
}

/// Returns the reported outcome of a program's current call, or an unknown one.
fn known_outcome(program: &Program) -> Outcome {
    let known = program
        .current
        .as_ref()
        .and_then(|c| c.reported_outcome.clone());
    known.unwrap_or(Outcome::Unknown)
}
