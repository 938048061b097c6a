//! Reads a compacted partition, which retains the newest record of each key.
//!
//! Pages of the newest records are no snapshot: a record whose page is still to come may be
//! deleted while another one is appended under a key that was passed. So the records that were
//! appended since the first page are read as well, before a listing counts as complete.
//!
//! A read that fails in between keeps what it has received, and the next one goes on from there:
//! a partition that is larger than what passes in time is read in several attempts.

use std::collections::BTreeMap;

use kingcupspan_platform::store::{Partition, Record};

use crate::gateway::store::{Read, ResponseSize, Store, StoreFailure};

/// Read position in a partition.
#[derive(Debug, Default)]
pub struct PartitionCursor {
    /// Offset of the next record; `None` while a listing is not complete.
    next_offset: Option<u64>,

    /// Snapshot that is not complete yet.
    listing: Listing,
}

/// Records returned by a read.
#[derive(Debug)]
pub enum Changes {
    /// The newest record of every key at the end of the read; keys that are not among them do not
    /// exist any more, and those without a value were deleted during the read.
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
    /// The newest record of each key; without a value if the key was deleted meanwhile.
    newest: BTreeMap<String, Option<Vec<u8>>>,

    /// Key of the last record of the last page.
    last_key: Option<String>,

    /// Whether pages are missing.
    progress: Progress,
}

/// How far a partition has been listed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Progress {
    /// No page was received.
    #[default]
    New,

    /// Some pages were received, the first one when the partition had this end.
    Pages { first_end: u64 },

    /// All pages and the records before this offset were received.
    Appended { next_offset: u64 },
}

/// The newest record of every key at one moment.
#[derive(Debug)]
pub struct Snapshot {
    /// The records; those without a value were deleted while the partition was listed.
    pub records: Vec<Record>,

    /// Offset of the first record that is not part of the snapshot.
    pub end: u64,
}

impl Listing {
    /// Lists what is missing; nothing if the topic does not exist yet.
    ///
    /// After an error the next call goes on from what was received.
    pub async fn complete(
        &mut self,
        store: &Store,
        partition: Partition<'_>,
        size: ResponseSize,
    ) -> Result<Snapshot, StoreFailure> {
        loop {
            let is_first_call = self.progress == Progress::New;
            let (offset, pages) = self.list_pages(store, partition, size).await?;
            if is_first_call && pages == 1 {
                // A single page is a snapshot by itself.
                return Ok(std::mem::take(self).into_snapshot(offset));
            }
            if let Some(end) = self.read_appended(store, partition, size, offset).await? {
                return Ok(std::mem::take(self).into_snapshot(end));
            }
            // Some of the records that the pages may lack were deleted.
            *self = Self::default();
        }
    }

    /// Lists the pages that are missing; returns the offset from which records are missing, and the
    /// number of pages listed.
    async fn list_pages(
        &mut self,
        store: &Store,
        partition: Partition<'_>,
        size: ResponseSize,
    ) -> Result<(u64, usize), StoreFailure> {
        let mut pages = 0;
        loop {
            let known_end = match self.progress {
                Progress::New => None,
                Progress::Pages { first_end } => Some(first_end),
                Progress::Appended { next_offset } => return Ok((next_offset, pages)),
            };
            let page = store
                .page(partition, self.last_key.as_deref(), size)
                .await?;
            pages += 1;
            self.add(page.records);
            let first_end = known_end.unwrap_or(page.end);
            // Without a key to continue behind, the first page would be returned again.
            self.last_key = page.last_key;
            self.progress = match page.has_more && self.last_key.is_some() {
                true => Progress::Pages { first_end },
                false => Progress::Appended {
                    next_offset: first_end,
                },
            };
        }
    }

    /// Reads the records from `offset` on; returns the offset behind them, or `None` if some of
    /// them were deleted.
    async fn read_appended(
        &mut self,
        store: &Store,
        partition: Partition<'_>,
        size: ResponseSize,
        offset: u64,
    ) -> Result<Option<u64>, StoreFailure> {
        // A topic that did not exist may not exist yet.
        if offset == 0 {
            return Ok(Some(offset));
        }
        let mut next_offset = offset;
        let is_whole = read_to_end(store, partition, size, offset, |records, next| {
            self.add(records);
            self.progress = Progress::Appended { next_offset: next };
            next_offset = next;
        });
        Ok(is_whole.await?.then_some(next_offset))
    }

    /// Adds records that are newer than those of their keys.
    fn add(&mut self, records: Vec<Record>) {
        let entries = records.into_iter().map(|r| (r.key, r.value));
        self.newest.extend(entries);
    }

    /// The records that were listed.
    fn into_snapshot(self, end: u64) -> Snapshot {
        let entries = self.newest.into_iter();
        Snapshot {
            records: entries.map(|(key, value)| Record { key, value }).collect(),
            end,
        }
    }
}

impl PartitionCursor {
    /// Offset of the next record to read: all records before it were passed on. `None` before the
    /// first read, and while a snapshot is incomplete.
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
        if let Some(offset) = self.next_offset {
            let size = ResponseSize::Small;
            let appended = read_to_end(store, partition, size, offset, |records, next_offset| {
                self.next_offset = Some(next_offset);
                apply(Changes::Appended(records));
            });
            if appended.await? {
                return Ok(());
            }
        }
        self.next_offset = None;
        let snapshot = self
            .listing
            .complete(store, partition, ResponseSize::Small)
            .await?;
        self.next_offset = Some(snapshot.end);
        apply(Changes::Snapshot(snapshot.records));
        Ok(())
    }
}

/// Reads the records from `offset` to the end of the partition, in as many calls as their size
/// needs, and passes those of each call to `apply` with the offset behind them; returns false if
/// some of them were deleted.
async fn read_to_end(
    store: &Store,
    partition: Partition<'_>,
    size: ResponseSize,
    offset: u64,
    mut apply: impl FnMut(Vec<Record>, u64),
) -> Result<bool, StoreFailure> {
    let mut next_offset = offset;
    loop {
        let Read::Batch(batch) = store.read(partition, next_offset, size).await? else {
            return Ok(false);
        };
        next_offset += batch.len;
        apply(batch.records, next_offset);
        if batch.len == 0 || next_offset >= batch.end {
            return Ok(true);
        }
    }
}
