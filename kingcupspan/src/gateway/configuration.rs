//! Follows the operator's configuration.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_core::gateway::routing::Configuration;
use kingcupspan_platform::{
    config,
    store::{CONFIGURATION, CONFIGURATION_KEY, Record},
};
use parking_lot::RwLock;

use crate::gateway::store::{Read, Store, StoreFailure};

/// How long a read waits at the store for a change.
const WAIT: Duration = Duration::from_millis(800);

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
    let mut end = None;
    loop {
        match advance(&store, &current, end).await {
            Ok(next) => end = next,
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "cannot follow the configuration");
                task::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn advance(
    store: &Store,
    current: &Current,
    end: Option<u64>,
) -> Result<Option<u64>, StoreFailure> {
    let Some(offset) = end else {
        let newest = store.newest(CONFIGURATION).await?;
        newest.records.iter().for_each(|r| current.offer(r));
        if newest.records.is_empty() {
            task::sleep(RETRY_PAUSE).await;
            return Ok(None);
        }
        return Ok(Some(newest.end));
    };
    match store.read(CONFIGURATION, offset, WAIT).await? {
        Read::Trimmed => Ok(None),
        Read::Batch(batch) => {
            batch.records.iter().for_each(|r| current.offer(r));
            Ok(Some(offset + batch.records.len() as u64))
        }
    }
}
