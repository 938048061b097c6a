//! Quotas of workspaces, which hold for the requests of all daemons together.

use kingcupspan_core::gateway::{rate_limit::RequestRate, workspace::Quota};
use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use crate::quota_model::{self, APPLY_MS, BEGIN_MS, Case, Event, EventKind, Flaw, WINDOW_MS};

/// Number of random cases.
const CASES: u32 = 2000;

/// Number of random cases of a search for a broken variant.
const CASES_OF_SEARCH: u32 = 500;

/// Longest time between the token of a request and its sending in a search, in milliseconds.
const WAIT_OF_SEARCH_MS: u64 = 6_000;

/// Burst that the quotas of a search with kills have besides, in requests.
const BURST_OF_SEARCH: f64 = 400.0;

/// Time that killed daemons need to start again in a search, in milliseconds.
const RESTART_OF_SEARCH_MS: u64 = 500;

/// Factor by which the load of a search is higher.
const LOAD_OF_SEARCH: f64 = 3.0;

/// End of a random case, in milliseconds.
const END_MS: u64 = BEGIN_MS + 25_000;

/// Time for which the buckets of a fleet that gets its first requests may lack tokens, in
/// milliseconds.
const START_MS: u64 = 2_000;

/// A quota.
fn quota(per_s: f64, burst: f64) -> Quota {
    let rate = RequestRate::try_from(per_s).expect("the rate is valid");
    Quota { rate, burst }
}

/// Most requests that the users allow in a window.
fn allowed(quota: &Quota) -> f64 {
    let in_window = f64::from(quota.rate) * WINDOW_MS as f64 / 1_000.0;
    (in_window + quota.burst) * 1.1 + 20.0
}

/// Most requests that the users allow in a window that begins at a time.
fn allowed_from(case: &Case, start: u64) -> f64 {
    match &case.lowered {
        Some((at, lowered)) if start >= at + APPLY_MS + WINDOW_MS => allowed(lowered),
        _ => allowed(&case.quota),
    }
}

/// First window in which more requests were sent than allowed, with their number.
fn broken_window(case: &Case, sent: &[u64]) -> Option<(u64, usize)> {
    let mut sent = sent.to_vec();
    sent.sort_unstable();
    let in_window = |(i, start): (usize, &u64)| {
        let count = sent[i..].partition_point(|at| at - start < WINDOW_MS);
        (*start, count)
    };
    let windows = sent.iter().enumerate().map(in_window);
    let mut broken = windows.filter(|(start, count)| *count as f64 > allowed_from(case, *start));
    broken.next()
}

prop_compose! {
    /// An event at one of 16 daemons.
    fn event()(
        kind in prop::sample::select(vec![
            EventKind::DomainCut, EventKind::DaemonCut, EventKind::Pause, EventKind::Suspension,
            EventKind::Kill, EventKind::KillAll, EventKind::Added,
        ]),
        at in BEGIN_MS + 2_000..BEGIN_MS + 20_000,
        span_ms in 500_u64..6_000,
        daemon in 0_usize..16,
    ) -> Event {
        Event { kind, at, span_ms, daemon }
    }
}

