//! The weight store: hands out weights at a limited rate.

use std::{io, net, sync::Arc, time::Duration};

use async_std::task;
use http_types::Response;
use kingcupspan::edge::server::Exchange;
use serde_json::json;

use crate::http;

/// The weight store's state.
pub struct WeightStore {
    /// Bytes per second, over all readers.
    pub bytes_per_s: u64,

    /// Size of each set of weights, in bytes.
    pub size_bytes: u64,

    turn: async_std::sync::Mutex<()>,
}

impl WeightStore {
    /// A weight store.
    pub fn new(bytes_per_s: u64, size_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_s,
            size_bytes,
            turn: async_std::sync::Mutex::new(()),
        })
    }

    async fn handle(self: Arc<Self>, exchange: Exchange) -> Response {
        let path = exchange.req.url().path().to_owned();
        let Some(name) = path.strip_prefix("/weights/") else {
            return Response::new(404);
        };
        let _turn = self.turn.lock().await;
        let seconds = self.size_bytes as f64 / self.bytes_per_s as f64;
        task::sleep(Duration::from_secs_f64(seconds)).await;
        http::json_response(200, &json!({"name": name, "bytes": self.size_bytes}))
    }
}

/// Starts a weight store.
pub async fn start(
    addr: net::SocketAddr,
    weights: Arc<WeightStore>,
) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&weights).handle(exchange)).await
}
