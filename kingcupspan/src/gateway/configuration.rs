//! Follows the operator's configuration.

use std::{sync::Arc, time::Duration};

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

/// How long a read waits at the store for a change.
const WAIT: Duration = Duration::from_millis(1_200);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The configuration in force; none before the first was read.
#[derive(Default)]
pub struct Current(RwLock<Option<Arc<Configuration>>>);

impl Current {
    /// The configuration in force.
    pub fn get(&self) -> Option<Arc<Configuration>> {
        self.0.read().clone()
    }

    /// Puts a configuration in force unless a newer one is.
    fn offer(&self, record: &Record) {
        let Some(value) = record
            .value
            .as_deref()
            .filter(|_| record.key == CONFIGURATION_KEY)
        else {
            return;
        };
        let offered = match config::decode(value) {
            Ok(offered) => offered,
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "configuration skipped");
                return;
            }
        };
        let mut current = self.0.write();
        let version = offered.version;
        if current.as_ref().is_none_or(|c| c.version < version) {
            log::info!(version = version.0; "configuration in force");
            *current = Some(Arc::new(offered));
        }
    }
}

/// Follows the configuration until the process ends.
pub async fn follow(store: Arc<Store>, current: Arc<Current>) {
    let mut follower = PartitionCursor::default();
    let mut is_lost = false;
    loop {
        match follower
            .advance(&store, CONFIGURATION_PARTITION, WAIT)
            .await
        {
            Ok(changes) => {
                if is_lost {
                    log::info!("configuration is followed again");
                }
                is_lost = false;
                changes.records().iter().for_each(|r| current.offer(r));
                if matches!(&changes, Changes::Snapshot(records) if records.is_empty()) {
                    // Nothing was written yet.
                    follower.reset();
                    task::sleep(RETRY_PAUSE).await;
                }
            }
            Err(e) => {
                if !is_lost {
                    log::warn!(error = e.to_string().as_str(); "cannot follow the configuration");
                }
                is_lost = true;
                task::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
