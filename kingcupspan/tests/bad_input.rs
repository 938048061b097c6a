//! Bad input gets a clear answer and the process keeps serving.

mod common;

use std::time::Duration;

use async_std::{future, net::TcpStream, task};
use common::{Fleet, FleetOptions, fleet::CALLER_KEY, requests::chat_must_succeed};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// How long an answer to bad input may take.
const ANSWER_MAX: Duration = Duration::from_secs(12);

async fn raw(fleet: &Fleet, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(fleet.caller_addrs()[0]).await.unwrap();
    // A refused request may be answered before it was sent to its end.
    let _ = stream.write_all(bytes).await;
    if close {
        stream.shutdown(std::net::Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    let read = async {
        loop {
            match stream.read(&mut buf).await {
                Ok(n) if n > 0 => answer.extend_from_slice(&buf[..n]),
                _ => break,
            }
            if String::from_utf8_lossy(&answer).contains('}') {
                break;
            }
        }
    };
    let _ = future::timeout(ANSWER_MAX, read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn summary(answer: &str) -> String {
    let status = answer.lines().next().unwrap_or("no answer").to_owned();
    let body = answer.find('{').map_or("", |at| &answer[at..]);
    format!("{status} | {body}")
}

#[test]
fn each_kind_of_bad_input_has_its_answer() {
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
            let answer = raw(&fleet, bytes.as_bytes(), close).await;
            answers.push(format!("{name}: {}", summary(&answer)));
        }
        insta::assert_snapshot!(answers.join("\n"));
        let mut program = program;
        chat_must_succeed(&caller, &mut program, "it still serves").await;
    });
}

#[test]
fn slow_sender_is_cut_off_and_others_are_served() {
    task::block_on(async {
        let mut options = FleetOptions::new("slow-sender");
        options.daemon_count = 1;
        let fleet = Fleet::start(options).await;
        let slow = request("POST", "/v1/programs", "", "{}")
            .replace("content-length: 2", "content-length: 9");
        let caller = fleet.caller();
        let answer = task::block_on(async {
            let sender = raw(&fleet, slow.as_bytes(), false);
            let serve = async {
                let mut program = caller.open("tests", None, None).await.unwrap();
                chat_must_succeed(&caller, &mut program, "meanwhile").await;
            };
            futures_lite::future::zip(sender, serve).await.0
        });
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    });
}
