//! A stand-in model engine with continuous batching, a prefix cache of limited
//! size, delayed load reports and an endpoint for orders such as cache release.

use std::{
    collections::{BTreeMap, BTreeSet},
    io, net, process,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use event_listener::Event;
use http_types::{Method, Response};
use kingcupspan::edge::{body, server::Exchange};
use kingcupspan_core::id::ProgramId;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{faults, http, text};

/// Exit code after a crash caused by a prompt that contains `crash_on`.
const EXIT_CRASHED: i32 = 70;

/// Options of a stand-in engine.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of calls processed at a time; further calls wait in the engine.
    pub batch: usize,

    /// Time to decode one token when the batch is otherwise empty.
    pub time_per_token: Duration,

    /// Time to process one prompt token that is not in the prefix cache.
    pub time_per_prompt_token: Duration,

    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,

    /// Delay after which load reports and cache events become visible.
    pub report_lag: Duration,

    /// Whether orders and calls with an outdated fencing token are rejected.
    pub checks_fence: bool,

    /// Text in a prompt that makes the engine crash by ending the process.
    pub crash_on: Option<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            batch: 8,
            time_per_token: Duration::from_millis(2),
            time_per_prompt_token: Duration::from_micros(20),
            cache_tokens: 100_000,
            report_lag: Duration::from_millis(200),
            checks_fence: false,
            crash_on: None,
        }
    }
}

/// Cached prefix of a program.
#[derive(Debug, Clone)]
struct Prefix {
    messages: Vec<Value>,
    tokens: u64,
    last_used: Instant,
}

/// Counters of an engine's work, for tests and benchmarks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of calls answered completely.
    pub calls: u64,

    /// Number of calls received.
    pub received: u64,

    /// Number of prompt tokens computed.
    pub prompt_tokens: u64,

    /// Number of prompt tokens found in the cache.
    pub cached_tokens: u64,

    /// Number of tokens decoded.
    pub decoded_tokens: u64,

    /// Number of tokens evicted from the cache to stay within its capacity.
    pub evicted_tokens: u64,
}

/// Mutable state of an engine.
#[derive(Default)]
struct Inner {
    /// Number of calls in the batch.
    running: usize,

    /// Number of calls waiting for a place in the batch.
    waiting: usize,

    cache: BTreeMap<ProgramId, Prefix>,

    /// Highest fencing token seen for each program.
    fences: BTreeMap<ProgramId, u64>,

    stats: Stats,

    /// Load reports with the times at which they were made.
    reports: Vec<(Instant, Report)>,

    /// Cache events with the times at which they occurred.
    events: Vec<(Instant, Value)>,
}

impl Inner {
    /// Records a cache event.
    fn record_event(&mut self, event: Value) {
        self.events.push((Instant::now(), event));
    }
}

/// Load report of an engine.
#[derive(Debug, Clone, Default, Serialize)]
struct Report {
    running: usize,
    waiting: usize,

    /// Programs with a cached prefix.
    held: BTreeSet<ProgramId>,

    /// Number of tokens in the prefix cache.
    cache_tokens: u64,
}

/// State of a stand-in engine.
pub struct Engine {
    options: Options,
    inner: parking_lot::Mutex<Inner>,

    /// Notified when a call leaves the batch.
    batch_left: Event,

    /// Faults that the engine simulates.
    pub faults: faults::State,
}

/// Body of a chat completion request.
#[derive(Deserialize)]
struct ChatBody {
    messages: Vec<Value>,

    /// Part of the response that was already received; generation continues after it.
    #[serde(default)]
    continue_from: String,

    max_tokens: u64,
}

/// Body of a request to `/orders`.
#[derive(Deserialize)]
struct Order {
    order: String,
    program: Option<ProgramId>,
}

/// A call's place in the batch, released on drop.
struct BatchGuard(Arc<Engine>);

impl Drop for BatchGuard {
    fn drop(&mut self) {
        self.0.inner.lock().running -= 1;
        self.0.batch_left.notify(1);
    }
}

