//! Requests whose connection ends before they do, or whose body is refused.

use std::{net, sync::Arc, time::Duration};

use async_std::{future, net::TcpStream, task};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::Response;
use kingcupspan::edge::server::{self, Exchange, RequestTracker};

/// Time within which each exchange ends.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Largest body of a request, in bytes.
const REQUEST_MAX_BYTES: u64 = 100_000;

/// Time within which a request body arrives.
const BODY_TIMEOUT: Duration = Duration::from_millis(300);

/// Any free port.
fn any_port() -> net::SocketAddr {
    net::SocketAddr::new(net::Ipv4Addr::LOCALHOST.into(), 0)
}

/// Answers 200 to a request whose body is read, and the problem to any other.
async fn respond(mut ex: Exchange) -> Response {
    match ex.body(REQUEST_MAX_BYTES, BODY_TIMEOUT).await {
        Ok(_) => Response::new(200),
        Err(_) => Response::new(400),
    }
}

/// Sends bytes to a server; returns whether it closes the connection, and what arrives until then.
async fn send(bytes: &str, ends: bool) -> String {
    let listener = server::bind(any_port()).await.expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    let tracker = Arc::new(RequestTracker::default());
    let serving = task::spawn(server::serve(listener, tracker, respond));
    let mut stream = TcpStream::connect(addr).await.expect("the server listens");
    stream
        .write_all(bytes.as_bytes())
        .await
        .expect("it is sent");
    if ends {
        stream.shutdown(net::Shutdown::Write).expect("it is open");
    }
    let mut response = Vec::new();
    let read = future::timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
    // Bytes that the server does not read may reset the connection behind its response.
    let state = read.map_or("open", |_| "closed");
    serving.cancel().await;
    format!("{state}: {}", String::from_utf8_lossy(&response))
}

// Guards against a part of a request that is taken for all of it, and against callers that use a
// connection again that is closed behind a refused body.
#[async_std::test]
async fn request_without_its_end_is_refused_and_its_connection_closed() {
    let mut accepted = Vec::new();
    for (headers, body, ends) in [
        ("Content-Length: 9", "hello".to_owned(), true),
        ("Content-Length: 9", "hello".to_owned(), false),
        ("Transfer-Encoding: chunked", "5\r\nhel".to_owned(), true),
        (
            "Transfer-Encoding: chunked",
            "5\r\nhello\r\n".to_owned(),
            true,
        ),
        (
            "Transfer-Encoding: chunked",
            "5\r\nhelloX\r\n0\r\n\r\n".to_owned(),
            false,
        ),
        (
            "Transfer-Encoding: gzip, chunked",
            "0\r\n\r\n".to_owned(),
            false,
        ),
        ("Content-Length: 200000", "x".repeat(200_000), false),
    ] {
        let head = format!("POST / HTTP/1.1\r\nHost: h\r\n{headers}\r\n\r\n");
        let response = send(&(head + &body), ends).await;
        let is_refused = response.starts_with("closed: HTTP/1.1 400 ");
        let is_single = response.matches("HTTP/1.1 ").count() == 1;
        if !is_refused || !is_single || !response.contains("connection: close\r\n") {
            accepted.push(format!("{headers}, {} bytes: {response}", body.len()));
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}
