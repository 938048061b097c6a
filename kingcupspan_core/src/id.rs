//! Validated identifiers, sequence numbers, fencing numbers and timestamps.

use std::{num, str};

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Error returned when a string is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The name is empty or longer than [`NAME_MAX_BYTES`].
    #[error("a name has 1 to {NAME_MAX_BYTES} characters, this one has {0}")]
    Length(usize),

    /// The name contains a character outside the allowed set.
    #[error("a name is made of a-z, A-Z, 0-9, '.', '-' and '_', not {0:?}")]
    Character(char),

    /// The program identifier does not have the form `pSSSS-NNNNNNNNNNNNNNNN`.
    #[error("a program id reads pSSSS-NNNNNNNNNNNNNNNN in hexadecimal, not {0:?}")]
    Program(String),
}

fn checked_name(raw: String) -> Result<String, IdError> {
    if raw.is_empty() || raw.len() > NAME_MAX_BYTES {
        return Err(IdError::Length(raw.len()));
    }
    let invalid = raw
        .chars()
        .find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_')));
    match invalid {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(raw),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Into, Serialize,
            Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(raw: String) -> Result<Self, IdError> {
                checked_name(raw).map(Self)
            }
        }

        impl str::FromStr for $name {
            type Err = IdError;

            fn from_str(raw: &str) -> Result<Self, IdError> {
                Self::try_from(raw.to_owned())
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            Into, Serialize, Deserialize,
        )]
        pub struct $name(pub $repr);

        impl $name {
            /// Returns the number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(raw: &str) -> Result<Self, Self::Err> {
                raw.parse().map(Self)
            }
        }
    };
}

name!(
    /// Identifier of a caller, which sends requests and is charged for them.
    CallerId
);
name!(
    /// Identifier of a workspace, a part of a caller's work with separate
    /// accounting.
    WorkspaceId
);
name!(
    /// Identifier of an endpoint, a model engine or service process that serves
    /// requests.
    EndpointId
);
name!(
    /// Identifier of a virtual machine of the platform.
    VmId
);
name!(
    /// Identifier of a failure domain, a set of VMs that may fail together.
    DomainId
);
name!(
    /// Identifier of a plain service, which one or more endpoints provide.
    ServiceId
);
name!(
    /// Identifier of a model, which one or more engines serve.
    ModelId
);
number!(
    /// Position of a record in a stream of the log.
    Offset,
    u64
);
number!(
    /// Sequence number that a writer assigns to its own records in a stream.
    Seq,
    u64
);
number!(
    /// Position of a call within its program, starting at 0.
    Turn,
    u32
);
number!(
    /// Partition of the programs; one daemon at a time owns all programs of a
    /// slot.
    Slot,
    u16
);
number!(
    /// Version of the configuration; version 0 is the empty configuration.
    Version,
    u64
);

/// Number of low bits of a fencing number that hold the record's sequence
/// number within its epoch.
const FENCE_SEQ_BITS: u32 = 28;

/// Fencing number of a call.
///
/// Each later start of a call of the same program has a higher fencing number,
/// even if another daemon has become the owner in between.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
pub struct Fence(u64);

impl Fence {
    /// Returns the fencing number of the record `seq` written under the claim
    /// at `epoch`.
    ///
    /// Sequence numbers that do not fit are replaced by the largest one that
    /// does. Former owners are still fenced off then, but the surplus calls of
    /// the epoch share one fencing number.
    pub fn new(epoch: Offset, seq: Seq) -> Self {
        let max_seq = (1 << FENCE_SEQ_BITS) - 1;
        Self(epoch.0 << FENCE_SEQ_BITS | seq.0.min(max_seq))
    }
}

/// One incarnation of a daemon; a restarted daemon is a different writer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{vm}/{incarnation:016x}")]
pub struct Writer {
    /// VM that the daemon runs on.
    pub vm: VmId,

    /// Random number drawn when the process starts.
    pub incarnation: u64,
}

/// Identifier of a program, which contains the program's slot so that routing
/// needs no lookup table.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("p{:04x}-{nonce:016x}", slot.0)]
#[serde(try_from = "String", into = "String")]
pub struct ProgramId {
    /// Slot that contains the program and all its sub-agents.
    pub slot: Slot,

    /// Random part, unique within the slot.
    pub nonce: u64,
}

impl From<ProgramId> for String {
    fn from(id: ProgramId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for ProgramId {
    type Error = IdError;

    fn try_from(raw: String) -> Result<Self, IdError> {
        raw.parse()
    }
}

impl str::FromStr for ProgramId {
    type Err = IdError;

    fn from_str(raw: &str) -> Result<Self, IdError> {
        parse_program(raw)
            .ok_or_else(|| IdError::Program(raw.chars().take(NAME_MAX_BYTES).collect()))
    }
}

fn parse_program(raw: &str) -> Option<ProgramId> {
    let (slot, nonce) = raw.strip_prefix('p')?.split_once('-')?;
    if slot.len() != 4 || nonce.len() != 16 {
        return None;
    }
    let is_canonical = |s: &str| s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if !is_canonical(slot) || !is_canonical(nonce) {
        return None;
    }
    let slot = Slot(u16::from_str_radix(slot, 16).ok()?);
    let nonce = u64::from_str_radix(nonce, 16).ok()?;
    Some(ProgramId { slot, nonce })
}

/// Time on the platform's wall clock, in milliseconds since the Unix epoch
/// (1970).
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
pub struct WallMs(pub u64);

/// Time on the process's monotonic clock, in milliseconds since the process
/// started.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
pub struct MonoMs(pub u64);

impl MonoMs {
    /// Returns the milliseconds from `earlier` to this time, or 0 if `earlier`
    /// is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
