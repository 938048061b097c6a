//! Invariants that must hold in every state.

use std::collections::BTreeMap;

use kingcupspan_core::{program::Program, reader::Reader, record::Outcome, slot::SlotState};

use crate::{
    bounds::Bounds,
    world::{self, Reply, World},
};

/// Returns the name of the first invariant that a state violates.
pub fn violated(w: &World, bounds: &Bounds) -> Option<&'static str> {
    let checks = [
        ("at most once", at_most_once(w, bounds)),
        ("not run is true", not_run_replies_are_true(w)),
        ("order", order(w, bounds)),
        ("budget", budget(w, bounds)),
        ("one fold", replicas_agree(w)),
        ("answers are kept", answers_stay_on_log(w, bounds)),
        ("history is kept", owner_has_all_answers(w, bounds)),
    ];
    checks
        .iter()
        .find(|(_, holds)| !holds)
        .map(|(name, _)| *name)
}

/// No non-idempotent call runs twice.
fn at_most_once(w: &World, bounds: &Bounds) -> bool {
    let mut count = BTreeMap::new();
    for message in &w.executed {
        if !bounds.tasks[message.task].idempotent {
            *count.entry(message.task).or_insert(0) += 1;
        }
    }
    count.values().all(|n| *n <= 1)
}

/// No call runs, before or after, for which a caller got the reply that it did
/// not run.
fn not_run_replies_are_true(w: &World) -> bool {
    w.replies.iter().all(|reply| match reply {
        Reply::NotRun(attempt) => w.executed.iter().all(|m| m.attempt != *attempt),
        Reply::NeverRun(task) => w.executed.iter().all(|m| m.task != *task),
        Reply::Answered(_) | Reply::AnsweredFromLog(_) => true,
    })
}

/// The calls of a program run in order if the endpoint checks fencing numbers.
fn order(w: &World, bounds: &Bounds) -> bool {
    if !bounds.checks_fence {
        return true;
    }
    let turns: Vec<u32> = w
        .executed
        .iter()
        .map(|m| bounds.tasks[m.task].turn)
        .collect();
    turns.is_sorted()
}

/// No budget is exceeded, neither according to the ledgers nor by the calls
/// that ran.
fn budget(w: &World, bounds: &Bounds) -> bool {
    let is_within = |p: &Program| (p.ledger.spent + p.ledger.reserved).fits_within(&p.ledger.limit);
    let states = w.nodes.iter().filter_map(|n| n.replica.state());
    let mut programs = states.flat_map(|s| s.programs.values());
    w.executed.len() as u64 <= bounds.calls && programs.all(is_within)
}

/// All daemons that have read the same records have the same state, and an
/// owner whose records are all on the log has the state computed from the log.
fn replicas_agree(w: &World) -> bool {
    w.nodes.iter().all(|node| {
        let Some(state) = node.replica.state() else {
            return true;
        };
        if node.replica.owner().is_some_and(|o| o.pending().len() > 0) {
            return true;
        }
        let length = node.replica.next().0 as usize;
        match &*w.reference(length) {
            Reader::Complete(reference) => states_agree(state, reference),
            Reader::AwaitingSnapshot { .. } => false,
        }
    })
}

/// Returns whether two states agree. A state that was built from a snapshot may
/// lack late reports and nothing else.
fn states_agree(state: &SlotState, reference: &SlotState) -> bool {
    let claims_match = match (&state.claim, &reference.claim) {
        (Some(a), Some(b)) => a.epoch == b.epoch && a.last_seq == b.last_seq,
        (None, None) => true,
        _ => false,
    };
    let pairs = state.programs.iter().zip(&reference.programs);
    let programs_match = pairs
        .into_iter()
        .all(|((a, p), (b, q))| a == b && programs_agree(p, q));
    claims_match && state.programs.len() == reference.programs.len() && programs_match
}

fn programs_agree(p: &Program, q: &Program) -> bool {
    let outcomes = p.turns.iter().zip(&q.turns);
    let outcomes_match = outcomes
        .into_iter()
        .all(|(a, b)| a.outcome == b.outcome || a.outcome == Outcome::Unknown);
    let current = match (&p.current, &q.current) {
        (Some(a), Some(b)) => a.starter == b.starter && a.digest == b.digest,
        (None, None) => true,
        _ => false,
    };
    outcomes_match
        && current
        && p.turns.len() == q.turns.len()
        && p.history == q.history
        && p.ledger == q.ledger
}

fn has_answer(state: &SlotState, bounds: &Bounds, task: usize) -> bool {
    let task = &bounds.tasks[task];
    let program = state.programs.get(&world::program_id(task.program));
    let turn = program.and_then(|p| p.turns.get(task.turn as usize));
    turn.is_some_and(|t| matches!(t.outcome, Outcome::Answered(_)))
}

fn answered(w: &World) -> impl Iterator<Item = usize> {
    w.replies.iter().filter_map(|reply| match reply {
        Reply::Answered(task) => Some(*task),
        Reply::NotRun(_) | Reply::NeverRun(_) | Reply::AnsweredFromLog(_) => None,
    })
}

/// An answer that was on the log stays there.
fn answers_stay_on_log(w: &World, bounds: &Bounds) -> bool {
    let reference = w.reference(w.log.len());
    let Some(state) = reference.state() else {
        return false;
    };
    w.replies.iter().all(|reply| match reply {
        Reply::AnsweredFromLog(task) => has_answer(state, bounds, *task),
        Reply::NotRun(_) | Reply::NeverRun(_) | Reply::Answered(_) => true,
    })
}

/// The owner that serves under the newest claim has every answer that a caller
/// got.
fn owner_has_all_answers(w: &World, bounds: &Bounds) -> bool {
    let newest = w.reference(w.log.len());
    let Some(epoch) = newest.state().and_then(SlotState::epoch) else {
        return false;
    };
    let serving = w.nodes.iter().filter_map(|n| n.replica.serving());
    serving
        .filter(|owner| owner.epoch() == epoch)
        .all(|owner| answered(w).all(|task| has_answer(owner.state(), bounds, task)))
}
