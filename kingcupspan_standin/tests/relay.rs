//! Tests of the relay's connections.

use std::{io, net, time::Duration};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use kingcupspan_standin::relay::{self, Relay};
use socket2::SockRef;

/// Part of a message that is sent before a connection ends.
const PART: &[u8] = b"part";

/// Time after which data and resets have passed the relay.
const PASSING_TIME: Duration = Duration::from_millis(100);

/// Address with a port that the system selects.
const ANY_ADDR: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Opens a connection through a relay, over which the target has sent a part of a message; returns
/// the relay and both ends.
async fn connect() -> io::Result<(Relay, TcpStream, TcpStream)> {
    let listener = TcpListener::bind(ANY_ADDR).await?;
    let relay = relay::start(ANY_ADDR, listener.local_addr()?).await?;
    let client = TcpStream::connect(relay.addr).await?;
    let (mut target, _) = listener.accept().await?;
    target.write_all(PART).await?;
    Ok((relay, client, target))
}

/// Reads until the end of the stream; the error is that of the end.
async fn read(mut client: TcpStream) -> (Vec<u8>, Result<(), io::ErrorKind>) {
    let mut bytes = Vec::new();
    let end = client.read_to_end(&mut bytes).await;
    (bytes, end.map(|_| ()).map_err(|e| e.kind()))
}

// Guards against a message that the relay makes look complete.
#[async_std::test]
async fn reset_of_the_target_reaches_the_client_as_a_reset() -> io::Result<()> {
    let (_relay, client, target) = connect().await?;
    let reading = task::spawn(read(client));
    task::sleep(PASSING_TIME).await;
    SockRef::from(&target).set_linger(Some(Duration::ZERO))?;
    drop(target);
    let end = Err(io::ErrorKind::ConnectionReset);
    assert_eq!(reading.await, (PART.to_vec(), end));
    Ok(())
}

// Guards against ends in order that become resets.
#[async_std::test]
async fn end_of_the_target_reaches_the_client_in_order() -> io::Result<()> {
    let (_relay, client, target) = connect().await?;
    drop(target);
    assert_eq!(read(client).await, (PART.to_vec(), Ok(())));
    Ok(())
}

// Guards against cut links that look like ends in order.
#[async_std::test]
async fn cut_link_resets_connections_and_refuses_new_ones() -> io::Result<()> {
    let (relay, client, _target) = connect().await?;
    let reading = task::spawn(read(client));
    task::sleep(PASSING_TIME).await;
    relay.link_faults.set_refuses(true);
    relay.link_faults.reset_connections();
    let end = Err(io::ErrorKind::ConnectionReset);
    assert_eq!(reading.await, (PART.to_vec(), end));
    task::sleep(PASSING_TIME).await;
    let refused = TcpStream::connect(relay.addr).await;
    let refused = refused.map(|_| ()).map_err(|e| e.kind());
    assert_eq!(refused, Err(io::ErrorKind::ConnectionRefused));
    relay.link_faults.set_refuses(false);
    task::sleep(PASSING_TIME).await;
    TcpStream::connect(relay.addr).await?;
    Ok(())
}
