//! Reads configurations from the store.

use std::time::Duration;

use futures_lite::FutureExt;
use kingcupspan_core::gateway::routing::Configuration;
use kingcupspan_platform::{
    config,
    store::{CONFIGURATION_KEY, CONFIGURATION_PARTITION, Record},
};

use super::{Versioned, follower::Follower};
use crate::gateway::{
    partition_cursor::Listing,
    store::{Read, ResponseSize, StoreFailure},
};

/// Time after which a daemon that reads the record waits anew for an announcement.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(1_000);

/// What a read of the operator's records found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    /// A configuration newer than the active one, which is active now.
    Newer,

    /// No newer configuration.
    NotNewer,

    /// Some of the records were deleted.
    Deleted,
}

impl Follower {
    /// Reads the newest configuration from the store; gives up if it comes from a peer first.
    pub(super) async fn read_unless_announced(&self) {
        let read = async {
            if let Err(e) = self.read().await {
                log::warn!(error = e.to_string().as_str(); "cannot read the configuration from the store");
            }
        };
        let announced = async {
            while self.active.is_behind() {
                self.fetch_announced(ANNOUNCEMENT_WAIT).await;
            }
        };
        read.or(announced).await;
    }

    /// Reads the newest configuration from the store.
    async fn read(&self) -> Result<(), StoreFailure> {
        let last = self.active.newest_position().saturating_sub(1);
        if self.read_from(last).await? == Content::Newer {
            return Ok(());
        }
        // The last record is malformed, older or not a configuration; those before it may not be.
        if self.read_from(self.active.position()).await? != Content::Deleted {
            return Ok(());
        }
        let snapshot = Listing::default()
            .complete(&self.store, CONFIGURATION_PARTITION, ResponseSize::Large)
            .await?;
        self.activate_newer(&snapshot.records, snapshot.end);
        self.active.advance(snapshot.end);
        Ok(())
    }

    /// Reads all records from `offset` on and activates the newest configuration among them.
    async fn read_from(&self, offset: u64) -> Result<Content, StoreFailure> {
        let mut next = offset;
        let mut content = Content::NotNewer;
        loop {
            let read = self
                .store
                .read(CONFIGURATION_PARTITION, next, ResponseSize::Large);
            let Read::Batch(batch) = read.await? else {
                return Ok(Content::Deleted);
            };
            next += batch.len;
            if self.activate_newer(&batch.records, next) {
                content = Content::Newer;
            }
            if batch.len == 0 || next >= batch.end {
                break;
            }
        }
        if offset <= self.active.position() {
            self.active.advance(next);
        }
        Ok(content)
    }

    /// Activates the newest configuration in `records`, the last of the first `position` records;
    /// returns whether it is newer than the active one.
    fn activate_newer(&self, records: &[Record], position: u64) -> bool {
        let decoded = records.iter().filter_map(decode);
        let Some(newest) = decoded.max_by_key(|c| c.version) else {
            return false;
        };
        let is_newer = self.active.version().is_none_or(|v| v < newest.version);
        if is_newer {
            self.active
                .activate(Versioned::from(newest), position, "store");
        }
        is_newer
    }
}

/// Decodes the configuration in a record; `None` if it holds none.
fn decode(record: &Record) -> Option<Configuration> {
    let value = record.value.as_deref();
    let value = value.filter(|_| record.key == CONFIGURATION_KEY)?;
    match config::decode(value) {
        Ok(configuration) => Some(configuration),
        Err(e) => {
            log::warn!(error = e.to_string().as_str(); "cannot decode the configuration; keeping the active one");
            None
        }
    }
}
