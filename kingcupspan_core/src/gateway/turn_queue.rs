//! Turns that wait to be written to the store.
//!
//! A turn exists from the end of its answer on, and an answer ends only when the store has
//! acknowledged its turn. A turn whose caller has left before that exists nowhere, so it is
//! dropped unless a call has taken it already.

use std::collections::VecDeque;

/// Turns of one partition that wait to be written, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TurnQueue<T> {
    waiting: VecDeque<T>,

    /// Number of turns in the call in flight.
    in_flight: usize,
}

impl<T> Default for TurnQueue<T> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            in_flight: 0,
        }
    }
}

impl<T> TurnQueue<T> {
    /// Adds a turn whose answer is complete but for its end.
    pub fn push(&mut self, turn: T) {
        self.waiting.push_back(turn);
    }

    /// Takes up to `max` turns for the next call, without those that nobody waits for.
    pub fn next_batch(&mut self, max: usize, is_awaited: impl Fn(&T) -> bool) -> Vec<T> {
        self.waiting.retain(is_awaited);
        self.in_flight = self.waiting.len().min(max);
        self.waiting.drain(..self.in_flight).collect()
    }

    /// Returns the turns of a call that the store has acknowledged: their answers may end.
    pub fn acknowledged(&mut self, batch: Vec<T>) -> Vec<T> {
        self.in_flight = 0;
        batch
    }

    /// Puts the turns of a failed call back. The store may have executed the call, so the
    /// turns are written again.
    pub fn failed(&mut self, batch: Vec<T>) {
        self.in_flight = 0;
        batch
            .into_iter()
            .rev()
            .for_each(|t| self.waiting.push_front(t));
    }

    /// Number of turns that are not known to be in the store.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.in_flight
    }

    /// Whether no turn waits or is being written.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
