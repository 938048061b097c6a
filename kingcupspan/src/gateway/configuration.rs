//! Keeps the operator's configuration up to date from the store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_core::gateway::routing::Configuration;
use kingcupspan_platform::{
    config,
    store::{CONFIGURATION_KEY, CONFIGURATION_PARTITION, Record},
};
use parking_lot::RwLock;

use crate::gateway::{
    partition_cursor::{Changes, PartitionCursor},
    store::Store,
};

/// How long a read at the store waits for a change of the configuration.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The configuration that requests are served with.
#[derive(Default)]
pub struct ActiveConfiguration {
    /// `None` until the first one has been read.
    configuration: RwLock<Option<Arc<Configuration>>>,

    /// Start of the last read that showed which version is the newest.
    confirmed_at: RwLock<Option<Instant>>,
}

impl ActiveConfiguration {
    /// Returns the active configuration.
    pub fn get(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().clone()
    }

    /// Time since the store last told which version is the newest; `None` if it never has.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.read().map(|at| at.elapsed())
    }

    /// Activates the configuration in a record if its version is higher than the active one.
    fn activate_if_newer(&self, record: &Record) {
        let Some(value) = record
            .value
            .as_deref()
            .filter(|_| record.key == CONFIGURATION_KEY)
        else {
            return;
        };
        let received = match config::decode(value) {
            Ok(received) => received,
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "cannot decode the configuration; keeping the active one");
                return;
            }
        };
        let mut active = self.configuration.write();
        let version = received.version;
        if active.as_ref().is_none_or(|c| c.version < version) {
            log::info!(version = version.0; "configuration activated");
            *active = Some(Arc::new(received));
        }
    }
}

/// Reads configuration changes from the store until the process ends.
pub async fn follow(store: Arc<Store>, active: Arc<ActiveConfiguration>) {
    let mut follower = PartitionCursor::default();
    let mut is_unavailable = false;
    loop {
        let started_at = Instant::now();
        match follower
            .advance(&store, CONFIGURATION_PARTITION, LONG_POLL_TIMEOUT)
            .await
        {
            Ok(changes) => {
                if is_unavailable {
                    log::info!("reading the configuration from the store again");
                }
                is_unavailable = false;
                *active.confirmed_at.write() = Some(started_at);
                changes
                    .records()
                    .iter()
                    .for_each(|r| active.activate_if_newer(r));
                if matches!(&changes, Changes::Snapshot(records) if records.is_empty()) {
                    // No configuration has been written yet.
                    follower.reset();
                    task::sleep(RETRY_DELAY).await;
                }
            }
            Err(e) => {
                if !is_unavailable {
                    log::warn!(error = e.to_string().as_str(); "cannot follow the configuration");
                }
                is_unavailable = true;
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}
