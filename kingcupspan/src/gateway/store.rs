//! Calls to the platform's store.

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

/// How long a call may take; a slow store answers within a quarter of a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a call for a peer may take: less than the peer waits for it.
const HELP_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a connection to the store may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an answer shows that the store is there when it refuses another call:
/// it refuses what exceeds its rate or the queue of one partition.
const ANSWERS_COUNT_FOR: Duration = Duration::from_millis(100);

/// Pause between calls that look whether the store answers again.
const TRY_PAUSE: Duration = Duration::from_millis(400);

/// Peers that are asked to make a call.
const HELPERS: usize = 2;

/// Largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreFailure {
    /// The store said that nothing was done.
    #[error("the store refused with status {0}")]
    Refused(u16),

    /// There was no answer: the call may still be carried out.
    #[error("no answer of the store: {0}")]
    NoResponse(#[from] SendError),

    /// The store did not answer this daemon lately.
    #[error("the store does not answer")]
    Unreachable,

    /// The answer cannot be read.
    #[error(transparent)]
    Malformed(#[from] StoreError),
}

/// What a read found.
#[derive(Debug)]
pub enum Read {
    /// Records from the offset on.
    Batch(Batch),

    /// The records were deleted; the newest ones must be listed instead.
    Trimmed,
}

/// Newest record of each key, and where reading goes on.
#[derive(Debug, Default)]
pub struct Newest {
    /// The records.
    pub records: Vec<Record>,

    /// Offset from which nothing was missed.
    pub end: u64,
}

/// A client of the store. A daemon that does not reach the store asks peers to
/// make its calls; all calls may be made twice without harm.
pub struct Store {
    client: Client,
    addr: net::SocketAddr,
    peers: Arc<Peers>,
    away: Mutex<Option<Away>>,
    answered: Mutex<Option<Instant>>,
}

/// Set while the store does not answer this daemon.
struct Away {
    since: Instant,
    last_try: Instant,
}

/// A call to the store.
struct Call {
    path: String,

    /// Path for a peer that makes the call: it does not wait for records.
    path_for_peer: Option<String>,

    body: Option<Vec<u8>>,
    timeout: Duration,
}

impl Store {
    /// A client of the store at `addr`.
    pub fn new(addr: net::SocketAddr, peers: Arc<Peers>) -> Self {
        Self {
            client: Client::default(),
            addr,
            peers,
            away: Mutex::default(),
            answered: Mutex::default(),
        }
    }

    /// Appends records, all or none.
    pub async fn append(
        &self,
        partition: Partition<'_>,
        records: &[Record],
    ) -> Result<AppendResponse, StoreFailure> {
        let call = Call {
            path: partition.append_path(),
            path_for_peer: None,
            body: Some(store::encode_records(records)),
            timeout: CALL_TIMEOUT,
        };
        Ok(store::decode_append_response(&self.call(call).await?)?)
    }

    /// Reads from `offset`, waiting up to `wait` for a record.
    pub async fn read(
        &self,
        partition: Partition<'_>,
        offset: u64,
        wait: Duration,
    ) -> Result<Read, StoreFailure> {
        let call = Call {
            path: partition.read_path(offset, wait.as_millis() as u64),
            path_for_peer: Some(partition.read_path(offset, 0)),
            body: None,
            timeout: CALL_TIMEOUT + wait,
        };
        let batch = match self.call(call).await {
            Ok(body) => store::decode_batch(&body)?,
            Err(StoreFailure::Refused(410)) => return Ok(Read::Trimmed),
            Err(e) => return Err(e),
        };
        if batch.records.is_empty() && self.unreachable_for().is_some() {
            // A peer has read, which does not wait.
            task::sleep(wait).await;
        }
        Ok(Read::Batch(batch))
    }

    /// Lists the newest record of each key; empty if the topic does not exist yet.
    pub async fn newest(&self, partition: Partition<'_>) -> Result<Newest, StoreFailure> {
        let mut newest = Newest::default();
        let mut is_first = true;
        loop {
            let after = newest.records.last().map(|r| r.key.as_str());
            let call = Call {
                path: partition.newest_path(after),
                path_for_peer: None,
                body: None,
                timeout: CALL_TIMEOUT,
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
            if !page.has_more {
                return Ok(newest);
            }
        }
    }

    async fn call(&self, call: Call) -> Result<Vec<u8>, StoreFailure> {
        let mut answer = self.try_direct(&call).await;
        if let Err(failure) = &answer
            && failure.is_outage()
            && self.unreachable_for().is_none()
        {
            if matches!(failure, StoreFailure::Refused(_)) {
                task::sleep(ANSWERS_COUNT_FOR).await;
            }
            // Only the connection was silent, or the store had too much to do.
            answer = self.try_direct(&call).await;
        }
        match answer {
            Err(failure) if failure.is_outage() && self.unreachable_for().is_some() => {
                self.through_peers(&call).await.unwrap_or(Err(failure))
            }
            answer => answer,
        }
    }

    async fn try_direct(&self, call: &Call) -> Result<Vec<u8>, StoreFailure> {
        match self.may_try() {
            true => self.direct(call).await,
            false => Err(StoreFailure::Unreachable),
        }
    }

    /// Has a peer make a call; none if no peer reaches the store.
    async fn through_peers(&self, call: &Call) -> Option<Result<Vec<u8>, StoreFailure>> {
        for peer in self.peers.sample(HELPERS, |_| true) {
            let ask = PeerRequest::Call {
                path: call.path_for_peer.as_ref().unwrap_or(&call.path).clone(),
                body: call.body.clone(),
            };
            if let Ok(PeerResponse::Called(Some((status, body)))) =
                self.peers.send(&peer, &ask).await
            {
                return Some(checked(status, body));
            }
        }
        None
    }

    /// Makes a call for a peer; none if the store is not reached from here either.
    pub async fn proxy_call(&self, path: String, body: Option<Vec<u8>>) -> Option<(u16, Vec<u8>)> {
        if !self.may_try() {
            return None;
        }
        let call = Call {
            path,
            path_for_peer: None,
            body,
            timeout: HELP_TIMEOUT,
        };
        match self.direct(&call).await {
            Ok(body) => Some((200, body)),
            Err(StoreFailure::Refused(status)) => Some((status, Vec::new())),
            Err(_) => None,
        }
    }

    /// How long the store has not answered this daemon.
    pub fn unreachable_for(&self) -> Option<Duration> {
        self.away.lock().as_ref().map(|a| a.since.elapsed())
    }

    /// Whether the store is asked directly: always while it answers, else now and then.
    fn may_try(&self) -> bool {
        let mut away = self.away.lock();
        match &mut *away {
            None => true,
            Some(a) if a.last_try.elapsed() < TRY_PAUSE => false,
            Some(a) => {
                a.last_try = Instant::now();
                true
            }
        }
    }

    async fn direct(&self, call: &Call) -> Result<Vec<u8>, StoreFailure> {
        let patience = Timeouts {
            connect: CONNECT_TIMEOUT.min(call.timeout),
            head: call.timeout,
            body: call.timeout,
        };
        let out = match &call.body {
            Some(body) => ClientRequest::post(self.addr, call.path.clone(), body.clone()),
            None => ClientRequest::new(Method::Get, self.addr, call.path.clone()),
        };
        let begun = Instant::now();
        let result = self.exchange(out.timeouts(patience)).await;
        match result.as_ref().err().filter(|e| e.is_outage()) {
            None => self.note_answer(),
            Some(e) if self.has_answered_since(begun) => {
                log::info!(path = call.path.as_str(), error = e.to_string().as_str(); "one call to the store failed");
            }
            Some(e) => {
                if matches!(e, StoreFailure::NoResponse(_)) {
                    // Other kept connections may be as dead as this one.
                    self.client.close_idle_connections(self.addr);
                }
                if call.timeout >= CALL_TIMEOUT {
                    self.note_outage(e);
                }
            }
        }
        result
    }

    /// Whether another call was answered after `begun`, or just before.
    fn has_answered_since(&self, begun: Instant) -> bool {
        let answered = *self.answered.lock();
        answered.is_some_and(|at| at + ANSWERS_COUNT_FOR > begun)
    }

    fn note_answer(&self) {
        *self.answered.lock() = Some(Instant::now());
        if self.away.lock().take().is_some() {
            log::info!("store regained");
        }
    }

    fn note_outage(&self, e: &StoreFailure) {
        let mut away = self.away.lock();
        if away.is_none() {
            log::warn!(error = e.to_string().as_str(); "store lost");
            *away = Some(Away {
                since: Instant::now(),
                last_try: Instant::now(),
            });
        }
    }

    async fn exchange(&self, out: ClientRequest) -> Result<Vec<u8>, StoreFailure> {
        let reply = self.client.send(out).await?;
        let status = reply.status;
        let body = reply.bytes(ANSWER_MAX_BYTES).await?;
        checked(status, body)
    }
}

impl StoreFailure {
    /// Whether the store could not be used at all.
    fn is_outage(&self) -> bool {
        match self {
            Self::Refused(status) => matches!(status, 429 | 503),
            Self::NoResponse(_) | Self::Unreachable => true,
            Self::Malformed(_) => false,
        }
    }
}

fn checked(status: u16, body: Vec<u8>) -> Result<Vec<u8>, StoreFailure> {
    match status {
        200 => Ok(body),
        status => Err(StoreFailure::Refused(status)),
    }
}
