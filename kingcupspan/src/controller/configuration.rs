//! Configuration: reads its log stream and activates the newest version.

use std::{sync::Arc, time::Duration};

use async_std::task;
use event_listener::Event;
use kingcupspan_config::{configuration::Configuration, finding::Findings};
use kingcupspan_core::{
    document::{ApplyOutcome, Change, CurrentDocument, Record},
    id::{Offset, Version},
    rendezvous,
};
use serde::Serialize;
use serde_json::Value;

use crate::{
    daemon::Daemon,
    edge::{
        peer,
        platform::{LogError, LogRecord},
    },
};

/// Name of the configuration's log stream.
pub const STREAM: &str = "configuration";

/// How long a read of the log waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed request to the log is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval between checks whether a peer has a newer configuration.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of fetching the configuration of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of snapshots written within the retention period of the log.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// The active version of the configuration, as a document and in its parsed form.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfiguration {
    /// The version and its JSON document.
    pub current: Arc<CurrentDocument>,

    /// The parsed and validated document.
    pub configuration: Arc<Configuration>,
}

/// The active configuration and the read position in its stream.
#[derive(Default)]
pub struct State {
    inner: parking_lot::RwLock<Inner>,
    changed: Event,
}

#[derive(Default)]
struct Inner {
    active: ActiveConfiguration,

    /// Offset of the next record to read from the log.
    next: Offset,
    skipped: u64,
    last_skipped: Option<String>,
}

/// State of the configuration for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// The active version.
    pub version: Version,

    /// Offset of the last applied record.
    pub upto: Option<Offset>,

    /// Number of records skipped since the process started.
    pub skipped: u64,

    /// Offset of the last skipped record and the reason for skipping it.
    pub last_skipped: Option<String>,

    /// The parsed and validated document.
    pub configuration: Arc<Configuration>,
}

/// Applies a change to a JSON document and validates the result.
pub fn apply_change(document: &str, change: &Change) -> Result<String, String> {
    let value = match change {
        Change::Whole(text) => serde_json::from_str(text).map_err(|e| e.to_string())?,
        Change::Patch(text) => {
            let patch: json_patch::Patch = serde_json::from_str(text).map_err(|e| e.to_string())?;
            let mut value: Value = match document.is_empty() {
                true => Value::Object(serde_json::Map::new()),
                false => serde_json::from_str(document).map_err(|e| e.to_string())?,
            };
            json_patch::patch(&mut value, &patch).map_err(|e| e.to_string())?;
            value
        }
    };
    validate(&value).map_err(|findings| findings.to_string())?;
    Ok(value.to_string())
}

/// Parses and validates a document.
fn validate(value: &Value) -> Result<Configuration, Findings> {
    Configuration::try_from(value)
}

impl State {
    /// Returns the active configuration.
    pub fn get(&self) -> ActiveConfiguration {
        self.inner.read().active.clone()
    }

    /// Returns the offset of the last applied record.
    pub fn upto(&self) -> Option<Offset> {
        self.inner.read().active.current.upto
    }

    /// Returns the state of the configuration for the state dump.
    pub fn summary(&self) -> Summary {
        let inner = self.inner.read();
        Summary {
            version: inner.active.current.version,
            upto: inner.active.current.upto,
            skipped: inner.skipped,
            last_skipped: inner.last_skipped.clone(),
            configuration: Arc::clone(&inner.active.configuration),
        }
    }

    /// Applies a record of the stream; does nothing if its offset has been read before.
    fn apply(&self, stored: &LogRecord) {
        let mut inner = self.inner.write();
        if stored.offset < inner.next {
            return;
        }
        inner.next = stored.offset.next();
        let record: Record = match rmp_serde::from_slice(&stored.bytes) {
            Ok(record) => record,
            Err(e) => return inner.record_skipped(stored.offset, e.to_string()),
        };
        let mut next = CurrentDocument::clone(&inner.active.current);
        match next.apply(stored.offset, &record, apply_change) {
            ApplyOutcome::Accepted(version) => {
                log::info!(version = version.0, offset = stored.offset.0;
                    "configuration activated");
                inner.activate(next);
            }
            ApplyOutcome::VersionMismatch { in_force } => {
                inner.active.current = Arc::new(next);
                inner.record_skipped(stored.offset, format!("version {in_force} was in force"));
            }
            ApplyOutcome::Invalid(reason) => {
                inner.active.current = Arc::new(next);
                inner.record_skipped(stored.offset, reason);
            }
            ApplyOutcome::Unchanged => inner.activate(next),
        }
        drop(inner);
        self.changed.notify(usize::MAX);
    }

