//! Transitions between states, each of which calls the same functions of the
//! core as the daemon.
//!
//! In this module `w` is the state, `n` and `m` are indices of daemons, `c` is
//! the index of a call at a daemon, and `index` is that of a task.

use std::{fmt, rc::Rc};

use kingcupspan_core::{
    budget::Amount,
    id::{Seq, Turn},
    program::Admission,
    record::{Batch, Idempotency, Outcome, Record, Start},
    replica::{CopyResult, Replica},
};

use crate::{
    bounds::{Bounds, Flaw, Task},
    calls,
    world::{self, BATCH_MAX, Call, Interner, Phase, Reply, World},
};

/// Transition from one state to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A daemon reads to the end of the log.
    Read(usize),
    /// A daemon claims the slot; the flag tells whether the append is late.
    Claim(usize, bool),
    /// A daemon that has read its claim collects copies and serves the slot.
    Serve(usize),
    /// The owner appends its pending records; the flag tells whether the append
    /// is late.
    Append(usize, bool),
    /// A late append takes effect.
    ApplyLateAppend(usize),
    /// A caller requests a task.
    Request(usize, usize),
    /// The owner withdraws a call that it has not sent.
    Withdraw(usize, usize),
    /// The owner sends a call; the flag tells whether the call is delayed in
    /// transit.
    Send(usize, usize, bool),
    /// The endpoint runs a call that was in transit.
    Execute(usize),
    /// The owner receives the answer to a call.
    Answer(usize, usize),
    /// The owner learns that its last record of a call is durable, or that it
    /// has lost the slot.
    Complete(usize, usize),
    /// The answer to a call is lost.
    LoseAnswer(usize, usize),
    /// The owner ends a former owner's call.
    Settle(usize, usize),
    /// A daemon is killed and restarted.
    Crash(usize),
    /// The owner writes a snapshot.
    Snapshot(usize),
    /// All records before the last snapshot expire.
    Expire,
    /// The owner loses its connection to the log.
    Disconnect(usize),
    /// One daemon's pending records are copied to another daemon.
    Copy(usize, usize),
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Returns all transitions from a state with the states that they lead to.
pub fn successors(world: &World, bounds: &Bounds, interner: &mut Interner) -> Vec<(Action, World)> {
    let mut next = Vec::new();
    for action in actions(world, bounds) {
        let mut successor = world.clone();
        if apply(&mut successor, bounds, action) {
            catch_up_followers(&mut successor, bounds);
            successor.in_transit.sort();
            interner.intern(&mut successor);
            next.push((action, successor));
        }
    }
    next
}

fn actions(world: &World, bounds: &Bounds) -> Vec<Action> {
    let mut all = Vec::new();
    for (n, node) in world.nodes.iter().enumerate() {
        all.extend([Action::Read(n), Action::Serve(n), Action::Crash(n)]);
        all.extend([Action::Claim(n, false), Action::Claim(n, true)]);
        all.extend([Action::Append(n, false), Action::Append(n, true)]);
        all.extend([Action::Snapshot(n), Action::Disconnect(n)]);
        for task in 0..bounds.tasks.len() {
            all.extend([Action::Request(n, task), Action::Settle(n, task)]);
        }
        for c in 0..node.calls.len() {
            all.extend([Action::Withdraw(n, c), Action::Answer(n, c)]);
            all.extend([Action::Send(n, c, false), Action::Send(n, c, true)]);
            all.extend([Action::Complete(n, c), Action::LoseAnswer(n, c)]);
        }
        let others = (0..world.nodes.len()).filter(|m| *m != n);
        all.extend(others.map(|m| Action::Copy(n, m)));
    }
    all.extend((0..world.late_batches.len()).map(Action::ApplyLateAppend));
    all.extend((0..world.in_transit.len()).map(Action::Execute));
    all.push(Action::Expire);
    all
}

/// Decrements a number of remaining events; returns false if it was 0 already.
pub fn consume(remaining: &mut u8) -> bool {
    let is_available = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_available
}

