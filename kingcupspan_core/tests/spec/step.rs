//! Transitions: each calls the functions that the daemon calls.

use std::{fmt, rc::Rc};

use kingcupspan_core::{
    budget::Amount,
    id::{Seq, Turn, Writer},
    program::Admission,
    record::{Answer, Batch, Entry, Finish, Idempotency, Outcome, Record, RecordId, Start},
    replica::{CopyResult, Durability, Progress, Replica},
    usage::Cost,
};

use crate::{
    bounds::{Bounds, Flaw, Task},
    world::{self, BATCH_MAX, Call, Interner, Message, Phase, Told, World},
};

/// What happens next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A daemon reads the next record.
    Read(usize),
    /// A daemon claims the slot; the append may be late.
    Claim(usize, bool),
    /// A daemon that has read its claim fetches copies and serves.
    Serve(usize),
    /// The owner appends what is pending; the append may be late.
    Append(usize, bool),
    /// A late append takes effect.
    Land(usize),
    /// A caller requests a task.
    Request(usize, usize),
    /// The owner gives up a call that it has not sent.
    Withdraw(usize, usize),
    /// The owner sends a call; it may be long under way.
    Send(usize, usize, bool),
    /// The endpoint runs a call that was under way.
    Execute(usize),
    /// The owner gets the answer.
    Answer(usize, usize),
    /// The owner sees its last record of a call on the log.
    Conclude(usize, usize),
    /// The answer never comes.
    LoseAnswer(usize, usize),
    /// The owner closes a former owner's call.
    Settle(usize, usize),
    /// A daemon is killed and started again.
    Crash(usize),
    /// The owner writes a snapshot.
    Snapshot(usize),
    /// All records before the last snapshot expire.
    Expire,
    /// A daemon is cut off from the log.
    CutOff(usize),
    /// Pending records of one daemon are kept by another.
    Copy(usize, usize),
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// All states that may follow.
pub fn successors(world: &World, bounds: &Bounds, interner: &mut Interner) -> Vec<(Action, World)> {
    let mut next = Vec::new();
    for action in actions(world, bounds) {
        let mut after = world.clone();
        if apply(&mut after, bounds, action) {
            follow(&mut after, bounds);
            after.wire.sort();
            interner.intern(&mut after);
            next.push((action, after));
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
        all.extend([Action::Snapshot(n), Action::CutOff(n)]);
        for task in 0..bounds.tasks.len() {
            all.extend([Action::Request(n, task), Action::Settle(n, task)]);
        }
        for c in 0..node.calls.len() {
            all.extend([Action::Withdraw(n, c), Action::Answer(n, c)]);
            all.extend([Action::Send(n, c, false), Action::Send(n, c, true)]);
            all.extend([Action::Conclude(n, c), Action::LoseAnswer(n, c)]);
        }
        let others = (0..world.nodes.len()).filter(|m| *m != n);
        all.extend(others.map(|m| Action::Copy(n, m)));
    }
    all.extend((0..world.late.len()).map(Action::Land));
    all.extend((0..world.wire.len()).map(Action::Execute));
    all.push(Action::Expire);
    all
}

fn take(left: &mut u8) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}

fn apply(w: &mut World, bounds: &Bounds, action: Action) -> bool {
    match action {
        Action::Read(n) => read(w, n),
        Action::Claim(n, late) => claim(w, n, late),
        Action::Serve(n) => serve(w, bounds, n),
        Action::Append(n, late) => append(w, bounds, n, late),
        Action::Land(i) => {
            let batch = w.late.remove(i);
            w.log.push(batch);
            true
        }
        Action::Request(n, task) => request(w, bounds, n, task),
        Action::Withdraw(n, c) => withdraw(w, bounds, n, c),
        Action::Send(n, c, late) => send(w, bounds, n, c, late),
        Action::Execute(i) => {
            let message = w.wire.remove(i);
            execute(w, bounds, message);
            true
        }
        Action::Answer(n, c) => answer(w, bounds, n, c),
        Action::Conclude(n, c) => conclude(w, bounds, n, c),
        Action::LoseAnswer(n, c) => lose_answer(w, bounds, n, c),
        Action::Settle(n, task) => bounds.settles && settle(w, bounds, n, task),
        Action::Crash(n) => take(&mut w.left.crashes) && crash(w, n),
        Action::Snapshot(n) => {
            take(&mut w.left.snapshots) && w.node(n).replica.propose_snapshot().is_ok()
        }
        Action::Expire => expire(w),
        Action::CutOff(n) => {
            let cut = !w.nodes[n].log_away && w.nodes[n].replica.serving().is_some();
            w.node(n).log_away = true;
            cut && take(&mut w.left.outages)
        }
        Action::Copy(n, m) => copy(w, n, m),
    }
}

fn read(w: &mut World, n: usize) -> bool {
    !w.nodes[n].log_away && w.read(n)
}

