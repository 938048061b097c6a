//! Placement by the time at which requests are expected to finish.

use std::{sync::Arc, time::Duration};

use kingcupspan_core::gateway::{
    endpoint::{Endpoint, State},
    expected_finish::{self, Observation, Prospect},
    load_report::Pace,
    placement::{self, Candidate, Load},
};

/// Slots of each endpoint.
const SLOTS: u32 = 6;

/// Returns an endpoint with a fresh report; `pace` 0 stands for none.
fn prospect(id: usize, domain: &str, requests: u32, pace: u32) -> Prospect {
    let endpoint = Endpoint {
        id: id.to_string().as_str().into(),
        service: "s".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: domain.to_owned(),
        version: "v1".into(),
        slots: SLOTS,
        state: State::Ready,
        started_at_ms: 1,
    };
    let load = Load {
        reported: Some(requests),
        ..Load::default()
    };
    Prospect {
        candidate: Candidate {
            endpoint: Arc::new(endpoint),
            load,
        },
        observed: Some(Observation {
            requests,
            slots: Some(SLOTS),
            pace: Pace::try_from(f64::from(pace)).ok(),
            age: Duration::ZERO,
        }),
    }
}

fn with_age(mut prospect: Prospect, age_ms: u64) -> Prospect {
    let observed = prospect.observed.as_mut().unwrap();
    observed.age = Duration::from_millis(age_ms);
    prospect
}

fn choose(prospects: &[Prospect], domain: &str) -> usize {
    expected_finish::choose_service_endpoint(prospects, domain, 0, &[]).unwrap()
}

/// Places calls from domain `x` one after another and returns how many each endpoint has.
fn fill(domains: &[&str], paces: &[u32], calls: u64) -> Vec<u32> {
    let mut placed = vec![0; paces.len()];
    for spread in 0..calls {
        let prospects: Vec<Prospect> = (0..paces.len())
            .map(|i| prospect(i, domains[i], placed[i], paces[i]))
            .collect();
        let chosen = expected_finish::choose_service_endpoint(&prospects, "x", spread, &[]);
        placed[chosen.unwrap()] += 1;
    }
    placed
}

// Guards against equal numbers of calls for machines of which some are crowded by others.
#[test]
fn crowded_machines_get_as_many_calls_as_they_finish_by_then() {
    let placed = fill(&["x"; 4], &[100, 100, 200, 400], 24);
    insta::assert_compact_debug_snapshot!(placed, @"[10, 11, 3, 0]");
}

// Guards against one failure domain with three times the demand of the others that queues its
// calls while endpoints elsewhere are idle.
#[test]
fn calls_beyond_the_free_slots_of_the_domain_finish_earliest_elsewhere() {
    let domains = ["x", "x", "y", "y", "z", "z"];
    let within = fill(&domains, &[100; 6], 8);
    assert_eq!(within[2..], [0; 4], "half-empty domains keep their calls");
    let beyond = fill(&domains, &[100; 6], 36);
    assert!(beyond.iter().all(|n| (5..=7).contains(n)), "{beyond:?}");
}

// Guards against calls that leave their failure domain for a small gain.
#[test]
fn near_endpoint_is_used_unless_it_is_clearly_later() {
    let near = |pace| [prospect(0, "x", 2, pace), prospect(1, "y", 2, 100)];
    assert_eq!(choose(&near(140), "x"), 0);
    assert_eq!(choose(&near(180), "x"), 1);
}

#[test]
fn near_endpoint_comes_first_among_equals() {
    let full = [prospect(0, "y", 6, 100), prospect(1, "x", 6, 100)];
    assert_eq!(choose(&full, "x"), 1);
}

// Guards against a sudden change of all placements when reports reach some age.
#[test]
fn report_loses_weight_gradually() {
    let at = |age_ms| {
        [
            with_age(prospect(0, "x", 1, 100), age_ms),
            prospect(1, "x", 3, 100),
        ]
    };
    assert_eq!(choose(&at(0), "x"), 0);
    assert_eq!(choose(&at(1_499), "x"), choose(&at(1_501), "x"));
    // As good as unknown: the mean, which the fresh report of the other one makes.
    let ancient = [
        with_age(prospect(0, "x", 0, 100), 60_000),
        prospect(1, "x", 3, 100),
        prospect(2, "x", 1, 100),
    ];
    assert_eq!(choose(&ancient, "x"), 2);
}

