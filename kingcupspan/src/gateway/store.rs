//! Client of the platform's store.

use std::{
    net,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use http_types::Method;
use kingcupspan_platform::store::{self, AppendResponse, Batch, Partition, Record, StoreError};
use parking_lot::Mutex;

use crate::{
    edge::client::{Client, ClientRequest, SendError, Timeouts},
    gateway::peers::{PeerRequest, PeerResponse, Peers},
};

/// Timeout of a call; a slow store responds within 250 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a call made for a peer, shorter than the timeout of the peer's request.
const PROXY_CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a response shows that the store is available although it rejects
/// another call: it rejects calls that exceed its rate limit or the queue of one
/// partition.
const RESPONSE_VALID_FOR: Duration = Duration::from_millis(100);

/// Response time from which on the store counts as slow; it normally responds within a
/// few milliseconds, and a turn waits for several calls one after another.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(150);

/// Time for which the pace of a response tells how the store responds now.
const PACE_VALID_FOR: Duration = Duration::from_millis(1_000);

/// Pause between direct calls that probe whether the store responds again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of peers that are asked to proxy a call.
const PROXY_PEERS_MAX: usize = 2;

/// Maximum size of a response, in bytes.
const RESPONSE_MAX_BYTES: usize = 8 * 1024 * 1024;

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

    /// No call was made because the store responds too slowly.
    #[error("store is slow")]
    Slow,

    /// The response cannot be decoded.
    #[error(transparent)]
    Malformed(#[from] StoreError),
}

/// Result of a read.
#[derive(Debug)]
pub enum Read {
    /// Records starting at the requested offset.
    Batch(Batch),

    /// The records were deleted; the newest record of each key has to be listed instead.
    Trimmed,
}

/// Newest record of each key, and the offset at which to continue reading.
#[derive(Debug, Default)]
pub struct Newest {
    /// The newest record of each key.
    pub records: Vec<Record>,

    /// Offset from which a read returns every record that is newer than the list.
    pub end: u64,
}

/// Client of the store.
///
/// A daemon that cannot reach the store has peers proxy its calls. All calls are
/// idempotent.
pub struct Store {
    client: Client,
    addr: net::SocketAddr,
    peers: Arc<Peers>,
    outage: Mutex<Option<Outage>>,
    last_response: Mutex<Option<Instant>>,

    /// How fast the store responded to calls that do not wait for records.
    pace: Mutex<Pace>,
}

/// Times at which calls ended, by how long they took.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    /// Last response within [`SLOW_RESPONSE_TIME`].
    last_fast: Option<Instant>,

    /// Last call that took longer.
    last_slow: Option<Instant>,
}

/// Whether a call ended within [`PACE_VALID_FOR`].
fn is_current(at: Option<Instant>) -> bool {
    at.is_some_and(|at| at.elapsed() < PACE_VALID_FOR)
}

/// Period in which the store does not respond to this daemon.
struct Outage {
    since: Instant,
    last_probe: Instant,
}

/// A call to the store.
struct Call {
    path: String,

    /// Path to use when a peer makes the call, if different: a read by a peer does not
    /// wait for new records.
    proxy_path: Option<String>,

    body: Option<Vec<u8>>,
    timeout: Duration,

    /// Whether the store may wait for new records before it responds.
    waits_for_records: bool,
}

impl Store {
    /// Creates a client of the store at `addr`.
    pub fn new(addr: net::SocketAddr, peers: Arc<Peers>) -> Self {
        Self {
            client: Client::default(),
            addr,
            peers,
            outage: Mutex::default(),
            last_response: Mutex::default(),
            pace: Mutex::default(),
        }
    }

    /// Appends all records or none.
    pub async fn append(
        &self,
        partition: Partition<'_>,
        records: &[Record],
    ) -> Result<AppendResponse, StoreFailure> {
        let call = Call {
            path: partition.append_path(),
            proxy_path: None,
            body: Some(store::encode_records(records)),
            timeout: CALL_TIMEOUT,
            waits_for_records: false,
        };
        Ok(store::decode_append_response(&self.call(call).await?)?)
    }

