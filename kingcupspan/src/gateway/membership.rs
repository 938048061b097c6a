//! Follows the list of daemons in the store.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_platform::store::{self, Partition, Record};

use crate::gateway::{partition_cursor::PartitionCursor, peers::Peers, store::Store};

/// Pause between reads of the list.
const POLL_PAUSE: Duration = Duration::from_millis(3_000);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The list of daemons.
pub struct Membership {
    store: Arc<Store>,
    peers: Arc<Peers>,
    topic: String,
}

impl Membership {
    /// The list that `peers` is kept in step with.
    pub fn new(store: Arc<Store>, peers: Arc<Peers>) -> Self {
        Self {
            store,
            peers,
            topic: store::keyed_topic("daemons"),
        }
    }

    fn partition(&self) -> Partition<'_> {
        Partition::new(&self.topic, 0)
    }

    /// Takes this daemon out of the list.
    pub async fn leave(&self) {
        let record = Record {
            key: self.peers.local.vm.clone(),
            value: None,
        };
        if let Err(e) = self.store.append(self.partition(), &[record]).await {
            log::warn!(error = e.to_string().as_str(); "still listed as a daemon");
        }
    }

    /// Lists this daemon and follows the others until the process ends.
    pub async fn join_and_follow(&self) {
        let own = Record {
            key: self.peers.local.vm.clone(),
            // A listing is made of texts, which always encode.
            value: Some(rmp_serde::to_vec(&self.peers.local).expect("listings encode")),
        };
        while let Err(e) = self
            .store
            .append(self.partition(), std::slice::from_ref(&own))
            .await
        {
            log::warn!(error = e.to_string().as_str(); "not listed as a daemon yet");
            task::sleep(RETRY_PAUSE).await;
        }
        let mut follower = PartitionCursor::default();
        loop {
            let advanced = follower.advance(&self.store, self.partition(), Duration::ZERO);
            match advanced.await {
                Ok(changes) => {
                    changes.records().iter().for_each(|r| self.apply(r));
                    self.peers.mark_members_loaded();
                }
                Err(e) => log::warn!(error = e.to_string().as_str(); "cannot follow the daemons"),
            }
            task::sleep(POLL_PAUSE).await;
        }
    }

    fn apply(&self, record: &Record) {
        let Some(value) = &record.value else {
            self.peers.remove(&record.key);
            return;
        };
        match rmp_serde::from_slice(value) {
            Ok(peer) => self.peers.insert(peer),
            Err(e) => {
                log::error!(key = record.key.as_str(), error = e.to_string().as_str(); "daemon skipped");
            }
        }
    }
}
