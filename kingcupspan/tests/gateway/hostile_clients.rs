//! Clients that nobody controls: bodies that never end, heads and bodies in tiny pieces, and
//! answers that nobody reads. No process may end or leave its memory and descriptors for them.

use std::{fs, net, time::Duration};

use async_std::{
    future,
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    task,
};
use futures_lite::AsyncWriteExt;
use kingcupspan_platform_standin::{caller::Request, endpoint::EndpointBehavior, settings};
use serde_json::{Value, json};
use socket2::SockRef;

use crate::fleet::Fleet;

/// Memory of the VM of a crowd's daemon, in megabytes.
const MEMORY_MB: u64 = 48;

/// Largest request body that the configuration allows, in bytes.
const BODY_BYTES: usize = 1024 * 1024;

/// Clients that send bodies at the same time.
const BODY_CLIENTS: usize = 64;

/// Clients that send heads or only connect at the same time.
const HEAD_CLIENTS: usize = 2_000;

/// Clients that read no answer at the same time.
const DEAF_CLIENTS: usize = 400;

/// Size of the answers that nobody reads, in bytes.
const ANSWER_BYTES: usize = 240 * 1024;

/// Descriptors that the daemon of [`HEAD_CLIENTS`] may open.
const MAX_FDS: u64 = 1_200;

/// Descriptors that the daemons of the other crowds may open.
const MANY_FDS: u64 = 8_200;

/// Time for which a crowd presses before the daemon is checked.
const PRESSURE: Duration = Duration::from_secs(4);

/// Size of the large pieces of a body, in bytes.
const LARGE_PIECE: usize = 64 * 1024;

/// Size of the tiny chunks of a body, in bytes.
const TINY_CHUNK: usize = 16;

/// Receive buffer of a client that reads nothing, in bytes.
const DEAF_RECEIVE_BYTES: usize = 2_048;

/// Only one crowd presses at a time.
static SERIAL: Mutex<()> = Mutex::new(());

/// A daemon and the stand-ins that it uses, alone among the tests of this file.
struct Target {
    fleet: Fleet,
    memory_mb: u64,
    max_fds: u64,
    _serial: MutexGuard<'static, ()>,
}

/// Configuration with a lowered limit on bodies and timeouts that outlast the pressure.
fn configuration(body_bytes: usize) -> Value {
    let mut configuration = settings::configuration(1, 8_000);
    configuration["limits"] = json!({
        "max_header_bytes": 16384, "max_body_bytes": body_bytes,
        "header_timeout_ms": 8_000, "idle_timeout_ms": 20_000
    });
    configuration
}

impl Target {
    /// Starts a daemon on a VM with little memory.
    async fn start(name: &str, memory_mb: u64, max_fds: u64, body_bytes: usize) -> Self {
        let serial = SERIAL.lock().await;
        let limits = json!({"memory_mb": memory_mb, "max_fds": max_fds});
        let fleet = Fleet::start_with_limits(name, &configuration(body_bytes), &limits).await;
        Self {
            fleet,
            memory_mb,
            max_fds,
            _serial: serial,
        }
    }

    /// Checks what must hold whatever clients send.
    async fn check(&mut self) {
        let peak = self.peak_memory_kb();
        let open = self.open_descriptors();
        println!("peak {peak} kB, {open} descriptors");
        let ordinary = Request::plain("/safe/", "ordinary");
        let response = self.fleet.send(0, &ordinary).await;
        assert!(self.fleet.daemons[0].is_running(), "the process has ended");
        assert!(
            peak < self.memory_mb * 1_000,
            "used up to {peak} kB of {} MB",
            self.memory_mb
        );
        assert!(
            open < self.max_fds,
            "{open} descriptors of {}",
            self.max_fds
        );
        assert_eq!(response.status, 200, "{response:?}");
        let peak = self.peak_memory_kb();
        assert!(peak < self.memory_mb * 1_000, "used up to {peak} kB");
    }

    /// Largest resident memory that the daemon has had, in kilobytes.
    fn peak_memory_kb(&self) -> u64 {
        let pid = self.fleet.daemons[0].id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the daemon runs");
        let line = status.lines().find(|l| l.starts_with("VmHWM:"));
        let number = line.and_then(|l| l.split_whitespace().nth(1));
        number
            .and_then(|n| n.parse().ok())
            .expect("the kernel tells the peak memory")
    }

