//! A stand-in for the platform's log service: append-only streams of records with
//! offsets.

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

/// Maximum number of records in one response.
const PAGE_MAX_RECORDS: usize = 256;

/// Options of the stand-in log.
#[derive(Debug, Clone)]
pub struct Options {
    /// Age at which records are deleted.
    pub retention: Duration,

    /// Maximum number of appends per second; further appends get status 429.
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

/// A stream of records.
#[derive(Default)]
struct Stream {
    /// Offset of the oldest record that has not expired.
    first_offset: u64,

    /// Hex-encoded records with the times at which they were appended.
    records: VecDeque<(Instant, String)>,

    /// Notified when a record is appended.
    appended: Arc<Event>,
}

impl Stream {
    /// Returns the offset of the next record.
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Deletes the records that are older than `retention`.
    fn expire(&mut self, retention: Duration) {
        while self
            .records
            .front()
            .is_some_and(|r| r.0.elapsed() > retention)
        {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }
}

/// State of the stand-in log.
pub struct Log {
    options: Options,
    streams: parking_lot::Mutex<HashMap<String, Stream>>,
    appends: parking_lot::Mutex<Appends>,

    /// Faults that the log simulates.
    pub faults: faults::State,
}

/// Counters of appends.
struct Appends {
    /// Number of appends since the start.
    total: u64,

    /// Start of the current rate-limit window of one second.
    window_start: Instant,

    /// Number of appends requested in the current window.
    in_window: u64,
}

impl Log {
    /// Creates an empty log.
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            streams: parking_lot::Mutex::default(),
            appends: parking_lot::Mutex::new(Appends {
                total: 0,
                window_start: Instant::now(),
                in_window: 0,
            }),
            faults: faults::State::default(),
        })
    }

    /// Returns the number of appends since the start.
    pub fn appends(&self) -> u64 {
        self.appends.lock().total
    }

    /// Returns all records that a stream still holds.
    pub fn records(&self, stream: &str) -> Vec<Vec<u8>> {
        let streams = self.streams.lock();
        let records = streams.get(stream).map(|s| s.records.iter());
        let records = records.into_iter().flatten();
        records
            .filter_map(|(_, data)| hex::decode(data).ok())
            .collect()
    }

    /// Returns the names of all streams.
    pub fn streams(&self) -> Vec<String> {
        self.streams.lock().keys().cloned().collect()
    }

    /// Counts an append and returns whether it exceeds the rate limit.
    fn is_over_rate(&self) -> bool {
        let mut appends = self.appends.lock();
        if appends.window_start.elapsed() >= Duration::from_secs(1) {
            appends.window_start = Instant::now();
            appends.in_window = 0;
        }
        appends.in_window += 1;
        appends.in_window > self.options.appends_per_s
    }

    /// Appends a record to a stream and returns its offset.
    fn append(&self, stream: &str, bytes: &[u8]) -> u64 {
        let mut streams = self.streams.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let offset = stream.end_offset();
        stream
            .records
            .push_back((Instant::now(), hex::encode(bytes)));
        let appended = Arc::clone(&stream.appended);
        drop(streams);
        self.appends.lock().total += 1;
        appended.notify(usize::MAX);
        offset
    }

    /// Returns the event that is notified when a record is appended to the stream.
    fn append_event(&self, stream: &str) -> Arc<Event> {
        let mut streams = self.streams.lock();
        Arc::clone(&streams.entry(stream.to_owned()).or_default().appended)
    }

    /// Returns up to `PAGE_MAX_RECORDS` records from the offset `from`.
    ///
    /// If the record at `from` has expired, returns the oldest available offset as the error.
    fn read_page(&self, stream: &str, from: u64) -> Result<Vec<(u64, String)>, u64> {
        let mut streams = self.streams.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.expire(self.options.retention);
        if from < stream.first_offset {
            return Err(stream.first_offset);
        }
        let skip = (from - stream.first_offset) as usize;
        let records = stream.records.iter().skip(skip).take(PAGE_MAX_RECORDS);
        let numbered = records
            .enumerate()
            .map(|(i, r)| (from + i as u64, r.1.clone()));
        Ok(numbered.collect())
    }

    /// Reads records from the offset `from`, waiting up to `wait` if there are none yet.
    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Response {
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.append_event(stream).listen();
            match self.read_page(stream, from) {
                Err(oldest) => return http::json_response(410, &json!({"oldest": oldest})),
                Ok(page) if !page.is_empty() => return page_response(&page),
                Ok(page) => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    if future::timeout(remaining, appended).await.is_err() {
                        return page_response(&page);
                    }
                }
            }
        }
    }

    /// Handles a request to the log.
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
                // An outage that began during the read also affects the waiting readers.
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

    /// Handles an append request.
    async fn post(self: &Arc<Self>, exchange: &Exchange, stream: &str, bytes: Vec<u8>) -> Response {
        if let Some(response) = self.faults.intercept(exchange).await {
            return response;
        }
        if self.is_over_rate() {
            return Response::new(429);
        }
        let delay_ms = self.faults.get().late_append_ms;
        if delay_ms > 0 {
            let log = Arc::clone(self);
            let stream = stream.to_owned();
            task::spawn(async move {
                task::sleep(Duration::from_millis(delay_ms)).await;
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

/// Returns the response that carries a page of records.
fn page_response(page: &[(u64, String)]) -> Response {
    let records: Vec<_> = page
        .iter()
        .map(|(offset, data)| json!({"offset": offset, "data": data}))
        .collect();
    http::json_response(200, &json!({"records": records}))
}

/// Starts a log that listens on `addr`.
pub async fn start(addr: net::SocketAddr, log: Arc<Log>) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&log).handle(exchange)).await
}
