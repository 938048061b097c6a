//! The other daemons, and a client for requests to them.

mod member;
mod message;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use event_listener::Event;
use kingcupspan_core::{
    gateway::{
        distribution::{self, Member, Place},
        incarnation::Incarnation,
    },
    rendezvous,
};
use parking_lot::{Mutex, RwLock};
use rand::seq::SliceRandom;

pub use self::{
    member::Peer,
    message::{PeerRequest, PeerResponse, Purpose, QuotaAnswer, QuotaQuestion, TokenUse},
};
use crate::edge::client::{Client, ClientRequest, SendError, Timeouts};

/// Timeout of a request to a peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which no requests are sent to a peer that did not respond.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(400);

/// Time without a response from a failure domain after which its daemons are pinged;
/// also the pause between these checks.
const MONITOR_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a peer that did not respond is passed over as a source of configurations.
const PASSED_OVER_FOR: Duration = Duration::from_millis(5_000);

/// Time for which it is assumed that a peer which did not reach the store still does not.
const STORE_ACCESS_VALID_FOR: Duration = Duration::from_millis(2_500);

/// Maximum number of daemons that are pinged in an unresponsive failure domain.
const PINGED_MAX: usize = 3;

/// Header of a peer's response that names the incarnation that responds.
pub const INCARNATION_HEADER: &str = "x-incarnation";

/// Maximum size of a peer's response, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Error returned when a request to a peer fails.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer was not reached, or its response was lost.
    #[error(transparent)]
    Send(#[from] SendError),

    /// No request was sent because the peer has recently not responded.
    #[error("peer has recently not responded")]
    Unresponsive,

    /// The response cannot be decoded.
    #[error("cannot decode the peer's response")]
    Malformed,

    /// The peer has been restarted since this daemon read the member list; it lacks what the
    /// former run held in memory.
    #[error("peer has been restarted")]
    Restarted,
}

/// The known daemons, and a client for sending requests to peers.
pub struct Peers {
    /// Member list entry of this daemon.
    pub local: Peer,

    client: Client,

    /// Daemons of the member list by VM, including this one.
    members: RwLock<HashMap<String, Peer>>,

    /// VMs whose daemons did not respond to the last request, with the time of that request.
    unresponsive: Mutex<HashMap<String, Instant>>,

    /// VMs whose daemons have said that they do not reach the store, with the time of that.
    without_store: Mutex<HashMap<String, Instant>>,

    /// Time of the last response by failure domain.
    last_responses: Mutex<HashMap<String, Instant>>,

    /// Whether the member list has been read.
    is_listed: AtomicBool,

    /// Notified when the member list has been read for the first time.
    listed: Event,
}

impl Peers {
    /// Creates the state of a daemon that knows no peers yet.
    pub fn new(local: Peer) -> Self {
        Self {
            local,
            client: Client::default(),
            members: RwLock::default(),
            unresponsive: Mutex::default(),
            without_store: Mutex::default(),
            last_responses: Mutex::default(),
            is_listed: AtomicBool::default(),
            listed: Event::new(),
        }
    }

    /// Records that the member list has been read.
    pub fn note_listed(&self) {
        self.is_listed.store(true, Ordering::SeqCst);
        self.listed.notify(usize::MAX);
    }

