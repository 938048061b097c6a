//! Checked names and numbers.

use std::{num, str};

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// Why a text is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The name is empty or longer than [`NAME_MAX_BYTES`].
    #[error("a name has 1 to {NAME_MAX_BYTES} characters, this one has {0}")]
    Length(usize),

    /// The name holds a character outside the allowed set.
    #[error("a name is made of a-z, A-Z, 0-9, '.', '-' and '_', not {0:?}")]
    Character(char),

    /// The text is not of the form `pSSSS-NNNNNNNNNNNNNNNN`.
    #[error("a program id reads pSSSS-NNNNNNNNNNNNNNNN in hexadecimal, not {0:?}")]
    Program(String),
}

fn checked_name(raw: String) -> Result<String, IdError> {
    if raw.is_empty() || raw.len() > NAME_MAX_BYTES {
        return Err(IdError::Length(raw.len()));
    }
    let bad = raw
        .chars()
        .find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_')));
    match bad {
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
            /// The name as text.
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
            /// The number that follows this one.
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
    /// Who sends requests and is charged for them.
    CallerId
);
name!(
    /// A part of a caller's work that is accounted for separately.
    WorkspaceId
);
name!(
    /// A runner that serves requests.
    EndpointId
);
name!(
    /// A virtual machine of the platform.
    VmId
);
name!(
    /// A set of VMs that fails together.
    DomainId
);
name!(
    /// A plain service behind one or more endpoints.
    ServiceId
);
name!(
    /// A model served by engines.
    ModelId
);
number!(
    /// Position of a record on a stream of the log.
    Offset,
    u64
);
number!(
    /// Number that a writer gives to its own records of a stream.
    Seq,
    u64
);
number!(
    /// Position of a call within its program, from 0.
    Turn,
    u32
);
number!(
    /// Share of the programs that is owned as one.
    Slot,
    u16
);
number!(
    /// Version of the configuration; 0 is the empty one.
    Version,
    u64
);

/// Bits of a fencing number that count records within an epoch.
const FENCE_SEQ_BITS: u32 = 28;

/// Fencing number of a call: a later start of a program has a higher one,
/// whoever owns the program.
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
    /// The number of the record `seq` of the claim at `epoch`.
    ///
    /// An epoch with more records than fit gives them all the highest number,
    /// which keeps former owners out but no longer tells its own calls apart.
    pub fn new(epoch: Offset, seq: Seq) -> Self {
        let most = (1 << FENCE_SEQ_BITS) - 1;
        Self(epoch.0 << FENCE_SEQ_BITS | seq.0.min(most))
    }
}

/// One incarnation of a daemon: a restarted daemon is another writer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{vm}/{incarnation:016x}")]
pub struct Writer {
    /// The VM that the daemon runs on.
    pub vm: VmId,

    /// Random number drawn when the process starts.
    pub incarnation: u64,
}

/// A program; its slot is part of the id, so that routing needs no table.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("p{:04x}-{nonce:016x}", slot.0)]
#[serde(try_from = "String", into = "String")]
pub struct ProgramId {
    /// The slot that owns the program and all its sub-agents.
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

/// A time by the platform's wall clock, in milliseconds since 1970.
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

/// A time by this process's monotonic clock, in milliseconds since its start.
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
    /// Milliseconds from `earlier` to this time, 0 if it lies ahead.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
