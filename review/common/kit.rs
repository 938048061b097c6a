//! Stand-ins for the review scripts: the platform's store, runners, clients, and the
//! processes of the gateway. Uses the standard library only.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Time after which a case is given up.
const WATCHDOG: Duration = Duration::from_secs(116);

/// Largest number of records in a page of the newest records.
const PAGE_RECORDS: usize = 500;
/// Largest size of a page of the newest records, in bytes.
const PAGE_BYTES: usize = 1_000_000;
/// Largest size of a read, in bytes.
const READ_BYTES: usize = 1024 * 1024;
/// Largest record, as in the settings of the gateway.
pub const RECORD_BYTES: usize = 262_144;
/// Largest sum of the records of one append, as in the settings of the gateway.
pub const CALL_BYTES: usize = 2_097_152;
/// Duration of an append.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// Interval at which a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGSTOP: i32 = 19;
const SIGCONT: i32 = 18;

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Process ids of the gateways that are running, to end them whatever happens.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all gateways and then this process.
pub fn finish(code: i32) -> ! {
    let running = RUNNING.lock().map(|r| r.clone()).unwrap_or_default();
    for pid in running {
        unsafe { kill(pid as i32, SIGKILL) };
    }
    process::exit(code)
}

/// State that the parts of a case share.
pub struct Case {
    /// Start of the case.
    pub start: Instant,
    /// Whether the disruption takes place.
    pub trouble: bool,
    record: Mutex<fs::File>,
    /// Folder for settings and logs of the gateways.
    pub folder: PathBuf,
    root: PathBuf,
    network: (u8, u8),
}

impl Case {
    /// Prepares a case; arguments are the project's folder and the path of the record.
    pub fn begin() -> Arc<Self> {
        std::panic::set_hook(Box::new(|info| {
            eprintln!("case could not run: {info}");
            finish(NOT_RUN)
        }));
        let mut args = env::args().skip(1);
        let root = PathBuf::from(args.next().expect("the project's folder"));
        let record = args.next().expect("the path of the record");
        let trouble = env::var("TROUBLE").map_or(true, |t| t != "0");
        let folder = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        thread::spawn(|| {
            thread::sleep(WATCHDOG);
            eprintln!("case took too long");
            finish(NOT_RUN)
        });
        let case = Arc::new(Self {
            start: Instant::now(),
            trouble,
            record: Mutex::new(fs::File::create(record).expect("the record can be written")),
            folder,
            root,
            network: free_network(),
        });
        case.note(&format!("case starts, trouble={}", u8::from(trouble)));
        case
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut record = self.record.lock().unwrap();
        writeln!(record, "{at:9.3} {line}").expect("the record can be written");
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Ends the case with a verdict.
    pub fn end(&self, broken: bool, why: &str) -> ! {
        self.note(&format!(
            "{}: {why}",
            if broken { "BROKEN" } else { "HELD" }
        ));
        println!("{}: {why}", if broken { "broken" } else { "held" });
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        finish(if broken { BROKEN } else { HELD })
    }

    /// Ends the case as one that could not run.
    pub fn cannot_run(&self, why: &str) -> ! {
        self.note(&format!("NOT RUN: {why}"));
        let _ = fs::remove_dir_all(&self.folder);
        eprintln!("could not run: {why}");
        finish(NOT_RUN)
    }

    /// Loopback address of a machine.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, machine)
    }

    /// Address of a port on a machine.
    pub fn addr(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddrV4::new(self.ip(machine), port).into()
    }
}

/// Finds part of the loopback network whose ports are free.
fn free_network() -> (u8, u8) {
    let mut seed = process::id() ^ (wall_ms() as u32);
    for _ in 0..50 {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let network = (64 + (seed >> 24) as u8 % 128, (seed >> 16) as u8);
        let is_free = |machine: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, network.0, network.1, machine), port)).is_ok()
        };
        if (1..30).all(|m| {
            [8142, 8149, 7380, 7395, 9100]
                .iter()
                .all(|p| is_free(m, *p))
        }) {
            return network;
        }
    }
    panic!("no free loopback addresses")
}

/// Unix time in milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// An HTTP message, of which only what the cases need is kept.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Headers with names in lower case.
    pub headers: HashMap<String, String>,
    /// The body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the whole message arrived.
    pub is_whole: bool,
}

impl Message {
    /// Value of a header, empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    /// The request's id.
    pub fn id(&self) -> &str {
        self.header("kingcupspan-request-id")
    }

    /// Number of events with data in a stream.
    pub fn events(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.body);
        text.split("\n\n")
            .filter(|e| e.lines().any(|l| l.starts_with("data:")))
            .count() as u64
    }

    /// Data of each event in a stream, each followed by a line feed.
    pub fn event_data(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        let data = |e: &str| {
            e.lines()
                .find_map(|l| l.strip_prefix("data: ").map(str::to_owned))
        };
        text.split("\n\n")
            .filter_map(data)
            .map(|d| d + "\n")
            .collect()
    }
}

