//! Quotas of workspaces, which hold for the requests of all daemons together.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    settings,
};
use serde_json::json;

use crate::fleet::Fleet;

/// Span over which the users count the requests of a workspace (`quota_window_s`).
const WINDOW: Duration = Duration::from_millis(5_000);

/// Rate of the limited workspace, in requests a second.
const RATE_PER_S: f64 = 12.0;

/// Burst of the limited workspace, in requests.
const BURST: f64 = 6.0;

/// Time after the start of a daemon from which on it grants more than single requests at once.
const WARM_UP: Duration = Duration::from_millis(3_000);

/// Number of daemons, two in each failure domain.
const DAEMONS: usize = 6;

/// Key of the readiness probes, whose workspace has no quota.
const PROBE_KEY: &str = "probe-key";

/// Key of the limited workspace.
const KEY: &str = "limited-key";

/// A fleet with a workspace without a quota and one with the given rate.
async fn start_fleet(name: &str, rate_per_s: f64) -> Fleet {
    let workspaces = [("probes", PROBE_KEY), ("limited", KEY)];
    let mut configuration =
        settings::with_workspaces(settings::configuration(2, 2_000), &workspaces);
    let limited = &mut configuration[settings::WORKSPACES][1];
    limited["rate_per_s"] = json!(rate_per_s);
    limited["burst"] = json!(BURST);
    Fleet::start_with_configuration(name, DAEMONS, &configuration).await
}

/// Callers of the limited workspace that send requests until they are stopped.
struct Callers {
    should_stop: Arc<AtomicBool>,
    tasks: Vec<task::JoinHandle<Vec<Response>>>,
}

impl Callers {
    /// Starts a caller at each of the daemons, which pauses between its requests.
    fn start(fleet: &Fleet, daemons: &[usize], pause: Duration) -> Self {
        let should_stop = Arc::new(AtomicBool::default());
        let start_one = |daemon: &usize| {
            let (daemon, addr) = (*daemon, fleet.caller_addr(*daemon));
            let should_stop = Arc::clone(&should_stop);
            task::spawn(async move {
                let mut responses = Vec::new();
                while !should_stop.load(Ordering::SeqCst) {
                    let id = format!("r-{daemon}-{}", responses.len());
                    let mut request = Request::plain("/safe/x", &id);
                    request.headers += &format!("Authorization: Bearer {KEY}\r\n");
                    responses.push(caller::send(addr, &request).await);
                    task::sleep(pause).await;
                }
                responses
            })
        };
        let tasks = daemons.iter().map(start_one).collect();
        Self { should_stop, tasks }
    }

    /// Stops the callers; returns what they were answered.
    async fn stop(self) -> Vec<Response> {
        self.should_stop.store(true, Ordering::SeqCst);
        let mut responses = Vec::new();
        for task in self.tasks {
            responses.extend(task.await);
        }
        responses
    }
}

/// Most requests that the users allow in a window.
fn allowed() -> f64 {
    (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0
}

/// Most arrivals at all endpoints in any window that begins after `start`.
fn most_in_window(fleet: &Fleet, start: Instant) -> usize {
    let endpoints = fleet.service_endpoints.iter();
    let mut arrivals: Vec<Instant> = endpoints.flat_map(|e| e.arrivals()).collect();
    arrivals.retain(|at| *at >= start);
    arrivals.sort_unstable();
    let in_window = |i: usize| {
        let later = &arrivals[i..];
        later.partition_point(|at| *at - arrivals[i] < WINDOW)
    };
    (0..arrivals.len()).map(in_window).max().unwrap_or(0)
}

/// Numbers of responses with the status 200 and with others.
fn served_and_refused(responses: &[Response]) -> (usize, usize) {
    let served = responses.iter().filter(|r| r.status == 200).count();
    (served, responses.len() - served)
}

// Guards against a workspace that floods all daemons and is served beyond its limit, and against
// refusals without a time to come back.
#[async_std::test]
async fn a_flood_is_served_up_to_the_limit() {
    let fleet = start_fleet("gateway-quota-flood", RATE_PER_S).await;
    let started_at = Instant::now();
    let callers = Callers::start(&fleet, &[0, 1, 2, 3, 4, 5], Duration::from_millis(10));
    task::sleep(2 * WINDOW).await;
    let responses = callers.stop().await;
    let most = most_in_window(&fleet, started_at);
    assert!(most as f64 <= allowed(), "{most} requests in a window");
    let (served, refused) = served_and_refused(&responses);
    let at_rate = RATE_PER_S * 2.0 * WINDOW.as_secs_f64();
    assert!(served as f64 >= 0.8 * at_rate, "{served} requests served");
    assert!(refused > 0, "no request was refused");
    for response in responses.iter().filter(|r| r.status != 200) {
        assert_eq!(response.status, 429, "{response:?}");
        let retry_after = response.retry_after.as_ref().expect("a time to come back");
        let seconds: f64 = retry_after.parse().expect("the time is a number");
        assert!(seconds > 0.0 && seconds <= 10.0, "{response:?}");
    }
}

// Guards against refusals below the limit, also if all requests come through one failure domain.
#[async_std::test]
async fn requests_below_the_limit_are_served() {
    let fleet = start_fleet("gateway-quota-below", 4.0 * RATE_PER_S).await;
    task::sleep(WARM_UP).await;
    for daemons in [&[0, 1, 2, 3, 4, 5][..], &[0, 3]] {
        // All callers together send at most 60 % of the rate.
        let pause = Duration::from_secs_f64(daemons.len() as f64 / (0.6 * 4.0 * RATE_PER_S));
        let callers = Callers::start(&fleet, daemons, pause);
        task::sleep(WINDOW).await;
        let responses = callers.stop().await;
        let (served, refused) = served_and_refused(&responses);
        assert!(served > 50, "{served} requests served");
        assert_eq!(refused, 0, "of {} through {daemons:?}", responses.len());
    }
}

// Guards against the burst being available anew, and against tokens of two homes, after daemons
// are killed one after the other and then all at once.
#[async_std::test]
async fn limit_holds_while_daemons_are_killed() {
    let mut fleet = start_fleet("gateway-quota-kills", RATE_PER_S).await;
    let started_at = Instant::now();
    let callers = Callers::start(&fleet, &[0, 1, 2, 3, 4, 5], Duration::from_millis(10));
    task::sleep(Duration::from_millis(1_500)).await;
    for daemon in 0..DAEMONS {
        fleet.daemons[daemon].kill();
        task::sleep(Duration::from_millis(500)).await;
        fleet.restart(daemon);
        task::sleep(Duration::from_millis(700)).await;
    }
    for daemon in &mut fleet.daemons {
        daemon.kill();
    }
    for daemon in 0..DAEMONS {
        fleet.restart(daemon);
    }
    task::sleep(WINDOW).await;
    callers.stop().await;
    let most = most_in_window(&fleet, started_at);
    assert!(most as f64 <= allowed(), "{most} requests in a window");
    let recent = most_in_window(&fleet, Instant::now() - WINDOW);
    assert!(recent > 0, "no request is served any more");
}