    /// Reads from `offset`, waiting up to `wait` for a record to be appended.
    pub async fn read(
        &self,
        partition: Partition<'_>,
        offset: u64,
        wait: Duration,
    ) -> Result<Read, StoreFailure> {
        let call = Call {
            path: partition.read_path(offset, wait.as_millis() as u64),
            proxy_path: Some(partition.read_path(offset, 0)),
            body: None,
            timeout: CALL_TIMEOUT + wait,
            waits_for_records: !wait.is_zero(),
        };
        let batch = match self.call(call).await {
            Ok(body) => store::decode_batch(&body)?,
            Err(StoreFailure::Refused(410)) => return Ok(Read::Trimmed),
            Err(e) => return Err(e),
        };
        if batch.records.is_empty() && self.unreachable_for().is_some() {
            // A peer made the call, without waiting for records.
            task::sleep(wait).await;
        }
        Ok(Read::Batch(batch))
    }

    /// Lists the newest record of each key; empty if the topic does not exist yet.
    pub async fn newest(&self, partition: Partition<'_>) -> Result<Newest, StoreFailure> {
        let mut newest = Newest::default();
        let mut is_first = true;
        let mut last_key: Option<String> = None;
        loop {
            let call = Call {
                path: partition.newest_path(last_key.as_deref()),
                proxy_path: None,
                body: None,
                timeout: CALL_TIMEOUT,
                waits_for_records: false,
            };
            let body = match self.call(call).await {
                Err(StoreFailure::Refused(404)) => return Ok(newest),
                body => body?,
            };
            let page = store::decode_page(&body)?;
            if is_first {
                newest.end = page.end;
            }
            is_first = false;
            newest.records.extend(page.records);
            // Without a key to continue behind, the first page would be returned again.
            last_key = page.last_key;
            if !page.has_more || last_key.is_none() {
                return Ok(newest);
            }
        }
    }

