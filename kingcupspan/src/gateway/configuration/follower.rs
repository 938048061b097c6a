//! Follows the operator's configuration: when to look for a newer one, and where to get it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::future;
use futures_lite::{FutureExt, future::zip};
use kingcupspan_core::gateway::distribution::{Place, Role};
use kingcupspan_platform::store::CONFIGURATION_PARTITION;
use parking_lot::Mutex;

use super::ActiveConfiguration;
use crate::gateway::{
    peers::Peers,
    store::{Store, StoreFailure},
};

/// Interval at which a daemon that reads configurations from the store looks for a new one.
const READER_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the root of a failure domain looks whether there is a new configuration
/// that it was not told of.
const ROOT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which every other daemon does so.
const LEAF_INTERVAL: Duration = Duration::from_millis(800);

/// Pause after an attempt to catch up that failed, and while there is no configuration.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Share by which a pause varies, so that daemons do not act at the same time.
const JITTER: f64 = 0.2;

/// How long a daemon that has just started waits for the member list.
const MEMBER_LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a daemon reads a configuration itself if no source of it reaches the store.
const SOURCES_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a daemon reads a configuration itself although a source reaches the store;
/// longer than it takes to notice that the store is silent.
const LIVE_SOURCES_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after which a daemon looks again at the store.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(5_000);

/// How long a daemon that is not a reader waits in each round until it is told that a source has
/// the configuration.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before a daemon reads the record instead of its sources, for each daemon of the same
/// failure domain that does so before it.
const FALLBACK_DELAY: Duration = Duration::from_millis(50);

/// Number of peers that are asked if the sources and the store cannot be reached.
const OTHER_PEERS: usize = 3;

/// Keeps the active configuration up to date.
pub struct Follower {
    pub(super) store: Arc<Store>,
    pub(super) peers: Arc<Peers>,
    pub(super) active: Arc<ActiveConfiguration>,

    /// Peer that last told of a configuration.
    pub(super) announced_by: Mutex<Option<String>>,
}

impl Follower {
    /// Creates a follower that updates `active`.
    pub fn new(store: Arc<Store>, peers: Arc<Peers>, active: Arc<ActiveConfiguration>) -> Self {
        Self {
            store,
            peers,
            active,
            announced_by: Mutex::default(),
        }
    }

    /// Records that a peer has the configuration of the first `position` records.
    pub fn note_announcement(&self, vm: String, position: u64) {
        if position > self.active.position() {
            *self.announced_by.lock() = Some(vm);
        }
        self.active.note_position(position);
    }

    /// Follows the configuration until the process ends.
    pub async fn follow(self: Arc<Self>) {
        // Without the list every daemon of a fleet that starts would read the record.
        let _ = future::timeout(MEMBER_LIST_TIMEOUT, self.peers.wait_until_listed()).await;
        let mut is_unavailable = false;
        loop {
            let place = self.place();
            // A configuration that is announced does not wait for a store that is silent.
            let behind = async {
                self.active.wait_until(ActiveConfiguration::is_behind).await;
                None
            };
            match self.check_store_and_source(&place).or(behind).await {
                Some(Ok(())) if is_unavailable => {
                    is_unavailable = false;
                    log::info!("reading the configuration from the store again");
                }
                Some(Err(e)) if !is_unavailable => {
                    is_unavailable = true;
                    log::warn!(error = e.to_string().as_str(); "cannot follow the configuration");
                }
                _ => {}
            }
            if self.active.is_behind() {
                self.catch_up().await;
            }
            self.pause(&place).await;
        }
    }

    /// Place of this daemon in the tree over which configurations are passed on.
    fn place(&self) -> Place {
        let reaches_store = self.store.unreachable_for().is_none();
        self.peers.place(reaches_store)
    }

    /// Asks the store how many records it holds, and checks the nearest source.
    async fn check_store_and_source(&self, place: &Place) -> Option<Result<(), StoreFailure>> {
        let (looked, ()) = zip(self.look(), self.check_source(place)).await;
        Some(looked)
    }

    /// Checks that the nearest source responds and reaches the store, so that the places follow
    /// before there is something to pass on.
    async fn check_source(&self, place: &Place) {
        let nearest = place.sources.first();
        if let Some(peer) = nearest.and_then(|vm| self.peers.by_vm(vm)) {
            self.ask_position(&peer).await;
        }
    }

    /// Waits until it is time to look again, a newer configuration is announced or the store
    /// responds again.
    async fn pause(&self, place: &Place) {
        let is_settled = !self.active.is_behind() && self.active.version().is_some();
        let interval = match place.role {
            _ if !is_settled => RETRY_DELAY,
            Role::Reader => READER_INTERVAL,
            Role::Root => ROOT_INTERVAL,
            Role::Leaf => LEAF_INTERVAL,
        };
        let varied = interval.mul_f64(1.0 + JITTER * (rand::random::<f64>() - 0.5));
        let woken = async {
            match is_settled {
                true => self.active.wait_until(ActiveConfiguration::is_behind).await,
                false => futures_lite::future::pending().await,
            }
        };
        let returned = async {
            self.store.wait_for_return().await;
            // What has become of the store's access for this daemon has for others.
            self.peers.forget_store_access();
        };
        let _ = future::timeout(varied, woken.or(returned)).await;
    }

    /// Asks the store how many records it holds.
    async fn look(&self) -> Result<(), StoreFailure> {
        let started_at = Instant::now();
        let end = self.store.end(CONFIGURATION_PARTITION).await?;
        self.active.confirm_position(end, started_at);
        Ok(())
    }

    /// Gets the newest configuration from peers, or from the store if none of them has it.
    async fn catch_up(&self) {
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        let mut waits_since = Instant::now();
        let mut has_live_source = true;
        while self.active.is_behind() && Instant::now() < deadline {
            let place = self.place();
            let reads_at = waits_since + self.read_delay(&place, has_live_source);
            let remaining = reads_at.saturating_duration_since(Instant::now());
            if !remaining.is_zero() {
                self.fetch_announced(remaining.min(ANNOUNCEMENT_TIMEOUT))
                    .await;
                has_live_source = self.fetch_from_sources(&place).await;
            }
            if self.store.unreachable_for().is_some() {
                self.fetch_announced(ANNOUNCEMENT_TIMEOUT).await;
                self.fetch_from_others(OTHER_PEERS, |_| true).await;
                // All daemons that wait see the store return at the same time.
                waits_since = Instant::now();
            } else if Instant::now() < reads_at {
                // Another daemon of the domain may have it from the store already.
                let domain = &self.peers.local.domain;
                self.fetch_from_others(1, |p| p.domain == *domain).await;
            } else {
                self.read_unless_announced().await;
                break;
            }
        }
        if !self.active.is_behind() {
            self.announce(&self.place());
        }
    }

    /// Time after which this daemon reads a configuration from the store that it has not got from
    /// a peer. Daemons that read in place of others do so one after another.
    fn read_delay(&self, place: &Place, has_live_source: bool) -> Duration {
        let regular = self.peers.regular_place();
        let turn = FALLBACK_DELAY * regular.rank as u32;
        match (regular.role, place.role) {
            (Role::Reader, Role::Reader) => Duration::ZERO,
            (_, Role::Reader) => ANNOUNCEMENT_TIMEOUT + turn,
            (_, Role::Root | Role::Leaf) if has_live_source => LIVE_SOURCES_TIMEOUT + turn,
            (_, Role::Root | Role::Leaf) => SOURCES_TIMEOUT + turn,
        }
    }
}
