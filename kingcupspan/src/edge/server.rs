//! HTTP/1.1 server for callers, peers and operators.

use std::{
    future::Future, io, net, panic::AssertUnwindSafe, sync::Arc, sync::atomic, time::Duration,
    time::Instant,
};

use async_h1::server;
use async_std::{future, net::TcpListener, net::TcpStream, task};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt};
use http_types::headers;

use crate::edge::problem::{Kind, Problem};

/// Delay after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// A request and the connection on which it arrived.
pub struct Exchange {
    /// The request, whose body has not been read yet.
    pub req: http_types::Request,

    /// Time when the connection was accepted.
    pub accepted_at: Instant,

    stream: TcpStream,

    /// Whether the body was refused, so that the rest of it may follow on the connection.
    is_body_refused: Arc<atomic::AtomicBool>,
}

impl Exchange {
    /// Reads the complete body, which may have at most `limit` bytes and must arrive within
    /// `timeout`.
    pub async fn body(&mut self, limit: u64, timeout: Duration) -> Result<Vec<u8>, Problem> {
        let content_length = self.req.len();
        // The HTTP library reads one coding, and takes the body for empty with any other.
        if content_length.is_some() && self.req.header(headers::TRANSFER_ENCODING).is_some() {
            let detail = "the transfer coding is not supported".to_owned();
            return Err(self.reject(Problem::not_run(Kind::BadRequest, detail)));
        }
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

    /// Returns the problem after shutting down the read half of the connection, so that the
    /// server does not wait for the rest of the body; the connection is closed after the response.
    fn reject(&self, problem: Problem) -> Problem {
        self.is_body_refused.store(true, atomic::Ordering::SeqCst);
        // An error means that the connection is already closed.
        let _ = self.stream.shutdown(net::Shutdown::Read);
        problem
    }

    /// Returns the value of a header, the last one if the header is repeated.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.req.header(name).map(|values| values.last().as_str())
    }
}

/// Creates the problem for a body that exceeds `limit` bytes.
fn too_large(limit: u64) -> Problem {
    Problem::not_run(Kind::TooLarge, format!("the body may have {limit} bytes"))
}

/// Tracks the in-flight requests of a listener and closes its connections on graceful shutdown.
#[derive(Debug, Default)]
pub struct RequestTracker {
    in_flight: atomic::AtomicUsize,

    /// Whether each connection is closed after its next response.
    should_close: atomic::AtomicBool,

    /// Whether no further connections are accepted.
    has_stopped_accepting: atomic::AtomicBool,

    /// Notified when no further connections are accepted.
    accepting_stopped: Event,
}

impl RequestTracker {
    /// Returns the number of requests whose responses are not complete.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(atomic::Ordering::SeqCst)
    }

    /// Makes the server close each connection after its next response.
    pub fn close_connections(&self) {
        self.should_close.store(true, atomic::Ordering::SeqCst);
    }

    /// Makes the server accept only those connections that have already arrived.
    pub fn stop_accepting(&self) {
        self.has_stopped_accepting
            .store(true, atomic::Ordering::SeqCst);
        self.accepting_stopped.notify(usize::MAX);
    }

    /// Waits until no further connections are accepted.
    async fn wait_for_stop(&self) {
        loop {
            let listener = self.accepting_stopped.listen();
            if self.has_stopped_accepting.load(atomic::Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        InFlightGuard(Arc::clone(self))
    }
}

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlightGuard(Arc<RequestTracker>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// Binds a TCP listener.
pub async fn bind(addr: net::SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}

/// Accepts and serves connections until the tracker stops it or the task is cancelled.
///
/// After a stop, the connections that have already arrived are accepted first: closing the
/// listener would reset them, though their callers may have sent requests.
pub async fn serve<F, Fut>(listener: TcpListener, tracker: Arc<RequestTracker>, handler: F)
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = http_types::Response> + Send + 'static,
{
    let mut incoming = listener.incoming();
    loop {
        let stopped = async {
            tracker.wait_for_stop().await;
            None
        };
        match incoming.next().or(stopped).await {
            None => return,
            Some(Ok(stream)) => {
                let handler = handler.clone();
                let tracker = Arc::clone(&tracker);
                task::spawn(serve_connection(stream, tracker, handler));
            }
            Some(Err(e)) => {
                log::warn!(error = e.to_string().as_str(); "cannot accept a connection; retrying after a delay");
                task::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves the requests of a connection until it is closed or a request is malformed.
async fn serve_connection<F, Fut>(mut stream: TcpStream, tracker: Arc<RequestTracker>, handler: F)
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = http_types::Response> + Send + 'static,
{
    // The connection also works without this option, only with higher latency.
    let _ = stream.set_nodelay(true);
    let opts = server::ServerOptions::default();
    let accepted_at = Instant::now();
    // Guard of the request that the connection is serving, if any.
    let in_flight_guard = Arc::new(parking_lot::Mutex::new(None));
    let handle_request = |req| {
        let is_body_refused = Arc::new(atomic::AtomicBool::new(false));
        let exchange = Exchange {
            req,
            accepted_at,
            stream: stream.clone(),
            is_body_refused: Arc::clone(&is_body_refused),
        };
        *in_flight_guard.lock() = Some(tracker.track());
        let handler = handler.clone();
        let tracker = Arc::clone(&tracker);
        async move {
            let mut res = handler(exchange).await;
            let should_close = [&tracker.should_close, &*is_body_refused];
            if should_close
                .iter()
                .any(|c| c.load(atomic::Ordering::SeqCst))
            {
                res.insert_header(headers::CONNECTION, "close");
            }
            Ok(res)
        }
    };
    let mut server = server::Server::new(stream.clone(), handle_request).with_opts(opts);
    loop {
        // The HTTP library panics on some header values, such as non-ASCII ones. Such a panic
        // must not affect anything but this connection.
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

/// Sends an error response for a request whose head cannot be parsed.
async fn reject_head(stream: &mut TcpStream, reason: &str) {
    let problem = Problem::not_run(Kind::BadRequest, format!("malformed HTTP: {reason}"));
    let body = serde_json::to_string(&problem).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 400 Bad Request\r\ncontent-type: application/problem+json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    // An error means that the client has closed the connection.
    let _ = stream.write_all((head + &body).as_bytes()).await;
}
