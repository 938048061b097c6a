//! The other daemons: who they are and what they are asked.

use std::{
    collections::{HashMap, HashSet},
    net,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_core::{
    gateway::{
        allocation::LocalQuota,
        call::{ProgramKey, RequestId},
        crash_tracker::Crash,
        grant::{ClaimReport, Incarnation},
        history::Turn,
    },
    id::WallMs,
};
use parking_lot::{Mutex, RwLock};
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Clock,
    edge::client::{Client, ClientRequest, SendError, Timeouts},
};

/// How long a peer may take to answer.
const TIMEOUT: Duration = Duration::from_millis(200);

/// How long a peer that did not answer is not asked.
const SILENT_FOR: Duration = Duration::from_millis(400);

/// Longest silence of a failure domain before a daemon of it is asked for a sign.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Daemons of a silent failure domain that are asked for a sign.
const GREETED_MAX: usize = 3;

/// How far clocks of VMs may be apart, steps included.
const CLOCK_ERROR_MAX: Duration = Duration::from_secs(10);

/// Largest answer of a peer, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A daemon as it lists itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its VM.
    pub vm: String,

    /// Names this start of it.
    pub incarnation: Incarnation,

    /// Where it answers other daemons.
    pub addr: net::SocketAddr,

    /// Its failure domain.
    pub domain: String,

    /// When it was started.
    pub started: WallMs,

    /// Whether it was started with the whole system, before any request.
    pub is_founding: bool,
}

impl Peer {
    /// Whether it may lack what daemons kept in memory within the last `span`.
    fn is_young(&self, now: WallMs, span: Duration) -> bool {
        let span = span + CLOCK_ERROR_MAX;
        let age = now.0.saturating_sub(self.started.0);
        !self.is_founding && age <= span.as_millis() as u64
    }
}

/// Daemons that may lack what was kept in memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecentStarts {
    /// Number of daemons.
    pub daemons: usize,

    /// Whether in some failure domain all may lack it.
    pub has_whole_domain: bool,
}

/// Why unused tokens are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// The asker records what it takes; from now on nobody grants tokens of the
    /// program without a record.
    Record,

    /// The store is away and the asker wants to grant itself tokens.
    Grant,

    /// Nothing else.
    Share,
}

/// A question to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Give a sign.
    Hello,

    /// Hand over unused tokens of a program.
    Release {
        /// The program.
        program: ProgramKey,

        /// Tokens that are missing.
        want: u64,

        /// The incarnation that asks.
        by: Incarnation,

        /// What else the asker wants.
        purpose: Purpose,
    },

    /// An incarnation gives up its right to grant itself tokens of a program.
    Unclaim {
        /// The program.
        program: ProgramKey,

        /// The incarnation.
        by: Incarnation,
    },

    /// Hand over tokens of a program that the peer has claimed.
    Lend(Loan),

    /// Keep a copy of a turn until the store has it.
    Keep(RequestId, Turn),

    /// Turns are in the store: their copies need not be kept for it.
    Stored(Vec<RequestId>),

    /// An endpoint went down while it ran these requests.
    Crashed(Vec<Crash>),

    /// Send the turns that are in memory.
    Find(Vec<RequestId>),

    /// Make a call to the store that the asker cannot reach.
    Call {
        /// Path and query.
        path: String,

        /// Records to append; none for a read.
        body: Option<Vec<u8>>,
    },
}

impl PeerRequest {
    /// What is asked, for the metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Release { .. } => "release",
            Self::Unclaim { .. } => "unclaim",
            Self::Lend(_) => "lend",
            Self::Keep(..) => "keep",
            Self::Stored(_) => "stored",
            Self::Crashed(_) => "crashed",
            Self::Find(_) => "find",
            Self::Call { .. } => "call",
        }
    }
}

/// Tokens that a daemon wants of one that may grant them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Loan {
    /// The program.
    pub program: ProgramKey,

    /// Its budget.
    pub budget: u64,

    /// The most that the turn may use.
    #[serde(rename = "most")]
    pub max_tokens: u64,

    /// Tokens that are missing.
    pub want: u64,

    /// How long after its last turn the program may come back.
    pub retention: Duration,
}

