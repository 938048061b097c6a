//! The memory that connections of callers hold together.

use kingcupspan_core::{
    gateway::byte_budget::{
        BudgetLimits, ByteBudget, Grant, HolderId, ORDINARY_BYTES, STALL_MS, Stage,
    },
    id::MonoMs,
};
use proptest::prelude::*;

/// Number of random cases.
const CASES: u32 = 500;

const LIMITS: BudgetLimits = BudgetLimits {
    bytes: 4 * 1024 * 1024,
    floor: 1024 * 1024,
    connections: 24,
    waiting: 4,
};

/// What a random client or the clock does.
#[derive(Debug, Clone)]
enum Step {
    Open,
    Close(usize),
    Resize(usize, u64),
    SetStage(usize, u8),
    Move(usize, u64),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let bytes = prop_oneof![0..ORDINARY_BYTES, 0..LIMITS.bytes, Just(u64::MAX)];
    let step = prop_oneof![
        3 => Just(Step::Open),
        1 => any::<usize>().prop_map(Step::Close),
        6 => (any::<usize>(), bytes).prop_map(|(i, n)| Step::Resize(i, n)),
        3 => (any::<usize>(), 0..4u8).prop_map(|(i, s)| Step::SetStage(i, s)),
        2 => (any::<usize>(), 0..10_000u64).prop_map(|(i, n)| Step::Move(i, n)),
        2 => (0..2 * STALL_MS).prop_map(Step::Pass),
    ];
    proptest::collection::vec(step, 0..120)
}

/// A connection as the test knows it.
#[derive(Debug)]
struct Known {
    id: HolderId,
    bytes: u64,
    stage: Stage,
    changed_at: u64,
}

/// Budget under random use, with what it should hold.
struct Run {
    budget: ByteBudget,
    known: Vec<Known>,
    now: u64,
}

impl Run {
    fn new() -> Self {
        Self {
            budget: ByteBudget::new(LIMITS),
            known: Vec::new(),
            now: 0,
        }
    }

    /// Closes connections that give way; each was held up by its caller for long enough.
    fn give_way(&mut self, evicted: Vec<HolderId>) {
        for id in evicted {
            assert!(self.budget.is_evicted(id));
            let at = self.known.iter().position(|k| k.id == id);
            let known = self.known.remove(at.expect("the connection is open"));
            assert_ne!(known.stage, Stage::Processing);
            assert!(self.now - known.changed_at >= STALL_MS, "{known:?}");
            assert!(
                !self
                    .budget
                    .set_stage(id, Stage::Processing, MonoMs(self.now))
            );
            self.budget.close(id);
        }
    }

    fn take(&mut self, at: usize, bytes: u64) {
        let id = self.known[at].id;
        match self.budget.resize(id, bytes, MonoMs(self.now)) {
            Grant::Granted => self.known[at].bytes = bytes,
            Grant::Short(evicted) => self.give_way(evicted),
        }
    }

    fn step(&mut self, step: &Step) {
        let now = MonoMs(self.now);
        let at = |i: usize| i.checked_rem(self.known.len());
        match *step {
            Step::Open => {
                if let Some((id, evicted)) = self.budget.open(now) {
                    self.known.push(Known {
                        id,
                        bytes: 0,
                        stage: Stage::Idle,
                        changed_at: self.now,
                    });
                    self.give_way(evicted.into_iter().collect());
                }
            }
            Step::Close(i) => {
                if let Some(at) = at(i) {
                    self.budget.close(self.known.remove(at).id);
                }
            }
            Step::Resize(i, bytes) => {
                if let Some(at) = at(i) {
                    self.take(at, bytes);
                }
            }
            Step::SetStage(i, stage) => {
                if let Some(at) = at(i) {
                    let stages = [
                        Stage::Idle,
                        Stage::Receiving,
                        Stage::Processing,
                        Stage::Sending,
                    ];
                    let stage = stages[usize::from(stage)];
                    assert!(self.budget.set_stage(self.known[at].id, stage, now));
                    self.known[at].stage = stage;
                    self.known[at].changed_at = self.now;
                }
            }
            Step::Move(i, bytes) => {
                if let Some(at) = at(i) {
                    self.budget.record_progress(self.known[at].id, bytes, now);
                }
            }
            Step::Pass(ms) => self.now += ms,
        }
    }

