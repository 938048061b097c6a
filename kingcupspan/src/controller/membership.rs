//! Membership: combines the platform's list of VMs with heartbeats between daemons.

use std::{collections::BTreeMap, net, sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_config::settings::Settings;
use kingcupspan_core::{
    id::{DomainId, MonoMs, Offset, Slot, VmId, Writer},
    membership::{Decision, Member, View},
    slot,
};
use serde::Serialize;

use crate::{
    daemon::Daemon,
    edge::{
        peer::{self, Heartbeat, Peer},
        platform::{Vm, VmState},
    },
};

/// Interval between requests for the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of peers that store copies of records while the log is unavailable.
const REPLICA_HOLDERS_MAX: usize = 3;

/// Known daemons and VMs, with their addresses and liveness.
pub struct State {
    inner: parking_lot::RwLock<Inner>,

    /// Interval between heartbeats.
    heartbeat_interval: Duration,
}

struct Inner {
    view: View,

    /// Listed daemons except this one.
    peers: BTreeMap<VmId, PeerState>,

    /// State of each VM in the last list.
    vms: BTreeMap<VmId, VmState>,

    /// Whether a list of VMs has been received.
    has_vm_list: bool,
}

/// Address and configuration of another daemon.
#[derive(Debug, Clone, Serialize)]
struct PeerState {
    addr: net::SocketAddr,

    /// Offset of the last configuration record that the daemon has applied.
    configuration: Option<Offset>,
}

/// State of the membership for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Membership as observed by this daemon.
    pub view: View,

    /// VMs with a live daemon.
    pub alive: Vec<VmId>,

    /// State of each VM that the platform lists.
    pub vms: BTreeMap<VmId, VmState>,
}

impl State {
    /// Creates the membership of a daemon that knows no other daemon yet.
    pub fn new(settings: &Settings, me: &Writer, now: MonoMs) -> Self {
        let domain = settings.failure_domain.clone();
        Self {
            inner: parking_lot::RwLock::new(Inner {
                view: View::new(me.clone(), domain, settings.lease_ms, now),
                peers: BTreeMap::new(),
                vms: BTreeMap::new(),
                has_vm_list: false,
            }),
            heartbeat_interval: Duration::from_millis(settings.heartbeat_ms),
        }
    }

    /// Returns the state of the membership for the state dump.
    pub fn summary(&self, now: MonoMs) -> Summary {
        let inner = self.inner.read();
        Summary {
            alive: inner.view.alive(now).into_iter().cloned().collect(),
            view: inner.view.clone(),
            vms: inner.vms.clone(),
        }
    }

    /// Returns the VMs with a live daemon, including this one.
    pub fn alive(&self, now: MonoMs) -> Vec<VmId> {
        let inner = self.inner.read();
        inner.view.alive(now).into_iter().cloned().collect()
    }

    /// Returns the live daemons, excluding this one.
    pub fn peers(&self, now: MonoMs) -> Vec<Peer> {
        let inner = self.inner.read();
        let alive = inner.view.alive(now);
        let known = alive.into_iter().filter_map(|vm| {
            let state = inner.peers.get(vm)?;
            Some(Peer {
                vm: vm.clone(),
                addr: state.addr,
            })
        });
        known.collect()
    }

    /// Returns the peers that store copies of records, preferring those in other failure
    /// domains.
    pub fn replica_holders(&self, now: MonoMs) -> Vec<Peer> {
        let mut peers = self.peers(now);
        let inner = self.inner.read();
        peers.sort_by_key(|p| {
            let member = inner.view.members.get(&p.vm);
            member.is_none_or(|m| m.failure_domain == inner.view.failure_domain)
        });
        peers.truncate(REPLICA_HOLDERS_MAX);
        peers
    }

    /// Returns the address on which a daemon listens for peers.
    pub fn addr(&self, vm: &VmId) -> Option<net::SocketAddr> {
        self.inner.read().peers.get(vm).map(|p| p.addr)
    }

    /// Whether the given incarnation of a daemon is alive.
    pub fn is_alive(&self, writer: &Writer, now: MonoMs) -> bool {
        self.inner.read().view.is_alive(writer, now)
    }

    /// Whether any incarnation of the daemon on a VM is alive.
    pub fn has_live_daemon(&self, vm: &VmId, now: MonoMs) -> bool {
        self.inner.read().view.alive(now).contains(&vm)
    }

    /// Whether the platform lists a VM in any state. Every VM counts as listed until the first
    /// list has been received.
    pub fn is_listed(&self, vm: &VmId) -> bool {
        let inner = self.inner.read();
        !inner.has_vm_list || inner.vms.contains_key(vm)
    }

    /// Whether the platform lists a VM as live. Every VM counts as live until the first list has
    /// been received.
    pub fn is_listed_live(&self, vm: &VmId) -> bool {
        let inner = self.inner.read();
        !inner.has_vm_list || inner.vms.get(vm) == Some(&VmState::Live)
    }

    /// Returns the daemons of a failure domain that may own slots, or those of all domains if it
    /// has none.
    pub fn alive_in(&self, domain: &DomainId, now: MonoMs) -> Vec<VmId> {
        let inner = self.inner.read();
        let alive: Vec<VmId> = inner
            .view
            .eligible_owners(now)
            .into_iter()
            .cloned()
            .collect();
        let is_in_domain = |vm: &&VmId| match inner.view.members.get(*vm) {
            Some(member) => member.failure_domain == *domain,
            None => inner.view.failure_domain == *domain,
        };
        let local: Vec<VmId> = alive.iter().filter(is_in_domain).cloned().collect();
        match local.is_empty() {
            true => alive,
            false => local,
        }
    }

