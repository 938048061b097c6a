//! What must hold in every state.

use std::collections::BTreeMap;

use kingcupspan_core::{program::Program, reader::Reader, record::Outcome, slot::SlotState};

use crate::{
    bounds::Bounds,
    world::{self, Told, World},
};

/// The first invariant that a state breaks.
pub fn broken(w: &World, bounds: &Bounds) -> Option<&'static str> {
    let checks = [
        ("at most once", at_most_once(w, bounds)),
        ("not run is true", not_run_is_true(w)),
        ("order", order(w, bounds)),
        ("budget", budget(w, bounds)),
        ("one fold", one_fold(w)),
        ("answers are kept", answers_are_kept(w, bounds)),
        ("history is kept", history_is_kept(w, bounds)),
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

/// What was said not to run has not, and never will.
fn not_run_is_true(w: &World) -> bool {
    w.told.iter().all(|told| match told {
        Told::NotRun(attempt) => w.executed.iter().all(|m| m.attempt != *attempt),
        Told::NeverRun(task) => w.executed.iter().all(|m| m.task != *task),
        Told::Answered(_) | Told::OnLog(_) => true,
    })
}

/// Calls of one program run in their order, where the endpoint checks fencing numbers.
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

/// No budget is exceeded, by the books or by what ran.
fn budget(w: &World, bounds: &Bounds) -> bool {
    let within = |p: &Program| (p.ledger.spent + p.ledger.reserved).fits_within(&p.ledger.limit);
    let states = w.nodes.iter().filter_map(|n| n.replica.state());
    let mut programs = states.flat_map(|s| s.programs.values());
    w.executed.len() as u64 <= bounds.calls && programs.all(within)
}

/// All who have read as much have the same state, and an owner whose records
/// are all on the log has the state that the log gives.
fn one_fold(w: &World) -> bool {
    w.nodes.iter().all(|node| {
        let Some(state) = node.replica.state() else {
            return true;
        };
        if node.replica.owner().is_some_and(|o| o.pending().len() > 0) {
            return true;
        }
        let length = node.replica.next().0 as usize;
        match &*w.reference(length) {
            Reader::Complete(reference) => agree(state, reference),
            Reader::AwaitingSnapshot { .. } => false,
        }
    })
}

/// A state that came from a snapshot may lack late reports, and nothing else.
fn agree(state: &SlotState, reference: &SlotState) -> bool {
    let same_claim = match (&state.claim, &reference.claim) {
        (Some(a), Some(b)) => a.epoch == b.epoch && a.last_seq == b.last_seq,
        (None, None) => true,
        _ => false,
    };
    let pairs = state.programs.iter().zip(&reference.programs);
    let same_programs = pairs
        .into_iter()
        .all(|((a, p), (b, q))| a == b && program_agrees(p, q));
    same_claim && state.programs.len() == reference.programs.len() && same_programs
}

fn program_agrees(p: &Program, q: &Program) -> bool {
    let outcomes = p.turns.iter().zip(&q.turns);
    let same = outcomes
        .into_iter()
        .all(|(a, b)| a.outcome == b.outcome || a.outcome == Outcome::Unknown);
    let current = match (&p.current, &q.current) {
        (Some(a), Some(b)) => a.starter == b.starter && a.digest == b.digest,
        (None, None) => true,
        _ => false,
    };
    same && current
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
    w.told.iter().filter_map(|told| match told {
        Told::Answered(task) => Some(*task),
        Told::NotRun(_) | Told::NeverRun(_) | Told::OnLog(_) => None,
    })
}

/// An answer that was on the log stays there.
fn answers_are_kept(w: &World, bounds: &Bounds) -> bool {
    let reference = w.reference(w.log.len());
    let Some(state) = reference.state() else {
        return false;
    };
    w.told.iter().all(|told| match told {
        Told::OnLog(task) => has_answer(state, bounds, *task),
        Told::NotRun(_) | Told::NeverRun(_) | Told::Answered(_) => true,
    })
}

/// Whoever serves under the newest claim knows every answer that a caller has.
fn history_is_kept(w: &World, bounds: &Bounds) -> bool {
    let newest = w.reference(w.log.len());
    let Some(epoch) = newest.state().and_then(SlotState::epoch) else {
        return false;
    };
    let serving = w.nodes.iter().filter_map(|n| n.replica.serving());
    serving
        .filter(|owner| owner.epoch() == epoch)
        .all(|owner| answered(w).all(|task| has_answer(owner.state(), bounds, task)))
}
