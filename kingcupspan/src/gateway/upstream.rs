//! Connections to endpoints.

use std::{
    collections::HashMap,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future, net::TcpStream, task};
use kingcupspan_core::gateway::{
    call::RequestId,
    crash_tracker::{Crash, Fingerprint},
    endpoint::{Endpoint, InstanceId},
    placement::{Candidate, Load},
};
use kingcupspan_platform::headers::{self, HeaderLookup, ResponseInfo};
use parking_lot::Mutex;

use crate::{
    edge::tcp,
    http::{
        conn::{Conn, ReadError},
        framing::Framing,
        head::{AnswerHead, Headers},
    },
};

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a kept connection is used if the endpoint does not say.
const KEEP_DEFAULT: Duration = Duration::from_secs(4);

/// How much earlier than the endpoint a kept connection is given up.
const KEEP_MARGIN: Duration = Duration::from_millis(400);

/// How long an endpoint's word on its load counts.
const LOAD_TOLD_FOR: Duration = Duration::from_millis(1_500);

/// Pause between attempts to connect to an endpoint that failed.
const PROBE_PAUSE: Duration = Duration::from_millis(300);

/// Attempts to connect to an endpoint that failed.
const PROBES_MAX: usize = 100;

/// Largest body of a late answer to another request that is passed over, in bytes.
const FOREIGN_MAX_BYTES: usize = 1024 * 1024;

/// Why no answer came.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),

    /// The request may have run.
    #[error("no answer: {0}")]
    Lost(String),
}

/// A request for an endpoint.
pub struct Outgoing<'a> {
    /// The method.
    pub method: &'a str,

    /// The target as the caller sent it.
    pub target: &'a str,

    /// The caller's headers.
    pub headers: &'a Headers,

    /// The attempt.
    pub id: &'a RequestId,

    /// What it has in common with requests that do the same.
    pub fingerprint: Fingerprint,

    /// The body.
    pub body: &'a [u8],

    /// When the caller no longer waits.
    pub deadline: Instant,
}

impl Outgoing<'_> {
    fn sent(&self) -> Sent {
        Sent {
            attempt: self.id.clone(),
            fingerprint: self.fingerprint,
        }
    }
}

/// A request that an endpoint may have run.
#[derive(Clone)]
struct Sent {
    attempt: RequestId,
    fingerprint: Fingerprint,
}

struct Idle {
    conn: Conn,
    until: Instant,
}

#[derive(Default)]
struct Site {
    idle: Vec<Idle>,
    own: u32,
    told: Option<Told>,
    is_suspect: bool,

    /// Requests that got no whole answer since a connection last stood.
    lost: Vec<Sent>,
}

/// An endpoint's word on its load.
#[derive(Clone, Copy)]
struct Told {
    load: u32,
    at: Instant,

    /// Requests under way from this daemon at that time.
    own: u32,
}

/// Connections and load of all endpoints.
pub struct Upstream {
    sites: Mutex<HashMap<InstanceId, Site>>,
    crashes: async_channel::Sender<Vec<Crash>>,
}

/// A place at an endpoint, given back when it is dropped.
pub struct Lease {
    upstream: Arc<Upstream>,
    id: InstanceId,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(site) = self.upstream.sites.lock().get_mut(&self.id) {
            site.own = site.own.saturating_sub(1);
        }
    }
}

/// An answer whose body has not been read.
pub struct Reply {
    /// Its head.
    pub head: AnswerHead,

    /// What the endpoint says in it.
    pub info: ResponseInfo,

    conn: Conn,
    upstream: Arc<Upstream>,
    endpoint: Endpoint,
    sent: Sent,
}

impl Upstream {
    /// No connections yet; crashes of endpoints are told to `crashes`.
    pub fn new(crashes: async_channel::Sender<Vec<Crash>>) -> Self {
        Self {
            sites: Mutex::default(),
            crashes,
        }
    }

    /// Endpoints with what is known of their load.
    pub fn candidates(&self, endpoints: Vec<Arc<Endpoint>>) -> Vec<Candidate> {
        let now = Instant::now();
        let sites = self.sites.lock();
        let load = |id: &InstanceId| sites.get(id).map_or_else(Load::default, |s| s.load(now));
        endpoints
            .into_iter()
            .map(|endpoint| Candidate {
                load: load(&endpoint.id),
                endpoint,
            })
            .collect()
    }

