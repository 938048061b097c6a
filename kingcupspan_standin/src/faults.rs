//! Faults that can be switched on while a stand-in runs, by `POST /control`.

use std::time::{Duration, Instant};

use http_types::Response;
use kingcupspan::edge::server::Exchange;
use serde::{Deserialize, Serialize};

use crate::http;

/// What a stand-in does wrong.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Refuses everything.
    pub refuse: bool,

    /// Answers nothing.
    pub silent: bool,

    /// Answers nothing on connections that were open when this was switched on.
    pub silent_old_connections: bool,

    /// Does this many requests and then cuts their answers.
    pub lose_answers: u64,

    /// Takes so long for everything, in milliseconds.
    pub slow_ms: u64,

    /// Appends take effect so much later and their answers are lost, in milliseconds.
    pub late_append_ms: u64,

    /// Cuts this many streams in their middle.
    pub cut_streams: u64,

    /// Answers this many requests with the answer of another.
    pub crossed_answers: u64,
}

/// Faults in force.
#[derive(Default)]
pub struct State {
    inner: parking_lot::Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    faults: Faults,
    since: Option<Instant>,
}

impl State {
    /// Switches to other faults.
    pub fn set(&self, faults: Faults) {
        let mut inner = self.inner.lock();
        inner.faults = faults;
        inner.since = Some(Instant::now());
    }

    /// The faults in force.
    pub fn get(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    /// Switches faults as a request to `/control` says.
    pub async fn control(&self, exchange: &mut Exchange) -> Response {
        match http::read_json(exchange).await {
            Ok(faults) => {
                self.set(faults);
                Response::new(204)
            }
            Err(bad_request) => bad_request,
        }
    }

    /// Fails a request before it does anything, where a fault says so.
    pub async fn intercept(&self, exchange: &Exchange) -> Option<Response> {
        let (faults, since) = {
            let inner = self.inner.lock();
            (inner.faults.clone(), inner.since)
        };
        if faults.slow_ms > 0 {
            async_std::task::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.refuse {
            return Some(Response::new(503));
        }
        let is_old = since.is_some_and(|since| exchange.accepted_at < since);
        if faults.silent || (faults.silent_old_connections && is_old) {
            return Some(http::never_respond().await);
        }
        None
    }

    /// Whether the answer of a request that was done is to be lost.
    pub fn should_drop_response(&self) -> bool {
        take(&mut self.inner.lock().faults.lose_answers)
    }

    /// Whether a stream is to be cut.
    pub fn should_truncate_stream(&self) -> bool {
        take(&mut self.inner.lock().faults.cut_streams)
    }

    /// Whether an answer is to be another request's.
    pub fn should_mix_up_response(&self) -> bool {
        take(&mut self.inner.lock().faults.crossed_answers)
    }
}

fn take(count: &mut u64) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