/// Applies an action to a state; returns false if the action is not possible.
fn apply(w: &mut World, bounds: &Bounds, action: Action) -> bool {
    match action {
        Action::Read(n) => read(w, n),
        Action::Claim(n, late) => claim(w, n, late),
        Action::Serve(n) => serve(w, bounds, n),
        Action::Append(n, late) => append(w, bounds, n, late),
        Action::ApplyLateAppend(i) => {
            let batch = w.late_batches.remove(i);
            w.log.push(batch);
            true
        }
        Action::Request(n, task) => request(w, bounds, n, task),
        Action::Withdraw(n, c) => calls::withdraw(w, bounds, n, c),
        Action::Send(n, c, late) => calls::send(w, bounds, n, c, late),
        Action::Execute(i) => {
            let message = w.in_transit.remove(i);
            calls::execute(w, bounds, message);
            true
        }
        Action::Answer(n, c) => calls::answer(w, bounds, n, c),
        Action::Complete(n, c) => calls::complete(w, bounds, n, c),
        Action::LoseAnswer(n, c) => calls::lose_answer(w, bounds, n, c),
        Action::Settle(n, task) => bounds.can_settle && settle(w, bounds, n, task),
        Action::Crash(n) => consume(&mut w.remaining.crashes) && crash(w, n),
        Action::Snapshot(n) => {
            consume(&mut w.remaining.snapshots) && w.node(n).replica.propose_snapshot().is_ok()
        }
        Action::Expire => expire(w),
        Action::Disconnect(n) => {
            let is_connected_owner =
                !w.nodes[n].is_log_unreachable && w.nodes[n].replica.serving().is_some();
            w.node(n).is_log_unreachable = true;
            is_connected_owner && consume(&mut w.remaining.outages)
        }
        Action::Copy(n, m) => copy(w, n, m),
    }
}

fn read(w: &mut World, n: usize) -> bool {
    !w.nodes[n].is_log_unreachable && w.read(n)
}

/// Lets daemons that do not own the slot read at once, since the time at which
/// they read makes no difference until they act.
fn catch_up_followers(w: &mut World, bounds: &Bounds) {
    for n in 0..w.nodes.len() {
        let is_follower = w.nodes[n].replica.owner().is_none();
        if is_follower && bounds.snapshots == 0 && bounds.outages == 0 {
            read(w, n);
        }
        if bounds.outages == 0 {
            serve(w, bounds, n);
        }
    }
}

/// Appends a batch to the log, or to the batches whose append is late.
fn append_batch(w: &mut World, batch: Batch, late: bool) -> bool {
    if !late {
        w.log.push(Rc::new(batch));
        return true;
    }
    w.late_batches.push(Rc::new(batch));
    consume(&mut w.remaining.late_appends)
}

fn claim(w: &mut World, n: usize, late: bool) -> bool {
    let node = &w.nodes[n];
    let is_owner = node.replica.owner().is_some();
    if node.is_log_unreachable
        || is_owner
        || node.replica.state().is_none()
        || !consume(&mut w.remaining.claims)
    {
        return false;
    }
    let node = &w.nodes[n];
    let batch = Batch::Claim {
        writer: node.writer.clone(),
        prev: node.replica.claim().map(|c| c.epoch),
    };
    append_batch(w, batch, late)
}

fn serve(w: &mut World, bounds: &Bounds, n: usize) -> bool {
    let Some(takeover) = w.nodes[n].replica.takeover() else {
        return false;
    };
    let mut copies = Vec::new();
    if let Some(upto) = takeover.newest_replaced() {
        for node in &mut w.nodes {
            let node = Rc::make_mut(node);
            let mut unsealed = node.replica.clone();
            let replica: &mut Replica = match bounds.has(Flaw::UnsealedCopies) {
                true => &mut unsealed,
                false => &mut node.replica,
            };
            copies.extend(replica.seal_copies(upto));
        }
    }
    w.node(n).replica.serve(&takeover, copies);
    true
}

fn append(w: &mut World, bounds: &Bounds, n: usize, late: bool) -> bool {
    let node = &w.nodes[n];
    let Some(batch) = node.replica.batch(BATCH_MAX) else {
        return false;
    };
    let unread = &w.log[node.replica.next().0 as usize..];
    if node.is_log_unreachable || unread.iter().chain(&w.late_batches).any(|b| **b == batch) {
        return false;
    }
    let batch = match bounds.has(Flaw::AcceptStaleRecords) {
        true => as_current_owner(w, batch),
        false => batch,
    };
    append_batch(w, batch, late)
}

/// Implements the flaw `AcceptStaleRecords`: the records appear to belong to
/// the current claim.
fn as_current_owner(w: &World, batch: Batch) -> Batch {
    let reference = w.reference(w.log.len());
    let claim = reference.state().and_then(|s| s.claim.clone());
    match (claim, batch) {
        (Some(claim), Batch::Owned { entries, .. }) => Batch::Owned {
            writer: claim.writer,
            epoch: claim.epoch,
            entries,
        },
        (_, batch) => batch,
    }
}

