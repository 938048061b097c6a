//! Registers this daemon in the member list in the store and follows that list.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_platform::store::{self, Partition, Record};
use rmp_serde::decode;
use serde::Serialize;

use crate::gateway::{
    partition_cursor::PartitionCursor,
    peers::Peers,
    store::{Store, StoreFailure},
};

/// Pause between reads of the member list.
const POLL_INTERVAL: Duration = Duration::from_millis(3_000);

/// Pause after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Prefix of the keys of records that former versions wrote for VMs; the VM's name follows.
const VM_PREFIX: &str = "vm/";

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
        let mut cursor = PartitionCursor::default();
        while let Err(e) = self.join(&mut cursor).await {
            log::warn!(error = e.to_string().as_str(); "failed to add this daemon to the member list; retrying");
            task::sleep(RETRY_DELAY).await;
        }
        loop {
            if let Err(e) = self.read(&mut cursor).await {
                log::warn!(error = e.to_string().as_str(); "cannot read the member list");
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads the member list and adds this daemon to it.
    async fn join(&self, cursor: &mut PartitionCursor) -> Result<(), StoreFailure> {
        self.read(cursor).await?;
        let local = &self.peers.local;
        let record = Record {
            key: local.vm.clone(),
            value: Some(encode(local)),
        };
        self.store.append(self.partition(), &[record]).await?;
        Ok(())
    }

    /// Reads the changes of the member list.
    async fn read(&self, cursor: &mut PartitionCursor) -> Result<(), StoreFailure> {
        let advanced = cursor.advance(&self.store, self.partition(), |changes| {
            changes.records().iter().for_each(|r| self.apply(r));
        });
        advanced.await?;
        self.peers.note_listed();
        Ok(())
    }

    /// Applies a record of the member list to the known peers.
    fn apply(&self, record: &Record) {
        if record.key.starts_with(VM_PREFIX) {
            return;
        }
        if let Err(e) = self.apply_member(&record.key, record.value.as_deref()) {
            log::error!(key = record.key.as_str(), error = e.to_string().as_str(); "cannot decode entry of the member list; skipped");
        }
    }

    /// Applies the entry of a daemon; `None` if the daemon has left.
    fn apply_member(&self, vm: &str, entry: Option<&[u8]>) -> Result<(), decode::Error> {
        match entry {
            Some(entry) => self.peers.insert(rmp_serde::from_slice(entry)?),
            None => self.peers.remove(vm),
        }
        Ok(())
    }
}

/// Encodes an entry; entries consist of strings and numbers, which always encode.
fn encode(entry: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(entry).expect("member entries encode")
}
