//! Tests of the connections that a daemon opens to endpoints for others, and of how they end.

use std::{io, net, time::Duration};

use async_std::{
    future,
    net::{TcpListener, TcpStream},
};
use futures_lite::AsyncWriteExt;
use kingcupspan::http::{
    conn::{Conn, ReadError},
    framed,
    framing::Framing,
};
use kingcupspan_platform::headers::HeaderLookup;
use kingcupspan_platform_standin::endpoint::{BodyEnd, EndpointBehavior};

use crate::fleet::Fleet;

/// Port at which daemons open connections for others.
const TUNNEL_PORT: u16 = 7381;

/// Header of daemons that want the end of what an endpoint sends to be marked.
const FRAMED: &str = "X-Tunnel-Framing: chunked\r\n";

/// Longest wait for the end of a connection.
const END_TIMEOUT: Duration = Duration::from_secs(2);

/// Request to the first endpoint of the service.
const REQUEST: &str = "POST /unsafe/ HTTP/1.1\r\nHost: test.example\r\nKingcupspan-Request-Id: t\r\n\
                       Kingcupspan-Target-Instance: p1\r\nContent-Length: 0\r\n\r\n";

/// Starts a daemon whose endpoints send bodies without a length.
async fn start(name: &str, end: BodyEnd) -> Fleet {
    let fleet = Fleet::start(name, 1, 2_000).await;
    let is_stream = false;
    let behavior = EndpointBehavior::WithoutLength { is_stream, end };
    fleet.service_endpoints[0].set_behavior(behavior);
    fleet
}

/// Opens a connection to the first endpoint through a daemon and sends a request on it.
async fn open(fleet: &Fleet, headers: &str) -> io::Result<Conn> {
    let addr = net::SocketAddr::new(fleet.addresses[0].into(), TUNNEL_PORT);
    let mut conn = Conn::new(TcpStream::connect(addr).await?);
    let request = format!("CONNECT p1 HTTP/1.1\r\nHost: p1\r\n{headers}\r\n");
    conn.write(request.as_bytes()).await?;
    let head = conn.response_head("CONNECT").await;
    let head = head.expect("the daemon opens the connection");
    assert_eq!(head.status, 200);
    let is_framed = head.headers.get("x-tunnel-framing") == Some("chunked");
    assert_eq!(is_framed, !headers.is_empty());
    if is_framed {
        conn.decode_chunks();
    }
    conn.write(REQUEST.as_bytes()).await?;
    Ok(conn)
}

/// Reads until the connection ends; returns what was read and how it ended.
async fn read_to_end(conn: &mut Conn) -> (String, Result<(), ReadError>) {
    let read = async {
        loop {
            match conn.fill().await {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(e) => return Err(e),
            }
        }
    };
    let end = future::timeout(END_TIMEOUT, read).await;
    let end = end.expect("the connection ends");
    (String::from_utf8_lossy(conn.unread()).into_owned(), end)
}

// Guards against a response of which a daemon of a former version gets a part, and which looks complete.
#[async_std::test]
async fn connection_without_framing_is_reset_when_its_daemon_is_killed() {
    let mut fleet = start("gateway-tunnel-reset", BodyEnd::Held).await;
    let mut conn = open(&fleet, "").await.expect("the daemon is up");
    while !String::from_utf8_lossy(conn.unread()).contains("done") {
        conn.fill().await.expect("the response begins");
    }
    fleet.daemons[0].kill();
    let (_, end) = read_to_end(&mut conn).await;
    assert!(end.is_err());
}

// Guards against daemons of former versions that get no whole response.
#[async_std::test]
async fn connection_without_framing_ends_like_that_of_the_endpoint() {
    let fleet = start("gateway-tunnel-bare", BodyEnd::Closed).await;
    let mut conn = open(&fleet, "").await.expect("the daemon is up");
    let (text, end) = read_to_end(&mut conn).await;
    assert!(text.ends_with("\r\n\r\ndone t\n"), "{text:?}");
    assert!(end.is_ok());
}