/// A peer's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// To [`PeerRequest::Hello`], [`PeerRequest::Unclaim`], [`PeerRequest::Stored`] and [`PeerRequest::Crashed`].
    Noted,

    /// To [`PeerRequest::Release`].
    Released {
        /// Tokens handed over.
        tokens: u64,

        /// What the peer holds of the program after that.
        holds: LocalQuota,

        /// Tokens that the peer granted itself and has not recorded.
        unrecorded: u64,

        /// The claim that the peer remembers.
        claimed: Option<ClaimReport>,

        /// Whether the asker must not grant itself tokens.
        is_denied: bool,

        /// Whether the store answers the peer.
        reaches_store: bool,
    },

    /// To [`PeerRequest::Lend`]: tokens handed over.
    Lent(u64),

    /// To [`PeerRequest::Keep`].
    Kept,

    /// To [`PeerRequest::Find`].
    Found(Vec<(RequestId, Turn)>),

    /// To [`PeerRequest::Call`]: the store's status and answer; none if the peer cannot
    /// reach the store either.
    Called(Option<(u16, Vec<u8>)>),
}

/// Why a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// It was not reached, or its answer was lost.
    #[error(transparent)]
    Send(#[from] SendError),

    /// It did not answer a moment ago.
    #[error("silent lately")]
    Silent,

    /// It answered with something else.
    #[error("unreadable answer")]
    Malformed,
}

/// All other daemons.
pub struct Peers {
    /// This daemon.
    pub local: Peer,

    clock: Clock,
    client: Client,
    listed: RwLock<HashMap<String, Peer>>,
    is_listed: AtomicBool,
    silent: Mutex<HashMap<String, Instant>>,
    heard: Mutex<HashMap<String, Instant>>,
}

impl Peers {
    /// No others known yet.
    pub fn new(local: Peer, clock: Clock) -> Self {
        Self {
            local,
            clock,
            client: Client::default(),
            listed: RwLock::default(),
            is_listed: AtomicBool::default(),
            silent: Mutex::default(),
            heard: Mutex::default(),
        }
    }

    /// The other daemons: those that answered last time first, then those of
    /// other failure domains.
    pub fn others(&self) -> Vec<Peer> {
        let mut all: Vec<Peer> = self.listed.read().values().cloned().collect();
        all.retain(|p| p.vm != self.local.vm);
        let silent = self.silent.lock();
        all.sort_by_key(|p| {
            let is_near = p.domain == self.local.domain;
            (silent.contains_key(&p.vm), is_near, p.vm.clone())
        });
        all
    }

    /// Number of failure domains, this one included.
    pub fn domain_count(&self) -> usize {
        let listed = self.listed.read();
        let mut domains: HashSet<&str> = listed.values().map(|p| p.domain.as_str()).collect();
        domains.insert(&self.local.domain);
        domains.len()
    }

    /// Other failure domains of which no daemon has answered for `span`.
    pub fn unresponsive_domains(&self, span: Duration) -> Vec<String> {
        let heard = self.heard.lock();
        let mut domains: Vec<String> = self.others().into_iter().map(|p| p.domain).collect();
        domains.sort();
        domains.dedup();
        domains.retain(|d| *d != self.local.domain);
        domains.retain(|d| heard.get(d).is_none_or(|at| at.elapsed() > span));
        domains
    }

    /// Keeps in touch with every other failure domain until the process ends.
    pub async fn monitor_domains(self: Arc<Self>) {
        loop {
            task::sleep(WATCH_PAUSE).await;
            for domain in self.unresponsive_domains(WATCH_PAUSE) {
                task::spawn(Arc::clone(&self).greet(domain));
            }
        }
    }

    /// Up to `most` other daemons, drawn anew each time; those that did not answer
    /// last time come after all others.
    pub fn sample(&self, most: usize, is_wanted: impl Fn(&Peer) -> bool) -> Vec<Peer> {
        let mut peers = self.others();
        peers.retain(is_wanted);
        peers.shuffle(&mut rand::rng());
        let silent = self.silent.lock();
        peers.sort_by_key(|p| silent.contains_key(&p.vm));
        peers.truncate(most);
        peers
    }

