//! Tests that malformed requests get an error response and do not affect other requests.

mod common;

use std::time::Duration;

use async_std::{future, net::TcpStream, task};
use common::{Fleet, FleetOptions, fleet::CALLER_KEY, requests::chat_must_succeed};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Maximum time to wait for the response to a malformed request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(12);

/// Sends raw bytes to a daemon and returns its response; `close` shuts down the write half after
/// sending.
async fn send_raw(fleet: &Fleet, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(fleet.caller_addrs()[0]).await.unwrap();
    // The daemon may reject the request and close the connection before all bytes are sent.
    let _ = stream.write_all(bytes).await;
    if close {
        stream.shutdown(std::net::Shutdown::Write).unwrap();
    }
    let mut response = Vec::new();
    let mut buf = [0; 4096];
    let read = async {
        loop {
            match stream.read(&mut buf).await {
                Ok(n) if n > 0 => response.extend_from_slice(&buf[..n]),
                _ => break,
            }
            if String::from_utf8_lossy(&response).contains('}') {
                break;
            }
        }
    };
    let _ = future::timeout(RESPONSE_TIMEOUT, read).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Builds a request with a valid key and a content length.
fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the status line and the JSON body of a response.
fn summary(response: &str) -> String {
    let status = response.lines().next().unwrap_or("no response").to_owned();
    let body = response.find('{').map_or("", |start| &response[start..]);
    format!("{status} | {body}")
}

#[test]
fn bad_input_is_rejected_with_a_problem() {
    task::block_on(async {
        let mut options = FleetOptions::new("bad-input");
        options.daemon_count = 1;
        options.limits = serde_json::json!({"body_bytes": 2000, "order_wait_ms": 200});
        let fleet = Fleet::start(options).await;
        let caller = fleet.caller();
        let program = caller.open("tests", None, None).await.unwrap();
        let id = program.id.to_string();
        let turn = |n: &str| format!("program-id: {id}\r\nturn: {n}\r\n");
        let chat = "{\"model\":\"model\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
        let long = "x".repeat(3_000);
        let cases: Vec<(&str, String, bool)> = vec![
            (
                "no key",
                "GET /v1/programs/x HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(),
                false,
            ),
            (
                "wrong key",
                "GET / HTTP/1.1\r\nhost: x\r\nauthorization: Bearer no\r\n\r\n".to_owned(),
                false,
            ),
            ("unknown path", request("GET", "/v2/x", "", ""), false),
            (
                "unknown program",
                request("GET", "/v1/programs/p0000-00", "", ""),
                false,
            ),
            (
                "malformed json",
                request("POST", "/v1/programs", "", "{\"workspace\":"),
                false,
            ),
            (
                "unknown field",
                request(
                    "POST",
                    "/v1/programs",
                    "",
                    "{\"workspace\":\"tests\",\"x\":1}",
                ),
                false,
            ),
            (
                "closed workspace",
                request("POST", "/v1/programs", "", "{\"workspace\":\"other\"}"),
                false,
            ),
            (
                "no program",
                request("POST", "/v1/chat/completions", "", chat),
                false,
            ),
            (
                "bad turn",
                request("POST", "/v1/chat/completions", &turn("-1"), chat),
                false,
            ),
            (
                "turn ahead",
                request("POST", "/v1/chat/completions", &turn("7"), chat),
                false,
            ),
            (
                "no messages",
                request(
                    "POST",
                    "/v1/chat/completions",
                    &turn("0"),
                    "{\"model\":\"model\",\"messages\":[]}",
                ),
                false,
            ),
            (
                "odd message",
                request(
                    "POST",
                    "/v1/chat/completions",
                    &turn("0"),
                    "{\"model\":\"model\",\"messages\":[1]}",
                ),
                false,
            ),
            (
                "no such operation",
                request("POST", "/v1/services/ledger/burn", &turn("0"), ""),
                false,
            ),
            (
                "no idempotency key",
                request("POST", "/v1/services/ledger/charges", &turn("0"), ""),
                false,
            ),
            (
                "oversized body",
                request("POST", "/v1/programs", "", &long),
                false,
            ),
            (
                "oversized head",
                format!(
                    "GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n",
                    "y".repeat(9_000)
                ),
                false,
            ),
            (
                "body cut short",
                request("POST", "/v1/programs", "", "{\"workspace\"")
                    .replace("content-length: 12", "content-length: 40"),
                true,
            ),
            ("not http", "hello\r\n\r\n".to_owned(), true),
            (
                "bad version",
                "GET / HTTP/9.9\r\nhost: x\r\n\r\n".to_owned(),
                true,
            ),
            ("no host", "GET / HTTP/1.1\r\n\r\n".to_owned(), true),
            (
                "header not ascii",
                request("GET", "/v1/programs/x", "x-name: p\u{e9}n\r\n", ""),
                false,
            ),
        ];
        let mut answers = Vec::new();
        for (name, bytes, close) in cases {
            let response = send_raw(&fleet, bytes.as_bytes(), close).await;
            answers.push(format!("{name}: {}", summary(&response)));
        }
        insta::assert_snapshot!(answers.join("\n"));
        let mut program = program;
        chat_must_succeed(&caller, &mut program, "it still serves").await;
    });
}

#[test]
fn slow_request_times_out_while_others_are_served() {
    task::block_on(async {
        let mut options = FleetOptions::new("slow-sender");
        options.daemon_count = 1;
        let fleet = Fleet::start(options).await;
        let incomplete = request("POST", "/v1/programs", "", "{}")
            .replace("content-length: 2", "content-length: 9");
        let caller = fleet.caller();
        let response = task::block_on(async {
            let slow_request = send_raw(&fleet, incomplete.as_bytes(), false);
            let other_request = async {
                let mut program = caller.open("tests", None, None).await.unwrap();
                chat_must_succeed(&caller, &mut program, "meanwhile").await;
            };
            futures_lite::future::zip(slow_request, other_request)
                .await
                .0
        });
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    });
}
