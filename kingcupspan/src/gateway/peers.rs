//! The other daemons: who they are and what they are asked.

use std::{collections::HashMap, net, sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_core::gateway::{
    allowance::Allowance,
    call::{ProgramKey, RequestId},
    history::Turn,
};
use kingcupspan_core::id::WallMs;
use parking_lot::RwLock;
use serde::{Deserialize, Serialize};

use crate::{
    clock::Clock,
    edge::client::{Client, Outgoing, Patience, SendError},
};

/// How long a peer may take to answer.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Largest answer of a peer, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A daemon as it lists itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its VM.
    pub vm: String,

    /// Names this start of it.
    pub incarnation: String,

    /// Where it answers other daemons.
    pub addr: net::SocketAddr,

    /// Its failure domain.
    pub domain: String,

    /// When it was started.
    pub started: WallMs,
}

/// A question to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Ask {
    /// Hand over unused tokens of a program; a peer that does not know the
    /// program remembers who asked.
    Release {
        /// The program.
        program: ProgramKey,

        /// Tokens that are missing.
        want: u64,

        /// The incarnation that asks.
        by: String,
    },

    /// Keep a copy of a turn until the store has it.
    Keep(RequestId, Turn),

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

/// A peer's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Tell {
    /// To [`Ask::Release`].
    Released {
        /// Tokens handed over.
        tokens: u64,

        /// What the peer holds after that; none if it does not know the program.
        holds: Option<Allowance>,

        /// Another incarnation that asked for the same program before.
        asked_before: Option<String>,

        /// Whether the store answers the peer.
        reaches_store: bool,
    },

    /// To [`Ask::Keep`].
    Kept,

    /// To [`Ask::Find`].
    Found(Vec<(RequestId, Turn)>),

    /// To [`Ask::Call`]: the store's status and answer; none if the peer cannot
    /// reach the store either.
    Called(Option<(u16, Vec<u8>)>),
}

/// Why a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// It was not reached, or its answer was lost.
    #[error(transparent)]
    Send(#[from] SendError),

    /// It answered with something else.
    #[error("unreadable answer")]
    Malformed,
}

/// All other daemons.
pub struct Peers {
    /// This daemon.
    pub own: Peer,

    clock: Clock,
    client: Client,
    listed: RwLock<HashMap<String, Peer>>,
}

impl Peers {
    /// No others known yet.
    pub fn new(own: Peer, clock: Clock) -> Self {
        Self {
            own,
            clock,
            client: Client::default(),
            listed: RwLock::default(),
        }
    }

    /// The other daemons, those of other failure domains first.
    pub fn all(&self) -> Vec<Peer> {
        let mut all: Vec<Peer> = self.listed.read().values().cloned().collect();
        all.retain(|p| p.vm != self.own.vm);
        all.sort_by_key(|p| (p.domain == self.own.domain, p.vm.clone()));
        all
    }

    /// The daemon that runs as an incarnation; none if that one has ended.
    pub fn by_incarnation(&self, incarnation: &str) -> Option<Peer> {
        let listed = self.listed.read();
        listed
            .values()
            .find(|p| p.incarnation == incarnation)
            .cloned()
    }

    /// Whether all daemons, this one included, have run for at least `span`.
    pub fn have_run_for(&self, span: Duration) -> bool {
        let now = self.clock.wall().0;
        let is_old = |p: &Peer| now.saturating_sub(p.started.0) > span.as_millis() as u64;
        is_old(&self.own) && self.listed.read().values().all(is_old)
    }

    /// Asks a peer.
    pub async fn ask(&self, peer: &Peer, ask: &Ask) -> Result<Tell, PeerError> {
        // Messages are made of numbers, texts and bytes, which always encode.
        let body = rmp_serde::to_vec(ask).expect("messages encode");
        let out = Outgoing::post(peer.addr, "/ask", body).patience(Patience::all(TIMEOUT));
        let answer = async {
            let reply = self.client.send(out).await?;
            reply.bytes(ANSWER_MAX_BYTES).await
        };
        let bytes = answer
            .await
            .inspect_err(|_| self.client.forget(peer.addr))?;
        rmp_serde::from_slice(&bytes).map_err(|_| PeerError::Malformed)
    }

    /// Asks several peers at once; answers come in the order of the peers.
    pub async fn ask_all(
        self: &Arc<Self>,
        peers: Vec<Peer>,
        ask: &Ask,
    ) -> Vec<(Peer, Result<Tell, PeerError>)> {
        let asking: Vec<_> = peers
            .into_iter()
            .map(|peer| {
                let (peers, ask) = (Arc::clone(self), ask.clone());
                task::spawn(async move {
                    let told = peers.ask(&peer, &ask).await;
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

    /// Notes a daemon.
    pub fn insert(&self, peer: Peer) {
        self.listed.write().insert(peer.vm.clone(), peer);
    }

    /// Forgets a daemon that has left.
    pub fn remove(&self, vm: &str) {
        self.listed.write().remove(vm);
    }
}
