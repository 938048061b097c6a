//! Clients for the platform's log service and its list of VMs.

use std::{future::Future, net, pin, time::Duration};

use http_types::Method;
use kingcupspan_core::id::{DomainId, Offset, VmId};
use serde::{Deserialize, Serialize};

use crate::edge::client::{Client, ClientRequest, SendError, Timeouts};

/// Maximum size of a response body, such as a page of records.
const RESPONSE_MAX_BYTES: usize = 256 << 20;

/// Timeout for responses of the platform, in addition to a requested long-poll wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A boxed future, for use in object-safe traits.
pub type BoxFuture<'a, T> = pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Error returned by the log service or the list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The request had no effect: it was not sent, or the service rejected it.
    #[error("the log rejected the request: {0}")]
    Refused(String),

    /// The service rejected an append because its rate limit was exceeded.
    #[error("the append rate limit of the log is exceeded")]
    RateLimited,

    /// The response was lost; an append may still take effect at any later time.
    #[error("the response of the log was lost: {0}")]
    Lost(String),

    /// The requested records have expired.
    #[error("records before {oldest} have expired")]
    Expired {
        /// Offset of the oldest record that is still stored.
        oldest: Offset,
    },
}

impl From<SendError> for LogError {
    fn from(e: SendError) -> Self {
        match e {
            SendError::NotSent(..) => Self::Refused(e.to_string()),
            SendError::Lost(..) | SendError::TimedOut(..) => Self::Lost(e.to_string()),
        }
    }
}

/// A record of a log stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Position of the record in the stream.
    pub offset: Offset,

    /// Content of the record.
    pub bytes: Vec<u8>,
}

/// Append-only log with named streams.
pub trait Log: Send + Sync {
    /// Appends a record and returns its offset; after [`LogError::Lost`] the append may still
    /// take effect.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        bytes: Vec<u8>,
    ) -> BoxFuture<'a, Result<Offset, LogError>>;

    /// Reads records starting at offset `from`, waiting up to `wait` for the first one.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Vec<LogRecord>, LogError>>;
}

/// State of a VM, as announced by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM stays available.
    Live,

    /// The VM will be removed.
    Leaving,
}

/// An entry in the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: VmId,

    /// Failure domain of the VM.
    pub failure_domain: DomainId,

    /// Address on which the VM's daemon listens for its peers.
    pub addr: net::SocketAddr,

    /// State of the VM.
    pub state: VmState,
}

/// Source of the platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Returns all VMs that are currently listed.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, LogError>>;
}

/// HTTP client for the log service.
pub struct HttpLog {
    /// HTTP client that sends the requests.
    pub client: Client,

    /// Address of the service.
    pub addr: net::SocketAddr,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

/// Body of a response with status 410.
#[derive(Deserialize)]
struct ExpiredResponse {
    oldest: Offset,
}

#[derive(Deserialize)]
struct ReadResponse {
    records: Vec<ReadRecord>,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: Offset,

    /// Content of the record in hexadecimal.
    data: String,
}

impl Log for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        bytes: Vec<u8>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        Box::pin(async move {
            let req = ClientRequest::post(self.addr, format!("/streams/{stream}/records"), bytes)
                .timeouts(Timeouts::all(RESPONSE_TIMEOUT));
            let res = self.client.send(req).await?;
            let status = res.status;
            let body = res.bytes(RESPONSE_MAX_BYTES).await?;
            match status {
                200 | 201 => {
                    let appended: AppendResponse = parse(&body)?;
                    Ok(appended.offset)
                }
                429 => Err(LogError::RateLimited),
                503 => Err(LogError::Refused("the service is unavailable".to_owned())),
                _ => Err(LogError::Lost(format!("status {status}"))),
            }
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Vec<LogRecord>, LogError>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let path = format!("/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
            let req = ClientRequest::new(Method::Get, self.addr, path).timeouts(Timeouts {
                connect: RESPONSE_TIMEOUT,
                head: wait + RESPONSE_TIMEOUT,
                body: RESPONSE_TIMEOUT,
            });
            let res = self.client.send(req).await?;
            let status = res.status;
            let body = res.bytes(RESPONSE_MAX_BYTES).await?;
            match status {
                200 => parse_records(&body),
                410 => {
                    let expired: ExpiredResponse = parse(&body)?;
                    Err(LogError::Expired {
                        oldest: expired.oldest,
                    })
                }
                _ => Err(LogError::Refused(format!("status {status}"))),
            }
        })
    }
}

/// Parses a page of records.
fn parse_records(body: &[u8]) -> Result<Vec<LogRecord>, LogError> {
    let parsed: ReadResponse = parse(body)?;
    let records = parsed.records.into_iter().map(|r| {
        let bytes = hex::decode(&r.data).map_err(|e| LogError::Lost(e.to_string()))?;
        Ok(LogRecord {
            offset: r.offset,
            bytes,
        })
    });
    records.collect()
}

/// Parses a JSON body; a malformed one counts as a lost response.
fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, LogError> {
    serde_json::from_slice(body).map_err(|e| LogError::Lost(e.to_string()))
}

/// HTTP client for the list of VMs.
pub struct HttpVmList {
    /// HTTP client that sends the requests.
    pub client: Client,

    /// Address of the service.
    pub addr: net::SocketAddr,
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, LogError>> {
        Box::pin(async move {
            let req = ClientRequest::new(Method::Get, self.addr, "/vms")
                .timeouts(Timeouts::all(RESPONSE_TIMEOUT));
            let res = self.client.send(req).await?;
            let status = res.status;
            let body = res.bytes(RESPONSE_MAX_BYTES).await?;
            match status {
                200 => parse(&body),
                _ => Err(LogError::Refused(format!("status {status}"))),
            }
        })
    }
}
