//! Requests that crash the endpoints that run them.
//!
//! Answers a request that comes again and again and takes an endpoint down each
//! time: after a few crashes it is refused before it reaches another one. Other
//! requests that ran there at the same time are struck once and do not come again.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    gateway::{call::RequestId, endpoint::InstanceId},
    id::MonoMs,
};

/// Crashes after which a request is refused.
const CRASHES_MAX: usize = 3;

/// How long a request counts after its last crash, in milliseconds.
const REMEMBER_MS: u64 = 120_000;

/// What two requests have in common that do the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Of a request with a method, a target and a body.
    pub fn of(method: &str, target: &str, body: &[u8]) -> Self {
        let head = Digest::of(format!("{method} {target}").as_bytes());
        Self(head.chain(body).prefix_u64())
    }
}

/// An endpoint went down while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,

    /// The endpoint.
    pub endpoint: InstanceId,

    /// The attempt that it ran.
    pub attempt: RequestId,
}

#[derive(Debug, Default)]
struct Entry {
    crashes: BTreeSet<(InstanceId, RequestId)>,
    last: MonoMs,
}

/// Crashes by request, as far as they are remembered.
#[derive(Debug, Default)]
pub struct CrashTracker(HashMap<Fingerprint, Entry>);

impl CrashTracker {
    /// Notes a crash seen or heard of at `now`; the same one counts once.
    pub fn record(&mut self, crash: Crash, now: MonoMs) {
        let entry = self.0.entry(crash.request).or_default();
        entry.crashes.insert((crash.endpoint, crash.attempt));
        entry.last = now;
    }

    /// Whether a request must not reach another endpoint.
    pub fn is_blocked(&self, request: Fingerprint) -> bool {
        let entry = self.0.get(&request);
        entry.is_some_and(|e| e.crashes.len() >= CRASHES_MAX)
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Forgets requests without a crash for a while.
    pub fn expire(&mut self, now: MonoMs) {
        self.0
            .retain(|_, e| now.0.saturating_sub(e.last.0) < REMEMBER_MS);
    }
}
