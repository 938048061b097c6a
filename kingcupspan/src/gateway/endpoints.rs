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

/// Pause between reads of the list.
const POLL_PAUSE: Duration = Duration::from_millis(600);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// All listed endpoints.
pub struct Endpoints {
    directory: Mutex<Directory>,
    last_read: Mutex<MonoMs>,
    clock: Clock,
}

impl Endpoints {
    /// An empty list.
    pub fn new(clock: Clock) -> Self {
        Self {
            directory: Mutex::default(),
            last_read: Mutex::default(),
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
        match read_entry(record) {
            Some(endpoint) => self.directory.lock().insert(endpoint),
            None => self.directory.lock().remove(&id, now),
        }
    }

    fn replace(&self, records: &[Record]) {
        let listed = records.iter().filter_map(read_entry).collect();
        self.directory.lock().replace(listed, self.clock.mono());
    }

    fn take_in(&self, changes: &Changes) {
        match changes {
            Changes::Snapshot(records) => self.replace(records),
            Changes::Appended(records) => records.iter().for_each(|r| self.apply(r)),
        }
    }

    /// Notes that the store has answered a read of the list.
    fn note_read(&self, was_away: bool) {
        let now = self.clock.mono();
        let last = std::mem::replace(&mut *self.last_read.lock(), now);
        if was_away {
            self.directory.lock().note_store_recovery(last, now);
        }
    }
}

/// The endpoint that a record names, none if it was taken out or cannot be read.
fn read_entry(record: &Record) -> Option<Endpoint> {
    let value = record.value.as_deref()?;
    match registration::decode(&record.key, value) {
        Ok(endpoint) => Some(endpoint),
        Err(e) => {
            log::warn!(endpoint = record.key.as_str(), error = e.to_string().as_str(); "entry skipped");
            None
        }
    }
}

/// Follows the list until the process ends.
pub async fn follow(store: Arc<Store>, endpoints: Arc<Endpoints>) {
    let mut follower = PartitionCursor::default();
    let mut is_away = false;
    loop {
        match follower
            .advance(&store, ENDPOINTS_PARTITION, Duration::ZERO)
            .await
        {
            Ok(changes) => {
                if is_away {
                    log::info!("list of endpoints regained");
                }
                endpoints.note_read(is_away);
                is_away = false;
                endpoints.take_in(&changes);
                task::sleep(POLL_PAUSE).await;
            }
            Err(e) => {
                if !is_away {
                    log::warn!(error = e.to_string().as_str(); "list of endpoints lost");
                }
                is_away = true;
                task::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
