//! Expiry: programs whose time is over are closed, whatever became of their
//! callers, tools and loops.

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

/// Time between looks at all programs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A program whose time is over, with all its sub-agents.
struct Expired {
    program: ProgramId,
    with_descendants: Vec<ProgramId>,
}

/// Closes programs whose time is over.
pub async fn run(daemon: Arc<Daemon>) {
    loop {
        task::sleep(CHECK_INTERVAL).await;
        for slot in &daemon.slots {
            close_expired(&daemon, slot);
        }
    }
}

fn close_expired(daemon: &Arc<Daemon>, slot: &SharedSlot) {
    for expired in find_expired(slot, daemon.clock.wall()) {
        let program = expired.program;
        // Refused means that its parent took it along.
        let Ok(closed) = slot.propose(Record::Close { program }) else {
            continue;
        };
        log::info!(program = program.to_string().as_str(); "program closed, its time is over");
        task::spawn(cache::release_closed(
            Arc::clone(daemon),
            expired.with_descendants,
            closed.fence(),
        ));
    }
}

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

/// Whether a call is under way whose outcome somebody will want to know.
fn has_unsettled_call(program: &Program, epoch: Offset) -> bool {
    program.current.as_ref().is_some_and(|c| {
        c.starter.start.epoch == epoch || c.idempotency == Idempotency::NonIdempotent
    })
}
