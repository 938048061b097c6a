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

use crate::{controller::slots::SharedSlot, daemon::Daemon, edge::peer};

/// Time between looks at all slots.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Age beyond which the reading of a stream is too old to claim on, in leases.
const READ_AGE_MAX_LEASES: u64 = 3;

/// How long a handover waits for calls to end.
const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);

/// How long the release of a slot may take to reach the log.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Pause after a claim that did not take effect.
const CLAIM_BACKOFF: Duration = Duration::from_millis(300);

/// Leases after which a call whose starter is gone is closed as unknown.
const ORPHAN_TIMEOUT_LEASES: u64 = 5;

/// Looks after all slots.
pub async fn run(daemon: Arc<Daemon>) {
    let tasks: Vec<_> = (0..daemon.slots.len())
        .map(|index| task::spawn(run_slot(Arc::clone(&daemon), index)))
        .collect();
    for running in tasks {
        running.await;
    }
}

async fn run_slot(daemon: Arc<Daemon>, index: usize) {
    let slot = &daemon.slots[index];
    let mut owner_since = daemon.clock.mono();
    let mut orphans_checked_at = owner_since;
    loop {
        task::sleep(CHECK_INTERVAL).await;
        let now = daemon.clock.mono();
        if !slot.is_serving() {
            owner_since = now;
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
        let due = now.since(orphans_checked_at) > daemon.settings.lease_ms;
        if due && now.since(owner_since) > orphan_timeout_ms {
            orphans_checked_at = now;
            settle_orphans(&daemon, slot);
        }
    }
}

/// Whether the stream has been read recently enough to act on it.
fn is_recently_read(daemon: &Daemon, slot: &SharedSlot, now: MonoMs) -> bool {
    let max_ms = READ_AGE_MAX_LEASES * daemon.settings.lease_ms;
    slot.last_read_at()
        .is_some_and(|at| now.since(at) <= max_ms)
}

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
        Ok(offset) => log::debug!(slot = slot.id.0, offset = offset.0; "claim appended"),
        Err(e) => {
            log::warn!(slot = slot.id.0, error = e.to_string().as_str(); "cannot claim the slot");
        }
    }
    // The claim counts when it is read back and not before.
    slot.wait(CLAIM_BACKOFF, || {
        (slot.claim().map(|c| c.epoch) != prev).then_some(())
    })
    .await;
}

/// Lets calls end, then releases the slot to another daemon.
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
    log::info!(slot = slot.id.0, to = to.as_str(), committed = committed.is_ok(); "slot released");
    let claimed = slot
        .wait(RELEASE_TIMEOUT, || (!slot.is_serving()).then_some(()))
        .await;
    if claimed.is_none() {
        // The claim is still ours; whoever is the candidate claims it anew.
        slot.set_handing_over(false);
    }
    daemon.metrics.handovers.inc();
}

/// Closes non-idempotent calls that a former owner started and never reported.
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

/// What is known of a program's call under way.
fn known_outcome(program: &Program) -> Outcome {
    let known = program
        .current
        .as_ref()
        .and_then(|c| c.reported_outcome.clone());
    known.unwrap_or(Outcome::Unknown)
}
