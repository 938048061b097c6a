//! Configuration of routes and services, and the choice of a route and service for a
//! request.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::{
    route_table::{RouteChanges, RouteTable},
    workspace::{WorkspaceChanges, Workspaces},
};
use crate::id::Version;

/// Name of a service, a set of interchangeable endpoints.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct ServiceName(pub Arc<str>);

/// How requests of a route may be executed and answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Requests are idempotent and may run more than once.
    Safe,

    /// Each request runs at most once.
    Unsafe,

    /// Requests are answered by a stream of events; each runs at most once unless the route
    /// is resumable.
    Streaming,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,

    /// Weight of the service relative to the route's other services.
    pub weight: f64,
}

/// A route, which assigns requests to services by host and path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs.
    pub name: String,

    /// Host that the route serves.
    pub host: String,

    /// Prefix of the paths that the route serves; it begins and ends with a slash.
    pub path_prefix: String,

    /// How requests of the route may be executed and answered.
    pub kind: RouteKind,

    /// How long a request may wait for its response.
    pub timeout: Duration,

    /// Latency within which a response counts as on time.
    pub target_latency: Duration,

    /// Rank of the route's programs when engines are overloaded; 0 is the highest.
    pub priority: u32,

    /// Services that run the route's requests.
    pub backends: Vec<Backend>,

    /// Maximum number of endpoints on which one request is tried.
    pub max_attempts: u32,

    /// Whether requests with the same affinity key run faster on the same endpoint.
    pub sticky: bool,

    /// Whether an interrupted stream may be continued by another endpoint.
    pub resumable: bool,

    /// Whether earlier turns are stored and prepended to the prompt.
    pub keeps_history: bool,

    /// How long turns are kept; `None` if requests on the route are not turns.
    pub retention: Option<Duration>,

    /// Whether callers need no key, also where the configuration has workspaces.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
}

impl Route {
    /// Whether requests on this route are turns of programs.
    pub fn has_turns(&self) -> bool {
        self.kind == RouteKind::Streaming && self.retention.is_some()
    }

    /// Whether a request that may have run can be sent again from the start.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Returns the service for a request with the given hash.
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: f64 = self.backends.iter().map(|b| b.weight.max(0.0)).sum();
        let mut remaining = (hash as f64 / u64::MAX as f64) * total;
        for backend in &self.backends {
            remaining -= backend.weight.max(0.0);
            if remaining < 0.0 {
                return Some(&backend.service);
            }
        }
        self.backends.last().map(|b| &b.service)
    }
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,

    /// Capacity of one engine's KV cache in tokens.
    pub kv_tokens: u64,

    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u64,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,

    /// Number of connections that each endpoint of the service accepts from all callers
    /// together.
    pub max_connections: u32,

    /// Engine properties, if the endpoints are model engines.
    pub engine: Option<Engine>,
}

/// Limits on connections and requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,

    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,

    /// Time within which a complete request head must arrive.
    pub header_timeout: Duration,

    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the configuration, which increases with each change.
    pub version: Version,

    /// All routes.
    pub routes: RouteTable,

    /// All services, by name.
    pub services: BTreeMap<ServiceName, Service>,

    /// Limits on connections and requests of callers.
    pub limits: Limits,

    /// All workspaces; `None` if callers need no keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspaces: Option<Arc<Workspaces>>,
}

/// Changes that turn a configuration into a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChanges {
    /// Version that the changes apply to; 0 for the empty configuration.
    pub base: Version,

    /// Version after the changes.
    pub version: Version,

    /// Changes of the routes.
    pub routes: RouteChanges,

    /// All services after the changes.
    pub services: BTreeMap<ServiceName, Service>,

    /// Limits after the changes.
    pub limits: Limits,

    /// Changes of the workspaces; `None` if there are none after the changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspaces: Option<WorkspaceChanges>,
}

impl ConfigurationChanges {
    /// Whether the changes leave no workspaces although `active` has some, as those of a daemon
    /// of a former version do, which does not know workspaces.
    pub fn drop_workspaces_of(&self, active: &Configuration) -> bool {
        active.workspaces.is_some() && self.workspaces.is_none()
    }
}

impl Configuration {
    /// Returns the route of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.find(host, path)
    }

    /// Returns the changes that turn `base` into this configuration.
    pub fn changes_since(&self, base: &Self) -> ConfigurationChanges {
        ConfigurationChanges {
            base: base.version,
            version: self.version,
            routes: self.routes.changes_since(&base.routes),
            services: self.services.clone(),
            limits: self.limits,
            workspaces: self.workspace_changes_since(base),
        }
    }

    /// Returns the changes of the workspaces since `base`; `None` if there are no workspaces.
    fn workspace_changes_since(&self, base: &Self) -> Option<WorkspaceChanges> {
        let base = base.workspaces.clone().unwrap_or_default();
        let workspaces = self.workspaces.as_ref()?;
        Some(workspaces.changes_since(&base))
    }

    /// Returns the workspaces after the changes.
    fn workspaces_with(&self, changes: &WorkspaceChanges) -> Arc<Workspaces> {
        let base = self.workspaces.clone().unwrap_or_default();
        Arc::new(base.with(changes))
    }

    /// Returns the configuration after the changes; `None` if they are changes of another
    /// version.
    pub fn with(&self, changes: &ConfigurationChanges) -> Option<Self> {
        (changes.base == self.version).then(|| Self {
            version: changes.version,
            routes: self.routes.with(&changes.routes),
            services: changes.services.clone(),
            limits: changes.limits,
            workspaces: changes.workspaces.as_ref().map(|c| self.workspaces_with(c)),
        })
    }

    /// Returns the number of tokens in each event of a service's streams.
    pub fn tokens_per_event(&self, service: &ServiceName) -> u64 {
        let engine = self.services.get(service).and_then(|s| s.engine);
        engine.map_or(1, |e| e.tokens_per_event.max(1))
    }
}
