//! Complete deployment in one process on the loopback interface: platform,
//! endpoints and daemons.

use std::{collections::HashMap, net, path, sync::Arc, time::Duration};

use async_std::task;
use kingcupspan::{
    command::publish,
    daemon::{self, Daemon, Listeners},
    edge::platform::{Vm, VmState},
};
use kingcupspan_config::{endpoint::ServedTarget, settings::Settings};
use kingcupspan_core::id::Version;
use serde_json::{Value, json};

use crate::{engine, http, log_service, service, vm_list};

/// Longest time to wait until the daemons are ready after their start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks whether the daemons are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error returned when a deployment cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A file could not be read or a listener could not be bound.
    #[error("{0}")]
    Io(#[from] std::io::Error),

    /// A file or value is not valid JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),

    /// Settings or configuration are invalid.
    #[error("{0}")]
    Findings(#[from] kingcupspan_config::finding::Findings),

    /// The configuration could not be published.
    #[error("{0}")]
    Publish(#[from] publish::PublishError),

    /// The daemons were not ready within [`READY_TIMEOUT`].
    #[error("the daemons did not own all slots within {READY_TIMEOUT:?}")]
    NotReady,
}

/// Running deployment.
pub struct Deployment {
    /// The platform's append-only log.
    pub log: Arc<log_service::Log>,

    /// The platform's list of VMs.
    pub vms: Arc<vm_list::VmList>,

    /// Engines by name of their endpoint.
    pub engines: HashMap<String, Arc<engine::Engine>>,

    /// Services by name of their endpoint.
    pub services: HashMap<String, Arc<service::Service>>,

    /// Daemons, in the order of `settings`.
    pub daemons: Vec<Arc<Daemon>>,

    /// Settings of each daemon, with the bound addresses.
    pub settings: Vec<Settings>,

    /// Published configuration, with the bound addresses of the endpoints.
    pub configuration: Value,
}

/// Options of a deployment to start.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// Configuration to publish; the endpoints' addresses are replaced by bound ones.
    pub configuration: Value,

    /// Failure domain of each daemon.
    pub daemon_domains: Vec<String>,

    /// Options of all engines.
    pub engine: engine::Options,

    /// Options of all services.
    pub service: service::Options,

    /// Options of the platform's log.
    pub log: log_service::Options,

    /// Settings that override those generated for every daemon.
    pub settings: Value,
}

impl DeploymentOptions {
    /// Reads the options of an example directory, with one daemon in each failure
    /// domain that has an endpoint.
    pub fn from_example(dir: &path::Path) -> Result<Self, StartError> {
        let text = std::fs::read_to_string(dir.join("configuration.json"))?;
        let configuration: Value = serde_json::from_str(&text)?;
        let endpoints = configuration["endpoints"].as_array();
        let mut daemon_domains: Vec<String> = Vec::new();
        for endpoint in endpoints.into_iter().flatten() {
            let domain = endpoint["failure_domain"].as_str().unwrap_or_default();
            if !daemon_domains.iter().any(|d| d == domain) {
                daemon_domains.push(domain.to_owned());
            }
        }
        Ok(Self {
            configuration,
            daemon_domains,
            engine: engine::Options::default(),
            service: service::Options::default(),
            log: log_service::Options::default(),
            settings: json!({}),
        })
    }
}

/// Returns the loopback address with port 0, for which the system assigns a free port.
fn loopback_any_port() -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts the platform, the endpoints and the daemons, and waits until the daemons
/// are ready.
pub async fn start(mut options: DeploymentOptions) -> Result<Deployment, StartError> {
    let log = log_service::Log::new(options.log.clone());
    let log_server = log_service::start(loopback_any_port(), Arc::clone(&log)).await?;
    let (engines, services) = start_endpoints(&mut options).await?;
    let configuration = options.configuration.clone();
    let mut vms: Vec<Vm> = endpoint_vms(&configuration)?;
    let mut bound_daemons = Vec::new();
    let list = vm_list::VmList::new(Vec::new(), Duration::ZERO);
    let vm_list_server = vm_list::start(loopback_any_port(), Arc::clone(&list)).await?;
    for (i, domain) in options.daemon_domains.iter().enumerate() {
        let settings = daemon_settings(&options, i, domain, log_server.addr, vm_list_server.addr)?;
        let listeners = Listeners::bind(&settings).await?;
        vms.push(Vm {
            vm: settings.vm.clone(),
            failure_domain: settings.failure_domain.clone(),
            addr: listeners.peers.local_addr()?,
            state: VmState::Live,
        });
        bound_daemons.push((with_bound_addresses(settings, &listeners)?, listeners));
    }
    list.update(|list| *list = vms);
    let settings: Vec<Settings> = bound_daemons.iter().map(|(s, _)| s.clone()).collect();
    if let Some(first) = settings.first() {
        publish::publish(first, Version(0), &configuration).await?;
    }
    let mut daemons = Vec::new();
    for (settings, listeners) in bound_daemons {
        let daemon = Daemon::new(settings);
        task::spawn(daemon::run(Arc::clone(&daemon), listeners));
        daemons.push(daemon);
    }
    let deployment = Deployment {
        log,
        vms: list,
        engines,
        services,
        daemons,
        settings,
        configuration,
    };
    deployment.wait_until_ready().await?;
    Ok(deployment)
}

/// Engines by name of their endpoint.
type Engines = HashMap<String, Arc<engine::Engine>>;

/// Services by name of their endpoint.
type Services = HashMap<String, Arc<service::Service>>;

/// Starts all configured endpoints and writes their addresses into the configuration.
async fn start_endpoints(
    options: &mut DeploymentOptions,
) -> Result<(Engines, Services), StartError> {
    let mut engines = Engines::new();
    let mut services = Services::new();
    let endpoints = options.configuration["endpoints"].as_array_mut();
    for endpoint in endpoints.into_iter().flatten() {
        let name = endpoint["endpoint"].as_str().unwrap_or_default().to_owned();
        let slots = endpoint["slots"].as_u64().unwrap_or(8);
        let checks_fence = endpoint["checks_fence"].as_bool().unwrap_or(false);
        let running: http::RunningServer = if endpoint.get("model").is_some() {
            let engine = engine::Engine::new(engine::Options {
                batch: slots as usize,
                checks_fence,
                ..options.engine.clone()
            });
            engines.insert(name, Arc::clone(&engine));
            engine::start(loopback_any_port(), engine).await?
        } else {
            let service = service::Service::new(service::Options {
                checks_fence,
                ..options.service.clone()
            });
            services.insert(name, Arc::clone(&service));
            service::start(loopback_any_port(), service).await?
        };
        endpoint["addr"] = json!(running.addr);
    }
    Ok((engines, services))
}

/// Returns the VMs of all configured endpoints.
fn endpoint_vms(configuration: &Value) -> Result<Vec<Vm>, StartError> {
    let configuration = kingcupspan_config::configuration::Configuration::try_from(configuration)?;
    let vms = configuration.endpoints.into_iter().map(|e| {
        debug_assert!(matches!(
            e.serves,
            ServedTarget::Model(_) | ServedTarget::Service(_)
        ));
        Vm {
            vm: e.vm,
            failure_domain: e.failure_domain,
            addr: e.addr,
            state: VmState::Live,
        }
    });
    Ok(vms.collect())
}

/// Creates the settings of one daemon.
fn daemon_settings(
    options: &DeploymentOptions,
    index: usize,
    domain: &str,
    log_addr: net::SocketAddr,
    vm_list_addr: net::SocketAddr,
) -> Result<Settings, StartError> {
    let addr = loopback_any_port();
    let mut settings = json!({
        "vm": format!("entry-{domain}-{index}"),
        "failure_domain": domain,
        "listen": {"callers": addr, "peers": addr, "operators": addr},
        "platform": {"log": log_addr, "vms": vm_list_addr, "appends_per_second": options.log.appends_per_s},
        "lease_ms": 1_000,
        "heartbeat_ms": 100,
        "log_level": "warn"
    });
    if let (Some(settings), Some(overrides)) =
        (settings.as_object_mut(), options.settings.as_object())
    {
        settings.extend(overrides.clone());
    }
    Ok(Settings::try_from(&settings)?)
}

/// Replaces the listen addresses of settings by the bound ones.
fn with_bound_addresses(
    mut settings: Settings,
    listeners: &Listeners,
) -> Result<Settings, StartError> {
    settings.listen.callers = listeners.callers.local_addr()?;
    settings.listen.peers = listeners.peers.local_addr()?;
    settings.listen.operators = listeners.operators.local_addr()?;
    Ok(settings)
}

impl Deployment {
    /// Addresses on which the daemons accept callers.
    pub fn entries(&self) -> Vec<net::SocketAddr> {
        self.settings.iter().map(|s| s.listen.callers).collect()
    }

    /// Waits until all slots are served and all daemons have a configuration.
    async fn wait_until_ready(&self) -> Result<(), StartError> {
        let ready = async {
            while !self.is_ready() {
                task::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let result = async_std::future::timeout(READY_TIMEOUT, ready).await;
        result.map_err(|_| StartError::NotReady)
    }

    /// Returns whether exactly one daemon serves each slot, all daemons know every
    /// slot's owner, and all daemons have a configuration.
    fn is_ready(&self) -> bool {
        let slots = self.settings.first().map_or(0, |s| usize::from(s.slots));
        let has_one_owner = |n: usize| {
            let owners = self.daemons.iter();
            owners.filter(|d| d.slots[n].is_serving()).count() == 1
        };
        let is_owner_known = |n: usize| self.daemons.iter().all(|d| d.slots[n].claim().is_some());
        let has_configuration =
            |d: &Arc<Daemon>| d.configuration.get().current.version > Version(0);
        (0..slots).all(|n| has_one_owner(n) && is_owner_known(n))
            && self.daemons.iter().all(has_configuration)
    }

    /// Starts a graceful shutdown of all daemons.
    pub fn drain(&self) {
        for daemon in &self.daemons {
            daemon.drain.start();
        }
    }

    /// Returns the statistics of all engines, added up.
    pub fn total_engine_stats(&self) -> engine::Stats {
        let mut total = engine::Stats::default();
        for engine in self.engines.values() {
            let stats = engine.stats();
            total.calls += stats.calls;
            total.received += stats.received;
            total.prompt_tokens += stats.prompt_tokens;
            total.cached_tokens += stats.cached_tokens;
            total.decoded_tokens += stats.decoded_tokens;
            total.evicted_tokens += stats.evicted_tokens;
        }
        total
    }
}
