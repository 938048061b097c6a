//! Follows the operator's configuration in the store and over other daemons.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future, task};
use futures_lite::FutureExt;
use kingcupspan_core::gateway::{
    distribution::{Place, Role},
    routing::Configuration,
};
use kingcupspan_platform::{
    config,
    store::{CONFIGURATION_KEY, CONFIGURATION_PARTITION, Record},
};
use parking_lot::Mutex;

use super::{ActiveConfiguration, Versioned};
use crate::edge::client::Timeouts;
use crate::gateway::{
    partition_cursor::Listing,
    peers::{Peer, PeerError, PeerRequest, PeerResponse, Peers},
    store::{Read, ResponseSize, Store, StoreFailure},
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

/// Time after which a daemon that has not got a configuration from its sources reads it.
const SOURCES_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a daemon looks again at the store.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(5_000);

/// How long a daemon that is not a reader waits in each round until it is told that a source has
/// the configuration.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before a daemon reads the record instead of its sources, for each daemon of the same
/// failure domain that does so before it.
const FALLBACK_DELAY: Duration = Duration::from_millis(50);

/// Timeouts of the transfer of a configuration from a peer that has it.
const TRANSFER_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(200),
    head: Duration::from_millis(1_500),
    body: Duration::from_millis(1_500),
};

/// Number of peers that are asked if the sources and the store cannot be reached.
const OTHER_PEERS: usize = 3;

/// Keeps the active configuration up to date.
pub struct Follower {
    store: Arc<Store>,
    peers: Arc<Peers>,
    active: Arc<ActiveConfiguration>,

    /// Peer that last told of a configuration.
    announced_by: Mutex<Option<String>>,
}

