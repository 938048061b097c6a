//! Shares of workspaces while engines have too little room, in simulated loads.

use std::collections::VecDeque;

use kingcupspan_core::{
    gateway::{
        admission,
        rate_limit::RequestRate,
        shares::{Contender, RecentUse, Shares},
        workspace::{Quota, Workspace},
    },
    id::MonoMs,
};

/// Slots of all engines.
const SLOTS: usize = 60;

/// Time for which a program takes up a slot, in milliseconds.
const RUN_MS: u64 = 600;

/// Programs a second for which there is room.
const CAPACITY_PER_S: f64 = 100.0;

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// Time that is simulated, and from which on programs are counted.
const SPAN_MS: u64 = 60_000;
const COUNTED_FROM_MS: u64 = 10_000;

/// Longest wait for a slot after which a program still ends in time, in milliseconds.
const MAX_WAIT_MS: u64 = 300;

/// A workspace and the programs a second that it begins.
struct Load {
    workspace: Workspace,
    per_s: f64,
}

/// Programs of a workspace that were begun, and those of them that ended in time.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    asked: f64,
    in_time: f64,
}

impl Served {
    /// Part that ended in time.
    fn part(self) -> f64 {
        self.in_time / self.asked
    }
}

/// Random numbers in 0..1 that are the same in each run.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

fn load(name: &str, per_s: f64, priority: u32, quota_per_s: Option<f64>) -> Load {
    let quota = quota_per_s.map(|rate| Quota {
        rate: RequestRate::try_from(rate).expect("the rate is valid"),
        burst: 0.0,
    });
    Load {
        workspace: Workspace {
            name: name.into(),
            keys: Vec::new(),
            priority: Some(priority),
            quota,
        },
        per_s,
    }
}

/// Engines that serve programs first come, first served.
#[derive(Default)]
struct Engines {
    /// Times at which running programs end.
    running: VecDeque<u64>,

    /// Workspaces of the waiting programs, and the times since when they wait.
    waiting: VecDeque<(usize, u64)>,
}

impl Engines {
    fn utilization(&self) -> f64 {
        (self.running.len() + self.waiting.len()) as f64 / SLOTS as f64
    }

    /// Ends programs and starts waiting ones; returns the workspaces of those that are in time.
    fn advance(&mut self, now: u64) -> Vec<usize> {
        while self.running.front().is_some_and(|end| *end <= now) {
            self.running.pop_front();
        }
        let mut in_time = Vec::new();
        while self.running.len() < SLOTS
            && let Some((workspace, since)) = self.waiting.pop_front()
        {
            self.running.push_back(now + RUN_MS);
            in_time.extend((now - since <= MAX_WAIT_MS).then_some(workspace));
        }
        in_time
    }
}

/// Lets workspaces begin programs with or without shares; returns what was served of each.
fn simulate(loads: &[Load], has_shares: bool) -> Vec<Served> {
    let mut served = vec![Served::default(); loads.len()];
    let (mut engines, mut recent) = (Engines::default(), RecentUse::default());
    let mut draws = Draws(1);
    for now in (0..SPAN_MS).step_by(STEP_MS as usize) {
        let counts = if now < COUNTED_FROM_MS { 0.0 } else { 1.0 };
        for workspace in engines.advance(now) {
            served[workspace].in_time += counts;
        }
        for (i, load) in loads.iter().enumerate() {
            if draws.next() >= load.per_s * STEP_MS as f64 / 1_000.0 {
                continue;
            }
            served[i].asked += counts;
            recent.record(&load.workspace, MonoMs(now));
            let rank = load.workspace.priority.unwrap_or_default();
            let (utilization, draw) = (engines.utilization(), draws.next());
            let (share_used, shares) = recent.shares(&load.workspace.name, MonoMs(now));
            let shares = if has_shares {
                shares
            } else {
                Shares::default()
            };
            let share_used = if has_shares { share_used } else { 0.0 };
            if shares.should_admit(utilization, Contender { rank, share_used }, draw) {
                engines.waiting.push_back((i, now));
            }
        }
    }
    served
}

/// Programs a second of all workspaces that ended in time.
fn served_per_s(served: &[Served]) -> f64 {
    let in_time: f64 = served.iter().map(|s| s.in_time).sum();
    in_time * 1_000.0 / (SPAN_MS - COUNTED_FROM_MS) as f64
}

/// Part that ended in time of the programs of several workspaces together.
fn part_of(served: &[Served]) -> f64 {
    let asked: f64 = served.iter().map(|s| s.asked).sum();
    served.iter().map(|s| s.in_time).sum::<f64>() / asked
}

