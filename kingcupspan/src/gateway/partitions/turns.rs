//! Turns in the store and in memory.

use std::{sync::Arc, time::Duration};

use kingcupspan_core::{
    gateway::{allocation::Settlement, call::RequestId, fragment::Fragment, history::Turn},
    id::WallMs,
};
use kingcupspan_platform::store::{self, Record};

use super::{PartitionId, Partitions};
use crate::gateway::{store::StoreFailure, stored_record};

/// Maximum number of expired turns that are deleted in a call that stores new turns.
const DELETE_BATCH_MAX: usize = 64;

/// Number of expired turns from which on the partition is read in order to delete them.
const DELETE_BATCH_MIN: usize = 32;

/// Time without a response after which a call is made through a peer as well; callers wait for
/// it, and turns are spread over many partitions.
const NEXT_PATH_DELAY: Duration = Duration::from_millis(60);

/// A turn to write to the store.
#[derive(Debug, Clone)]
pub struct TurnToStore {
    /// Id of the turn.
    pub id: RequestId,

    /// The turn.
    pub turn: Arc<Turn>,

    /// Tokens that the turn has used; `None` if it is only renewed or has no budget.
    pub settlement: Option<Settlement>,
}

impl Partitions {
    /// Returns the chain of turns that ends with `last`, or the ids of the turns of the
    /// chain that are not in memory.
    pub fn chain(&self, last: &RequestId) -> Result<Vec<Arc<Turn>>, Vec<RequestId>> {
        self.turns.lock().chain(last)
    }

    /// Holds a turn in memory without writing it to the store.
    pub fn cache_turn(&self, id: RequestId, turn: Arc<Turn>) {
        self.turns.lock().insert(id, turn);
    }

    /// Returns those of the given turns that are in memory.
    pub fn cached_turns(&self, ids: &[RequestId]) -> Vec<(RequestId, Turn)> {
        let turns = self.turns.lock();
        let found = |id: &RequestId| Some((id.clone(), (**turns.get(id)?).clone()));
        ids.iter().filter_map(found).collect()
    }

    /// Number of turns in memory.
    pub fn cached_turn_count(&self) -> usize {
        self.turns.lock().len()
    }

    /// Writes turns of one partition to the store; once this returns, every daemon can
    /// read them.
    pub async fn store_turns(
        &self,
        id: PartitionId,
        turns: &[TurnToStore],
    ) -> Result<(), StoreFailure> {
        let expired = self.keys_to_delete(id).await;
        let now = self.clock.wall();
        let mut records = Vec::new();
        for TurnToStore {
            id: turn_id,
            turn,
            settlement,
        } in turns
        {
            let mut of_turn =
                stored_record::turn_records(turn_id, turn, now, self.limits.record_bytes);
            let turn_use = settlement.as_ref();
            of_turn.extend(turn_use.map(|s| stored_record::turn_use(turn_id, s)));
            for record in &of_turn {
                self.track_expiry(id, &record.key, turn.retention, now);
            }
            records.extend(of_turn);
        }
        let deletion = |key: &String| Record {
            key: key.clone(),
            value: None,
        };
        records.extend(expired.iter().map(deletion));
        self.append_in_calls(id, &records).await?;
        let mut expiry = self.expiry.lock();
        let expiry = expiry.entry(id).or_default();
        expired.iter().for_each(|key| expiry.remove(key));
        Ok(())
    }

    /// Appends records of one partition in as many calls as their size needs.
    async fn append_in_calls(
        &self,
        id: PartitionId,
        mut records: &[Record],
    ) -> Result<(), StoreFailure> {
        while !records.is_empty() {
            let len = store::records_per_call(records, self.limits.call_bytes);
            let (of_call, remaining) = records.split_at(len);
            let appended = self
                .store
                .append_on_any_path(self.store_partition(id), of_call, NEXT_PATH_DELAY)
                .await?;
            self.skip_own_records(id, appended, of_call.len() as u64);
            records = remaining;
        }
        Ok(())
    }

    /// Records when a stored turn expires.
    pub(super) fn track_expiry(
        &self,
        id: PartitionId,
        key: &str,
        retention: Duration,
        written: WallMs,
    ) {
        let now = (self.clock.mono(), self.clock.wall());
        let mut expiry = self.expiry.lock();
        let expiry = expiry.entry(id).or_default();
        expiry.record(key, retention, written, now);
    }

    /// Ancestors of a turn that would expire too early for it and must be stored again.
    pub fn turns_to_renew(&self, turn: &Turn) -> Vec<(RequestId, Arc<Turn>)> {
        let now = self.clock.mono();
        let expiry = self.expiry.lock();
        let needs_renewal = |id: &&RequestId| {
            let expiry = expiry.get(&self.partition_of_turn(id));
            expiry
                .is_some_and(|e| e.needs_renewal(&stored_record::turn_key(id), turn.retention, now))
        };
        let renewals: Vec<&RequestId> = turn.ancestors.iter().filter(needs_renewal).collect();
        let turns = self.turns.lock();
        let found = |id: &RequestId| Some((id.clone(), Arc::clone(turns.get(id)?)));
        renewals.into_iter().filter_map(found).collect()
    }

    /// Keys of the expired turns in a partition; empty if there are fewer than
    /// [`DELETE_BATCH_MIN`].
    async fn keys_to_delete(&self, id: PartitionId) -> Vec<String> {
        let expired = || {
            let now = self.clock.mono();
            let expiry = self.expiry.lock();
            let expired = expiry.get(&id).map(|e| e.due(now, DELETE_BATCH_MAX));
            expired
                .filter(|keys| keys.len() >= DELETE_BATCH_MIN)
                .unwrap_or_default()
        };
        // Other daemons may have renewed some of the turns.
        if expired().is_empty() || self.refresh(id).await.is_err() {
            return Vec::new();
        }
        expired()
    }

    /// Adds a fragment of a turn, which is complete once all its fragments were read.
    pub(super) fn apply_fragment(&self, fragment: Fragment) {
        let key = fragment.turn_key.clone();
        let Some(encoded) = self.fragments.lock().add(fragment, self.clock.mono()) else {
            return;
        };
        match stored_record::decode_turn(&encoded) {
            Ok((id, turn)) => self.cache_turn(id, Arc::new(turn)),
            Err(e) => {
                log::error!(key = key.as_str(), error = e.to_string().as_str(); "cannot decode the fragments of a turn; skipped");
            }
        }
    }
}
