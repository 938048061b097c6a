//! Faults that a stand-in simulates, which can be changed at runtime through
//! `POST /control`.

use std::time::{Duration, Instant};

use http_types::Response;
use kingcupspan::edge::server::Exchange;
use serde::{Deserialize, Serialize};

use crate::http;

/// Configuration of the faults that a stand-in simulates.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Answers all requests with status 503.
    pub refuse: bool,

    /// Never responds to any request.
    pub silent: bool,

    /// Never responds on connections that were accepted before the faults were set.
    pub silent_old_connections: bool,

    /// Number of requests to execute without delivering a complete response.
    pub lose_answers: u64,

    /// Delay added to each request, in milliseconds.
    pub slow_ms: u64,

    /// Delay after which appends take effect, in milliseconds; their responses are lost.
    /// Zero disables this fault.
    pub late_append_ms: u64,

    /// Number of streams to truncate halfway.
    pub cut_streams: u64,

    /// Number of responses to send with another request's identifier.
    pub crossed_answers: u64,
}

/// Faults that are currently active.
#[derive(Default)]
pub struct State {
    inner: parking_lot::Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    faults: Faults,

    /// Time at which the faults were last set.
    set_at: Option<Instant>,
}

impl State {
    /// Replaces the active faults.
    pub fn set(&self, faults: Faults) {
        let mut inner = self.inner.lock();
        inner.faults = faults;
        inner.set_at = Some(Instant::now());
    }

    /// Returns the active faults.
    pub fn get(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    /// Replaces the active faults with those in the body of a request to `/control`.
    pub async fn control(&self, exchange: &mut Exchange) -> Response {
        match http::read_json(exchange).await {
            Ok(faults) => {
                self.set(faults);
                Response::new(204)
            }
            Err(bad_request) => bad_request,
        }
    }

    /// Applies the faults that take effect before a request is executed.
    ///
    /// Returns the response to send if the request must not be executed.
    pub async fn intercept(&self, exchange: &Exchange) -> Option<Response> {
        let (faults, set_at) = {
            let inner = self.inner.lock();
            (inner.faults.clone(), inner.set_at)
        };
        if faults.slow_ms > 0 {
            async_std::task::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.refuse {
            return Some(Response::new(503));
        }
        let is_old = set_at.is_some_and(|set_at| exchange.accepted_at < set_at);
        if faults.silent || (faults.silent_old_connections && is_old) {
            return Some(http::never_respond().await);
        }
        None
    }

    /// Uses up one `lose_answers` fault, if any is left, and returns whether there was one.
    pub fn should_drop_response(&self) -> bool {
        decrement(&mut self.inner.lock().faults.lose_answers)
    }

    /// Uses up one `cut_streams` fault, if any is left, and returns whether there was one.
    pub fn should_truncate_stream(&self) -> bool {
        decrement(&mut self.inner.lock().faults.cut_streams)
    }

    /// Uses up one `crossed_answers` fault, if any is left, and returns whether there was one.
    pub fn should_mix_up_response(&self) -> bool {
        decrement(&mut self.inner.lock().faults.crossed_answers)
    }
}

/// Decrements a counter and returns whether it was positive.
fn decrement(count: &mut u64) -> bool {
    let was_positive = *count > 0;
    *count = count.saturating_sub(1);
    was_positive
}