// Guards against a workspace at 7.5 times its usual load that takes the room of all others.
#[test]
fn a_workspace_that_floods_is_the_one_that_is_refused() {
    for quota in [None, Some(16.0)] {
        // Usually all ten together take 80 of 100; with the flood they ask for 132.
        let flood = load("flood", 60.0, 0, quota);
        let others = (0..9).map(|n| load(&format!("w{n}"), 8.0, 0, quota));
        let loads: Vec<Load> = [flood].into_iter().chain(others).collect();
        let (with, without) = (simulate(&loads, true), simulate(&loads, false));
        assert!(part_of(&with[1..]) > 0.95, "{with:?}");
        assert!(part_of(&without[1..]) < 0.85, "{without:?}");
        assert!(with[0].part() < 0.6, "{with:?}");
        assert!(served_per_s(&with) > 0.8 * CAPACITY_PER_S, "{with:?}");
    }
}

// Guards against two large workspaces that leave eighty small ones too little room.
#[test]
fn two_large_workspaces_leave_eighty_small_ones_their_room() {
    let large = (0..2).map(|n| load(&format!("large{n}"), 70.0, 0, None));
    let small = (0..80).map(|n| load(&format!("w{n}"), 0.5, 0, None));
    let loads: Vec<Load> = large.chain(small).collect();
    let (with, without) = (simulate(&loads, true), simulate(&loads, false));
    assert!(part_of(&with[2..]) > 0.9, "{with:?}");
    assert!(part_of(&without[2..]) < 0.7, "{without:?}");
    let (a, b) = (with[0].part(), with[1].part());
    assert!((a - b).abs() < 0.1, "{a} {b}");
    assert!(served_per_s(&with) > 0.8 * CAPACITY_PER_S, "{with:?}");
}

// Guards against a lower priority that is not served while a higher one floods.
#[test]
fn a_lower_priority_keeps_its_share_while_a_higher_one_floods() {
    let flood = load("flood", 95.0, 0, None);
    let higher = (0..4).map(|n| load(&format!("h{n}"), 8.0, 0, None));
    let lower = (0..4).map(|n| load(&format!("l{n}"), 8.0, 2, None));
    let loads: Vec<Load> = [flood].into_iter().chain(higher).chain(lower).collect();
    let (with, without) = (simulate(&loads, true), simulate(&loads, false));
    assert!(part_of(&with[5..]) > 0.9, "{with:?}");
    assert!(part_of(&without[5..]) < 0.3, "{without:?}");
}

// Guards against a rank without effect, and against ranks that are never served.
#[test]
fn a_higher_priority_goes_first_within_the_shares_and_starves_none() {
    let higher = (0..5).map(|n| load(&format!("h{n}"), 18.0, 0, None));
    let lower = (0..5).map(|n| load(&format!("l{n}"), 18.0, 1, None));
    let loads: Vec<Load> = higher.chain(lower).collect();
    let served = simulate(&loads, true);
    let (high, low) = (part_of(&served[..5]), part_of(&served[5..]));
    assert!(high > 0.8 && high > 2.0 * low, "{high} {low}");
    assert!(served[5..].iter().all(|s| s.part() > 0.03), "{served:?}");
}

#[test]
fn nothing_is_refused_while_there_is_room() {
    assert!(admission::has_room(0.7) && !admission::has_room(0.71));
    let shares = Shares::new(vec![1.0, 1.0, 50.0]);
    for (rank, share_used) in [(0, 50.0), (3, 50.0), (0, 1.0), (3, 1.0)] {
        assert!(admission::should_admit(0.7, rank, 0.0));
        assert!(shares.should_admit(0.7, Contender { rank, share_used }, 0.0));
    }
}

#[test]
fn excess_is_refused_before_anything_within_a_share() {
    let shares = Shares::new(vec![1.0, 1.0, 1.0, 15.0]);
    assert!((shares.excess(15.0) - 0.9).abs() < 1e-9);
    assert_eq!(shares.excess(1.0), 0.0);
    let admitted = |rank, share_used| {
        let contender = Contender { rank, share_used };
        let draws = (0..100).map(|i| f64::from(i) / 100.0 + 0.005);
        draws
            .filter(|d| shares.should_admit(1.0, contender, *d))
            .count()
    };
    assert_eq!([admitted(0, 15.0), admitted(1, 15.0)], [10, 10]);
    assert_eq!([admitted(0, 1.0), admitted(1, 1.0)], [100, 100]);
}

#[test]
fn recent_use_fades() {
    let mut recent = RecentUse::default();
    let busy = load("busy", 0.0, 0, None).workspace;
    let other = load("other", 0.0, 0, None).workspace;
    (0..50).for_each(|_| recent.record(&busy, MonoMs(0)));
    recent.record(&other, MonoMs(0));
    let (used, shares) = recent.shares(&busy.name, MonoMs(0));
    assert!(shares.excess(used) > 0.8);
    let (used, shares) = recent.shares(&busy.name, MonoMs(25_000));
    assert_eq!(shares.excess(used), 0.0);
    recent.expire(MonoMs(60_000));
    let (_, shares) = recent.shares(&busy.name, MonoMs(60_000));
    assert_eq!(shares, Shares::default());
}
