//! Keeps the list of endpoints up to date from the store.

use std::{sync::Arc, time::Duration};

use async_std::task;
use futures_lite::FutureExt;
use kingcupspan_core::{
    gateway::{
        endpoint::{Directory, Endpoint, InstanceId},
        routing::ServiceName,
    },
    id::MonoMs,
    retry::Backoff,
};
use kingcupspan_platform::{
    registration,
    store::{ENDPOINTS_PARTITION, Record},
};
use parking_lot::Mutex;

use crate::{
    clock::Clock,
    gateway::{
        partition_cursor::{Changes, PartitionCursor},
        store::Store,
    },
};

/// Interval between reads of the endpoint list.
const POLL_INTERVAL: Duration = Duration::from_millis(600);

/// Longest pause after the first failed read of several in a row.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Longest pause after any failed read.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1_200);

/// The endpoints listed in the store, as last read.
pub struct Endpoints {
    directory: Mutex<Directory>,

    /// Time of the last successful read of the endpoint list.
    last_read_at: Mutex<MonoMs>,

    clock: Clock,
}

impl Endpoints {
    /// Creates an empty list.
    pub fn new(clock: Clock) -> Self {
        Self {
            directory: Mutex::default(),
            last_read_at: Mutex::default(),
            clock,
        }
    }

    /// Returns the endpoints of a service that accept new requests.
    pub fn ready(&self, service: &ServiceName) -> Vec<Arc<Endpoint>> {
        self.directory.lock().ready(service, self.clock.mono())
    }

    /// Records that an endpoint has announced its shutdown in a response.
    pub fn note_leaving(&self, endpoint: &Endpoint) {
        let now = self.clock.mono();
        if self.directory.lock().note_leaving(endpoint, now) {
            log::info!(endpoint = &*endpoint.id.0; "endpoint says that it leaves; sending it no further requests");
        }
    }

    /// Records that an endpoint was started again after it was listed: the list tells neither the
    /// version nor the state of its new run yet.
    pub fn note_replaced(&self, endpoint: &Endpoint) {
        let now = self.clock.mono();
        if self.directory.lock().note_leaving(endpoint, now) {
            log::info!(endpoint = &*endpoint.id.0, version = &*endpoint.version.0; "endpoint was started again; sending it no further requests until it is listed anew");
        }
    }

    /// Returns an endpoint that is listed.
    pub fn by_id(&self, id: &InstanceId) -> Option<Arc<Endpoint>> {
        self.directory.lock().get(id)
    }

    /// Whether an endpoint is listed.
    pub fn is_listed(&self, id: &InstanceId) -> bool {
        self.directory.lock().contains(id)
    }

    /// Returns all endpoints, for the state dump.
    pub fn all(&self) -> Vec<Arc<Endpoint>> {
        self.directory.lock().all()
    }

    /// Removes unlisted endpoints whose grace period after a store outage has expired.
    pub fn expire(&self) {
        self.directory.lock().expire(self.clock.mono());
    }

    /// Returns whether no endpoints are known.
    pub fn is_empty(&self) -> bool {
        self.directory.lock().is_empty()
    }

    /// Adds, updates or removes the endpoint described by a changed record.
    fn apply(&self, record: &Record) {
        let now = self.clock.mono();
        let id = InstanceId::from(record.key.as_str());
        match decode_entry(record) {
            Some(endpoint) => self.directory.lock().insert(endpoint),
            None => self.directory.lock().remove(&id, now),
        }
    }

    /// Replaces the list by the given records.
    fn replace(&self, records: &[Record]) {
        let listed = records.iter().filter_map(decode_entry).collect();
        self.directory.lock().replace(listed, self.clock.mono());
    }

    /// Applies the changes returned by a read of the list.
    fn apply_changes(&self, changes: &Changes) {
        match changes {
            Changes::Snapshot(records) => self.replace(records),
            Changes::Appended(records) => records.iter().for_each(|r| self.apply(r)),
        }
    }

    /// Records a successful read of the list; `was_unreachable` says whether the read
    /// before it failed.
    fn record_read(&self, was_unreachable: bool) {
        let now = self.clock.mono();
        let previous = std::mem::replace(&mut *self.last_read_at.lock(), now);
        if was_unreachable {
            self.directory.lock().note_store_recovery(previous, now);
        }
    }
}

/// Decodes the endpoint in a record; returns `None` if the entry was deleted or is invalid.
fn decode_entry(record: &Record) -> Option<Endpoint> {
    let value = record.value.as_deref()?;
    match registration::decode(&record.key, value) {
        Ok(endpoint) => Some(endpoint),
        Err(e) => {
            log::warn!(endpoint = record.key.as_str(), error = e.to_string().as_str(); "cannot decode the endpoint entry; treating it as removed");
            None
        }
    }
}

/// Reads the endpoint list from the store periodically until the process ends.
pub async fn follow(store: Arc<Store>, endpoints: Arc<Endpoints>) {
    let mut follower = PartitionCursor::default();
    let mut is_unreachable = false;
    let mut backoff = Backoff::new(RETRY_DELAY, RETRY_DELAY_MAX);
    loop {
        let mut received = Vec::new();
        let advanced = follower.advance(&store, ENDPOINTS_PARTITION, |c| received.push(c));
        let result = advanced.await;
        if result.is_ok() || !received.is_empty() {
            // Before the changes: entries that are gone after an outage have a grace period.
            endpoints.record_read(is_unreachable);
        }
        received.iter().for_each(|c| endpoints.apply_changes(c));
        match result {
            Ok(()) => {
                if is_unreachable {
                    log::info!("reading the endpoint list from the store again");
                }
                is_unreachable = false;
                backoff.reset();
                task::sleep(POLL_INTERVAL).await;
            }
            Err(e) => {
                if !is_unreachable {
                    log::warn!(error = e.to_string().as_str(); "cannot read the endpoint list; using the last known one");
                }
                is_unreachable = true;
                let pause = backoff.next_pause(rand::random());
                task::sleep(pause).or(store.wait_for_return()).await;
            }
        }
    }
}
