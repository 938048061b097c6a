//! What all stand-ins share of HTTP.

use std::{collections::HashMap, future::Future, io, net, sync::Arc, time::Duration};

use async_std::{net::TcpListener, task};
use http_types::{Body, Response};
use kingcupspan::edge::server::{self, Exchange};
use serde::{Serialize, de::DeserializeOwned};

/// Largest request that a stand-in reads, in bytes.
const BODY_MAX_BYTES: u64 = 256 << 20;

/// How long a request may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// A running stand-in; dropping it does not stop it.
pub struct RunningServer {
    /// Where it listens.
    pub addr: net::SocketAddr,

    task: task::JoinHandle<()>,
}

impl RunningServer {
    /// Stops listening.
    pub async fn stop(self) {
        self.task.cancel().await;
    }

    /// Waits for ever.
    pub async fn wait(self) {
        self.task.await;
    }
}

/// Starts a stand-in at `addr`.
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

/// A JSON answer.
pub fn json_response<T: Serialize>(status: u16, value: &T) -> Response {
    let mut res = Response::new(status);
    res.set_body(Body::from_bytes(
        serde_json::to_vec(value).unwrap_or_default(),
    ));
    res.set_content_type(http_types::mime::JSON);
    res
}

/// The whole body of a request.
pub async fn read_body(exchange: &mut Exchange) -> Vec<u8> {
    let body = exchange.body(BODY_MAX_BYTES, BODY_TIMEOUT).await;
    body.unwrap_or_default()
}

/// The body of a request as JSON.
pub async fn read_json<T: DeserializeOwned>(exchange: &mut Exchange) -> Result<T, Response> {
    let body = read_body(exchange).await;
    serde_json::from_slice(&body).map_err(|e| json_response(400, &e.to_string()))
}

/// A parameter of the query.
pub fn query_param(exchange: &Exchange, name: &str) -> Option<String> {
    let pairs: HashMap<_, _> = exchange.req.url().query_pairs().into_owned().collect();
    pairs.get(name).cloned()
}

/// Never answers.
pub async fn never_respond() -> Response {
    std::future::pending().await
}

/// An answer that is cut before its end.
pub fn truncated_response() -> Response {
    let (_, body) = kingcupspan::edge::body::channel();
    let mut res = Response::new(200);
    res.set_body(body);
    res
}
