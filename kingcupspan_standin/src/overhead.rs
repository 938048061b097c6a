//! Measures the latency that routing through the daemons adds to a call, and
//! opens idle programs so that their memory use can be measured.

use std::{
    net,
    sync::{Arc, atomic},
    time::{Duration, Instant},
};

use async_std::task;
use hdrhistogram::Histogram;
use kingcupspan::edge::client::{Client, ClientRequest};
use kingcupspan_core::digest::Digest;
use serde_json::{Value, json};

use crate::{
    caller::{Caller, Failure, Service},
    embedded::{self, DeploymentOptions, StartError},
    engine, log_service, service,
};

/// Numbers of concurrent programs to measure.
const CONCURRENT_PROGRAMS: [usize; 3] = [1, 64, 512];

/// Duration of each measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);

/// Authentication key of the only caller.
const CALLER_KEY: &str = "overhead-key";

/// Histogram of call latencies in microseconds, shared by all workers.
type Latencies = Arc<parking_lot::Mutex<Histogram<u64>>>;

/// Error of the overhead measurement.
#[derive(Debug, thiserror::Error)]
pub enum OverheadError {
    /// The deployment could not be started.
    #[error("cannot start the measured deployment: {0}")]
    Start(#[from] StartError),

    /// A measured request failed.
    #[error("a request failed: {0}")]
    Failed(#[from] Failure),
}

/// Three daemons and one service endpoint that responds without delay.
fn deployment_options() -> DeploymentOptions {
    DeploymentOptions {
        configuration: json!({
            "defaults": {"waiting_calls": 100_000, "budget_calls": 1_000_000_000_u64},
            "callers": [{
                "caller": "bench", "key_sha256": Digest::of(CALLER_KEY.as_bytes()).to_string(),
                "workspaces": ["bench"]
            }],
            "services": [{"service": "echo", "operations": [
                {"path": "look", "repeat": "idempotent"},
                {"path": "act", "repeat": "non-idempotent"}
            ]}],
            "endpoints": [{
                "endpoint": "echo-1", "vm": "echo-vm", "failure_domain": "a",
                "addr": "127.0.0.1:1", "service": "echo", "slots": 10_000
            }]
        }),
        daemon_domains: vec!["a".to_owned(), "b".to_owned(), "c".to_owned()],
        engine: engine::Options::default(),
        service: service::Options {
            operation_time: Duration::ZERO,
            ..service::Options::default()
        },
        log: log_service::Options {
            appends_per_s: 100_000,
            ..log_service::Options::default()
        },
        settings: Value::Null,
    }
}

/// Measures calls sent directly to the service, and idempotent and
/// non-idempotent calls routed through the daemons, and prints the latencies.
pub fn run() -> Result<(), OverheadError> {
    task::block_on(async {
        println!("three daemons and all stand-ins in one process; latency in microseconds");
        println!("concurrent  way              calls/s      p50      p99");
        for concurrent in CONCURRENT_PROGRAMS {
            let deployment = embedded::start(deployment_options()).await?;
            let addr = deployment.configuration["endpoints"][0]["addr"].as_str();
            let addr = addr.and_then(|a| a.parse().ok());
            let addr: net::SocketAddr = addr.unwrap_or(([127, 0, 0, 1], 1).into());
            let direct = measure(concurrent, |_| call_directly(addr)).await?;
            print_row(concurrent, "direct", &direct);
            let caller = Caller::new(deployment.entries(), CALLER_KEY);
            let idempotent = measure(concurrent, |n| {
                call_through_daemons(caller.clone(), n, false)
            })
            .await?;
            print_row(concurrent, "idempotent", &idempotent);
            let non_idempotent = measure(concurrent, |n| {
                call_through_daemons(caller.clone(), n, true)
            })
            .await?;
            print_row(concurrent, "non-idempotent", &non_idempotent);
            deployment.drain();
        }
        Ok(())
    })
}

/// Prints throughput and latency of one measurement; `path` is the label of the measured path.
fn print_row(concurrent: usize, path: &str, latencies: &Latencies) {
    let latencies = latencies.lock();
    println!(
        "{concurrent:>10}  {path:<14} {:>9.0} {:>8} {:>8}",
        latencies.len() as f64 / MEASUREMENT_DURATION.as_secs_f64(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99)
    );
}

/// State of a task that sends calls and records their latencies until the deadline.
struct Worker {
    latencies: Latencies,
    deadline: Instant,
}

impl Worker {
    /// Returns whether the deadline has not passed yet.
    fn has_time_left(&self) -> bool {
        Instant::now() < self.deadline
    }

    /// Records the time since `started_at` as the latency of one call.
    fn record_latency(&self, started_at: Instant) {
        // Cannot fail: the histogram resizes itself to fit any value.
        let _ = self
            .latencies
            .lock()
            .record(started_at.elapsed().as_micros() as u64);
    }
}

/// Runs one worker per concurrent program and returns the recorded latencies.
async fn measure<F, Fut>(
    concurrent: usize,
    start: impl Fn(usize) -> F,
) -> Result<Latencies, Failure>
where
    F: FnOnce(Worker) -> Fut,
    Fut: Future<Output = Result<(), Failure>> + Send + 'static,
{
    let latencies: Latencies = Arc::new(parking_lot::Mutex::new(
        Histogram::new(3).expect("three significant digits are valid"),
    ));
    let deadline = Instant::now() + MEASUREMENT_DURATION;
    let workers: Vec<_> = (0..concurrent)
        .map(|n| {
            let worker = Worker {
                latencies: Arc::clone(&latencies),
                deadline,
            };
            task::spawn(start(n)(worker))
        })
        .collect();
    for worker in workers {
        worker.await?;
    }
    Ok(latencies)
}

/// Creates a worker that sends its calls to the service itself.
fn call_directly(
    addr: net::SocketAddr,
) -> impl FnOnce(Worker) -> std::pin::Pin<Box<dyn Future<Output = Result<(), Failure>> + Send>> {
    move |worker| {
        Box::pin(async move {
            let client = Client::default();
            while worker.has_time_left() {
                let started_at = Instant::now();
                let request = ClientRequest::post(addr, "/look", b"{}".to_vec());
                client.send(request).await?.bytes(1 << 20).await?;
                worker.record_latency(started_at);
            }
            Ok(())
        })
    }
}

/// Creates a worker that opens a program and sends its calls through the daemons.
fn call_through_daemons(
    caller: Caller,
    n: usize,
    is_non_idempotent: bool,
) -> impl FnOnce(Worker) -> std::pin::Pin<Box<dyn Future<Output = Result<(), Failure>> + Send>> {
    move |worker| {
        Box::pin(async move {
            let mut program = caller.open("bench", None, None).await?;
            while worker.has_time_left() {
                let key = format!("k-{n}-{}", program.turn);
                let call = Service {
                    service: "echo",
                    path: if is_non_idempotent { "act" } else { "look" },
                    body: "{}",
                    key: is_non_idempotent.then_some(key.as_str()),
                };
                let started_at = Instant::now();
                caller.service(&mut program, &call).await?;
                worker.record_latency(started_at);
            }
            Ok(())
        })
    }
}

/// Opens programs at a daemon and leaves them open.
pub fn open_programs(
    entry: net::SocketAddr,
    key: &str,
    workspace: &str,
    programs: usize,
) -> Result<(), OverheadError> {
    /// Number of concurrent requests.
    const CONCURRENT_OPENS: usize = 64;
    let remaining = Arc::new(atomic::AtomicUsize::new(programs));
    let caller = Caller::new(vec![entry], key);
    task::block_on(async {
        let workers: Vec<_> = (0..CONCURRENT_OPENS)
            .map(|_| {
                let caller = caller.clone();
                let remaining = Arc::clone(&remaining);
                let workspace = workspace.to_owned();
                task::spawn(async move {
                    let decrement = |n: usize| n.checked_sub(1);
                    let order = atomic::Ordering::SeqCst;
                    while remaining.fetch_update(order, order, decrement).is_ok() {
                        caller.open(&workspace, None, None).await?;
                    }
                    Ok::<(), Failure>(())
                })
            })
            .collect();
        for worker in workers {
            worker.await?;
        }
        Ok(())
    })
}
