//! A model engine: batches continuously, caches prefixes in limited memory,
//! reports its load late, and obeys orders.

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

/// Exit code of an engine that a prompt has crashed.
const EXIT_CRASHED: i32 = 70;

/// Options of an engine.
#[derive(Debug, Clone)]
pub struct Options {
    /// Calls that it works on at a time; more wait inside.
    pub batch: usize,

    /// Time per token of a stream with an empty batch.
    pub time_per_token: Duration,

    /// Time per prompt token that is not cached.
    pub time_per_prompt_token: Duration,

    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,

    /// How late load reports are.
    pub report_lag: Duration,

    /// Whether orders and calls with an old fencing number are refused.
    pub checks_fence: bool,

    /// Ends the process when a prompt holds this text.
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

/// Prefix that is held for a program.
#[derive(Debug, Clone)]
struct Prefix {
    messages: Vec<Value>,
    tokens: u64,
    used: Instant,
}

/// What an engine did, for tests and measurements.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Calls answered to their end.
    pub calls: u64,

    /// Calls received.
    pub received: u64,

    /// Prompt tokens computed.
    pub prompt_tokens: u64,

    /// Prompt tokens that were in the cache.
    pub cached_tokens: u64,

    /// Tokens decoded.
    pub decoded_tokens: u64,

    /// Tokens dropped from the cache for want of memory.
    pub evicted_tokens: u64,
}

#[derive(Default)]
struct Inner {
    running: usize,
    waiting: usize,
    cache: BTreeMap<ProgramId, Prefix>,
    fences: BTreeMap<ProgramId, u64>,
    stats: Stats,
    reports: Vec<(Instant, Report)>,
    events: Vec<(Instant, Value)>,
}

impl Inner {
    /// Notes a cache event.
    fn note(&mut self, event: Value) {
        self.events.push((Instant::now(), event));
    }
}

#[derive(Debug, Clone, Default, Serialize)]
struct Report {
    running: usize,
    waiting: usize,
    held: BTreeSet<ProgramId>,
    cache_tokens: u64,
}

/// An engine's state.
pub struct Engine {
    options: Options,
    inner: parking_lot::Mutex<Inner>,
    left: Event,

    /// What it does wrong.
    pub faults: faults::State,
}

#[derive(Deserialize)]
struct ChatBody {
    messages: Vec<Value>,
    #[serde(default)]
    continue_from: String,
    max_tokens: u64,
}

#[derive(Deserialize)]
struct Order {
    order: String,
    program: Option<ProgramId>,
}

/// A call that the engine works on; leaves the batch when dropped.
struct InBatch(Arc<Engine>);

impl Drop for InBatch {
    fn drop(&mut self) {
        self.0.inner.lock().running -= 1;
        self.0.left.notify(1);
    }
}

