//! A fleet of gateway processes, with simulated platform services in the test process.

use std::{fs, net, path, sync::Arc, time::Duration, time::Instant};

use async_std::task;
use http_types::Method;
use kingcupspan::edge::client::{Client, ClientRequest};
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::{Endpoint, EndpointBehavior},
    settings,
    store::Store,
};

use crate::process::{self, Process};

/// Timeout for all daemons of a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Appends a second for each daemon of a store that takes few of them.
const FEW_APPENDS_PER_S: u32 = 30;

/// Failure domains assigned to the daemons in rotation.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Behaviour of an engine that generates its events without noticeable delay.
const FAST_STREAM: EndpointBehavior = EndpointBehavior::Stream {
    events: 2,
    pause: Duration::from_millis(5),
};

/// Gateway processes, and the simulated store and endpoints that they use.
pub struct Fleet {
    pub store: Arc<Store>,

    /// Endpoint of the model service.
    pub engine: Arc<Endpoint>,

    /// Endpoints of the plain service.
    pub service_endpoints: [Arc<Endpoint>; 2],

    pub daemons: Vec<Process>,

    /// Address of each daemon.
    pub addresses: Vec<net::Ipv4Addr>,

    /// Key of the requests that find out whether a daemon serves requests.
    pub probe_key: Option<String>,

    /// Settings file of each daemon; its log is written beside it.
    pub settings_files: Vec<path::PathBuf>,
}

impl Fleet {
    /// Starts the simulated services and the daemons, and waits until they are ready.
    pub async fn start(name: &str, daemons: usize, timeout_ms: u64) -> Self {
        let store = Arc::new(Store::default());
        let servers = [Arc::clone(&store)];
        Self::start_on(name, store, &servers, daemons, timeout_ms).await
    }

    /// Starts a fleet with a configuration of its own.
    pub async fn start_with_configuration(
        name: &str,
        daemons: usize,
        configuration: &serde_json::Value,
    ) -> Self {
        let store = Arc::new(Store::default());
        let servers = [Arc::clone(&store)];
        Self::start_configured(name, store, &servers, daemons, configuration, &|_| {}).await
    }

    /// Starts a fleet whose store takes so few appends that the daemons share them.
    pub async fn start_with_few_appends(name: &str, daemons: usize, timeout_ms: u64) -> Self {
        let configuration = settings::configuration(1, timeout_ms);
        Self::start_configured_with_few_appends(name, daemons, &configuration).await
    }

    /// Starts such a fleet with a configuration of its own.
    pub async fn start_configured_with_few_appends(
        name: &str,
        daemons: usize,
        configuration: &serde_json::Value,
    ) -> Self {
        let store = Arc::new(Store::default());
        let servers = [Arc::clone(&store)];
        let appends_per_s = FEW_APPENDS_PER_S * daemons as u32;
        let edit = |settings: &mut serde_json::Value| {
            settings["platform"]["writes_per_s"] = appends_per_s.into();
        };
        Self::start_configured(name, store, &servers, daemons, configuration, &edit).await
    }

    /// Starts a daemon whose VM has the given limits.
    pub async fn start_with_limits(
        name: &str,
        configuration: &serde_json::Value,
        limits: &serde_json::Value,
    ) -> Self {
        let store = Arc::new(Store::default());
        let servers = [Arc::clone(&store)];
        let edit = |settings: &mut serde_json::Value| settings["limits"] = limits.clone();
        Self::start_configured(name, store, &servers, 1, configuration, &edit).await
    }

    /// Starts a fleet whose daemons use the given servers of the store in rotation.
    pub async fn start_on(
        name: &str,
        store: Arc<Store>,
        servers: &[Arc<Store>],
        daemons: usize,
        timeout_ms: u64,
    ) -> Self {
        let configuration = settings::configuration(1, timeout_ms);
        Self::start_configured(name, store, servers, daemons, &configuration, &|_| {}).await
    }