    /// Number of descriptors that the daemon has open.
    fn open_descriptors(&self) -> u64 {
        let pid = self.fleet.daemons[0].id();
        let entries = fs::read_dir(format!("/proc/{pid}/fd")).expect("the daemon runs");
        entries.count() as u64
    }

    /// Lets a crowd send `head` and then `pieces`, and stay; checks the daemon meanwhile.
    async fn press(&mut self, clients: usize, head: String, pieces: Vec<Vec<u8>>) {
        let addr = self.fleet.caller_addr(0);
        let message = std::sync::Arc::new((head, pieces));
        let crowd: Vec<_> = (0..clients)
            .map(|i| {
                let message = std::sync::Arc::clone(&message);
                task::spawn(async move { send_and_stay(addr, i, &message.0, &message.1).await })
            })
            .collect();
        task::sleep(PRESSURE).await;
        self.check().await;
        for client in crowd {
            client.cancel().await;
        }
    }
}

/// Sends a head, with `{id}` replaced, and pieces of a body; then leaves the connection open.
async fn send_and_stay(addr: net::SocketAddr, id: usize, head: &str, pieces: &[Vec<u8>]) {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return;
    };
    let head = head.replace("{id}", &format!("hostile{id}"));
    if stream.write_all(head.as_bytes()).await.is_ok() {
        for piece in pieces {
            if stream.write_all(piece).await.is_err() {
                break;
            }
        }
    }
    future::pending::<()>().await;
}

/// Head of a request to a route that may be repeated, without its last line.
fn head(framing: &str) -> String {
    format!(
        "POST /safe/ HTTP/1.1\r\nHost: test.example\r\nKingcupspan-Request-Id: {{id}}\r\n\
         Kingcupspan-Deadline-Ms: 8000\r\n{framing}"
    )
}

/// Head of a request with a body of `len` bytes.
fn head_with_length(len: usize) -> String {
    head(&format!("Content-Length: {len}\r\n\r\n"))
}

/// Head of a request with a chunked body.
fn chunked_head() -> String {
    head("Transfer-Encoding: chunked\r\n\r\n")
}

/// Chunks of `size` bytes that carry `len` bytes together, without the last chunk.
fn chunks(len: usize, size: usize) -> Vec<u8> {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    chunk.repeat(len / size).into_bytes()
}

/// Splits bytes into pieces.
fn pieces(bytes: &[u8], size: usize) -> Vec<Vec<u8>> {
    bytes.chunks(size).map(<[u8]>::to_vec).collect()
}

// Guards against bodies of legal size that each stop one byte short and together exceed the memory.
#[async_std::test]
async fn hostile_bodies_at_once_stay_within_memory() {
    let mut target = Target::start("hostile-whole", MEMORY_MB, MANY_FDS, BODY_BYTES).await;
    let body = vec![vec![b'x'; BODY_BYTES - 1]];
    target
        .press(BODY_CLIENTS, head_with_length(BODY_BYTES), body)
        .await;
}

// Guards against the same bodies when they come piece by piece.
#[async_std::test]
async fn hostile_bodies_in_pieces_stay_within_memory() {
    let mut target = Target::start("hostile-pieces", MEMORY_MB, MANY_FDS, BODY_BYTES).await;
    let body = pieces(&vec![b'x'; BODY_BYTES - 1], 1_000);
    target
        .press(BODY_CLIENTS, head_with_length(BODY_BYTES), body)
        .await;
}

// Guards against chunked bodies that never end, in large chunks.
#[async_std::test]
async fn hostile_large_chunks_stay_within_memory() {
    let mut target = Target::start("hostile-chunks", MEMORY_MB, MANY_FDS, BODY_BYTES).await;
    let body = vec![chunks(BODY_BYTES, LARGE_PIECE)];
    target.press(BODY_CLIENTS, chunked_head(), body).await;
}

// Guards against chunked bodies that never end, in very small chunks.
#[async_std::test]
async fn hostile_tiny_chunks_stay_within_memory() {
    let mut target = Target::start("hostile-tiny-chunks", MEMORY_MB, MANY_FDS, BODY_BYTES).await;
    let body = pieces(&chunks(BODY_BYTES, TINY_CHUNK), LARGE_PIECE);
    target.press(BODY_CLIENTS, chunked_head(), body).await;
}

