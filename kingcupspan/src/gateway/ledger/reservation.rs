//! Tokens reserved for one turn.

use std::sync::Arc;

use async_std::task;
use kingcupspan_core::gateway::{
    allocation::{AllocationId, Settlement},
    call::ProgramKey,
    stream_origin::StreamRecord,
};

use super::{Ledger, TokenRequest};
use crate::gateway::{
    allocation_homes::AllocationRequest, group_commit::Urgency, store::StoreFailure,
};

/// Tokens reserved for one turn by an allocation in the store, which is settled when the
/// reservation is dropped at the latest.
pub struct Reservation {
    ledger: Arc<Ledger>,
    program: ProgramKey,
    id: AllocationId,
    max_tokens: u64,
    stream: Option<StreamRecord>,
    progress: Progress,

    /// Number of tokens used so far; more than were reserved if the endpoint exceeds its limit.
    pub used: u64,
}

/// Progress of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No call was made that allocates its tokens.
    New,

    /// The store may have its allocation, now or later.
    Requested,

    /// Its allocation is being settled.
    Settling,
}

impl Reservation {
    /// Creates a reservation whose tokens are not allocated yet.
    pub(super) fn new(ledger: Arc<Ledger>, request: &TokenRequest) -> Self {
        let id = ledger.next_allocation_id();
        Self {
            ledger,
            program: request.program.clone(),
            id,
            max_tokens: request.max_tokens,
            stream: request.stream.clone(),
            progress: Progress::New,
            used: 0,
        }
    }

    /// Whether the store may have the allocation.
    pub(super) fn is_requested(&self) -> bool {
        self.progress != Progress::New
    }

    /// Allocates the tokens in the store, through the home of the program's allocations if there is
    /// one; may be repeated after a failure, then by a call of this daemon.
    ///
    /// All allocations of the program together may have `limit` tokens; returns whether a home knows
    /// that they have no more.
    pub(super) async fn allocate(&mut self, limit: u64) -> Result<bool, StoreFailure> {
        let request = AllocationRequest {
            program: self.program.clone(),
            id: self.id.clone(),
            tokens: self.max_tokens,
            limit,
            stream: self.stream.clone(),
        };
        let homes = &self.ledger.homes;
        if self.progress != Progress::New {
            return homes.allocate_here(&request).await.map(|()| false);
        }
        self.ledger
            .note_allocation(&self.program, &self.id, self.max_tokens);
        self.progress = Progress::Requested;
        homes.allocate(&request).await
    }

    /// Settles the allocation with the tokens used; returns once the store has the record.
    pub async fn settle(mut self) {
        if let Some(settled) = self.start_settling(Urgency::Now) {
            settled.await;
        }
    }

    /// What settles the allocation when it is dropped.
    pub fn settlement(&self) -> Settlement {
        Settlement {
            program: self.program.clone(),
            id: self.id.clone(),
            used: self.used.min(self.max_tokens),
        }
    }

    /// Settles the allocation in the background, also if its turn is cancelled; `None` if that
    /// has begun before, or if the store cannot have the allocation.
    fn start_settling(&mut self, urgency: Urgency) -> Option<task::JoinHandle<()>> {
        match self.progress {
            Progress::New | Progress::Settling => return None,
            Progress::Requested => self.progress = Progress::Settling,
        }
        let ledger = Arc::clone(&self.ledger);
        ledger.note_ended(&self.program, &self.id);
        let mut settlement = self.settlement();
        let exceeding = self.used - settlement.used;
        Some(task::spawn(async move {
            ledger.settle(&settlement, urgency).await;
            if exceeding > 0 {
                settlement.id = ledger.next_allocation_id();
                settlement.used = exceeding;
                ledger.settle(&settlement, urgency).await;
            }
        }))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.start_settling(Urgency::Lazy);
    }
}
