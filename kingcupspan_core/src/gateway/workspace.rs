//! Workspaces, to which callers belong, and the keys by which callers prove that they do.

use std::{
    borrow::Cow,
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::rate_limit::RequestRate;
use crate::digest::Digest;

/// Separates the name of a workspace from an identifier that a caller has chosen; names of
/// workspaces do not contain it.
const SEPARATOR: char = '\n';

/// Name of a workspace.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct WorkspaceName(pub Arc<str>);

impl WorkspaceName {
    /// Returns an identifier that no other workspace has, whatever identifiers its callers choose.
    pub fn qualify(&self, id: &str) -> Arc<str> {
        format!("{}{SEPARATOR}{id}", self.0).into()
    }
}

/// Returns an identifier as logs show it: a qualified one with its workspace before a slash.
pub fn readable(id: &str) -> Cow<'_, str> {
    match id.contains(SEPARATOR) {
        true => id.replacen(SEPARATOR, "/", 1).into(),
        false => id.into(),
    }
}

/// Returns the rank of a request by the priority of its workspace, if that has one, and of its route;
/// 0 is the highest.
///
/// Requests of a workspace of the highest priority go before the ranks of routes. Among those of other
/// workspaces the rank of the route decides, too: an urgent request of a workspace is not put beside
/// those of its own that can wait.
pub fn rank(workspace: Option<u32>, route: u32) -> u32 {
    match workspace {
        None => route,
        Some(0) => 0,
        Some(priority) => (priority - 1).saturating_add(route),
    }
}

/// Limit on the requests of a workspace through all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests a second.
    pub rate: RequestRate,

    /// Requests that may come at once after a pause.
    pub burst: f64,
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, which endpoints are told.
    pub name: WorkspaceName,

    /// Digests of the keys of its callers.
    pub keys: Vec<Digest>,

    /// Rank, which goes before the rank of the route if there is one; 0 is the highest.
    pub priority: Option<u32>,

    /// Limit on its requests, if there is one.
    pub quota: Option<Quota>,
}

/// All workspaces of a configuration, found by the keys of their callers.
///
/// Of several workspaces with one name or one key the last one counts.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "Vec<Arc<Workspace>>", into = "Vec<Arc<Workspace>>")]
pub struct Workspaces {
    by_name: BTreeMap<WorkspaceName, Arc<Workspace>>,
    by_key: HashMap<Digest, Arc<Workspace>>,
}

/// Difference between the workspaces of two configurations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceChanges {
    /// Workspaces that are new or differ.
    pub set: Vec<Arc<Workspace>>,

    /// Workspaces that no longer exist.
    pub removed: Vec<WorkspaceName>,
}

impl From<Vec<Arc<Workspace>>> for Workspaces {
    fn from(workspaces: Vec<Arc<Workspace>>) -> Self {
        let by_name: BTreeMap<_, _> = workspaces
            .into_iter()
            .map(|w| (w.name.clone(), w))
            .collect();
        let keys_of = |w: &Arc<Workspace>| {
            let workspace = Arc::clone(w);
            w.keys
                .clone()
                .into_iter()
                .map(move |key| (key, Arc::clone(&workspace)))
        };
        let by_key = by_name.values().flat_map(keys_of).collect();
        Self { by_name, by_key }
    }
}

impl From<Workspaces> for Vec<Arc<Workspace>> {
    fn from(workspaces: Workspaces) -> Self {
        workspaces.by_name.into_values().collect()
    }
}

impl PartialEq for Workspaces {
    fn eq(&self, other: &Self) -> bool {
        self.by_name == other.by_name
    }
}

impl Workspaces {
    /// Returns the workspace of a caller's key.
    ///
    /// The time that this takes tells nothing about other keys, since they are compared by their
    /// digests.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Workspace>> {
        self.by_key.get(&Digest::of(key))
    }

    /// Returns the workspace with a name.
    pub fn get(&self, name: &WorkspaceName) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Returns what has changed since `base`.
    pub fn changes_since(&self, base: &Self) -> WorkspaceChanges {
        let is_new = |w: &&Arc<Workspace>| base.get(&w.name) != Some(*w);
        let is_gone = |name: &&WorkspaceName| !self.by_name.contains_key(*name);
        WorkspaceChanges {
            set: self.iter().filter(is_new).cloned().collect(),
            removed: base.by_name.keys().filter(is_gone).cloned().collect(),
        }
    }

    /// Returns the workspaces after the changes, which share the unchanged ones with these.
    pub fn with(&self, changes: &WorkspaceChanges) -> Self {
        let mut by_name = self.by_name.clone();
        changes.removed.iter().for_each(|name| {
            by_name.remove(name);
        });
        let workspaces = by_name.into_values().chain(changes.set.iter().cloned());
        workspaces.collect::<Vec<_>>().into()
    }

    /// All workspaces in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.by_name.values()
    }
}
