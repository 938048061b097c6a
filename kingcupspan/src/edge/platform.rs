//! The platform's log service and list of VMs.

use std::{future::Future, net, pin, time::Duration};

use http_types::Method;
use kingcupspan_core::id::{DomainId, Offset, VmId};
use serde::{Deserialize, Serialize};

use crate::edge::client::{Client, Outgoing, Patience, SendError};

/// Largest page of records that is accepted, in bytes.
const PAGE_MAX_BYTES: usize = 256 << 20;

/// How long the platform may be silent beyond an asked wait.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// A future at an edge of the process.
pub type Pending<'a, T> = pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why the log did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// Nothing was sent, or the service said that it did nothing.
    #[error("the log refused: {0}")]
    Refused(String),

    /// More appends than the service takes.
    #[error("the log takes no more appends for now")]
    Limited,

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
            SendError::Lost(..) | SendError::Silent(..) => Self::Lost(e.to_string()),
        }
    }
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
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
    ) -> Pending<'a, Result<Offset, LogError>>;

    /// Records from `from`, waiting up to `wait` for the first.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> Pending<'a, Result<Vec<Stored>, LogError>>;
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
    fn list(&self) -> Pending<'_, Result<Vec<Vm>, LogError>>;
}

/// The log service over HTTP.
pub struct HttpLog {
    /// Sends the requests.
    pub client: Client,

    /// Where the service is.
    pub addr: net::SocketAddr,
}

#[derive(Deserialize)]
struct AppendReply {
    offset: Offset,
}

#[derive(Deserialize)]
struct ExpiredReply {
    oldest: Offset,
}

#[derive(Deserialize)]
struct ReadReply {
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
    ) -> Pending<'a, Result<Offset, LogError>> {
        Box::pin(async move {
            let out = Outgoing::post(self.addr, format!("/streams/{stream}/records"), bytes)
                .patience(Patience::all(PATIENCE));
            let reply = self.client.send(out).await?;
            let status = reply.status;
            let body = reply.bytes(PAGE_MAX_BYTES).await?;
            match status {
                200 | 201 => {
                    let reply: AppendReply = parse(&body)?;
                    Ok(reply.offset)
                }
                429 => Err(LogError::Limited),
                503 => Err(LogError::Refused("out of service".to_owned())),
                _ => Err(LogError::Lost(format!("status {status}"))),
            }
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> Pending<'a, Result<Vec<Stored>, LogError>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let path = format!("/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
            let out = Outgoing::new(Method::Get, self.addr, path).patience(Patience {
                connect: PATIENCE,
                head: wait + PATIENCE,
                body: PATIENCE,
            });
            let reply = self.client.send(out).await?;
            let status = reply.status;
            let body = reply.bytes(PAGE_MAX_BYTES).await?;
            match status {
                200 => read_page(&body),
                410 => {
                    let reply: ExpiredReply = parse(&body)?;
                    Err(LogError::Expired {
                        oldest: reply.oldest,
                    })
                }
                _ => Err(LogError::Refused(format!("status {status}"))),
            }
        })
    }
}

fn read_page(body: &[u8]) -> Result<Vec<Stored>, LogError> {
    let page: ReadReply = parse(body)?;
    let stored = page.records.into_iter().map(|r| {
        let bytes = hex::decode(&r.data).map_err(|e| LogError::Lost(e.to_string()))?;
        Ok(Stored {
            offset: r.offset,
            bytes,
        })
    });
    stored.collect()
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
    fn list(&self) -> Pending<'_, Result<Vec<Vm>, LogError>> {
        Box::pin(async move {
            let out =
                Outgoing::new(Method::Get, self.addr, "/vms").patience(Patience::all(PATIENCE));
            let reply = self.client.send(out).await?;
            let status = reply.status;
            let body = reply.bytes(PAGE_MAX_BYTES).await?;
            match status {
                200 => parse(&body),
                _ => Err(LogError::Refused(format!("status {status}"))),
            }
        })
    }
}
