//! The configuration: follow its stream, keep the newest version in force.

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

/// The stream of the configuration.
pub const STREAM: &str = "configuration";

/// How long a read of the log waits for records.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// Pause after a failed request to the log.
const LOG_BACKOFF: Duration = Duration::from_millis(100);

/// Time between looks at what peers have in force.
const PEERS_EVERY: Duration = Duration::from_millis(300);

/// How long a peer may take to send its configuration.
const PEER_PATIENCE: Duration = Duration::from_millis(500);

/// Snapshots in the time that the log keeps a record.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

/// A version with its checked form.
#[derive(Debug, Clone, Default)]
pub struct Checked {
    /// The version and its document.
    pub in_force: Arc<CurrentDocument>,

    /// The document, checked.
    pub configuration: Arc<Configuration>,
}

/// The configuration in force and what was skipped.
#[derive(Default)]
pub struct State {
    inner: parking_lot::RwLock<Inner>,
    changed: Event,
}

#[derive(Default)]
struct Inner {
    checked: Checked,
    next: Offset,
    skipped: u64,
    last_skipped: Option<String>,
}

/// State of the configuration for the dump.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// The version in force.
    pub version: Version,

    /// Offset up to which the stream is folded in.
    pub upto: Option<Offset>,

    /// Records that were skipped since the process started.
    pub skipped: u64,

    /// Why the last one was skipped.
    pub last_skipped: Option<String>,

    /// The checked document.
    pub configuration: Arc<Configuration>,
}

/// Applies a change to a document and checks the result.
pub fn make(document: &str, change: &Change) -> Result<String, String> {
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
    check(&value).map_err(|findings| findings.to_string())?;
    Ok(value.to_string())
}

fn check(value: &Value) -> Result<Configuration, Findings> {
    Configuration::try_from(value)
}

impl State {
    /// The configuration in force.
    pub fn get(&self) -> Checked {
        self.inner.read().checked.clone()
    }

    /// Offset up to which the stream is folded in.
    pub fn upto(&self) -> Option<Offset> {
        self.inner.read().checked.in_force.upto
    }

    /// The state for the dump.
    pub fn summary(&self) -> Summary {
        let inner = self.inner.read();
        Summary {
            version: inner.checked.in_force.version,
            upto: inner.checked.in_force.upto,
            skipped: inner.skipped,
            last_skipped: inner.last_skipped.clone(),
            configuration: Arc::clone(&inner.checked.configuration),
        }
    }

    fn fold(&self, stored: &LogRecord) {
        let mut inner = self.inner.write();
        if stored.offset < inner.next {
            return;
        }
        inner.next = stored.offset.next();
        let record: Record = match rmp_serde::from_slice(&stored.bytes) {
            Ok(record) => record,
            Err(e) => return inner.skip(stored.offset, e.to_string()),
        };
        let mut next = CurrentDocument::clone(&inner.checked.in_force);
        match next.apply(stored.offset, &record, make) {
            ApplyOutcome::Accepted(version) => {
                log::info!(version = version.0, offset = stored.offset.0; "configuration in force");
                inner.put(next);
            }
            ApplyOutcome::VersionMismatch { in_force } => {
                inner.checked.in_force = Arc::new(next);
                inner.skip(stored.offset, format!("version {in_force} was in force"));
            }
            ApplyOutcome::Invalid(why) => {
                inner.checked.in_force = Arc::new(next);
                inner.skip(stored.offset, why);
            }
            ApplyOutcome::Unchanged => inner.put(next),
        }
        drop(inner);
        self.changed.notify(usize::MAX);
    }

    /// Folds everything that a new reader found on a stream without beginning.
    fn bootstrap(&self, records: &[LogRecord]) {
        let decoded: Vec<(Offset, Record)> = records
            .iter()
            .filter_map(|s| Some((s.offset, rmp_serde::from_slice(&s.bytes).ok()?)))
            .collect();
        let found = CurrentDocument::bootstrap(&decoded, make);
        let mut inner = self.inner.write();
        if let Some(last) = records.last() {
            inner.next = inner.next.max(last.offset.next());
        }
        let mut next = CurrentDocument::clone(&inner.checked.in_force);
        if next.adopt(&found) {
            inner.put(next);
        }
    }