/// What a read of the operator's records found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    /// A configuration newer than the active one, which is active now.
    Newer,

    /// No newer configuration.
    NotNewer,

    /// Some of the records were deleted.
    Deleted,
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
            let (looked, ()) =
                futures_lite::future::zip(self.look(), self.check_source(&place)).await;
            match looked {
                Ok(()) if is_unavailable => {
                    is_unavailable = false;
                    log::info!("reading the configuration from the store again");
                }
                Ok(()) => {}
                Err(e) if !is_unavailable => {
                    is_unavailable = true;
                    log::warn!(error = e.to_string().as_str(); "cannot follow the configuration");
                }
                Err(_) => {}
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

    /// Checks that the nearest source responds and reaches the store, so that the places follow
    /// before there is something to pass on.
    async fn check_source(&self, place: &Place) {
        let nearest = place.sources.first();
        if let Some(peer) = nearest.and_then(|vm| self.peers.by_vm(vm)) {
            self.has_newer(&peer).await;
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
        let started_at = Instant::now();
        while self.active.is_behind() && started_at.elapsed() < CATCH_UP_TIMEOUT {
            let place = self.place();
            let reads_after = self.read_delay(&place);
            let remaining = reads_after.saturating_sub(started_at.elapsed());
            if !remaining.is_zero() {
                self.fetch_announced(remaining.min(ANNOUNCEMENT_TIMEOUT))
                    .await;
                self.fetch_from_sources(&place).await;
            }
            if self.store.unreachable_for().is_some() {
                self.fetch_announced(ANNOUNCEMENT_TIMEOUT).await;
                self.fetch_from_others(OTHER_PEERS, |_| true).await;
            } else if started_at.elapsed() < reads_after {
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
    fn read_delay(&self, place: &Place) -> Duration {
        let regular = self.peers.regular_place();
        let turn = FALLBACK_DELAY * regular.rank as u32;
        match (regular.role, place.role) {
            (Role::Reader, Role::Reader) => Duration::ZERO,
            (_, Role::Reader) => ANNOUNCEMENT_TIMEOUT + turn,
            (_, Role::Root | Role::Leaf) => SOURCES_TIMEOUT + turn,
        }
    }

    /// Gets the configuration from the first source that has a newer one.
    async fn fetch_from_sources(&self, place: &Place) {
        for vm in &place.sources {
            if !self.active.is_behind() {
                return;
            }
            if let Some(peer) = self.peers.by_vm(vm)
                && self.has_newer(&peer).await
            {
                self.fetch(&peer).await;
            }
        }
    }

    /// Whether a peer has a newer configuration; one that is behind catches up and announces it.
    ///
    /// A transfer that begins in vain, or is given up for lack of a response, would take up
    /// links that others need.
    async fn has_newer(&self, peer: &Peer) -> bool {
        let request = PeerRequest::ConfigurationPosition {
            newest: self.active.newest_position(),
        };
        let Ok(PeerResponse::ConfigurationPosition {
            position,
            reaches_store,
        }) = self.peers.send(peer, &request).await
        else {
            return false;
        };
        self.peers.note_store_access(&peer.vm, reaches_store);
        self.active.note_position(position);
        position > self.active.position()
    }

    /// Gets the configuration from up to `max` peers drawn at random.
    async fn fetch_from_others(&self, max: usize, filter: impl Fn(&Peer) -> bool) {
        for peer in self.peers.sample(max, filter) {
            if !self.active.is_behind() {
                return;
            }
            if self.has_newer(&peer).await {
                self.fetch(&peer).await;
            }
        }
    }

    /// Gets the changes from a peer, if it has any.
    async fn fetch(&self, peer: &Peer) {
        let request = PeerRequest::Configuration {
            known: self.active.version(),
            after: self.active.position(),
        };
        let response = self
            .peers
            .send_with(peer, &request, TRANSFER_TIMEOUTS)
            .await;
        let update = match response {
            Ok(PeerResponse::Configuration(Some(update))) => update,
            Ok(_) | Err(PeerError::Unresponsive) => return,
            Err(e) => {
                log::info!(vm = peer.vm.as_str(), error = e.to_string().as_str(); "no configuration from the peer");
                return;
            }
        };
        if let Err(e) = self.active.apply(&update, &peer.vm) {
            log::error!(vm = peer.vm.as_str(), error = e.to_string().as_str(); "cannot apply the configuration of the peer; asking others");
        }
    }

    /// Waits up to `timeout` until a peer announces a configuration, and gets it there.
    async fn fetch_announced(&self, timeout: Duration) {
        let is_over = |active: &ActiveConfiguration| {
            !active.is_behind() || self.announced_by.lock().is_some()
        };
        let _ = future::timeout(timeout, self.active.wait_until(is_over)).await;
        let announced_by = self.announced_by.lock().take();
        if let Some(peer) = announced_by.and_then(|vm| self.peers.by_vm(&vm)) {
            self.fetch(&peer).await;
        }
    }

    /// Reads the newest configuration from the store; gives up if it comes from a peer first.
    async fn read_unless_announced(&self) {
        let read = async {
            if let Err(e) = self.read().await {
                log::warn!(error = e.to_string().as_str(); "cannot read the configuration from the store");
            }
        };
        let announced = async {
            while self.active.is_behind() {
                self.fetch_announced(LEAF_INTERVAL).await;
            }
        };
        read.or(announced).await;
    }

    /// Reads the newest configuration from the store.
    async fn read(&self) -> Result<(), StoreFailure> {
        let last = self.active.newest_position().saturating_sub(1);
        if self.read_from(last).await? == Content::Newer {
            return Ok(());
        }
        // The last record is malformed, older or not a configuration; those before it may not be.
        if self.read_from(self.active.position()).await? != Content::Deleted {
            return Ok(());
        }
        let mut listing = Listing::default();
        listing
            .complete(&self.store, CONFIGURATION_PARTITION, ResponseSize::Large)
            .await?;
        let end = listing.end.unwrap_or_default();
        self.activate_newer(&listing.records, end);
        self.active.advance(end);
        Ok(())
    }

    /// Reads all records from `offset` on and activates the newest configuration among them.
    async fn read_from(&self, offset: u64) -> Result<Content, StoreFailure> {
        let mut next = offset;
        let mut content = Content::NotNewer;
        loop {
            let read = self
                .store
                .read(CONFIGURATION_PARTITION, next, ResponseSize::Large);
            let Read::Batch(batch) = read.await? else {
                return Ok(Content::Deleted);
            };
            next += batch.len;
            if self.activate_newer(&batch.records, next) {
                content = Content::Newer;
            }
            if batch.len == 0 || next >= batch.end {
                break;
            }
        }
        if offset <= self.active.position() {
            self.active.advance(next);
        }
        Ok(content)
    }

    /// Activates the newest configuration in `records`, the last of the first `position` records;
    /// returns whether it is newer than the active one.
    fn activate_newer(&self, records: &[Record], position: u64) -> bool {
        let decoded = records.iter().filter_map(decode);
        let Some(newest) = decoded.max_by_key(|c| c.version) else {
            return false;
        };
        let is_newer = self.active.version().is_none_or(|v| v < newest.version);
        if is_newer {
            self.active
                .activate(Versioned::from(newest), position, "store");
        }
        is_newer
    }

    /// Tells the daemons that get the configuration from this one.
    fn announce(&self, place: &Place) {
        let request = PeerRequest::ConfigurationChanged {
            vm: self.peers.local.vm.clone(),
            position: self.active.position(),
        };
        for peer in place.targets.iter().filter_map(|vm| self.peers.by_vm(vm)) {
            let (peers, request) = (Arc::clone(&self.peers), request.clone());
            // A peer that does not get it looks for itself.
            task::spawn(async move { peers.send(&peer, &request).await });
        }
    }
}

/// Decodes the configuration in a record; `None` if it holds none.
fn decode(record: &Record) -> Option<Configuration> {
    let value = record.value.as_deref();
    let value = value.filter(|_| record.key == CONFIGURATION_KEY)?;
    match config::decode(value) {
        Ok(configuration) => Some(configuration),
        Err(e) => {
            log::warn!(error = e.to_string().as_str(); "cannot decode the configuration; keeping the active one");
            None
        }
    }
}
