//! The active configuration, and how it is kept up to date.
//!
//! A record of the operator holds all routes, so that a fleet in which every daemon reads it
//! from the store overloads the store. Few daemons read it there; the others learn from the store
//! only how many records there are, and get the changes from each other.

mod follower;
mod read;
mod transfer;
mod update;

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use event_listener::Event;
use kingcupspan_core::{gateway::routing::Configuration, id::Version};
use parking_lot::{Mutex, RwLock};

use self::update::Versioned;
pub use self::{follower::Follower, update::Update};

/// Number of former versions that are kept, so that daemons which have them are sent only
/// the changes.
const FORMER_VERSIONS: usize = 8;

/// The configuration that requests are served with.
pub struct ActiveConfiguration {
    /// Time within which a configuration has to be active after the store has acknowledged it.
    timeout: Duration,

    /// `None` until the first one has been received.
    configuration: RwLock<Option<Arc<Configuration>>>,

    progress: Mutex<Progress>,

    /// Notified when a configuration becomes active or a newer one becomes known.
    changed: Event,
}

/// How far this daemon has followed the operator's records.
#[derive(Default)]
struct Progress {
    /// Number of records up to which the active configuration is the newest.
    position: u64,

    /// Number of records that the store holds, as far as is known.
    newest_position: u64,

    /// Start of the last call to the store that returned its number of records.
    confirmed_at: Option<Instant>,

    /// The active version and some before it, the newest first.
    versions: VecDeque<Arc<Versioned>>,
}

impl Progress {
    /// Whether the store holds records that this daemon has not received.
    fn is_behind(&self) -> bool {
        self.position < self.newest_position
    }
}

impl ActiveConfiguration {
    /// Creates the state of a daemon that has no configuration yet; one that the store has
    /// acknowledged has to be active within `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            configuration: RwLock::default(),
            progress: Mutex::default(),
            changed: Event::new(),
        }
    }

    /// Returns the active configuration.
    pub fn get(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().clone()
    }

    /// Time since the store last told how many records it holds; `None` if it never has.
    pub fn age(&self) -> Option<Duration> {
        self.progress.lock().confirmed_at.map(|at| at.elapsed())
    }

    /// Whether the active configuration is the newest of those that have to be active by now.
    pub fn is_certain(&self) -> bool {
        let progress = self.progress.lock();
        let is_recent = progress
            .confirmed_at
            .is_some_and(|at| at.elapsed() <= self.timeout);
        is_recent && !progress.is_behind()
    }

    /// Number of records up to which the active configuration is the newest.
    pub fn position(&self) -> u64 {
        self.progress.lock().position
    }

    /// Number of records that the store holds, as far as is known.
    fn newest_position(&self) -> u64 {
        self.progress.lock().newest_position
    }

    /// Whether the store holds records that this daemon has not received.
    fn is_behind(&self) -> bool {
        self.progress.lock().is_behind()
    }

    /// Version of the active configuration.
    fn version(&self) -> Option<Version> {
        self.get().map(|c| c.version)
    }

    /// Records that the store holds at least `position` records.
    pub fn note_position(&self, position: u64) {
        let mut progress = self.progress.lock();
        if position > progress.newest_position {
            progress.newest_position = position;
            self.changed.notify(usize::MAX);
        }
    }

    /// Records that a call to the store which began at `started_at` returned `position`.
    fn confirm_position(&self, position: u64, started_at: Instant) {
        self.note_position(position);
        self.progress.lock().confirmed_at = Some(started_at);
    }

    /// Records that the active configuration is the newest of the first `position` records.
    fn advance(&self, position: u64) {
        let mut progress = self.progress.lock();
        progress.position = progress.position.max(position);
        progress.newest_position = progress.newest_position.max(position);
        drop(progress);
        self.changed.notify(usize::MAX);
    }

    /// Activates the newest of the first `position` records unless a later one is active.
    fn activate(&self, received: Versioned, position: u64, source: &str) {
        let version = received.configuration.version;
        let mut progress = self.progress.lock();
        let is_newer = progress
            .versions
            .front()
            .is_none_or(|active| active.configuration.version < version);
        if is_newer {
            log::info!(version = version.0, routes = received.configuration.routes.len(), from = source; "configuration activated");
            *self.configuration.write() = Some(Arc::clone(&received.configuration));
            progress.versions.push_front(Arc::new(received));
            progress.versions.truncate(FORMER_VERSIONS);
        }
        drop(progress);
        self.advance(position);
    }

    /// Returns what a peer lacks that has the version `known` and the first `after` records;
    /// `None` if this daemon has no more.
    pub fn update_since(&self, known: Option<Version>, after: u64) -> Option<Update> {
        let progress = self.progress.lock();
        let active = Arc::clone(progress.versions.front()?);
        let position = progress.position;
        let mut versions = progress.versions.iter();
        let base = versions.find(|v| Some(v.configuration.version) == known);
        let base = base.map(Arc::clone);
        drop(progress);
        (position > after).then(|| Update::between(base.as_deref(), &active, position))
    }

    /// Applies an update from a peer.
    fn apply(&self, update: &Update, source: &str) -> Result<(), update::UpdateError> {
        if update.position <= self.position() {
            return Ok(());
        }
        let active = self.progress.lock().versions.front().map(Arc::clone);
        let received = update.apply_to(active.as_deref())?;
        self.activate(received, update.position, source);
        Ok(())
    }

    /// Waits until `is_reached` holds.
    async fn wait_until(&self, is_reached: impl Fn(&Self) -> bool) {
        loop {
            let listener = self.changed.listen();
            if is_reached(self) {
                return;
            }
            listener.await;
        }
    }
}
