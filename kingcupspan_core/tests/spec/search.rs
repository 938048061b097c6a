//! Exhaustive breadth-first search, which returns the shortest counterexample.

use std::{
    cell::{Cell, RefCell},
    hash::{Hash, Hasher},
};

use pathfinding::directed::bfs;

use crate::{
    bounds::Bounds,
    invariants,
    step::{self, Action},
    world::{self, Interner, World},
};

/// Result of an exploration.
pub struct SearchResult {
    /// Number of visited states.
    pub states: usize,

    /// Largest number of steps on a shortest path to any visited state.
    pub depth: usize,

    /// Shortest path to a state that violates an invariant, as text.
    pub counterexample: Option<String>,
}

/// State with the step by which it was first reached.
///
/// Equality and hash consider the state only.
#[derive(Clone)]
struct Visit {
    world: World,
    /// Number of steps from the initial state.
    depth: usize,
    action: Option<Action>,
}

impl PartialEq for Visit {
    fn eq(&self, other: &Self) -> bool {
        self.world == other.world
    }
}

impl Eq for Visit {}

impl Hash for Visit {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.world.hash(state);
    }
}

/// Explores all states within the bounds until an invariant is violated.
pub fn explore(bounds: &Bounds) -> SearchResult {
    let states = Cell::new(0);
    let depth = Cell::new(0);
    world::clear_reference_readers();
    let interner = RefCell::new(Interner::default());
    let mut world = World::new(bounds);
    interner.borrow_mut().intern(&mut world);
    let first = Visit {
        world,
        depth: 0,
        action: None,
    };
    let successors = |visit: &Visit| {
        states.set(states.get() + 1);
        depth.set(depth.get().max(visit.depth));
        let next = step::successors(&visit.world, bounds, &mut interner.borrow_mut()).into_iter();
        let depth = visit.depth + 1;
        next.map(move |(action, world)| Visit {
            world,
            depth,
            action: Some(action),
        })
    };
    let violated = |visit: &Visit| invariants::violated(&visit.world, bounds).is_some();
    let path = bfs::bfs(&first, successors, violated);
    SearchResult {
        states: states.get(),
        depth: depth.get(),
        counterexample: path.map(|path| trace(&path, bounds)),
    }
}

/// Formats the path to a state that violates an invariant.
fn trace(path: &[Visit], bounds: &Bounds) -> String {
    let mut trace = String::new();
    if let Some(last) = path.last() {
        let name = invariants::violated(&last.world, bounds).unwrap_or("?");
        trace.push_str(&format!("violated: {name}\n"));
    }
    for visit in path {
        if let Some(action) = visit.action {
            trace.push_str(&format!("  {:>2}. {action}\n", visit.depth));
        }
    }
    trace
}
