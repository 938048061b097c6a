//! Completed turns, and the prompts that are built from them.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::gateway::call::{ProgramKey, RequestId};

/// A turn that was answered completely.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Program that the turn belongs to.
    pub program: ProgramKey,

    /// How long the turn must be kept after it was answered.
    #[serde(rename = "keep_for")]
    pub retention: Duration,

    /// All turns that this turn continues from, oldest first, so that a reader of this
    /// turn can look them up directly.
    pub ancestors: Vec<RequestId>,

    /// Request body sent by the caller.
    #[serde(with = "serde_bytes_vec")]
    pub input: Vec<u8>,

    /// Data of each event of the response stream, each followed by a line feed.
    #[serde(with = "serde_bytes_vec")]
    pub output: Vec<u8>,
}

/// Serialization of bytes as one MessagePack binary instead of a list of numbers.
pub(crate) mod serde_bytes_vec {
    use serde::{Deserializer, Serializer, de};

    pub fn serialize<S: Serializer>(bytes: &[u8], s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        struct Visitor;

        impl<'de> de::Visitor<'de> for Visitor {
            type Value = Vec<u8>;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("bytes")
            }

            fn visit_bytes<E: de::Error>(self, v: &[u8]) -> Result<Vec<u8>, E> {
                Ok(v.to_vec())
            }

            fn visit_byte_buf<E: de::Error>(self, v: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(v)
            }

            fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<u8>, A::Error> {
                let mut bytes = Vec::new();
                while let Some(byte) = seq.next_element()? {
                    bytes.push(byte);
                }
                Ok(bytes)
            }
        }

        d.deserialize_byte_buf(Visitor)
    }
}

impl Turn {
    /// Returns the number of bytes of the input and output.
    pub fn size_bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// In-memory cache of turns, which evicts the oldest first; the store holds all turns.
#[derive(Debug)]
pub struct TurnCache {
    turns: HashMap<RequestId, Arc<Turn>>,

    /// The cached turns in the order in which they were inserted.
    order: VecDeque<RequestId>,

    /// Total size of the cached turns.
    bytes: usize,

    max_bytes: usize,
}

impl TurnCache {
    /// Creates an empty cache for at most `max_bytes` bytes of turns.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            turns: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Adds or replaces a turn, and evicts the oldest turns if the cache is too large.
    pub fn insert(&mut self, id: RequestId, turn: Arc<Turn>) {
        self.bytes += turn.size_bytes();
        if let Some(previous) = self.turns.insert(id.clone(), turn) {
            self.bytes -= previous.size_bytes();
        } else {
            self.order.push_back(id);
        }
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(turn) = self.turns.remove(&oldest) {
                self.bytes -= turn.size_bytes();
            }
        }
    }

    /// Returns a cached turn.
    pub fn get(&self, id: &RequestId) -> Option<&Arc<Turn>> {
        self.turns.get(id)
    }

    /// Returns the number of cached turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether the cache holds no turns.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Returns the chain of turns that ends with `last`, oldest first.
    ///
    /// # Errors
    ///
    /// Returns the turns of the chain that are known to be missing from the cache.
    pub fn chain(&self, last: &RequestId) -> Result<Vec<Arc<Turn>>, Vec<RequestId>> {
        let Some(turn) = self.turns.get(last) else {
            return Err(vec![last.clone()]);
        };
        let missing: Vec<RequestId> = turn
            .ancestors
            .iter()
            .filter(|id| !self.turns.contains_key(id))
            .cloned()
            .collect();
        if !missing.is_empty() {
            return Err(missing);
        }
        let ancestors = turn.ancestors.iter().filter_map(|id| self.turns.get(id));
        Ok(ancestors.chain([turn]).cloned().collect())
    }
}

/// Returns the prompt of a turn: all earlier inputs and outputs, then the new input.
pub fn build_prompt(chain: &[Arc<Turn>], input: &[u8]) -> Vec<u8> {
    let history_bytes: usize = chain.iter().map(|t| t.size_bytes()).sum();
    let mut prompt = Vec::with_capacity(history_bytes + input.len());
    for turn in chain {
        prompt.extend_from_slice(&turn.input);
        prompt.extend_from_slice(&turn.output);
    }
    prompt.extend_from_slice(input);
    prompt
}