/// A chat completion call in the batch.
struct Call {
    /// Value of the request's `X-Request-Id` header.
    id: String,
    program: Option<ProgramId>,
    body: ChatBody,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            inner: parking_lot::Mutex::default(),
            batch_left: Event::new(),
            faults: faults::State::default(),
        })
    }

    /// Returns the engine's counters.
    pub fn stats(&self) -> Stats {
        self.inner.lock().stats.clone()
    }

    /// Returns the programs that have a cached prefix.
    pub fn cached_programs(&self) -> BTreeSet<ProgramId> {
        self.inner.lock().cache.keys().copied().collect()
    }

    /// Records a load report and returns the newest one that is at least `report_lag` old.
    ///
    /// Returns the oldest report if none is old enough.
    fn load(&self) -> Report {
        let mut inner = self.inner.lock();
        let report = Report {
            running: inner.running,
            waiting: inner.waiting,
            held: inner.cache.keys().copied().collect(),
            cache_tokens: inner.cache.values().map(|p| p.tokens).sum(),
        };
        let now = Instant::now();
        inner.reports.push((now, report));
        let lag = self.options.report_lag;
        let newest_due = inner.reports.iter().rposition(|r| now - r.0 >= lag);
        let index = newest_due.unwrap_or(0);
        let report = inner.reports[index].1.clone();
        inner.reports.drain(..index);
        report
    }

    /// Records the program's fencing token and returns whether the request must be rejected
    /// because its token is outdated.
    fn is_fenced(&self, program: Option<ProgramId>, fence: Option<u64>) -> bool {
        let (Some(program), Some(fence)) = (program, fence) else {
            return false;
        };
        let mut inner = self.inner.lock();
        let newest = inner.fences.entry(program).or_insert(fence);
        let is_old = fence < *newest;
        *newest = fence.max(*newest);
        self.options.checks_fence && is_old
    }

    /// Waits until the batch has room and adds a call to it.
    async fn enter_batch(self: &Arc<Self>) -> BatchGuard {
        self.inner.lock().waiting += 1;
        loop {
            let batch_left = self.batch_left.listen();
            {
                let mut inner = self.inner.lock();
                if inner.running < self.options.batch {
                    inner.running += 1;
                    inner.waiting -= 1;
                    return BatchGuard(Arc::clone(self));
                }
            }
            batch_left.await;
        }
    }

    /// Returns how many tokens of the prompt are cached for the program.
    fn cached_tokens(&self, program: Option<ProgramId>, messages: &[Value]) -> u64 {
        let mut inner = self.inner.lock();
        let Some(prefix) = program.and_then(|p| inner.cache.get_mut(&p)) else {
            return 0;
        };
        prefix.last_used = Instant::now();
        let pairs = prefix.messages.iter().zip(messages);
        let common = pairs.take_while(|(a, b)| a == b);
        common
            .map(|(m, _)| text::count_tokens(text::content(m)))
            .sum()
    }

    /// Caches the prompt and the generated text as the program's prefix.
    fn cache_prefix(&self, call: &Call, response: &str) {
        let Some(program) = call.program else {
            return;
        };
        let mut messages = call.body.messages.clone();
        messages.push(json!({"role": "assistant", "content": response}));
        let tokens = text::count_prompt_tokens(&messages);
        let mut inner = self.inner.lock();
        inner.cache.insert(
            program,
            Prefix {
                messages,
                tokens,
                last_used: Instant::now(),
            },
        );
        inner.record_event(json!({"stored": program, "tokens": tokens}));
        self.evict(&mut inner);
    }

    /// Evicts the least recently used prefixes until the cache is within its capacity.
    fn evict(&self, inner: &mut Inner) {
        loop {
            let cached: u64 = inner.cache.values().map(|p| p.tokens).sum();
            if cached <= self.options.cache_tokens {
                return;
            }
            let oldest = inner.cache.iter().min_by_key(|(_, p)| p.last_used);
            let Some(oldest) = oldest.map(|(id, _)| *id) else {
                return;
            };
            if let Some(prefix) = inner.cache.remove(&oldest) {
                inner.stats.evicted_tokens += prefix.tokens;
                inner.record_event(json!({"removed": oldest}));
            }
        }
    }

    /// Handles a chat completion request.
    async fn chat(self: Arc<Self>, mut exchange: Exchange) -> Response {
        let header = |name: &str| exchange.header(name).map(str::to_owned);
        let id = header("X-Request-Id").unwrap_or_default();
        let program: Option<ProgramId> = header("Program-Id").and_then(|v| v.parse().ok());
        let fence = header("Fence").and_then(|v| v.parse().ok());
        let body: ChatBody = match http::read_json(&mut exchange).await {
            Ok(body) => body,
            Err(bad_request) => return bad_request,
        };
        if self.is_fenced(program, fence) {
            return http::json_response(409, &json!({"error": "old fencing number"}));
        }
        self.inner.lock().stats.received += 1;
        self.crash_if_marked(&body.messages);
        let batch_guard = self.enter_batch().await;
        let prompt_tokens = text::count_prompt_tokens(&body.messages);
        let call = Call {
            cached_tokens: self.cached_tokens(program, &body.messages),
            id,
            program,
            body,
            prompt_tokens,
        };
        let uncached = call.prompt_tokens - call.cached_tokens;
        task::sleep(self.options.time_per_prompt_token * uncached as u32).await;
        let (writer, body) = body::channel();
        let mut res = Response::new(200);
        res.set_body(body);
        res.insert_header("Content-Type", "text/event-stream");
        task::spawn(self.decode(call, writer, batch_guard));
        res
    }

    /// Ends the process if a message contains the `crash_on` text.
    fn crash_if_marked(&self, messages: &[Value]) {
        let Some(marker) = &self.options.crash_on else {
            return;
        };
        if messages.iter().any(|m| text::content(m).contains(marker)) {
            process::exit(EXIT_CRASHED);
        }
    }

    /// Streams the generated text to the caller.
    async fn decode(self: Arc<Self>, call: Call, writer: body::Writer, batch_guard: BatchGuard) {
        let words = text::response_words(&call.body.messages, call.body.max_tokens);
        let skip = text::count_tokens(&call.body.continue_from) as usize;
        let truncate_at = self
            .faults
            .should_truncate_stream()
            .then_some(words.len() / 2);
        let id = match self.faults.should_mix_up_response() {
            true => "of-another-request".to_owned(),
            false => call.id.clone(),
        };
        for (i, word) in words.iter().enumerate().skip(skip) {
            task::sleep(self.token_time()).await;
            if truncate_at == Some(i) {
                return;
            }
            let separator = if i == 0 { "" } else { " " };
            let event = json!({
                "id": format!("chatcmpl-{id}"),
                "choices": [{"index": 0, "delta": {"content": format!("{separator}{word}")}}]
            });
            if !writer
                .write(format!("data: {event}\n\n").into_bytes())
                .await
            {
                return;
            }
        }
        self.finish(&call, &words, skip);
        drop(batch_guard);
        let end = end_events(&call, &id, words.len());
        writer.write(end.into_bytes()).await;
        writer.finish().await;
    }

    /// Returns the time to decode one token, which grows with the number of calls in the batch.
    fn token_time(&self) -> Duration {
        let running = self.inner.lock().running as f64;
        let batch = self.options.batch as f64;
        self.options.time_per_token.mul_f64(1.0 + running / batch)
    }

    /// Caches the call's prefix and adds the call to the counters.
    fn finish(&self, call: &Call, words: &[String], skip: usize) {
        self.cache_prefix(call, &words.join(" "));
        let mut inner = self.inner.lock();
        inner.stats.calls += 1;
        inner.stats.prompt_tokens += call.prompt_tokens - call.cached_tokens;
        inner.stats.cached_tokens += call.cached_tokens;
        inner.stats.decoded_tokens += (words.len() - skip) as u64;
    }

    /// Handles an order, such as the release of a program's cached prefix.
    async fn order(&self, mut exchange: Exchange) -> Response {
        let fence = exchange.header("Fence").and_then(|v| v.parse().ok());
        let order: Order = match http::read_json(&mut exchange).await {
            Ok(order) => order,
            Err(bad_request) => return bad_request,
        };
        if self.is_fenced(order.program, fence) {
            return http::json_response(409, &json!({"error": "old fencing number"}));
        }
        match (order.order.as_str(), order.program) {
            ("release", Some(program)) => {
                let mut inner = self.inner.lock();
                inner.cache.remove(&program);
                inner.record_event(json!({"removed": program}));
                http::json_response(200, &json!({}))
            }
            _ => http::json_response(400, &json!({"error": "unknown order"})),
        }
    }

    /// Returns the cache events from the offset `from` that are at least `report_lag` old.
    ///
    /// Every seventh event is left out, to simulate lost events.
    fn cache_events(&self, from: usize) -> Response {
        let inner = self.inner.lock();
        let recorded = inner.events.iter().enumerate().skip(from);
        let due = recorded.take_while(|(_, (at, _))| at.elapsed() >= self.options.report_lag);
        let events: Vec<Value> = due
            .filter(|(i, _)| i % 7 != 6)
            .map(|(i, (_, event))| json!({"offset": i, "event": event}))
            .collect();
        http::json_response(200, &json!({"events": events}))
    }

    /// Handles a request to the engine.
    async fn handle(self: Arc<Self>, mut exchange: Exchange) -> Response {
        let path = exchange.req.url().path().to_owned();
        if path == "/control" {
            return self.faults.control(&mut exchange).await;
        }
        if let Some(response) = self.faults.intercept(&exchange).await {
            return response;
        }
        match (exchange.req.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => self.chat(exchange).await,
            (Method::Get, "/load") => http::json_response(200, &self.load()),
            (Method::Get, "/done") => http::json_response(200, &self.stats()),
            (Method::Get, "/held") => http::json_response(200, &self.cached_programs()),
            (Method::Get, "/cache/events") => {
                let from = http::query_param(&exchange, "from").and_then(|v| v.parse().ok());
                self.cache_events(from.unwrap_or(0))
            }
            (Method::Post, "/orders") => self.order(exchange).await,
            _ => Response::new(404),
        }
    }
}

/// Returns the last events of a stream: the finish reason with the usage, and `[DONE]`.
fn end_events(call: &Call, id: &str, decoded: usize) -> String {
    let event = json!({
        "id": format!("chatcmpl-{id}"),
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {
            "prompt_tokens": call.prompt_tokens,
            "completion_tokens": decoded,
            "prompt_tokens_details": {"cached_tokens": call.cached_tokens}
        }
    });
    format!("data: {event}\n\ndata: [DONE]\n\n")
}

/// Starts an engine that listens on `addr`.
pub async fn start(addr: net::SocketAddr, engine: Arc<Engine>) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&engine).handle(exchange)).await
}