    /// Decides whether this daemon claims a slot, hands it over or changes nothing.
    pub fn decide(
        &self,
        slot: Slot,
        claim: Option<&slot::Claim>,
        is_owner: bool,
        now: MonoMs,
    ) -> Decision {
        self.inner.read().view.decide(slot, claim, is_owner, now)
    }

    /// Marks this daemon as leaving the fleet.
    pub fn leave(&self) {
        self.inner.write().view.leaving = true;
    }

    /// Whether this daemon is leaving the fleet.
    pub fn is_leaving(&self) -> bool {
        self.inner.read().view.leaving
    }

    /// Returns the peer with the newest configuration, if it is newer than `ours`.
    pub fn peer_with_newer_configuration(&self, ours: Option<Offset>, now: MonoMs) -> Option<Peer> {
        let peers = self.peers(now);
        let inner = self.inner.read();
        let theirs = |p: &Peer| inner.peers.get(&p.vm).and_then(|s| s.configuration);
        peers
            .into_iter()
            .filter(|p| theirs(p) > ours)
            .max_by_key(theirs)
    }

    /// Replaces the list of VMs and adds or removes daemons accordingly.
    fn update_vms(&self, listed: &[Vm], settings: &Settings) {
        let mut inner = self.inner.write();
        inner.has_vm_list = true;
        inner.vms = listed.iter().map(|vm| (vm.vm.clone(), vm.state)).collect();
        let is_daemon = |vm: &&Vm| {
            vm.vm.as_str().starts_with(&settings.entry_vm_prefix) && vm.vm != settings.vm
        };
        for vm in listed.iter().filter(is_daemon) {
            inner.add_peer(vm);
        }
        let Inner {
            view, peers, vms, ..
        } = &mut *inner;
        view.members.retain(|vm, _| vms.contains_key(vm));
        peers.retain(|vm, _| vms.contains_key(vm));
    }

    /// Records the heartbeat of a peer.
    fn record_heartbeat(&self, heartbeat: &Heartbeat, now: MonoMs) {
        let mut inner = self.inner.write();
        let is_listed_leaving = inner.vms.get(&heartbeat.writer.vm) == Some(&VmState::Leaving);
        let leaving = heartbeat.leaving || is_listed_leaving;
        let Writer { vm, incarnation } = &heartbeat.writer;
        inner.view.record_heartbeat(vm, *incarnation, leaving, now);
        if let Some(peer) = inner.peers.get_mut(vm) {
            peer.configuration = heartbeat.configuration;
        }
    }
}

impl Inner {
    /// Adds a daemon, or updates the address of a known one.
    fn add_peer(&mut self, vm: &Vm) {
        let member = self.view.members.entry(vm.vm.clone());
        member.or_insert_with(|| Member {
            failure_domain: vm.failure_domain.clone(),
            incarnation: None,
            last_answered: None,
            stable_since: None,
            leaving: vm.state == VmState::Leaving,
        });
        let peer = self.peers.entry(vm.vm.clone()).or_insert(PeerState {
            addr: vm.addr,
            configuration: None,
        });
        peer.addr = vm.addr;
    }
}

/// Polls the platform's list of VMs, and starts a graceful shutdown when this VM is listed as
/// leaving.
pub async fn follow_vm_list(daemon: Arc<Daemon>) {
    loop {
        match daemon.vm_list.list().await {
            Ok(listed) => {
                daemon.membership.update_vms(&listed, &daemon.settings);
                if !daemon.membership.is_listed_live(&daemon.settings.vm)
                    && daemon.membership.is_listed(&daemon.settings.vm)
                {
                    daemon.drain.start();
                }
            }
            Err(e) => log::debug!(error = e.to_string().as_str(); "cannot fetch the VM list"),
        }
        task::sleep(LIST_INTERVAL).await;
    }
}

/// Sends heartbeats to all listed daemons at a fixed interval.
pub async fn send_heartbeats(daemon: Arc<Daemon>) {
    loop {
        let now = daemon.clock.mono();
        daemon.membership.inner.write().view.tick(now);
        let peers: Vec<(VmId, net::SocketAddr)> = {
            let inner = daemon.membership.inner.read();
            let peers = inner.peers.iter();
            peers.map(|(vm, peer)| (vm.clone(), peer.addr)).collect()
        };
        let heartbeat = local_heartbeat(&daemon);
        for (_, addr) in peers {
            task::spawn(send_heartbeat(Arc::clone(&daemon), addr, heartbeat.clone()));
        }
        let alive = daemon.membership.alive(now).len();
        daemon.pacer.set_daemons(alive);
        daemon.metrics.daemons_alive.set(alive as i64);
        task::sleep(daemon.membership.heartbeat_interval).await;
    }
}

/// Sends a heartbeat to one daemon and records the heartbeat in its response.
async fn send_heartbeat(daemon: Arc<Daemon>, addr: net::SocketAddr, heartbeat: Heartbeat) {
    let timeout = Duration::from_millis(daemon.settings.lease_ms / 2);
    let request = peer::send(&daemon.client, addr, peer::HEARTBEAT, &heartbeat, timeout);
    let response: Result<Heartbeat, _> = request.await;
    match response {
        Ok(response) => {
            daemon
                .membership
                .record_heartbeat(&response, daemon.clock.mono());
            daemon.endpoints.update_loads(&response.loads);
        }
        // Drops the connection, so that the next heartbeat opens a new one.
        Err(_) => daemon.client.close_idle_connections(addr),
    }
}

/// Creates a heartbeat with the state of this daemon.
pub fn local_heartbeat(daemon: &Daemon) -> Heartbeat {
    Heartbeat {
        writer: daemon.writer.clone(),
        leaving: daemon.membership.is_leaving(),
        configuration: daemon.configuration.upto(),
        loads: daemon.grants.loads(),
    }
}