    /// Takes over a newer version from a peer.
    pub fn adopt(&self, other: &CurrentDocument) {
        let mut inner = self.inner.write();
        let mut next = CurrentDocument::clone(&inner.checked.in_force);
        if next.adopt(other) {
            log::info!(version = next.version.0; "configuration taken over from a peer");
            inner.put(next);
            drop(inner);
            self.changed.notify(usize::MAX);
        }
    }
}

impl Inner {
    fn skip(&mut self, offset: Offset, why: String) {
        log::warn!(offset = offset.0, why = why.as_str(); "configuration record skipped");
        self.skipped += 1;
        self.last_skipped = Some(format!("offset {offset}: {why}"));
    }

    fn put(&mut self, next: CurrentDocument) {
        if next.document == self.checked.in_force.document {
            self.checked.in_force = Arc::new(next);
            return;
        }
        let value = serde_json::from_str(&next.document).unwrap_or(Value::Null);
        match check(&value) {
            Ok(configuration) => {
                self.checked = Checked {
                    in_force: Arc::new(next),
                    configuration: Arc::new(configuration),
                };
            }
            Err(findings) => {
                log::error!(findings = findings.to_string().as_str(); "unusable configuration kept out");
            }
        }
    }
}

/// Follows the stream.
pub async fn follow(daemon: Arc<Daemon>) {
    let state = &daemon.configuration;
    loop {
        let next = state.inner.read().next;
        match daemon.log.read(STREAM, next, READ_WAIT).await {
            Ok(records) => records.iter().for_each(|r| state.fold(r)),
            Err(LogError::Expired { oldest }) => restart(&daemon, oldest).await,
            Err(e) => {
                daemon.metrics.log_errors.inc();
                log::debug!(error = e.to_string().as_str(); "cannot read the configuration");
                task::sleep(LOG_BACKOFF).await;
            }
        }
    }
}

/// Reads the whole kept stream before anything of it is in force.
async fn restart(daemon: &Arc<Daemon>, oldest: Offset) {
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

/// Fetches newer versions from peers, which matters while the log is away.
pub async fn catch_up_from_peers(daemon: Arc<Daemon>) {
    loop {
        task::sleep(PEERS_EVERY).await;
        let ours = daemon.configuration.upto();
        let Some(newer) = daemon
            .membership
            .newer_configuration(ours, daemon.clock.mono())
        else {
            continue;
        };
        let ask = peer::send(
            &daemon.client,
            newer.addr,
            peer::CONFIGURATION,
            &(),
            PEER_PATIENCE,
        );
        let answer: Result<peer::CurrentDocument, _> = ask.await;
        if let Ok(in_force) = answer {
            daemon.configuration.adopt(&in_force);
        }
    }
}

/// Writes snapshots well before the last one expires; one daemon does it.
pub async fn keep_alive(daemon: Arc<Daemon>) {
    let every_ms = daemon.settings.platform.retention_ms / SNAPSHOTS_PER_RETENTION;
    loop {
        task::sleep(Duration::from_millis(every_ms.max(1))).await;
        let now = daemon.clock.mono();
        let alive = daemon.membership.alive(now);
        let first = rendezvous::first(STREAM, alive.iter().map(|vm| vm.as_str()));
        if first != Some(daemon.settings.vm.as_str()) {
            continue;
        }
        let in_force = daemon.configuration.get().in_force;
        let Some(upto) = in_force.upto else {
            continue;
        };
        let record = Record::Snapshot {
            version: in_force.version,
            upto,
            document: in_force.document.clone(),
        };
        daemon.pacer.acquire().await;
        daemon.metrics.log_appends.inc();
        if let Err(e) = daemon.log.append(STREAM, peer::encode(&record)).await {
            log::warn!(error = e.to_string().as_str(); "no snapshot of the configuration written");
        }
    }
}
