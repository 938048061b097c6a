//! Requests that crash whatever endpoint runs them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{digest, id::WallMs};

/// Crashes after which a request is refused.
const STRIKES_MAX: u32 = 2;

/// How long a strike counts, in milliseconds.
const STRIKE_MS: u64 = 24 * 3600 * 1000;

/// A record on the quarantine's stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// An endpoint crashed while it ran the request.
    Strike {
        /// Digest of what the endpoint was asked, whoever asked.
        fingerprint: digest::Digest,

        /// Random number of the crash as seen by one daemon.
        nonce: u64,

        /// When it crashed.
        at: WallMs,
    },

    /// The request was answered by an endpoint.
    Cleared {
        /// Digest of what the endpoint was asked.
        fingerprint: digest::Digest,
    },
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing is known against it.
    Clear,

    /// It ran on an endpoint that crashed; it must run beside no other suspect.
    Suspect,

    /// It is refused.
    Quarantined,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Strikes {
    nonces: Vec<u64>,
    last: WallMs,
}

/// Requests with strikes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Quarantine {
    strikes: BTreeMap<String, Strikes>,
}

impl Quarantine {
    /// Folds a record; the same strike counts once.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Strike {
                fingerprint,
                nonce,
                at,
            } => {
                let strikes = self.strikes.entry(fingerprint.to_string()).or_default();
                if !strikes.nonces.contains(nonce) {
                    strikes.nonces.push(*nonce);
                }
                strikes.last = strikes.last.max(*at);
            }
            Record::Cleared { fingerprint } => {
                self.strikes.remove(&fingerprint.to_string());
            }
        }
    }

    /// How a request stands.
    pub fn status(&self, fingerprint: &digest::Digest, now: WallMs) -> QuarantineStatus {
        let Some(strikes) = self.strikes.get(&fingerprint.to_string()) else {
            return QuarantineStatus::Clear;
        };
        if now.0.saturating_sub(strikes.last.0) > STRIKE_MS {
            return QuarantineStatus::Clear;
        }
        match strikes.nonces.len() as u32 >= STRIKES_MAX {
            true => QuarantineStatus::Quarantined,
            false => QuarantineStatus::Suspect,
        }
    }

    /// Forgets strikes that no longer count.
    pub fn expire(&mut self, now: WallMs) {
        self.strikes
            .retain(|_, s| now.0.saturating_sub(s.last.0) <= STRIKE_MS);
    }

    /// Fingerprints that are refused now.
    pub fn refused(&self) -> Vec<String> {
        let refused = self
            .strikes
            .iter()
            .filter(|(_, s)| s.nonces.len() as u32 >= STRIKES_MAX);
        refused
            .map(|(fingerprint, _)| fingerprint.clone())
            .collect()
    }
}
