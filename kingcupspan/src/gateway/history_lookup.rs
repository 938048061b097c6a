//! Finds the turns before a turn.

use std::{collections::HashSet, sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_core::gateway::{call::RequestId, history::Turn};

use crate::gateway::{
    partitions::{PartitionId, Partitions},
    peers::{PeerRequest, PeerResponse, Peers},
    store::StoreFailure,
};

/// Why the turns before a turn are not there.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The store, read after the question, does not hold this turn.
    #[error("no turn {0}")]
    Unknown(RequestId),

    /// The store cannot be read.
    #[error(transparent)]
    StoreUnavailable(#[from] StoreFailure),

    /// The store does not hold this turn, but a copy may be out of reach.
    #[error("turn {0} is not found")]
    PossiblyLost(RequestId),

    /// The turn is there, one before it is not.
    #[error("the chain lacks {0}")]
    Broken(RequestId),
}

/// How much of a partition is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// What has come since the last time.
    New,

    /// Everything: a turn may have been read and dropped from memory since.
    All,
}

/// The chain that ends with `last`, from memory, the store or peers' memory.
///
/// A turn counts as unknown only if no copy of it can have been lost within
/// `retention`: every daemon answers and has run for that long.
pub async fn load_chain(
    partitions: &Arc<Partitions>,
    peers: &Arc<Peers>,
    last: &RequestId,
    retention: Duration,
) -> Result<Vec<Arc<Turn>>, HistoryError> {
    let from_store = stored_chain(partitions, last).await;
    if from_store.is_ok() {
        return from_store;
    }
    let mut all_answered = true;
    let mut asked = Vec::new();
    while let Err(missing) = partitions.chain(last)
        && missing != asked
    {
        all_answered = ask(partitions, peers, &missing).await;
        asked = missing;
    }
    let found = partitions.chain(last).or(from_store);
    match found {
        Err(HistoryError::Unknown(id))
            if !all_answered || peers.recent_starts(retention).daemons > 0 =>
        {
            Err(HistoryError::PossiblyLost(id))
        }
        found => found,
    }
}

/// Looks for turns in the memory of peers, which may hold copies that the store
/// lacks; false if not all peers answered.
async fn ask(partitions: &Partitions, peers: &Arc<Peers>, missing: &[RequestId]) -> bool {
    let mut all_answered = true;
    for (_, told) in peers
        .send_all(peers.others(), &PeerRequest::Find(missing.to_vec()))
        .await
    {
        let Ok(PeerResponse::Found(turns)) = told else {
            all_answered = false;
            continue;
        };
        for (id, turn) in turns {
            partitions.cache_turn(id, Arc::new(turn));
        }
    }
    all_answered
}

async fn stored_chain(
    partitions: &Arc<Partitions>,
    last: &RequestId,
) -> Result<Vec<Arc<Turn>>, HistoryError> {
    // First the turn itself, which names those before it, then those.
    for extent in [Extent::New, Extent::New, Extent::All, Extent::All] {
        match partitions.chain(last) {
            Ok(chain) => return Ok(chain),
            Err(missing) => read(partitions, &missing, extent).await?,
        }
    }
    match partitions.chain(last) {
        Ok(chain) => Ok(chain),
        Err(missing) if missing.first() == Some(last) => Err(HistoryError::Unknown(last.clone())),
        Err(mut missing) => Err(HistoryError::Broken(missing.remove(0))),
    }
}

async fn read(
    partitions: &Arc<Partitions>,
    turns: &[RequestId],
    extent: Extent,
) -> Result<(), StoreFailure> {
    let places: HashSet<PartitionId> = turns
        .iter()
        .map(|id| partitions.partition_of_turn(id))
        .collect();
    let reads: Vec<_> = places
        .into_iter()
        .map(|place| {
            let partitions = Arc::clone(partitions);
            task::spawn(async move {
                match extent {
                    Extent::New => partitions.refresh(place).await,
                    Extent::All => partitions.reload(place).await,
                }
            })
        })
        .collect();
    for read in reads {
        read.await?;
    }
    Ok(())
}