    /// Counts a request at an endpoint.
    pub fn lease(self: &Arc<Self>, id: &InstanceId) -> Lease {
        self.sites.lock().entry(id.clone()).or_default().own += 1;
        Lease {
            upstream: Arc::clone(self),
            id: id.clone(),
        }
    }

    /// Drops connections that were idle for too long, and endpoints without any.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.sites.lock().retain(|_, site| {
            site.idle.retain(|i| i.until > now);
            site.own > 0 || site.is_suspect || !site.idle.is_empty()
        });
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        self: &Arc<Self>,
        endpoint: &Endpoint,
        out: &Outgoing<'_>,
    ) -> Result<Reply, SendError> {
        let mut conn = match self.kept(&endpoint.id).await {
            Some(conn) => conn,
            None => self.connect(endpoint).await?,
        };
        let left = out.deadline.saturating_duration_since(Instant::now());
        let request = encode(endpoint, out, left);
        let answered = async {
            conn.write(&request).await?;
            answer_head(&mut conn, out).await
        };
        let head = match answered.await {
            Ok(head) => head,
            Err(e) => {
                self.forget_idle(&endpoint.id);
                self.suspect(endpoint, Some(out.sent()));
                return Err(SendError::Lost(e.to_string()));
            }
        };
        let info = headers::response_info(&head.headers, head.status);
        self.note(&endpoint.id, &info);
        Ok(Reply {
            head,
            info,
            conn,
            upstream: Arc::clone(self),
            endpoint: endpoint.clone(),
            sent: out.sent(),
        })
    }

    async fn kept(&self, id: &InstanceId) -> Option<Conn> {
        loop {
            let idle = self.sites.lock().get_mut(id)?.idle.pop()?;
            if idle.until > Instant::now() && idle.conn.is_quiet().await {
                return Some(idle.conn);
            }
        }
    }

    async fn connect(self: &Arc<Self>, endpoint: &Endpoint) -> Result<Conn, SendError> {
        let connecting = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.addr));
        let failure = match connecting.await {
            Ok(Ok(stream)) => return Ok(open(stream)),
            Ok(Err(e)) => e,
            Err(_) => io::ErrorKind::TimedOut.into(),
        };
        self.forget_idle(&endpoint.id);
        self.suspect(endpoint, None);
        Err(SendError::NotSent(failure.to_string()))
    }

    /// Drops kept connections, which may be as dead as the one that has failed.
    fn forget_idle(&self, id: &InstanceId) {
        if let Some(site) = self.sites.lock().get_mut(id) {
            site.idle.clear();
        }
    }

    /// Avoids an endpoint until a connection to it stands again, after a request
    /// that it may have run got no whole answer.
    fn suspect(self: &Arc<Self>, endpoint: &Endpoint, lost: Option<Sent>) {
        let mut sites = self.sites.lock();
        let site = sites.entry(endpoint.id.clone()).or_default();
        site.lost.extend(lost);
        if !site.is_suspect {
            site.is_suspect = true;
            task::spawn(Arc::clone(self).probe(endpoint.clone()));
        }
    }

    async fn probe(self: Arc<Self>, endpoint: Endpoint) {
        for _ in 0..PROBES_MAX {
            let connecting = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.addr));
            let stream = connecting.await;
            if let Some(site) = self.sites.lock().get_mut(&endpoint.id) {
                let lost = std::mem::take(&mut site.lost);
                if let Ok(Ok(stream)) = stream {
                    site.is_suspect = false;
                    site.keep(open(stream), KEEP_DEFAULT);
                    return;
                }
                self.tell_crash(&endpoint, lost);
            }
            task::sleep(PROBE_PAUSE).await;
        }
        // Requests try it again, if it is still listed.
        self.sites.lock().remove(&endpoint.id);
    }

    /// An endpoint that refuses connections right after it ran requests has crashed.
    fn tell_crash(&self, endpoint: &Endpoint, lost: Vec<Sent>) {
        let crash = |sent: Sent| Crash {
            request: sent.fingerprint,
            endpoint: endpoint.id.clone(),
            attempt: sent.attempt,
        };
        let crashes: Vec<Crash> = lost.into_iter().map(crash).collect();
        if !crashes.is_empty() {
            // The receiver lives as long as the process.
            let _ = self.crashes.try_send(crashes);
        }
    }

    fn note(&self, id: &InstanceId, info: &ResponseInfo) {
        let mut sites = self.sites.lock();
        let Some(site) = sites.get_mut(id) else {
            return;
        };
        if let Some(load) = info.load {
            site.told = Some(Told {
                load,
                at: Instant::now(),
                own: site.own,
            });
        }
    }

    fn keep(&self, id: &InstanceId, conn: Conn, headers: &Headers) {
        let told = headers.get("keep-alive").and_then(keep_alive_timeout);
        let keep = told.map_or(KEEP_DEFAULT, |t| t.saturating_sub(KEEP_MARGIN));
        if let Some(site) = self.sites.lock().get_mut(id) {
            site.keep(conn, keep);
        }
    }
}

