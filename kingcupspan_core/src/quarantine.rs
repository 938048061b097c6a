//! Quarantine of requests that repeatedly crash the endpoints that run them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{digest, id::WallMs};

/// Number of crashes after which a request is refused.
const CRASHES_MAX: u32 = 2;

/// Time for which a crash counts, in milliseconds.
const CRASH_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Record in the quarantine stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// An endpoint crashed while it was running the request.
    Strike {
        /// Digest of the request as sent to the endpoint, independent of the
        /// caller.
        fingerprint: digest::Digest,

        /// Random number that the reporting daemon assigned to the crash, by
        /// which repeated records of it are recognized.
        nonce: u64,

        /// Time of the crash.
        at: WallMs,
    },

    /// An endpoint answered the request.
    Cleared {
        /// Digest of the request as sent to the endpoint.
        fingerprint: digest::Digest,
    },
}

/// Quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No crash is known for the request.
    Clear,

    /// The request was running on an endpoint that crashed, so it must not run
    /// at the same time as another suspect.
    Suspect,

    /// The request is refused.
    Quarantined,
}

/// Crashes recorded for one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct CrashHistory {
    /// Random numbers of the crashes.
    nonces: Vec<u64>,

    /// Time of the last crash.
    last: WallMs,
}

/// Requests with recorded crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Quarantine {
    /// Crashes by the fingerprint of the request.
    #[serde(rename = "strikes")]
    crashes: BTreeMap<String, CrashHistory>,
}

impl Quarantine {
    /// Applies a record; repeated records of one crash count once.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Strike {
                fingerprint,
                nonce,
                at,
            } => {
                let crashes = self.crashes.entry(fingerprint.to_string()).or_default();
                if !crashes.nonces.contains(nonce) {
                    crashes.nonces.push(*nonce);
                }
                crashes.last = crashes.last.max(*at);
            }
            Record::Cleared { fingerprint } => {
                self.crashes.remove(&fingerprint.to_string());
            }
        }
    }

    /// Returns the quarantine status of a request.
    pub fn status(&self, fingerprint: &digest::Digest, now: WallMs) -> QuarantineStatus {
        let Some(crashes) = self.crashes.get(&fingerprint.to_string()) else {
            return QuarantineStatus::Clear;
        };
        if now.0.saturating_sub(crashes.last.0) > CRASH_RETENTION_MS {
            return QuarantineStatus::Clear;
        }
        match crashes.nonces.len() as u32 >= CRASHES_MAX {
            true => QuarantineStatus::Quarantined,
            false => QuarantineStatus::Suspect,
        }
    }

    /// Removes the requests whose crashes no longer count.
    pub fn expire(&mut self, now: WallMs) {
        self.crashes
            .retain(|_, s| now.0.saturating_sub(s.last.0) <= CRASH_RETENTION_MS);
    }

    /// Returns the fingerprints of refused requests.
    pub fn quarantined(&self) -> Vec<String> {
        let quarantined = self
            .crashes
            .iter()
            .filter(|(_, s)| s.nonces.len() as u32 >= CRASHES_MAX);
        quarantined
            .map(|(fingerprint, _)| fingerprint.clone())
            .collect()
    }
}
