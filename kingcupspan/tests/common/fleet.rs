//! Starting a fleet and breaking parts of it.

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
        client::{Client, Outgoing, Patience},
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

/// How long a fleet may take until it serves.
const READY_MAX: Duration = Duration::from_secs(20);

/// Key of the only caller.
pub const KEY: &str = "test-key";

/// What a fleet consists of.
pub struct Plan {
    /// Name of the test.
    pub name: &'static str,

    /// Daemons; each is in its own failure domain unless there are more than three.
    pub daemons: usize,

    /// Engines in the test's process.
    pub engines: usize,

    /// Options of these.
    pub engine: engine::Options,

    /// Engines as processes that crash on a mark.
    pub crashing_engines: usize,

    /// Services in the test's process.
    pub services: usize,

    /// Options of these.
    pub service: service::Options,

    /// Options of the log.
    pub log: log_service::Options,

    /// Limits that differ from the defaults.
    pub limits: Value,

    /// Settings that differ from the defaults.
    pub settings: Value,

    /// Whether daemons meet each other and the platform through relays.
    pub relays: bool,
}

impl Plan {
    /// Three daemons, two engines, two services.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            daemons: 3,
            engines: 2,
            engine: engine::Options::default(),
            crashing_engines: 0,
            services: 2,
            service: service::Options::default(),
            log: log_service::Options::default(),
            limits: json!({}),
            settings: json!({}),
            relays: false,
        }
    }
}

/// One daemon.
pub struct Member {
    /// Its process.
    pub process: Process,

    /// Its settings.
    pub settings: Settings,

    /// The way to the log, if there are relays.
    pub to_log: Arc<LinkFaults>,

    /// The ways to its peers, if there are relays.
    pub to_peers: Vec<Arc<LinkFaults>>,

    file: path::PathBuf,
    log: path::PathBuf,
}

/// A running fleet.
pub struct Fleet {
    /// The log.
    pub log: Arc<Log>,

    /// The list of VMs, as all daemons see it without relays.
    pub vms: Vec<Arc<VmList>>,

    /// Engines.
    pub engines: Vec<Arc<Engine>>,

    /// Engines as processes.
    pub engine_processes: Vec<Process>,

    /// Services.
    pub services: Vec<Arc<Service>>,

    /// Daemons.
    pub members: Vec<Member>,

    /// The configuration.
    pub configuration: Value,

    client: Client,
}

fn domain(n: usize) -> String {
    format!("domain-{}", n % 3)
}

fn at(ip: net::Ipv4Addr, port: usize) -> net::SocketAddr {
    (ip, port as u16).into()
}

impl Fleet {
    /// Starts a fleet and waits until it serves.
    pub async fn start(plan: Plan) -> Self {
        let ip = process::own_address();
        let folder = process::own_folder(plan.name);
        let log = Log::new(plan.log.clone());
        let log_addr = at(ip, 9_000);
        log_service::start(log_addr, Arc::clone(&log))
            .await
            .expect("log");
        let mut fleet = Self {
            log,
            vms: Vec::new(),
            engines: Vec::new(),
            engine_processes: Vec::new(),
            services: Vec::new(),
            members: Vec::new(),
            configuration: Value::Null,
            client: Client::default(),
        };
        let endpoints = fleet.start_endpoints(&plan, ip, &folder).await;
        fleet.configuration = configuration(&plan, &endpoints);
        let vms = endpoint_vms(&endpoints);
        for n in 0..plan.daemons {
            let member = fleet.start_member(&plan, ip, &folder, &vms, n).await;
            fleet.members.push(member);
        }
        let settings = fleet.members[0].settings.clone();
        let direct = Settings {
            platform: kingcupspan_config::settings::Platform {
                log: log_addr,
                ..settings.platform.clone()
            },
            ..settings
        };
        publish::publish(&direct, Version(0), &fleet.configuration)
            .await
            .expect("the first configuration");
        fleet.wait_until_ready().await;
        fleet
    }