    /// Applies all retained records of a stream whose oldest records have expired.
    fn bootstrap(&self, records: &[LogRecord]) {
        let decoded: Vec<(Offset, Record)> = records
            .iter()
            .filter_map(|s| Some((s.offset, rmp_serde::from_slice(&s.bytes).ok()?)))
            .collect();
        let found = CurrentDocument::bootstrap(&decoded, apply_change);
        let mut inner = self.inner.write();
        if let Some(last) = records.last() {
            inner.next = inner.next.max(last.offset.next());
        }
        let mut next = CurrentDocument::clone(&inner.active.current);
        if next.adopt(&found) {
            inner.activate(next);
        }
    }

    /// Activates the configuration of a peer if it is newer.
    pub fn adopt(&self, other: &CurrentDocument) {
        let mut inner = self.inner.write();
        let mut next = CurrentDocument::clone(&inner.active.current);
        if next.adopt(other) {
            log::info!(version = next.version.0; "configuration adopted from a peer");
            inner.activate(next);
            drop(inner);
            self.changed.notify(usize::MAX);
        }
    }
}

impl Inner {
    /// Logs and counts a skipped record.
    fn record_skipped(&mut self, offset: Offset, reason: String) {
        log::warn!(offset = offset.0, why = reason.as_str(); "skipped a configuration record");
        self.skipped += 1;
        self.last_skipped = Some(format!("offset {offset}: {reason}"));
    }

    /// Activates a document if it is valid; otherwise keeps the active one.
    fn activate(&mut self, next: CurrentDocument) {
        if next.document == self.active.current.document {
            self.active.current = Arc::new(next);
            return;
        }
        let value = serde_json::from_str(&next.document).unwrap_or(Value::Null);
        match validate(&value) {
            Ok(configuration) => {
                self.active = ActiveConfiguration {
                    current: Arc::new(next),
                    configuration: Arc::new(configuration),
                };
            }
            Err(findings) => {
                log::error!(findings = findings.to_string().as_str();
                    "invalid configuration; keeping the active one");
            }
        }
    }
}

/// Applies the records of the stream as they are appended.
pub async fn follow(daemon: Arc<Daemon>) {
    let state = &daemon.configuration;
    loop {
        let next = state.inner.read().next;
        match daemon.log.read(STREAM, next, LONG_POLL_TIMEOUT).await {
            Ok(records) => records.iter().for_each(|r| state.apply(r)),
            Err(LogError::Expired { oldest }) => reread_retained(&daemon, oldest).await,
            Err(e) => {
                daemon.metrics.log_errors.inc();
                log::debug!(error = e.to_string().as_str();
                    "cannot read the configuration from the log; retrying");
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads all retained records before any of them is applied.
async fn reread_retained(daemon: &Arc<Daemon>, oldest: Offset) {
    let mut records: Vec<LogRecord> = Vec::new();
    let mut next = oldest;
    while let Ok(page) = daemon.log.read(STREAM, next, Duration::ZERO).await {
        let Some(last) = page.last() else {
            break;
        };
        next = last.offset.next();
        records.extend(page);
    }
    if records.is_empty() {
        let mut inner = daemon.configuration.inner.write();
        inner.next = inner.next.max(next);
        return;
    }
    daemon.configuration.bootstrap(&records);
}

/// Fetches newer versions from peers, which keeps the daemon up to date while the log is
/// unavailable.
pub async fn fetch_newer_from_peers(daemon: Arc<Daemon>) {
    loop {
        task::sleep(PEER_CHECK_INTERVAL).await;
        let ours = daemon.configuration.upto();
        let Some(newer_peer) = daemon
            .membership
            .peer_with_newer_configuration(ours, daemon.clock.mono())
        else {
            continue;
        };
        let request = peer::send(
            &daemon.client,
            newer_peer.addr,
            peer::CONFIGURATION,
            &(),
            PEER_TIMEOUT,
        );
        let response: Result<peer::CurrentDocument, _> = request.await;
        if let Ok(current) = response {
            daemon.configuration.adopt(&current);
        }
    }
}

/// Writes snapshots well before the last one expires. Only the daemon that rendezvous hashing
/// selects writes them.
pub async fn write_snapshots(daemon: Arc<Daemon>) {
    let interval_ms = daemon.settings.platform.retention_ms / SNAPSHOTS_PER_RETENTION;
    loop {
        task::sleep(Duration::from_millis(interval_ms.max(1))).await;
        let now = daemon.clock.mono();
        let alive = daemon.membership.alive(now);
        let writer = rendezvous::first(STREAM, alive.iter().map(|vm| vm.as_str()));
        if writer != Some(daemon.settings.vm.as_str()) {
            continue;
        }
        let current = daemon.configuration.get().current;
        let Some(upto) = current.upto else {
            continue;
        };
        let record = Record::Snapshot {
            version: current.version,
            upto,
            document: current.document.clone(),
        };
        daemon.pacer.acquire().await;
        daemon.metrics.log_appends.inc();
        if let Err(e) = daemon.log.append(STREAM, peer::encode(&record)).await {
            log::warn!(error = e.to_string().as_str();
                "cannot append a snapshot of the configuration");
        }
    }
}
