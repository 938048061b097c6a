//! Endpoints as the platform lists them, and how long a listing holds.

use std::{collections::HashMap, net, sync::Arc};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{gateway::routing::ServiceName, id::MonoMs};

/// How long an entry that vanished during an outage of the store stays usable
/// after the store's return, in milliseconds; live endpoints are listed again
/// within about two seconds.
const RELIST_MS: u64 = 2_200;

/// Shortest time without an answer of the store in which entries may lapse, in
/// milliseconds: they do after several missed heartbeats.
const LAPSE_MIN_MS: u64 = 1_000;

/// Id of an endpoint.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct InstanceId(pub Arc<str>);

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes requests.
    Ready,

    /// Leaves soon.
    Draining,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id.
    pub id: InstanceId,

    /// The service that it is a copy of.
    pub service: ServiceName,

    /// Where it listens.
    pub addr: net::SocketAddr,

    /// Its failure domain.
    pub domain: String,

    /// Requests that it runs at once.
    pub slots: u32,

    /// Whether it takes new requests.
    pub state: State,

    /// Unix time of its start in milliseconds: an id that is used again has another.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    endpoint: Arc<Endpoint>,
    lapsed_until: Option<MonoMs>,
}

/// All listed endpoints.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: HashMap<InstanceId, Entry>,
    returned: Option<MonoMs>,
}

impl Directory {
    /// Takes in a new or changed entry.
    pub fn insert(&mut self, endpoint: Endpoint) {
        let entry = Entry {
            endpoint: Arc::new(endpoint),
            lapsed_until: None,
        };
        self.entries.insert(entry.endpoint.id.clone(), entry);
    }

    /// Takes out an entry; one that lapsed during an outage is usable a little longer.
    pub fn remove(&mut self, id: &InstanceId, now: MonoMs) {
        let Some(grace) = self.grace_until(now) else {
            self.entries.remove(id);
            return;
        };
        if let Some(entry) = self.entries.get_mut(id) {
            entry.lapsed_until.get_or_insert(grace);
        }
    }

    /// Replaces everything by a full listing.
    pub fn replace(&mut self, listed: Vec<Endpoint>, now: MonoMs) {
        let ids: Vec<InstanceId> = listed.iter().map(|e| e.id.clone()).collect();
        for endpoint in listed {
            self.insert(endpoint);
        }
        let gone: Vec<InstanceId> = self
            .entries
            .keys()
            .filter(|id| !ids.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id, now);
        }
    }

    /// Notes that the store answers again after it was last read at `read`.
    ///
    /// A single call that failed is no outage: entries that vanish then are gone.
    pub fn note_store_recovery(&mut self, read: MonoMs, now: MonoMs) {
        if now.0.saturating_sub(read.0) >= LAPSE_MIN_MS {
            self.returned = Some(now);
        }
    }

    fn grace_until(&self, now: MonoMs) -> Option<MonoMs> {
        let until = MonoMs(self.returned?.0 + RELIST_MS);
        (now < until).then_some(until)
    }

    /// Endpoints of a service that take new requests.
    pub fn ready(&self, service: &ServiceName, now: MonoMs) -> Vec<Arc<Endpoint>> {
        let mut ready: Vec<Arc<Endpoint>> = self
            .entries
            .values()
            .filter(|e| e.lapsed_until.is_none_or(|until| now < until))
            .filter(|e| e.endpoint.state == State::Ready && e.endpoint.service == *service)
            .map(|e| Arc::clone(&e.endpoint))
            .collect();
        ready.sort_by(|a, b| a.id.cmp(&b.id));
        ready
    }

    /// Whether an endpoint still takes requests.
    pub fn is_ready(&self, id: &InstanceId, now: MonoMs) -> bool {
        self.entries.get(id).is_some_and(|e| {
            e.endpoint.state == State::Ready && e.lapsed_until.is_none_or(|until| now < until)
        })
    }

    /// Whether nothing is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries, for the state dump.
    pub fn all(&self) -> Vec<Arc<Endpoint>> {
        self.entries
            .values()
            .map(|e| Arc::clone(&e.endpoint))
            .collect()
    }

    /// Drops entries whose grace has ended.
    pub fn expire(&mut self, now: MonoMs) {
        self.entries
            .retain(|_, e| e.lapsed_until.is_none_or(|until| now < until));
    }
}