// Guards against an end that is not marked, or marked too early.
#[async_std::test]
async fn connection_with_framing_ends_in_order_only_like_that_of_the_endpoint() {
    for (end, is_in_order) in [(BodyEnd::Closed, true), (BodyEnd::Reset, false)] {
        let fleet = start("gateway-tunnel-framed", end).await;
        let mut conn = open(&fleet, FRAMED).await.expect("the daemon is up");
        let (text, ended) = read_to_end(&mut conn).await;
        assert_eq!(text.ends_with("\r\n\r\ndone t\n"), is_in_order, "{text:?}");
        assert_eq!(ended.is_ok(), is_in_order, "{ended:?}");
    }
}

// Guards against the end of the daemon's process that passes for that of the endpoint.
#[async_std::test]
async fn connection_with_framing_has_no_end_in_order_if_its_daemon_is_killed() {
    let mut fleet = start("gateway-tunnel-killed", BodyEnd::Held).await;
    let mut conn = open(&fleet, FRAMED).await.expect("the daemon is up");
    while !String::from_utf8_lossy(conn.unread()).contains("done") {
        conn.fill().await.expect("the response begins");
    }
    fleet.daemons[0].kill();
    let (_, end) = read_to_end(&mut conn).await;
    assert!(end.is_err());
}

/// Sends `bytes` in pieces of two sizes and closes the connection in order; returns what is read.
async fn decode(bytes: &[u8], sizes: [usize; 2]) -> io::Result<(Vec<u8>, bool)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut sender = TcpStream::connect(listener.local_addr()?).await?;
    let (receiver, _) = listener.accept().await?;
    let mut conn = Conn::new(receiver);
    conn.decode_chunks();
    let mut rest = bytes;
    for size in sizes.iter().cycle() {
        let (piece, later) = rest.split_at(rest.len().min(*size));
        if piece.is_empty() {
            break;
        }
        sender.write_all(piece).await?;
        rest = later;
    }
    drop(sender);
    let mut end = conn.fill().await;
    while matches!(end, Ok(n) if n > 0) {
        end = conn.fill().await;
    }
    Ok((conn.unread().to_vec(), end.is_ok()))
}

// Guards against a part that passes for the whole, wherever it is cut.
#[async_std::test]
async fn framed_bytes_are_whole_only_with_their_last_chunk() -> io::Result<()> {
    let data: Vec<u8> = (0..600_u32).map(|n| (n * 7 % 251) as u8).collect();
    let mut bytes = Vec::new();
    let mut chunk = Vec::new();
    for piece in data.chunks(97) {
        framed::encode(piece, &mut chunk);
        bytes.extend_from_slice(&chunk);
    }
    bytes.extend_from_slice(framed::LAST_CHUNK);
    for cut in (0..bytes.len()).step_by(13).chain([bytes.len() - 1]) {
        let (read, is_whole) = decode(&bytes[..cut], [50, 7]).await?;
        assert!(!is_whole && data.starts_with(&read), "cut at {cut}");
    }
    let (read, is_whole) = decode(&bytes, [64, 1]).await?;
    assert!(is_whole);
    assert_eq!(read, data);
    Ok(())
}

// Guards against connections that are used by others for the bytes that follow.
#[async_std::test]
async fn connection_with_bytes_behind_a_chunk_is_not_idle() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut sender = TcpStream::connect(listener.local_addr()?).await?;
    let (receiver, _) = listener.accept().await?;
    let mut conn = Conn::new(receiver);
    conn.decode_chunks();
    sender.write_all(b"2\r\nab\r\n3\r\nx").await?;
    let chunk = conn.read_body_chunk(&mut Framing::Length(2)).await;
    assert_eq!(chunk.ok().flatten().as_deref(), Some(&b"ab"[..]));
    assert!(conn.unread().is_empty() && !conn.is_idle().await);
    Ok(())
}
