//! A reader of a slot's stream that may begin in its middle.

use crate::{
    id::Offset,
    record::{Batch, Entry, Record},
    slot::{Applied, SlotState},
};

/// A reader of a slot's stream, possibly from the middle.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reader {
    /// The beginning is gone: a snapshot is awaited.
    AwaitingSnapshot {
        /// Epochs that a later claim has replaced, as far as was seen.
        replaced: Vec<Offset>,

        /// The newest epoch under which records were seen.
        newest: Option<Offset>,
    },

    /// The state is whole.
    Complete(SlotState),
}

impl Reader {
    /// A reader from the first record that the log keeps.
    pub fn new(oldest: Offset) -> Self {
        match oldest {
            Offset(0) => Self::Complete(SlotState::default()),
            _ => Self::waiting(),
        }
    }

    fn waiting() -> Self {
        Self::AwaitingSnapshot {
            replaced: Vec::new(),
            newest: None,
        }
    }

    /// The state, once it is whole.
    pub fn state(&self) -> Option<&SlotState> {
        match self {
            Self::Complete(state) => Some(state),
            Self::AwaitingSnapshot { .. } => None,
        }
    }

    /// Folds the batch at `offset`.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Applied {
        match self {
            Self::Complete(state) => {
                let applied = state.apply(offset, batch);
                if applied == Applied::Stale {
                    *self = Self::waiting();
                    self.look_for_snapshot(batch);
                }
                applied
            }
            Self::AwaitingSnapshot { .. } => {
                self.look_for_snapshot(batch);
                Applied::Ignored
            }
        }
    }

    /// Starts from empty when the whole kept stream held no usable snapshot.
    pub fn start_from_empty(&mut self) {
        if matches!(self, Self::AwaitingSnapshot { .. }) {
            *self = Self::Complete(SlotState::default());
        }
    }

    fn look_for_snapshot(&mut self, batch: &Batch) {
        let Self::AwaitingSnapshot { replaced, newest } = self else {
            return;
        };
        match batch {
            Batch::Claim { prev, .. } => replaced.extend(prev),
            Batch::Owned { epoch, entries, .. } => {
                let fenced = replaced.contains(epoch) || newest.is_some_and(|n| n > *epoch);
                if fenced {
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

fn from_snapshot(entries: &[Entry]) -> Option<SlotState> {
    let at = entries
        .iter()
        .rposition(|e| matches!(e.record, Record::Snapshot(_)))?;
    let (snapshot, rest) = entries[at..].split_first()?;
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
