//! A small deployment: the store, runners and gateways as processes on loopback addresses.

use std::{
    collections::BTreeMap,
    env, fs,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Request},
    processes::{self, signal},
    record::{Record, unix_ms},
    runner::Options,
    store::Store,
};

/// Memory of a machine in the settings; taken as MiB where it is compared.
pub const MEMORY_MB: u64 = 130;

const BEAT: Duration = Duration::from_millis(1_200);

/// Silence after which the entry of a runner is removed.
const SILENCE_MAX: Duration = Duration::from_millis(3_600);

/// A runner and the process that plays it.
struct RunnerProcess {
    options: Options,
    service: &'static str,
    zone: &'static str,
    born: u64,
    child: Option<Child>,
    /// Whether it is started again when it has crashed.
    restarts_after: Option<Duration>,
    ended_at: Option<Instant>,
    is_listed: bool,
}

/// A gateway and its process.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    store_addr: SocketAddr,
    dir: PathBuf,
    runners: Arc<Mutex<BTreeMap<String, RunnerProcess>>>,
    pub gateways: Vec<Gateway>,
    is_over: Arc<AtomicBool>,
    next_id: AtomicU64,
}

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["savannah", "mobile", "macon"];

/// A port that is free on all of the addresses.
fn free_port(ips: &[IpAddr]) -> u16 {
    loop {
        let probe = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let port = probe.local_addr().expect("an address").port();
        drop(probe);
        if ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
            return port;
        }
    }
}

impl Deployment {
    /// Starts the store; nothing else runs yet.
    pub fn new(record: Arc<Record>) -> Self {
        let (store, store_addr) = Store::start();
        let dir = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder can be created");
        let deployment = Self {
            record,
            store,
            store_addr,
            dir,
            runners: Arc::default(),
            gateways: Vec::new(),
            is_over: Arc::default(),
            next_id: AtomicU64::new(1),
        };
        deployment.beat();
        deployment
    }

