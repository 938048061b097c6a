//! HTTP/1.1 client with connection pooling, for requests to other processes.

use std::{collections::HashMap, net, sync::Arc, time::Duration, time::Instant};

use async_std::{future, net::TcpStream};
use futures_lite::AsyncReadExt;
use http_types::headers;

use crate::edge::tcp::{self, Remote};

/// Time after which an idle connection is no longer reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of idle connections that are pooled for each address.
const MAX_IDLE_PER_ADDR: usize = 256;

/// Size of the buffer for one read from a response body.
const CHUNK_BYTES: usize = 16 * 1024;

/// Error returned when a request could not be sent or its response could not be received.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The request was not sent, because no connection was established or it could not be encoded.
    #[error("cannot connect to {0}: {1}")]
    NotSent(net::SocketAddr, String),

    /// The request may have been received, but the response was lost or is incomplete.
    #[error("no whole answer from {0}: {1}")]
    Lost(net::SocketAddr, String),

    /// The request was sent, but nothing was received within the timeout.
    #[error("silence from {0} for {1:?}")]
    TimedOut(net::SocketAddr, Duration),
}

/// An HTTP request to another process.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// HTTP method.
    pub method: http_types::Method,

    /// Address that the request is sent to.
    pub addr: net::SocketAddr,

    /// Path and query.
    pub path: String,

    /// Headers as pairs of name and value.
    pub headers: Vec<(&'static str, String)>,

    /// Request body.
    pub body: Vec<u8>,

    /// Whether a pooled connection may be used. A request that must not be sent twice needs a
    /// new connection, since a pooled one may have failed without being noticed.
    pub can_reuse_connection: bool,

    /// Timeouts for the phases of the request.
    pub timeouts: Timeouts,
}

/// Timeouts for the phases of a request.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Timeout for establishing a connection.
    pub connect: Duration,

    /// Timeout for sending the request and receiving the response head.
    pub head: Duration,

    /// Timeout for each read from the response body.
    pub body: Duration,
}

impl Timeouts {
    /// Creates timeouts of the given duration for all phases.
    pub const fn all(timeout: Duration) -> Self {
        Self {
            connect: timeout,
            head: timeout,
            body: timeout,
        }
    }
}

impl ClientRequest {
    /// Creates a request without headers and body.
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

    /// Creates a POST request with a body.
    pub fn post(addr: net::SocketAddr, path: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            body,
            ..Self::new(http_types::Method::Post, addr, path)
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Replaces the timeouts.
    pub fn timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }
}

/// A pooled connection that no request uses.
struct IdleConnection {
    stream: TcpStream,

    /// Time when the connection became idle.
    idle_since: Instant,
}

/// Idle connections by address.
type Pool = parking_lot::Mutex<HashMap<net::SocketAddr, Vec<IdleConnection>>>;

/// HTTP client; clones share the pool of idle connections.
#[derive(Clone, Default)]
pub struct Client {
    pool: Arc<Pool>,
}

/// A response whose body is read in chunks.
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,

    /// Status and headers of the response, without its body.
    pub res: http_types::Response,

    addr: net::SocketAddr,

    /// Connection that returns to the pool after the body, if it stays open.
    stream: Option<TcpStream>,
    pool: Arc<Pool>,
    body: http_types::Body,

    /// Number of body bytes not yet received, if the response has a content length.
    remaining: Option<usize>,

    /// Timeout for each read from the body.
    body_timeout: Duration,
}

impl Client {
    /// Sends a request and waits for the response head.
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
        if !has_end(&res) {
            let detail = "the body has no length".to_owned();
            return Err(SendError::Lost(addr, detail));
        }
        let closes_connection = res
            .header(headers::CONNECTION)
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

    /// Takes an idle connection that the server has not closed.
    async fn take_idle_connection(&self, req: &ClientRequest) -> Option<TcpStream> {
        if !req.can_reuse_connection {
            return None;
        }
        loop {
            let idle = self.pool.lock().get_mut(&req.addr)?.pop()?;
            if idle.idle_since.elapsed() < IDLE_TIMEOUT && is_open(&idle.stream).await {
                return Some(idle.stream);
            }
        }
    }

    /// Closes all idle connections to an address.
    pub fn close_idle_connections(&self, addr: net::SocketAddr) {
        self.pool.lock().remove(&addr);
    }
}

/// Returns whether the end of a response can be told from the end of its connection. The HTTP
/// library takes the body for empty otherwise, also that of an interim response.
fn has_end(res: &http_types::Response) -> bool {
    let is_chunked = |v: &headers::HeaderValues| v.last().as_str() == "chunked";
    matches!(u16::from(res.status()), 204 | 304)
        || res.header(headers::CONTENT_LENGTH).is_some()
        || res
            .header(headers::TRANSFER_ENCODING)
            .is_some_and(is_chunked)
}

/// Returns whether an idle connection is still open: neither data nor end of file is readable.
async fn is_open(stream: &TcpStream) -> bool {
    let mut buf = [0];
    futures_lite::future::poll_once(stream.peek(&mut buf))
        .await
        .is_none()
}

/// Opens a connection to a process.
async fn connect(addr: net::SocketAddr, timeout: Duration) -> Result<TcpStream, SendError> {
    let stream = match future::timeout(timeout, TcpStream::connect(addr)).await {
        Err(_) => return Err(SendError::NotSent(addr, "timeout".to_owned())),
        Ok(Err(e)) => return Err(SendError::NotSent(addr, e.to_string())),
        Ok(Ok(stream)) => stream,
    };
    if let Err(e) = tcp::set_options(&stream, Remote::System) {
        log::warn!(error = e.to_string().as_str(); "cannot set socket options; using the connection without them");
    }
    Ok(stream)
}

/// Converts a request to the type of the HTTP library.
fn encode(req: ClientRequest) -> http_types::Result<http_types::Request> {
    let url = http_types::Url::parse(&format!("http://{}{}", req.addr, req.path))?;
    let mut encoded = http_types::Request::new(req.method, url);
    for (name, value) in &req.headers {
        let value = headers::HeaderValue::from_bytes(value.clone().into_bytes())?;
        encoded.insert_header(*name, value);
    }
    encoded.set_body(req.body);
    Ok(encoded)
}

impl ClientResponse {
    /// Returns the next chunk of the body, or `None` at its end.
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

    /// Reads the complete body, which may have at most `limit` bytes.
    pub async fn bytes(mut self, limit: usize) -> Result<Vec<u8>, SendError> {
        let mut bytes = Vec::new();
        self.read_to_end(&mut bytes, limit).await?;
        Ok(bytes)
    }

    /// Appends the body, which may have at most `limit` bytes, to `buf`; on an error `buf`
    /// holds what had been received.
    pub async fn read_to_end(&mut self, buf: &mut Vec<u8>, limit: usize) -> Result<(), SendError> {
        let start = buf.len();
        while let Some(chunk) = self.chunk().await? {
            buf.extend_from_slice(&chunk);
            if buf.len() - start > limit {
                let detail = format!("the body has more than {limit} bytes");
                return Err(SendError::Lost(self.addr, detail));
            }
        }
        Ok(())
    }

    /// Returns the value of a header, the last one if the header is repeated.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.res.header(name).map(|values| values.last().as_str())
    }

    /// Returns the connection to the pool, unless it is to be closed or the pool is full.
    fn return_to_pool(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        let mut pool = self.pool.lock();
        let idle = pool.entry(self.addr).or_default();
        if idle.len() < MAX_IDLE_PER_ADDR {
            idle.push(IdleConnection {
                stream,
                idle_since: Instant::now(),
            });
        }
    }
}
