//! Routes indexed by host and path prefix.

use std::{cmp::Ordering, sync::Arc};

use serde::{Deserialize, Serialize};

use super::routing::Route;

/// What identifies a route: its host, in which case does not matter, and its path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host that the route serves.
    pub host: String,

    /// Prefix of the paths that the route serves.
    pub path_prefix: String,
}

/// All routes of a configuration, sorted by their keys, which are unique.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Arc<Route>>", into = "Vec<Arc<Route>>")]
pub struct RouteTable(Vec<Arc<Route>>);

/// Difference between two route tables.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteChanges {
    /// Routes that are new or differ.
    pub set: Vec<Arc<Route>>,

    /// Routes that no longer exist.
    pub removed: Vec<RouteKey>,
}

impl From<Vec<Arc<Route>>> for RouteTable {
    /// Of several routes with one key the last one counts.
    fn from(mut routes: Vec<Arc<Route>>) -> Self {
        routes.reverse();
        routes.sort_by(|a, b| compare_routes(a, b));
        routes.dedup_by(|later, first| compare_routes(later, first).is_eq());
        Self(routes)
    }
}

impl From<RouteTable> for Vec<Arc<Route>> {
    fn from(table: RouteTable) -> Self {
        table.0
    }
}

impl RouteTable {
    /// Number of routes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let ends = path.rmatch_indices('/').map(|(slash, _)| slash + 1);
        ends.map(|end| self.get(host, &path[..end]))
            .find(Option::is_some)
            .flatten()
    }

    /// Returns the route with a key.
    fn get(&self, host: &str, path_prefix: &str) -> Option<&Arc<Route>> {
        let position = self
            .0
            .binary_search_by(|r| compare_keys(&r.host, &r.path_prefix, host, path_prefix));
        position.ok().map(|i| &self.0[i])
    }

    /// Returns what has changed since `base`.
    pub fn changes_since(&self, base: &Self) -> RouteChanges {
        let mut changes = RouteChanges::default();
        let (mut old, mut new) = (base.0.iter().peekable(), self.0.iter().peekable());
        loop {
            let order = match (old.peek(), new.peek()) {
                (None, None) => return changes,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(old), Some(new)) => compare_routes(old, new),
            };
            let former = old.next_if(|_| order.is_le());
            let latter = new.next_if(|_| order.is_ge());
            match (former, latter) {
                (Some(former), None) => changes.removed.push(former.key()),
                (Some(former), Some(latter)) if former == latter => {}
                (_, latter) => changes.set.extend(latter.cloned()),
            }
        }
    }

    /// Returns the table after the changes, which shares its unchanged routes with this one.
    pub fn with(&self, changes: &RouteChanges) -> Self {
        let mut removed = changes.removed.clone();
        removed.sort_by(|a, b| compare_keys(&a.host, &a.path_prefix, &b.host, &b.path_prefix));
        let is_kept = |r: &&Arc<Route>| {
            let position = removed.binary_search_by(|key| {
                compare_keys(&key.host, &key.path_prefix, &r.host, &r.path_prefix)
            });
            position.is_err()
        };
        let kept = self.0.iter().filter(is_kept);
        let routes: Vec<Arc<Route>> = kept.chain(&changes.set).cloned().collect();
        Self::from(routes)
    }
}

impl Route {
    /// What identifies the route.
    pub fn key(&self) -> RouteKey {
        RouteKey {
            host: self.host.clone(),
            path_prefix: self.path_prefix.clone(),
        }
    }
}

/// Order of routes by their keys.
fn compare_routes(a: &Route, b: &Route) -> Ordering {
    compare_keys(&a.host, &a.path_prefix, &b.host, &b.path_prefix)
}

/// Order of keys.
fn compare_keys(a_host: &str, a_prefix: &str, b_host: &str, b_prefix: &str) -> Ordering {
    compare_hosts(a_host, b_host).then_with(|| a_prefix.cmp(b_prefix))
}

/// Order of hosts, in which case does not matter.
fn compare_hosts(a: &str, b: &str) -> Ordering {
    let lowercase = |b: u8| b.to_ascii_lowercase();
    a.bytes().map(lowercase).cmp(b.bytes().map(lowercase))
}
