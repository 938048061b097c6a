//! Snapshot tests of recorded sessions: each directory of `ref/` holds a configuration, a script
//! of requests and the expected transcript. Daemons and stand-ins run as separate processes.

mod common;

use std::{fs, net, path, time::Duration};

use async_std::task;
use common::process::{self, Process};
use http_types::Method;
use kingcupspan::edge::client::{Client, ClientRequest, Timeouts};
use serde::Deserialize;
use serde_json::{Value, json};

/// Maximum time until the started fleet serves requests.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum duration of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Failure domains of the three daemons.
const DOMAINS: [&str; 3] = ["savannah", "mobile", "macon"];

/// One request of a script.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    /// Number of the daemon that gets the request.
    entry: usize,
    /// API key of the caller.
    key: String,
    method: String,
    /// Path, in which `$name` stands for the id of an opened program.
    path: String,
    #[serde(default)]
    headers: Vec<(String, String)>,
    #[serde(default)]
    body: Value,
    /// Name under which the script refers to the program that the request opens.
    opens: Option<String>,
}

/// A fleet of separate processes and the programs that the script has opened.
struct Session {
    ip: net::Ipv4Addr,
    folder: path::PathBuf,
    processes: Vec<Process>,
    client: Client,

    /// Name in the script and id of each opened program.
    programs: Vec<(String, String)>,
}

impl Session {
    fn addr(&self, port: u16) -> net::SocketAddr {
        (self.ip, port).into()
    }

    /// Starts a stand-in process; the first argument is the stand-in's kind.
    fn start_standin(&mut self, name: &str, args: &[&str], port: u16) {
        let listen = self.addr(port).to_string();
        let mut all = vec![args[0], "--listen", &listen];
        all.extend(&args[1..]);
        let log = self.folder.join(format!("{name}.log"));
        self.processes.push(Process::standin(&all, &log));
    }

    /// Starts the stand-ins and daemons of a session and publishes its configuration.
    fn start(folder: &path::Path, name: &str) -> Self {
        let mut session = Self {
            ip: process::unique_loopback_address(),
            folder: process::create_test_dir(name),
            processes: Vec::new(),
            client: Client::default(),
            programs: Vec::new(),
        };
        let text = fs::read_to_string(folder.join("configuration.json"))
            .expect("the configuration can be read");
        let text = text.replace("127.0.0.1", &session.ip.to_string());
        let configuration = session.folder.join("configuration.json");
        fs::write(&configuration, &text).expect("the copy of the configuration can be written");
        let list = session.write_vm_list(&text);
        session.start_standin("log", &["log"], 9_000);
        session.start_standin("vms", &["vms", &list], 9_001);
        session.start_standin("weights", &["weights"], 9_002);
        session.start_standin("engine-0", &["engine", "--checks-fence"], 8_000);
        session.start_standin("engine-1", &["engine"], 8_001);
        session.start_standin("service-0", &["service"], 8_100);
        session.start_standin("service-1", &["service"], 8_101);
        let mut settings = String::new();
        for n in 0..DOMAINS.len() {
            settings = session.start_daemon(n);
        }
        session.publish(&settings, &configuration);
        session
    }

    /// Writes the list of VMs to a file and returns the file's path.
    fn write_vm_list(&self, configuration: &str) -> String {
        let configuration: Value =
            serde_json::from_str(configuration).expect("the configuration is JSON");
        let endpoints = configuration["endpoints"]
            .as_array()
            .expect("the configuration lists endpoints");
        let mut vms: Vec<Value> = endpoints
            .iter()
            .map(|e| {
                json!({"vm": e["vm"], "failure_domain": e["failure_domain"],
                       "addr": e["addr"], "state": "live"})
            })
            .collect();
        for (n, domain) in DOMAINS.iter().enumerate() {
            let addr = self.addr(7_001 + 10 * n as u16);
            vms.push(
                json!({"vm": format!("entry-{domain}"), "failure_domain": domain,
                            "addr": addr, "state": "live"}),
            );
        }
        let file = self.folder.join("vms.json");
        fs::write(&file, json!(vms).to_string()).expect("the list of VMs can be written");
        file.to_str().expect("the path is UTF-8").to_owned()
    }

    /// Starts daemon `n` and returns the path of its settings file.
    fn start_daemon(&mut self, n: usize) -> String {
        let port = 7_000 + 10 * n as u16;
        let settings = json!({
            "vm": format!("entry-{}", DOMAINS[n]),
            "failure_domain": DOMAINS[n],
            "listen": {
                "callers": self.addr(port), "peers": self.addr(port + 1),
                "operators": self.addr(port + 2)
            },
            "platform": {"log": self.addr(9_000), "vms": self.addr(9_001)},
            "slots": 3, "lease_ms": 1_000, "heartbeat_ms": 100
        });
        let file = self.folder.join(format!("entry-{n}.json"));
        fs::write(&file, settings.to_string()).expect("the settings can be written");
        let file = file.to_str().expect("the path is UTF-8").to_owned();
        let log = self.folder.join(format!("entry-{n}.log"));
        let daemon = Process::kingcupspan(&["daemon", "--settings", &file], &log);
        self.processes.push(daemon);
        file
    }

