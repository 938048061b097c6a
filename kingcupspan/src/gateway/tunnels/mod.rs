//! Connections to endpoints through peers, for a daemon that does not reach an endpoint itself.
//!
//! A peer opens the connection to the endpoint and passes bytes on in both directions, like an HTTP
//! proxy that is asked to `CONNECT`. All decisions on the request stay with the daemon that has it
//! from the caller: its quota, its tokens, the version of its stream, and whether it may have run.
//! A peer opens only direct connections, so a tunnel never has a second hop.
//!
//! What the endpoint sends comes in chunks, and the last one says that the endpoint has closed its
//! connection: where the peer's process ends, its connections may look as if they were closed in
//! order. Daemons of former versions pass bare bytes on.

mod server;

use std::{
    collections::HashMap,
    net,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future, net::TcpStream};
use kingcupspan_core::gateway::endpoint::{Endpoint, InstanceId};
use kingcupspan_platform::headers::HeaderLookup;
use parking_lot::Mutex;
use prometheus::IntCounterVec;

pub use self::server::serve;
use crate::{
    edge::tcp::{self, Remote},
    gateway::peers::{Peer, Peers},
    http::{conn::Conn, head::Headers},
    metrics::opts,
};

/// Most peers that are asked for a tunnel to an endpoint.
const PEERS_ASKED: usize = 6;

/// Number of peers of several failure domains that do not reach an endpoint after which no others
/// are asked.
const ENOUGH_FAILED: usize = 3;

/// Time for a peer to accept a connection and to open the one to the endpoint.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which no further peer is asked; the request has to be refused while its caller waits.
const ASKING_TIME: Duration = Duration::from_millis(300);

/// Time for which a peer is asked last that could not open a tunnel.
const PASSED_OVER_FOR: Duration = Duration::from_millis(2_000);

/// Time for which a tunnel takes requests, so that a peer that stops gets none near the end of its
/// grace period.
const LIFETIME: Duration = Duration::from_millis(2_000);

/// Status of a peer that has opened the connection.
const OPENED: u16 = 200;

/// Status of a peer that has tried in vain to open the connection.
const NOT_REACHED: u16 = 502;

/// Header with which a daemon asks for framing of what the endpoint sends, and a peer agrees.
const FRAMING_HEADER: &str = "x-tunnel-framing";

/// Value of that header: HTTP chunks.
const CHUNKED: &str = "chunked";

/// Reason why there is no tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum TunnelError {
    /// There are no other daemons.
    #[display("no peers")]
    NoPeers,

    /// No peer that was asked reaches the endpoint.
    #[display("not reached by peers")]
    NotReached,
}

/// Opens tunnels and spreads them over the peers.
pub struct Tunnels {
    peers: Arc<Peers>,

    /// Port on which all daemons open tunnels for others.
    port: u16,

    /// What is known of the peers, by VM.
    states: Arc<Mutex<HashMap<String, PeerState>>>,

    /// Tunnels that this daemon has asked for, by outcome.
    pub outcomes: IntCounterVec,
}

/// What is known of a peer.
#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    /// Number of open tunnels through the peer.
    open: usize,

    /// When the peer last failed to open one.
    failed_at: Option<Instant>,
}

impl PeerState {
    /// Whether the peer failed to open a tunnel lately.
    fn is_passed_over(&self) -> bool {
        self.failed_at
            .is_some_and(|at| at.elapsed() < PASSED_OVER_FOR)
    }
}

/// Answer of a peer that was asked for a connection to an endpoint.
enum Opening {
    /// The connection.
    Opened(Conn),

    /// The peer has tried in vain.
    NotReached,

    /// The peer has not tried, or did not answer.
    Unavailable,
}

/// A connection to an endpoint through a peer.
pub struct Tunnel {
    /// The connection, which leads to the endpoint.
    pub conn: Conn,

    /// Counts the tunnel as open.
    pub guard: TunnelGuard,
}

/// Counts a tunnel as open until it is dropped.
pub struct TunnelGuard {
    vm: String,
    opened_at: Instant,
    states: Arc<Mutex<HashMap<String, PeerState>>>,
}

impl TunnelGuard {
    /// VM of the peer.
    pub fn vm(&self) -> &str {
        &self.vm
    }

    /// Time for which further requests may be sent through the tunnel.
    pub fn remaining_lifetime(&self) -> Duration {
        LIFETIME.saturating_sub(self.opened_at.elapsed())
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        if let Some(state) = self.states.lock().get_mut(&self.vm) {
            state.open = state.open.saturating_sub(1);
        }
    }
}

impl Tunnels {
    /// Creates a state without tunnels.
    pub fn new(peers: Arc<Peers>, port: u16) -> Self {
        let outcomes = IntCounterVec::new(
            opts(
                "tunnels_total",
                "Connections to endpoints asked of other daemons",
            ),
            &["outcome"],
        );
        Self {
            peers,
            port,
            states: Arc::default(),
            // The name and the label are constant and valid.
            outcomes: outcomes.expect("the counter is valid"),
        }
    }