    /// Makes a call directly, with one retry, or through peers during an outage.
    async fn call(&self, call: Call) -> Result<Vec<u8>, StoreFailure> {
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

    /// Makes a call directly unless an outage is known and no probe is due.
    async fn try_direct(&self, call: &Call) -> Result<Vec<u8>, StoreFailure> {
        match self.should_try_direct() {
            true => self.call_direct(call).await,
            false => Err(StoreFailure::Unreachable),
        }
    }

    /// Has a peer make a call; `None` if none of the peers reaches the store.
    async fn call_through_peers(&self, call: &Call) -> Option<Result<Vec<u8>, StoreFailure>> {
        for peer in self.peers.sample(PROXY_PEERS_MAX, |_| true) {
            let request = PeerRequest::Call {
                path: call.proxy_path.as_ref().unwrap_or(&call.path).clone(),
                body: call.body.clone(),
            };
            if let Ok(PeerResponse::Called(Some((status, body)))) =
                self.peers.send(&peer, &request).await
            {
                return Some(check_status(status, body));
            }
        }
        None
    }

    /// Makes a call for a peer; `None` if this daemon cannot reach the store either.
    pub async fn proxy_call(&self, path: String, body: Option<Vec<u8>>) -> Option<(u16, Vec<u8>)> {
        if !self.should_try_direct() {
            return None;
        }
        let call = Call {
            path,
            proxy_path: None,
            body,
            timeout: PROXY_CALL_TIMEOUT,
            waits_for_records: false,
        };
        match self.call_direct(&call).await {
            Ok(body) => Some((200, body)),
            Err(StoreFailure::Refused(status)) => Some((status, Vec::new())),
            Err(_) => None,
        }
    }

    /// Time since the start of the outage; `None` while the store responds to this daemon.
    pub fn unreachable_for(&self) -> Option<Duration> {
        self.outage.lock().as_ref().map(|o| o.since.elapsed())
    }

    /// Whether to call the store directly: always while it responds, once per
    /// [`PROBE_INTERVAL`] during an outage.
    fn should_try_direct(&self) -> bool {
        let mut outage = self.outage.lock();
        match &mut *outage {
            None => true,
            Some(o) if o.last_probe.elapsed() < PROBE_INTERVAL => false,
            Some(o) => {
                o.last_probe = Instant::now();
                true
            }
        }
    }

    /// Makes a call directly and records whether the store responds.
    async fn call_direct(&self, call: &Call) -> Result<Vec<u8>, StoreFailure> {
        let timeouts = Timeouts {
            connect: CONNECT_TIMEOUT.min(call.timeout),
            head: call.timeout,
            body: call.timeout,
        };
        let out = match &call.body {
            Some(body) => ClientRequest::post(self.addr, call.path.clone(), body.clone()),
            None => ClientRequest::new(Method::Get, self.addr, call.path.clone()),
        };
        let started = Instant::now();
        let result = self.exchange(out.timeouts(timeouts)).await;
        if !call.waits_for_records {
            self.record_pace(started.elapsed(), result.is_ok());
        }
        match result.as_ref().err().filter(|e| e.is_outage()) {
            None => self.record_response(),
            Some(e) if self.has_responded_since(started) => {
                log::info!(path = call.path.as_str(), error = e.to_string().as_str(); "call to the store failed while other calls succeed");
            }
            Some(e) => {
                if matches!(e, StoreFailure::NoResponse(_)) {
                    // Other pooled connections may be dead as well.
                    self.client.close_idle_connections(self.addr);
                }
                if call.timeout >= CALL_TIMEOUT {
                    self.record_outage(e);
                }
            }
        }
        result
    }

    /// Whether another call got a response after `started` or up to
    /// [`RESPONSE_VALID_FOR`] before.
    fn has_responded_since(&self, started: Instant) -> bool {
        let last_response = *self.last_response.lock();
        last_response.is_some_and(|at| at + RESPONSE_VALID_FOR > started)
    }

    /// Records how long a call took, which tells nothing if it failed at once.
    fn record_pace(&self, elapsed: Duration, is_ok: bool) {
        let mut pace = self.pace.lock();
        match (elapsed < SLOW_RESPONSE_TIME, is_ok) {
            (true, true) => pace.last_fast = Some(Instant::now()),
            (true, false) => {}
            (false, _) => pace.last_slow = Some(Instant::now()),
        }
    }

    /// Whether the store responds, but so slowly that requests should not wait for it: all
    /// its recent responses were slow. Under load a single partition may have a queue.
    pub fn is_slow(&self) -> bool {
        let pace = *self.pace.lock();
        is_current(pace.last_slow) && !is_current(pace.last_fast)
    }

    /// Whether the store has responded to this daemon lately, without delay.
    pub fn is_responsive(&self) -> bool {
        self.unreachable_for().is_none() && is_current(self.pace.lock().last_fast)
    }

    /// Records a response, which ends an outage.
    fn record_response(&self) {
        *self.last_response.lock() = Some(Instant::now());
        if self.outage.lock().take().is_some() {
            log::info!("store is reachable again");
        }
    }

    /// Records the start of an outage unless there is one already.
    fn record_outage(&self, e: &StoreFailure) {
        let mut outage = self.outage.lock();
        if outage.is_none() {
            log::warn!(error = e.to_string().as_str(); "store is unreachable; calling it through peers");
            *outage = Some(Outage {
                since: Instant::now(),
                last_probe: Instant::now(),
            });
        }
    }

    /// Sends a request to the store and reads the response.
    async fn exchange(&self, out: ClientRequest) -> Result<Vec<u8>, StoreFailure> {
        let reply = self.client.send(out).await?;
        let status = reply.status;
        let body = reply.bytes(RESPONSE_MAX_BYTES).await?;
        check_status(status, body)
    }
}

impl StoreFailure {
    /// Whether the store is unreachable or too busy, rather than rejecting this one call.
    fn is_outage(&self) -> bool {
        match self {
            Self::Refused(status) => matches!(status, 429 | 503),
            Self::NoResponse(_) | Self::Unreachable => true,
            Self::Slow | Self::Malformed(_) => false,
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
