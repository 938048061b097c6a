//! Expiry: closes programs whose deadline has passed, even if their callers, tools or
//! loops no longer respond.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_core::{
    id::{Offset, ProgramId, WallMs},
    program::Program,
    record::{Idempotency, Record},
};

use crate::{
    controller::{cache, slots::SharedSlot},
    daemon::Daemon,
};

/// Interval between checks of all programs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A program whose deadline has passed.
struct Expired {
    program: ProgramId,

    /// The program and all its sub-agents.
    with_descendants: Vec<ProgramId>,
}

/// Closes programs whose deadline has passed, until the daemon stops.
pub async fn run(daemon: Arc<Daemon>) {
    loop {
        task::sleep(CHECK_INTERVAL).await;
        for slot in &daemon.slots {
            close_expired(&daemon, slot);
        }
    }
}

/// Closes the expired programs of a slot and releases their cache at the engines.
fn close_expired(daemon: &Arc<Daemon>, slot: &SharedSlot) {
    for expired in find_expired(slot, daemon.clock.wall()) {
        let program = expired.program;
        // The proposal is rejected if closing the parent has closed this program too.
        let Ok(proposed) = slot.propose(Record::Close { program }) else {
            continue;
        };
        log::info!(program = program.to_string().as_str();
            "program closed: its deadline has passed");
        task::spawn(cache::release_closed(
            Arc::clone(daemon),
            expired.with_descendants,
            proposed.fence(),
        ));
    }
}

/// Returns the expired programs of a slot that this daemon serves.
fn find_expired(slot: &SharedSlot, now: WallMs) -> Vec<Expired> {
    let expired = slot.with_owner(|o| {
        let programs = o.state().programs.iter();
        let due = programs.filter(|(_, p)| p.deadline <= now && !has_unsettled_call(p, o.epoch()));
        due.map(|(id, _)| Expired {
            program: *id,
            with_descendants: o.state().descendants(*id),
        })
        .collect()
    });
    expired.unwrap_or_default()
}

/// Whether the program has a call whose outcome must still be recorded: one started in
/// this epoch, or a non-idempotent one.
fn has_unsettled_call(program: &Program, epoch: Offset) -> bool {
    program.current.as_ref().is_some_and(|c| {
        c.starter.start.epoch == epoch || c.idempotency == Idempotency::NonIdempotent
    })
}
