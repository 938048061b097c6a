//! HTTP/1.1 towards whoever connects.

use std::{
    future::Future, io, net, panic::AssertUnwindSafe, sync::Arc, sync::atomic, time::Duration,
    time::Instant,
};

use async_h1::server;
use async_std::{future, net::TcpListener, net::TcpStream, task};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt};
use http_types::headers;

use crate::edge::problem::{Kind, Problem};

/// Pause after the process has run out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A request with its connection.
pub struct Exchange {
    /// The request; its body is not read yet.
    pub req: http_types::Request,

    /// When its connection was accepted.
    pub accepted_at: Instant,

    stream: TcpStream,
}

impl Exchange {
    /// Reads the whole body of at most `limit` bytes within `patience`.
    pub async fn body(&mut self, limit: u64, timeout: Duration) -> Result<Vec<u8>, Problem> {
        let content_length = self.req.len();
        if content_length.is_some_and(|len| len as u64 > limit) {
            return Err(self.reject(too_large(limit)));
        }
        let mut body = self.req.take_body().take(limit + 1);
        let mut bytes = Vec::new();
        match future::timeout(timeout, body.read_to_end(&mut bytes)).await {
            Err(_) => {
                let detail = format!("the body did not arrive within {timeout:?}");
                Err(self.reject(Problem::not_run(Kind::SlowRequest, detail)))
            }
            Ok(Err(e)) => {
                let detail = format!("the body cannot be read: {e}");
                Err(self.reject(Problem::not_run(Kind::BadRequest, detail)))
            }
            Ok(Ok(_)) if bytes.len() as u64 > limit => Err(self.reject(too_large(limit))),
            Ok(Ok(n)) if content_length.is_some_and(|len| len != n) => {
                let expected = content_length.unwrap_or(n);
                let detail = format!("the body ended after {n} bytes of {expected}");
                Err(self.reject(Problem::not_run(Kind::BadRequest, detail)))
            }
            Ok(Ok(_)) => Ok(bytes),
        }
    }

    /// Stops reading from the connection, so that an unread body holds nothing up.
    fn reject(&self, problem: Problem) -> Problem {
        // A connection that is gone already needs no shutdown.
        let _ = self.stream.shutdown(net::Shutdown::Read);
        problem
    }

    /// A header's only value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.req.header(name).map(|values| values.last().as_str())
    }
}

fn too_large(limit: u64) -> Problem {
    Problem::not_run(Kind::TooLarge, format!("the body may have {limit} bytes"))
}

/// A listener's connections and requests, for a planned stop.
#[derive(Debug, Default)]
pub struct RequestTracker {
    in_flight: atomic::AtomicUsize,
    should_close: atomic::AtomicBool,
}

impl RequestTracker {
    /// Requests that have not been answered to their end.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(atomic::Ordering::SeqCst)
    }

    /// Closes each connection after its next answer.
    pub fn close_connections(&self) {
        self.should_close.store(true, atomic::Ordering::SeqCst);
    }

    /// Counts a request until the returned guard is dropped.
    pub fn track(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        InFlightGuard(Arc::clone(self))
    }
}

/// A request that is counted.
pub struct InFlightGuard(Arc<RequestTracker>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// Opens a listener.
pub async fn bind(addr: net::SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}

/// Serves connections until the listener's task is cancelled.
pub async fn serve<F, Fut>(listener: TcpListener, tracker: Arc<RequestTracker>, handler: F)
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = http_types::Response> + Send + 'static,
{
    let mut incoming = listener.incoming();
    while let Some(result) = incoming.next().await {
        match result {
            Ok(stream) => {
                let handler = handler.clone();
                let tracker = Arc::clone(&tracker);
                task::spawn(serve_connection(stream, tracker, handler));
            }
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "cannot accept a connection");
                task::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection<F, Fut>(mut stream: TcpStream, tracker: Arc<RequestTracker>, handler: F)
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = http_types::Response> + Send + 'static,
{
    // Without the option answers are only later.
    let _ = stream.set_nodelay(true);
    let opts = server::ServerOptions::default();
    let accepted_at = Instant::now();
    let in_flight_guard = Arc::new(parking_lot::Mutex::new(None));
    let endpoint = |req| {
        let exchange = Exchange {
            req,
            accepted_at,
            stream: stream.clone(),
        };
        *in_flight_guard.lock() = Some(tracker.track());
        let handler = handler.clone();
        let tracker = Arc::clone(&tracker);
        async move {
            let mut res = handler(exchange).await;
            if tracker.should_close.load(atomic::Ordering::SeqCst) {
                res.insert_header(headers::CONNECTION, "close");
            }
            Ok(res)
        }
    };
    let mut server = server::Server::new(stream.clone(), endpoint).with_opts(opts);
    loop {
        // The HTTP library panics on some header values, such as ones that are
        // not ASCII; that must cost no more than the connection.
        let result = AssertUnwindSafe(server.accept_one()).catch_unwind().await;
        let malformed = || http_types::Error::from_str(400, "a header cannot be read");
        let status = result.unwrap_or_else(|_| Err(malformed()));
        let had_request = in_flight_guard.lock().take().is_some();
        match status {
            Ok(server::ConnectionStatus::KeepAlive) => {}
            Ok(server::ConnectionStatus::Close) => break,
            Err(e) => {
                if !had_request && e.downcast_ref::<io::Error>().is_none() {
                    reject_head(&mut stream, &e.to_string()).await;
                }
                break;
            }
        }
    }
}

/// Answers a request whose head cannot be read.
async fn reject_head(stream: &mut TcpStream, reason: &str) {
    let problem = Problem::not_run(Kind::BadRequest, format!("malformed HTTP: {reason}"));
    let body = serde_json::to_string(&problem).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 400 Bad Request\r\ncontent-type: application/problem+json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    // Whoever sent the request may be gone.
    let _ = stream.write_all((head + &body).as_bytes()).await;
}
