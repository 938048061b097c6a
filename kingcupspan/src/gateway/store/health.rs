//! Whether and how fast the store responds to this daemon.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use event_listener::Event;
use parking_lot::Mutex;

use super::{RESPONSE_VALID_FOR, StoreFailure};

/// Response time from which on the store counts as slow; it normally responds within a
/// few milliseconds, and a turn waits for several calls one after another.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(150);

/// Time for which the pace of a response tells how the store responds now.
const PACE_VALID_FOR: Duration = Duration::from_millis(1_000);

/// What the calls of this daemon tell about the store.
#[derive(Debug, Default)]
pub struct Health {
    /// Start of the outage; `None` while the store responds to this daemon.
    outage_since: Mutex<Option<Instant>>,

    last_response: Mutex<Option<Instant>>,

    /// Whether the last call in the outage failed through peers as well.
    is_away_for_peers: AtomicBool,

    /// How fast the store responded to calls that do not wait for records.
    pace: Mutex<Pace>,

    /// Notified when an outage starts.
    outage_started: Event,

    /// Notified when an outage ends.
    outage_ended: Event,
}

/// Times at which calls ended, by how long they took.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    /// Last response within [`SLOW_RESPONSE_TIME`].
    last_fast: Option<Instant>,

    /// Last call that took longer.
    last_slow: Option<Instant>,
}

/// Whether a call ended within [`PACE_VALID_FOR`].
fn is_current(at: Option<Instant>) -> bool {
    at.is_some_and(|at| at.elapsed() < PACE_VALID_FOR)
}

impl Health {
    /// Time since the start of the outage; `None` while the store responds to this daemon.
    pub fn unreachable_for(&self) -> Option<Duration> {
        self.outage_since.lock().map(|at| at.elapsed())
    }

    /// Time since the start of the outage if the peers that were asked last do not reach the
    /// store either.
    pub fn away_for(&self) -> Option<Duration> {
        let is_away = self.is_away_for_peers.load(Ordering::Relaxed);
        self.unreachable_for().filter(|_| is_away)
    }

    /// Records whether peers reached the store for this daemon.
    pub fn record_peers(&self, reached_store: bool) {
        self.is_away_for_peers
            .store(!reached_store, Ordering::Relaxed);
    }

    /// Whether another call got a response after `started` or up to
    /// [`RESPONSE_VALID_FOR`] before.
    pub fn has_responded_since(&self, started: Instant) -> bool {
        let last_response = *self.last_response.lock();
        last_response.is_some_and(|at| at + RESPONSE_VALID_FOR > started)
    }

    /// Records how long a call took, which tells nothing if it failed at once.
    pub fn record_pace(&self, elapsed: Duration, is_ok: bool) {
        let mut pace = self.pace.lock();
        match (elapsed < SLOW_RESPONSE_TIME, is_ok) {
            (true, true) => pace.last_fast = Some(Instant::now()),
            (true, false) => {}
            (false, _) => pace.last_slow = Some(Instant::now()),
        }
    }

    /// Whether the store responds, but so slowly that requests should not wait for it: all
    /// its recent responses were slow. Under load a single partition may have a queue.
    pub fn is_slow(&self) -> bool {
        let pace = *self.pace.lock();
        is_current(pace.last_slow) && !is_current(pace.last_fast)
    }

    /// Records a response, which ends an outage.
    pub fn record_response(&self) {
        *self.last_response.lock() = Some(Instant::now());
        if self.outage_since.lock().take().is_some() {
            log::info!("store is reachable again");
            self.record_peers(true);
            self.outage_ended.notify(usize::MAX);
        }
    }

    /// Records the start of an outage unless there is one already.
    pub fn record_outage(&self, e: &StoreFailure) {
        let mut outage_since = self.outage_since.lock();
        if outage_since.is_none() {
            log::warn!(error = e.to_string().as_str(); "store is unreachable; calling it through peers");
            *outage_since = Some(Instant::now());
            self.outage_started.notify(usize::MAX);
        }
    }

    /// Waits until there is an outage.
    pub async fn wait_for_outage(&self) {
        loop {
            let listener = self.outage_started.listen();
            if self.unreachable_for().is_some() {
                return;
            }
            listener.await;
        }
    }

    /// Waits until an outage ends.
    pub async fn wait_for_return(&self) {
        self.outage_ended.listen().await;
    }
}
