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
const ACCEPT_FOR: Duration = Duration::from_millis(2_600);

/// Part of the grace within which requests under way may end.
const GRACE_SHARE: f64 = 0.9;

/// Pause between looks at the requests under way.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// The state of a planned stop.
#[derive(Debug, Default)]
pub struct Stop {
    is_stopping: AtomicBool,
    closes_idle: AtomicBool,
    closing: Event,
    under_way: AtomicUsize,
}

/// A request that is under way until this is dropped.
pub struct UnderWay(Arc<Stop>);

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.under_way.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Stop {
    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Whether connections without a request are closed.
    pub fn closes_idle(&self) -> bool {
        self.closes_idle.load(Ordering::SeqCst)
    }

    /// Counts a request.
    pub fn enter(self: &Arc<Self>) -> UnderWay {
        self.under_way.fetch_add(1, Ordering::SeqCst);
        UnderWay(Arc::clone(self))
    }

    /// Requests under way.
    pub fn under_way(&self) -> usize {
        self.under_way.load(Ordering::SeqCst)
    }

    /// Completes when connections without a request are closed and none is accepted.
    pub async fn idle_closing(&self) {
        loop {
            let listener = self.closing.listen();
            if self.closes_idle() {
                return;
            }
            listener.await;
        }
    }

    /// Stops; completes when no request is under way or `grace` is nearly over.
    pub async fn run(&self, grace: Duration) {
        self.is_stopping.store(true, Ordering::SeqCst);
        let grace = grace.mul_f64(GRACE_SHARE);
        task::sleep(ACCEPT_FOR.min(grace / 2)).await;
        self.closes_idle.store(true, Ordering::SeqCst);
        self.closing.notify(usize::MAX);
        let mut left = grace.saturating_sub(ACCEPT_FOR);
        // One look more than needed: a request may just be arriving.
        task::sleep(LOOK_PAUSE * 6).await;
        while self.under_way() > 0 && !left.is_zero() {
            task::sleep(LOOK_PAUSE).await;
            left = left.saturating_sub(LOOK_PAUSE);
        }
    }
}
