//! A stand-in plain service that accepts any operation and counts the executions
//! of each idempotency key.

use std::{collections::BTreeMap, io, net, process, sync::Arc, time::Duration};

use async_std::task;
use http_types::Response;
use kingcupspan::edge::server::Exchange;
use kingcupspan_core::digest::Digest;
use serde_json::json;

use crate::{faults, http};

/// Exit code after a crash caused by a request body that contains `crash_on`.
const EXIT_CRASHED: i32 = 70;

/// Options of a stand-in service.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time that each operation takes.
    pub operation_time: Duration,

    /// Whether calls with an outdated fencing token are rejected.
    pub checks_fence: bool,

    /// Text in a request body that makes the service crash by ending the process.
    pub crash_on: Option<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            operation_time: Duration::from_millis(3),
            checks_fence: false,
            crash_on: None,
        }
    }
}

/// Mutable state of a service.
#[derive(Default)]
struct Inner {
    /// Number of operations in flight.
    running: u64,

    /// Number of executions of each idempotency key.
    executions: BTreeMap<String, u64>,

    /// Highest fencing token seen for each program.
    fences: BTreeMap<String, u64>,
}

/// State of a stand-in service.
pub struct Service {
    options: Options,
    inner: parking_lot::Mutex<Inner>,

    /// Faults that the service simulates.
    pub faults: faults::State,
}

impl Service {
    /// Creates a service that has executed no operation yet.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            inner: parking_lot::Mutex::default(),
            faults: faults::State::default(),
        })
    }

    /// Returns the number of executions of each idempotency key.
    ///
    /// Calls without a key are counted under the empty key.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.inner.lock().executions.clone()
    }

    /// Records the program's fencing token and returns whether the call must be rejected
    /// because its token is outdated.
    fn is_fenced(&self, exchange: &Exchange) -> bool {
        let program = exchange.header("Program-Id").unwrap_or_default();
        let fence: Option<u64> = exchange.header("Fence").and_then(|v| v.parse().ok());
        let Some(fence) = fence else {
            return false;
        };
        let mut inner = self.inner.lock();
        let newest = inner.fences.entry(program.to_owned()).or_insert(fence);
        let is_old = fence < *newest;
        *newest = fence.max(*newest);
        self.options.checks_fence && is_old
    }

    /// Executes an operation and returns its response.
    async fn run(&self, exchange: &mut Exchange) -> Response {
        if self.is_fenced(exchange) {
            let mut res = Response::new(503);
            res.insert_header("Ran", "no");
            return res;
        }
        let key = exchange
            .header("Idempotency-Key")
            .unwrap_or_default()
            .to_owned();
        let request_id = exchange
            .header("X-Request-Id")
            .unwrap_or_default()
            .to_owned();
        let path = exchange.req.url().path().to_owned();
        let body = http::read_body(exchange).await;
        self.crash_if_marked(&body);
        let count = {
            let mut inner = self.inner.lock();
            inner.running += 1;
            let count = inner.executions.entry(key.clone()).or_insert(0);
            *count += 1;
            *count
        };
        task::sleep(self.options.operation_time).await;
        self.inner.lock().running -= 1;
        if self.faults.should_drop_response() {
            return http::truncated_response();
        }
        let digest = Digest::of(&body).to_string();
        let mut result = json!({"path": path, "body_sha256": digest, "key": key});
        if !key.is_empty() {
            result["count"] = count.into();
        }
        let mut res = http::json_response(200, &result);
        let response_id = match self.faults.should_mix_up_response() {
            true => "of-another-request",
            false => request_id.as_str(),
        };
        res.insert_header("X-Request-Id", response_id);
        res
    }

    /// Ends the process if the body contains the `crash_on` text.
    fn crash_if_marked(&self, body: &[u8]) {
        let Some(marker) = &self.options.crash_on else {
            return;
        };
        if String::from_utf8_lossy(body).contains(marker) {
            process::exit(EXIT_CRASHED);
        }
    }

    /// Handles a request to the service.
    async fn handle(self: Arc<Self>, mut exchange: Exchange) -> Response {
        let path = exchange.req.url().path().to_owned();
        match path.as_str() {
            "/control" => return self.faults.control(&mut exchange).await,
            "/ran" => return http::json_response(200, &self.executions()),
            _ => {}
        }
        if let Some(response) = self.faults.intercept(&exchange).await {
            return response;
        }
        if path == "/load" {
            let running = self.inner.lock().running;
            return http::json_response(200, &json!({"running": running, "waiting": 0}));
        }
        self.run(&mut exchange).await
    }
}

/// Starts a service that listens on `addr`.
pub async fn start(
    addr: net::SocketAddr,
    service: Arc<Service>,
) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&service).handle(exchange)).await
}