    async fn start_endpoints(
        &mut self,
        plan: &Plan,
        ip: net::Ipv4Addr,
        folder: &path::Path,
    ) -> Vec<Value> {
        let mut endpoints = Vec::new();
        for n in 0..plan.engines + plan.crashing_engines {
            let addr = at(ip, 8_000 + n);
            if n < plan.engines {
                let engine = Engine::new(plan.engine.clone());
                engine::start(addr, Arc::clone(&engine))
                    .await
                    .expect("engine");
                self.engines.push(engine);
            } else {
                let log = folder.join(format!("engine-{n}.log"));
                let listen = addr.to_string();
                let args = ["engine", "--listen", &listen, "--crash-on", "poison"];
                self.engine_processes.push(Process::standin(&args, &log));
            }
            endpoints.push(json!({
                "endpoint": format!("engine-{n}"), "vm": format!("engine-vm-{n}"),
                "failure_domain": domain(n), "addr": addr, "model": "model",
                "slots": plan.engine.batch,
            }));
        }
        for n in 0..plan.services {
            let addr = at(ip, 8_500 + n);
            let service = Service::new(plan.service.clone());
            service::start(addr, Arc::clone(&service))
                .await
                .expect("service");
            self.services.push(service);
            endpoints.push(json!({
                "endpoint": format!("service-{n}"), "vm": format!("service-vm-{n}"),
                "failure_domain": domain(n), "addr": addr, "service": "ledger", "slots": 32,
            }));
        }
        endpoints
    }

    async fn start_member(
        &mut self,
        plan: &Plan,
        ip: net::Ipv4Addr,
        folder: &path::Path,
        endpoint_vms: &[Vm],
        n: usize,
    ) -> Member {
        let to_log: Arc<LinkFaults> = Arc::default();
        let mut to_peers = Vec::new();
        let mut vms = endpoint_vms.to_vec();
        for peer in 0..plan.daemons {
            let direct = at(ip, 7_001 + 10 * peer);
            let addr = match plan.relays && peer != n {
                true => {
                    let cut: Arc<LinkFaults> = Arc::default();
                    let near = at(ip, 10_000 + 100 * n + peer);
                    let relay = relay::start_with(near, direct, Arc::clone(&cut)).await;
                    to_peers.push(cut);
                    relay.expect("relay").addr
                }
                false => {
                    to_peers.push(Arc::default());
                    direct
                }
            };
            vms.push(Vm {
                vm: format!("entry-{peer}").parse().expect("a name"),
                failure_domain: domain(peer).parse().expect("a name"),
                addr,
                state: VmState::Live,
            });
        }
        let list = VmList::new(vms, Duration::ZERO);
        let list_addr = at(ip, 9_100 + n);
        vm_list::start(list_addr, Arc::clone(&list))
            .await
            .expect("VM list");
        self.vms.push(list);
        let log_addr = match plan.relays {
            true => {
                let near = at(ip, 11_000 + n);
                let relay = relay::start_with(near, at(ip, 9_000), Arc::clone(&to_log)).await;
                relay.expect("relay").addr
            }
            false => at(ip, 9_000),
        };
        let raw = settings(plan, ip, n, log_addr, list_addr);
        let settings = Settings::try_from(&raw).expect("settings");
        let file = folder.join(format!("entry-{n}.json"));
        fs::write(&file, raw.to_string()).expect("settings file");
        let log = folder.join(format!("entry-{n}.log"));
        Member {
            process: start_daemon(&file, &log),
            settings,
            to_log,
            to_peers,
            file,
            log,
        }
    }

    /// Starts a daemon again that was killed.
    pub fn restart(&mut self, n: usize) {
        let member = &mut self.members[n];
        member.process = start_daemon(&member.file, &member.log);
    }

    /// Where callers enter.
    pub fn entries(&self) -> Vec<net::SocketAddr> {
        let entries = self.members.iter();
        entries.map(|m| m.settings.listen.callers).collect()
    }

    /// The caller in front of all daemons.
    pub fn caller(&self) -> Caller {
        Caller::new(self.entries(), KEY)
    }

    /// The caller in front of some daemons.
    pub fn caller_at(&self, members: &[usize]) -> Caller {
        let entries = members
            .iter()
            .map(|n| self.members[*n].settings.listen.callers);
        Caller::new(entries.collect(), KEY)
    }

