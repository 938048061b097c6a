//! The account: who used what, folded from the same records as the programs.

use std::{collections::BTreeMap, str};

use derive_more::{Add, AddAssign, Display, Sum};
use serde::{Deserialize, Serialize};

use crate::id::{CallerId, IdError, WorkspaceId};

/// Whom a call is accounted to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{caller}/{workspace}")]
#[serde(try_from = "String", into = "String")]
pub struct Key {
    /// The caller.
    pub caller: CallerId,

    /// Its workspace.
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

/// What calls cost their caller.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Add, AddAssign, Sum, Serialize, Deserialize,
)]
pub struct Cost {
    /// Calls that ended with an answer.
    pub calls: u64,

    /// Calls whose outcome is not known.
    pub unknown: u64,

    /// Prompt tokens that an engine computed.
    pub prompt_tokens: u64,

    /// Prompt tokens that an engine had in its cache.
    pub cached_tokens: u64,

    /// Prompt tokens computed though an engine had computed them before.
    pub recomputed_tokens: u64,

    /// Tokens decoded.
    pub decoded_tokens: u64,

    /// Time on runners, in milliseconds.
    pub runner_ms: u64,

    /// Time spent waiting for a runner, in milliseconds.
    pub waited_ms: u64,

    /// Requests sent to endpoints beyond the first of each call.
    pub retries: u64,
}

/// Costs by caller and workspace.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Account(pub BTreeMap<Key, Cost>);

impl Account {
    /// Adds a call's cost.
    pub fn charge(&mut self, key: &Key, cost: Cost) {
        match self.0.get_mut(key) {
            Some(total) => *total += cost,
            None => {
                self.0.insert(key.clone(), cost);
            }
        }
    }

    /// Adds another account.
    pub fn merge(&mut self, other: &Self) {
        for (key, cost) in &other.0 {
            self.charge(key, *cost);
        }
    }
}
