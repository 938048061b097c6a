//! Records of where streams were begun.
//!
//! They lie in the partition that holds the allocations of the stream's program, so that one call
//! records both, and whoever serves the program finds them.

use kingcupspan_core::gateway::{
    allocation::AllocationId,
    call::{ProgramKey, RequestId},
    incarnation::Incarnation,
    stream_origin::{Knowledge, StreamName, StreamRecord},
};

use super::Partitions;
use crate::gateway::{group_commit::Urgency, store::StoreFailure, stored_record};

/// Number of records of streams that the store keeps for each VM in a partition; a VM has fewer
/// streams in flight.
const PLACES: u32 = 32;

impl Partitions {
    /// Returns the place in the store for the record of a stream that this daemon begins.
    pub fn next_stream_place(&self, key: &ProgramKey) -> u32 {
        let partition = self.partition_of_program(key).number;
        let mut counts = self.recorded_streams.lock();
        let count = counts.entry(partition).or_default();
        *count = count.wrapping_add(1);
        *count % PLACES
    }

    /// Records where a stream is begun; returns once every daemon can read it.
    pub async fn record_stream(
        &self,
        key: &ProgramKey,
        id: &AllocationId,
        stream: &StreamRecord,
    ) -> Result<(), StoreFailure> {
        let (record, content) = stored_record::stream(key.clone(), id.clone(), stream.clone());
        self.apply(content);
        let partition = self.partition_of_program(key);
        let append = self
            .group_commit
            .append(partition, vec![record], Urgency::Now);
        append.await.map(|_| ())
    }

    /// Counts with the record of a stream that another daemon has written.
    pub fn note_stream(&self, id: AllocationId, stream: StreamRecord) {
        self.streams.lock().insert(id, stream, self.clock.wall());
    }

    /// Returns where a stream was begun, by the records read so far.
    pub fn stream_origin(&self, name: &StreamName) -> Knowledge {
        self.streams.lock().find(name)
    }

    /// Returns where an attempt has begun a stream through a daemon, by the records read so far.
    pub fn stream_begun_by(&self, daemon: &Incarnation, attempt: &RequestId) -> Knowledge {
        self.streams.lock().find_begun_by(daemon, attempt)
    }
}
