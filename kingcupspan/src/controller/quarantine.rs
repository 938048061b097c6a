//! Quarantine: records strikes against requests that crash endpoints and shares them with all
//! daemons.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_core::{
    digest::Digest,
    id::{Offset, WallMs},
    quarantine::{Quarantine, QuarantineStatus, Record},
};

use crate::{
    daemon::Daemon,
    edge::{peer, platform::LogError},
};

/// Name of the log stream of strikes.
const STREAM: &str = "quarantine";

/// Path on which a daemon receives strikes from its peers directly, without the log.
pub const PATH: &str = "/peer/strike";

/// How long a read of the log waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed request to the log is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Timeout of sending a record to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Attempts to append a record to the log before it is given up.
const APPEND_ATTEMPTS_MAX: usize = 20;

/// Strikes against requests, as this daemon knows them.
#[derive(Default)]
pub struct State {
    inner: parking_lot::Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    quarantine: Quarantine,

    /// Offset of the next record to read from the log.
    next: Offset,
}

impl State {
    /// Returns the quarantine status of a request.
    pub fn status(&self, fingerprint: &Digest, now: WallMs) -> QuarantineStatus {
        self.inner.lock().quarantine.status(fingerprint, now)
    }

    /// Applies a record.
    pub fn apply(&self, record: &Record) {
        self.inner.lock().quarantine.apply(record);
    }

    /// Returns the strikes for the state dump.
    pub fn summary(&self) -> Quarantine {
        self.inner.lock().quarantine.clone()
    }
}

/// Applies a record locally, sends it to all peers and appends it to the log in the background.
pub async fn publish(daemon: &Arc<Daemon>, record: Record) {
    daemon.quarantine.apply(&record);
    let peers = daemon.membership.peers(daemon.clock.mono());
    let requests: Vec<_> = peers
        .into_iter()
        .map(|to| {
            let daemon = Arc::clone(daemon);
            let record = record.clone();
            task::spawn(async move {
                let request = peer::send(&daemon.client, to.addr, PATH, &record, PEER_TIMEOUT);
                let result: Result<(), _> = request.await;
                result
            })
        })
        .collect();
    for request in requests {
        // A peer that does not receive the record now reads it from the log later.
        let _ = request.await;
    }
    task::spawn(append(Arc::clone(daemon), record));
}

/// Appends a record to the log, with retries.
async fn append(daemon: Arc<Daemon>, record: Record) {
    for _ in 0..APPEND_ATTEMPTS_MAX {
        daemon.pacer.acquire().await;
        daemon.metrics.log_appends.inc();
        match daemon.log.append(STREAM, peer::encode(&record)).await {
            Ok(_) => return,
            Err(e) => {
                log::warn!(error = e.to_string().as_str();
                    "cannot append a strike to the log; retrying");
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies the records of the stream as they are appended.
pub async fn follow(daemon: Arc<Daemon>) {
    loop {
        let next = daemon.quarantine.inner.lock().next;
        match daemon.log.read(STREAM, next, LONG_POLL_TIMEOUT).await {
            Ok(records) => {
                let mut inner = daemon.quarantine.inner.lock();
                for stored in records {
                    inner.next = stored.offset.next();
                    if let Ok(record) = rmp_serde::from_slice(&stored.bytes) {
                        inner.quarantine.apply(&record);
                    }
                }
                inner.quarantine.expire(daemon.clock.wall());
            }
            Err(LogError::Expired { oldest }) => daemon.quarantine.inner.lock().next = oldest,
            Err(_) => task::sleep(RETRY_DELAY).await,
        }
    }
}