    /// Opens a connection to an endpoint through one of the peers.
    pub async fn open(&self, endpoint: &Endpoint) -> Result<Tunnel, TunnelError> {
        let peers = self.candidates();
        if peers.is_empty() {
            return Err(TunnelError::NoPeers);
        }
        let started_at = Instant::now();
        let mut failed: Vec<Peer> = Vec::new();
        for peer in peers {
            if started_at.elapsed() > ASKING_TIME {
                break;
            }
            match self.open_through(&peer, endpoint).await {
                Opening::Opened(conn) => {
                    // Peers that do not reach what another one does are asked last.
                    failed.iter().for_each(|p| self.pass_over(&p.vm));
                    self.count("opened");
                    return Ok(self.tunnel(peer.vm, conn));
                }
                Opening::Unavailable => self.pass_over(&peer.vm),
                Opening::NotReached => failed.push(peer),
            }
            // A failure domain may be cut off as a whole.
            let is_of_one_domain = failed.iter().all(|p| p.domain == failed[0].domain);
            if failed.len() >= ENOUGH_FAILED && !is_of_one_domain {
                break;
            }
        }
        self.count("not reached");
        Err(TunnelError::NotReached)
    }

    /// Peers to ask, in their order: those that could lately open what they were asked for come
    /// first, then those with the fewest tunnels; this failure domain and others take turns.
    fn candidates(&self) -> Vec<Peer> {
        let mut peers = self.peers.sample(usize::MAX, |_| true);
        let states = self.states.lock();
        peers.sort_by_cached_key(|p| {
            let state = states.get(&p.vm).copied().unwrap_or_default();
            (state.is_passed_over(), state.open)
        });
        let is_passed_over = |p: &Peer| states.get(&p.vm).is_some_and(PeerState::is_passed_over);
        let own_domain = &self.peers.local.domain;
        let mut turns = [0, 0];
        peers.sort_by_cached_key(|p| {
            let is_other_domain = p.domain != *own_domain;
            let turn = &mut turns[usize::from(is_other_domain)];
            *turn += 1;
            (is_passed_over(p), *turn, is_other_domain)
        });
        peers.truncate(PEERS_ASKED);
        peers
    }

    /// Asks a peer for a connection to an endpoint.
    async fn open_through(&self, peer: &Peer, endpoint: &Endpoint) -> Opening {
        let addr = net::SocketAddr::new(peer.addr.ip(), self.port);
        let open = async {
            let stream = TcpStream::connect(addr).await.ok()?;
            tcp::set_options(&stream, Remote::System).ok()?;
            let mut conn = Conn::new(stream);
            conn.write(&encode_request(&endpoint.id)).await.ok()?;
            let head = conn.response_head("CONNECT").await.ok()?;
            if has_framing(&head.headers) {
                conn.decode_chunks();
            }
            Some((head.status, conn))
        };
        match future::timeout(OPEN_TIMEOUT, open).await {
            Ok(Some((OPENED, conn))) => Opening::Opened(conn),
            Ok(Some((NOT_REACHED, _))) => Opening::NotReached,
            Ok(_) | Err(_) => Opening::Unavailable,
        }
    }

    /// Counts a tunnel as open.
    fn tunnel(&self, vm: String, conn: Conn) -> Tunnel {
        self.states.lock().entry(vm.clone()).or_default().open += 1;
        let states = Arc::clone(&self.states);
        let guard = TunnelGuard {
            vm,
            opened_at: Instant::now(),
            states,
        };
        Tunnel { conn, guard }
    }

    /// Asks a peer last for a while.
    fn pass_over(&self, vm: &str) {
        let mut states = self.states.lock();
        states.entry(vm.to_owned()).or_default().failed_at = Some(Instant::now());
    }

    /// Forgets peers without tunnels that have not failed lately.
    pub fn expire(&self) {
        let mut states = self.states.lock();
        states.retain(|_, s| s.open > 0 || s.is_passed_over());
    }

    fn count(&self, outcome: &str) {
        self.outcomes.with_label_values(&[outcome]).inc();
    }
}

/// Encodes the request for a connection to an endpoint, which the peer looks up in its own list.
fn encode_request(endpoint: &InstanceId) -> Vec<u8> {
    format!(
        "CONNECT {endpoint} HTTP/1.1\r\nHost: {endpoint}\r\n{FRAMING_HEADER}: {CHUNKED}\r\n\r\n"
    )
    .into_bytes()
}

/// Whether a request or a response speaks of framing.
fn has_framing(headers: &Headers) -> bool {
    headers.get(FRAMING_HEADER) == Some(CHUNKED)
}
