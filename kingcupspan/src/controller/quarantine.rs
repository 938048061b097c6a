//! Quarantine: strikes against requests that crash endpoints, fleet-wide.

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

/// The stream of strikes.
const STREAM: &str = "quarantine";

/// Path on which peers hear of strikes without the log.
pub const PATH: &str = "/peer/strike";

/// How long a read of the log waits for records.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// Pause after a failed request to the log.
const LOG_BACKOFF: Duration = Duration::from_millis(200);

/// How long telling a peer may take.
const PEER_PATIENCE: Duration = Duration::from_millis(500);

/// Appends of a strike that are tried.
const APPENDS_MAX: usize = 20;

/// Requests with strikes.
#[derive(Default)]
pub struct State {
    inner: parking_lot::Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    quarantine: Quarantine,
    next: Offset,
}

impl State {
    /// How a request stands.
    pub fn standing(&self, fingerprint: &Digest, now: WallMs) -> QuarantineStatus {
        self.inner.lock().quarantine.status(fingerprint, now)
    }

    /// Folds a record.
    pub fn apply(&self, record: &Record) {
        self.inner.lock().quarantine.apply(record);
    }

    /// The strikes for the dump.
    pub fn summary(&self) -> Quarantine {
        self.inner.lock().quarantine.clone()
    }
}

/// Notes a record here, with all peers, and on the log.
pub async fn publish(daemon: &Arc<Daemon>, record: Record) {
    daemon.quarantine.apply(&record);
    let peers = daemon.membership.peers(daemon.clock.mono());
    let told: Vec<_> = peers
        .into_iter()
        .map(|to| {
            let daemon = Arc::clone(daemon);
            let record = record.clone();
            task::spawn(async move {
                let tell = peer::send(&daemon.client, to.addr, PATH, &record, PEER_PATIENCE);
                let told: Result<(), _> = tell.await;
                told
            })
        })
        .collect();
    for peer in told {
        // A peer that does not hear of it now reads it from the log.
        let _ = peer.await;
    }
    task::spawn(append(Arc::clone(daemon), record));
}

async fn append(daemon: Arc<Daemon>, record: Record) {
    for _ in 0..APPENDS_MAX {
        daemon.pacer.acquire().await;
        daemon.metrics.log_appends.inc();
        match daemon.log.append(STREAM, peer::encode(&record)).await {
            Ok(_) => return,
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "strike not on the log yet");
                task::sleep(LOG_BACKOFF).await;
            }
        }
    }
}

/// Follows the stream.
pub async fn follow(daemon: Arc<Daemon>) {
    loop {
        let next = daemon.quarantine.inner.lock().next;
        match daemon.log.read(STREAM, next, READ_WAIT).await {
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
            Err(_) => task::sleep(LOG_BACKOFF).await,
        }
    }
}
