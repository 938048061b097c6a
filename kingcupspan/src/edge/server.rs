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
    pub accepted: Instant,

    stream: TcpStream,
}

impl Exchange {
    /// Reads the whole body of at most `limit` bytes within `patience`.
    pub async fn body(&mut self, limit: u64, patience: Duration) -> Result<Vec<u8>, Problem> {
        let announced = self.req.len();
        if announced.is_some_and(|len| len as u64 > limit) {
            return Err(self.refuse(too_large(limit)));
        }
        let mut body = self.req.take_body().take(limit + 1);
        let mut bytes = Vec::new();
        match future::timeout(patience, body.read_to_end(&mut bytes)).await {
            Err(_) => {
                let detail = format!("the body did not arrive within {patience:?}");
                Err(self.refuse(Problem::not_run(Kind::SlowRequest, detail)))
            }
            Ok(Err(e)) => {
                let detail = format!("the body cannot be read: {e}");
                Err(self.refuse(Problem::not_run(Kind::BadRequest, detail)))
            }
            Ok(Ok(_)) if bytes.len() as u64 > limit => Err(self.refuse(too_large(limit))),
            Ok(Ok(n)) if announced.is_some_and(|len| len != n) => {
                let of = announced.unwrap_or(n);
                let detail = format!("the body ended after {n} bytes of {of}");
                Err(self.refuse(Problem::not_run(Kind::BadRequest, detail)))
            }
            Ok(Ok(_)) => Ok(bytes),
        }
    }

    /// Stops reading from the connection, so that an unread body holds nothing up.
    fn refuse(&self, problem: Problem) -> Problem {
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
pub struct Gauge {
    requests: atomic::AtomicUsize,
    closing: atomic::AtomicBool,
}

impl Gauge {
    /// Requests that have not been answered to their end.
    pub fn requests(&self) -> usize {
        self.requests.load(atomic::Ordering::SeqCst)
    }

    /// Closes each connection after its next answer.
    pub fn close_connections(&self) {
        self.closing.store(true, atomic::Ordering::SeqCst);
    }

    /// Counts a request until the returned guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Entered {
        self.requests.fetch_add(1, atomic::Ordering::SeqCst);
        Entered(Arc::clone(self))
    }
}

/// A request that is counted.
pub struct Entered(Arc<Gauge>);

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// Opens a listener.
pub async fn bind(addr: net::SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}

/// Serves connections until the listener's task is cancelled.
pub async fn serve<F, Fut>(listener: TcpListener, gauge: Arc<Gauge>, handler: F)
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = http_types::Response> + Send + 'static,
{
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        match accepted {
            Ok(stream) => {
                let handler = handler.clone();
                let gauge = Arc::clone(&gauge);
                task::spawn(connection(stream, gauge, handler));
            }
            Err(e) => {
                log::warn!(error = e.to_string().as_str(); "cannot accept a connection");
                task::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn connection<F, Fut>(mut stream: TcpStream, gauge: Arc<Gauge>, handler: F)
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = http_types::Response> + Send + 'static,
{
    // Without the option answers are only later.
    let _ = stream.set_nodelay(true);
    let opts = server::ServerOptions::default();
    let accepted = Instant::now();
    let under_way = Arc::new(parking_lot::Mutex::new(None));
    let endpoint = |req| {
        let exchange = Exchange {
            req,
            accepted,
            stream: stream.clone(),
        };
        *under_way.lock() = Some(gauge.enter());
        let handler = handler.clone();
        let gauge = Arc::clone(&gauge);
        async move {
            let mut res = handler(exchange).await;
            if gauge.closing.load(atomic::Ordering::SeqCst) {
                res.insert_header(headers::CONNECTION, "close");
            }
            Ok(res)
        }
    };
    let mut server = server::Server::new(stream.clone(), endpoint).with_opts(opts);
    loop {
        // The HTTP library panics on some header values, such as ones that are
        // not ASCII; that must cost no more than the connection.
        let accepted = AssertUnwindSafe(server.accept_one()).catch_unwind().await;
        let malformed = || http_types::Error::from_str(400, "a header cannot be read");
        let status = accepted.unwrap_or_else(|_| Err(malformed()));
        let had_request = under_way.lock().take().is_some();
        match status {
            Ok(server::ConnectionStatus::KeepAlive) => {}
            Ok(server::ConnectionStatus::Close) => break,
            Err(e) => {
                if !had_request && e.downcast_ref::<io::Error>().is_none() {
                    refuse_head(&mut stream, &e.to_string()).await;
                }
                break;
            }
        }
    }
}

/// Answers a request whose head cannot be read.
async fn refuse_head(stream: &mut TcpStream, why: &str) {
    let problem = Problem::not_run(Kind::BadRequest, format!("malformed HTTP: {why}"));
    let body = serde_json::to_string(&problem).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 400 Bad Request\r\ncontent-type: application/problem+json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    // Whoever sent the request may be gone.
    let _ = stream.write_all((head + &body).as_bytes()).await;
}
