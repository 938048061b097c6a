//! A relay in the way of a connection: it can be cut in one or both directions,
//! delayed and reset.

use std::{
    io, net,
    sync::{Arc, atomic},
    time::Duration,
};

use async_std::{net::TcpListener, net::TcpStream, task};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use parking_lot::Mutex;

/// Pause between looks at whether a cut has ended.
const BLOCK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes relayed at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Which directions are cut.
#[derive(Debug, Default)]
pub struct LinkFaults {
    /// Towards the target.
    pub forward_blocked: atomic::AtomicBool,

    /// Back from the target.
    pub backward_blocked: atomic::AtomicBool,

    /// Added to each piece, in milliseconds.
    pub delay_ms: atomic::AtomicU64,

    open_connections: Mutex<Vec<TcpStream>>,
}

impl LinkFaults {
    /// Cuts or mends both directions.
    pub fn set_blocked(&self, blocked: bool) {
        self.set_blocked_directions(blocked, blocked);
    }

    /// Delays each piece that passes.
    pub fn set_delay(&self, delay: Duration) {
        let ms = delay.as_millis() as u64;
        self.delay_ms.store(ms, atomic::Ordering::SeqCst);
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for stream in self.open_connections.lock().drain(..) {
            // One that is closed already needs nothing.
            let _ = stream.shutdown(net::Shutdown::Both);
        }
    }

    /// Cuts or mends each direction.
    pub fn set_blocked_directions(&self, forward: bool, back: bool) {
        self.forward_blocked
            .store(forward, atomic::Ordering::SeqCst);
        self.backward_blocked.store(back, atomic::Ordering::SeqCst);
    }
}

/// A running relay.
pub struct Relay {
    /// Where it listens.
    pub addr: net::SocketAddr,

    /// What it cuts.
    pub link_faults: Arc<LinkFaults>,
}

/// Starts a relay to `target`.
pub async fn start(listen: net::SocketAddr, target: net::SocketAddr) -> io::Result<Relay> {
    start_with(listen, target, Arc::default()).await
}

/// Starts a relay that shares its cut with others.
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

async fn relay(client: TcpStream, target: net::SocketAddr, link_faults: Arc<LinkFaults>) {
    // Packets of a cut connection are lost, so it is not even opened.
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
    let forward = pump(
        client.clone(),
        upstream.clone(),
        Arc::clone(&link_faults),
        true,
    );
    let back = pump(upstream.clone(), client.clone(), link_faults, false);
    futures_lite::future::zip(forward, back).await;
}

async fn pump(mut from: TcpStream, mut to: TcpStream, link_faults: Arc<LinkFaults>, forward: bool) {
    let mut buf = vec![0; BUFFER_BYTES];
    let is_blocked = || match forward {
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
