//! Tests of parsing the heads and framing the bodies of HTTP/1.1 messages.

use async_std::net::{TcpListener, TcpStream};
use kingcupspan::http::{
    conn::{Conn, ReadError},
    framing::{Framing, Step},
    head::{self, HeadError},
};
use kingcupspan_platform::headers::HeaderLookup;
use proptest::prelude::*;

/// Parses a complete request head.
fn request(text: &str) -> Result<head::RequestHead, HeadError> {
    head::parse_request(text.as_bytes()).map(|parsed| parsed.expect("the head is complete").0)
}

#[test]
fn request_target_is_preserved_verbatim() {
    let target = r#"/a/%7Eb/./c?x=%zz&y='"{}"#;
    let head = request(&format!(
        "GET {target} HTTP/1.1\r\nHost: h.example:80\r\n\r\n"
    ))
    .unwrap();
    assert_eq!(head.target, target);
    assert_eq!(head.host_and_path(), Some(("h.example", "/a/%7Eb/./c")));
}

#[test]
fn non_ascii_header_values_are_preserved() {
    let mut bytes = b"GET / HTTP/1.1\r\nHost: h\r\nX: ".to_vec();
    bytes.extend([0xc3, 0xa4, 0xff]);
    bytes.extend(b"\r\n\r\n");
    let (head, len) = head::parse_request(&bytes).unwrap().unwrap();
    assert_eq!(len, bytes.len());
    assert_eq!(head.headers.all("x").next(), Some(&[0xc3, 0xa4, 0xff][..]));
}

#[test]
fn request_head_of_16_kb_is_parsed() {
    let value = "v".repeat(16_000);
    let head = request(&format!("GET / HTTP/1.1\r\nHost: h\r\nX: {value}\r\n\r\n")).unwrap();
    assert_eq!(head.headers.get("x"), Some(value.as_str()));
}

#[test]
fn ambiguous_body_length_is_rejected() {
    let parse_with =
        |headers: &str| request(&format!("POST / HTTP/1.1\r\nHost: h\r\n{headers}\r\n\r\n"));
    for headers in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
    ] {
        assert!(parse_with(headers).is_err(), "{headers}");
    }
    let equal = parse_with("Content-Length: 3\r\nContent-Length: 3").unwrap();
    assert_eq!(equal.framing, Framing::Length(3));
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let head = request(
        "POST / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\
         Keep-Alive: timeout=5\r\nTE: trailers\r\nContent-Length: 0\r\nX-End: 2\r\n\r\n",
    )
    .unwrap();
    let names: Vec<&str> = head.headers.end_to_end().map(|(n, _)| n.as_str()).collect();
    assert_eq!(names, ["Host", "X-End"]);
}

#[test]
fn response_without_length_is_framed_until_close() {
    let parsed = head::parse_response(b"HTTP/1.1 200 OK\r\n\r\nabc", "GET");
    let (head, _) = parsed.unwrap().unwrap();
    assert_eq!(head.framing, Framing::UntilClose);
    assert!(!head.is_keep_alive);
}

/// Decodes a body that arrives in the given pieces; returns `None` if the body is incomplete.
fn decode_body(mut framing: Framing, pieces: &[&[u8]]) -> Result<Option<Vec<u8>>, ()> {
    let mut buf = Vec::new();
    let mut body = Vec::new();
    for piece in pieces {
        buf.extend_from_slice(piece);
        loop {
            match framing.step(&buf).map_err(|_| ())? {
                Step::End { .. } => return Ok(Some(body)),
                Step::NeedMore { skip } => {
                    buf.drain(..skip);
                    break;
                }
                Step::Data { skip, data } => {
                    body.extend_from_slice(&buf[skip..skip + data]);
                    buf.drain(..skip + data);
                }
            }
        }
    }
    Ok(framing.is_done().then_some(body))
}

#[test]
fn truncated_body_is_incomplete() {
    assert_eq!(decode_body(Framing::Length(4), &[b"abc"]), Ok(None));
    assert_eq!(
        decode_body(Framing::chunked(), &[b"3\r\nabc\r\n"]),
        Ok(None)
    );
    assert_eq!(
        decode_body(Framing::chunked(), &[b"3\r\nabc\r\n0\r\n"]),
        Ok(None)
    );
    let complete = decode_body(Framing::chunked(), &[b"3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n"]);
    assert_eq!(complete, Ok(Some(b"abc".to_vec())));
}

// Guards against a part of a message that is taken for the whole, since its connection ended.
#[async_std::test]
async fn end_of_the_connection_completes_no_message() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (peer, _) = listener.accept().await.unwrap();
    Conn::new(peer).write(b"a part").await.unwrap();
    let mut conn = Conn::new(stream.unwrap());
    let body = conn.body(&mut Framing::UntilClose, 100).await;
    assert!(matches!(body, Err(ReadError::UnexpectedEof)), "{body:?}");
}

#[test]
fn malformed_chunks_are_rejected() {
    for body in [
        "x\r\n",
        "\r\n",
        "3\nabc\r\n",
        "3\r\nabcd\r\n",
        "-1\r\n",
        "ffffffffffffffffff\r\n",
    ] {
        assert_eq!(
            decode_body(Framing::chunked(), &[body.as_bytes()]),
            Err(()),
            "{body:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn chunked_body_is_decoded_from_pieces_of_any_size(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..6),
        size in 1usize..17,
    ) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend(format!("{:X}\r\n", chunk.len()).into_bytes());
            wire.extend(chunk);
            wire.extend(b"\r\n");
        }
        wire.extend(b"0\r\n\r\n");
        let pieces: Vec<&[u8]> = wire.chunks(size).collect();
        prop_assert_eq!(decode_body(Framing::chunked(), &pieces), Ok(Some(chunks.concat())));
        let without_end: Vec<&[u8]> = wire[..wire.len() - 1].chunks(size).collect();
        prop_assert_eq!(decode_body(Framing::chunked(), &without_end), Ok(None));
    }

    #[test]
    fn arbitrary_input_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), size in 1usize..9) {
        let pieces: Vec<&[u8]> = bytes.chunks(size).collect();
        let _ = decode_body(Framing::chunked(), &pieces);
        let _ = head::parse_request(&bytes);
        let _ = head::parse_response(&bytes, "GET");
    }
}
