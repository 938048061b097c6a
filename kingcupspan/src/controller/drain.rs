//! Graceful shutdown: hands all slots over and lets running requests finish.

use std::{
    sync::{Arc, atomic},
    time::Duration,
};

use async_std::task;
use event_listener::Event;

use crate::daemon::Daemon;

/// Interval between checks for remaining slots and requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long new connections are still accepted after the last slot has been handed
/// over, so that the load balancer can detect the shutdown.
const ACCEPT_GRACE: Duration = Duration::from_millis(1_500);

/// Time within which a request arrives on a connection that was just accepted.
const ARRIVAL_GRACE: Duration = Duration::from_millis(300);

/// State of the graceful shutdown.
#[derive(Default)]
pub struct State {
    /// Set once a shutdown has been requested.
    requested: atomic::AtomicBool,

    /// Notified when a shutdown is requested.
    event: Event,
}

impl State {
    /// Requests a graceful shutdown; further calls have no effect.
    pub fn start(&self) {
        if !self.requested.swap(true, atomic::Ordering::SeqCst) {
            log::info!("graceful shutdown started");
        }
        self.event.notify(usize::MAX);
    }

    /// Whether a graceful shutdown has been requested.
    pub fn is_requested(&self) -> bool {
        self.requested.load(atomic::Ordering::SeqCst)
    }
}

/// Waits until a graceful shutdown has been requested and completed, or `drain_ms` has elapsed.
pub async fn wait(daemon: &Arc<Daemon>, accept_task: task::JoinHandle<()>) {
    loop {
        let listener = daemon.drain.event.listen();
        if daemon.drain.is_requested() {
            break;
        }
        listener.await;
    }
    let started_at = daemon.clock.mono();
    let limit_ms = daemon.settings.drain_ms;
    let is_within_limit = |daemon: &Daemon| daemon.clock.mono().since(started_at) < limit_ms;
    daemon.membership.leave();
    daemon.request_tracker.close_connections();
    while served_slots(daemon) > 0 && has_other_daemon(daemon) && is_within_limit(daemon) {
        task::sleep(POLL_INTERVAL).await;
    }
    task::sleep(ACCEPT_GRACE).await;
    daemon.request_tracker.stop_accepting();
    accept_task.await;
    // The requests of connections that were just accepted are not counted yet.
    task::sleep(ARRIVAL_GRACE).await;
    while daemon.request_tracker.in_flight() > 0 && is_within_limit(daemon) {
        task::sleep(POLL_INTERVAL).await;
    }
    let remaining = daemon.request_tracker.in_flight();
    if remaining > 0 {
        log::error!(requests = remaining;
            "requests were still in flight when drain_ms elapsed; stopping anyway");
    }
}

/// Number of slots that this daemon serves.
fn served_slots(daemon: &Daemon) -> usize {
    let slots = daemon.slots.iter();
    slots.filter(|slot| slot.is_serving()).count()
}

/// Whether another live daemon can take over slots.
fn has_other_daemon(daemon: &Daemon) -> bool {
    daemon.membership.alive(daemon.clock.mono()).len() > 1
}