/// Reads a message head; `None` at the end of the connection.
fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads the body of a message whose head was read.
fn read_body(stream: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        message.body = body;
    }
    message.is_whole = true;
    Ok(())
}

/// A record of a partition.
#[derive(Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
}

/// The platform's store.
#[derive(Default)]
pub struct Store {
    partitions: Mutex<HashMap<(String, u32), Vec<Record>>>,
    changed: Condvar,
    is_silent: AtomicBool,
}

impl Store {
    /// Starts the store on an address.
    pub fn start(addr: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind(addr).expect("the store's address is free");
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Makes the store answer nothing, or answer again.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Whether the store answers nothing.
    pub fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::SeqCst)
    }

    /// Appends a record as the operator or a runner does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = Record {
            key: key.to_owned(),
            value: value.as_bytes().to_vec(),
        };
        let mut partitions = self.partitions.lock().unwrap();
        partitions
            .entry((topic.to_owned(), 0))
            .or_default()
            .push(record);
        self.changed.notify_all();
    }

    /// Answers the calls on a connection; while the store is silent, none is carried out or
    /// answered.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().expect("a socket can be cloned");
        let mut stream = BufReader::new(stream);
        while let Ok(Some(mut call)) = read_head(&mut stream) {
            if read_body(&mut stream, &mut call).is_err() {
                return;
            }
            if self.is_silent() {
                while self.is_silent() {
                    thread::sleep(Duration::from_millis(50));
                }
                return;
            }
            let (status, body) = self.answer(&call);
            if self.is_silent() {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    /// Carries out a call and returns status and body of the answer.
    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let text = |name: &str| query.get(name).copied().unwrap_or_default().to_owned();
        let number = |name: &str| text(name).parse::<usize>().unwrap_or(0);
        let partition = (text("topic"), number("part") as u32);
        match (call.method(), path) {
            ("POST", "/api/log-append") => self.append(partition, &call.body),
            ("GET", "/api/log-read") => self.read(&partition, number("from"), number("wait_ms")),
            ("GET", "/api/log-newest") => self.newest(&partition, &text("after")),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, partition: (String, u32), body: &[u8]) -> (u16, Vec<u8>) {
        if ["keyed.op", "keyed.servers"].contains(&partition.0.as_str()) {
            return (403, Vec::new());
        }
        let mut records = Vec::new();
        let mut rest = body;
        while rest.len() > 4 {
            let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if size > RECORD_BYTES || body.len() > CALL_BYTES {
                return (413, Vec::new());
            }
            if rest.len() < 4 + size || size == 0 {
                return (400, Vec::new());
            }
            let content = &rest[4..4 + size];
            let key_size = content[0] as usize;
            records.push(Record {
                key: String::from_utf8_lossy(&content[1..1 + key_size]).into_owned(),
                value: content[1 + key_size..].to_vec(),
            });
            rest = &rest[4 + size..];
        }
        thread::sleep(APPEND_TIME);
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(partition).or_default();
        let offset = partition.len();
        partition.extend(records);
        let end = partition.len();
        self.changed.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
        )
    }

    fn read(&self, partition: &(String, u32), from: usize, wait_ms: usize) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms as u64);
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let end = partitions.get(partition).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() || self.is_silent() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                let records = partitions.get(partition).map_or(&[][..], Vec::as_slice);
                for record in records.iter().skip(from) {
                    if body.len() > READ_BYTES {
                        break;
                    }
                    let size = 1 + record.key.len() + record.value.len();
                    body.extend((size as u32).to_be_bytes());
                    body.push(record.key.len() as u8);
                    body.extend(record.key.as_bytes());
                    body.extend(&record.value);
                }
                return (200, body);
            }
            partitions = self.changed.wait_timeout(partitions, left).unwrap().0;
        }
    }

    fn newest(&self, partition: &(String, u32), after: &str) -> (u16, Vec<u8>) {
        let partitions = self.partitions.lock().unwrap();
        let Some(records) = partitions.get(partition) else {
            return (404, Vec::new());
        };
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(&record.key, (offset, &record.value));
        }
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (offset, value)) in newest {
            if value.is_empty() || key <= after {
                continue;
            }
            if items.len() == PAGE_RECORDS || (bytes > PAGE_BYTES && !items.is_empty()) {
                has_more = true;
                break;
            }
            bytes += value.len();
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"end\":{}}}",
            items.join(","),
            records.len()
        );
        (200, body.into_bytes())
    }
}

/// Encodes bytes in base64.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let b = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let n = (u32::from(b[0]) << 16) | (u32::from(b[1]) << 8) | u32::from(b[2]);
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= group.len() { digit } else { '=' });
        }
    }
    text
}