    /// Asks daemons of a failure domain until one answers.
    async fn greet(self: Arc<Self>, domain: String) {
        for peer in self.sample(GREETED_MAX, |p| p.domain == domain) {
            if self.send(&peer, &PeerRequest::Hello).await.is_ok() {
                return;
            }
        }
    }

    fn note(&self, peer: &Peer, has_answered: bool) {
        if has_answered {
            self.silent.lock().remove(&peer.vm);
            self.heard
                .lock()
                .insert(peer.domain.clone(), Instant::now());
            return;
        }
        self.silent.lock().insert(peer.vm.clone(), Instant::now());
    }

    /// Whether a peer did not answer lately and is not asked again yet.
    fn is_silent(&self, peer: &Peer) -> bool {
        let silent = self.silent.lock();
        silent
            .get(&peer.vm)
            .is_some_and(|at| at.elapsed() < SILENT_FOR)
    }

    /// The daemon that runs as an incarnation; none if that one has ended.
    pub fn by_incarnation(&self, incarnation: &Incarnation) -> Option<Peer> {
        let listed = self.listed.read();
        listed
            .values()
            .find(|p| p.incarnation == *incarnation)
            .cloned()
    }

    /// Daemons, this one included, that may lack what was kept in memory within
    /// the last `span`.
    pub fn recent_starts(&self, span: Duration) -> RecentStarts {
        let now = self.clock.wall();
        let mut all = self.others();
        all.push(self.local.clone());
        let (young, old): (Vec<Peer>, Vec<Peer>) =
            all.into_iter().partition(|p| p.is_young(now, span));
        let has_old = |p: &Peer| old.iter().any(|o| o.domain == p.domain);
        RecentStarts {
            daemons: young.len(),
            has_whole_domain: !young.iter().all(has_old),
        }
    }

    /// Asks a peer.
    pub async fn send(&self, peer: &Peer, ask: &PeerRequest) -> Result<PeerResponse, PeerError> {
        if self.is_silent(peer) {
            return Err(PeerError::Silent);
        }
        let told = self.exchange(peer, ask).await;
        self.note(peer, told.is_ok());
        told
    }

    async fn exchange(&self, peer: &Peer, ask: &PeerRequest) -> Result<PeerResponse, PeerError> {
        // Messages are made of numbers, texts and bytes, which always encode.
        let body = rmp_serde::to_vec(ask).expect("messages encode");
        let out = ClientRequest::post(peer.addr, "/ask", body).timeouts(Timeouts::all(TIMEOUT));
        let answer = async {
            let reply = self.client.send(out).await?;
            reply.bytes(ANSWER_MAX_BYTES).await
        };
        let bytes = answer
            .await
            .inspect_err(|_| self.client.close_idle_connections(peer.addr))?;
        rmp_serde::from_slice(&bytes).map_err(|_| PeerError::Malformed)
    }

    /// Asks several peers at once; answers come in the order of the peers.
    pub async fn send_all(
        self: &Arc<Self>,
        peers: Vec<Peer>,
        ask: &PeerRequest,
    ) -> Vec<(Peer, Result<PeerResponse, PeerError>)> {
        let asking: Vec<_> = peers
            .into_iter()
            .map(|peer| {
                let (peers, ask) = (Arc::clone(self), ask.clone());
                task::spawn(async move {
                    let told = peers.send(&peer, &ask).await;
                    (peer, told)
                })
            })
            .collect();
        let mut told = Vec::new();
        for answer in asking {
            told.push(answer.await);
        }
        told
    }

    /// Whether the list has been read.
    pub fn has_loaded_members(&self) -> bool {
        self.is_listed.load(Ordering::Relaxed)
    }

    /// Notes that the list has been read.
    pub fn mark_members_loaded(&self) {
        self.is_listed.store(true, Ordering::Relaxed);
    }

    /// Notes a daemon.
    pub fn insert(&self, peer: Peer) {
        self.listed.write().insert(peer.vm.clone(), peer);
    }

    /// Forgets a daemon that has left.
    pub fn remove(&self, vm: &str) {
        self.listed.write().remove(vm);
    }
}