    /// Waits until the member list has been read.
    pub async fn wait_until_listed(&self) {
        loop {
            let listener = self.listed.listen();
            if self.is_listed.load(Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }

    /// Daemons in the rendezvous order of a key, this one included, without those that did not
    /// respond lately.
    pub fn ranked(&self, key: &str, max: usize) -> Vec<Peer> {
        self.ranked_where(key, max, |_| true)
    }

    /// Daemons of a failure domain in the rendezvous order of a key, without those that did not
    /// respond lately.
    pub fn ranked_in_domain(&self, domain: &str, key: &str, max: usize) -> Vec<Peer> {
        self.ranked_where(key, max, |p| p.domain == domain)
    }

    /// The daemons of this failure domain in the rendezvous order of a key, also those that did not
    /// respond lately, up to this one.
    pub fn listed_up_to_local(&self, key: &str, max: usize) -> Vec<Peer> {
        let listed = self.listed_in_own_domain(key).into_iter();
        let before = listed.take_while(|p| p.vm != self.local.vm);
        before.take(max).collect()
    }

    /// The daemons of this failure domain in the rendezvous order of a key, also those that did not
    /// respond lately, after this one.
    pub fn listed_after_local(&self, key: &str, max: usize) -> Vec<Peer> {
        let listed = self.listed_in_own_domain(key).into_iter();
        let from_local = listed.skip_while(|p| p.vm != self.local.vm);
        from_local.skip(1).take(max).collect()
    }

    /// The daemons of this failure domain in the rendezvous order of a key.
    fn listed_in_own_domain(&self, key: &str) -> Vec<Peer> {
        let members = self.members.read();
        let own_domain = members.values().filter(|p| p.domain == self.local.domain);
        let others = own_domain.map(|p| p.vm.as_str());
        let others = others.filter(|vm| *vm != self.local.vm);
        let ranked = rendezvous::ranked(key, others.chain([self.local.vm.as_str()]));
        let peer = |vm: &str| members.get(vm).unwrap_or(&self.local).clone();
        ranked.into_iter().map(peer).collect()
    }

    /// Daemons for which `filter` holds in the rendezvous order of a key, without those that did
    /// not respond lately.
    fn ranked_where(&self, key: &str, max: usize, filter: impl Fn(&Peer) -> bool) -> Vec<Peer> {
        let members = self.members.read();
        let unresponsive = self.unresponsive.lock();
        let is_usable = |vm: &&str| {
            let at = unresponsive.get(*vm);
            at.is_none_or(|at| at.elapsed() >= PASSED_OVER_FOR)
        };
        let local = (!members.contains_key(&self.local.vm)).then_some(&self.local);
        let peers = members.values().chain(local).filter(|p| filter(p));
        let vms = peers.map(|p| p.vm.as_str()).filter(is_usable);
        let ranked = rendezvous::ranked(key, vms);
        let peer = |vm: &str| members.get(vm).unwrap_or(&self.local).clone();
        ranked.into_iter().take(max).map(peer).collect()
    }

    /// The daemon on a VM, if it is in the member list.
    pub fn by_vm(&self, vm: &str) -> Option<Peer> {
        self.members.read().get(vm).cloned()
    }

    /// Records whether a peer has said that it reaches the store.
    pub fn note_store_access(&self, vm: &str, reaches_store: bool) {
        let mut without_store = self.without_store.lock();
        match reaches_store {
            true => without_store.remove(vm),
            false => without_store.insert(vm.to_owned(), Instant::now()),
        };
    }

    /// Forgets which peers do not reach the store.
    pub fn forget_store_access(&self) {
        self.without_store.lock().clear();
    }

    /// Place of this daemon in the tree over which configurations are passed on, which
    /// consists of the daemons that responded lately.
    pub fn place(&self, reaches_store: bool) -> Place {
        let without_store = self.without_store.lock();
        self.place_by(reaches_store, |vm| {
            let at = without_store.get(vm);
            at.is_none_or(|at| at.elapsed() >= STORE_ACCESS_VALID_FOR)
        })
    }

    /// Place that this daemon would have if all daemons reached the store.
    pub fn regular_place(&self) -> Place {
        self.place_by(true, |_| true)
    }

    /// Place of this daemon if the peers on the VMs for which `reaches_store` holds reach the
    /// store.
    fn place_by(&self, local_reaches_store: bool, reaches_store: impl Fn(&str) -> bool) -> Place {
        let local = Member {
            vm: &self.local.vm,
            domain: &self.local.domain,
            reaches_store: local_reaches_store,
        };
        let members = self.members.read();
        let unresponsive = self.unresponsive.lock();
        let is_passed_over = |vm: &str| {
            let at = unresponsive.get(vm);
            at.is_some_and(|at| at.elapsed() < PASSED_OVER_FOR)
        };
        let others = members
            .values()
            .filter(|p| p.vm != self.local.vm && !is_passed_over(&p.vm));
        let others = others.map(|p| Member {
            vm: &p.vm,
            domain: &p.domain,
            reaches_store: reaches_store(&p.vm),
        });
        let members: Vec<Member<'_>> = others.chain([local]).collect();
        distribution::place(&members, local)
    }

    /// The other daemons; those that responded last time come first, and among them
    /// those of other failure domains.
    pub fn others(&self) -> Vec<Peer> {
        let mut all: Vec<Peer> = self.members.read().values().cloned().collect();
        all.retain(|p| p.vm != self.local.vm);
        let unresponsive = self.unresponsive.lock();
        all.sort_by_key(|p| {
            let is_same_domain = p.domain == self.local.domain;
            (
                unresponsive.contains_key(&p.vm),
                is_same_domain,
                p.vm.clone(),
            )
        });
        all
    }

    /// Number of daemons, including this one.
    pub fn member_count(&self) -> usize {
        let members = self.members.read();
        let is_listed = members.contains_key(&self.local.vm);
        members.len() + usize::from(!is_listed)
    }

    /// All failure domains of the member list and this daemon's own, in the order of their names.
    pub fn domains(&self) -> Vec<String> {
        let members = self.members.read();
        let others = members.values().map(|p| p.domain.clone());
        let domains: BTreeSet<String> = others.chain([self.local.domain.clone()]).collect();
        domains.into_iter().collect()
    }

    /// Whether the member list has been read.
    pub fn is_listed(&self) -> bool {
        self.is_listed.load(Ordering::SeqCst)
    }

    /// Records that another daemon of this failure domain has sent a request.
    pub fn note_request_from_own_domain(&self) {
        let domain = self.local.domain.clone();
        self.last_responses.lock().insert(domain, Instant::now());
    }

    /// Whether the member list has no other daemon of this failure domain.
    pub fn is_alone_in_domain(&self) -> bool {
        let is_other = |p: &Peer| p.vm != self.local.vm && p.domain == self.local.domain;
        !self.members.read().values().any(is_other)
    }

    /// Whether another daemon of this failure domain was heard of within `span`, or there is none.
    pub async fn hears_own_domain(&self, span: Duration) -> bool {
        let domain = &self.local.domain;
        let last = self.last_responses.lock().get(domain).copied();
        if last.is_some_and(|at| at.elapsed() < span) {
            return true;
        }
        let peers = self.sample(PINGED_MAX, |p| p.domain == *domain);
        let is_alone = peers.is_empty();
        for peer in peers {
            if self.send(&peer, &PeerRequest::Hello).await.is_ok() {
                return true;
            }
        }
        is_alone
    }

    /// Number of failure domains, including this daemon's own.
    pub fn domain_count(&self) -> usize {
        let members = self.members.read();
        let mut domains: HashSet<&str> = members.values().map(|p| p.domain.as_str()).collect();
        domains.insert(&self.local.domain);
        domains.len()
    }

    /// Other failure domains of which no daemon has responded within `span`.
    pub fn unresponsive_domains(&self, span: Duration) -> Vec<String> {
        let last_responses = self.last_responses.lock();
        let mut domains: Vec<String> = self.others().into_iter().map(|p| p.domain).collect();
        domains.sort();
        domains.dedup();
        domains.retain(|d| *d != self.local.domain);
        domains.retain(|d| last_responses.get(d).is_none_or(|at| at.elapsed() > span));
        domains
    }

    /// Pings every other failure domain that does not respond, until the process exits.
    pub async fn monitor_domains(self: Arc<Self>) {
        loop {
            task::sleep(MONITOR_INTERVAL).await;
            for domain in self.unresponsive_domains(MONITOR_INTERVAL) {
                task::spawn(Arc::clone(&self).ping_domain(domain));
            }
        }
    }

    /// Picks up to `max` other daemons in random order; those that did not respond last
    /// time come after all others.
    pub fn sample(&self, max: usize, filter: impl Fn(&Peer) -> bool) -> Vec<Peer> {
        let mut peers = self.others();
        peers.retain(filter);
        peers.shuffle(&mut rand::rng());
        let unresponsive = self.unresponsive.lock();
        peers.sort_by_key(|p| unresponsive.contains_key(&p.vm));
        peers.truncate(max);
        peers
    }

    /// Pings daemons of a failure domain until one responds.
    async fn ping_domain(self: Arc<Self>, domain: String) {
        for peer in self.sample(PINGED_MAX, |p| p.domain == domain) {
            if self.send(&peer, &PeerRequest::Hello).await.is_ok() {
                return;
            }
        }
    }

    /// Records whether a peer responded.
    fn record_outcome(&self, peer: &Peer, has_responded: bool) {
        if has_responded {
            self.unresponsive.lock().remove(&peer.vm);
            self.last_responses
                .lock()
                .insert(peer.domain.clone(), Instant::now());
            return;
        }
        self.unresponsive
            .lock()
            .insert(peer.vm.clone(), Instant::now());
    }

    /// Whether a peer did not respond recently and gets no requests yet.
    fn is_in_backoff(&self, peer: &Peer) -> bool {
        let unresponsive = self.unresponsive.lock();
        unresponsive
            .get(&peer.vm)
            .is_some_and(|at| at.elapsed() < UNRESPONSIVE_BACKOFF)
    }

    /// The daemon that runs as an incarnation; `None` if the incarnation has ended.
    pub fn by_incarnation(&self, incarnation: &Incarnation) -> Option<Peer> {
        let members = self.members.read();
        members
            .values()
            .find(|p| p.incarnation == *incarnation)
            .cloned()
    }

    /// Sends a request to a peer, unless the peer recently did not respond.
    pub async fn send(
        &self,
        peer: &Peer,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerError> {
        self.send_within(peer, request, REQUEST_TIMEOUT).await
    }

    /// Sends a request that the peer may take as long as `timeout` to carry out, unless the
    /// peer recently did not respond.
    pub async fn send_within(
        &self,
        peer: &Peer,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerError> {
        self.send_with(peer, request, Timeouts::all(timeout)).await
    }

    /// Sends a request with timeouts of its own, unless the peer recently did not respond.
    pub async fn send_with(
        &self,
        peer: &Peer,
        request: &PeerRequest,
        timeouts: Timeouts,
    ) -> Result<PeerResponse, PeerError> {
        if self.is_in_backoff(peer) {
            return Err(PeerError::Unresponsive);
        }
        let response = self.exchange(peer, request, timeouts).await;
        let has_responded = !matches!(response, Err(PeerError::Send(_)));
        self.record_outcome(peer, has_responded);
        response
    }

    /// Sends a request and decodes the response.
    async fn exchange(
        &self,
        peer: &Peer,
        request: &PeerRequest,
        timeouts: Timeouts,
    ) -> Result<PeerResponse, PeerError> {
        // Messages consist of numbers, strings and bytes, which always encode.
        let body = rmp_serde::to_vec(request).expect("messages encode");
        let out = ClientRequest::post(peer.addr, "/ask", body).timeouts(timeouts);
        let response = async {
            let reply = self.client.send(out).await?;
            let is_same_run = reply
                .header(INCARNATION_HEADER)
                .is_none_or(|i| i == &*peer.incarnation.0 || request.suits_any_run());
            Ok((reply.bytes(RESPONSE_MAX_BYTES).await?, is_same_run))
        };
        let (bytes, is_same_run) = response
            .await
            .inspect_err(|_: &SendError| self.client.close_idle_connections(peer.addr))?;
        if !is_same_run {
            return Err(PeerError::Restarted);
        }
        rmp_serde::from_slice(&bytes).map_err(|_| PeerError::Malformed)
    }

    /// Sends a request to several peers concurrently; returns the responses in the order
    /// of the peers.
    pub async fn send_all(
        self: &Arc<Self>,
        peers: Vec<Peer>,
        request: &PeerRequest,
    ) -> Vec<(Peer, Result<PeerResponse, PeerError>)> {
        let tasks: Vec<_> = peers
            .into_iter()
            .map(|peer| {
                let (peers, request) = (Arc::clone(self), request.clone());
                task::spawn(async move {
                    let response = peers.send(&peer, &request).await;
                    (peer, response)
                })
            })
            .collect();
        let mut responses = Vec::new();
        for task in tasks {
            responses.push(task.await);
        }
        responses
    }

    /// Adds or updates a daemon of the member list.
    pub fn insert(&self, peer: Peer) {
        self.members.write().insert(peer.vm.clone(), peer);
    }

    /// Removes a daemon that has left the member list.
    pub fn remove(&self, vm: &str) {
        self.members.write().remove(vm);
    }
}
