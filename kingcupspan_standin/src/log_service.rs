//! The platform's log: append-only streams with offsets.

use std::{
    collections::{HashMap, VecDeque},
    io, net,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future, task};
use event_listener::Event;
use http_types::{Method, Response};
use kingcupspan::edge::server::Exchange;
use serde_json::json;

use crate::{faults, http};

/// Records in one answer.
const PAGE_MAX: usize = 256;

/// Options of the log.
#[derive(Debug, Clone)]
pub struct Options {
    /// How long records are kept.
    pub retention: Duration,

    /// Appends per second.
    pub appends_per_s: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(3_600),
            appends_per_s: 500,
        }
    }
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<(Instant, String)>,
    appended: Arc<Event>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, retention: Duration) {
        while self
            .records
            .front()
            .is_some_and(|r| r.0.elapsed() > retention)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

/// The log's state.
pub struct Log {
    options: Options,
    streams: parking_lot::Mutex<HashMap<String, Stream>>,
    appends: parking_lot::Mutex<Appends>,

    /// What it does wrong.
    pub faults: faults::State,
}

struct Appends {
    total: u64,
    second: Instant,
    in_second: u64,
}

impl Log {
    /// An empty log.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            streams: parking_lot::Mutex::default(),
            appends: parking_lot::Mutex::new(Appends {
                total: 0,
                second: Instant::now(),
                in_second: 0,
            }),
            faults: faults::State::default(),
        })
    }

    /// Appends made so far.
    pub fn appends(&self) -> u64 {
        self.appends.lock().total
    }

    /// All kept records of a stream.
    pub fn records(&self, stream: &str) -> Vec<Vec<u8>> {
        let streams = self.streams.lock();
        let records = streams.get(stream).map(|s| s.records.iter());
        let records = records.into_iter().flatten();
        records
            .filter_map(|(_, data)| hex::decode(data).ok())
            .collect()
    }

    /// Names of all streams.
    pub fn streams(&self) -> Vec<String> {
        self.streams.lock().keys().cloned().collect()
    }

    fn is_over_rate(&self) -> bool {
        let mut appends = self.appends.lock();
        if appends.second.elapsed() >= Duration::from_secs(1) {
            appends.second = Instant::now();
            appends.in_second = 0;
        }
        appends.in_second += 1;
        appends.in_second > self.options.appends_per_s
    }

    fn append(&self, stream: &str, bytes: &[u8]) -> u64 {
        let mut streams = self.streams.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let offset = stream.end();
        stream
            .records
            .push_back((Instant::now(), hex::encode(bytes)));
        let appended = Arc::clone(&stream.appended);
        drop(streams);
        self.appends.lock().total += 1;
        appended.notify(usize::MAX);
        offset
    }

    fn appended(&self, stream: &str) -> Arc<Event> {
        let mut streams = self.streams.lock();
        Arc::clone(&streams.entry(stream.to_owned()).or_default().appended)
    }

    fn page(&self, stream: &str, from: u64) -> Result<Vec<(u64, String)>, u64> {
        let mut streams = self.streams.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.expire(self.options.retention);
        if from < stream.first {
            return Err(stream.first);
        }
        let skip = (from - stream.first) as usize;
        let records = stream.records.iter().skip(skip).take(PAGE_MAX);
        let numbered = records
            .enumerate()
            .map(|(i, r)| (from + i as u64, r.1.clone()));
        Ok(numbered.collect())
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Response {
        let until = Instant::now() + wait;
        loop {
            let appended = self.appended(stream).listen();
            match self.page(stream, from) {
                Err(oldest) => return http::json_response(410, &json!({"oldest": oldest})),
                Ok(page) if !page.is_empty() => return page_response(&page),
                Ok(page) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if future::timeout(left, appended).await.is_err() {
                        return page_response(&page);
                    }
                }
            }
        }
    }

    async fn handle(self: Arc<Self>, mut exchange: Exchange) -> Response {
        let path = exchange.req.url().path().to_owned();
        if path == "/control" {
            return self.faults.control(&mut exchange).await;
        }
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let ["streams", stream, "records"] = parts.as_slice() else {
            return Response::new(404);
        };
        match exchange.req.method() {
            Method::Get => {
                if let Some(response) = self.faults.intercept(&exchange).await {
                    return response;
                }
                let number = |name| http::query_param(&exchange, name).and_then(|v| v.parse().ok());
                let from = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let res = self.read(stream, from, wait).await;
                // An outage that began meanwhile also hits those who wait.
                match self.faults.intercept(&exchange).await {
                    Some(response) => response,
                    None => res,
                }
            }
            Method::Post => {
                let bytes = http::read_body(&mut exchange).await;
                self.post(&exchange, stream, bytes).await
            }
            _ => Response::new(405),
        }
    }

    async fn post(self: &Arc<Self>, exchange: &Exchange, stream: &str, bytes: Vec<u8>) -> Response {
        if let Some(response) = self.faults.intercept(exchange).await {
            return response;
        }
        if self.is_over_rate() {
            return Response::new(429);
        }
        let late_ms = self.faults.get().late_append_ms;
        if late_ms > 0 {
            let log = Arc::clone(self);
            let stream = stream.to_owned();
            task::spawn(async move {
                task::sleep(Duration::from_millis(late_ms)).await;
                log.append(&stream, &bytes);
            });
            return http::truncated_response();
        }
        let offset = self.append(stream, &bytes);
        match self.faults.should_drop_response() {
            true => http::truncated_response(),
            false => http::json_response(201, &json!({"offset": offset})),
        }
    }
}

fn page_response(page: &[(u64, String)]) -> Response {
    let records: Vec<_> = page
        .iter()
        .map(|(offset, data)| json!({"offset": offset, "data": data}))
        .collect();
    http::json_response(200, &json!({"records": records}))
}

/// Starts a log.
pub async fn start(addr: net::SocketAddr, log: Arc<Log>) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&log).handle(exchange)).await
}
