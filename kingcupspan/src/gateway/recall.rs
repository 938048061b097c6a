//! Finds the turns before a turn.

use std::{collections::HashSet, sync::Arc};

use async_std::task;
use kingcupspan_core::gateway::{call::RequestId, history::Turn};

use crate::gateway::{
    partitions::{Partitions, Place},
    store::StoreFailure,
};

/// Why the turns before a turn are not there.
#[derive(Debug, thiserror::Error)]
pub enum RecallError {
    /// The store, read after the question, does not hold this turn.
    #[error("no turn {0}")]
    Unknown(RequestId),

    /// The store cannot be read.
    #[error(transparent)]
    Unreadable(#[from] StoreFailure),

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

/// The chain that ends with `last`, from memory or from the store.
pub async fn chain(
    partitions: &Arc<Partitions>,
    last: &RequestId,
) -> Result<Vec<Arc<Turn>>, RecallError> {
    // First the turn itself, which names those before it, then those.
    for extent in [Extent::New, Extent::New, Extent::All, Extent::All] {
        match partitions.chain(last) {
            Ok(chain) => return Ok(chain),
            Err(missing) => read(partitions, &missing, extent).await?,
        }
    }
    match partitions.chain(last) {
        Ok(chain) => Ok(chain),
        Err(missing) if missing.first() == Some(last) => Err(RecallError::Unknown(last.clone())),
        Err(mut missing) => Err(RecallError::Broken(missing.remove(0))),
    }
}

async fn read(
    partitions: &Arc<Partitions>,
    turns: &[RequestId],
    extent: Extent,
) -> Result<(), StoreFailure> {
    let places: HashSet<Place> = turns.iter().map(|id| partitions.place_of_turn(id)).collect();
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
