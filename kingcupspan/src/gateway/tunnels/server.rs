//! Opens connections to endpoints for peers and passes bytes on.

use std::{
    io, net,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{
    future,
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt};
use kingcupspan_core::gateway::endpoint::InstanceId;
use socket2::SockRef;

use super::{CHUNKED, FRAMING_HEADER};
use crate::{
    edge::tcp::{self, Remote},
    gateway::serve::Gateway,
    http::{conn::Conn, framed},
};

/// Most tunnels that a daemon has open for its peers.
const MAX_TUNNELS: usize = 512;

/// Delay after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Timeout for the request of a peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for the connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which what the peer still sends is discarded after the endpoint has closed: a reset
/// would take away what the peer has not read yet.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a request, in bytes.
const REQUEST_MAX_BYTES: usize = 4 * 1024;

/// Size of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Most bytes of a chunk of that size beside its data.
const CHUNK_HEAD_BYTES: usize = 8;

/// Counts the tunnels that are open for peers.
#[derive(Default)]
struct Counter(AtomicUsize);

/// Counts a tunnel as open until it is dropped.
struct Slot(Arc<Counter>);

impl Slot {
    /// Takes a slot; `None` if there is none left.
    fn take(counter: &Arc<Counter>) -> Option<Self> {
        let taken = counter.0.fetch_add(1, Ordering::SeqCst);
        let slot = Self(Arc::clone(counter));
        (taken < MAX_TUNNELS).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Reason why no connection is opened for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// The request cannot be read, or asks for something else.
    Malformed,

    /// This daemon does not know the endpoint.
    UnknownEndpoint,

    /// The endpoint does not accept a connection.
    NotReached,

    /// This daemon stops, has too many tunnels open, or needs one to the endpoint itself.
    Unavailable,
}

impl Refusal {
    /// Returns the status line of the response.
    fn status_line(self) -> &'static str {
        match self {
            Self::Malformed => "HTTP/1.1 400 Bad Request",
            Self::UnknownEndpoint => "HTTP/1.1 404 Not Found",
            Self::NotReached => "HTTP/1.1 502 Bad Gateway",
            Self::Unavailable => "HTTP/1.1 503 Service Unavailable",
        }
    }
}

/// How what the endpoint sends is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// In chunks, of which the last one follows when the endpoint has closed its connection.
    Chunked,

    /// As it is, for daemons of former versions.
    Bare,
}

impl Framing {
    /// Returns the response to a request for a tunnel that is open.
    fn accepted(self) -> String {
        match self {
            Self::Chunked => format!("HTTP/1.1 200 OK\r\n{FRAMING_HEADER}: {CHUNKED}\r\n\r\n"),
            Self::Bare => "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        }
    }
}

/// A request of a peer.
struct TunnelRequest {
    /// The endpoint that the peer wants to reach.
    id: InstanceId,

