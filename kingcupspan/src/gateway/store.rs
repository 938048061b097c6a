//! Calls to the platform's store.

use std::{net, time::Duration};

use http_types::Method;
use kingcupspan_platform::store::{self, Appended, Batch, Partition, Record, StoreError};

use crate::edge::client::{Client, Outgoing, Patience, SendError};

/// How long a call may take; a slow store answers within a quarter of a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a connection to the store may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreFailure {
    /// The store said that nothing was done.
    #[error("the store refused with status {0}")]
    Refused(u16),

    /// There was no answer: the call may still be carried out.
    #[error("no answer of the store: {0}")]
    NoAnswer(#[from] SendError),

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

/// A client of the store.
pub struct Store {
    client: Client,
    addr: net::SocketAddr,
}

impl Store {
    /// A client of the store at `addr`.
    pub fn new(addr: net::SocketAddr) -> Self {
        Self {
            client: Client::default(),
            addr,
        }
    }

    /// Appends records, all or none.
    pub async fn append(
        &self,
        partition: Partition<'_>,
        records: &[Record],
    ) -> Result<Appended, StoreFailure> {
        let body = store::encode_records(records);
        let out = Outgoing::post(self.addr, partition.append_path(), body);
        let body = self.call(out, CALL_TIMEOUT).await?;
        Ok(store::decode_appended(&body)?)
    }

    /// Reads from `offset`, waiting up to `wait` for a record.
    pub async fn read(
        &self,
        partition: Partition<'_>,
        offset: u64,
        wait: Duration,
    ) -> Result<Read, StoreFailure> {
        let path = partition.read_path(offset, wait.as_millis() as u64);
        let out = Outgoing::new(Method::Get, self.addr, path);
        match self.call(out, CALL_TIMEOUT + wait).await {
            Ok(body) => Ok(Read::Batch(store::decode_batch(&body)?)),
            Err(StoreFailure::Refused(410)) => Ok(Read::Trimmed),
            Err(e) => Err(e),
        }
    }

    /// Lists the newest record of each key; empty if the topic does not exist yet.
    pub async fn newest(&self, partition: Partition<'_>) -> Result<Newest, StoreFailure> {
        let mut newest = Newest::default();
        let mut is_first = true;
        loop {
            let after = newest.records.last().map(|r| r.key.as_str());
            let out = Outgoing::new(Method::Get, self.addr, partition.newest_path(after));
            let body = match self.call(out, CALL_TIMEOUT).await {
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

    async fn call(&self, out: Outgoing, timeout: Duration) -> Result<Vec<u8>, StoreFailure> {
        let patience = Patience {
            connect: CONNECT_TIMEOUT,
            head: timeout,
            body: timeout,
        };
        let result = self.exchange(out.patience(patience)).await;
        if matches!(result, Err(StoreFailure::NoAnswer(_))) {
            // Other kept connections may be as dead as this one.
            self.client.forget(self.addr);
        }
        result
    }

    async fn exchange(&self, out: Outgoing) -> Result<Vec<u8>, StoreFailure> {
        let reply = self.client.send(out).await?;
        let status = reply.status;
        let body = reply.bytes(ANSWER_MAX_BYTES).await?;
        match status {
            200 => Ok(body),
            status => Err(StoreFailure::Refused(status)),
        }
    }
}
