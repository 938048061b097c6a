//! Detection of requests that crash the endpoints that run them.
//!
//! A request that is repeated again and again could crash one endpoint after another;
//! after a few crashes it is refused before it reaches the next one. The crash is also
//! counted for other requests that ran on the endpoint at the same time, but they are
//! not repeated and so stay below the limit.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::{
    digest::Digest,
    gateway::{
        call::{ProgramKey, RequestId},
        endpoint::InstanceId,
        workspace::WorkspaceName,
    },
    id::MonoMs,
};

/// Number of crashes after which a request is refused.
const MAX_CRASHES: usize = 3;

/// How long the crashes of a request are remembered after the last one, in
/// milliseconds.
const CRASH_RETENTION_MS: u64 = 120_000;

/// Hash of a request, equal for requests with the same method, target and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(method: &str, target: &str, body: &[u8]) -> Self {
        let head_digest = Digest::of(format!("{method} {target}").as_bytes());
        Self(head_digest.chain(body).prefix_u64())
    }

    /// Returns the fingerprint of the same request in a session of a program.
    pub fn in_session(self, program: &ProgramKey, session: &str) -> Self {
        let digest = Digest::of(&self.0.to_be_bytes());
        let digest = digest
            .chain(program.0.as_bytes())
            .chain(b"/")
            .chain(session.as_bytes());
        Self(digest.prefix_u64())
    }

    /// Returns the fingerprint of the same request of a workspace.
    pub fn within(self, workspace: Option<&WorkspaceName>) -> Self {
        let qualified = workspace.map(|w| w.qualify(&self.0.to_string()));
        qualified.map_or(self, |q| Self(Digest::of(q.as_bytes()).prefix_u64()))
    }
}

/// A crash of an endpoint while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub request: Fingerprint,

    /// The endpoint that crashed.
    pub endpoint: InstanceId,

    /// The attempt that the endpoint was running.
    pub attempt: RequestId,
}

/// Crashes attributed to one request.
#[derive(Debug, Default)]
struct Entry {
    /// The crashed endpoints, with the attempts that they were running.
    crashes: BTreeSet<(InstanceId, RequestId)>,

    /// Time of the last crash.
    last: MonoMs,
}

/// Recent crashes by request.
#[derive(Debug, Default)]
pub struct CrashTracker(HashMap<Fingerprint, Entry>);

impl CrashTracker {
    /// Records a crash that was detected or reported at `now`; repeated reports of a
    /// crash count once.
    pub fn record(&mut self, crash: Crash, now: MonoMs) {
        let entry = self.0.entry(crash.request).or_default();
        entry.crashes.insert((crash.endpoint, crash.attempt));
        entry.last = now;
    }

    /// Whether a request must not be sent to another endpoint.
    pub fn is_blocked(&self, request: Fingerprint) -> bool {
        let entry = self.0.get(&request);
        entry.is_some_and(|e| e.crashes.len() >= MAX_CRASHES)
    }

    /// Whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes requests without a recent crash.
    pub fn expire(&mut self, now: MonoMs) {
        self.0
            .retain(|_, e| now.0.saturating_sub(e.last.0) < CRASH_RETENTION_MS);
    }
}