    framing: Framing,
}

/// Serves peers until the task is cancelled.
pub async fn serve(listener: TcpListener, gateway: Arc<Gateway>) {
    let counter = Arc::default();
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        let Ok(stream) = accepted else {
            task::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let (gateway, counter) = (Arc::clone(&gateway), Arc::clone(&counter));
        task::spawn(async move { handle(&gateway, &counter, stream).await });
    }
}

/// Serves one tunnel.
async fn handle(gateway: &Gateway, counter: &Arc<Counter>, stream: TcpStream) {
    // Without the options the tunnel works as well, only a dead peer is noticed late.
    let _ = tcp::set_options(&stream, Remote::System);
    let mut conn = Conn::new(stream);
    let request = future::timeout(REQUEST_TIMEOUT, read_request(&mut conn)).await;
    let Ok(Ok(TunnelRequest { id, framing })) = request else {
        return refuse(&mut conn, Refusal::Malformed).await;
    };
    let Some(_slot) = Slot::take(counter).filter(|_| !gateway.shutdown.is_stopping()) else {
        return refuse(&mut conn, Refusal::Unavailable).await;
    };
    let endpoint = match connect(gateway, &id).await {
        Ok(endpoint) => endpoint,
        Err(refusal) => return refuse(&mut conn, refusal).await,
    };
    // A graceful shutdown waits for the requests of peers.
    let _in_flight = gateway.shutdown.track_request();
    if conn.write(framing.accepted().as_bytes()).await.is_ok() {
        let peer = conn.stream().clone();
        if framing == Framing::Bare {
            // Also if this process is killed: the end must not pass for that of the endpoint.
            reset_on_close(&peer);
        }
        pass_on(peer, conn.unread(), endpoint, framing).await;
    }
}

/// Reads which endpoint a peer wants to reach, and how.
async fn read_request(conn: &mut Conn) -> Result<TunnelRequest, Refusal> {
    let head = conn.request_head(REQUEST_MAX_BYTES).await;
    let head = head.map_err(|_| Refusal::Malformed)?;
    if head.method != "CONNECT" {
        return Err(Refusal::Malformed);
    }
    let framing = match super::has_framing(&head.headers) {
        true => Framing::Chunked,
        false => Framing::Bare,
    };
    Ok(TunnelRequest {
        id: head.target.as_str().into(),
        framing,
    })
}

/// Opens a connection to an endpoint, never through another daemon.
async fn connect(gateway: &Gateway, id: &InstanceId) -> Result<TcpStream, Refusal> {
    let endpoint = gateway.endpoints.by_id(id);
    let endpoint = endpoint.ok_or(Refusal::UnknownEndpoint)?;
    if gateway.upstream.needs_tunnel(id) {
        return Err(Refusal::Unavailable);
    }
    let connect = TcpStream::connect(endpoint.addr);
    let stream = future::timeout(CONNECT_TIMEOUT, connect).await;
    let Ok(Ok(stream)) = stream else {
        // This daemon may be cut off as well, and has to learn of it.
        gateway.upstream.note_failed_for_peer(&endpoint);
        return Err(Refusal::NotReached);
    };
    // As above.
    let _ = tcp::set_options(&stream, Remote::Endpoint);
    Ok(stream)
}

/// Tells a peer that no connection is opened.
async fn refuse(conn: &mut Conn, refusal: Refusal) {
    let response = format!("{}\r\nContent-Length: 0\r\n\r\n", refusal.status_line());
    // The peer may have gone.
    let _ = conn.write(response.as_bytes()).await;
}

/// Passes bytes on until one side closes its connection; `sent` is what the peer has sent already.
///
/// What ends in order at the endpoint ends in order at the peer, and what is reset is reset: a
/// response may end with its connection. A peer that closes has given the request up.
async fn pass_on(peer: TcpStream, sent: &[u8], endpoint: TcpStream, framing: Framing) {
    let requests = async {
        let mut to = &endpoint;
        let result = match to.write_all(sent).await {
            Ok(()) => copy(&peer, &endpoint).await,
            Err(e) => Err(e),
        };
        (Side::Peer, result)
    };
    let responses = async {
        let result = match framing {
            Framing::Chunked => copy_in_chunks(&endpoint, &peer).await,
            Framing::Bare => copy(&endpoint, &peer).await,
        };
        (Side::Endpoint, result)
    };
    let (side, result) = requests.or(responses).await;
    match (side, result) {
        (Side::Endpoint, Ok(())) => {
            close_in_order(&peer);
            // The peer may have gone.
            let _ = peer.shutdown(net::Shutdown::Write);
            let _ = future::timeout(DISCARD_TIMEOUT, discard(&peer)).await;
        }
        (_, Err(_)) => {
            reset_on_close(&peer);
            reset_on_close(&endpoint);
        }
        (Side::Peer, Ok(())) => {}
    }
}

/// Which side has ended a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Peer,
    Endpoint,
}

/// Copies bytes until `from` is closed in order.
async fn copy(mut from: &TcpStream, mut to: &TcpStream) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buf).await? {
            0 => return Ok(()),
            n => to.write_all(&buf[..n]).await?,
        }
    }
}

/// Copies bytes in chunks until `from` is closed in order, and marks that.
async fn copy_in_chunks(mut from: &TcpStream, mut to: &TcpStream) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut chunk = Vec::with_capacity(BUFFER_BYTES + CHUNK_HEAD_BYTES);
    loop {
        match from.read(&mut buf).await? {
            0 => return to.write_all(framed::LAST_CHUNK).await,
            n => framed::encode(&buf[..n], &mut chunk),
        }
        to.write_all(&chunk).await?;
    }
}

/// Discards what arrives until the connection is closed.
async fn discard(mut from: &TcpStream) {
    let mut buf = vec![0; BUFFER_BYTES];
    while from.read(&mut buf).await.is_ok_and(|n| n > 0) {}
}

/// Lets a connection be closed in order when it is dropped.
fn close_in_order(stream: &TcpStream) {
    // If this fails, the connection has ended already.
    let _ = SockRef::from(stream).set_linger(None);
}

/// Lets a connection be reset when it is dropped.
fn reset_on_close(stream: &TcpStream) {
    // If this fails, the connection has ended already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