    /// Starts a fleet with a configuration; `edit` changes the settings of each daemon.
    async fn start_configured(
        name: &str,
        store: Arc<Store>,
        servers: &[Arc<Store>],
        daemons: usize,
        configuration: &serde_json::Value,
        edit: &dyn Fn(&mut serde_json::Value),
    ) -> Self {
        let mut store_addrs: Vec<net::SocketAddr> = Vec::new();
        for (i, server) in servers.iter().enumerate() {
            let same = servers[..i].iter().position(|s| Arc::ptr_eq(s, server));
            store_addrs.push(same.map_or_else(|| serve_store(server), |i| store_addrs[i]));
        }
        store.put("keyed.op", "config", Some(&configuration.to_string()));
        let engine = Self::start_endpoint(&store, "llm", "e1", FAST_STREAM);
        let service_endpoints = ["p1", "p2"]
            .map(|id| Self::start_endpoint(&store, "plain", id, EndpointBehavior::Plain));
        let folder = process::create_test_dir(name);
        let mut fleet = Self {
            store,
            engine,
            service_endpoints,
            daemons: Vec::new(),
            addresses: Vec::new(),
            probe_key: settings::first_key(configuration),
            settings_files: Vec::new(),
        };
        for i in 0..daemons {
            let ip = process::unique_loopback_address();
            let (vm, domain) = vm_and_domain(i);
            let store_addr = store_addrs[i % store_addrs.len()];
            let mut settings = settings::daemon(&vm, domain, ip, store_addr);
            edit(&mut settings);
            let settings_file = folder.join(format!("{vm}.json"));
            fs::write(&settings_file, settings.to_string()).expect("the folder can be written");
            fleet.daemons.push(spawn_daemon(&settings_file, &[]));
            fleet.addresses.push(ip);
            fleet.settings_files.push(settings_file);
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts a simulated endpoint and lists it in the store as ready.
    pub fn start_endpoint(
        store: &Store,
        service: &str,
        id: &str,
        behavior: EndpointBehavior,
    ) -> Arc<Endpoint> {
        Self::start_endpoint_of_version(store, service, id, behavior, settings::ENDPOINT_VERSION)
    }

    /// Starts a simulated endpoint of a software version and lists it in the store as ready.
    pub fn start_endpoint_of_version(
        store: &Store,
        service: &str,
        id: &str,
        behavior: EndpointBehavior,
        version: &str,
    ) -> Arc<Endpoint> {
        let addr = net::SocketAddr::new(process::unique_loopback_address().into(), 8080);
        let endpoint = Endpoint::new(id, behavior);
        task::spawn(Arc::clone(&endpoint).serve(addr));
        let entry = settings::versioned_entry(service, addr, "ready", version);
        store.put("keyed.servers", id, Some(&entry.to_string()));
        endpoint
    }

    /// Returns the address that the list in the store gives for a plain endpoint.
    pub fn plain_endpoint_addr(&self, id: &str) -> net::SocketAddr {
        let entry = self.store.newest_value("keyed.servers", id);
        let entry = entry.expect("the endpoint is listed");
        let entry: serde_json::Value = serde_json::from_slice(&entry).expect("the entry is JSON");
        let addr = entry["address"].as_str().expect("the entry has an address");
        addr.parse().expect("the address is one")
    }

    /// Waits until every daemon serves requests and has read the list of daemons.
    pub async fn wait_until_ready(&self) {
        let started_at = Instant::now();
        for i in 0..self.daemons.len() {
            while !self.is_ready(i).await {
                assert!(
                    started_at.elapsed() < READY_TIMEOUT,
                    "daemon {i} did not become ready in time"
                );
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        // Daemons read the list of daemons every three seconds.
        if self.daemons.len() > 1 {
            task::sleep(Duration::from_millis(3_500)).await;
        }
    }

    /// Returns whether a daemon reports that it is ready and serves requests.
    pub async fn is_ready(&self, daemon: usize) -> bool {
        let addr = net::SocketAddr::new(self.addresses[daemon].into(), 8001);
        let request = ClientRequest::new(Method::Get, addr, "/api/readyz");
        let response = Client::default().send(request).await;
        response.is_ok_and(|r| r.status == 200) && self.can_serve_requests(daemon).await
    }

    /// Returns whether a daemon answers a request to the plain service.
    pub async fn can_serve_requests(&self, daemon: usize) -> bool {
        let mut probe = Request::plain("/safe/probe", "probe");
        if let Some(key) = &self.probe_key {
            probe.headers += &format!("Authorization: Bearer {key}\r\n");
        }
        self.send(daemon, &probe).await.status == 200
    }

    /// Returns the address at which a daemon accepts callers.
    pub fn caller_addr(&self, daemon: usize) -> net::SocketAddr {
        net::SocketAddr::new(self.addresses[daemon].into(), 8000)
    }

    /// Sends a request to a daemon and returns its response.
    pub async fn send(&self, daemon: usize, request: &Request) -> Response {
        caller::send(self.caller_addr(daemon), request).await
    }

    /// Restarts a daemon with a store server of its own over the same records, so that
    /// failures of this server affect only this daemon.
    pub async fn restart_with_own_store_server(&mut self, daemon: usize) -> Arc<Store> {
        let store_server = self.store.with_shared_records();
        let addr = serve_store(&store_server);
        self.daemons[daemon].kill();
        let settings = fs::read_to_string(&self.settings_files[daemon])
            .expect("the settings file can be read");
        let mut settings: serde_json::Value =
            serde_json::from_str(&settings).expect("the settings are JSON");
        settings["platform"]["address"] = addr.to_string().into();
        fs::write(&self.settings_files[daemon], settings.to_string())
            .expect("the settings file can be written");
        self.restart(daemon);
        self.wait_until_ready().await;
        store_server
    }

    /// Returns how many requests of a type a daemon has received from other daemons.
    pub async fn peer_request_count(&self, daemon: usize, request_type: &str) -> u64 {
        let label = format!("question=\"{request_type}\"");
        self.metric(daemon, &label).await
    }

    /// Returns the version of the configuration that a daemon has activated.
    pub async fn configuration_version(&self, daemon: usize) -> u64 {
        self.metric(daemon, "kingcupspan_configuration_version ")
            .await
    }

    /// Returns what a daemon tells an operator under a path.
    pub async fn operator_text(&self, daemon: usize, path: &str) -> String {
        let addr = net::SocketAddr::new(self.addresses[daemon].into(), 7395);
        let request = ClientRequest::new(Method::Get, addr, path);
        let response = Client::default()
            .send(request)
            .await
            .expect("the daemon answers");
        let bytes = response
            .bytes(1 << 20)
            .await
            .expect("the response can be read");
        String::from_utf8(bytes).expect("the response is UTF-8")
    }

    /// Returns the value of the first metric of a daemon whose line contains `label`, 0 if there
    /// is none.
    pub async fn metric(&self, daemon: usize, label: &str) -> u64 {
        let text = self.operator_text(daemon, "/metrics").await;
        let mut lines = text.lines().filter(|l| !l.starts_with('#'));
        let line = lines.find(|l| l.contains(label));
        let count = line.and_then(|l| l.rsplit(' ').next());
        count.map_or(0, |c| c.parse().expect("the metric is a number"))
    }

    /// Returns the log of a daemon.
    pub fn log(&self, daemon: usize) -> String {
        fs::read_to_string(self.settings_files[daemon].with_extension("log"))
            .expect("the daemon has a log file")
    }

    /// Restarts all daemons one after another, each after a graceful shutdown.
    pub async fn restart_all_gracefully(&mut self) {
        for daemon in 0..self.daemons.len() {
            self.daemons[daemon].terminate();
            assert_eq!(self.daemons[daemon].wait_for_exit().await, Some(0));
            self.restart(daemon);
            self.wait_until_ready().await;
        }
    }

    /// Restarts a daemon that has ended; its settings no longer describe the first start of
    /// the system.
    pub fn restart(&mut self, daemon: usize) {
        self.restart_with(daemon, &[]);
    }

    /// Restarts a daemon that has ended, with further command-line options.
    pub fn restart_with(&mut self, daemon: usize, options: &[&str]) {
        let settings = fs::read_to_string(&self.settings_files[daemon])
            .expect("the settings file can be read");
        let restart_settings = settings.replace("\"bootstrap\":true", "\"bootstrap\":false");
        fs::write(&self.settings_files[daemon], restart_settings)
            .expect("the settings file can be written");
        self.daemons[daemon] = spawn_daemon(&self.settings_files[daemon], options);
    }
}

/// Returns the name of a daemon's VM and its failure domain.
pub fn vm_and_domain(daemon: usize) -> (String, &'static str) {
    (format!("vm-{daemon}"), DOMAINS[daemon % DOMAINS.len()])
}

/// Serves a store on an address of its own, which is returned.
fn serve_store(store: &Arc<Store>) -> net::SocketAddr {
    let addr = net::SocketAddr::new(process::unique_loopback_address().into(), 9000);
    task::spawn(Arc::clone(store).serve(addr));
    addr
}

/// Starts a gateway process with further command-line options.
fn spawn_daemon(settings_file: &path::Path, options: &[&str]) -> Process {
    let log = settings_file.with_extension("log");
    let settings_file = settings_file.to_str().expect("the path is UTF-8");
    let arguments = [&["gateway", "--settings", settings_file], options].concat();
    Process::kingcupspan(&arguments, &log)
}
