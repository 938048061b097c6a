//! Rate limits that endpoints name for all daemons together.

use kingcupspan_core::{
    gateway::rate_limit::{Claim, RateLimiter, RequestRate, Reservation, TAKEOVER_MS},
    id::MonoMs,
};
use proptest::prelude::*;

/// Span over which the users count the requests that an endpoint gets.
const WINDOW_MS: u64 = 4_000;

/// Longest time until a daemon notices that an endpoint has another home.
const SWITCH_MS: u64 = 5_000;

/// Longest time from a reservation to the arrival of its request.
const DELAY_MS: u64 = 100;

/// Number of random cases.
const CASES: u32 = 2000;

/// Most requests that the users allow in a window.
fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
}

/// Most arrivals in any window.
fn most_in_window(mut arrivals: Vec<u64>) -> usize {
    arrivals.sort_unstable();
    let in_window = |(i, start): (usize, &u64)| {
        let later = &arrivals[i..];
        later.partition_point(|at| at - start < WINDOW_MS)
    };
    arrivals
        .iter()
        .enumerate()
        .map(in_window)
        .max()
        .unwrap_or(0)
}

/// Daemon that asks the home of an endpoint.
#[derive(Clone, Copy)]
struct Daemon {
    home: usize,
    switches_at: u64,

    /// Home that last answered the daemon, and when.
    last: Option<(usize, u64)>,
}

/// Arrivals at an endpoint that all daemons want to use all the time, while its home changes at
/// the times `changes`, and each daemon notices within `SWITCH_MS`.
fn arrivals(rate: RequestRate, daemons: usize, changes: &[u64], lags: &[u64]) -> Vec<u64> {
    let mut homes = vec![RateLimiter::default(); changes.len() + 1];
    let first = Daemon {
        home: 0,
        switches_at: 0,
        last: None,
    };
    let mut fleet = vec![first; daemons];
    let mut arrivals = Vec::new();
    let mut turn = 0;
    for now in (0..60_000).step_by(7) {
        for (n, daemon) in fleet.iter_mut().enumerate() {
            let home = changes.iter().filter(|at| **at <= now).count();
            if home != daemon.home && daemon.switches_at <= now {
                let lag = lags[(n + home) % lags.len()];
                daemon.switches_at = changes[home - 1] + lag;
            }
            if home != daemon.home && daemon.switches_at <= now {
                daemon.home = home;
            }
        }
        // One daemon after another asks, so that each has its share.
        turn = (turn + 1) % daemons;
        for offset in 0..daemons {
            let daemon = &mut fleet[(turn + offset) % daemons];
            let is_recent = |(_, at): &(usize, u64)| now - at < TAKEOVER_MS;
            let last = daemon.last.filter(is_recent);
            let home = &mut homes[daemon.home];
            if last.is_some_and(|(home, _)| home != daemon.home) {
                home.take_over(MonoMs(now));
            }
            daemon.last = Some((daemon.home, now));
            if let Reservation::After(ms) = home.reserve(rate, Claim::Resident, MonoMs(now), 100) {
                arrivals.push(now + ms + lags[offset % lags.len()] % DELAY_MS);
            }
        }
    }
    arrivals
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(CASES))]

    #[test]
    fn limit_holds_while_homes_change_and_most_of_it_is_used(
        per_s in 0.0_f64..40.0,
        daemons in 1_usize..40,
        mut changes in prop::collection::vec(10_000_u64..50_000, 0..2),
        lags in prop::collection::vec(0..SWITCH_MS, 1..40),
    ) {
        changes.sort_unstable();
        // Homes that change faster than daemons notice are not covered.
        prop_assume!(changes.windows(2).all(|w| w[1] - w[0] > TAKEOVER_MS + SWITCH_MS));
        let rate = RequestRate::try_from(per_s).unwrap();
        let arrivals = arrivals(rate, daemons, &changes, &lags);
        let used = arrivals.len() as f64 / 60.0;
        let most = most_in_window(arrivals);
        prop_assert!(most as f64 <= allowed(per_s), "{most} of {}", allowed(per_s));
        prop_assert!(used >= 0.6 * rate.per_s(), "{used} of {} a second", rate.per_s());
    }
}

// Guards against a home that reserves at the full rate beside the one that it takes over from.
#[test]
fn two_homes_without_a_takeover_exceed_the_limit() {
    let rate = RequestRate::try_from(10.0).unwrap();
    let mut homes = [RateLimiter::default(), RateLimiter::default()];
    let mut arrivals = Vec::new();
    for now in 0..8_000 {
        for home in &mut homes {
            if matches!(
                home.reserve(rate, Claim::Resident, MonoMs(now), 0),
                Reservation::After(_)
            ) {
                arrivals.push(now);
            }
        }
    }
    assert!(most_in_window(arrivals) as f64 > allowed(10.0));
}

#[test]
fn rates_are_parsed() {
    let values = [
        "7.5", " 12 ", "0", "-1", "inf", "NaN", "5000", "ten", "", "1,5", "0x1",
    ];
    let lines = values.map(|raw| match raw.parse::<RequestRate>() {
        Ok(rate) => format!(
            "{raw:?}: {rate}, sends {}/s, unlimited {}",
            rate.per_s(),
            rate.is_unlimited()
        ),
        Err(e) => format!("{raw:?}: {e}"),
    });
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn request_waits_no_longer_than_it_can() {
    let rate = RequestRate::try_from(2.0).unwrap();
    let mut limiter = RateLimiter::default();
    let mut reserve =
        |at, max_wait_ms| limiter.reserve(rate, Claim::Resident, MonoMs(at), max_wait_ms);
    assert_eq!(reserve(1_000, 0), Reservation::After(0));
    assert_eq!(reserve(1_000, 200), Reservation::Denied(250));
    assert_eq!(reserve(1_000, 300), Reservation::After(250));
    assert_eq!(reserve(1_000, 300), Reservation::Denied(750));
    assert_eq!(reserve(1_750, 0), Reservation::After(0));
    assert!((rate.concurrency(1.8) - 3.6).abs() < 1e-9);
}

// Guards against programs that begin at an endpoint with a limit and drive others away.
#[test]
fn newcomers_leave_a_share_of_the_limit_to_residents() {
    let rate = RequestRate::try_from(10.0).unwrap();
    let mut limiter = RateLimiter::default();
    let mut count = |claim, from: u64, to: u64| {
        let taken = (from..to).step_by(5).filter(|at| {
            let reservation = limiter.reserve(rate, claim, MonoMs(*at), 0);
            matches!(reservation, Reservation::After(_))
        });
        taken.count()
    };
    let newcomers = count(Claim::Newcomer, 4_000, 14_000);
    assert!((75..=95).contains(&newcomers), "{newcomers} in 10 s");
    let residents = count(Claim::Resident, 14_000, 24_000);
    assert!((95..=105).contains(&residents), "{residents} in 10 s");
}
