//! Transitions of a call: a daemon sends it, gets its outcome and records or reports it.
//!
//! The names are those of [`crate::step`].

use std::rc::Rc;

use kingcupspan_core::{
    budget::Amount,
    id::{Seq, Turn, Writer},
    record::{Answer, Batch, Entry, Finish, Outcome, Record, RecordId},
    replica::{Durability, Progress},
    usage::Cost,
};

use crate::{
    bounds::{Bounds, Flaw, Task},
    step,
    world::{self, Call, Message, Phase, Reply, World},
};

pub fn durability(task: &Task) -> Durability {
    match task.idempotent {
        true => Durability::LogOrCopies,
        false => Durability::Log,
    }
}

pub fn finish(task: &Task, start: RecordId, outcome: Outcome) -> Finish {
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

/// Returns the batch by which a former owner reports the outcome of a call.
pub fn report_batch(writer: Writer, start: RecordId, task: &Task, outcome: Outcome) -> Batch {
    Batch::Owned {
        writer,
        epoch: start.epoch,
        entries: vec![Entry {
            seq: Seq(u64::MAX),
            record: Record::Finish(finish(task, start, outcome)),
        }],
    }
}

/// Reports the outcome of a call after the slot was lost.
pub fn report(w: &mut World, n: usize, call: &Call, task: &Task, outcome: Outcome) {
    if task.idempotent || w.nodes[n].is_log_unreachable {
        return;
    }
    let batch = report_batch(w.nodes[n].writer.clone(), call.start, task, outcome);
    w.log.push(Rc::new(batch));
}

pub fn withdraw(w: &mut World, bounds: &Bounds, n: usize, c: usize) -> bool {
    let call = w.nodes[n].calls[c].clone();
    let task = bounds.tasks[call.task];
    let Phase::Starting(proposed) = call.phase else {
        return false;
    };
    w.replies.insert(Reply::NotRun(call.attempt));
    if bounds.has(Flaw::SendAfterWithdrawal) {
        return true;
    }
    w.node(n).calls.remove(c);
    match w.nodes[n].replica.progress(proposed, durability(&task)) {
        Progress::Lost => report(w, n, &call, &task, Outcome::NotRun),
        Progress::Pending | Progress::Durable => {
            let record = Record::Finish(finish(&task, call.start, Outcome::NotRun));
            // A refusal means that another daemon takes over the slot, in which
            // case the end of the call is decided by the records on the log.
            let _ = w.node(n).replica.propose(record);
        }
    }
    true
}

pub fn send(w: &mut World, bounds: &Bounds, n: usize, c: usize, late: bool) -> bool {
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
        w.in_transit.push(message);
        return step::consume(&mut w.remaining.late_sends);
    }
    execute(w, bounds, message);
    true
}

pub fn execute(w: &mut World, bounds: &Bounds, message: Message) {
    let checks_fence = bounds.checks_fence && !bounds.has(Flaw::EndpointIgnoresFence);
    if checks_fence && message.fence < w.fence {
        return;
    }
    w.fence = w.fence.max(message.fence);
    w.executed.push(message);
}

pub fn answer(w: &mut World, bounds: &Bounds, n: usize, c: usize) -> bool {
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
    let is_owner = replica
        .serving()
        .is_some_and(|o| o.epoch() == call.start.epoch);
    let record = Record::Finish(finish(&task, call.start, outcome.clone()));
    match is_owner.then(|| replica.propose(record)) {
        Some(Ok(proposed)) => w.node(n).calls[c].phase = Phase::Finishing(proposed),
        _ => {
            w.node(n).calls.remove(c);
            report(w, n, &call, &task, outcome);
        }
    }
    true
}

pub fn complete(w: &mut World, bounds: &Bounds, n: usize, c: usize) -> bool {
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
            w.replies.insert(Reply::Answered(call.task));
            let replica = &w.nodes[n].replica;
            if replica.progress(proposed, Durability::Log) == Progress::Durable {
                w.replies.insert(Reply::AnsweredFromLog(call.task));
            }
        }
        (true, Progress::Lost) => {}
        (false, Progress::Lost) => {
            w.replies.insert(Reply::NotRun(call.attempt));
            report(w, n, &call, &task, Outcome::NotRun);
        }
        (_, Progress::Pending) | (false, Progress::Durable) => return false,
    }
    w.node(n).calls.remove(c);
    true
}

pub fn lose_answer(w: &mut World, bounds: &Bounds, n: usize, c: usize) -> bool {
    let call = w.nodes[n].calls[c].clone();
    let task = bounds.tasks[call.task];
    if call.phase != Phase::Sent || task.idempotent {
        return false;
    }
    w.node(n).calls.remove(c);
    if bounds.has(Flaw::NotRunOnTimeout) {
        w.replies.insert(Reply::NotRun(call.attempt));
        return true;
    }
    let record = Record::Finish(finish(&task, call.start, Outcome::Unknown));
    // A refusal means that the slot is lost, in which case the call stays an
    // orphan.
    let _ = w.node(n).replica.propose(record);
    true
}
