//! The operator's configuration and the choice of a route.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::id::Version;

/// Name of a service: a set of endpoints that are copies of each other.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct ServiceName(pub Arc<str>);

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,

    /// Runs at most once for each request.
    Unsafe,

    /// Answered by a stream of events; runs at most once unless it is resumable.
    Streaming,
}

/// A share of a route's requests that goes to a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,

    /// Its weight against the route's other services.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,

    /// The host that it serves.
    pub host: String,

    /// Beginning and end are slashes.
    pub path_prefix: String,

    /// What may be repeated.
    pub kind: RouteKind,

    /// How long a request may be kept waiting.
    pub timeout: Duration,

    /// Time within which an answer is on time.
    pub target_latency: Duration,

    /// Rank, 0 is the highest.
    pub priority: u32,

    /// Where its requests go.
    pub backends: Vec<Backend>,

    /// Endpoints that may run one request.
    pub max_attempts: u32,

    /// Whether a request that repeats an affinity key gains from the same endpoint.
    pub sticky: bool,

    /// Whether a stream may go on at another endpoint.
    pub resumable: bool,

    /// Whether the system keeps what was said and prepends it.
    pub keeps_history: bool,

    /// How long turns are kept; none if the route has no turns.
    pub retention: Option<Duration>,
}

impl Route {
    /// Whether requests on this route are turns of programs.
    pub fn has_turns(&self) -> bool {
        self.kind == RouteKind::Streaming && self.retention.is_some()
    }

    /// Whether a request that may have run can be sent again from its start.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for a request that hashes to `hash`.
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: f64 = self.backends.iter().map(|b| b.weight.max(0.0)).sum();
        let mut left = (hash as f64 / u64::MAX as f64) * total;
        for backend in &self.backends {
            left -= backend.weight.max(0.0);
            if left < 0.0 {
                return Some(&backend.service);
            }
        }
        self.backends.last().map(|b| &b.service)
    }
}

/// Engine properties of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,

    /// Tokens that its memory holds.
    pub kv_tokens: u64,

    /// Tokens in each event of a stream.
    pub tokens_per_event: u64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,

    /// Connections that each of its endpoints accepts from all callers.
    pub max_connections: u32,

    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,

    /// Largest request body, in bytes.
    pub body_bytes: usize,

    /// Time within which a head must arrive whole.
    pub header_timeout: Duration,

    /// How long a connection may stay without a request.
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

/// A whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Grows with each change.
    pub version: Version,

    /// All routes.
    pub routes: Vec<Arc<Route>>,

    /// All services by name.
    pub services: BTreeMap<ServiceName, Service>,

    /// Bounds on what callers send.
    pub limits: Limits,
}

impl Configuration {
    /// The route of the host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.path_prefix))
            .max_by_key(|r| r.path_prefix.len())
    }

    /// Tokens in each event of a service's streams.
    pub fn tokens_per_event(&self, service: &ServiceName) -> u64 {
        let engine = self.services.get(service).and_then(|s| s.engine);
        engine.map_or(1, |e| e.tokens_per_event.max(1))
    }
}
