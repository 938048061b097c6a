//! Starts a fleet of daemons with stand-ins for the platform and the endpoints, and injects
//! failures into it.

use std::{
    fs, net, path,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use http_types::Method;
use kingcupspan::{
    command::publish,
    edge::{
        client::{Client, ClientRequest, Timeouts},
        platform::{Vm, VmState},
    },
};
use kingcupspan_config::settings::Settings;
use kingcupspan_core::{digest::Digest, id::Version};
use kingcupspan_standin::{
    caller::Caller,
    engine::{self, Engine},
    log_service::{self, Log},
    relay::{self, LinkFaults, Relay},
    service::{self, Service},
    vm_list::{self, VmList},
};
use serde_json::{Value, json};

use super::process::{self, Process};

/// Maximum time until a started fleet serves requests.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// API key of the only configured caller.
pub const CALLER_KEY: &str = "test-key";

/// Components and settings of a fleet.
pub struct FleetOptions {
    /// Name of the test, used for the directory of its files.
    pub name: &'static str,

    /// Number of daemons, which are spread over three failure domains.
    pub daemon_count: usize,

    /// Number of engines that run in the test's process.
    pub engine_count: usize,

    /// Options of the engines in the test's process.
    pub engine_options: engine::Options,

    /// Number of engines that run as separate processes and crash on a prompt that contains
    /// `poison`.
    pub crashing_engine_count: usize,

    /// Number of services that run in the test's process.
    pub service_count: usize,

    /// Options of the services.
    pub service_options: service::Options,

    /// Options of the log service.
    pub log_options: log_service::Options,

    /// Limits of the configuration that differ from the defaults.
    pub limits: Value,

    /// Settings of the daemons that differ from the defaults.
    pub settings: Value,

    /// Whether daemons connect to each other and to the log through relays that can inject
    /// network faults.
    pub use_relays: bool,
}

impl FleetOptions {
    /// Returns options for three daemons, two engines and two services.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            daemon_count: 3,
            engine_count: 2,
            engine_options: engine::Options::default(),
            crashing_engine_count: 0,
            service_count: 2,
            service_options: service::Options::default(),
            log_options: log_service::Options::default(),
            limits: json!({}),
            settings: json!({}),
            use_relays: false,
        }
    }
}

/// A daemon that runs as a separate process.
pub struct Daemon {
    /// The daemon's process.
    pub process: Process,

    /// The daemon's settings.
    pub settings: Settings,

    /// Control of the daemon's connections to the log; without effect unless relays are used.
    pub log_link: Arc<LinkFaults>,

    /// Control of the daemon's connections to each peer, by the peer's number; without effect
    /// unless relays are used.
    pub peer_links: Vec<Arc<LinkFaults>>,

    /// File with the daemon's settings.
    file: path::PathBuf,

    /// File with the daemon's log output.
    log: path::PathBuf,
}

/// A running fleet.
pub struct Fleet {
    /// The log service.
    pub log: Arc<Log>,

    /// The VM list service of each daemon, by the daemon's number.
    pub vms: Vec<Arc<VmList>>,

    /// Engines that run in the test's process.
    pub engines: Vec<Arc<Engine>>,

    /// Engines that run as separate processes.
    pub engine_processes: Vec<Process>,

    /// Services that run in the test's process.
    pub services: Vec<Arc<Service>>,

    /// Daemons, by their number.
    pub daemons: Vec<Daemon>,

    /// The configuration document that was published first.
    pub configuration: Value,

    client: Client,
}

/// Returns the failure domain of daemon or endpoint `n`.
fn failure_domain(n: usize) -> String {
    format!("domain-{}", n % 3)
}

fn socket_addr(ip: net::Ipv4Addr, port: usize) -> net::SocketAddr {
    (ip, port as u16).into()
}

