//! Soak test of the ends of responses: daemons and endpoints are killed and links are cut while bodies
//! of all framings are on their way. A response that looks complete must be whole.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net, ops,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan::http::conn::Conn;
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::EndpointBehavior,
    pieces::{self, Framing},
};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    faults,
    fleet::{Fleet, Layout},
    seeds,
};

/// Range of seeds that run unless the environment variable is set.
const DEFAULT_SEEDS: ops::Range<u64> = 0..1;

/// Seeds that failed in the past, each with the cause of the failure.
const REGRESSIONS: [(u64, &str); 2] = [
    (
        1,
        "end of a killed endpoint or peer taken for that of a body",
    ),
    (
        3,
        "end of a killed endpoint or peer taken for that of a body",
    ),
];

/// Duration of the phase in which faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(6);

/// Maximum recovery time after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Number of concurrent callers, of which every third one speaks HTTP/1.0.
const CALLER_COUNT: u64 = 18;

/// Pause of a caller after a request that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(30);

/// Fewest complete responses of each framing.
const COMPLETE_MIN: u32 = 24;

/// Text in the log of a daemon that reaches an endpoint through peers.
const USING_PEERS: &str = "using peers";

/// Token budget of a turn's program.
const BUDGET: u64 = 1_000;

/// Behaviors of engines and services.
const BEHAVIORS: [EndpointBehavior; 2] = [
    EndpointBehavior::Pieces { is_stream: true },
    EndpointBehavior::Pieces { is_stream: false },
];

/// What the callers of a seed have sent and received.
#[derive(Default)]
struct Observations {
    /// Ids of requests that must run at most once.
    at_most_once: HashSet<String>,

    /// Number of complete responses by the framing of their endpoint.
    complete: BTreeMap<Framing, u32>,

    /// Number of responses by status; 0 counts requests without a response.
    statuses: BTreeMap<u16, u32>,

    /// Descriptions of responses that look complete and are not whole.
    violations: Vec<String>,
}

/// A caller that sends one request at a time and uses a connection until it is closed.
struct Caller {
    /// Prefix of all ids.
    name: String,

    rng: StdRng,
    is_http10: bool,
    addrs: Vec<net::SocketAddr>,
    conn: Option<Conn>,
    observations: Arc<Mutex<Observations>>,
}

// Guards against responses that end with a process or a link and look complete.
#[async_std::test]
async fn answers_end_whole_under_random_faults() {
    let regressions = REGRESSIONS.map(|(seed, _)| seed);
    let mut failed = Vec::new();
    for seed in seeds(&regressions, DEFAULT_SEEDS) {
        let violations = run_seed(seed).await;
        for violation in &violations {
            println!("seed {seed}: {violation}");
        }
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "seeds that violated a guarantee: {failed:?}"
    );
}

/// Runs one seed and returns the violations, followed by the schedule and the directory of the logs.
async fn run_seed(seed: u64) -> Vec<String> {
    let schedule = faults::generate_ends(&mut StdRng::seed_from_u64(seed), FAULT_PHASE);
    let mut fleet = Fleet::start(seed, Layout::Linked, BEHAVIORS).await;
    let observations = Arc::new(Mutex::new(Observations::default()));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|n| task::spawn(Caller::new(seed, n, &fleet, &observations).run()))
        .collect();
    let mut violations = faults::run_schedule(&mut fleet, &schedule).await;
    for caller in callers {
        caller.await;
    }
    violations.extend(fleet.recover(RECOVERY_TIMEOUT).await);
    violations.extend(check(&fleet, &observations.lock()));
    if !violations.is_empty() {
        violations.push(format!("faults: {schedule:?}"));
        violations.push(format!("logs: {}", fleet.folder.display()));
    }
    violations
}

