//! Turns that the system keeps, and the prompt that they make.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::gateway::call::{ProgramKey, RequestId};

/// A turn that was answered whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Its program.
    pub program: ProgramKey,

    /// How long it has to be kept after its answer.
    #[serde(rename = "keep_for")]
    pub retention: Duration,

    /// The turns before it, oldest first: whoever reads this one knows where to look.
    pub ancestors: Vec<RequestId>,

    /// What the caller sent.
    #[serde(with = "serde_bytes_vec")]
    pub input: Vec<u8>,

    /// Data of each event, each followed by a line feed.
    #[serde(with = "serde_bytes_vec")]
    pub output: Vec<u8>,
}

/// Bytes as one MessagePack binary in place of a list of numbers.
mod serde_bytes_vec {
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
    fn bytes(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// Kept turns in memory, the oldest dropped first; the store holds them all.
#[derive(Debug)]
pub struct TurnCache {
    turns: HashMap<RequestId, Arc<Turn>>,
    order: VecDeque<RequestId>,
    bytes: usize,
    max_bytes: usize,
}

impl TurnCache {
    /// An empty cache of at most `max_bytes` of turns.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            turns: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Adds a turn.
    pub fn insert(&mut self, id: RequestId, turn: Arc<Turn>) {
        self.bytes += turn.bytes();
        if let Some(former) = self.turns.insert(id.clone(), turn) {
            self.bytes -= former.bytes();
        } else {
            self.order.push_back(id);
        }
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(turn) = self.turns.remove(&oldest) {
                self.bytes -= turn.bytes();
            }
        }
    }

    /// A turn.
    pub fn get(&self, id: &RequestId) -> Option<&Arc<Turn>> {
        self.turns.get(id)
    }

    /// Number of turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// The chain that ends with `last`, oldest first, or the turns of it that
    /// are missing as far as is known.
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

/// The prompt of a turn: all earlier inputs and outputs, then the new input.
pub fn build_prompt(chain: &[Arc<Turn>], input: &[u8]) -> Vec<u8> {
    let before: usize = chain.iter().map(|t| t.bytes()).sum();
    let mut prompt = Vec::with_capacity(before + input.len());
    for turn in chain {
        prompt.extend_from_slice(&turn.input);
        prompt.extend_from_slice(&turn.output);
    }
    prompt.extend_from_slice(input);
    prompt
}
