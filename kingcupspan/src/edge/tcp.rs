//! Socket options for connections to other processes.

use std::{io, time::Duration};

use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Process at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remote {
    /// A daemon or the platform's store.
    System,

    /// An endpoint, which may be silent for about a second and go on.
    Endpoint,
}

impl Remote {
    /// Time after which a connection fails if sent bytes or keepalive probes stay
    /// unacknowledged. A process behind a network partition sends neither acknowledgements nor a
    /// reset.
    pub const fn max_silence(self) -> Duration {
        match self {
            Self::System => Duration::from_millis(600),
            // After a silence the next retransmission is acknowledged, which comes with a delay.
            Self::Endpoint => Duration::from_millis(2_000),
        }
    }
}

/// Configures a connection to detect an unresponsive process and to send small writes immediately.
pub fn set_options(stream: &TcpStream, remote: Remote) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(remote.max_silence()))
}
