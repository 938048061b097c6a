//! Follows a partition whose newest record of each key is kept.

use std::time::Duration;

use kingcupspan_platform::store::{Partition, Record};

use crate::gateway::store::{Read, Store, StoreFailure};

/// How far a partition was read.
#[derive(Debug, Default)]
pub struct PartitionCursor {
    end: Option<u64>,
}

/// What a partition holds.
#[derive(Debug)]
pub enum Changes {
    /// The newest record of every key: keys that are not among them are gone.
    Snapshot(Vec<Record>),

    /// Records written since the last read.
    Appended(Vec<Record>),
}

impl Changes {
    /// The records, whichever they are.
    pub fn records(&self) -> &[Record] {
        match self {
            Self::Snapshot(records) | Self::Appended(records) => records,
        }
    }
}

impl PartitionCursor {
    /// Offset of the next record; none before the first read.
    pub fn next_offset(&self) -> Option<u64> {
        self.end
    }

    /// Passes over records that are known without being read.
    pub fn skip_to(&mut self, end: u64) {
        self.end = Some(end);
    }

    /// Lists everything next time.
    pub fn reset(&mut self) {
        self.end = None;
    }

    /// Reads on, waiting up to `wait` for a record; lists everything at first and
    /// when records that were not read have been deleted.
    pub async fn advance(
        &mut self,
        store: &Store,
        partition: Partition<'_>,
        wait: Duration,
    ) -> Result<Changes, StoreFailure> {
        if let Some(offset) = self.end
            && let Read::Batch(batch) = store.read(partition, offset, wait).await?
        {
            self.end = Some(offset + batch.records.len() as u64);
            return Ok(Changes::Appended(batch.records));
        }
        let newest = store.newest(partition).await?;
        self.end = Some(newest.end);
        Ok(Changes::Snapshot(newest.records))
    }
}
