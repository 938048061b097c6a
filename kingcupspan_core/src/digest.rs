//! SHA-256 digests of requests and histories.

use std::str;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// A SHA-256 digest.
#[serde_with::serde_as]
#[derive(
    Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{}", hex::encode(_0))]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 32]);

impl Digest {
    /// Digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(sha2::Sha256::digest(bytes).into())
    }

    /// Digest of this one followed by `bytes`; chains a history.
    pub fn chain(&self, bytes: &[u8]) -> Self {
        let mut hasher = sha2::Sha256::new();
        hasher.update(self.0);
        hasher.update(bytes);
        Self(hasher.finalize().into())
    }

    /// The first eight bytes as a number, for hashing.
    pub fn prefix_u64(&self) -> u64 {
        let mut buf = [0; 8];
        buf.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(buf)
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.prefix_u64())
    }
}

impl str::FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(raw: &str) -> Result<Self, Self::Err> {
        let mut buf = [0; 32];
        hex::decode_to_slice(raw, &mut buf)?;
        Ok(Self(buf))
    }
}