impl Fleet {
    /// Starts a fleet and waits until it serves requests.
    pub async fn start(options: FleetOptions) -> Self {
        let ip = process::unique_loopback_address();
        let folder = process::create_test_dir(options.name);
        let log = Log::new(options.log_options.clone());
        let log_addr = socket_addr(ip, 9_000);
        log_service::start(log_addr, Arc::clone(&log))
            .await
            .expect("the log service starts");
        let mut fleet = Self {
            log,
            vms: Vec::new(),
            engines: Vec::new(),
            engine_processes: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            configuration: Value::Null,
            client: Client::default(),
        };
        let endpoints = fleet.start_endpoints(&options, ip, &folder).await;
        fleet.configuration = configuration(&options, &endpoints);
        let vms = endpoint_vms(&endpoints);
        for n in 0..options.daemon_count {
            let daemon = fleet.start_daemon(&options, ip, &folder, &vms, n).await;
            fleet.daemons.push(daemon);
        }
        let settings = fleet.daemons[0].settings.clone();
        let direct = Settings {
            platform: kingcupspan_config::settings::Platform {
                log: log_addr,
                ..settings.platform.clone()
            },
            ..settings
        };
        publish::publish(&direct, Version(0), &fleet.configuration)
            .await
            .expect("the first configuration is published");
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts all engines and services and returns their entries in the configuration.
    async fn start_endpoints(
        &mut self,
        options: &FleetOptions,
        ip: net::Ipv4Addr,
        folder: &path::Path,
    ) -> Vec<Value> {
        let mut endpoints = Vec::new();
        for n in 0..options.engine_count + options.crashing_engine_count {
            let addr = socket_addr(ip, 8_000 + n);
            if n < options.engine_count {
                let engine = Engine::new(options.engine_options.clone());
                engine::start(addr, Arc::clone(&engine))
                    .await
                    .expect("the engine starts");
                self.engines.push(engine);
            } else {
                let log = folder.join(format!("engine-{n}.log"));
                let listen = addr.to_string();
                let args = ["engine", "--listen", &listen, "--crash-on", "poison"];
                self.engine_processes.push(Process::standin(&args, &log));
            }
            endpoints.push(json!({
                "endpoint": format!("engine-{n}"), "vm": format!("engine-vm-{n}"),
                "failure_domain": failure_domain(n), "addr": addr, "model": "model",
                "slots": options.engine_options.batch
            }));
        }
        for n in 0..options.service_count {
            let addr = socket_addr(ip, 8_500 + n);
            let service = Service::new(options.service_options.clone());
            service::start(addr, Arc::clone(&service))
                .await
                .expect("the service starts");
            self.services.push(service);
            endpoints.push(json!({
                "endpoint": format!("service-{n}"), "vm": format!("service-vm-{n}"),
                "failure_domain": failure_domain(n), "addr": addr, "service": "ledger", "slots": 32
            }));
        }
        endpoints
    }

    /// Starts daemon `n` with its VM list service and, if used, its relays.
    async fn start_daemon(
        &mut self,
        options: &FleetOptions,
        ip: net::Ipv4Addr,
        folder: &path::Path,
        endpoint_vms: &[Vm],
        n: usize,
    ) -> Daemon {
        let log_link: Arc<LinkFaults> = Arc::default();
        let mut peer_links = Vec::new();
        let mut vms = endpoint_vms.to_vec();
        for peer in 0..options.daemon_count {
            let direct = socket_addr(ip, 7_001 + 10 * peer);
            let addr = match options.use_relays && peer != n {
                true => {
                    let cut: Arc<LinkFaults> = Arc::default();
                    let relay_addr = socket_addr(ip, 10_000 + 100 * n + peer);
                    let relay = relay::start_with(relay_addr, direct, Arc::clone(&cut)).await;
                    peer_links.push(cut);
                    relay.expect("the relay starts").addr
                }
                false => {
                    peer_links.push(Arc::default());
                    direct
                }
            };
            vms.push(Vm {
                vm: format!("entry-{peer}").parse().expect("the name is valid"),
                failure_domain: failure_domain(peer).parse().expect("the name is valid"),
                addr,
                state: VmState::Live,
            });
        }
        let list = VmList::new(vms, Duration::ZERO);
        let list_addr = socket_addr(ip, 9_100 + n);
        vm_list::start(list_addr, Arc::clone(&list))
            .await
            .expect("the VM list service starts");
        self.vms.push(list);
        let log_addr = match options.use_relays {
            true => {
                let relay_addr = socket_addr(ip, 11_000 + n);
                let relay =
                    relay::start_with(relay_addr, socket_addr(ip, 9_000), Arc::clone(&log_link))
                        .await;
                relay.expect("the relay starts").addr
            }
            false => socket_addr(ip, 9_000),
        };
        let raw = settings(options, ip, n, log_addr, list_addr);
        let settings = Settings::try_from(&raw).expect("the settings are valid");
        let file = folder.join(format!("entry-{n}.json"));
        fs::write(&file, raw.to_string()).expect("the settings file can be written");
        let log = folder.join(format!("entry-{n}.log"));
        Daemon {
            process: spawn_daemon(&file, &log),
            settings,
            log_link,
            peer_links,
            file,
            log,
        }
    }

    /// Restarts a killed daemon with the settings it had before.
    pub fn restart(&mut self, n: usize) {
        let daemon = &mut self.daemons[n];
        daemon.process = spawn_daemon(&daemon.file, &daemon.log);
    }

    /// Returns the caller addresses of all daemons.
    pub fn caller_addrs(&self) -> Vec<net::SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.map(|d| d.settings.listen.callers).collect()
    }

