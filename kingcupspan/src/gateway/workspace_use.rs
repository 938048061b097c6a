//! Counts what workspaces use of this daemon.

use std::collections::BTreeMap;

use kingcupspan_core::gateway::{
    shares::{RecentUse, Shares},
    workspace::{Workspace, WorkspaceName, Workspaces},
};
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::{clock::Clock, gateway::error_response::ErrorReason};

/// Requests of a workspace since this daemon started.
#[derive(Debug, Default, Clone)]
struct Counts {
    /// All requests whose key was known and that were not refused for their route or content.
    requests: u64,

    /// Those that ended with a response of this daemon, by its reason.
    refused: BTreeMap<String, u64>,
}

/// What workspaces use of this daemon, since it started and over the last seconds.
pub struct WorkspaceUse {
    clock: Clock,
    counts: Mutex<BTreeMap<WorkspaceName, Counts>>,
    recent: Mutex<RecentUse>,
}

impl WorkspaceUse {
    /// Creates counters of workspaces without requests.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            counts: Mutex::default(),
            recent: Mutex::default(),
        }
    }

    /// Counts a request of a workspace.
    pub fn record_request(&self, workspace: &Workspace) {
        let mut counts = self.counts.lock();
        counts.entry(workspace.name.clone()).or_default().requests += 1;
        drop(counts);
        self.recent.lock().record(workspace, self.clock.mono());
    }

    /// Counts a response of this daemon to a request of a workspace.
    pub fn record_refusal(&self, workspace: &Workspace, reason: ErrorReason) {
        let mut counts = self.counts.lock();
        let refused = &mut counts.entry(workspace.name.clone()).or_default().refused;
        *refused.entry(reason.to_string()).or_default() += 1;
    }

    /// Returns what a workspace uses of its share, and what all do, as far as this daemon knows.
    pub fn shares(&self, workspace: &WorkspaceName) -> (f64, Shares) {
        self.recent.lock().shares(workspace, self.clock.mono())
    }

    /// Forgets workspaces that the configuration no longer has, and requests of long ago.
    pub fn expire(&self, workspaces: Option<&Workspaces>) {
        let is_listed = |name: &WorkspaceName| workspaces.is_some_and(|w| w.get(name).is_some());
        self.counts.lock().retain(|name, _| is_listed(name));
        self.recent.lock().expire(self.clock.mono());
    }

    /// Returns the workspaces of a configuration for the state dump, without their keys.
    pub fn dump(&self, workspaces: &Workspaces) -> Vec<Value> {
        let counts = self.counts.lock();
        let entry = |w: &Workspace| {
            let counts = counts.get(&w.name).cloned().unwrap_or_default();
            json!({
                "name": w.name,
                "priority": w.priority,
                "quota": w.quota,
                "requests": counts.requests,
                "refused": counts.refused
            })
        };
        workspaces.iter().map(|w| entry(w)).collect()
    }
}
