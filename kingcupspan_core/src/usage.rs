//! Usage accounting per caller and workspace, computed from the same records as
//! the programs' state.

use std::{collections::BTreeMap, str};

use derive_more::{Add, AddAssign, Display, Sum};
use serde::{Deserialize, Serialize};

use crate::id::{CallerId, IdError, WorkspaceId};

/// Caller and workspace that a call is accounted to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{caller}/{workspace}")]
#[serde(try_from = "String", into = "String")]
pub struct Key {
    /// Caller that is charged.
    pub caller: CallerId,

    /// Workspace of the caller.
    pub workspace: WorkspaceId,
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for Key {
    type Error = IdError;

    fn try_from(raw: String) -> Result<Self, IdError> {
        raw.parse()
    }
}

impl str::FromStr for Key {
    type Err = IdError;

    fn from_str(raw: &str) -> Result<Self, IdError> {
        let (caller, workspace) = raw.split_once('/').ok_or(IdError::Character('/'))?;
        Ok(Self {
            caller: caller.parse()?,
            workspace: workspace.parse()?,
        })
    }
}

/// Resources used by calls.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Add, AddAssign, Sum, Serialize, Deserialize,
)]
pub struct Cost {
    /// Number of calls that ended with an answer.
    pub calls: u64,

    /// Number of calls whose outcome is unknown.
    pub unknown: u64,

    /// Prompt tokens computed by an engine.
    pub prompt_tokens: u64,

    /// Prompt tokens found in an engine's cache.
    pub cached_tokens: u64,

    /// Prompt tokens computed again although an engine had computed them
    /// before.
    pub recomputed_tokens: u64,

    /// Decoded tokens.
    pub decoded_tokens: u64,

    /// Time spent running on endpoints, in milliseconds.
    pub runner_ms: u64,

    /// Time spent waiting for an endpoint, in milliseconds.
    pub waited_ms: u64,

    /// Number of requests sent to endpoints after the first one of each call.
    pub retries: u64,
}

/// Accumulated costs per caller and workspace.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Account(pub BTreeMap<Key, Cost>);

impl Account {
    /// Adds the cost of a call to the total of `key`.
    pub fn charge(&mut self, key: &Key, cost: Cost) {
        match self.0.get_mut(key) {
            Some(total) => *total += cost,
            None => {
                self.0.insert(key.clone(), cost);
            }
        }
    }

    /// Adds all totals of another account to this one.
    pub fn merge(&mut self, other: &Self) {
        for (key, cost) in &other.0 {
            self.charge(key, *cost);
        }
    }
}
