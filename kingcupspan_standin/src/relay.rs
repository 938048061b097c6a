//! A TCP relay that simulates network faults: it can block one or both directions,
//! delay data and close connections.

use std::{
    io, net,
    sync::{Arc, atomic},
    time::Duration,
};

use async_std::{net::TcpListener, net::TcpStream, task};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use parking_lot::Mutex;

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

    /// Both sockets of every connection opened since `close_connections` last ran.
    open_connections: Mutex<Vec<TcpStream>>,
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
        for stream in self.open_connections.lock().drain(..) {
            // Fails if the connection is already closed.
            let _ = stream.shutdown(net::Shutdown::Both);
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
    let shared = Arc::clone(&link_faults);
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(stream)) = incoming.next().await {
            task::spawn(relay(stream, target, Arc::clone(&shared)));
        }
    });
    Ok(Relay { addr, link_faults })
}

/// Relays one connection in both directions until it is closed.
async fn relay(client: TcpStream, target: net::SocketAddr, link_faults: Arc<LinkFaults>) {
    // A blocked link would also lose the handshake's packets, so the connection to
    // the target is not opened.
    while link_faults.forward_blocked.load(atomic::Ordering::SeqCst)
        || link_faults.backward_blocked.load(atomic::Ordering::SeqCst)
    {
        task::sleep(BLOCK_POLL_INTERVAL).await;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    link_faults
        .open_connections
        .lock()
        .extend([client.clone(), upstream.clone()]);
    let forward = copy_direction(
        client.clone(),
        upstream.clone(),
        Arc::clone(&link_faults),
        true,
    );
    let backward = copy_direction(upstream.clone(), client.clone(), link_faults, false);
    futures_lite::future::zip(forward, backward).await;
}

/// Copies data in one direction until the end of the stream.
async fn copy_direction(
    mut from: TcpStream,
    mut to: TcpStream,
    link_faults: Arc<LinkFaults>,
    is_forward: bool,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    let is_blocked = || match is_forward {
        true => link_faults.forward_blocked.load(atomic::Ordering::SeqCst),
        false => link_faults.backward_blocked.load(atomic::Ordering::SeqCst),
    };
    loop {
        let n = from.read(&mut buf).await.unwrap_or(0);
        let delay = link_faults.delay_ms.load(atomic::Ordering::SeqCst);
        task::sleep(Duration::from_millis(delay)).await;
        while is_blocked() {
            task::sleep(BLOCK_POLL_INTERVAL).await;
        }
        if n == 0 {
            break;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown(net::Shutdown::Write);
}