    /// Publishes the configuration with the `kingcupspan publish` command, as an operator does.
    fn publish(&self, settings: &str, configuration: &path::Path) {
        let configuration = configuration.to_str().expect("the path is UTF-8");
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_kingcupspan"))
            .args([
                "publish",
                "--settings",
                settings,
                "--base",
                "0",
                configuration,
            ])
            .output()
            .expect("kingcupspan publish runs");
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(stdout, "version 1 is published\n", "{output:?}");
    }

    async fn wait_until_ready(&self) {
        let started_at = std::time::Instant::now();
        while !self.is_ready().await {
            assert!(
                started_at.elapsed() < READY_TIMEOUT,
                "the fleet does not serve requests in time"
            );
            task::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Whether all daemons have the configuration and own all slots between them.
    async fn is_ready(&self) -> bool {
        let mut owned = 0;
        for n in 0..DOMAINS.len() as u16 {
            let addr = self.addr(7_002 + 10 * n);
            let out = ClientRequest::new(Method::Get, addr, "/dump")
                .timeouts(Timeouts::all(Duration::from_secs(1)));
            let Ok(reply) = self.client.send(out).await else {
                return false;
            };
            let bytes = reply.bytes(16 << 20).await.unwrap_or_default();
            let dump: Value = serde_json::from_slice(&bytes).unwrap_or_default();
            if dump["configuration"]["version"] != 1 {
                return false;
            }
            let leases = dump["leases"].as_array().cloned().unwrap_or_default();
            owned += leases.iter().filter(|l| l["role"] == "owning").count();
        }
        owned == 3
    }

    /// Sends a request of the script and returns the request and its response as text.
    async fn run_step(&mut self, step: &Step) -> String {
        let method: Method = step.method.parse().expect("the method is valid");
        let path = self.replace_names_with_ids(&step.path);
        let entry = self.addr(7_000 + 10 * step.entry as u16);
        let mut out = ClientRequest::new(method, entry, path)
            .header("Authorization", format!("Bearer {}", step.key))
            .timeouts(Timeouts::all(REQUEST_TIMEOUT));
        for (name, value) in &step.headers {
            let name: &'static str = name.clone().leak();
            out = out.header(name, self.replace_names_with_ids(value));
        }
        if !step.body.is_null() {
            out.body = self
                .replace_names_with_ids(&step.body.to_string())
                .into_bytes();
        }
        let reply = self.client.send(out).await.expect("the daemon responds");
        let status = reply.status;
        let kind = reply.header("Content-Type").unwrap_or("-").to_owned();
        let body = reply
            .bytes(16 << 20)
            .await
            .expect("the response is complete");
        let body = String::from_utf8_lossy(&body).into_owned();
        if let Some(name) = &step.opens {
            let opened: Value = serde_json::from_str(&body).unwrap_or_default();
            let id = opened["program"]
                .as_str()
                .expect("the response contains a program id")
                .to_owned();
            self.programs.push((name.clone(), id));
        }
        let body = self.normalize_response(&body);
        format!(
            "{} {} at {}\n{status} {kind}\n{body}\n",
            step.method, step.path, DOMAINS[step.entry]
        )
    }

    /// Replaces `$name` with the id of the program opened under that name.
    fn replace_names_with_ids(&self, text: &str) -> String {
        let programs = self.programs.iter();
        programs.fold(text.to_owned(), |text, (name, id)| {
            text.replace(&format!("${name}"), id)
        })
    }

    /// Replaces program ids with their names and the program's end time with 0.
    fn normalize_response(&self, text: &str) -> String {
        let programs = self.programs.iter();
        let text = programs.fold(text.to_owned(), |t, (name, id)| {
            t.replace(id, &format!("${name}"))
        });
        // The end of a program depends on the time at which the test runs.
        let Some(at) = text.find("\"ends_at_ms\":") else {
            return text;
        };
        let digits = text[at + 13..].find(|c: char| !c.is_ascii_digit());
        let end = at + 13 + digits.unwrap_or(0);
        format!("{}\"ends_at_ms\":0{}", &text[..at], &text[end..])
    }
}

#[test]
fn sessions_match_recorded_transcripts() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/ref");
    let mut folders: Vec<_> = fs::read_dir(root)
        .expect("the sessions can be listed")
        .filter_map(|e| e.ok().map(|e| e.path()))
        .filter(|p| p.is_dir())
        .collect();
    folders.sort();
    assert!(!folders.is_empty());
    for folder in folders {
        run_session(&folder);
    }
}

/// Runs the script in a directory and compares the transcript with the recorded one.
fn run_session(folder: &path::Path) {
    let name = folder
        .file_name()
        .and_then(|n| n.to_str())
        .expect("the directory has a name");
    let script = fs::read_to_string(folder.join("script.json")).expect("the script can be read");
    let script: Vec<Step> = serde_json::from_str(&script).expect("the script is valid");
    let transcript = task::block_on(async {
        let mut session = Session::start(folder, name);
        session.wait_until_ready().await;
        let mut transcript = String::new();
        for step in &script {
            transcript.push_str(&session.run_step(step).await);
            transcript.push('\n');
        }
        transcript
    });
    insta::with_settings!({snapshot_path => folder, prepend_module_to_snapshot => false}, {
        insta::assert_snapshot!("transcript", transcript);
    });
}
