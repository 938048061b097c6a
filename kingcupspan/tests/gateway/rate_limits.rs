//! Endpoints that name a limit on the requests of all daemons together.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_platform_standin::caller::{self, Request, Response};

use crate::fleet::Fleet;

/// Time after the first mention of a limit from which on it holds (`stable_window_ms`).
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Span over which the users count the requests that an endpoint gets.
const WINDOW: Duration = Duration::from_millis(4_000);

/// Number of daemons.
const DAEMONS: usize = 6;

/// Limit in requests a second.
const LIMIT_PER_S: f64 = 6.0;

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(10);

/// Callers that send requests to all daemons until they are stopped.
struct Callers {
    should_stop: Arc<AtomicBool>,
    tasks: Vec<task::JoinHandle<Vec<(Duration, Response)>>>,
}

impl Callers {
    /// Starts a caller for each daemon.
    fn start(fleet: &Fleet) -> Self {
        let should_stop = Arc::new(AtomicBool::default());
        let start_one = |daemon: usize| {
            let (addr, should_stop) = (fleet.caller_addr(daemon), Arc::clone(&should_stop));
            task::spawn(async move {
                let mut responses = Vec::new();
                while !should_stop.load(Ordering::SeqCst) {
                    let id = format!("r-{daemon}-{}", responses.len());
                    let started_at = Instant::now();
                    let response = caller::send(addr, &Request::plain("/safe/x", &id)).await;
                    responses.push((started_at.elapsed(), response));
                    task::sleep(PAUSE).await;
                }
                responses
            })
        };
        let tasks = (0..fleet.daemons.len()).map(start_one).collect();
        Self { should_stop, tasks }
    }

    /// Stops the callers; returns what they were answered, and how long each answer took.
    async fn stop(self) -> Vec<(Duration, Response)> {
        self.should_stop.store(true, Ordering::SeqCst);
        let mut responses = Vec::new();
        for task in self.tasks {
            responses.extend(task.await);
        }
        responses
    }
}

/// Most arrivals in any window that begins after `start`.
fn most_in_window(arrivals: &[Instant], start: Instant) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= start).collect();
    let in_window = |first: &Instant| {
        let is_inside = |at: &&Instant| **at >= *first && **at - *first < WINDOW;
        counted.iter().filter(is_inside).count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// Most requests that the users allow in a window.
fn allowed() -> usize {
    (1.5 * LIMIT_PER_S * WINDOW.as_secs_f64()) as usize + 5
}

// Guards against an endpoint that gets far more requests than the limit that it has named.
#[async_std::test]
async fn endpoint_with_a_limit_gets_no_more_than_it_takes() {
    let fleet = Fleet::start("gateway-limit", DAEMONS, 2_000).await;
    let [limited, _] = &fleet.service_endpoints;
    limited.set_rate_limit(Some(LIMIT_PER_S));
    let named_at = Instant::now();
    let callers = Callers::start(&fleet);
    task::sleep(STABLE_WINDOW + WINDOW + WINDOW / 2).await;
    let most = most_in_window(&limited.arrivals(), named_at + STABLE_WINDOW);
    assert!(most <= allowed(), "{most} requests in a window");
    assert!(most >= allowed() / 3, "only {most} requests in a window");
    limited.set_rate_limit(None);
    let ended_at = Instant::now();
    task::sleep(WINDOW / 2).await;
    let after = most_in_window(&limited.arrivals(), ended_at);
    assert!(
        after > allowed(),
        "{after} requests after the end of the limit"
    );
    for (elapsed, response) in callers.stop().await {
        assert_eq!(response.status, 200, "{response:?}");
        assert!(elapsed < Duration::from_millis(1_000), "{elapsed:?}");
    }
}

// Guards against a limit that two daemons reserve at the same time while others are restarted.
#[async_std::test]
async fn limit_holds_while_daemons_are_killed_and_restarted() {
    let mut fleet = Fleet::start("gateway-limit-kills", DAEMONS, 2_000).await;
    let limited = Arc::clone(&fleet.service_endpoints[0]);
    limited.set_rate_limit(Some(LIMIT_PER_S));
    let named_at = Instant::now();
    let callers = Callers::start(&fleet);
    task::sleep(STABLE_WINDOW).await;
    for daemon in 0..DAEMONS {
        fleet.daemons[daemon].kill();
        task::sleep(Duration::from_millis(700)).await;
        fleet.restart(daemon);
        task::sleep(Duration::from_millis(1_500)).await;
    }
    callers.stop().await;
    let most = most_in_window(&limited.arrivals(), named_at + STABLE_WINDOW);
    assert!(most <= allowed(), "{most} requests in a window");
    let recent = most_in_window(&limited.arrivals(), Instant::now() - WINDOW);
    assert!(recent > 0, "the endpoint gets no requests any more");
}

// Guards against requests that are held although no endpoint takes them.
#[async_std::test]
async fn requests_beyond_the_limits_of_all_endpoints_are_refused_at_once() {
    let fleet = Fleet::start("gateway-limit-all", DAEMONS, 4_000).await;
    for endpoint in &fleet.service_endpoints {
        endpoint.set_rate_limit(Some(LIMIT_PER_S));
    }
    let named_at = Instant::now();
    let callers = Callers::start(&fleet);
    task::sleep(STABLE_WINDOW + WINDOW + WINDOW / 2).await;
    let responses = callers.stop().await;
    for endpoint in &fleet.service_endpoints {
        let most = most_in_window(&endpoint.arrivals(), named_at + STABLE_WINDOW);
        assert!(most <= allowed(), "{most} requests in a window");
        assert!(most >= allowed() / 2, "only {most} requests in a window");
    }
    let refused = responses.iter().filter(|(_, r)| r.status == 503);
    assert!(refused.clone().count() > 0);
    for (elapsed, response) in refused {
        assert!(response.retry_after.is_some(), "{response:?}");
        assert!(*elapsed < Duration::from_millis(500), "{elapsed:?}");
    }
}