    /// Creates a caller that uses all daemons.
    pub fn caller(&self) -> Caller {
        Caller::new(self.caller_addrs(), CALLER_KEY)
    }

    /// Creates a caller that uses only the given daemons.
    pub fn caller_via(&self, daemons: &[usize]) -> Caller {
        let addrs = daemons
            .iter()
            .map(|n| self.daemons[*n].settings.listen.callers);
        Caller::new(addrs.collect(), CALLER_KEY)
    }

    /// Fetches a section of a daemon's state dump, or `None` if the daemon does not respond.
    pub async fn dump(&self, n: usize, section: &str) -> Option<Value> {
        let addr = self.daemons[n].settings.listen.operators;
        let timeouts = Timeouts::all(Duration::from_millis(800));
        let out =
            ClientRequest::new(Method::Get, addr, format!("/dump/{section}")).timeouts(timeouts);
        let reply = self.client.send(out).await.ok()?;
        let bytes = reply.bytes(64 << 20).await.ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Returns the number of the daemon that owns a program according to daemon `viewer`.
    pub async fn owner_of(&self, viewer: usize, program: kingcupspan_core::id::ProgramId) -> usize {
        let leases = self
            .dump(viewer, "leases")
            .await
            .expect("the daemon responds with its leases");
        let vm = &leases[usize::from(program.slot.0)]["claim"]["writer"]["vm"];
        let vm = vm.as_str().expect("a daemon has claimed the slot");
        vm.trim_start_matches("entry-")
            .parse()
            .expect("the owner is a daemon of the fleet")
    }

    /// Waits until a condition holds and returns the time it took.
    ///
    /// Panics if the condition does not hold within the timeout; `what` describes it.
    pub async fn wait_until<F, Fut>(&self, what: &str, timeout: Duration, condition: F) -> Duration
    where
        F: Fn() -> Fut,
        Fut: Future<Output = bool>,
    {
        let started_at = Instant::now();
        while !condition().await {
            assert!(
                started_at.elapsed() < timeout,
                "condition not met within {timeout:?}: {what}"
            );
            task::sleep(Duration::from_millis(20)).await;
        }
        started_at.elapsed()
    }

    /// Waits until every daemon has the configuration and every slot has an owner.
    async fn wait_until_ready(&self) {
        self.wait_until("the fleet serves requests", READY_TIMEOUT, || async {
            let mut owned = 0;
            let mut slots = 0;
            for n in 0..self.daemons.len() {
                let Some(leases) = self.dump(n, "leases").await else {
                    return false;
                };
                let Some(configuration) = self.dump(n, "configuration").await else {
                    return false;
                };
                let leases = leases.as_array().cloned().unwrap_or_default();
                slots = leases.len();
                owned += leases.iter().filter(|l| l["role"] == "owning").count();
                let known = leases.iter().all(|l| !l["claim"].is_null());
                if !known || configuration["version"] == 0 {
                    return false;
                }
            }
            owned == slots
        })
        .await;
    }

    /// Cuts or restores the connections between a daemon and all its peers in both directions.
    pub fn set_peer_links_cut(&self, n: usize, cut: bool) {
        for (m, daemon) in self.daemons.iter().enumerate() {
            if m == n {
                daemon.peer_links.iter().for_each(|c| c.set_blocked(cut));
            } else {
                daemon.peer_links[n].set_blocked(cut);
            }
        }
    }

    /// Waits until a service has started the call with the given idempotency key.
    pub async fn wait_for_call_start(&self, key: &str) {
        let waiting = async {
            while self.run_count(key) == 0 {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        let started = async_std::future::timeout(Duration::from_secs(10), waiting).await;
        started.expect("the call starts");
    }

    /// Returns how many times the call with the given idempotency key was run by all services.
    pub fn run_count(&self, key: &str) -> u64 {
        let counts = self
            .services
            .iter()
            .map(|s| s.executions().get(key).copied());
        counts.flatten().sum()
    }
}

/// Starts a daemon's process with a settings file.
fn spawn_daemon(file: &path::Path, log: &path::Path) -> Process {
    let file = file.to_str().expect("the path is UTF-8");
    Process::kingcupspan(&["daemon", "--settings", file], log)
}

/// Returns the settings of daemon `n` as JSON.
fn settings(
    options: &FleetOptions,
    ip: net::Ipv4Addr,
    n: usize,
    log: net::SocketAddr,
    vms: net::SocketAddr,
) -> Value {
    let port = 7_000 + 10 * n;
    let mut raw = json!({
        "vm": format!("entry-{n}"),
        "failure_domain": failure_domain(n),
        "listen": {
            "callers": socket_addr(ip, port), "peers": socket_addr(ip, port + 1), "operators": socket_addr(ip, port + 2)
        },
        "platform": {
            "log": log, "vms": vms, "appends_per_second": options.log_options.appends_per_s,
            "retention_ms": options.log_options.retention.as_millis() as u64
        },
        "slots": 6, "lease_ms": 900, "heartbeat_ms": 100, "log_level": "info"
    });
    if let (Some(raw), Some(more)) = (raw.as_object_mut(), options.settings.as_object()) {
        raw.extend(more.clone());
    }
    raw
}

/// Returns the configuration document that the fleet starts with.
fn configuration(options: &FleetOptions, endpoints: &[Value]) -> Value {
    json!({
        "defaults": options.limits,
        "callers": [{
            "caller": "tester", "key_sha256": Digest::of(CALLER_KEY.as_bytes()).to_string(),
            "weight": 1, "workspaces": ["tests"]
        }],
        "services": [{"service": "ledger", "operations": [
            {"path": "prices", "repeat": "idempotent"},
            {"path": "charges", "repeat": "non-idempotent"}
        ]}],
        "endpoints": endpoints
    })
}

/// Builds the VM list entries for the VMs on which the endpoints run.
fn endpoint_vms(endpoints: &[Value]) -> Vec<Vm> {
    let vms = endpoints.iter().map(|e| {
        let text = |field: &str| e[field].as_str().expect("the field is a string").to_owned();
        Vm {
            vm: text("vm").parse().expect("the name is valid"),
            failure_domain: text("failure_domain").parse().expect("the name is valid"),
            addr: text("addr").parse().expect("the address is valid"),
            state: VmState::Live,
        }
    });
    vms.collect()
}
