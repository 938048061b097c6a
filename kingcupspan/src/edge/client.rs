//! HTTP/1.1 towards other processes, over kept connections.

use std::{collections::HashMap, net, sync::Arc, time::Duration, time::Instant};

use async_std::{future, net::TcpStream};
use futures_lite::AsyncReadExt;

use crate::edge::tcp;

/// How long an unused connection is kept.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// Unused connections kept for each address.
const IDLE_PER_ADDR: usize = 256;

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
    Silent(net::SocketAddr, Duration),
}

/// A request to another process.
#[derive(Debug, Clone)]
pub struct Outgoing {
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
    pub kept_connection: bool,

    /// How long the other side may be silent.
    pub patience: Patience,
}

/// How long the other side may be silent.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// Until the connection stands.
    pub connect: Duration,

    /// Until the head of the answer.
    pub head: Duration,

    /// Between bytes of the body.
    pub body: Duration,
}

impl Patience {
    /// The same patience everywhere.
    pub const fn all(patience: Duration) -> Self {
        Self {
            connect: patience,
            head: patience,
            body: patience,
        }
    }
}

impl Outgoing {
    /// A request without headers.
    pub fn new(method: http_types::Method, addr: net::SocketAddr, path: impl Into<String>) -> Self {
        Self {
            method,
            addr,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            kept_connection: true,
            patience: Patience::all(Duration::from_secs(5)),
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
    pub fn patience(mut self, patience: Patience) -> Self {
        self.patience = patience;
        self
    }
}

struct Idle {
    stream: TcpStream,
    since: Instant,
}

type Pool = parking_lot::Mutex<HashMap<net::SocketAddr, Vec<Idle>>>;

/// Sends requests; clones share their kept connections.
#[derive(Clone, Default)]
pub struct Client {
    pool: Arc<Pool>,
}

/// An answer whose body is read piece by piece.
pub struct Reply {
    /// HTTP status.
    pub status: u16,

    /// The answer with its headers.
    pub res: http_types::Response,

    addr: net::SocketAddr,
    stream: Option<TcpStream>,
    pool: Arc<Pool>,
    body: http_types::Body,
    left: Option<usize>,
    patience: Duration,
}

impl Client {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(&self, out: Outgoing) -> Result<Reply, SendError> {
        let addr = out.addr;
        let patience = out.patience;
        let stream = match self.kept(&out).await {
            Some(stream) => stream,
            None => connect(addr, patience.connect).await?,
        };
        let req = encode(out).map_err(|e| SendError::NotSent(addr, e.to_string()))?;
        let answer = async_h1::connect(stream.clone(), req);
        let mut res = match future::timeout(patience.head, answer).await {
            Err(_) => return Err(SendError::Silent(addr, patience.head)),
            Ok(Err(e)) => return Err(SendError::Lost(addr, e.to_string())),
            Ok(Ok(res)) => res,
        };
        let closes = res
            .header(http_types::headers::CONNECTION)
            .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
        let body = res.take_body();
        Ok(Reply {
            status: res.status().into(),
            left: body.len(),
            res,
            addr,
            stream: (!closes).then_some(stream),
            pool: Arc::clone(&self.pool),
            body,
            patience: patience.body,
        })
    }

    /// A kept connection that the other side has not closed.
    async fn kept(&self, out: &Outgoing) -> Option<TcpStream> {
        if !out.kept_connection {
            return None;
        }
        loop {
            let kept = self.pool.lock().get_mut(&out.addr)?.pop()?;
            if kept.since.elapsed() < IDLE_MAX && is_open(&kept.stream).await {
                return Some(kept.stream);
            }
        }
    }

    /// Forgets all kept connections to an address.
    pub fn forget(&self, addr: net::SocketAddr) {
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

async fn connect(addr: net::SocketAddr, patience: Duration) -> Result<TcpStream, SendError> {
    let stream = match future::timeout(patience, TcpStream::connect(addr)).await {
        Err(_) => return Err(SendError::NotSent(addr, "timeout".to_owned())),
        Ok(Err(e)) => return Err(SendError::NotSent(addr, e.to_string())),
        Ok(Ok(stream)) => stream,
    };
    if let Err(e) = tcp::tune(&stream) {
        log::warn!(error = e.to_string().as_str(); "connection without its options");
    }
    Ok(stream)
}

fn encode(out: Outgoing) -> http_types::Result<http_types::Request> {
    let url = http_types::Url::parse(&format!("http://{}{}", out.addr, out.path))?;
    let mut req = http_types::Request::new(out.method, url);
    for (name, value) in &out.headers {
        let value = http_types::headers::HeaderValue::from_bytes(value.clone().into_bytes())?;
        req.insert_header(*name, value);
    }
    req.set_body(out.body);
    Ok(req)
}

impl Reply {
    /// The next piece of the body, none after its end.
    pub async fn chunk(&mut self) -> Result<Option<Vec<u8>>, SendError> {
        let mut buf = vec![0; CHUNK_BYTES];
        let n = match future::timeout(self.patience, self.body.read(&mut buf)).await {
            Err(_) => return Err(SendError::Silent(self.addr, self.patience)),
            Ok(Err(e)) => return Err(SendError::Lost(self.addr, e.to_string())),
            Ok(Ok(n)) => n,
        };
        if let Some(left) = &mut self.left {
            *left -= n.min(*left);
        }
        if n > 0 {
            buf.truncate(n);
            return Ok(Some(buf));
        }
        if self.left.is_some_and(|left| left > 0) {
            return Err(SendError::Lost(
                self.addr,
                "the body was cut short".to_owned(),
            ));
        }
        self.keep();
        Ok(None)
    }

    /// The whole body of at most `limit` bytes.
    pub async fn bytes(mut self, limit: usize) -> Result<Vec<u8>, SendError> {
        let mut bytes = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            bytes.extend_from_slice(&chunk);
            if bytes.len() > limit {
                let why = format!("the body has more than {limit} bytes");
                return Err(SendError::Lost(self.addr, why));
            }
        }
        Ok(bytes)
    }

    /// A header's only value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.res.header(name).map(|values| values.last().as_str())
    }

    fn keep(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        let mut pool = self.pool.lock();
        let idle = pool.entry(self.addr).or_default();
        if idle.len() < IDLE_PER_ADDR {
            idle.push(Idle {
                stream,
                since: Instant::now(),
            });
        }
    }
}