    /// An identifier that no request had before.
    pub fn id(&self) -> String {
        let n = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}{n:08x}", std::process::id())
    }

    /// Writes the first configuration. `/chat/` keeps what was said; `/guide/` does not; `/lookup/`
    /// may be repeated and `/charge/` may not.
    pub fn configure(&self) {
        let stream = |name: &str, keeps: bool, priority: u32| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"streaming\",\
                 \"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":{priority},\"service\":\"feather-llm\",\
                 \"max_attempts\":1,\"retain_history\":{keeps},\"retention_s\":60.0,\"sticky\":true,\
                 \"resumable\":false,\"gap_aim_ms\":200}}"
            )
        };
        let plain = |name: &str, kind: &str, attempts: u32, timeout_ms: u32| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
                 \"timeout_ms\":{timeout_ms},\"target_latency_ms\":250,\"priority\":2,\"service\":\"shop-ledger\",\
                 \"max_attempts\":{attempts}}}"
            )
        };
        let routes = [
            stream("chat", true, 1),
            stream("guide", false, 0),
            plain("lookup", "safe", 2, 1_200),
            plain("charge", "unsafe", 1, 2_000),
        ];
        let config = format!(
            "{{\"resource_version\":7,\"routes\":[{}],\"services\":[\
             {{\"name\":\"feather-llm\",\"health_path\":\"/healthz\",\"max_connections\":180,\"protocol\":\"h1\",\"tls\":false,\
             \"engine\":{{\"slots\":16,\"kv_capacity_tokens\":132211,\"kv_token_bytes\":163840,\"link_mbps\":1100000.0,\
             \"moves\":true,\"backups\":true,\"tokens_per_event\":11,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
             \"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
             {{\"name\":\"shop-ledger\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            routes.join(",")
        );
        self.store.put("keyed.op", "config", &config);
    }

    /// Adds a runner and starts it; a crash is followed by a restart under its id after `restarts_after`.
    pub fn add_runner(
        &self,
        id: &str,
        service: &'static str,
        (events, pause_ms): (u32, u64),
        restarts_after: Option<Duration>,
    ) {
        let port = free_port(&["127.0.0.1".parse().expect("an address")]);
        let options = Options {
            id: id.to_owned(),
            addr: format!("127.0.0.1:{port}"),
            log: self.dir.join(format!("{id}.log")).display().to_string(),
            slots: if events > 0 { 16 } else { 6 },
            events,
            pause_ms,
        };
        let count = self.runners.lock().unwrap().len();
        let mut runner = RunnerProcess {
            options,
            service,
            zone: ZONES[count % ZONES.len()],
            born: 0,
            child: None,
            restarts_after,
            ended_at: None,
            is_listed: false,
        };
        runner.start();
        let mut sequence = 0;
        runner.beat(&self.store, &mut sequence);
        self.runners.lock().unwrap().insert(id.to_owned(), runner);
    }

    /// Lets all runners that live beat, and starts those again that have crashed.
    fn beat(&self) {
        let (runners, store) = (Arc::clone(&self.runners), Arc::clone(&self.store));
        let (is_over, record) = (Arc::clone(&self.is_over), Arc::clone(&self.record));
        thread::spawn(move || {
            let mut sequence = 0;
            let mut last_beat = Instant::now();
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(50));
                let is_due = last_beat.elapsed() >= BEAT;
                if is_due {
                    last_beat = Instant::now();
                }
                for runner in runners.lock().unwrap().values_mut() {
                    let has_restarted = runner.supervise(&record);
                    if runner.child.is_some() && (is_due || has_restarted) {
                        runner.beat(&store, &mut sequence);
                    }
                    if runner.is_listed
                        && runner.ended_at.is_some_and(|at| at.elapsed() > SILENCE_MAX)
                    {
                        store.put("keyed.servers", &runner.options.id, "");
                        runner.is_listed = false;
                    }
                }
            }
        });
    }

    /// Kills a runner, which is started again if it is to be.
    pub fn kill_runner(&self, id: &str) {
        self.record
            .line(&format!("runner {id} is killed (SIGKILL)"));
        let mut runners = self.runners.lock().unwrap();
        let child = runners.get_mut(id).and_then(|r| r.child.as_mut());
        let _ = child.expect("the runner runs").kill();
    }

    /// Address of a runner.
    pub fn address_of(&self, id: &str) -> String {
        self.runners.lock().unwrap()[id].options.addr.clone()
    }

    /// Lines of the logs of all runners: milliseconds, `runs` or `sent`, runner, path, request, bytes.
    pub fn runs(&self) -> Vec<(f64, Vec<String>)> {
        let mut lines = Vec::new();
        for runner in self.runners.lock().unwrap().values() {
            let text = fs::read_to_string(&runner.options.log).unwrap_or_default();
            for line in text.lines() {
                let words: Vec<String> = line.split(' ').map(str::to_owned).collect();
                let at = words[0].parse().unwrap_or(0);
                lines.push((self.record.since_start_s(at), words));
            }
        }
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        lines
    }

    /// Whether a request has run.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs()
            .iter()
            .any(|(_, words)| words[1] == "runs" && words[4] == id)
    }

    /// Starts `count` gateways and waits until they are ready.
    pub fn start_gateways(&mut self, count: usize) {
        let ips: Vec<IpAddr> = (0..count)
            .map(|i| format!("127.0.0.{}", 11 + i).parse().expect("an address"))
            .collect();
        let ports: Vec<u16> = (0..4).map(|_| free_port(&ips)).collect();
        for (i, ip) in ips.iter().enumerate() {
            let zone = ZONES[i % ZONES.len()];
            let name = format!("edge-{zone}-{}", i / ZONES.len() + 1);
            let settings = self.dir.join(format!("{name}.json"));
            fs::write(&settings, self.settings(&name, zone, *ip, &ports))
                .expect("settings can be written");
            self.gateways.push(Gateway {
                log: self.dir.join(format!("{name}.log")),
                name,
                front: SocketAddr::new(*ip, ports[0]),
                readiness: SocketAddr::new(*ip, ports[1]),
                settings,
                child: None,
            });
        }
        for i in 0..count {
            self.start_gateway(i);
        }
        for i in 0..count {
            self.wait_until_ready(i);
        }
    }

    /// Settings as the pages show them, with the addresses of this deployment.
    fn settings(&self, name: &str, zone: &str, ip: IpAddr, ports: &[u16]) -> String {
        let zones: Vec<String> = ZONES
            .iter()
            .map(|z| format!("\"{z}\":\"deep-south\""))
            .collect();
        format!(
            "{{\"node_name\":\"{name}\",\"role\":\"gateway\",\"machine_class\":\"edge\",\"serves\":[\"edge\"],\"ip\":\"{ip}\",\
             \"zone\":\"{zone}\",\"region\":\"deep-south\",\"zones\":{{{}}},\
             \"listen\":{{\"front\":\"{ip}:{}\",\"readiness\":\"{ip}:{}\"}},\"internal_ports\":[{},{}],\"seeds\":[],\
             \"bootstrap\":true,\"tolerated\":false,\
             \"limits\":{{\"cpu_share\":0.5,\"cores\":1,\"memory_mb\":{MEMORY_MB},\"max_fds\":8200,\"link_mbps\":1000.0,\"disk_mb\":0}},\
             \"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"],\
             \"fault_tolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\
             \"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"stable_window_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4.4,\
             \"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\
             \"max_skew_ms\":5000,\"recover_s\":12,\"pass_ms\":120,\"retry_after_s\":0,\"deadline_s\":10,\"settle_ms\":1000}},\
             \"platform\":{{\"address\":\"{}\",\"form\":\"log\",\"writes_per_s\":800,\"reads_per_s\":2000,\"parts\":8,\
             \"append_ms\":4.0,\"part_mb_s\":20.0,\"read_mb_s\":80.0,\"record_bytes\":262144,\"call_bytes\":2097152,\
             \"retention_s\":300,\"part_mb\":200,\"ttl_min_ms\":1000}}}}",
            zones.join(","),
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            self.store_addr
        )
    }

    /// Starts a gateway with the command of the deploy file.
    pub fn start_gateway(&mut self, i: usize) {
        let gateway = &mut self.gateways[i];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&gateway.log);
        let log = log.expect("the log can be written");
        let child = Command::new("target/release/kingcupspan")
            .arg("gateway")
            .env("KINGCUPSPAN_BOOT", &gateway.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a copy"))
            .stderr(log)
            .spawn();
        let child = child.expect("the gateway starts; build it first");
        processes::note(&child);
        gateway.child = Some(child);
        let text = format!("{} is started", self.gateways[i].name);
        self.record.line(&text);
    }

    fn pid(&self, i: usize) -> u32 {
        self.gateways[i].child.as_ref().map_or(0, Child::id)
    }

    /// Waits until the readiness probe of a gateway succeeds.
    pub fn wait_until_ready(&self, i: usize) {
        let gateway = &self.gateways[i];
        let probe = Request {
            method: "GET",
            path: "/api/readyz".into(),
            deadline_ms: 500,
            ..Request::default()
        };
        for _ in 0..200 {
            if client::send(gateway.readiness, &probe).status == 200 {
                self.record.line(&format!("{} is ready", gateway.name));
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record
            .line(&format!("{} did not become ready", gateway.name));
        self.could_not_run();
    }

    /// Kills a gateway.
    pub fn kill_gateway(&mut self, i: usize) {
        self.record
            .line(&format!("{} is killed (SIGKILL)", self.gateways[i].name));
        if let Some(mut child) = self.gateways[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            processes::forget(child.id());
        }
    }

    /// Sends SIGTERM to a gateway and waits until it has ended, for the grace time at most.
    pub fn stop_gateway(&mut self, i: usize) {
        self.record
            .line(&format!("{} gets SIGTERM", self.gateways[i].name));
        signal(self.pid(i), "TERM");
        let started = Instant::now();
        if let Some(mut child) = self.gateways[i].child.take() {
            while child.try_wait().ok().flatten().is_none() {
                if started.elapsed() > Duration::from_secs(8) {
                    let _ = child.kill();
                }
                thread::sleep(Duration::from_millis(20));
            }
            processes::forget(child.id());
        }
        self.record
            .line(&format!("{} has ended", self.gateways[i].name));
    }

    /// Largest resident memory of a gateway so far, in MB.
    pub fn peak_memory_mb(&self, i: usize) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.pid(i))).unwrap_or_default();
        let line = status
            .lines()
            .find(|l| l.starts_with("VmHWM:"))
            .unwrap_or_default();
        let kb: u64 = line
            .split_whitespace()
            .nth(1)
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        kb / 1_024
    }

    /// Memory of a gateway that no file backs, in MB.
    pub fn anonymous_memory_mb(&self, i: usize) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.pid(i))).unwrap_or_default();
        let line = status
            .lines()
            .find(|l| l.starts_with("RssAnon:"))
            .unwrap_or_default();
        let kb: u64 = line
            .split_whitespace()
            .nth(1)
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        kb / 1_024
    }

    /// Whether the process of a gateway has ended by itself.
    pub fn has_ended(&mut self, i: usize) -> bool {
        let child = self.gateways[i].child.as_mut();
        child.is_some_and(|c| c.try_wait().ok().flatten().is_some())
    }

    /// Ends all processes and removes the temporary folder.
    fn clean_up(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for gateway in &mut self.gateways {
            if let Some(mut child) = gateway.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        for runner in self.runners.lock().unwrap().values_mut() {
            runner.restarts_after = None;
            if let Some(mut child) = runner.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }

    fn could_not_run(&self) -> ! {
        self.record.line("the case could not run");
        let _ = fs::remove_dir_all(&self.dir);
        processes::abandon()
    }

    /// Ends the run: 1 if the rule was broken, 0 if it held, 2 without a result.
    pub fn end(mut self, verdict: Option<bool>, text: &str) -> ! {
        let (code, word) = match verdict {
            Some(true) => (1, "BROKEN"),
            Some(false) => (0, "HELD"),
            None => (2, "NO RESULT"),
        };
        self.record.line(&format!("{word}: {text}"));
        self.clean_up();
        std::process::exit(code)
    }
}

impl RunnerProcess {
    fn start(&mut self) {
        let own = env::current_exe().expect("the path of this program");
        let child = Command::new(own)
            .arg("runner")
            .args(self.options.to_args())
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("the runner starts");
        processes::note(&child);
        self.child = Some(child);
        self.born = unix_ms();
        self.ended_at = None;
        wait_for_listener(&self.options.addr);
    }

    /// Notices a crash and starts the runner again when it is time; returns whether it did.
    fn supervise(&mut self, record: &Record) -> bool {
        if let Some(child) = &mut self.child {
            if child.try_wait().ok().flatten().is_none() {
                return false;
            }
            processes::forget(child.id());
            self.child = None;
            self.ended_at = Some(Instant::now());
            record.line(&format!("runner {} has ended", self.options.id));
        }
        let is_due = match (self.ended_at, self.restarts_after) {
            (Some(at), Some(after)) => at.elapsed() >= after,
            _ => false,
        };
        if is_due {
            self.start();
            record.line(&format!("runner {} is back", self.options.id));
        }
        is_due
    }

    /// Writes the entry in the store.
    fn beat(&mut self, store: &Store, sequence: &mut u64) {
        *sequence += 1;
        let Options {
            id, addr, slots, ..
        } = &self.options;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{addr}\",\"zone\":\"{}\",\"resource_version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.zone, self.born
        );
        store.put("keyed.servers", id, &entry);
        self.is_listed = true;
    }
}

fn wait_for_listener(addr: &str) {
    let addr: SocketAddr = addr.parse().expect("an address");
    for _ in 0..100 {
        if std::net::TcpStream::connect(addr).is_ok() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Path for a file beside the record.
pub fn record_path(folder: &str) -> String {
    Path::new(folder).join("record.txt").display().to_string()
}
