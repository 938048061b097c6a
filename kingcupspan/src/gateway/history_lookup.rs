//! Looks up the turns that precede a turn.

use std::{collections::HashSet, sync::Arc};

use async_std::task;
use kingcupspan_core::gateway::{call::RequestId, history::Turn};

use crate::gateway::{
    partitions::{PartitionId, Partitions},
    peers::{PeerRequest, PeerResponse, Peers},
    store::StoreFailure,
};

/// Error returned when a chain of turns cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The last turn does not exist: the store was read after the lookup began and
    /// does not contain it.
    #[error("turn {0} does not exist")]
    Unknown(RequestId),

    /// The store cannot be read.
    #[error(transparent)]
    StoreUnavailable(#[from] StoreFailure),

    /// The last turn was found, but one of its ancestors was not.
    #[error("ancestor turn {0} not found")]
    Broken(RequestId),
}

/// Part of a partition that is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// Records appended since the last read.
    New,

    /// All records, because a turn may have been read before and evicted from memory.
    All,
}

/// Loads the chain of turns that ends with `last` from memory, the store or the
/// memory of peers.
///
/// A turn is in the store before its answer ends, so one that the store lacks is unknown,
/// whatever daemons may have forgotten.
pub async fn load_chain(
    partitions: &Arc<Partitions>,
    peers: &Arc<Peers>,
    last: &RequestId,
) -> Result<Vec<Arc<Turn>>, HistoryError> {
    if partitions.is_store_slow() {
        load_from_peers(partitions, peers, last).await;
    }
    let from_store = load_from_store(partitions, last).await;
    match from_store {
        Ok(_) | Err(HistoryError::Unknown(_)) => from_store,
        Err(_) => {
            load_from_peers(partitions, peers, last).await;
            partitions.chain(last).or(from_store)
        }
    }
}

/// Loads the turns that are missing from the chain that ends with `last` from the memory
/// of peers.
async fn load_from_peers(partitions: &Arc<Partitions>, peers: &Arc<Peers>, last: &RequestId) {
    let mut requested = Vec::new();
    while let Err(missing) = partitions.chain(last)
        && missing != requested
    {
        fetch_from_peers(partitions, peers, &missing).await;
        requested = missing;
    }
}

/// Fetches turns from the memory of peers.
async fn fetch_from_peers(partitions: &Partitions, peers: &Arc<Peers>, missing: &[RequestId]) {
    let request = PeerRequest::Find(missing.to_vec());
    for (_, response) in peers.send_all(peers.others(), &request).await {
        let Ok(PeerResponse::Found(turns)) = response else {
            continue;
        };
        for (id, turn) in turns {
            partitions.cache_turn(id, Arc::new(turn));
        }
    }
}

/// Loads the chain of turns that ends with `last` from memory or the store.
async fn load_from_store(
    partitions: &Arc<Partitions>,
    last: &RequestId,
) -> Result<Vec<Arc<Turn>>, HistoryError> {
    // The first read of each extent finds the turn, which names its ancestors; the
    // second one finds the ancestors.
    for extent in [Extent::New, Extent::New, Extent::All, Extent::All] {
        match partitions.chain(last) {
            Ok(chain) => return Ok(chain),
            Err(missing) => read_partitions(partitions, &missing, extent).await?,
        }
    }
    match partitions.chain(last) {
        Ok(chain) => Ok(chain),
        Err(missing) if missing.first() == Some(last) => Err(HistoryError::Unknown(last.clone())),
        Err(mut missing) => Err(HistoryError::Broken(missing.remove(0))),
    }
}

/// Reads the partitions that hold the given turns, concurrently.
async fn read_partitions(
    partitions: &Arc<Partitions>,
    turns: &[RequestId],
    extent: Extent,
) -> Result<(), StoreFailure> {
    let ids: HashSet<PartitionId> = turns
        .iter()
        .map(|id| partitions.partition_of_turn(id))
        .collect();
    let reads: Vec<_> = ids
        .into_iter()
        .map(|id| {
            let partitions = Arc::clone(partitions);
            task::spawn(async move {
                match extent {
                    Extent::New => partitions.refresh(id).await,
                    Extent::All => partitions.reload(id).await,
                }
            })
        })
        .collect();
    for read in reads {
        read.await?;
    }
    Ok(())
}
