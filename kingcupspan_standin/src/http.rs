//! HTTP helpers shared by the stand-in servers.

use std::{collections::HashMap, future::Future, io, net, sync::Arc, time::Duration};

use async_std::{net::TcpListener, task};
use http_types::{Body, Response};
use kingcupspan::edge::server::{self, Exchange};
use serde::{Serialize, de::DeserializeOwned};

/// Largest request body that a stand-in accepts, in bytes.
const BODY_MAX_BYTES: u64 = 256 << 20;

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Handle of a running stand-in server; dropping the handle does not stop the server.
pub struct RunningServer {
    /// Address on which the server listens.
    pub addr: net::SocketAddr,

    task: task::JoinHandle<()>,
}

impl RunningServer {
    /// Stops the server from accepting connections.
    pub async fn stop(self) {
        self.task.cancel().await;
    }

    /// Waits until the server task ends; the task does not end by itself.
    pub async fn wait(self) {
        self.task.await;
    }
}

/// Starts a server on `addr` that answers each request with `handler`.
pub async fn start<F, Fut>(addr: net::SocketAddr, handler: F) -> io::Result<RunningServer>
where
    F: Fn(Exchange) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let task = task::spawn(server::serve(listener, Arc::default(), handler));
    Ok(RunningServer { addr, task })
}

/// Creates a response with a JSON body.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response {
    let mut res = Response::new(status);
    res.set_body(Body::from_bytes(
        serde_json::to_vec(value).unwrap_or_default(),
    ));
    res.set_content_type(http_types::mime::JSON);
    res
}

/// Reads the complete body of a request; returns an empty body if that fails.
pub async fn read_body(exchange: &mut Exchange) -> Vec<u8> {
    let body = exchange.body(BODY_MAX_BYTES, BODY_TIMEOUT).await;
    body.unwrap_or_default()
}

/// Reads the body of a request as JSON; the error is a response with status 400.
pub async fn read_json<T: DeserializeOwned>(exchange: &mut Exchange) -> Result<T, Response> {
    let body = read_body(exchange).await;
    serde_json::from_slice(&body).map_err(|e| json_response(400, &e.to_string()))
}

/// Returns the value of a query parameter.
pub fn query_param(exchange: &Exchange, name: &str) -> Option<String> {
    let pairs: HashMap<_, _> = exchange.req.url().query_pairs().into_owned().collect();
    pairs.get(name).cloned()
}

/// Waits forever, so that the request gets no response.
pub async fn never_respond() -> Response {
    std::future::pending().await
}

/// Creates a response whose body ends prematurely.
pub fn truncated_response() -> Response {
    let (_, body) = kingcupspan::edge::body::channel();
    let mut res = Response::new(200);
    res.set_body(body);
    res
}
