//! Registers this daemon in the member list in the store and follows that list.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_platform::store::{self, Partition, Record};

use crate::gateway::{partition_cursor::PartitionCursor, peers::Peers, store::Store};

/// Pause between reads of the member list.
const POLL_INTERVAL: Duration = Duration::from_millis(3_000);

/// Pause after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Membership of this daemon in the list of daemons that the store holds.
pub struct Membership {
    store: Arc<Store>,
    peers: Arc<Peers>,
    topic: String,
}

impl Membership {
    /// Creates a membership that updates `peers` from the member list.
    pub fn new(store: Arc<Store>, peers: Arc<Peers>) -> Self {
        Self {
            store,
            peers,
            topic: store::keyed_topic("daemons"),
        }
    }

    /// Partition that holds the member list.
    fn partition(&self) -> Partition<'_> {
        Partition::new(&self.topic, 0)
    }

    /// Removes this daemon from the member list.
    pub async fn leave(&self) {
        let record = Record {
            key: self.peers.local.vm.clone(),
            value: None,
        };
        if let Err(e) = self.store.append(self.partition(), &[record]).await {
            log::warn!(error = e.to_string().as_str(); "failed to remove this daemon from the member list");
        }
    }

    /// Adds this daemon to the member list and follows the list until the process exits.
    pub async fn join_and_follow(&self) {
        let entry = Record {
            key: self.peers.local.vm.clone(),
            // An entry consists of strings and numbers, which always encode.
            value: Some(rmp_serde::to_vec(&self.peers.local).expect("member entries encode")),
        };
        while let Err(e) = self
            .store
            .append(self.partition(), std::slice::from_ref(&entry))
            .await
        {
            log::warn!(error = e.to_string().as_str(); "failed to add this daemon to the member list; retrying");
            task::sleep(RETRY_DELAY).await;
        }
        let mut cursor = PartitionCursor::default();
        loop {
            let advanced = cursor.advance(&self.store, self.partition(), Duration::ZERO);
            match advanced.await {
                Ok(changes) => {
                    changes.records().iter().for_each(|r| self.apply(r));
                    self.peers.mark_members_loaded();
                }
                Err(e) => log::warn!(error = e.to_string().as_str(); "cannot read the member list"),
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Applies a record of the member list to the known peers.
    fn apply(&self, record: &Record) {
        let Some(value) = &record.value else {
            self.peers.remove(&record.key);
            return;
        };
        match rmp_serde::from_slice(value) {
            Ok(peer) => self.peers.insert(peer),
            Err(e) => {
                log::error!(key = record.key.as_str(), error = e.to_string().as_str(); "cannot decode entry of the member list; skipped");
            }
        }
    }
}
