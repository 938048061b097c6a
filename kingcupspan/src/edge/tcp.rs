//! Socket options for connections to other processes.

use std::{io, time::Duration};

use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Time after which a connection fails if sent bytes stay unacknowledged. A peer behind a
/// network partition sends neither acknowledgements nor a reset.
const USER_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Configures a connection to detect an unresponsive peer and to send small writes immediately.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