prop_compose! {
    /// A fleet with random events and a load around or above the limit.
    fn case()(
        domains in 1_usize..5,
        per_s in 0.5_f64..150.0,
        burst in 0.0_f64..80.0,
        lowered in prop::option::of((BEGIN_MS + 4_000..BEGIN_MS + 12_000, 0.1_f64..0.9)),
        shares in prop::collection::vec(0.05_f64..1.0, 1..16),
        load in 0.5_f64..6.0,
        wait_ms in 0_u64..2_500,
        events in prop::collection::vec(event(), 0..6),
        seed in 1_u64..u64::MAX,
    ) -> Case {
        let total: f64 = shares.iter().sum();
        let lowered = lowered.map(|(at, share)| (at, quota(share * per_s, share * burst)));
        Case {
            domains,
            quota: quota(per_s, burst),
            lowered,
            loads: shares.iter().map(|s| s / total * load * per_s).collect(),
            wait_ms,
            events,
            seed,
            end_ms: END_MS,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    // Guards against requests beyond the limit while domains and daemons are cut off, paused,
    // suspended, killed and added, and while the limit is lowered.
    #[test]
    fn limit_holds_in_every_window(case in case()) {
        let outcome = quota_model::run(&case, Flaw::None);
        let broken = broken_window(&case, &outcome.sent);
        prop_assert!(broken.is_none(), "{broken:?} of {}", allowed(&case.quota));
    }
}

/// Number of cases, of `CASES`, in which a flaw lets too many requests pass; all events are of one
/// kind, and demand is far above the limit.
fn cases_broken_by(flaw: Flaw, kind: EventKind) -> usize {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let mut draw = || {
        let tree = case().new_tree(&mut runner).expect("a case can be drawn");
        let mut case = tree.current();
        case.lowered = None;
        if kind == EventKind::KillAll {
            case.quota.burst += BURST_OF_SEARCH;
        }
        case.wait_ms = match kind {
            EventKind::Pause => WAIT_OF_SEARCH_MS,
            _ => 0,
        };
        for event in &mut case.events {
            event.kind = kind;
            if kind == EventKind::KillAll {
                event.span_ms = RESTART_OF_SEARCH_MS;
            }
        }
        for load in &mut case.loads {
            *load *= LOAD_OF_SEARCH;
        }
        case
    };
    let is_broken = |case: &Case| {
        let outcome = quota_model::run(case, flaw);
        broken_window(case, &outcome.sent).is_some()
    };
    (0..CASES_OF_SEARCH).filter(|_| is_broken(&draw())).count()
}

// Guards against a search that would not find a fault.
#[test]
fn search_finds_broken_variants() {
    let flaws = [
        (Flaw::LendsTwice, EventKind::DomainCut),
        (Flaw::NoExpiry, EventKind::Pause),
        (Flaw::BurstAfterStart, EventKind::KillAll),
        (Flaw::NoTakeover, EventKind::DaemonCut),
    ];
    for (flaw, kind) in flaws {
        let broken = cases_broken_by(flaw, kind);
        println!("{flaw:?}: {broken} of {CASES_OF_SEARCH}");
        assert!(broken > 0, "{flaw:?} was not found");
        assert_eq!(cases_broken_by(Flaw::None, kind), 0, "{kind:?}");
    }
}

/// A calm fleet with the given loads.
fn calm(domains: usize, quota: Quota, loads: Vec<f64>) -> Case {
    Case {
        domains,
        quota,
        lowered: None,
        loads,
        wait_ms: 100,
        events: Vec::new(),
        seed: 42,
        end_ms: BEGIN_MS + 60_000,
    }
}

/// Number of requests refused once the buckets, which begin without the burst, had time to fill.
fn refused_after_start(outcome: &quota_model::Outcome) -> usize {
    let is_late = |at: &&u64| **at >= BEGIN_MS + START_MS;
    outcome.refused.iter().filter(is_late).count()
}

// Guards against refusals below the limit that come from the way in which it is divided: demand in
// one failure domain only, through one daemon only, or spread thinly over many daemons.
#[test]
fn demand_below_the_limit_is_not_refused_in_calm() {
    let thin = vec![45.0 / 81.0; 81];
    let mut one_domain = vec![0.0; 81];
    for load in one_domain.iter_mut().step_by(3) {
        *load = 45.0 / 27.0;
    }
    let mut one_daemon = vec![0.0; 81];
    one_daemon[0] = 45.0;
    for loads in [thin, one_domain, one_daemon] {
        let outcome = quota_model::run(&calm(3, quota(60.0, 30.0), loads), Flaw::None);
        let refused = refused_after_start(&outcome);
        assert_eq!(refused, 0, "of {}", outcome.sent.len());
        assert!(outcome.sent.len() > 2_500);
    }
}

// Guards against messages that become more with the size of the fleet.
#[test]
fn messages_per_daemon_do_not_grow_with_the_fleet() {
    let per_daemon = |daemons: usize, load: f64| {
        let total = daemons as f64 * load;
        let quota = quota(1.6 * total, total);
        let case = calm(3, quota, vec![load; daemons]);
        let outcome = quota_model::run(&case, Flaw::None);
        assert_eq!(refused_after_start(&outcome), 0);
        outcome.messages as f64 / daemons as f64 / 60.0
    };
    for load in [0.2, 2.0, 20.0] {
        let (small, large) = (per_daemon(30, load), per_daemon(300, load));
        println!("{load}/s a daemon: {small:.3} messages/s with 30, {large:.3} with 300");
        assert!(large <= 1.15 * small, "{small} with 30, {large} with 300");
    }
}
