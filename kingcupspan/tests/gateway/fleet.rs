//! A fleet of gateways as processes, with the platform's stand-ins in this one.

use std::{fs, net, path, sync::Arc, time::Duration, time::Instant};

use async_std::task;
use http_types::Method;
use kingcupspan::edge::client::{Client, Outgoing};
use kingcupspan_platform_standin::{
    caller::{self, Request, Response},
    endpoint::{Endpoint, EndpointBehavior},
    settings,
    store::Store,
};

use crate::process::{self, Process};

/// How long a fleet may take until it serves.
const READY_MAX: Duration = Duration::from_secs(20);

/// Failure domains of the daemons in turn.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Time within which a stream's events may come.
const FAST: EndpointBehavior = EndpointBehavior::Stream {
    events: 2,
    pause: Duration::from_millis(5),
};

/// Gateways and what they stand between.
pub struct Fleet {
    pub store: Arc<Store>,
    pub engine: Arc<Endpoint>,
    pub plain: [Arc<Endpoint>; 2],
    pub daemons: Vec<Process>,
    pub addresses: Vec<net::Ipv4Addr>,
    pub files: Vec<path::PathBuf>,
}

impl Fleet {
    pub async fn start(name: &str, daemons: usize, timeout_ms: u64) -> Self {
        let store_addr = net::SocketAddr::new(process::own_address().into(), 9000);
        let store = Arc::new(Store::default());
        task::spawn(Arc::clone(&store).serve(store_addr));
        store.put(
            "keyed.op",
            "config",
            Some(&settings::configuration(1, timeout_ms).to_string()),
        );
        let engine = Self::endpoint(&store, "llm", "e1", FAST);
        let plain =
            ["p1", "p2"].map(|id| Self::endpoint(&store, "plain", id, EndpointBehavior::Plain));
        let folder = process::own_folder(name);
        let mut fleet = Self {
            store,
            engine,
            plain,
            daemons: Vec::new(),
            addresses: Vec::new(),
            files: Vec::new(),
        };
        for i in 0..daemons {
            let ip = process::own_address();
            let vm = format!("vm-{i}");
            let settings = settings::daemon(&vm, DOMAINS[i % DOMAINS.len()], ip, store_addr);
            let file = folder.join(format!("{vm}.json"));
            fs::write(&file, settings.to_string()).expect("the folder can be written");
            fleet.daemons.push(run(&file));
            fleet.addresses.push(ip);
            fleet.files.push(file);
        }
        fleet.ready().await;
        fleet
    }

    pub fn endpoint(
        store: &Store,
        service: &str,
        id: &str,
        manner: EndpointBehavior,
    ) -> Arc<Endpoint> {
        let addr = net::SocketAddr::new(process::own_address().into(), 8080);
        let endpoint = Endpoint::new(id, manner);
        task::spawn(Arc::clone(&endpoint).serve(addr));
        let entry = settings::entry(service, addr, "ready");
        store.put("keyed.servers", id, Some(&entry.to_string()));
        endpoint
    }

    /// Waits until every daemon serves and has seen the list of daemons.
    pub async fn ready(&self) {
        let begun = Instant::now();
        for i in 0..self.daemons.len() {
            while !self.is_ready(i).await {
                assert!(begun.elapsed() < READY_MAX, "daemon {i} does not get ready");
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        // Daemons read the list of each other every three seconds.
        if self.daemons.len() > 1 {
            task::sleep(Duration::from_millis(3_500)).await;
        }
    }

    pub async fn is_ready(&self, daemon: usize) -> bool {
        let addr = net::SocketAddr::new(self.addresses[daemon].into(), 8001);
        let out = Outgoing::new(Method::Get, addr, "/api/readyz");
        let told = Client::default().send(out).await;
        told.is_ok_and(|reply| reply.status == 200) && self.plain_works(daemon).await
    }

    pub async fn plain_works(&self, daemon: usize) -> bool {
        let probe = Request::plain("/safe/probe", "probe");
        self.send(daemon, &probe).await.status == 200
    }

    pub fn front(&self, daemon: usize) -> net::SocketAddr {
        net::SocketAddr::new(self.addresses[daemon].into(), 8000)
    }

    pub async fn send(&self, daemon: usize, request: &Request) -> Response {
        caller::send(self.front(daemon), request).await
    }

    /// Starts a daemon anew that reaches the store through a door of its own.
    pub async fn give_own_door(&mut self, daemon: usize) -> Arc<Store> {
        let door = self.store.with_shared_records();
        let addr = net::SocketAddr::new(process::own_address().into(), 9000);
        task::spawn(Arc::clone(&door).serve(addr));
        self.daemons[daemon].kill();
        let settings = fs::read_to_string(&self.files[daemon]).expect("it was written");
        let mut settings: serde_json::Value = serde_json::from_str(&settings).expect("JSON");
        settings["platform"]["address"] = addr.to_string().into();
        fs::write(&self.files[daemon], settings.to_string()).expect("it can be written");
        self.restart(daemon);
        self.ready().await;
        door
    }

    /// How often a daemon was asked a question by others.
    pub async fn questions(&self, daemon: usize, question: &str) -> u64 {
        let addr = net::SocketAddr::new(self.addresses[daemon].into(), 7395);
        let out = Outgoing::new(Method::Get, addr, "/metrics");
        let told = Client::default().send(out).await.expect("it answers");
        let bytes = told.bytes(1 << 20).await.expect("the metrics");
        let text = String::from_utf8(bytes).expect("text");
        let label = format!("question=\"{question}\"");
        let line = text.lines().find(|l| l.contains(&label));
        let count = line.and_then(|l| l.rsplit(' ').next());
        count.map_or(0, |c| c.parse().expect("a number"))
    }

    /// What a daemon has logged.
    pub fn log(&self, daemon: usize) -> String {
        fs::read_to_string(self.files[daemon].with_extension("log")).expect("a log")
    }

    /// Starts a daemon that has ended once more.
    pub fn restart(&mut self, daemon: usize) {
        let settings = fs::read_to_string(&self.files[daemon]).expect("it was written");
        let later = settings.replace("\"bootstrap\":true", "\"bootstrap\":false");
        fs::write(&self.files[daemon], later).expect("it can be written");
        self.daemons[daemon] = run(&self.files[daemon]);
    }
}

/// Starts a gateway.
fn run(file: &path::Path) -> Process {
    let log = file.with_extension("log");
    let file = file.to_str().expect("the path is text");
    Process::kingcupspan(&["gateway", "--settings", file], &log)
}
