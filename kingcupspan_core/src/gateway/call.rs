//! What a caller says of a request.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// The caller's id of one attempt; also names the turn that it makes.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct RequestId(pub Arc<str>);

/// The caller's id of a program.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct ProgramKey(pub Arc<str>);

/// The place of a turn or a call of a tool in its program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramInfo {
    /// The program.
    pub program: ProgramKey,

    /// The line of turns within the program.
    pub session: String,

    /// Time left until the program should be finished.
    pub remaining_time: Option<Duration>,

    /// Tokens that all turns of the program may generate.
    pub budget: Option<u64>,

    /// The turn that this one continues from.
    pub previous: Option<RequestId>,
}

/// Size of a model request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,

    /// Most tokens that it generates.
    pub max_output: u64,
}

/// What the headers of a request say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallInfo {
    /// The attempt.
    pub id: Option<RequestId>,

    /// How long the caller waits.
    pub deadline: Option<Duration>,

    /// Names an object that requests share.
    pub affinity: Option<String>,

    /// Size of a model request.
    pub usage: Option<TokenUsage>,

    /// Set for requests of programs.
    pub program: Option<ProgramInfo>,
}

impl CallInfo {
    /// What requests that gain from the same endpoint have in common.
    pub fn placement_key(&self) -> Option<&str> {
        let program = self.program.as_ref().map(|p| &*p.program.0);
        self.affinity.as_deref().or(program)
    }
}
