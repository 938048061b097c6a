//! Gets configurations from peers and tells them of new ones.

use std::{sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_core::gateway::distribution::Place;

use super::{ActiveConfiguration, follower::Follower};
use crate::{
    edge::client::Timeouts,
    gateway::peers::{Peer, PeerError, PeerRequest, PeerResponse},
};

/// Timeouts of the transfer of a configuration from a peer that has it.
const TRANSFER_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(200),
    head: Duration::from_millis(1_500),
    body: Duration::from_millis(1_500),
};

/// What a peer has told of itself.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerState {
    /// Whether it has a newer configuration than this daemon.
    has_newer: bool,

    /// Whether it reaches the store.
    reaches_store: bool,
}

impl Follower {
    /// Gets the configuration from the first source that has a newer one; returns whether a
    /// source reaches the store.
    pub(super) async fn fetch_from_sources(&self, place: &Place) -> bool {
        let mut has_live_source = false;
        for vm in &place.sources {
            if !self.active.is_behind() {
                return true;
            }
            let Some(peer) = self.peers.by_vm(vm) else {
                continue;
            };
            let state = self.ask_position(&peer).await;
            has_live_source |= state.is_some_and(|s| s.reaches_store);
            if state.is_some_and(|s| s.has_newer) {
                self.fetch(&peer).await;
            }
        }
        has_live_source
    }

    /// Asks how far a peer is, `None` if it does not respond; one that is behind catches up and
    /// announces it.
    ///
    /// A transfer that begins in vain, or is given up for lack of a response, would take up
    /// links that others need.
    pub(super) async fn ask_position(&self, peer: &Peer) -> Option<PeerState> {
        let request = PeerRequest::ConfigurationPosition {
            newest: self.active.newest_position(),
        };
        let Ok(PeerResponse::ConfigurationPosition {
            position,
            reaches_store,
        }) = self.peers.send(peer, &request).await
        else {
            return None;
        };
        self.peers.note_store_access(&peer.vm, reaches_store);
        self.active.note_position(position);
        Some(PeerState {
            has_newer: position > self.active.position(),
            reaches_store,
        })
    }

    /// Gets the configuration from up to `max` peers drawn at random.
    pub(super) async fn fetch_from_others(&self, max: usize, filter: impl Fn(&Peer) -> bool) {
        for peer in self.peers.sample(max, filter) {
            if !self.active.is_behind() {
                return;
            }
            let state = self.ask_position(&peer).await;
            if state.is_some_and(|s| s.has_newer) {
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
    pub(super) async fn fetch_announced(&self, timeout: Duration) {
        let is_over = |active: &ActiveConfiguration| {
            !active.is_behind() || self.announced_by.lock().is_some()
        };
        let _ = future::timeout(timeout, self.active.wait_until(is_over)).await;
        let announced_by = self.announced_by.lock().take();
        if let Some(peer) = announced_by.and_then(|vm| self.peers.by_vm(&vm)) {
            self.fetch(&peer).await;
        }
    }

    /// Tells the daemons that get the configuration from this one.
    pub(super) fn announce(&self, place: &Place) {
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
