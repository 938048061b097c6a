//! The platform's log service and list of VMs.

use std::{future::Future, net, pin, time::Duration};

use http_types::Method;
use kingcupspan_core::id::{DomainId, Offset, VmId};
use serde::{Deserialize, Serialize};

use crate::edge::client::{Client, ClientRequest, SendError, Timeouts};

/// Largest page of records that is accepted, in bytes.
const RESPONSE_MAX_BYTES: usize = 256 << 20;

/// How long the platform may be silent beyond an asked wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A future at an edge of the process.
pub type BoxFuture<'a, T> = pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why the log did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// Nothing was sent, or the service said that it did nothing.
    #[error("the log refused: {0}")]
    Refused(String),

    /// More appends than the service takes.
    #[error("the log takes no more appends for now")]
    RateLimited,

    /// The answer is lost: an append may take effect at any later time.
    #[error("the log's answer is lost: {0}")]
    Lost(String),

    /// The asked records have expired.
    #[error("records before {oldest} have expired")]
    Expired {
        /// The oldest record that is kept.
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

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Its position.
    pub offset: Offset,

    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The append-only log.
pub trait Log: Send + Sync {
    /// Appends a record; on [`LogError::Lost`] it may still take effect.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        bytes: Vec<u8>,
    ) -> BoxFuture<'a, Result<Offset, LogError>>;

    /// Records from `from`, waiting up to `wait` for the first.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Vec<LogRecord>, LogError>>;
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It stays.
    Live,

    /// It will go.
    Leaving,
}

/// A VM as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: VmId,

    /// Its failure domain.
    pub failure_domain: DomainId,

    /// The address that its peers use.
    pub addr: net::SocketAddr,

    /// Whether it stays.
    pub state: VmState,
}

/// The platform's list of VMs.
pub trait VmList: Send + Sync {
    /// All VMs that are listed now.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>, LogError>>;
}

/// The log service over HTTP.
pub struct HttpLog {
    /// Sends the requests.
    pub client: Client,

    /// Where the service is.
    pub addr: net::SocketAddr,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

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
                503 => Err(LogError::Refused("req of service".to_owned())),
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

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, LogError> {
    serde_json::from_slice(body).map_err(|e| LogError::Lost(e.to_string()))
}

/// The list of VMs over HTTP.
pub struct HttpVmList {
    /// Sends the requests.
    pub client: Client,

    /// Where the service is.
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