/// A new connection.
fn open(stream: TcpStream) -> Conn {
    if let Err(e) = tcp::tune(&stream) {
        log::warn!(error = e.to_string().as_str(); "connection without its options");
    }
    Conn::new(stream)
}

impl Site {
    fn keep(&mut self, conn: Conn, keep: Duration) {
        self.idle.push(Idle {
            conn,
            until: Instant::now() + keep,
        });
    }

    fn load(&self, now: Instant) -> Load {
        let is_fresh = |t: &Told| now.duration_since(t.at) < LOAD_TOLD_FOR;
        let told = self.told.filter(is_fresh);
        Load {
            in_flight: self.own,
            reported: told.map(|t| (t.load + self.own).saturating_sub(t.own)),
            is_failing: self.is_suspect,
        }
    }
}

impl Reply {
    /// Whether it is an answer of the endpoint: a success without a signature is not.
    pub fn is_credible(&self) -> bool {
        self.info.is_signed || !(200..300).contains(&self.head.status)
    }

    /// The next bytes of the body; none after its end.
    pub async fn piece(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        let piece = self.conn.body_piece(&mut self.head.framing).await;
        if piece.is_err() {
            self.upstream
                .suspect(&self.endpoint, Some(self.sent.clone()));
        }
        piece
    }

    /// Gives the connection back after the whole body was read.
    pub fn finish(self) {
        let is_reusable = self.head.keeps_alive && self.conn.unread().is_empty();
        if is_reusable {
            self.upstream
                .keep(&self.endpoint.id, self.conn, &self.head.headers);
        }
    }
}

/// Reads the head of the answer to this request, passing over late answers to others.
async fn answer_head(conn: &mut Conn, out: &Outgoing<'_>) -> Result<AnswerHead, ReadError> {
    loop {
        let mut head = conn.answer_head(out.method).await?;
        let info = headers::response_info(&head.headers, head.status);
        let is_foreign = info.id.as_deref().is_some_and(|id| id != &*out.id.0);
        if !is_foreign {
            return Ok(head);
        }
        if !head.keeps_alive || head.framing == Framing::UntilClose {
            return Err(ReadError::Cut);
        }
        conn.body(&mut head.framing, FOREIGN_MAX_BYTES).await?;
    }
}

fn encode(endpoint: &Endpoint, out: &Outgoing<'_>, left: Duration) -> Vec<u8> {
    let mut buf = Vec::with_capacity(1024 + out.body.len());
    let mut line = |parts: [&[u8]; 4]| parts.iter().for_each(|p| buf.extend_from_slice(p));
    line([
        out.method.as_bytes(),
        b" ",
        out.target.as_bytes(),
        b" HTTP/1.1\r\n",
    ]);
    for (name, value) in out.headers.end_to_end() {
        if headers::is_forwarded(name) && !name.eq_ignore_ascii_case("expect") {
            line([name.as_bytes(), b": ", value, b"\r\n"]);
        }
    }
    for (name, value) in headers::forward_headers(left, &endpoint.id) {
        line([name.as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
    }
    if !out.body.is_empty() || !matches!(out.method, "GET" | "HEAD" | "DELETE" | "OPTIONS") {
        let length = out.body.len().to_string();
        line([b"Content-Length", b": ", length.as_bytes(), b"\r\n"]);
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(out.body);
    buf
}

/// The timeout of a `Keep-Alive` header.
fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let parameter = |p: &str| p.trim().strip_prefix("timeout=").map(str::to_owned);
    let seconds = value.split(',').find_map(parameter)?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