/// Returns the violations that callers and endpoints observed.
fn check(fleet: &Fleet, observations: &Observations) -> Vec<String> {
    let mut violations = observations.violations.clone();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for run in fleet
        .endpoints()
        .flat_map(|e| e.endpoint.executed_requests())
    {
        *runs.entry(run.id).or_default() += 1;
    }
    for (id, n) in runs {
        if n > 1 && observations.at_most_once.contains(&id) {
            violations.push(format!("{id} ran {n} times"));
        }
    }
    for framing in [Framing::Length, Framing::Chunks, Framing::UntilClose] {
        let n = observations.complete.get(&framing).copied().unwrap_or(0);
        if n < COMPLETE_MIN {
            violations.push(format!("only {n} complete responses of {framing:?}"));
        }
    }
    if !fleet.logs().contains(USING_PEERS) {
        violations.push("no daemon has used peers".to_owned());
    }
    println!(
        "responses by status: {:?}; complete: {:?}",
        observations.statuses, observations.complete
    );
    violations
}

impl Caller {
    /// Creates caller `n` of a seed.
    fn new(seed: u64, n: u64, fleet: &Fleet, observations: &Arc<Mutex<Observations>>) -> Self {
        Self {
            name: format!("e{seed}c{n}"),
            rng: StdRng::seed_from_u64(seed * 1_000 + n),
            is_http10: n.is_multiple_of(3),
            addrs: fleet.caller_addrs(),
            conn: None,
            observations: Arc::clone(observations),
        }
    }

    /// Sends requests one after another until the faults end.
    async fn run(mut self) {
        let started_at = Instant::now();
        for n in 0.. {
            if started_at.elapsed() >= FAULT_PHASE {
                return;
            }
            let id = format!("{}n{n}", self.name);
            let is_stream = self.rng.random_ratio(1, 3);
            let request = self.request(&id, is_stream);
            let response = self.send(&request).await;
            let is_success = (200..300).contains(&response.status);
            self.record(&id, is_stream, &response);
            if !is_success || !response.is_complete {
                task::sleep(FAILURE_PAUSE).await;
            }
        }
    }

    /// Returns a turn, or a request of a service, which is idempotent in half of the cases.
    fn request(&mut self, id: &str, is_stream: bool) -> Request {
        let is_idempotent = !is_stream && self.rng.random_bool(0.5);
        if !is_idempotent {
            self.observations.lock().at_most_once.insert(id.to_owned());
        }
        let request = match (is_stream, is_idempotent) {
            (true, _) => Request::turn(&format!("p-{id}"), id, None, BUDGET),
            (false, true) => Request::plain("/safe/x", id),
            (false, false) => Request::plain("/unsafe/x", id),
        };
        Request {
            is_http10: self.is_http10,
            ..request
        }
    }

    /// Sends a request on the open connection, or on a new one to a random daemon.
    async fn send(&mut self, request: &Request) -> Response {
        let response = match self.conn.take() {
            Some(mut conn) => {
                let response = caller::send_on_connection(&mut conn, request).await;
                response.map(|r| (conn, r))
            }
            None => self.send_on_new_connection(request).await,
        };
        let Some((conn, response)) = response else {
            return Response::default();
        };
        if response.is_complete && !response.closes_connection {
            self.conn = Some(conn);
        }
        response
    }

    /// Sends a request on a new connection to a random daemon, mostly a linked one.
    async fn send_on_new_connection(&mut self, request: &Request) -> Option<(Conn, Response)> {
        let n = self.rng.random_range(0..self.addrs.len());
        // Every second daemon is linked, beginning with the first.
        let n = match self.rng.random_bool(0.5) {
            true => n & !1,
            false => n,
        };
        let addr = self.addrs[n];
        let mut conn = caller::start_request(addr, request).await?;
        let response = caller::read_response_with_timeout(&mut conn).await?;
        Some((conn, response))
    }

    /// Records a response, and the violation if it looks complete and is not whole.
    fn record(&self, id: &str, is_stream: bool, response: &Response) {
        let mut observations = self.observations.lock();
        let count = observations.statuses.entry(response.status).or_default();
        *count += 1;
        if !(200..300).contains(&response.status) || !response.is_complete {
            return;
        }
        let framing = pieces::framing(id, is_stream);
        *observations.complete.entry(framing).or_default() += 1;
        let whole = pieces::body(id, is_stream).concat();
        if response.body != whole {
            let (got, all) = (response.body.len(), whole.len());
            let http10 = self.is_http10;
            observations.violations.push(format!(
                "{id}: {got} of {all} bytes, {framing:?}, stream {is_stream}, HTTP/1.0 {http10}"
            ));
        }
    }
}
