//! Ends of responses as callers find them that know no chunks, or that expect no body.

use std::{net, time::Duration};

use async_std::{future, net::TcpStream, task};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use kingcupspan_platform_standin::endpoint::EndpointBehavior;

use crate::fleet::Fleet;

/// Size of a body that is forwarded in pieces, in bytes.
const LARGE_BODY_BYTES: usize = 400_000;

/// Time within which a daemon closes a connection that it is told to close.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Encodes a request with a body of one byte, or with none if it is HEAD.
fn request(line: &str, id: &str, headers: &str) -> String {
    let body = if line.starts_with("HEAD") { "" } else { "x" };
    format!(
        "{line}\r\nHost: test.example\r\nKingcupspan-Request-Id: {id}\r\n\
         Kingcupspan-Program-Id: {id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends requests on one connection and returns what arrives until it is closed in order.
async fn exchange(addr: net::SocketAddr, requests: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("it connects");
    let sent = stream.write_all(requests.as_bytes()).await;
    sent.expect("the requests are sent");
    let mut responses = String::new();
    let read = future::timeout(TIMEOUT, stream.read_to_string(&mut responses)).await;
    let read = read.expect("the connection is closed");
    read.expect("the connection is closed in order");
    responses
}

// Guards against a body that has no end for a caller that knows no chunks, since its connection
// stays open.
#[async_std::test]
async fn connection_of_an_http10_caller_is_closed_after_its_response() {
    let fleet = Fleet::start("gateway-http10-keep-alive", 1, 3_000).await;
    let large = EndpointBehavior::Large(LARGE_BODY_BYTES);
    let plain = fleet.service_endpoints.iter();
    plain.for_each(|e| e.set_behavior(large));
    let keep_alive = "Connection: keep-alive\r\n";
    for line in ["POST /unsafe/x HTTP/1.0", "POST /none/x HTTP/1.0"] {
        let response = exchange(fleet.caller_addr(0), &request(line, "k1", keep_alive)).await;
        let (head, body) = response.split_once("\r\n\r\n").expect("the head ends");
        assert!(head.contains("Connection: close"), "{head}");
        if line.contains("unsafe") {
            assert_eq!(body.len(), LARGE_BODY_BYTES);
        }
    }
}

// Guards against an interim response that a caller which knows none takes for its response.
#[async_std::test]
async fn http10_caller_gets_no_interim_response() {
    let fleet = Fleet::start("gateway-http10-interim", 1, 3_000).await;
    let expect = "Expect: 100-continue\r\nConnection: close\r\n";
    for (version, interim_responses) in [("1.0", 0), ("1.1", 1)] {
        let line = format!("POST /unsafe/x HTTP/{version}");
        let request = request(&line, &format!("i{interim_responses}"), expect);
        let mut stream = TcpStream::connect(fleet.caller_addr(0)).await.unwrap();
        let (head, body) = request.split_at(request.len() - 1);
        stream.write_all(head.as_bytes()).await.unwrap();
        task::sleep(Duration::from_millis(200)).await;
        stream.write_all(body.as_bytes()).await.unwrap();
        let mut response = String::new();
        let read = future::timeout(TIMEOUT, stream.read_to_string(&mut response)).await;
        read.expect("the connection is closed").unwrap();
        let interim = response.matches("HTTP/1.1 100 Continue\r\n\r\n").count();
        assert_eq!(interim, interim_responses, "{version}: {response}");
        assert!(response.contains("HTTP/1.1 200 OK"), "{response}");
    }
}

// Guards against bytes behind a response without a body, which its caller takes for the start of
// the next response.
#[async_std::test]
async fn nothing_follows_a_response_without_a_body() {
    let fleet = Fleet::start("gateway-bodiless", 1, 3_000).await;
    let cases = [
        ("HEAD /llm/x HTTP/1.1", 200),
        ("HEAD /unsafe/x HTTP/1.1", 200),
        ("POST /llm/x HTTP/1.1", 204),
        ("POST /unsafe/x HTTP/1.1", 204),
        ("POST /llm/x HTTP/1.1", 304),
        ("POST /unsafe/x HTTP/1.1", 304),
    ];
    let mut wrong = Vec::new();
    for (i, (line, status)) in cases.into_iter().enumerate() {
        let endpoints = fleet.service_endpoints.iter().chain([&fleet.engine]);
        endpoints.for_each(|e| e.set_behavior(EndpointBehavior::OddStatus(status)));
        let first = request(line, &format!("f{i}"), "");
        let last = request("GET /none/x HTTP/1.1", "last", "Connection: close\r\n");
        let responses = exchange(fleet.caller_addr(0), &(first + &last)).await;
        let (head, rest) = responses.split_once("\r\n\r\n").expect("the head ends");
        let head = head.to_ascii_lowercase();
        let is_bodiless = head.starts_with(&format!("http/1.1 {status} "))
            && !head.contains("\r\ntransfer-encoding:")
            && !head.contains("\r\ncontent-length:");
        if !is_bodiless || !rest.starts_with("HTTP/1.1 404 ") {
            wrong.push(format!("{line} {status}: {responses}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
