//! Options of connections to other processes.

use std::{io, time::Duration};

use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// How long sent bytes may stay unacknowledged before the connection is given up:
/// a peer behind a network partition neither answers nor resets.
const USER_TIMEOUT: Duration = Duration::from_millis(600);

/// Silence after which a connection is probed, and the pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Makes a connection notice a silent peer and send small writes at once.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
