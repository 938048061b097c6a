//! A plain service: runs any operation and counts what it ran.

use std::{collections::BTreeMap, io, net, process, sync::Arc, time::Duration};

use async_std::task;
use http_types::Response;
use kingcupspan::edge::server::Exchange;
use kingcupspan_core::digest::Digest;
use serde_json::json;

use crate::{faults, http};

/// Exit code of a service that a body has crashed.
const EXIT_CRASHED: i32 = 70;

/// Options of a service.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time per operation.
    pub operation_time: Duration,

    /// Whether calls with an old fencing number are refused.
    pub checks_fence: bool,

    /// Ends the process when a body holds this text.
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

#[derive(Default)]
struct Inner {
    running: u64,
    executions: BTreeMap<String, u64>,
    fences: BTreeMap<String, u64>,
}

/// A service's state.
pub struct Service {
    options: Options,
    inner: parking_lot::Mutex<Inner>,

    /// What it does wrong.
    pub faults: faults::State,
}

impl Service {
    /// A service that has run nothing.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            inner: parking_lot::Mutex::default(),
            faults: faults::State::default(),
        })
    }

    /// How often each idempotency key was run; calls without one count under "".
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.inner.lock().executions.clone()
    }

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
        let mut answer = json!({"path": path, "body_sha256": digest, "key": key});
        if !key.is_empty() {
            answer["count"] = count.into();
        }
        let mut res = http::json_response(200, &answer);
        let echoed = match self.faults.should_mix_up_response() {
            true => "of-another-request",
            false => request_id.as_str(),
        };
        res.insert_header("X-Request-Id", echoed);
        res
    }

    fn crash_if_marked(&self, body: &[u8]) {
        let Some(mark) = &self.options.crash_on else {
            return;
        };
        if String::from_utf8_lossy(body).contains(mark) {
            process::exit(EXIT_CRASHED);
        }
    }

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

/// Starts a service.
pub async fn start(
    addr: net::SocketAddr,
    service: Arc<Service>,
) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&service).handle(exchange)).await
}
