//! Directory of the endpoints listed by the platform, including the grace period of
//! entries that expired during an outage of the store.

use std::{collections::HashMap, net, sync::Arc};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{gateway::routing::ServiceName, id::MonoMs};

/// How long an entry that expired during an outage of the store stays usable after the
/// store has recovered, in milliseconds.
///
/// Live endpoints are listed again within about two seconds.
const RELIST_GRACE_MS: u64 = 2_200;

/// Shortest outage of the store in which entries of live endpoints may expire, in
/// milliseconds.
///
/// An entry expires only after several missed heartbeats.
const MIN_OUTAGE_MS: u64 = 1_000;

/// How long the announcement of a shutdown is kept for an endpoint that is not listed, in
/// milliseconds; a list that was read during an outage may be as old as that.
const LEAVING_KEPT_MS: u64 = 3_600_000;

/// Identifier of an endpoint.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct InstanceId(pub Arc<str>);

/// Version of the software that an endpoint runs.
///
/// Versions have no order; only whether two are the same matters.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct SoftwareVersion(pub Arc<str>);

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The endpoint accepts requests.
    Ready,

    /// The endpoint will shut down soon and accepts no new requests.
    Draining,
}

/// An endpoint as listed in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Identifier of the endpoint.
    pub id: InstanceId,

    /// Service that the endpoint belongs to.
    pub service: ServiceName,

    /// Address on which the endpoint listens.
    pub addr: net::SocketAddr,

    /// Failure domain of the endpoint.
    pub domain: String,

    /// Version of the software that the endpoint runs.
    pub version: SoftwareVersion,

    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,

    /// Whether the endpoint accepts new requests.
    pub state: State,

    /// Unix time at which the endpoint started, in milliseconds, which distinguishes
    /// endpoints that reuse an identifier.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

/// Entry of the directory.
#[derive(Debug, Clone)]
struct Entry {
    endpoint: Arc<Endpoint>,

    /// End of the grace period, set once the endpoint is no longer listed.
    grace_until: Option<MonoMs>,
}

/// Run of an endpoint that has announced its shutdown in a response.
#[derive(Debug, Clone, Copy)]
struct LeavingRun {
    /// Start of the run; an endpoint that is started again may be used.
    started_at_ms: u64,

    /// Time of the last response with the announcement.
    announced: MonoMs,
}

/// Directory of all listed endpoints.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: HashMap<InstanceId, Entry>,

    /// Endpoints that have announced their shutdown in a response. The list may not say so
    /// yet, or again list an endpoint that has left.
    leaving: HashMap<InstanceId, LeavingRun>,

    /// Time at which the store recovered from its last outage.
    recovered: Option<MonoMs>,
}

impl Directory {
    /// Adds or updates an entry.
    pub fn insert(&mut self, endpoint: Endpoint) {
        let entry = Entry {
            endpoint: Arc::new(endpoint),
            grace_until: None,
        };
        self.entries.insert(entry.endpoint.id.clone(), entry);
    }

    /// Removes an entry; soon after an outage of the store, the entry stays usable for a
    /// grace period.
    pub fn remove(&mut self, id: &InstanceId, now: MonoMs) {
        let Some(grace) = self.grace_until(now) else {
            self.entries.remove(id);
            return;
        };
        if let Some(entry) = self.entries.get_mut(id) {
            entry.grace_until.get_or_insert(grace);
        }
    }

    /// Replaces all entries with a full listing.
    pub fn replace(&mut self, listed: Vec<Endpoint>, now: MonoMs) {
        let ids: Vec<InstanceId> = listed.iter().map(|e| e.id.clone()).collect();
        for endpoint in listed {
            self.insert(endpoint);
        }
        let unlisted: Vec<InstanceId> = self
            .entries
            .keys()
            .filter(|id| !ids.contains(id))
            .cloned()
            .collect();
        for id in unlisted {
            self.remove(&id, now);
        }
    }

    /// Records that the store responds again after a successful read at `last_read`.
    ///
    /// A single failed call is no outage: entries removed after it get no grace period.
    pub fn note_store_recovery(&mut self, last_read: MonoMs, now: MonoMs) {
        if now.0.saturating_sub(last_read.0) >= MIN_OUTAGE_MS {
            self.recovered = Some(now);
        }
    }

    /// Records that an endpoint has announced its shutdown in a response: this run of it
    /// accepts no new requests any more, whatever the list says. Returns whether that was
    /// not known before.
    pub fn note_leaving(&mut self, endpoint: &Endpoint, now: MonoMs) -> bool {
        let is_news = !self.is_leaving(endpoint);
        let run = LeavingRun {
            started_at_ms: endpoint.started_at_ms,
            announced: now,
        };
        self.leaving.insert(endpoint.id.clone(), run);
        is_news
    }

    /// Whether this run of an endpoint has announced its shutdown.
    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let run = self.leaving.get(&endpoint.id);
        run.is_some_and(|r| r.started_at_ms == endpoint.started_at_ms)
    }

    /// Whether an entry can be used for new requests.
    fn is_usable(&self, entry: &Entry, now: MonoMs) -> bool {
        entry.endpoint.state == State::Ready
            && entry.grace_until.is_none_or(|until| now < until)
            && !self.is_leaving(&entry.endpoint)
    }

    /// Returns the end of the grace period for entries removed at `now`, if there is one.
    fn grace_until(&self, now: MonoMs) -> Option<MonoMs> {
        let until = MonoMs(self.recovered?.0 + RELIST_GRACE_MS);
        (now < until).then_some(until)
    }

    /// Returns the endpoints of a service that accept new requests.
    pub fn ready(&self, service: &ServiceName, now: MonoMs) -> Vec<Arc<Endpoint>> {
        let mut ready: Vec<Arc<Endpoint>> = self
            .entries
            .values()
            .filter(|e| e.endpoint.service == *service && self.is_usable(e, now))
            .map(|e| Arc::clone(&e.endpoint))
            .collect();
        ready.sort_by(|a, b| a.id.cmp(&b.id));
        ready
    }

    /// Whether an endpoint accepts new requests.
    pub fn is_ready(&self, id: &InstanceId, now: MonoMs) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|e| self.is_usable(e, now))
    }

    /// Returns an endpoint that has an entry.
    pub fn get(&self, id: &InstanceId) -> Option<Arc<Endpoint>> {
        self.entries.get(id).map(|e| Arc::clone(&e.endpoint))
    }

    /// Whether an endpoint has an entry.
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.entries.contains_key(id)
    }

    /// Whether the directory has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns all endpoints, for the state dump.
    pub fn all(&self) -> Vec<Arc<Endpoint>> {
        self.entries
            .values()
            .map(|e| Arc::clone(&e.endpoint))
            .collect()
    }

    /// Removes entries whose grace period has ended, and announcements of endpoints that
    /// have not been listed for a long time.
    pub fn expire(&mut self, now: MonoMs) {
        self.entries
            .retain(|_, e| e.grace_until.is_none_or(|until| now < until));
        let entries = &self.entries;
        self.leaving.retain(|id, run| {
            entries.contains_key(id) || now.0 < run.announced.0 + LEAVING_KEPT_MS
        });
    }
}