/// Daemons that do not own the slot read at once: until they act, it makes no
/// difference when they do.
fn follow(w: &mut World, bounds: &Bounds) {
    for n in 0..w.nodes.len() {
        let follows = w.nodes[n].replica.owner().is_none();
        if follows && bounds.snapshots == 0 && bounds.outages == 0 {
            read(w, n);
        }
        if bounds.outages == 0 {
            serve(w, bounds, n);
        }
    }
}

fn land(w: &mut World, batch: Batch, late: bool) -> bool {
    if !late {
        w.log.push(Rc::new(batch));
        return true;
    }
    w.late.push(Rc::new(batch));
    take(&mut w.left.late_appends)
}

fn claim(w: &mut World, n: usize, late: bool) -> bool {
    let node = &w.nodes[n];
    let owns = node.replica.owner().is_some();
    if node.log_away || owns || node.replica.state().is_none() || !take(&mut w.left.claims) {
        return false;
    }
    let node = &w.nodes[n];
    let batch = Batch::Claim {
        writer: node.writer.clone(),
        prev: node.replica.claim().map(|c| c.epoch),
    };
    land(w, batch, late)
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
    if node.log_away || unread.iter().chain(&w.late).any(|b| **b == batch) {
        return false;
    }
    let batch = match bounds.has(Flaw::StaleRecordsCount) {
        true => as_present_owner(w, batch),
        false => batch,
    };
    land(w, batch, late)
}

