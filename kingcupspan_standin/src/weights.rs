//! A stand-in weight store that serves model weights at a limited rate.

use std::{io, net, sync::Arc, time::Duration};

use async_std::task;
use http_types::Response;
use kingcupspan::edge::server::Exchange;
use serde_json::json;

use crate::http;

/// State of the stand-in weight store.
pub struct WeightStore {
    /// Transfer rate shared by all readers, in bytes per second.
    pub bytes_per_s: u64,

    /// Size of each model's weights, in bytes.
    pub size_bytes: u64,

    /// Lock held during a transfer, so that the readers share the rate.
    transfer_lock: async_std::sync::Mutex<()>,
}

impl WeightStore {
    /// Creates a weight store.
    pub fn new(bytes_per_s: u64, size_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_s,
            size_bytes,
            transfer_lock: async_std::sync::Mutex::new(()),
        })
    }

    /// Handles a request for weights by waiting for the time that the transfer would take.
    async fn handle(self: Arc<Self>, exchange: Exchange) -> Response {
        let path = exchange.req.url().path().to_owned();
        let Some(name) = path.strip_prefix("/weights/") else {
            return Response::new(404);
        };
        let _guard = self.transfer_lock.lock().await;
        let seconds = self.size_bytes as f64 / self.bytes_per_s as f64;
        task::sleep(Duration::from_secs_f64(seconds)).await;
        http::json_response(200, &json!({"name": name, "bytes": self.size_bytes}))
    }
}

/// Starts a weight store that listens on `addr`.
pub async fn start(
    addr: net::SocketAddr,
    weights: Arc<WeightStore>,
) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&weights).handle(exchange)).await
}
