//! Follows the list of endpoints.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_core::{
    gateway::{
        endpoint::{Directory, Endpoint, InstanceId},
        routing::ServiceName,
    },
    id::MonoMs,
};
use kingcupspan_platform::{
    listing,
    store::{ENDPOINTS, Record},
};
use parking_lot::Mutex;

use crate::{
    clock::Clock,
    gateway::{
        follower::{Changes, Follower},
        store::Store,
    },
};

/// Pause between reads of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(600);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// All listed endpoints.
pub struct Endpoints {
    directory: Mutex<Directory>,
    last_read_at: Mutex<MonoMs>,
    clock: Clock,
}

impl Endpoints {
    /// An empty list.
    pub fn new(clock: Clock) -> Self {
        Self {
            directory: Mutex::default(),
            last_read_at: Mutex::default(),
            clock,
        }
    }

    /// Endpoints of a service that take new requests.
    pub fn ready(&self, service: &ServiceName) -> Vec<Arc<Endpoint>> {
        self.directory.lock().ready(service, self.clock.mono())
    }

    /// All entries, for the state dump.
    pub fn all(&self) -> Vec<Arc<Endpoint>> {
        self.directory.lock().all()
    }

    /// Drops entries whose time has run out.
    pub fn expire(&self) {
        self.directory.lock().expire(self.clock.mono());
    }

    /// Whether nothing is listed yet.
    pub fn is_empty(&self) -> bool {
        self.directory.lock().is_empty()
    }

    fn apply(&self, record: &Record) {
        let now = self.clock.mono();
        let id = InstanceId::from(record.key.as_str());
        match decode_entry(record) {
            Some(endpoint) => self.directory.lock().insert(endpoint),
            None => self.directory.lock().remove(&id, now),
        }
    }

    fn replace(&self, records: &[Record]) {
        let listed = records.iter().filter_map(decode_entry).collect();
        self.directory.lock().replace(listed, self.clock.mono());
    }

    fn apply_changes(&self, changes: &Changes) {
        match changes {
            Changes::All(records) => self.replace(records),
            Changes::New(records) => records.iter().for_each(|r| self.apply(r)),
        }
    }

    /// Notes that the store has answered a read of the list.
    fn record_read(&self, was_unreachable: bool) {
        let now = self.clock.mono();
        let previous = std::mem::replace(&mut *self.last_read_at.lock(), now);
        if was_unreachable {
            self.directory.lock().store_returned(previous, now);
        }
    }
}

/// The endpoint that a record names, none if it was taken out or cannot be read.
fn decode_entry(record: &Record) -> Option<Endpoint> {
    let value = record.value.as_deref()?;
    match listing::decode(&record.key, value) {
        Ok(endpoint) => Some(endpoint),
        Err(e) => {
            log::warn!(endpoint = record.key.as_str(), error = e.to_string().as_str(); "entry skipped");
            None
        }
    }
}

/// Follows the list until the process ends.
pub async fn follow(store: Arc<Store>, endpoints: Arc<Endpoints>) {
    let mut follower = Follower::default();
    let mut is_unreachable = false;
    loop {
        match follower.advance(&store, ENDPOINTS, Duration::ZERO).await {
            Ok(changes) => {
                if is_unreachable {
                    log::info!("list of endpoints regained");
                }
                endpoints.record_read(is_unreachable);
                is_unreachable = false;
                endpoints.apply_changes(&changes);
                task::sleep(POLL_INTERVAL).await;
            }
            Err(e) => {
                if !is_unreachable {
                    log::warn!(error = e.to_string().as_str(); "list of endpoints lost");
                }
                is_unreachable = true;
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}