    /// A daemon's state, none while it does not answer.
    pub async fn dump(&self, n: usize, section: &str) -> Option<Value> {
        let addr = self.members[n].settings.listen.operators;
        let patience = Patience::all(Duration::from_millis(800));
        let out = Outgoing::new(Method::Get, addr, format!("/dump/{section}")).patience(patience);
        let reply = self.client.send(out).await.ok()?;
        let bytes = reply.bytes(64 << 20).await.ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// The daemon that owns a program, as daemon `viewer` sees it.
    pub async fn owner_of(&self, viewer: usize, program: kingcupspan_core::id::ProgramId) -> usize {
        let leases = self
            .dump(viewer, "leases")
            .await
            .expect("the viewer answers");
        let vm = &leases[usize::from(program.slot.0)]["claim"]["writer"]["vm"];
        let vm = vm.as_str().expect("the slot is claimed");
        vm.trim_start_matches("entry-")
            .parse()
            .expect("a daemon of the fleet")
    }

    /// Waits until a condition holds.
    pub async fn until<F, Fut>(&self, what: &str, patience: Duration, condition: F) -> Duration
    where
        F: Fn() -> Fut,
        Fut: Future<Output = bool>,
    {
        let begun = Instant::now();
        while !condition().await {
            assert!(
                begun.elapsed() < patience,
                "not within {patience:?}: {what}"
            );
            task::sleep(Duration::from_millis(20)).await;
        }
        begun.elapsed()
    }

    async fn wait_until_ready(&self) {
        self.until("the fleet serves", READY_MAX, || async {
            let mut owned = 0;
            let mut slots = 0;
            for n in 0..self.members.len() {
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

    /// Cuts or mends all ways between a daemon and the others, both directions.
    pub fn cut_from_peers(&self, n: usize, cut: bool) {
        for (m, member) in self.members.iter().enumerate() {
            if m == n {
                member.to_peers.iter().for_each(|c| c.set_blocked(cut));
            } else {
                member.to_peers[n].set_blocked(cut);
            }
        }
    }

    /// Waits until a service has begun a call.
    pub async fn begun(&self, key: &str) {
        let waiting = async {
            while self.ran(key) == 0 {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        let begun = async_std::future::timeout(Duration::from_secs(10), waiting).await;
        begun.expect("the call begins");
    }

    /// How often each key was run, over all services.
    pub fn ran(&self, key: &str) -> u64 {
        let counts = self
            .services
            .iter()
            .map(|s| s.executions().get(key).copied());
        counts.flatten().sum()
    }
}

fn start_daemon(file: &path::Path, log: &path::Path) -> Process {
    let file = file.to_str().expect("a path in UTF-8");
    Process::kingcupspan(&["daemon", "--settings", file], log)
}

fn settings(
    plan: &Plan,
    ip: net::Ipv4Addr,
    n: usize,
    log: net::SocketAddr,
    vms: net::SocketAddr,
) -> Value {
    let port = 7_000 + 10 * n;
    let mut raw = json!({
        "vm": format!("entry-{n}"),
        "failure_domain": domain(n),
        "listen": {
            "callers": at(ip, port), "peers": at(ip, port + 1), "operators": at(ip, port + 2),
        },
        "platform": {
            "log": log, "vms": vms, "appends_per_second": plan.log.appends_per_s,
            "retention_ms": plan.log.retention.as_millis() as u64,
        },
        "slots": 6, "lease_ms": 900, "heartbeat_ms": 100, "log_level": "info",
    });
    if let (Some(raw), Some(more)) = (raw.as_object_mut(), plan.settings.as_object()) {
        raw.extend(more.clone());
    }
    raw
}

fn configuration(plan: &Plan, endpoints: &[Value]) -> Value {
    json!({
        "defaults": plan.limits,
        "callers": [{
            "caller": "tester", "key_sha256": Digest::of(KEY.as_bytes()).to_string(),
            "weight": 1, "workspaces": ["tests"],
        }],
        "services": [{"service": "ledger", "operations": [
            {"path": "prices", "repeat": "idempotent"},
            {"path": "charges", "repeat": "non-idempotent"},
        ]}],
        "endpoints": endpoints,
    })
}

fn endpoint_vms(endpoints: &[Value]) -> Vec<Vm> {
    let vms = endpoints.iter().map(|e| {
        let text = |field: &str| e[field].as_str().expect("a text").to_owned();
        Vm {
            vm: text("vm").parse().expect("a name"),
            failure_domain: text("failure_domain").parse().expect("a name"),
            addr: text("addr").parse().expect("an address"),
            state: VmState::Live,
        }
    });
    vms.collect()
}
