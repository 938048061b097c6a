//! HTTP/1.1 towards other processes, over kept connections.

use std::{collections::HashMap, net, sync::Arc, time::Duration, time::Instant};

use async_std::{future, net::TcpStream};
use futures_lite::AsyncReadExt;

use crate::edge::tcp;

/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Unused connections kept for each address.
const MAX_IDLE_PER_ADDR: usize = 256;

/// Bytes read from a body at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// How far a request got before it failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No connection was made: the request was not sent.
    #[error("cannot connect to {0}: {1}")]
    NotSent(net::SocketAddr, String),

    /// The request may have been received, the answer is lost.
    #[error("no whole answer from {0}: {1}")]
    Lost(net::SocketAddr, String),

    /// Nothing was heard for too long, after the request was sent.
    #[error("silence from {0} for {1:?}")]
    TimedOut(net::SocketAddr, Duration),
}

/// A request to another process.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The method.
    pub method: http_types::Method,

    /// Where it goes.
    pub addr: net::SocketAddr,

    /// Path and query.
    pub path: String,

    /// Headers.
    pub headers: Vec<(&'static str, String)>,

    /// The body.
    pub body: Vec<u8>,

    /// Whether a kept connection may be used; a request that must not be sent
    /// twice takes a new one, since a kept one may be dead without a sign.
    pub can_reuse_connection: bool,

    /// How long the other side may be silent.
    pub timeouts: Timeouts,
}

/// How long the other side may be silent.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Until the connection stands.
    pub connect: Duration,

    /// Until the head of the answer.
    pub head: Duration,

    /// Between bytes of the body.
    pub body: Duration,
}

impl Timeouts {
    /// The same patience everywhere.
    pub const fn all(timeout: Duration) -> Self {
        Self {
            connect: timeout,
            head: timeout,
            body: timeout,
        }
    }
}

impl ClientRequest {
    /// A request without headers.
    pub fn new(method: http_types::Method, addr: net::SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            addr,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            can_reuse_connection: true,
            timeouts: Timeouts::all(Duration::from_secs(5)),
        }
    }

    /// A POST with a body.
    pub fn post(addr: net::SocketAddr, path: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            body,
            ..Self::new(http_types::Method::Post, addr, path)
        }
    }

    /// The same with a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// The same with other patience.
    pub fn timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }
}

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

type Pool = parking_lot::Mutex<HashMap<net::SocketAddr, Vec<IdleConnection>>>;

/// Sends requests; clones share their kept connections.
#[derive(Clone, Default)]
pub struct Client {
    pool: Arc<Pool>,
}

/// An answer whose body is read piece by piece.
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,

    /// The answer with its headers.
    pub res: http_types::Response,

    addr: net::SocketAddr,
    stream: Option<TcpStream>,
    pool: Arc<Pool>,
    body: http_types::Body,
    remaining: Option<usize>,
    body_timeout: Duration,
}

impl Client {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(&self, req: ClientRequest) -> Result<ClientResponse, SendError> {
        let addr = req.addr;
        let timeouts = req.timeouts;
        let stream = match self.take_idle_connection(&req).await {
            Some(stream) => stream,
            None => connect(addr, timeouts.connect).await?,
        };
        let req = encode(req).map_err(|e| SendError::NotSent(addr, e.to_string()))?;
        let response = async_h1::connect(stream.clone(), req);
        let mut res = match future::timeout(timeouts.head, response).await {
            Err(_) => return Err(SendError::TimedOut(addr, timeouts.head)),
            Ok(Err(e)) => return Err(SendError::Lost(addr, e.to_string())),
            Ok(Ok(res)) => res,
        };
        let closes_connection = res
            .header(http_types::headers::CONNECTION)
            .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
        let body = res.take_body();
        Ok(ClientResponse {
            status: res.status().into(),
            remaining: body.len(),
            res,
            addr,
            stream: (!closes_connection).then_some(stream),
            pool: Arc::clone(&self.pool),
            body,
            body_timeout: timeouts.body,
        })
    }

    /// A kept connection that the other side has not closed.
    async fn take_idle_connection(&self, req: &ClientRequest) -> Option<TcpStream> {
        if !req.can_reuse_connection {
            return None;
        }
        loop {
            let idle = self.pool.lock().get_mut(&req.addr)?.pop()?;
            if idle.since.elapsed() < IDLE_TIMEOUT && is_open(&idle.stream).await {
                return Some(idle.stream);
            }
        }
    }

    /// Forgets all kept connections to an address.
    pub fn close_idle_connections(&self, addr: net::SocketAddr) {
        self.pool.lock().remove(&addr);
    }
}

/// Whether nothing can be read from an unused connection, not even its end.
async fn is_open(stream: &TcpStream) -> bool {
    let mut buf = [0];
    futures_lite::future::poll_once(stream.peek(&mut buf))
        .await
        .is_none()
}

async fn connect(addr: net::SocketAddr, timeout: Duration) -> Result<TcpStream, SendError> {
    let stream = match future::timeout(timeout, TcpStream::connect(addr)).await {
        Err(_) => return Err(SendError::NotSent(addr, "timeout".to_owned())),
        Ok(Err(e)) => return Err(SendError::NotSent(addr, e.to_string())),
        Ok(Ok(stream)) => stream,
    };
    if let Err(e) = tcp::set_options(&stream) {
        log::warn!(error = e.to_string().as_str(); "connection without its options");
    }
    Ok(stream)
}

fn encode(req: ClientRequest) -> http_types::Result<http_types::Request> {
    let url = http_types::Url::parse(&format!("http://{}{}", req.addr, req.path))?;
    let mut encoded = http_types::Request::new(req.method, url);
    for (name, value) in &req.headers {
        let value = http_types::headers::HeaderValue::from_bytes(value.clone().into_bytes())?;
        encoded.insert_header(*name, value);
    }
    encoded.set_body(req.body);
    Ok(encoded)
}

impl ClientResponse {
    /// The next piece of the body, none after its end.
    pub async fn chunk(&mut self) -> Result<Option<Vec<u8>>, SendError> {
        let mut buf = vec![0; CHUNK_BYTES];
        let n = match future::timeout(self.body_timeout, self.body.read(&mut buf)).await {
            Err(_) => return Err(SendError::TimedOut(self.addr, self.body_timeout)),
            Ok(Err(e)) => return Err(SendError::Lost(self.addr, e.to_string())),
            Ok(Ok(n)) => n,
        };
        if let Some(remaining) = &mut self.remaining {
            *remaining -= n.min(*remaining);
        }
        if n > 0 {
            buf.truncate(n);
            return Ok(Some(buf));
        }
        if self.remaining.is_some_and(|remaining| remaining > 0) {
            return Err(SendError::Lost(
                self.addr,
                "the body was cut short".to_owned(),
            ));
        }
        self.return_to_pool();
        Ok(None)
    }

    /// The whole body of at most `limit` bytes.
    pub async fn bytes(mut self, limit: usize) -> Result<Vec<u8>, SendError> {
        let mut bytes = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            bytes.extend_from_slice(&chunk);
            if bytes.len() > limit {
                let detail = format!("the body has more than {limit} bytes");
                return Err(SendError::Lost(self.addr, detail));
            }
        }
        Ok(bytes)
    }

    /// A header's only value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.res.header(name).map(|values| values.last().as_str())
    }

    fn return_to_pool(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        let mut pool = self.pool.lock();
        let idle = pool.entry(self.addr).or_default();
        if idle.len() < MAX_IDLE_PER_ADDR {
            idle.push(IdleConnection {
                stream,
                since: Instant::now(),
            });
        }
    }
}