struct Call {
    id: String,
    program: Option<ProgramId>,
    body: ChatBody,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Engine {
    /// An engine that has done nothing.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            inner: parking_lot::Mutex::default(),
            left: Event::new(),
            faults: faults::State::default(),
        })
    }

    /// What it has done.
    pub fn stats(&self) -> Stats {
        self.inner.lock().stats.clone()
    }

    /// Programs that it holds memory for.
    pub fn cached_programs(&self) -> BTreeSet<ProgramId> {
        self.inner.lock().cache.keys().copied().collect()
    }

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
        let due = inner.reports.iter().rposition(|r| now - r.0 >= lag);
        let shown = due.unwrap_or(0);
        let report = inner.reports[shown].1.clone();
        inner.reports.drain(..shown);
        report
    }

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

    async fn enter(self: &Arc<Self>) -> InBatch {
        self.inner.lock().waiting += 1;
        loop {
            let left = self.left.listen();
            {
                let mut inner = self.inner.lock();
                if inner.running < self.options.batch {
                    inner.running += 1;
                    inner.waiting -= 1;
                    return InBatch(Arc::clone(self));
                }
            }
            left.await;
        }
    }

    fn cached(&self, program: Option<ProgramId>, messages: &[Value]) -> u64 {
        let mut inner = self.inner.lock();
        let Some(prefix) = program.and_then(|p| inner.cache.get_mut(&p)) else {
            return 0;
        };
        prefix.used = Instant::now();
        let pairs = prefix.messages.iter().zip(messages);
        let same = pairs.take_while(|(a, b)| a == b);
        same.map(|(m, _)| text::count_tokens(text::content(m)))
            .sum()
    }

    fn keep(&self, call: &Call, answer: &str) {
        let Some(program) = call.program else {
            return;
        };
        let mut messages = call.body.messages.clone();
        messages.push(json!({"role": "assistant", "content": answer}));
        let tokens = text::count_prompt_tokens(&messages);
        let mut inner = self.inner.lock();
        inner.cache.insert(
            program,
            Prefix {
                messages,
                tokens,
                used: Instant::now(),
            },
        );
        inner.note(json!({"stored": program, "tokens": tokens}));
        self.evict(&mut inner);
    }

    fn evict(&self, inner: &mut Inner) {
        loop {
            let held: u64 = inner.cache.values().map(|p| p.tokens).sum();
            if held <= self.options.cache_tokens {
                return;
            }
            let oldest = inner.cache.iter().min_by_key(|(_, p)| p.used);
            let Some(oldest) = oldest.map(|(id, _)| *id) else {
                return;
            };
            if let Some(prefix) = inner.cache.remove(&oldest) {
                inner.stats.evicted_tokens += prefix.tokens;
                inner.note(json!({"removed": oldest}));
            }
        }
    }

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
        let in_batch = self.enter().await;
        let prompt_tokens = text::count_prompt_tokens(&body.messages);
        let call = Call {
            cached_tokens: self.cached(program, &body.messages),
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
        task::spawn(self.decode(call, writer, in_batch));
        res
    }

    fn crash_if_marked(&self, messages: &[Value]) {
        let Some(mark) = &self.options.crash_on else {
            return;
        };
        if messages.iter().any(|m| text::content(m).contains(mark)) {
            process::exit(EXIT_CRASHED);
        }
    }

    async fn decode(self: Arc<Self>, call: Call, writer: body::Writer, in_batch: InBatch) {
        let words = text::response_words(&call.body.messages, call.body.max_tokens);
        let skip = text::count_tokens(&call.body.continue_from) as usize;
        let cut_at = self
            .faults
            .should_truncate_stream()
            .then_some(words.len() / 2);
        let id = match self.faults.should_mix_up_response() {
            true => "of-another-request".to_owned(),
            false => call.id.clone(),
        };
        for (i, word) in words.iter().enumerate().skip(skip) {
            task::sleep(self.token_time()).await;
            if cut_at == Some(i) {
                return;
            }
            let gap = if i == 0 { "" } else { " " };
            let event = json!({
                "id": format!("chatcmpl-{id}"),
                "choices": [{"index": 0, "delta": {"content": format!("{gap}{word}")}}]
            });
            if !writer
                .write(format!("data: {event}\n\n").into_bytes())
                .await
            {
                return;
            }
        }
        self.finish(&call, &words, skip);
        drop(in_batch);
        let end = end_event(&call, &id, words.len());
        writer.write(end.into_bytes()).await;
        writer.finish().await;
    }

    /// A fuller batch takes longer for each of its streams.
    fn token_time(&self) -> Duration {
        let running = self.inner.lock().running as f64;
        let batch = self.options.batch as f64;
        self.options.time_per_token.mul_f64(1.0 + running / batch)
    }

    fn finish(&self, call: &Call, words: &[String], skip: usize) {
        self.keep(call, &words.join(" "));
        let mut inner = self.inner.lock();
        inner.stats.calls += 1;
        inner.stats.prompt_tokens += call.prompt_tokens - call.cached_tokens;
        inner.stats.cached_tokens += call.cached_tokens;
        inner.stats.decoded_tokens += (words.len() - skip) as u64;
    }

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
                inner.note(json!({"removed": program}));
                http::json_response(200, &json!({}))
            }
            _ => http::json_response(400, &json!({"error": "unknown order"})),
        }
    }

    /// Cache events from an offset, late and with every seventh missing.
    fn cache_events(&self, from: usize) -> Response {
        let inner = self.inner.lock();
        let kept = inner.events.iter().enumerate().skip(from);
        let shown = kept.take_while(|(_, (at, _))| at.elapsed() >= self.options.report_lag);
        let events: Vec<Value> = shown
            .filter(|(i, _)| i % 7 != 6)
            .map(|(i, (_, event))| json!({"offset": i, "event": event}))
            .collect();
        http::json_response(200, &json!({"events": events}))
    }

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

fn end_event(call: &Call, id: &str, decoded: usize) -> String {
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

/// Starts an engine.
pub async fn start(addr: net::SocketAddr, engine: Arc<Engine>) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&engine).handle(exchange)).await
}