    /// Checks that the bounds hold and that nothing is lost.
    fn check(&self) {
        let held: u64 = self.known.iter().map(|k| k.bytes).sum();
        assert_eq!(self.budget.held(), held);
        assert_eq!(self.budget.connections(), self.known.len());
        assert!(held <= LIMITS.bytes);
        assert!(self.known.len() <= LIMITS.connections);
        let is_large = |k: &&Known| k.bytes > ORDINARY_BYTES;
        let large: u64 = self.known.iter().filter(is_large).map(|k| k.bytes).sum();
        assert!(large <= LIMITS.bytes - LIMITS.floor);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    // Guards against takes and returns that exceed the bounds, close connections that are not at
    // fault, or leak bytes.
    #[test]
    fn budget_holds_under_random_use(steps in steps()) {
        let mut run = Run::new();
        for step in &steps {
            run.step(step);
            run.check();
        }
        while let Some(known) = run.known.pop() {
            run.budget.close(known.id);
        }
        assert_eq!(run.budget.held(), 0);
        assert_eq!(run.budget.connections(), 0);
    }

    // Guards against large bodies that leave no room for an ordinary request.
    #[test]
    fn ordinary_request_fits_beside_stalled_ones(steps in steps(), bytes in 0..=ORDINARY_BYTES) {
        let mut run = Run::new();
        for step in steps.iter().filter(|s| !matches!(s, Step::SetStage(_, 2))) {
            run.step(step);
        }
        run.now += STALL_MS;
        run.step(&Step::Open);
        let mut at = run.known.len() - 1;
        prop_assert_eq!(run.known[at].changed_at, run.now, "no connection was opened");
        let id = run.known[at].id;
        run.take(at, bytes);
        at = run.known.iter().position(|k| k.id == id).expect("it stays");
        // What others held is free now, if it was not before.
        run.take(at, bytes);
        prop_assert_eq!(run.known[at].bytes, bytes);
    }
}

// Guards against defaults that refuse the largest legal body in calm, or let callers use up the
// memory or the descriptors of a VM.
#[test]
fn limits_of_a_small_vm_fit_the_largest_body() {
    let limits = BudgetLimits::for_vm(88_000_000, 8_200);
    let budget = ByteBudget::new(limits);
    // A chunked body is copied when its buffer grows.
    assert!(budget.can_ever_hold((2 + 4) * 1024 * 1024));
    assert!(limits.bytes <= 88_000_000 / 6);
    assert!(limits.connections > 2_000 && limits.connections <= 4_000);
    assert!(!budget.can_ever_hold(u64::MAX));
}

// Guards against a connection that is closed though it only waits for the daemon.
#[test]
fn waiting_connection_gives_way_to_none() {
    let mut budget = ByteBudget::new(LIMITS);
    let (first, _) = budget.open(MonoMs(0)).expect("there is room");
    let room = LIMITS.bytes - LIMITS.floor;
    assert_eq!(budget.resize(first, room, MonoMs(0)), Grant::Granted);
    budget.set_stage(first, Stage::Processing, MonoMs(0));
    let (second, _) = budget.open(MonoMs(0)).expect("there is room");
    let late = MonoMs(10 * STALL_MS);
    let large = ORDINARY_BYTES + 1;
    assert_eq!(budget.resize(second, large, late), Grant::Short(Vec::new()));
    assert_eq!(budget.resize(second, ORDINARY_BYTES, late), Grant::Granted);
    budget.set_stage(first, Stage::Sending, late);
    let later = MonoMs(11 * STALL_MS);
    assert_eq!(
        budget.resize(second, large, later),
        Grant::Short(vec![first])
    );
}
