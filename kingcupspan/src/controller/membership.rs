//! Membership: the platform's list of VMs joined with direct heartbeats.

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

/// Time between looks at the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Daemons that keep copies while the log is away.
const REPLICA_HOLDERS_MAX: usize = 3;

/// Who is alive, and where.
pub struct State {
    inner: parking_lot::RwLock<Inner>,
    heartbeat: Duration,
}

struct Inner {
    view: View,
    peers: BTreeMap<VmId, PeerState>,
    vms: BTreeMap<VmId, VmState>,
    has_vm_list: bool,
}

#[derive(Debug, Clone, Serialize)]
struct PeerState {
    addr: net::SocketAddr,
    configuration: Option<Offset>,
}

/// State of the membership for the dump.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// The daemons as seen from here.
    pub view: View,

    /// VMs whose daemons answer.
    pub alive: Vec<VmId>,

    /// All listed VMs.
    pub vms: BTreeMap<VmId, VmState>,
}

impl State {
    /// A daemon that knows of no other.
    pub fn new(settings: &Settings, me: &Writer, now: MonoMs) -> Self {
        let domain = settings.failure_domain.clone();
        Self {
            inner: parking_lot::RwLock::new(Inner {
                view: View::new(me.clone(), domain, settings.lease_ms, now),
                peers: BTreeMap::new(),
                vms: BTreeMap::new(),
                has_vm_list: false,
            }),
            heartbeat: Duration::from_millis(settings.heartbeat_ms),
        }
    }

    /// The state for the dump.
    pub fn summary(&self, now: MonoMs) -> Summary {
        let inner = self.inner.read();
        Summary {
            alive: inner.view.alive(now).into_iter().cloned().collect(),
            view: inner.view.clone(),
            vms: inner.vms.clone(),
        }
    }

    /// VMs whose daemons answer, this one included.
    pub fn alive(&self, now: MonoMs) -> Vec<VmId> {
        let inner = self.inner.read();
        inner.view.alive(now).into_iter().cloned().collect()
    }

    /// Daemons that answer, this one not included.
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

    /// Daemons that keep copies: of other failure domains before the own one.
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

    /// Where a daemon listens for peers.
    pub fn addr(&self, vm: &VmId) -> Option<net::SocketAddr> {
        self.inner.read().peers.get(vm).map(|p| p.addr)
    }

    /// Whether this incarnation answers.
    pub fn is_alive(&self, writer: &Writer, now: MonoMs) -> bool {
        self.inner.read().view.is_alive(writer, now)
    }

    /// Whether any incarnation of a daemon on this VM answers.
    pub fn has_live_daemon(&self, vm: &VmId, now: MonoMs) -> bool {
        self.inner.read().view.alive(now).contains(&vm)
    }

    /// Whether the platform has listed this VM's daemon as gone: not at all.
    pub fn is_listed(&self, vm: &VmId) -> bool {
        let inner = self.inner.read();
        !inner.has_vm_list || inner.vms.contains_key(vm)
    }

    /// Whether the platform lists a VM as live; all are before the first list.
    pub fn is_listed_live(&self, vm: &VmId) -> bool {
        let inner = self.inner.read();
        !inner.has_vm_list || inner.vms.get(vm) == Some(&VmState::Live)
    }

    /// Daemons of a failure domain that answer, of all domains if none does.
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

    /// What this daemon should do about a slot.
    pub fn decide(
        &self,
        slot: Slot,
        claim: Option<&slot::Claim>,
        is_owner: bool,
        now: MonoMs,
    ) -> Decision {
        self.inner.read().view.decide(slot, claim, is_owner, now)
    }

    /// Declares that this daemon is stopping.
    pub fn leave(&self) {
        self.inner.write().view.leaving = true;
    }

    /// Whether this daemon is stopping.
    pub fn is_leaving(&self) -> bool {
        self.inner.read().view.leaving
    }

    /// A peer that has a newer configuration than `ours`.
    pub fn peer_with_newer_configuration(&self, ours: Option<Offset>, now: MonoMs) -> Option<Peer> {
        let peers = self.peers(now);
        let inner = self.inner.read();
        let theirs = |p: &Peer| inner.peers.get(&p.vm).and_then(|s| s.configuration);
        peers
            .into_iter()
            .filter(|p| theirs(p) > ours)
            .max_by_key(theirs)
    }

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

    fn record_heartbeat(&self, heartbeat: &Heartbeat, now: MonoMs) {
        let mut inner = self.inner.write();
        let listed_leaving = inner.vms.get(&heartbeat.writer.vm) == Some(&VmState::Leaving);
        let leaving = heartbeat.leaving || listed_leaving;
        let Writer { vm, incarnation } = &heartbeat.writer;
        inner.view.record_heartbeat(vm, *incarnation, leaving, now);
        if let Some(peer) = inner.peers.get_mut(vm) {
            peer.configuration = heartbeat.configuration;
        }
    }
}

impl Inner {
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

/// Follows the platform's list of VMs.
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
            Err(e) => log::debug!(error = e.to_string().as_str(); "no list of VMs"),
        }
        task::sleep(LIST_INTERVAL).await;
    }
}

/// Sends heartbeats to all listed daemons.
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
        task::sleep(daemon.membership.heartbeat).await;
    }
}

async fn send_heartbeat(daemon: Arc<Daemon>, addr: net::SocketAddr, heartbeat: Heartbeat) {
    let timeout = Duration::from_millis(daemon.settings.lease_ms / 2);
    let request = peer::ask(&daemon.client, addr, peer::HEARTBEAT, &heartbeat, timeout);
    let response: Result<Heartbeat, _> = request.await;
    match response {
        Ok(response) => {
            daemon
                .membership
                .record_heartbeat(&response, daemon.clock.mono());
            daemon.endpoints.update_loads(&response.loads);
        }
        // The next heartbeat goes over a new connection.
        Err(_) => daemon.client.forget(addr),
    }
}

/// What this daemon tells of itself.
pub fn local_heartbeat(daemon: &Daemon) -> Heartbeat {
    Heartbeat {
        writer: daemon.writer.clone(),
        leaving: daemon.membership.is_leaving(),
        configuration: daemon.configuration.upto(),
        loads: daemon.grants.loads(),
    }
}