/// A request that a runner has read, and the connection to answer on.
pub struct Call<'a> {
    /// The request.
    pub request: Message,
    /// The connection.
    pub out: &'a mut TcpStream,
    /// Number of the connection, unique within the runner.
    pub connection: u64,
}

impl Call<'_> {
    /// Sends bytes; false if the connection is closed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.out.write_all(bytes).is_ok()
    }

    /// Head of a signed answer, without framing and the empty line.
    pub fn signed_head(&self, runner: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nKingcupspan-Request-Id: {}\r\n\
             Kingcupspan-Server-Signature: sig-{runner}\r\n",
            self.request.id()
        )
    }

    /// Streams events with a pause before each.
    pub fn stream_events(&mut self, runner: &str, events: u64, pause: Duration) -> bool {
        let head = self.signed_head(runner)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let id = self.request.id().to_owned();
        let mut is_open = self.send(head.as_bytes());
        for number in 1..=events {
            thread::sleep(pause);
            let event = format!("id: {number}\ndata: {id}.{number}\n\n");
            is_open = is_open && self.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        }
        is_open && self.send(b"0\r\n\r\n")
    }
}

/// Handler of a runner: answers a request and returns whether the connection stays open.
type Handler = dyn Fn(&mut Call<'_>) -> bool + Send + Sync;

/// Starts a runner that registers itself in the store and answers 421 to what is meant for
/// another runner.
pub fn start_runner(
    case: &Arc<Case>,
    store: &Arc<Store>,
    id: &str,
    place: (u8, &str, &str),
    slots: u32,
    handler: impl Fn(&mut Call<'_>) -> bool + Send + Sync + 'static,
) {
    let (machine, service, zone) = place;
    let addr = case.addr(machine, 9100);
    let listener = TcpListener::bind(addr).expect("the runner's address is free");
    let handler: Arc<Handler> = Arc::new(handler);
    let connections = Arc::new(AtomicU64::new(0));
    let name = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let connection = connections.fetch_add(1, Ordering::SeqCst);
            let name = name.clone();
            thread::spawn(move || serve_runner(stream, &name, connection, &*handler));
        }
    });
    let entry = (
        service.to_owned(),
        zone.to_owned(),
        id.to_owned(),
        wall_ms(),
    );
    let store = Arc::clone(store);
    let register = move |sequence: u32| {
        let (service, zone, id, born) = &entry;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"resource_version\":1,\"slots\":{slots},\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put("keyed.servers", id, &value);
        Arc::clone(&store)
    };
    register(0);
    thread::spawn(move || {
        for sequence in 1.. {
            thread::sleep(HEARTBEAT);
            let store = register(sequence);
            while store.is_silent() {
                thread::sleep(Duration::from_millis(50));
            }
        }
    });
}

/// Serves the requests on a connection of a runner.
fn serve_runner(stream: TcpStream, id: &str, connection: u64, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut out = stream.try_clone().expect("a socket can be cloned");
    let mut stream = BufReader::new(stream);
    while let Ok(Some(mut request)) = read_head(&mut stream) {
        if read_body(&mut stream, &mut request).is_err() {
            return;
        }
        let target = request.header("kingcupspan-target-instance").to_owned();
        let mut call = Call {
            request,
            out: &mut out,
            connection,
        };
        if !target.is_empty() && target != id {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected\r\nKingcupspan-Request-Id: {}\r\n\
                 Kingcupspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                call.request.id()
            );
            if !call.send(refusal.as_bytes()) {
                break;
            }
            continue;
        }
        if !handler(&mut call) {
            break;
        }
    }
    let _ = out.shutdown(Shutdown::Both);
}

/// A gateway process, started with the command of the deploy file.
pub struct Gateway {
    /// Name of its machine.
    pub name: String,
    zone: String,
    machine: u8,
    child: Option<Child>,
    starts: u32,
    case: Arc<Case>,
}

/// Memory of a machine, in MB.
pub const MEMORY_MB: u64 = 130;

