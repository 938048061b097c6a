//! Fragments of encoded turns that do not fit into one record of the store.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::history::serde_bytes_vec,
    id::{MonoMs, WallMs},
};

/// One of the fragments of an encoded turn, which are stored in any order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Key of the turn in the store.
    pub turn_key: String,

    /// Position of the fragment, from 0.
    pub index: u32,

    /// Number of fragments of the turn.
    pub count: u32,

    /// How long the turn must be kept after it was answered.
    pub retention: Duration,

    /// Time at which the turn was stored.
    pub written: WallMs,

    /// Bytes of the encoded turn.
    #[serde(with = "serde_bytes_vec")]
    pub bytes: Vec<u8>,
}

impl Fragment {
    /// Splits an encoded turn into fragments of at most `max_bytes` bytes.
    pub fn split(
        turn_key: &str,
        retention: Duration,
        written: WallMs,
        encoded: &[u8],
        max_bytes: usize,
    ) -> Vec<Self> {
        let pieces = encoded.chunks(max_bytes.max(1));
        let count = pieces.len() as u32;
        (0..count)
            .zip(pieces)
            .map(|(index, bytes)| Self {
                turn_key: turn_key.to_owned(),
                index,
                count,
                retention,
                written,
                bytes: bytes.to_vec(),
            })
            .collect()
    }
}

/// Fragments of a turn of which others have not been read yet.
#[derive(Debug)]
struct IncompleteTurn {
    /// Bytes of the fragments by their position.
    pieces: BTreeMap<u32, Vec<u8>>,

    /// Time at which the last fragment was read.
    last_read: MonoMs,
}

/// Joins fragments that are read from the store in any order, repeatedly or not at all.
#[derive(Debug, Default)]
pub struct Assembler(HashMap<String, IncompleteTurn>);

impl Assembler {
    /// Adds a fragment read at `now`; returns the encoded turn once all fragments of it
    /// were added.
    pub fn add(&mut self, fragment: Fragment, now: MonoMs) -> Option<Vec<u8>> {
        let key = fragment.turn_key;
        let incomplete = self.0.entry(key.clone()).or_insert(IncompleteTurn {
            pieces: BTreeMap::new(),
            last_read: now,
        });
        incomplete.last_read = now;
        incomplete.pieces.insert(fragment.index, fragment.bytes);
        if incomplete.pieces.len() < fragment.count as usize {
            return None;
        }
        let complete = self.0.remove(&key)?;
        Some(complete.pieces.into_values().flatten().collect())
    }

    /// Removes incomplete turns of which no fragment was read since `before`.
    pub fn expire(&mut self, before: MonoMs) {
        self.0.retain(|_, turn| turn.last_read >= before);
    }
}
