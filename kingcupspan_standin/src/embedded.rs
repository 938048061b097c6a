//! A whole deployment in one process on loopback: platform, endpoints, daemons.

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

/// How long the daemons may take until they serve.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between looks at whether they do.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a deployment did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A file or listener failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),

    /// A file is not JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),

    /// Settings or configuration have findings.
    #[error("{0}")]
    Findings(#[from] kingcupspan_config::finding::Findings),

    /// The configuration could not be published.
    #[error("{0}")]
    Publish(#[from] publish::PublishError),

    /// The daemons do not serve in time.
    #[error("the daemons did not own all slots within {READY_TIMEOUT:?}")]
    NotReady,
}

/// A running deployment.
pub struct Deployment {
    /// The log.
    pub log: Arc<log_service::Log>,

    /// The list of VMs.
    pub vms: Arc<vm_list::VmList>,

    /// Engines by endpoint name.
    pub engines: HashMap<String, Arc<engine::Engine>>,

    /// Services by endpoint name.
    pub services: HashMap<String, Arc<service::Service>>,

    /// The daemons.
    pub daemons: Vec<Arc<Daemon>>,

    /// The daemons' settings.
    pub settings: Vec<Settings>,

    /// The configuration with the addresses in use.
    pub configuration: Value,
}

/// What to start.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    /// The configuration; the endpoints' addresses are replaced.
    pub configuration: Value,

    /// Failure domain of each daemon.
    pub daemon_domains: Vec<String>,

    /// Options of all engines.
    pub engine: engine::Options,

    /// Options of all services.
    pub service: service::Options,

    /// Options of the log.
    pub log: log_service::Options,

    /// Settings that differ from the defaults.
    pub settings: Value,
}

impl DeploymentOptions {
    /// The plan of a folder of examples: one daemon in each failure domain.
    pub fn from_example(folder: &path::Path) -> Result<Self, StartError> {
        let text = std::fs::read_to_string(folder.join("configuration.json"))?;
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

fn loopback_any_port() -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts everything and waits until the daemons serve.
pub async fn start(mut options: DeploymentOptions) -> Result<Deployment, StartError> {
    let log = log_service::Log::new(options.log.clone());
    let log_running = log_service::start(loopback_any_port(), Arc::clone(&log)).await?;
    let (engines, services) = start_endpoints(&mut options).await?;
    let configuration = options.configuration.clone();
    let mut vms: Vec<Vm> = endpoint_vms(&configuration)?;
    let mut bound = Vec::new();
    let list = vm_list::VmList::new(Vec::new(), Duration::ZERO);
    let list_running = vm_list::start(loopback_any_port(), Arc::clone(&list)).await?;
    for (i, domain) in options.daemon_domains.iter().enumerate() {
        let settings = daemon_settings(&options, i, domain, log_running.addr, list_running.addr)?;
        let listeners = Listeners::bind(&settings).await?;
        vms.push(Vm {
            vm: settings.vm.clone(),
            failure_domain: settings.failure_domain.clone(),
            addr: listeners.peers.local_addr()?,
            state: VmState::Live,
        });
        bound.push((with_bound_addresses(settings, &listeners)?, listeners));
    }
    list.update(|list| *list = vms);
    let settings: Vec<Settings> = bound.iter().map(|(s, _)| s.clone()).collect();
    if let Some(first) = settings.first() {
        publish::publish(first, Version(0), &configuration).await?;
    }
    let mut daemons = Vec::new();
    for (settings, listeners) in bound {
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

type Engines = HashMap<String, Arc<engine::Engine>>;
type Services = HashMap<String, Arc<service::Service>>;

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

fn daemon_settings(
    options: &DeploymentOptions,
    index: usize,
    domain: &str,
    log: net::SocketAddr,
    vms: net::SocketAddr,
) -> Result<Settings, StartError> {
    let addr = loopback_any_port();
    let mut raw = json!({
        "vm": format!("entry-{domain}-{index}"),
        "failure_domain": domain,
        "listen": {"callers": addr, "peers": addr, "operators": addr},
        "platform": {"log": log, "vms": vms, "appends_per_second": options.log.appends_per_s},
        "lease_ms": 1_000,
        "heartbeat_ms": 100,
        "log_level": "warn"
    });
    if let (Some(raw), Some(overrides)) = (raw.as_object_mut(), options.settings.as_object()) {
        raw.extend(overrides.clone());
    }
    Ok(Settings::try_from(&raw)?)
}

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
    /// Where callers enter.
    pub fn entries(&self) -> Vec<net::SocketAddr> {
        self.settings.iter().map(|s| s.listen.callers).collect()
    }

    async fn wait_until_ready(&self) -> Result<(), StartError> {
        let ready = async {
            while !self.is_ready() {
                task::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let result = async_std::future::timeout(READY_TIMEOUT, ready).await;
        result.map_err(|_| StartError::NotReady)
    }

    /// Whether every slot has an owner that all daemons know, and the
    /// configuration is in force everywhere.
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

    /// Returns the total work done by all engines.
    pub fn total_engine_work(&self) -> engine::Stats {
        let mut total = engine::Stats::default();
        for engine in self.engines.values() {
            let work = engine.stats();
            total.calls += work.calls;
            total.received += work.received;
            total.prompt_tokens += work.prompt_tokens;
            total.cached_tokens += work.cached_tokens;
            total.decoded_tokens += work.decoded_tokens;
            total.evicted_tokens += work.evicted_tokens;
        }
        total
    }
}
