//! Reader of a slot's stream that can start at a snapshot when the beginning
//! has expired.

use crate::{
    id::Offset,
    record::{Batch, Entry, Record},
    slot::{Applied, SlotState},
};

/// Reader of a slot's stream, possibly starting in the middle.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reader {
    /// The beginning of the stream has expired, and the reader is waiting for a
    /// snapshot.
    AwaitingSnapshot {
        /// Epochs that are known to have been replaced by a later claim.
        replaced: Vec<Offset>,

        /// Newest epoch for which records have been read.
        newest: Option<Offset>,
    },

    /// The reader has the complete state.
    Complete(SlotState),
}

impl Reader {
    /// Creates a reader that starts at `oldest`, the first record that the log
    /// still has.
    pub fn new(oldest: Offset) -> Self {
        match oldest {
            Offset(0) => Self::Complete(SlotState::default()),
            _ => Self::waiting(),
        }
    }

    /// Creates a reader that waits for a snapshot.
    fn waiting() -> Self {
        Self::AwaitingSnapshot {
            replaced: Vec::new(),
            newest: None,
        }
    }

    /// Returns the state, once it is complete.
    pub fn state(&self) -> Option<&SlotState> {
        match self {
            Self::Complete(state) => Some(state),
            Self::AwaitingSnapshot { .. } => None,
        }
    }

    /// Applies the batch at `offset`.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Applied {
        match self {
            Self::Complete(state) => {
                let applied = state.apply(offset, batch);
                if applied == Applied::Stale {
                    *self = Self::waiting();
                    self.scan_for_snapshot(batch);
                }
                applied
            }
            Self::AwaitingSnapshot { .. } => {
                self.scan_for_snapshot(batch);
                Applied::Ignored
            }
        }
    }

    /// Starts from the empty state if no usable snapshot was found up to the
    /// end of the stream.
    pub fn start_from_empty(&mut self) {
        if matches!(self, Self::AwaitingSnapshot { .. }) {
            *self = Self::Complete(SlotState::default());
        }
    }

    /// Switches to the complete state if the batch contains a snapshot of an
    /// owner that is not known to have been replaced.
    fn scan_for_snapshot(&mut self, batch: &Batch) {
        let Self::AwaitingSnapshot { replaced, newest } = self else {
            return;
        };
        match batch {
            Batch::Claim { prev, .. } => replaced.extend(prev),
            Batch::Owned { epoch, entries, .. } => {
                let is_fenced = replaced.contains(epoch) || newest.is_some_and(|n| n > *epoch);
                if is_fenced {
                    return;
                }
                *newest = Some(*epoch);
                if let Some(state) = from_snapshot(entries) {
                    *self = Self::Complete(state);
                }
            }
        }
    }
}

/// Returns the state of the last snapshot among `entries` with all later
/// entries applied.
fn from_snapshot(entries: &[Entry]) -> Option<SlotState> {
    let position = entries
        .iter()
        .rposition(|e| matches!(e.record, Record::Snapshot(_)))?;
    let (snapshot, rest) = entries[position..].split_first()?;
    let Record::Snapshot(state) = &snapshot.record else {
        return None;
    };
    let mut state = SlotState::clone(state);
    if let Some(claim) = &mut state.claim {
        claim.last_seq = snapshot.seq;
    }
    state.apply_current(rest);
    Some(state)
}