// Guards against bodies far over the limit, announced by their length.
#[async_std::test]
async fn hostile_announced_oversize_stays_within_memory() {
    let mut target = Target::start("hostile-announced", MEMORY_MB, MANY_FDS, BODY_BYTES).await;
    let body = pieces(&vec![b'x'; 8 * BODY_BYTES], LARGE_PIECE);
    target
        .press(BODY_CLIENTS, head_with_length(1 << 40), body)
        .await;
}

// Guards against bodies far over the limit that are just sent.
#[async_std::test]
async fn hostile_sent_oversize_stays_within_memory() {
    let mut target = Target::start("hostile-sent", MEMORY_MB, MANY_FDS, BODY_BYTES).await;
    let body = pieces(&chunks(8 * BODY_BYTES, LARGE_PIECE), LARGE_PIECE);
    target.press(BODY_CLIENTS, chunked_head(), body).await;
}

// Guards against heads that come a byte at a time on more connections than there are descriptors.
#[async_std::test]
async fn hostile_heads_by_bytes_stay_within_memory_and_descriptors() {
    let mut target = Target::start("hostile-heads", MEMORY_MB, MAX_FDS, BODY_BYTES).await;
    let filler = head(&format!("X-Filler: {}\r\n", "x".repeat(12 * 1024)));
    let bytes = vec![vec![b'X']; 1_000];
    target.press(HEAD_CLIENTS, filler, bytes).await;
}

// Guards against connections that send nothing and use up descriptors and buffers.
#[async_std::test]
async fn hostile_silent_connections_stay_within_memory_and_descriptors() {
    let mut target = Target::start("hostile-silent", MEMORY_MB, MAX_FDS, BODY_BYTES).await;
    target.press(HEAD_CLIENTS, String::new(), Vec::new()).await;
}

// Guards against answers that nobody reads and that a daemon keeps for their callers.
#[async_std::test]
async fn hostile_unread_answers_stay_within_memory() {
    let mut target = Target::start("hostile-deaf", MEMORY_MB, MANY_FDS, BODY_BYTES).await;
    let large = EndpointBehavior::Large(ANSWER_BYTES);
    let endpoints = target.fleet.service_endpoints.clone();
    endpoints.iter().for_each(|e| e.set_behavior(large));
    let addr = target.fleet.caller_addr(0);
    let crowd: Vec<_> = (0..DEAF_CLIENTS)
        .map(|i| {
            task::spawn(async move {
                let Ok(mut stream) = connect_with_small_buffer(addr).await else {
                    return;
                };
                let request = head_with_length(0).replace("{id}", &format!("deaf{i}"));
                // The daemon may have closed the connection, which is its right.
                let _ = stream.write_all(request.as_bytes()).await;
                future::pending::<()>().await;
            })
        })
        .collect();
    task::sleep(PRESSURE).await;
    endpoints
        .iter()
        .for_each(|e| e.set_behavior(EndpointBehavior::Plain));
    target.check().await;
    for client in crowd {
        client.cancel().await;
    }
}

/// Connects with a receive buffer that takes little of an answer.
async fn connect_with_small_buffer(addr: net::SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    SockRef::from(&socket).set_recv_buffer_size(DEAF_RECEIVE_BYTES)?;
    let stream = task::spawn_blocking(move || {
        socket.connect(&addr.into())?;
        socket.set_nonblocking(true)?;
        Ok::<_, std::io::Error>(net::TcpStream::from(socket))
    });
    Ok(TcpStream::from(stream.await?))
}

// Guards against a limit that a single request inside the limits meets.
#[async_std::test]
async fn largest_body_is_served_on_a_small_vm() {
    let body_bytes = 4 * 1024 * 1024;
    let target = Target::start("hostile-largest", 88, MANY_FDS, body_bytes).await;
    for (path, id) in [("/unsafe/", "u"), ("/safe/", "s")] {
        let request = Request {
            body: "x".repeat(body_bytes),
            ..Request::plain(path, id)
        };
        let response = target.fleet.send(0, &request).await;
        assert_eq!(response.status, 200, "{:?}", response.body);
        assert!(response.is_complete);
    }
    let peak = target.peak_memory_kb();
    assert!(peak < 88_000, "used up to {peak} kB");
}