// Guards against an endpoint without a figure that counts as fast or as idle.
#[test]
fn endpoint_that_tells_nothing_counts_as_the_mean() {
    let mut silent = prospect(0, "x", 0, 100);
    silent.observed = None;
    silent.candidate.load.reported = None;
    let others = [(1, 1, 100), (2, 3, 100)].map(|(i, n, pace)| prospect(i, "x", n, pace));
    let prospects = [silent.clone(), others[0].clone(), others[1].clone()];
    assert_eq!(choose(&prospects, "x"), 1);
    assert_eq!(choose(&[silent.clone(), others[1].clone()], "x"), 0);
    // This daemon's own requests are known without a report.
    silent.candidate.load.in_flight = 12;
    assert_eq!(choose(&[silent, others[1].clone()], "x"), 1);
}

// Guards against a change for deployments whose endpoints do not tell how long work takes.
#[test]
fn without_a_pace_calls_and_programs_are_placed_by_count() {
    for case in 0..200_u32 {
        let prospects: Vec<Prospect> = (0..8)
            .map(|i: u32| {
                let domain = if i.is_multiple_of(2) { "x" } else { "y" };
                let requests = (case * 7 + i * 13) % 11;
                let age_ms = u64::from(case * 31 + i * 17);
                with_age(prospect(i as usize, domain, requests, 0), age_ms)
            })
            .collect();
        let candidates: Vec<Candidate> = prospects.iter().map(|p| p.candidate.clone()).collect();
        let tried = [candidates[case as usize % 8].endpoint.id.clone()];
        let spread = u64::from(case);
        assert_eq!(
            expected_finish::choose_service_endpoint(&prospects, "x", spread, &tried),
            placement::choose_service_endpoint(&candidates, "x", spread, &tried)
        );
        let key = format!("program {case}");
        let last = Some("3".into());
        assert_eq!(
            expected_finish::choose_engine(&prospects, &key, last.as_ref(), &tried),
            placement::choose_engine(&candidates, &key, last.as_ref(), &tried)
        );
    }
}

// Guards against programs that begin at engines whose machines are crowded by others.
#[test]
fn programs_begin_where_work_takes_its_usual_time() {
    let mut placed = [0; 8];
    for program in 0..24 {
        let prospects: Vec<Prospect> = (0..8)
            .map(|i| prospect(i, "x", placed[i], if i < 2 { 300 } else { 100 }))
            .collect();
        let key = format!("program {program}");
        let chosen = expected_finish::choose_engine(&prospects, &key, None, &[]).unwrap();
        placed[chosen] += 1;
    }
    let fullest = placed.iter().max().unwrap();
    assert!(
        placed[0] * 2 <= *fullest && placed[1] * 2 <= *fullest,
        "{placed:?}"
    );
}

// Guards against programs that all move because the whole service is slow.
#[test]
fn programs_stay_when_all_engines_are_equally_slow() {
    let prospects: Vec<Prospect> = (0..8).map(|i| prospect(i, "x", 6, 400)).collect();
    for i in 0..8 {
        let last = Some(i.to_string().as_str().into());
        let chosen = expected_finish::choose_engine(&prospects, "program", last.as_ref(), &[]);
        assert_eq!(chosen, Some(i));
    }
}

// Guards against figures that are too large, too small or no numbers.
#[test]
fn figures_of_any_size_are_compared() {
    let pace = |raw: &str| raw.parse::<Pace>().ok();
    for raw in ["0", "-1", "NaN", "inf", "1e400", "100001", "x", ""] {
        assert_eq!(pace(raw), None, "{raw}");
    }
    assert_eq!(pace(" 137.5 ").map(Pace::factor), Some(1.375));
    let mut huge = prospect(0, "x", u32::MAX, 100_000);
    huge.candidate.load.in_flight = u32::MAX;
    huge.observed.as_mut().unwrap().slots = Some(0);
    let prospects = [huge, prospect(1, "x", 3, 100)];
    assert_eq!(choose(&prospects, "x"), 1);
    assert_eq!(
        expected_finish::choose_service_endpoint(&[], "x", 0, &[]),
        None
    );
    let engine = expected_finish::choose_engine(&prospects, "program", None, &[]);
    assert_eq!(engine, Some(1));
}
