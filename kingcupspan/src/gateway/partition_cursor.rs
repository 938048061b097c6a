//! Reads a compacted partition, which retains the newest record of each key.

use kingcupspan_platform::store::{Partition, Record};

use crate::gateway::store::{Read, ResponseSize, Store, StoreFailure};

/// Read position in a partition.
#[derive(Debug, Default)]
pub struct PartitionCursor {
    next_offset: Option<u64>,
}

/// Records returned by a read.
#[derive(Debug)]
pub enum Changes {
    /// The newest record of every key; keys that are not among them do not exist any more.
    Snapshot(Vec<Record>),

    /// Records appended since the last read.
    Appended(Vec<Record>),
}

impl Changes {
    /// Records of either variant.
    pub fn records(&self) -> &[Record] {
        match self {
            Self::Snapshot(records) | Self::Appended(records) => records,
        }
    }
}

impl PartitionCursor {
    /// Offset of the next record to read; `None` before the first read.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Moves the cursor to `offset`, past records whose content is already known.
    pub fn skip_to(&mut self, offset: u64) {
        self.next_offset = Some(offset);
    }

    /// Makes the next read return a snapshot.
    pub fn reset(&mut self) {
        self.next_offset = None;
    }

    /// Reads the records after the cursor.
    ///
    /// Returns a snapshot on the first read and when records were deleted before they
    /// were read.
    pub async fn advance(
        &mut self,
        store: &Store,
        partition: Partition<'_>,
    ) -> Result<Changes, StoreFailure> {
        if let Some(offset) = self.next_offset
            && let Some(records) = self.read_appended(store, partition, offset).await?
        {
            return Ok(Changes::Appended(records));
        }
        let newest = store.newest(partition, ResponseSize::Small).await?;
        self.next_offset = Some(newest.end);
        Ok(Changes::Snapshot(newest.records))
    }

    /// Reads the records from `offset` to the end of the partition, in as many calls as their
    /// size needs; `None` if some of them were deleted.
    async fn read_appended(
        &mut self,
        store: &Store,
        partition: Partition<'_>,
        offset: u64,
    ) -> Result<Option<Vec<Record>>, StoreFailure> {
        let mut next_offset = offset;
        let mut records = Vec::new();
        loop {
            let read = store.read(partition, next_offset, ResponseSize::Small);
            let Read::Batch(batch) = read.await? else {
                return Ok(None);
            };
            next_offset += batch.len;
            records.extend(batch.records);
            if batch.len == 0 || next_offset >= batch.end {
                break;
            }
        }
        self.next_offset = Some(next_offset);
        Ok(Some(records))
    }
}
