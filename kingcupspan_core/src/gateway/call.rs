//! Information about a request that its caller provides in the headers.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::workspace::WorkspaceName;

/// The caller's identifier of one attempt, which also identifies the resulting turn.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct RequestId(pub Arc<str>);

/// The caller's identifier of a program.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct ProgramKey(pub Arc<str>);

/// The program that a turn or a tool call belongs to, and its position in the program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramInfo {
    /// The program.
    pub program: ProgramKey,

    /// The session, a sequence of turns within the program.
    pub session: String,

    /// Time remaining until the program's deadline.
    pub finish_in: Option<Duration>,

    /// Tokens that all turns of the program together may generate.
    pub budget: Option<u64>,

    /// The turn that the new turn continues from.
    pub previous: Option<RequestId>,
}

/// Size of a model request in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Number of tokens in the prompt.
    pub prompt: u64,

    /// Maximum number of generated tokens.
    pub max_output: u64,
}

/// The stream that a request continues after the events that its caller has received.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ContinuedStream {
    /// The stream whose first event this attempt has brought.
    BegunBy(RequestId),

    /// A stream that the caller does not name.
    #[display("unnamed")]
    Unnamed,
}

impl ContinuedStream {
    /// Returns the stream with an identifier that no other workspace has.
    fn within(&self, workspace: &WorkspaceName) -> Self {
        match self {
            Self::BegunBy(id) => Self::BegunBy(id.within(Some(workspace))),
            Self::Unnamed => Self::Unnamed,
        }
    }
}

/// Contents of the request headers that affect scheduling.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallInfo {
    /// Identifier of the attempt.
    pub id: Option<RequestId>,

    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,

    /// Key shared by requests that use the same object.
    pub affinity: Option<String>,

    /// Size of a model request.
    pub usage: Option<TokenUsage>,

    /// Program of the request, if it belongs to one.
    pub program: Option<ProgramInfo>,

    /// Stream that the request continues, if it continues one.
    pub continues: Option<ContinuedStream>,
}

impl ProgramInfo {
    /// Returns the information with identifiers that no other workspace has.
    fn within(self, workspace: &WorkspaceName) -> Self {
        let previous = self.previous.as_ref();
        Self {
            program: ProgramKey(workspace.qualify(&self.program.0)),
            previous: previous.map(|id| id.within(Some(workspace))),
            ..self
        }
    }
}

impl RequestId {
    /// Returns the identifier of the resulting turn, which no other workspace has.
    pub fn within(&self, workspace: Option<&WorkspaceName>) -> Self {
        workspace.map_or_else(|| self.clone(), |w| Self(w.qualify(&self.0)))
    }
}

impl CallInfo {
    /// Returns the information with keys of programs, turns and objects that no other workspace
    /// has; the identifier of the attempt stays, since the caller and the endpoint know it.
    pub fn within(self, workspace: Option<&WorkspaceName>) -> Self {
        let Some(workspace) = workspace else {
            return self;
        };
        let affinity = self.affinity.as_deref();
        let continues = self.continues.as_ref();
        Self {
            affinity: affinity.map(|key| workspace.qualify(key).as_ref().to_owned()),
            program: self.program.map(|p| p.within(workspace)),
            continues: continues.map(|s| s.within(workspace)),
            ..self
        }
    }

    /// Returns the key shared by requests that run faster on the same endpoint: the
    /// affinity key or else the program.
    pub fn placement_key(&self) -> Option<&str> {
        let program = self.program.as_ref().map(|p| &*p.program.0);
        self.affinity.as_deref().or(program)
    }
}
