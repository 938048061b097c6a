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
const LIST_EVERY: Duration = Duration::from_millis(500);

/// Daemons that keep copies while the log is away.
const KEEPERS: usize = 3;

/// Who is alive, and where.
pub struct State {
    inner: parking_lot::RwLock<Inner>,
    heartbeat: Duration,
}

struct Inner {
    view: View,
    peers: BTreeMap<VmId, PeerState>,
    vms: BTreeMap<VmId, VmState>,
    listed: bool,
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
                listed: false,
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
    pub fn keepers(&self, now: MonoMs) -> Vec<Peer> {
        let mut peers = self.peers(now);
        let inner = self.inner.read();
        peers.sort_by_key(|p| {
            let member = inner.view.members.get(&p.vm);
            member.is_none_or(|m| m.failure_domain == inner.view.failure_domain)
        });
        peers.truncate(KEEPERS);
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
    pub fn answers(&self, vm: &VmId, now: MonoMs) -> bool {
        self.inner.read().view.alive(now).contains(&vm)
    }

    /// Whether the platform has listed this VM's daemon as gone: not at all.
    pub fn is_listed(&self, vm: &VmId) -> bool {
        let inner = self.inner.read();
        !inner.listed || inner.vms.contains_key(vm)
    }

    /// Whether the platform lists a VM as live; all are before the first list.
    pub fn is_live(&self, vm: &VmId) -> bool {
        let inner = self.inner.read();
        !inner.listed || inner.vms.get(vm) == Some(&VmState::Live)
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
        let here = |vm: &&VmId| match inner.view.members.get(*vm) {
            Some(member) => member.failure_domain == *domain,
            None => inner.view.failure_domain == *domain,
        };
        let local: Vec<VmId> = alive.iter().filter(here).cloned().collect();
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
        owning: bool,
        now: MonoMs,
    ) -> Decision {
        self.inner.read().view.decide(slot, claim, owning, now)
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
    pub fn newer_configuration(&self, ours: Option<Offset>, now: MonoMs) -> Option<Peer> {
        let peers = self.peers(now);
        let inner = self.inner.read();
        let theirs = |p: &Peer| inner.peers.get(&p.vm).and_then(|s| s.configuration);
        peers
            .into_iter()
            .filter(|p| theirs(p) > ours)
            .max_by_key(theirs)
    }

    fn take_list(&self, listed: &[Vm], settings: &Settings) {
        let mut inner = self.inner.write();
        inner.listed = true;
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

    fn heard(&self, beat: &Heartbeat, now: MonoMs) {
        let mut inner = self.inner.write();
        let listed_leaving = inner.vms.get(&beat.writer.vm) == Some(&VmState::Leaving);
        let leaving = beat.leaving || listed_leaving;
        let Writer { vm, incarnation } = &beat.writer;
        inner.view.record_heartbeat(vm, *incarnation, leaving, now);
        if let Some(peer) = inner.peers.get_mut(vm) {
            peer.configuration = beat.configuration;
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
                daemon.membership.take_list(&listed, &daemon.settings);
                if !daemon.membership.is_live(&daemon.settings.vm)
                    && daemon.membership.is_listed(&daemon.settings.vm)
                {
                    daemon.drain.start();
                }
            }
            Err(e) => log::debug!(error = e.to_string().as_str(); "no list of VMs"),
        }
        task::sleep(LIST_EVERY).await;
    }
}

/// Sends heartbeats to all listed daemons.
pub async fn beat(daemon: Arc<Daemon>) {
    loop {
        let now = daemon.clock.mono();
        daemon.membership.inner.write().view.tick(now);
        let peers: Vec<(VmId, net::SocketAddr)> = {
            let inner = daemon.membership.inner.read();
            let peers = inner.peers.iter();
            peers.map(|(vm, peer)| (vm.clone(), peer.addr)).collect()
        };
        let beat = our_heartbeat(&daemon);
        for (_, addr) in peers {
            task::spawn(beat_one(Arc::clone(&daemon), addr, beat.clone()));
        }
        let alive = daemon.membership.alive(now).len();
        daemon.pacer.set_daemons(alive);
        daemon.metrics.daemons_alive.set(alive as i64);
        task::sleep(daemon.membership.heartbeat).await;
    }
}

async fn beat_one(daemon: Arc<Daemon>, addr: net::SocketAddr, beat: Heartbeat) {
    let patience = Duration::from_millis(daemon.settings.lease_ms / 2);
    let ask = peer::send(&daemon.client, addr, peer::HEARTBEAT, &beat, patience);
    let answer: Result<Heartbeat, _> = ask.await;
    match answer {
        Ok(answer) => {
            daemon.membership.heard(&answer, daemon.clock.mono());
            daemon.endpoints.told(&answer.loads);
        }
        // The next heartbeat goes over a new connection.
        Err(_) => daemon.client.close_idle_connections(addr),
    }
}

/// What this daemon tells of itself.
pub fn our_heartbeat(daemon: &Daemon) -> Heartbeat {
    Heartbeat {
        writer: daemon.writer.clone(),
        leaving: daemon.membership.is_leaving(),
        configuration: daemon.configuration.upto(),
        loads: daemon.grants.loads(),
    }
}
