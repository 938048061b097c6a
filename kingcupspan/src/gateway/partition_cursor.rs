//! Reads a compacted partition, which retains the newest record of each key.
//!
//! A read that fails in between keeps what it has received, and the next one goes on from there:
//! a partition that is larger than what passes in time is read in several attempts.

use kingcupspan_platform::store::{Partition, Record};

use crate::gateway::store::{Read, ResponseSize, Store, StoreFailure};

/// Read position in a partition.
#[derive(Debug, Default)]
pub struct PartitionCursor {
    next_offset: Option<u64>,

    /// Snapshot that is not complete yet.
    listing: Listing,
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

/// The newest record of each key, as far as they have been listed.
#[derive(Debug, Default)]
pub struct Listing {
    /// The newest record of each key.
    pub records: Vec<Record>,

    /// Offset from which a read returns every record that is newer than the list; `None` before
    /// the first page.
    pub end: Option<u64>,

    /// Key of the last record of the last page.
    last_key: Option<String>,
}

impl Listing {
    /// Lists the pages that are missing; none if the topic does not exist yet.
    pub async fn complete(
        &mut self,
        store: &Store,
        partition: Partition<'_>,
        size: ResponseSize,
    ) -> Result<(), StoreFailure> {
        loop {
            let page = store
                .page(partition, self.last_key.as_deref(), size)
                .await?;
            self.end.get_or_insert(page.end);
            self.records.extend(page.records);
            // Without a key to continue behind, the first page would be returned again.
            self.last_key = page.last_key;
            if !page.has_more || self.last_key.is_none() {
                return Ok(());
            }
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
        *self = Self::default();
    }

    /// Reads the records after the cursor to the end of the partition and passes them to `apply`.
    ///
    /// They come as a snapshot on the first read and when records were deleted before they
    /// were read. Records that were passed on before an error are not read again.
    pub async fn advance(
        &mut self,
        store: &Store,
        partition: Partition<'_>,
        mut apply: impl FnMut(Changes),
    ) -> Result<(), StoreFailure> {
        if let Some(offset) = self.next_offset
            && self
                .read_appended(store, partition, offset, &mut apply)
                .await?
        {
            return Ok(());
        }
        self.listing
            .complete(store, partition, ResponseSize::Small)
            .await?;
        let listing = std::mem::take(&mut self.listing);
        self.next_offset = listing.end;
        apply(Changes::Snapshot(listing.records));
        Ok(())
    }

    /// Reads the records from `offset` to the end of the partition, in as many calls as their
    /// size needs; returns false if some of them were deleted.
    async fn read_appended(
        &mut self,
        store: &Store,
        partition: Partition<'_>,
        offset: u64,
        apply: &mut impl FnMut(Changes),
    ) -> Result<bool, StoreFailure> {
        let mut next_offset = offset;
        loop {
            let read = store.read(partition, next_offset, ResponseSize::Small);
            let Read::Batch(batch) = read.await? else {
                return Ok(false);
            };
            next_offset += batch.len;
            self.next_offset = Some(next_offset);
            let is_last = batch.len == 0 || next_offset >= batch.end;
            apply(Changes::Appended(batch.records));
            if is_last {
                return Ok(true);
            }
        }
    }
}
