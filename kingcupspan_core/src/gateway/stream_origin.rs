//! Software versions at which streams were begun.
//!
//! A stream that has broken off may be continued by an endpoint of the version that began it, and
//! by no other: what two versions generate does not fit together, and endpoints do not check it.
//! Before the first event of a stream is sent, the daemon that serves it records the version. A
//! record that exists is all that permits a continuation: where it cannot be found, nobody knows
//! whether the version is the right one.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    allocation::AllocationId, call::RequestId, crash_tracker::Fingerprint,
    endpoint::SoftwareVersion, incarnation::Incarnation, routing::ServiceName,
};
use crate::id::WallMs;

/// Shortest time for which a stream may be continued after it was begun.
const MIN_RETENTION: Duration = Duration::from_secs(30);

/// Number of attempts, each of which may last as long as its route allows, in which a stream may be
/// continued.
const ATTEMPTS: u32 = 4;

/// Where a stream was begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the endpoint.
    pub service: ServiceName,

    /// Software version of the endpoint.
    pub version: SoftwareVersion,
}

/// Record of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The attempt that brings the first event.
    pub attempt: RequestId,

    /// Fingerprint of the request with its program and session.
    pub content: Fingerprint,

    /// Where the stream is begun.
    pub origin: Origin,

    /// Time of the first record that the same daemon has made of the same attempt, if the
    /// attempt has moved to another version before it brought an event; this record replaces
    /// those made from then on.
    pub replaces_since: Option<WallMs>,

    /// Which of the daemon's places in the store the record takes; the store keeps the newest
    /// record of each place.
    pub place: u32,

    /// Time for which the stream may be continued.
    pub retention: Duration,
}

/// Returns the time for which a stream of a route may be continued after it was begun; an attempt
/// lasts for `timeout` at most.
pub fn retention(timeout: Duration) -> Duration {
    MIN_RETENTION.max(timeout.saturating_mul(ATTEMPTS))
}

/// How a stream is named that is to be continued.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamName {
    /// By the attempt that brought its first event.
    Attempt(RequestId),

    /// By nothing but what its requests have in common; it is the stream of any of them.
    Content(Fingerprint),
}

/// What is known of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Knowledge {
    /// There is no record of the stream.
    Unknown,

    /// The stream was begun here.
    Known(Origin),

    /// Several streams were begun under this name, not all at the same version.
    Ambiguous,
}

/// Records of streams that may still be continued.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    records: HashMap<RequestId, Vec<(AllocationId, StreamRecord)>>,

    /// Attempts of the same request.
    attempts: HashMap<Fingerprint, BTreeSet<RequestId>>,
}

impl StreamOrigins {
    /// Adds a record; records may arrive in any order and more than once.
    pub fn insert(&mut self, id: AllocationId, record: StreamRecord, now: WallMs) {
        if is_expired(&id, &record, now) {
            return;
        }
        let attempts = self.attempts.entry(record.content).or_default();
        attempts.insert(record.attempt.clone());
        let records = self.records.entry(record.attempt.clone()).or_default();
        if records.iter().all(|(known, _)| *known != id) {
            records.push((id, record));
        }
    }

    /// Returns where a stream was begun.
    pub fn find(&self, name: &StreamName) -> Knowledge {
        match name {
            StreamName::Attempt(attempt) => agreement(self.origins(attempt)),
            StreamName::Content(content) => {
                let attempts = self.attempts.get(content).into_iter().flatten();
                agreement(attempts.flat_map(|a| self.origins(a)))
            }
        }
    }

    /// Returns where an attempt has begun a stream through one daemon, which knows all its own
    /// records; those of other daemons may have been replaced since they were read.
    pub fn find_begun_by(&self, daemon: &Incarnation, attempt: &RequestId) -> Knowledge {
        let mut records = self.records.get(attempt).into_iter().flatten();
        match records.any(|(id, _)| id.daemon == *daemon) {
            true => agreement(self.origins(attempt)),
            false => Knowledge::Unknown,
        }
    }

    /// Returns where streams were begun whose first event an attempt has brought.
    fn origins(&self, attempt: &RequestId) -> impl Iterator<Item = &Origin> {
        let records = self.records.get(attempt).map_or(&[][..], Vec::as_slice);
        let is_replaced = |id: &AllocationId| records.iter().any(|r| replaces(r, id));
        let valid = records.iter().filter(move |(id, _)| !is_replaced(id));
        valid.map(|(_, record)| &record.origin)
    }

    /// Forgets streams that nobody continues any more.
    pub fn expire(&mut self, now: WallMs) {
        self.records.retain(|_, records| {
            records.retain(|(id, record)| !is_expired(id, record, now));
            !records.is_empty()
        });
        let records = &self.records;
        self.attempts.retain(|_, attempts| {
            attempts.retain(|a| records.contains_key(a));
            !attempts.is_empty()
        });
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Returns the origin of a stream that was begun at one of these.
fn agreement<'a>(mut origins: impl Iterator<Item = &'a Origin>) -> Knowledge {
    match origins.next() {
        None => Knowledge::Unknown,
        Some(first) if origins.all(|o| o == first) => Knowledge::Known(first.clone()),
        Some(_) => Knowledge::Ambiguous,
    }
}

/// Whether a record replaces the one with an identifier.
fn replaces((id, record): &(AllocationId, StreamRecord), other: &AllocationId) -> bool {
    let is_in_span = |since: WallMs| since <= other.made_at && other.made_at < id.made_at;
    id.daemon == other.daemon && record.replaces_since.is_some_and(is_in_span)
}

/// Whether a record is too old to be of use.
fn is_expired(id: &AllocationId, record: &StreamRecord, now: WallMs) -> bool {
    let retention_ms = record.retention.as_millis() as u64;
    id.made_at.0.saturating_add(retention_ms) < now.0
}
