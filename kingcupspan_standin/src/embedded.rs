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
const READY_MAX: Duration = Duration::from_secs(20);

/// Pause between looks at whether they do.
const READY_TICK: Duration = Duration::from_millis(20);

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
    #[error("the daemons did not own all slots within {READY_MAX:?}")]
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
pub struct Plan {
    /// The configuration; the endpoints' addresses are replaced.
    pub configuration: Value,

    /// Failure domain of each daemon.
    pub daemons: Vec<String>,

    /// Options of all engines.
    pub engine: engine::Options,

    /// Options of all services.
    pub service: service::Options,

    /// Options of the log.
    pub log: log_service::Options,

    /// Settings that differ from the defaults.
    pub settings: Value,
}

impl Plan {
    /// The plan of a folder of examples: one daemon in each failure domain.
    pub fn of_example(folder: &path::Path) -> Result<Self, StartError> {
        let text = std::fs::read_to_string(folder.join("configuration.json"))?;
        let configuration: Value = serde_json::from_str(&text)?;
        let endpoints = configuration["endpoints"].as_array();
        let mut daemons: Vec<String> = Vec::new();
        for endpoint in endpoints.into_iter().flatten() {
            let domain = endpoint["failure_domain"].as_str().unwrap_or_default();
            if !daemons.iter().any(|d| d == domain) {
                daemons.push(domain.to_owned());
            }
        }
        Ok(Self {
            configuration,
            daemons,
            engine: engine::Options::default(),
            service: service::Options::default(),
            log: log_service::Options::default(),
            settings: json!({}),
        })
    }
}

fn any_port() -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts everything and waits until the daemons serve.
pub async fn start(mut plan: Plan) -> Result<Deployment, StartError> {
    let log = log_service::Log::new(plan.log.clone());
    let log_running = log_service::start(any_port(), Arc::clone(&log)).await?;
    let (engines, services) = start_endpoints(&mut plan).await?;
    let configuration = plan.configuration.clone();
    let mut all: Vec<Vm> = endpoint_vms(&configuration)?;
    let mut bound = Vec::new();
    let list = vm_list::VmList::new(Vec::new(), Duration::ZERO);
    let list_running = vm_list::start(any_port(), Arc::clone(&list)).await?;
    for (i, domain) in plan.daemons.iter().enumerate() {
        let settings = settings(&plan, i, domain, log_running.addr, list_running.addr)?;
        let listeners = Listeners::bind(&settings).await?;
        all.push(Vm {
            vm: settings.vm.clone(),
            failure_domain: settings.failure_domain.clone(),
            addr: listeners.peers.local_addr()?,
            state: VmState::Live,
        });
        bound.push((with_addresses(settings, &listeners)?, listeners));
    }
    list.update(|vms| *vms = all);
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

async fn start_endpoints(plan: &mut Plan) -> Result<(Engines, Services), StartError> {
    let mut engines = Engines::new();
    let mut services = Services::new();
    let endpoints = plan.configuration["endpoints"].as_array_mut();
    for endpoint in endpoints.into_iter().flatten() {
        let name = endpoint["endpoint"].as_str().unwrap_or_default().to_owned();
        let slots = endpoint["slots"].as_u64().unwrap_or(8);
        let checks_fence = endpoint["checks_fence"].as_bool().unwrap_or(false);
        let running: http::RunningServer = if endpoint.get("model").is_some() {
            let made = engine::Engine::new(engine::Options {
                batch: slots as usize,
                checks_fence,
                ..plan.engine.clone()
            });
            engines.insert(name, Arc::clone(&made));
            engine::start(any_port(), made).await?
        } else {
            let made = service::Service::new(service::Options {
                checks_fence,
                ..plan.service.clone()
            });
            services.insert(name, Arc::clone(&made));
            service::start(any_port(), made).await?
        };
        endpoint["addr"] = json!(running.addr);
    }
    Ok((engines, services))
}

fn endpoint_vms(configuration: &Value) -> Result<Vec<Vm>, StartError> {
    let checked = kingcupspan_config::configuration::Configuration::try_from(configuration)?;
    let vms = checked.endpoints.into_iter().map(|e| {
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

fn settings(
    plan: &Plan,
    n: usize,
    domain: &str,
    log: net::SocketAddr,
    vms: net::SocketAddr,
) -> Result<Settings, StartError> {
    let addr = any_port();
    let mut raw = json!({
        "vm": format!("entry-{domain}-{n}"),
        "failure_domain": domain,
        "listen": {"callers": addr, "peers": addr, "operators": addr},
        "platform": {"log": log, "vms": vms, "appends_per_second": plan.log.appends_per_s},
        "lease_ms": 1_000,
        "heartbeat_ms": 100,
        "log_level": "warn",
    });
    if let (Some(raw), Some(more)) = (raw.as_object_mut(), plan.settings.as_object()) {
        raw.extend(more.clone());
    }
    Ok(Settings::try_from(&raw)?)
}

fn with_addresses(mut settings: Settings, listeners: &Listeners) -> Result<Settings, StartError> {
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
                task::sleep(READY_TICK).await;
            }
        };
        let waited = async_std::future::timeout(READY_MAX, ready).await;
        waited.map_err(|_| StartError::NotReady)
    }

    /// Whether every slot has an owner that all daemons know, and the
    /// configuration is in force everywhere.
    fn is_ready(&self) -> bool {
        let slots = self.settings.first().map_or(0, |s| usize::from(s.slots));
        let owned = |n: usize| {
            let owners = self.daemons.iter();
            owners.filter(|d| d.slots[n].is_serving()).count() == 1
        };
        let known = |n: usize| self.daemons.iter().all(|d| d.slots[n].claim().is_some());
        let configured = |d: &Arc<Daemon>| d.configuration.get().current.version > Version(0);
        (0..slots).all(|n| owned(n) && known(n)) && self.daemons.iter().all(configured)
    }

    /// Asks all daemons for a planned stop.
    pub fn drain(&self) {
        for daemon in &self.daemons {
            daemon.drain.start();
        }
    }

    /// What all engines did.
    pub fn engines_done(&self) -> engine::Stats {
        let mut total = engine::Stats::default();
        for engine in self.engines.values() {
            let done = engine.stats();
            total.calls += done.calls;
            total.received += done.received;
            total.prompt_tokens += done.prompt_tokens;
            total.cached_tokens += done.cached_tokens;
            total.decoded_tokens += done.decoded_tokens;
            total.evicted_tokens += done.evicted_tokens;
        }
        total
    }
}