/// The flaw: the records pretend to be of the claim in force.
fn as_present_owner(w: &World, batch: Batch) -> Batch {
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
    let after = program.history;
    let admission = program.admit(turn, world::task_digest(&task), epoch);
    if !take(&mut w.left.requests) {
        return false;
    }
    let replica = &mut w.node(n).replica;
    match admission {
        Admission::Ready => start(w, bounds, n, index, after),
        Admission::Orphaned(None) if bounds.has(Flaw::ReassignIntent) => {
            // The flaw: as if the former owner had reported that it was not sent.
            forge_fate(w, n, &task);
            w.node(n)
                .replica
                .propose(Record::Reopen { program: id, turn })
                .is_ok()
                && start(w, bounds, n, index, after)
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
        Admission::Replay(Outcome::NotRun) => w.told.insert(Told::NeverRun(index)),
        Admission::Replay(_)
        | Admission::Orphaned(None)
        | Admission::Conflict
        | Admission::Ahead { .. }
        | Admission::Busy => false,
    }
}

fn forge_fate(w: &mut World, n: usize, task: &Task) {
    let id = world::program_id(task.program);
    let state = w.nodes[n].replica.state().expect("a serving owner has one");
    let current = state.programs[&id].current.clone();
    let Some(current) = current else { return };
    let batch = fate(
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
    after: kingcupspan_core::digest::Digest,
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
        history: after,
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
    let attempt = w.attempts;
    w.attempts += 1;
    w.node(n).calls.push(Call {
        task: index,
        attempt,
        start: proposed,
        phase: Phase::Starting(proposed),
    });
    true
}

fn durability(task: &Task) -> Durability {
    match task.idempotent {
        true => Durability::LogOrCopies,
        false => Durability::Log,
    }
}

fn finish(task: &Task, start: RecordId, outcome: Outcome) -> Finish {
    let used = match outcome {
        Outcome::Answered(_) => Amount::call(1),
        _ => Amount::default(),
    };
    Finish {
        program: world::program_id(task.program),
        turn: Turn(task.turn),
        start,
        used,
        cost: Cost::default(),
        outcome,
    }
}

fn fate(writer: Writer, start: RecordId, task: &Task, outcome: Outcome) -> Batch {
    Batch::Owned {
        writer,
        epoch: start.epoch,
        entries: vec![Entry {
            seq: Seq(u64::MAX),
            record: Record::Finish(finish(task, start, outcome)),
        }],
    }
}

/// Reports the fate of a call after the slot was lost.
fn report(w: &mut World, n: usize, call: &Call, task: &Task, outcome: Outcome) {
    if task.idempotent || w.nodes[n].log_away {
        return;
    }
    let batch = fate(w.nodes[n].writer.clone(), call.start, task, outcome);
    w.log.push(Rc::new(batch));
}

fn withdraw(w: &mut World, bounds: &Bounds, n: usize, c: usize) -> bool {
    let call = w.nodes[n].calls[c].clone();
    let task = bounds.tasks[call.task];
    let Phase::Starting(proposed) = call.phase else {
        return false;
    };
    w.told.insert(Told::NotRun(call.attempt));
    if bounds.has(Flaw::SendAfterWithdrawal) {
        return true;
    }
    w.node(n).calls.remove(c);
    match w.nodes[n].replica.progress(proposed, durability(&task)) {
        Progress::Lost => report(w, n, &call, &task, Outcome::NotRun),
        Progress::Pending | Progress::Durable => {
            let record = Record::Finish(finish(&task, call.start, Outcome::NotRun));
            // Refused means that the slot is being lost, which the fold settles.
            let _ = w.node(n).replica.propose(record);
        }
    }
    true
}

fn send(w: &mut World, bounds: &Bounds, n: usize, c: usize, late: bool) -> bool {
    let call = w.nodes[n].calls[c].clone();
    let task = bounds.tasks[call.task];
    let Phase::Starting(proposed) = call.phase else {
        return false;
    };
    let progress = w.nodes[n].replica.progress(proposed, durability(&task));
    let early = bounds.has(Flaw::SendBeforeCommit) && progress == Progress::Pending;
    if progress != Progress::Durable && !early {
        return false;
    }
    w.node(n).calls[c].phase = Phase::Sent;
    let message = Message {
        task: call.task,
        attempt: call.attempt,
        fence: proposed.fence(),
    };
    if late {
        w.wire.push(message);
        return take(&mut w.left.late_sends);
    }
    execute(w, bounds, message);
    true
}

fn execute(w: &mut World, bounds: &Bounds, message: Message) {
    let checks = bounds.checks_fence && !bounds.has(Flaw::EndpointIgnoresFence);
    if checks && message.fence < w.fence {
        return;
    }
    w.fence = w.fence.max(message.fence);
    w.executed.push(message);
}

fn answer(w: &mut World, bounds: &Bounds, n: usize, c: usize) -> bool {
    let call = w.nodes[n].calls[c].clone();
    let task = bounds.tasks[call.task];
    let ran = w.executed.iter().any(|m| m.attempt == call.attempt);
    if call.phase != Phase::Sent || !ran {
        return false;
    }
    let messages = match task.idempotent {
        true => format!("\"{}\"", task.turn),
        false => String::new(),
    };
    let outcome = Outcome::Answered(Answer {
        status: 200,
        content_type: String::new(),
        body: Vec::new(),
        messages,
    });
    let replica = &mut w.node(n).replica;
    let owns = replica
        .serving()
        .is_some_and(|o| o.epoch() == call.start.epoch);
    let record = Record::Finish(finish(&task, call.start, outcome.clone()));
    match owns.then(|| replica.propose(record)) {
        Some(Ok(proposed)) => w.node(n).calls[c].phase = Phase::Finishing(proposed),
        _ => {
            w.node(n).calls.remove(c);
            report(w, n, &call, &task, outcome);
        }
    }
    true
}

fn conclude(w: &mut World, bounds: &Bounds, n: usize, c: usize) -> bool {
    let call = w.nodes[n].calls[c].clone();
    let task = bounds.tasks[call.task];
    let (proposed, finishing) = match call.phase {
        Phase::Starting(proposed) => (proposed, false),
        Phase::Finishing(proposed) => (proposed, true),
        Phase::Sent => return false,
    };
    let progress = w.nodes[n]
        .replica
        .progress(proposed, Durability::LogOrCopies);
    match (finishing, progress) {
        (true, Progress::Durable) => {
            w.told.insert(Told::Answered(call.task));
            let replica = &w.nodes[n].replica;
            if replica.progress(proposed, Durability::Log) == Progress::Durable {
                w.told.insert(Told::OnLog(call.task));
            }
        }
        (true, Progress::Lost) => {}
        (false, Progress::Lost) => {
            w.told.insert(Told::NotRun(call.attempt));
            report(w, n, &call, &task, Outcome::NotRun);
        }
        (_, Progress::Pending) | (false, Progress::Durable) => return false,
    }
    w.node(n).calls.remove(c);
    true
}

fn lose_answer(w: &mut World, bounds: &Bounds, n: usize, c: usize) -> bool {
    let call = w.nodes[n].calls[c].clone();
    let task = bounds.tasks[call.task];
    if call.phase != Phase::Sent || task.idempotent {
        return false;
    }
    w.node(n).calls.remove(c);
    if bounds.has(Flaw::NotRunOnTimeout) {
        w.told.insert(Told::NotRun(call.attempt));
        return true;
    }
    let record = Record::Finish(finish(&task, call.start, Outcome::Unknown));
    // Refused means that the slot is lost: the call stays an orphan.
    let _ = w.node(n).replica.propose(record);
    true
}

fn settle(w: &mut World, bounds: &Bounds, n: usize, index: usize) -> bool {
    let task = bounds.tasks[index];
    let id = world::program_id(task.program);
    let program = w.nodes[n].replica.state().and_then(|s| s.programs.get(&id));
    let current = program.and_then(|p| p.current.as_ref());
    let fate = current.and_then(|c| c.reported_outcome.clone());
    let record = Record::Settle {
        program: id,
        turn: Turn(task.turn),
        outcome: fate.unwrap_or(Outcome::Unknown),
    };
    w.node(n).replica.propose(record).is_ok()
}

fn crash(w: &mut World, n: usize) -> bool {
    let node = w.node(n);
    node.writer = world::writer(n, node.writer.incarnation + 1);
    node.replica = Replica::new(node.writer.clone());
    node.calls.clear();
    node.log_away = false;
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
    if !w.nodes[n].log_away {
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