fn request(w: &mut World, bounds: &Bounds, n: usize, index: usize) -> bool {
    let task = bounds.tasks[index];
    let Some(owner) = w.nodes[n].replica.serving() else {
        return false;
    };
    let epoch = owner.epoch();
    let id = world::program_id(task.program);
    let turn = Turn(task.turn);
    let Some(program) = owner.state().programs.get(&id) else {
        return false;
    };
    let history = program.history;
    let admission = program.admit(turn, world::task_digest(&task), epoch);
    if !consume(&mut w.remaining.requests) {
        return false;
    }
    let replica = &mut w.node(n).replica;
    match admission {
        Admission::Ready => start(w, bounds, n, index, history),
        Admission::Orphaned(None) if bounds.has(Flaw::RestartOrphanedCall) => {
            // This implements the flaw by a forged report of the former owner
            // that the call was not sent.
            forge_report(w, n, &task);
            w.node(n)
                .replica
                .propose(Record::Reopen { program: id, turn })
                .is_ok()
                && start(w, bounds, n, index, history)
        }
        Admission::Orphaned(Some(Outcome::NotRun)) => replica
            .propose(Record::Reopen { program: id, turn })
            .is_ok(),
        Admission::Orphaned(Some(outcome)) => {
            let program = id;
            let record = Record::Settle {
                program,
                turn,
                outcome,
            };
            replica.propose(record).is_ok()
        }
        Admission::Replay(Outcome::NotRun) => w.replies.insert(Reply::NeverRun(index)),
        Admission::Replay(_)
        | Admission::Orphaned(None)
        | Admission::Conflict
        | Admission::Ahead { .. }
        | Admission::Busy => false,
    }
}

/// Appends a forged report that the call in flight of a task did not run.
fn forge_report(w: &mut World, n: usize, task: &Task) {
    let id = world::program_id(task.program);
    let state = w.nodes[n].replica.state().expect("a serving owner has one");
    let current = state.programs[&id].current.clone();
    let Some(current) = current else { return };
    let batch = calls::report_batch(
        current.starter.writer,
        current.starter.start,
        task,
        Outcome::NotRun,
    );
    w.log.push(Rc::new(batch));
    read(w, n);
}

fn start(
    w: &mut World,
    bounds: &Bounds,
    n: usize,
    index: usize,
    history: kingcupspan_core::digest::Digest,
) -> bool {
    let task = bounds.tasks[index];
    let reserve = match bounds.has(Flaw::NoReservation) {
        true => Amount::default(),
        false => Amount::call(1),
    };
    let record = Record::Start(Start {
        program: world::program_id(task.program),
        turn: Turn(task.turn),
        digest: world::task_digest(&task),
        history,
        reserve,
        idempotency: match task.idempotent {
            true => Idempotency::Idempotent,
            false => Idempotency::NonIdempotent,
        },
        key: (!task.idempotent).then(|| format!("key-{index}")),
    });
    let Ok(proposed) = w.node(n).replica.propose(record) else {
        return false;
    };
    let attempt = w.next_attempt;
    w.next_attempt += 1;
    w.node(n).calls.push(Call {
        task: index,
        attempt,
        start: proposed,
        phase: Phase::Starting(proposed),
    });
    true
}

fn settle(w: &mut World, bounds: &Bounds, n: usize, index: usize) -> bool {
    let task = bounds.tasks[index];
    let id = world::program_id(task.program);
    let program = w.nodes[n].replica.state().and_then(|s| s.programs.get(&id));
    let current = program.and_then(|p| p.current.as_ref());
    let known = current.and_then(|c| c.reported_outcome.clone());
    let record = Record::Settle {
        program: id,
        turn: Turn(task.turn),
        outcome: known.unwrap_or(Outcome::Unknown),
    };
    w.node(n).replica.propose(record).is_ok()
}

fn crash(w: &mut World, n: usize) -> bool {
    let node = w.node(n);
    node.writer = world::writer(n, node.writer.incarnation + 1);
    node.replica = Replica::new(node.writer.clone());
    node.calls.clear();
    node.is_log_unreachable = false;
    true
}

fn expire(w: &mut World) -> bool {
    match w.last_snapshot() {
        Some(offset) if offset > w.oldest => {
            w.oldest = offset;
            true
        }
        _ => false,
    }
}

fn copy(w: &mut World, n: usize, m: usize) -> bool {
    if !w.nodes[n].is_log_unreachable {
        return false;
    }
    let Some(Batch::Owned { epoch, entries, .. }) = w.nodes[n].replica.batch(BATCH_MAX) else {
        return false;
    };
    let batch = w.nodes[n].replica.batch(BATCH_MAX);
    if !batch.is_some_and(|b| w.nodes[n].replica.needs_copies(&b)) {
        return false;
    }
    let last = entries.last().map_or(Seq(0), |e| e.seq);
    match w.node(m).replica.store_copies(epoch, entries) {
        CopyResult::Stored => w.node(n).replica.confirm_copies(epoch, last),
        CopyResult::Fenced => return false,
    }
    true
}
