//! Random schedules within bounds that are too large for exhaustive
//! exploration.

use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

use crate::{
    bounds::Bounds,
    invariants, step,
    world::{self, Interner, World},
};

/// Environment variable that sets the number of cases.
const CASES: &str = "KINGCUPSPAN_SPEC_CASES";

/// Default number of cases, as run in CI.
const CASES_DEFAULT: u32 = 200;

/// Fixed seed, so that every run has the same result.
const SEED: u64 = 7;

fn bounds() -> Bounds {
    let base = Bounds::outage();
    Bounds {
        nodes: 3,
        calls: 4,
        tasks: vec![
            crate::bounds::Task {
                program: 0,
                turn: 0,
                idempotent: true,
            },
            crate::bounds::Task {
                program: 0,
                turn: 1,
                idempotent: false,
            },
            crate::bounds::Task {
                program: 0,
                turn: 2,
                idempotent: false,
            },
        ],
        claims: 6,
        requests: 12,
        crashes: 0,
        late_appends: 4,
        late_sends: 3,
        snapshots: 3,
        outages: 2,
        can_settle: true,
        checks_fence: true,
        ..base
    }
}

fn run_schedule(choices: &[u16], bounds: &Bounds) -> Result<(), TestCaseError> {
    world::clear_reference_readers();
    let mut interner = Interner::default();
    let mut world = World::new(bounds);
    interner.intern(&mut world);
    let mut path = Vec::new();
    for choice in choices {
        let mut next = step::successors(&world, bounds, &mut interner);
        if next.is_empty() {
            break;
        }
        let (action, successor) = next.swap_remove(usize::from(*choice) % next.len());
        path.push(action);
        world = successor;
        if let Some(name) = invariants::violated(&world, bounds) {
            return Err(TestCaseError::fail(format!(
                "violated: {name} after {path:?}"
            )));
        }
    }
    Ok(())
}

#[test]
fn invariants_hold_on_random_schedules() {
    let cases = std::env::var(CASES).ok().and_then(|c| c.parse().ok());
    let config = ProptestConfig {
        cases: cases.unwrap_or(CASES_DEFAULT),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let schedules = proptest::collection::vec(any::<u16>(), 10..120);
    let bounds = bounds();
    let result = runner.run(&schedules, |choices| run_schedule(&choices, &bounds));
    if let Err(e) = result {
        panic!("{e}");
    }
}