impl Gateway {
    /// Starts a gateway with the whole system; `machine` is the last part of its address.
    pub fn start(case: &Arc<Case>, name: &str, zone: &str, machine: u8) -> Self {
        let mut gateway = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            machine,
            child: None,
            starts: 0,
            case: Arc::clone(case),
        };
        gateway.launch();
        gateway
    }

    /// Starts the process; `bootstrap` is set at its first start only.
    pub fn launch(&mut self) {
        let (case, ip) = (&self.case, self.case.ip(self.machine));
        let settings = format!(
            r#"{{"node_name":"{name}","role":"gateway","machine_class":"edge","serves":["edge"],
"ip":"{ip}","zone":"{zone}","region":"r","zones":{{"a":"r","b":"r","c":"r"}},
"listen":{{"front":"{ip}:8149","readiness":"{ip}:8141","control":"{ip}:8144"}},
"internal_ports":[7380,7395],"seeds":[],"bootstrap":{bootstrap},"tolerated":false,
"limits":{{"cpu_share":0.5,"cores":1,"memory_mb":{MEMORY_MB},"max_fds":8200,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","recover","agent","stream","engine","platform"],
"fault_tolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4.4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_skew_ms":5000,"recover_s":12,"pass_ms":120,"retry_after_s":0,"deadline_s":10,"settle_ms":1000}},
"platform":{{"address":"{store}","form":"log","writes_per_s":800,"reads_per_s":2000,"parts":8,"append_ms":4.0,"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":{RECORD_BYTES},"call_bytes":{CALL_BYTES},"retention_s":300,"part_mb":200,"ttl_min_ms":1000}}}}"#,
            name = self.name,
            zone = self.zone,
            bootstrap = self.starts == 0,
            store = case.addr(1, 8142),
        );
        let path = case.folder.join(format!("{}.json", self.name));
        fs::write(&path, settings).expect("settings can be written");
        let log = case
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = fs::File::create(log).expect("a log can be written");
        let keep = |name: &str| env::var(name).map(|value| (name.to_owned(), value)).ok();
        let mut command = Command::new(case.root.join("target/release/kingcupspan"));
        command
            .arg("gateway")
            .current_dir(&case.root)
            .env_clear()
            .envs(["PATH", "HOME", "LANG"].iter().filter_map(|n| keep(n)))
            .env("KINGCUPSPAN_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be shared"))
            .stderr(log);
        // No gateway outlives the case, even if the case itself is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the gateway can be started");
        RUNNING.lock().unwrap().push(child.id());
        case.note(&format!("{} started, start {}", self.name, self.starts + 1));
        self.child = Some(child);
        self.starts += 1;
    }

    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        self.case.addr(self.machine, 8149)
    }

    /// Whether the gateway says that it takes requests.
    pub fn is_ready(&self) -> bool {
        let addr = self.case.addr(self.machine, 8141);
        let probe = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(addr, probe, Duration::from_secs(1)).status() == 200
    }

    /// Waits until the gateway says that it takes requests; false after `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.case.note(&format!("{} gets SIGTERM", self.name));
        self.signal(SIGTERM);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.case.note(&format!("{} is frozen", self.name));
        self.signal(SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.case.note(&format!("{} goes on", self.name));
        self.signal(SIGCONT);
    }

    /// Kills the process.
    pub fn kill(&mut self, why: &str) {
        if let Some(mut child) = self.child.take() {
            self.case.note(&format!("{} is killed: {why}", self.name));
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Whether the process has ended, which is noted.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return false;
        };
        let pid = child.id();
        RUNNING.lock().unwrap().retain(|p| *p != pid);
        self.case
            .note(&format!("{} has ended: {status}", self.name));
        self.child = None;
        true
    }

    /// Resident memory of the process, in MB.
    pub fn resident_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status
            .lines()
            .find(|l| l.starts_with("VmRSS:"))
            .unwrap_or_default();
        let kb: u64 = line
            .split_whitespace()
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        kb / 1024
    }
}

/// Sends bytes on a new connection and reads the answer.
pub fn exchange(addr: SocketAddr, bytes: &[u8], timeout: Duration) -> Message {
    let mut message = Message::default();
    let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return message;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    let mut out = stream.try_clone().expect("a socket can be cloned");
    if out.write_all(bytes).is_err() {
        return message;
    }
    let mut stream = BufReader::new(stream);
    if let Ok(Some(head)) = read_head(&mut stream) {
        message = head;
        // A body that ends early leaves `is_whole` unset.
        let _ = read_body(&mut stream, &mut message);
    }
    message
}

/// A client's request.
#[derive(Clone, Default)]
pub struct Request {
    /// Path.
    pub path: String,
    /// Id of the attempt.
    pub id: String,
    /// Time that the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// Sends the request on a new connection.
    pub fn send(&self, addr: SocketAddr) -> Message {
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: shop.example\r\nKingcupspan-Request-Id: {}\r\n\
             Kingcupspan-Deadline-Ms: {}\r\nContent-Length: {}\r\n",
            self.path,
            self.id,
            self.deadline_ms,
            self.body.len()
        );
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        let bytes = [head.as_bytes(), b"\r\n", &self.body].concat();
        exchange(addr, &bytes, Duration::from_millis(self.deadline_ms + 500))
    }
}

/// Source of ids of attempts.
pub fn new_id() -> String {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", process::id())
}

/// A small generator of pseudo-random numbers.
pub struct Random(pub u64);

impl Random {
    /// Returns the next number, in 0..1.
    pub fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }
}
