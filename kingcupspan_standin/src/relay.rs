//! A TCP relay that simulates network faults: it can block one or both directions, delay data,
//! close or reset connections and refuse new ones.
//!
//! A connection that is reset on one side is reset on the other one as well.

use std::{
    io, net,
    sync::{Arc, atomic},
    time::Duration,
};

use async_std::{net::TcpListener, net::TcpStream, task};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, StreamExt, future};
use socket2::SockRef;

/// Interval at which a blocked connection checks whether the block has been lifted.
const BLOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Network faults that a relay simulates.
#[derive(Debug, Default)]
pub struct LinkFaults {
    /// Whether data towards the target is held back.
    pub forward_blocked: atomic::AtomicBool,

    /// Whether data from the target is held back.
    pub backward_blocked: atomic::AtomicBool,

    /// Delay added to each chunk of data, in milliseconds.
    pub delay_ms: atomic::AtomicU64,

    /// Whether new connections are refused.
    refuses: atomic::AtomicBool,

    /// Notified when `refuses` changes.
    refuses_changed: Event,

    /// Notified when all connections are to be closed.
    closed: Event,

    /// Notified when all connections are to be reset.
    reset: Event,
}

impl LinkFaults {
    /// Blocks or unblocks both directions.
    pub fn set_blocked(&self, blocked: bool) {
        self.set_blocked_directions(blocked, blocked);
    }

    /// Sets the delay that is added to each chunk of data.
    pub fn set_delay(&self, delay: Duration) {
        let ms = delay.as_millis() as u64;
        self.delay_ms.store(ms, atomic::Ordering::SeqCst);
    }

    /// Closes all relayed connections.
    pub fn close_connections(&self) {
        self.closed.notify(usize::MAX);
    }

    /// Resets all relayed connections.
    pub fn reset_connections(&self) {
        self.reset.notify(usize::MAX);
    }

    /// Sets whether new connections are refused.
    pub fn set_refuses(&self, refuses: bool) {
        self.refuses.store(refuses, atomic::Ordering::SeqCst);
        self.refuses_changed.notify(usize::MAX);
    }

    /// Waits until new connections are refused, or until they are not.
    async fn wait_until_refuses(&self, refuses: bool) {
        loop {
            let changed = self.refuses_changed.listen();
            if self.refuses.load(atomic::Ordering::SeqCst) == refuses {
                return;
            }
            changed.await;
        }
    }

    /// Blocks or unblocks each direction separately.
    pub fn set_blocked_directions(&self, forward: bool, backward: bool) {
        self.forward_blocked
            .store(forward, atomic::Ordering::SeqCst);
        self.backward_blocked
            .store(backward, atomic::Ordering::SeqCst);
    }
}

/// A running relay.
pub struct Relay {
    /// Address on which the relay listens.
    pub addr: net::SocketAddr,

    /// Faults that the relay simulates.
    pub link_faults: Arc<LinkFaults>,
}

/// Starts a relay from `listen` to `target`.
pub async fn start(listen: net::SocketAddr, target: net::SocketAddr) -> io::Result<Relay> {
    start_with(listen, target, Arc::default()).await
}

/// Starts a relay that can share `link_faults` with other relays.
pub async fn start_with(
    listen: net::SocketAddr,
    target: net::SocketAddr,
    link_faults: Arc<LinkFaults>,
) -> io::Result<Relay> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    task::spawn(serve(listener, addr, target, Arc::clone(&link_faults)));
    Ok(Relay { addr, link_faults })
}

/// Accepts connections, except while they are refused.
async fn serve(
    mut listener: TcpListener,
    addr: net::SocketAddr,
    target: net::SocketAddr,
    faults: Arc<LinkFaults>,
) {
    loop {
        let refused = faults.wait_until_refuses(true);
        accept(&listener, target, &faults).or(refused).await;
        // A closed listener refuses connections.
        drop(listener);
        faults.wait_until_refuses(false).await;
        listener = TcpListener::bind(addr)
            .await
            .expect("the relay's address is free");
    }
}

/// Relays the connections of a listener.
async fn accept(listener: &TcpListener, target: net::SocketAddr, faults: &Arc<LinkFaults>) {
    let mut incoming = listener.incoming();
    while let Some(Ok(stream)) = incoming.next().await {
        task::spawn(relay(stream, target, Arc::clone(faults)));
    }
    future::pending::<()>().await;
}

/// How a relayed connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Both sides have been closed.
    Closed,

    /// One side has failed, or the link.
    Reset,
}

/// Relays one connection in both directions until it ends.
async fn relay(client: TcpStream, target: net::SocketAddr, faults: Arc<LinkFaults>) {
    let (closed, reset) = (faults.closed.listen(), faults.reset.listen());
    // A blocked link would also lose the handshake's packets, so the connection to
    // the target is not opened.
    while faults.forward_blocked.load(atomic::Ordering::SeqCst)
        || faults.backward_blocked.load(atomic::Ordering::SeqCst)
    {
        task::sleep(BLOCK_POLL_INTERVAL).await;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let closed = async {
        closed.await;
        End::Closed
    };
    let reset = async {
        reset.await;
        End::Reset
    };
    let copied = copy_both(&client, &upstream, &faults);
    let end = copied.or(closed).or(reset).await;
    for stream in [client, upstream] {
        // Fails if the connection has ended already.
        let _ = match end {
            End::Closed => stream.shutdown(net::Shutdown::Both),
            End::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
        };
    }
}

/// Copies data in both directions until both streams have ended or one has failed.
async fn copy_both(client: &TcpStream, upstream: &TcpStream, faults: &LinkFaults) -> End {
    let forward = copy_direction(client, upstream, faults, true);
    let backward = copy_direction(upstream, client, faults, false);
    match future::try_zip(forward, backward).await {
        Ok(_) => End::Closed,
        Err(_) => End::Reset,
    }
}

/// Copies data in one direction until the end of the stream.
async fn copy_direction(
    mut from: &TcpStream,
    mut to: &TcpStream,
    faults: &LinkFaults,
    is_forward: bool,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    let is_blocked = || match is_forward {
        true => faults.forward_blocked.load(atomic::Ordering::SeqCst),
        false => faults.backward_blocked.load(atomic::Ordering::SeqCst),
    };
    loop {
        let n = from.read(&mut buf).await?;
        let delay = faults.delay_ms.load(atomic::Ordering::SeqCst);
        task::sleep(Duration::from_millis(delay)).await;
        while is_blocked() {
            task::sleep(BLOCK_POLL_INTERVAL).await;
        }
        if n == 0 {
            // Fails if the connection has ended already.
            let _ = to.shutdown(net::Shutdown::Write);
            return Ok(());
        }
        to.write_all(&buf[..n]).await?;
    }
}
