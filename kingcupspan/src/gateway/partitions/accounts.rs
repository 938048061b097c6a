//! Allocations that other daemons have read or made for this one.

use std::time::Duration;

use kingcupspan_core::gateway::{
    allocation::{AllocationId, Settlement},
    call::ProgramKey,
};

use super::{ALLOCATION_TOPIC, PartitionId, Partitions};
use crate::gateway::{
    allocation_homes::ProgramAllocations,
    store::StoreFailure,
    stored_record::{self, StoredRecord},
};

impl Partitions {
    /// Number of partitions of a topic.
    pub fn partitions_per_topic(&self) -> u32 {
        self.partitions_per_topic
    }

    /// Sets the shortest time between two calls of this daemon in a partition of allocations.
    pub fn set_call_spacing(&self, spacing: Duration) {
        self.group_commit.set_spacing(spacing);
    }

    /// Counts with an allocation that another daemon has recorded.
    pub fn note_allocation(&self, program: &ProgramKey, id: &AllocationId, tokens: u64) {
        self.apply(StoredRecord::Allocation(
            program.clone(),
            id.clone(),
            tokens,
        ));
    }

    /// Counts with the use of an allocation that another daemon records.
    pub fn note_settlement(&self, settlement: &Settlement) {
        let (_, settled) = stored_record::settlement(settlement);
        self.apply(settled);
    }

    /// Counts with allocations of a program that another daemon has read.
    pub fn merge_allocations(&self, program: &ProgramKey, allocations: ProgramAllocations) {
        for (daemon, allocations) in allocations {
            for (made_at, tokens) in allocations {
                let daemon = daemon.clone();
                self.note_allocation(program, &AllocationId { daemon, made_at }, tokens);
            }
        }
    }

    /// Reads the allocations of a partition that were recorded since the last read.
    pub async fn refresh_allocations(&self, number: u32) -> Result<(), StoreFailure> {
        self.refresh(allocation_partition(number)).await
    }

    /// Whether the allocations of a partition were read completely within `span`.
    pub fn has_read_allocations_within(&self, number: u32, span: Duration) -> bool {
        let last_reads = self.last_reads.lock();
        let last_read = last_reads.get(&allocation_partition(number));
        last_read.is_some_and(|at| *at >= self.clock.before(span))
    }

    /// Forgets a partition that was not read within `span`; its next read returns all records.
    pub async fn forget_allocations(&self, number: u32, span: Duration) {
        let id = allocation_partition(number);
        let has_read = self.last_reads.lock().contains_key(&id);
        if !has_read || self.has_read_allocations_within(number, span) {
            return;
        }
        let mut cursor = self.cursor(id).lock_arc().await;
        cursor.reset();
        self.last_reads.lock().remove(&id);
    }
}

/// Partition of the topic that holds allocations.
fn allocation_partition(number: u32) -> PartitionId {
    PartitionId {
        topic_index: ALLOCATION_TOPIC,
        number,
    }
}
