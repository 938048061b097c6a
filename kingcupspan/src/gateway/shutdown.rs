//! A planned stop: takes no new connections, cuts no request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::task;
use event_listener::Event;

/// How long connections are still accepted: the balancer asks once a second
/// and takes a daemon out after two misses.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);

/// Part of the grace within which requests under way may end.
const GRACE_FRACTION: f64 = 0.9;

/// Pause between looks at the requests under way.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a planned stop.
#[derive(Debug, Default)]
pub struct Shutdown {
    is_stopping: AtomicBool,
    closes_idle_connections: AtomicBool,
    idle_close_started: Event,
    in_flight: AtomicUsize,
}

/// A request that is under way until this is dropped.
pub struct InFlightGuard(Arc<Shutdown>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shutdown {
    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Whether connections without a request are closed.
    pub fn closes_idle_connections(&self) -> bool {
        self.closes_idle_connections.load(Ordering::SeqCst)
    }

    /// Counts a request.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(self))
    }

    /// Requests under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Completes when connections without a request are closed and none is accepted.
    pub async fn idle_connections_closing(&self) {
        loop {
            let listener = self.idle_close_started.listen();
            if self.closes_idle_connections() {
                return;
            }
            listener.await;
        }
    }

    /// Stops; completes when no request is under way or `grace` is nearly over.
    pub async fn run(&self, grace: Duration) {
        self.is_stopping.store(true, Ordering::SeqCst);
        let grace = grace.mul_f64(GRACE_FRACTION);
        task::sleep(ACCEPT_PERIOD.min(grace / 2)).await;
        self.closes_idle_connections.store(true, Ordering::SeqCst);
        self.idle_close_started.notify(usize::MAX);
        let mut remaining = grace.saturating_sub(ACCEPT_PERIOD);
        // One look more than needed: a request may just be arriving.
        task::sleep(POLL_INTERVAL * 6).await;
        while self.in_flight() > 0 && !remaining.is_zero() {
            task::sleep(POLL_INTERVAL).await;
            remaining = remaining.saturating_sub(POLL_INTERVAL);
        }
    }
}
