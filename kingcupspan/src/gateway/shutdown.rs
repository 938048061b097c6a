//! Graceful shutdown: stops accepting connections and waits for requests in flight.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use event_listener::Event;

/// How long connections are still accepted after a shutdown begins; the load balancer
/// probes once per second and removes a daemon after two failed probes.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);

/// Fraction of the grace period within which requests in flight may complete.
const GRACE_FRACTION: f64 = 0.9;

/// Interval between checks for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State of a graceful shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// Whether a shutdown has begun.
    is_stopping: AtomicBool,

    /// Whether idle connections are closed and no new ones are accepted.
    closes_idle_connections: AtomicBool,

    /// Notified when `closes_idle_connections` is set.
    idle_close_started: Event,

    /// Number of requests in flight.
    in_flight: AtomicUsize,

    /// Time at which requests in flight are cut.
    cuts_at: OnceLock<Instant>,
}

/// Counts a request as in flight until the guard is dropped.
pub struct InFlightGuard(Arc<Shutdown>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shutdown {
    /// Returns whether a shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Returns whether idle connections are closed and no new ones are accepted.
    pub fn closes_idle_connections(&self) -> bool {
        self.closes_idle_connections.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(self))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns whether a request that arrives now may be cut if it is in flight until
    /// `deadline`. Early in a shutdown requests are taken all the same, since callers cannot
    /// know of it yet.
    pub fn may_cut(&self, deadline: Instant) -> bool {
        self.closes_idle_connections() && self.cuts_at.get().is_some_and(|at| deadline > *at)
    }

    /// Waits until idle connections are to be closed and no new ones are accepted.
    pub async fn wait_for_idle_close(&self) {
        loop {
            let listener = self.idle_close_started.listen();
            if self.closes_idle_connections() {
                return;
            }
            listener.await;
        }
    }

    /// Shuts down; returns when no request is in flight or `grace` is nearly over.
    pub async fn run(&self, grace: Duration) {
        self.is_stopping.store(true, Ordering::SeqCst);
        let grace = grace.mul_f64(GRACE_FRACTION);
        self.cuts_at.get_or_init(|| Instant::now() + grace);
        task::sleep(ACCEPT_PERIOD.min(grace / 2)).await;
        self.closes_idle_connections.store(true, Ordering::SeqCst);
        self.idle_close_started.notify(usize::MAX);
        let mut remaining = grace.saturating_sub(ACCEPT_PERIOD);
        // Wait before the first check, since a request may just be arriving.
        task::sleep(POLL_INTERVAL * 6).await;
        while self.in_flight() > 0 && !remaining.is_zero() {
            task::sleep(POLL_INTERVAL).await;
            remaining = remaining.saturating_sub(POLL_INTERVAL);
        }
    }
}
