//! Client of the platform's store.

mod health;
mod paths;
mod traffic;

use std::{
    net,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use http_types::Method;
use kingcupspan_platform::store::{
    self, AppendResponse, Batch, Page, Partition, Record, StoreError,
};
use parking_lot::Mutex;

pub use self::traffic::Traffic;
use self::{health::Health, traffic::Via};
use crate::{
    edge::client::{Client, ClientRequest, SendError, Timeouts},
    gateway::peers::Peers,
};

/// Timeout of a call; a slow store responds within 250 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of the records that a read returns, in KiB; they pass the slowest link, and a
/// peer that proxies the call, within the timeouts.
const SMALL_READ_MAX_KIB: u32 = 128;

/// The same for reads of records that may be large.
const LARGE_READ_MAX_KIB: u32 = 1_024;

/// Timeout until a large response begins, and for each further part of it.
const LARGE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time for which a response shows that the store is available although it rejects
/// another call: it rejects calls that exceed its rate limit or the queue of one
/// partition.
const RESPONSE_VALID_FOR: Duration = Duration::from_millis(100);

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause between calls that probe whether the store responds again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Topic that a probe reads.
const PROBED_TOPIC: &str = "daemons";

/// Key behind the keys of all records.
const LAST_KEY: &str = "~";

/// Maximum size of a response, in bytes.
const RESPONSE_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Error returned when a call to the store fails.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreFailure {
    /// The store rejected the call and did not carry it out.
    #[error("store rejected the call with status {0}")]
    Refused(u16),

    /// The store did not respond; it may still carry out the call.
    #[error("no response from the store: {0}")]
    NoResponse(#[from] SendError),

    /// No call was made because the store has recently not responded to this daemon.
    #[error("store is unreachable")]
    Unreachable,

    /// The response cannot be decoded.
    #[error(transparent)]
    Malformed(#[from] StoreError),

    /// A read ended before a record that the store had acknowledged.
    #[error("read from the store ends before record {0}")]
    EndsEarly(u64),
}

/// Size that the response to a call may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseSize {
    /// Sent within milliseconds unless the store is slow or unreachable.
    Small,

    /// May take long to send, which does not show that the store is slow or unreachable.
    Large,
}

/// Result of a read.
#[derive(Debug)]
pub enum Read {
    /// Records starting at the requested offset.
    Batch(Batch),

    /// The records were deleted; the newest record of each key has to be listed instead.
    Trimmed,
}

/// Client of the store.
///
/// A daemon that cannot reach the store has peers proxy its calls. All calls are
/// idempotent.
pub struct Store {
    client: Client,
    addr: net::SocketAddr,
    peers: Arc<Peers>,
    health: Health,

    /// VM of the daemon that last made a call for this one.
    last_proxy: Mutex<Option<String>>,

    /// Counters of calls and bytes.
    traffic: Traffic,
}

/// A call to the store.
struct Call {
    path: String,

    body: Option<Vec<u8>>,
    timeout: Duration,
    size: ResponseSize,
}

impl Store {
    /// Creates a client of the store at `addr`.
    pub fn new(addr: net::SocketAddr, peers: Arc<Peers>) -> Self {
        Self {
            client: Client::default(),
            addr,
            peers,
            health: Health::default(),
            last_proxy: Mutex::default(),
            traffic: Traffic::default(),
        }
    }

    /// Counters of the calls to the store.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Appends all records or none.
    pub async fn append(
        &self,
        partition: Partition<'_>,
        records: &[Record],
    ) -> Result<AppendResponse, StoreFailure> {
        let call = Call::append(partition, records);
        Ok(store::decode_append_response(&self.call(call).await?)?)
    }

    /// Reads from `offset` to the end of the partition or of what fits into a response.
    pub async fn read(
        &self,
        partition: Partition<'_>,
        offset: u64,
        size: ResponseSize,
    ) -> Result<Read, StoreFailure> {
        match self.call(Call::read(partition, offset, size)).await {
            Ok(body) => Ok(Read::Batch(store::decode_batch(&body)?)),
            Err(StoreFailure::Refused(410)) => Ok(Read::Trimmed),
            Err(e) => Err(e),
        }
    }

    /// Returns the number of records that were appended to a partition so far.
    pub async fn end(&self, partition: Partition<'_>) -> Result<u64, StoreFailure> {
        let page = self.page(partition, Some(LAST_KEY), ResponseSize::Small);
        Ok(page.await?.end)
    }

    /// Returns a page of the newest record of each key behind the key `after`; an empty one if the
    /// topic does not exist yet.
    pub async fn page(
        &self,
        partition: Partition<'_>,
        after: Option<&str>,
        size: ResponseSize,
    ) -> Result<Page, StoreFailure> {
        match self.call(Call::newest(partition, after, size)).await {
            Ok(body) => Ok(store::decode_page(&body)?),
            Err(StoreFailure::Refused(404)) => Ok(Page::default()),
            Err(e) => Err(e),
        }
    }

    /// Makes a call directly, with one retry, or through peers during an outage; a call with a
    /// large response once and only directly.
    async fn call(&self, call: Call) -> Result<Vec<u8>, StoreFailure> {
        if call.size == ResponseSize::Large {
            return self.call_direct(&call).await;
        }
        let mut result = self.try_direct(&call).await;
        if let Err(failure) = &result
            && failure.is_outage()
            && self.unreachable_for().is_none()
        {
            if matches!(failure, StoreFailure::Refused(_)) {
                task::sleep(RESPONSE_VALID_FOR).await;
            }
            // Only one connection did not respond, or the store was overloaded.
            result = self.try_direct(&call).await;
        }
        match result {
            Err(failure) if failure.is_outage() && self.unreachable_for().is_some() => {
                self.call_through_peers(&call).await.unwrap_or(Err(failure))
            }
            result => result,
        }
    }

    /// Makes a call directly unless an outage is known.
    async fn try_direct(&self, call: &Call) -> Result<Vec<u8>, StoreFailure> {
        match self.unreachable_for() {
            None => self.call_direct(call).await,
            Some(_) => Err(StoreFailure::Unreachable),
        }
    }

    /// Probes during each outage whether the store responds again, until the process exits.
    pub async fn probe_during_outages(self: Arc<Self>) {
        loop {
            self.health.wait_for_outage().await;
            let store = Arc::clone(&self);
            // The next probe does not wait for one that gets no response.
            task::spawn(async move { store.probe().await });
            task::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Makes a call whose response has next to no content.
    async fn probe(&self) {
        let topic = store::keyed_topic(PROBED_TOPIC);
        let partition = Partition::new(&topic, 0);
        let call = Call::newest(partition, Some(LAST_KEY), ResponseSize::Small);
        // The response ends the outage, whatever it is.
        let _ = self.call_direct(&call).await;
    }

    /// Time since the start of the outage; `None` while the store responds to this daemon.
    pub fn unreachable_for(&self) -> Option<Duration> {
        self.health.unreachable_for()
    }

    /// Time since the start of an outage in which no daemon is known to reach the store.
    pub fn away_for(&self) -> Option<Duration> {
        self.health.away_for()
    }

    /// Waits until an outage ends.
    pub async fn wait_for_return(&self) {
        self.health.wait_for_return().await;
    }

    /// Whether the store responds, but so slowly that requests should not wait for it.
    pub fn is_slow(&self) -> bool {
        self.health.is_slow()
    }

    /// Makes a call for this daemon directly and records whether the store responds.
    async fn call_direct(&self, call: &Call) -> Result<Vec<u8>, StoreFailure> {
        self.call_directly(call, Via::Direct).await
    }

    /// Makes a call directly and records whether the store responds.
    async fn call_directly(&self, call: &Call, via: Via) -> Result<Vec<u8>, StoreFailure> {
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT.min(call.timeout),
            head: call.timeout,
            body: call.timeout,
        };
        let mut out = match &call.body {
            Some(body) => ClientRequest::post(self.addr, call.path.clone(), body.clone()),
            None => ClientRequest::new(Method::Get, self.addr, call.path.clone()),
        };
        // A connection that went dead while it was idle would look like a store that takes long.
        out.can_reuse_connection = call.size == ResponseSize::Small;
        let started = Instant::now();
        let mut body = Vec::new();
        let status = self.exchange(out.timeouts(timeouts), &mut body).await;
        let received = body.len();
        let result = status.and_then(|status| check_status(status, body));
        self.traffic.record(&call.path, via, received, &result);
        let is_small = call.size == ResponseSize::Small;
        if is_small {
            self.health.record_pace(started.elapsed(), result.is_ok());
        }
        match result.as_ref().err().filter(|e| e.is_outage()) {
            None => self.health.record_response(),
            Some(e) if self.health.has_responded_since(started) => {
                log::info!(path = call.path.as_str(), error = e.to_string().as_str(), received, ms = started.elapsed().as_millis() as u64; "call to the store failed while other calls succeed");
            }
            Some(e) => {
                log::info!(path = call.path.as_str(), error = e.to_string().as_str(), received, ms = started.elapsed().as_millis() as u64; "call to the store failed");
                if is_small && matches!(e, StoreFailure::NoResponse(_)) {
                    // Other pooled connections may be dead as well.
                    self.client.close_idle_connections(self.addr);
                }
                if is_small && call.timeout >= CALL_TIMEOUT {
                    self.health.record_outage(e);
                }
            }
        }
        result
    }

    /// Sends a request to the store, appends the body of the response to `body` and returns
    /// its status.
    async fn exchange(&self, out: ClientRequest, body: &mut Vec<u8>) -> Result<u16, StoreFailure> {
        let mut reply = self.client.send(out).await?;
        reply.read_to_end(body, RESPONSE_MAX_BYTES).await?;
        Ok(reply.status)
    }
}

impl Call {
    /// Call that appends records.
    fn append(partition: Partition<'_>, records: &[Record]) -> Self {
        Self {
            path: partition.append_path(),
            body: Some(store::encode_records(records)),
            timeout: CALL_TIMEOUT,
            size: ResponseSize::Small,
        }
    }

    /// Call that reads records from `offset` on.
    fn read(partition: Partition<'_>, offset: u64, size: ResponseSize) -> Self {
        Self {
            path: partition.read_path(offset, size.max_kib()),
            body: None,
            timeout: size.timeout(),
            size,
        }
    }

    /// Call that lists the newest record of each key behind the key `after`.
    fn newest(partition: Partition<'_>, after: Option<&str>, size: ResponseSize) -> Self {
        Self {
            path: partition.newest_path(after),
            body: None,
            timeout: size.timeout(),
            size,
        }
    }
}

impl ResponseSize {
    /// Timeout until the response begins, and for each further part of it.
    fn timeout(self) -> Duration {
        match self {
            Self::Small => CALL_TIMEOUT,
            Self::Large => LARGE_RESPONSE_TIMEOUT,
        }
    }

    /// Maximum size of the records that a read returns, in KiB, but for a single one.
    fn max_kib(self) -> u32 {
        match self {
            Self::Small => SMALL_READ_MAX_KIB,
            Self::Large => LARGE_READ_MAX_KIB,
        }
    }
}

impl StoreFailure {
    /// Whether the store is unreachable or too busy, rather than rejecting this one call.
    fn is_outage(&self) -> bool {
        match self {
            Self::Refused(status) => matches!(status, 429 | 503),
            Self::NoResponse(_) | Self::Unreachable => true,
            Self::Malformed(_) | Self::EndsEarly(_) => false,
        }
    }
}

/// Returns the body of a successful response.
fn check_status(status: u16, body: Vec<u8>) -> Result<Vec<u8>, StoreFailure> {
    match status {
        200 => Ok(body),
        status => Err(StoreFailure::Refused(status)),
    }
}
