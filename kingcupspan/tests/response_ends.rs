//! Responses of other processes whose connection ends before they do, or that have no length.

use std::time::Duration;

use async_std::{
    future,
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::Method;
use kingcupspan::edge::client::{Client, ClientRequest, SendError};

/// Time within which each exchange ends.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Largest body of a response, in bytes.
const RESPONSE_MAX_BYTES: usize = 1_000;

/// Reads the head of a request.
async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.expect("the head ends");
        head.push(byte[0]);
    }
}

/// Answers the first request with `first` and ends its connection, if `ends`; answers any further
/// one in order. Returns the body of the first response and that of the second.
async fn receive(first: &'static str, ends: bool) -> [Result<Vec<u8>, SendError>; 2] {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    let serving = task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("it accepts");
        read_head(&mut stream).await;
        stream.write_all(first.as_bytes()).await.expect("it sends");
        let former = (!ends).then_some(stream);
        let (mut stream, _) = listener.accept().await.expect("it accepts");
        read_head(&mut stream).await;
        let next = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";
        stream.write_all(next).await.expect("it sends");
        drop(former);
    });
    let client = Client::default();
    let mut bodies = Vec::new();
    for _ in 0..2 {
        let request = ClientRequest::new(Method::Get, addr, "/");
        let body = async { client.send(request).await?.bytes(RESPONSE_MAX_BYTES).await };
        let body = future::timeout(TIMEOUT, body).await;
        bodies.push(body.unwrap_or(Err(SendError::TimedOut(addr, TIMEOUT))));
    }
    serving.cancel().await;
    bodies.try_into().expect("there are two")
}

// Guards against a part of a response that looks complete, and against its connection in use
// again.
#[async_std::test]
async fn response_without_its_end_is_lost() {
    let mut complete = Vec::new();
    for (first, ends) in [
        ("HTTP/1.1 200 OK\r\n\r\nhello", true),
        ("HTTP/1.1 200 OK\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\n\r\n", false),
        ("HTTP/1.1 100 Continue\r\n\r\n", false),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello",
            true,
        ),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            true,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
            true,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello",
            true,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            true,
        ),
    ] {
        let [body, next] = receive(first, ends).await;
        if !matches!(body, Err(SendError::Lost(..))) {
            complete.push(format!("{first:?}: {body:?}"));
        }
        if next != Ok(b"next".to_vec()) {
            complete.push(format!("after {first:?}: {next:?}"));
        }
    }
    assert!(complete.is_empty(), "{complete:#?}");
}

// Guards against responses that are refused though they have no body by their status.
#[async_std::test]
async fn response_without_a_body_needs_no_length() {
    for first in ["HTTP/1.1 204 None\r\n\r\n", "HTTP/1.1 304 Same\r\n\r\n"] {
        let [body, _] = receive(first, true).await;
        assert_eq!(body, Ok(Vec::new()), "{first:?}");
    }
}
