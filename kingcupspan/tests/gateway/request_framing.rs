//! Framing of requests that arrive in pieces of any size.

use kingcupspan::http::{
    framing::{Framing, MalformedChunk, Step},
    head::{self, HeadError},
};
use proptest::prelude::*;

/// Number of random cases.
const CASES: u32 = 500;

/// What remains of a body after all its bytes have arrived.
#[derive(Debug, PartialEq, Eq)]
enum Parsed {
    /// The body, and the bytes behind it.
    Complete(Vec<u8>, Vec<u8>),

    /// The body as far as it arrived.
    Incomplete(Vec<u8>),
    Malformed,
}

/// Parses a body that arrives in pieces.
fn parse(mut framing: Framing, pieces: &[&[u8]]) -> Parsed {
    let mut buf = Vec::new();
    let mut body = Vec::new();
    for (i, piece) in pieces.iter().enumerate() {
        buf.extend_from_slice(piece);
        match drain(&mut framing, &mut buf, &mut body) {
            Err(MalformedChunk) => return Parsed::Malformed,
            Ok(true) => {
                let later = pieces[i + 1..].concat();
                return Parsed::Complete(body, [buf, later].concat());
            }
            Ok(false) => {}
        }
    }
    Parsed::Incomplete(body)
}

/// Moves body bytes out of the buffer; true at the end of the body.
fn drain(
    framing: &mut Framing,
    buf: &mut Vec<u8>,
    body: &mut Vec<u8>,
) -> Result<bool, MalformedChunk> {
    loop {
        match framing.step(buf)? {
            Step::Data { skip, data } => {
                body.extend_from_slice(&buf[skip..skip + data]);
                buf.drain(..skip + data);
            }
            Step::NeedMore { skip } => {
                buf.drain(..skip);
                return Ok(false);
            }
            Step::End { skip } => {
                buf.drain(..skip);
                return Ok(true);
            }
        }
    }
}

/// Splits bytes at random places.
fn cut<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    places.windows(2).map(|w| &bytes[w[0]..w[1]]).collect()
}

/// Encodes chunks, each with an extension if its size is even.
fn encode(chunks: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in chunks.iter().filter(|c| !c.is_empty()) {
        let extension = if chunk.len() % 2 == 0 { " ;x=1" } else { "" };
        bytes.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nTrailer: 1\r\n\r\n");
    bytes
}

fn chunks() -> impl Strategy<Value = Vec<Vec<u8>>> {
    proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 0..8)
}

fn cuts() -> impl Strategy<Value = Vec<usize>> {
    proptest::collection::vec(any::<usize>(), 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(CASES)
    })]

    // Guards against a body that depends on how it was cut on its way, or takes bytes of the next
    // request.
    #[test]
    fn chunked_body_does_not_depend_on_cuts(chunks in chunks(), cuts in cuts(), next in "[A-Z]{0,9}") {
        let bytes = [encode(&chunks), next.clone().into_bytes()].concat();
        let parsed = parse(Framing::chunked(), &cut(&bytes, &cuts));
        prop_assert_eq!(parsed, Parsed::Complete(chunks.concat(), next.into_bytes()));
    }

    // Guards against the same with a length.
    #[test]
    fn body_with_length_does_not_depend_on_cuts(body in ".{0,60}", cuts in cuts(), next in "[A-Z]{0,9}") {
        let framing = Framing::Length(body.len() as u64);
        let bytes = format!("{body}{next}").into_bytes();
        let mut parsed = parse(framing, &cut(&bytes, &cuts));
        if body.is_empty() && bytes.is_empty() {
            // Nothing ever arrives that would be looked at.
            parsed = Parsed::Complete(Vec::new(), Vec::new());
        }
        prop_assert_eq!(parsed, Parsed::Complete(body.into_bytes(), next.into_bytes()));
    }

    // Guards against bytes that are taken for a body in some cuts and for none in others, and
    // against a panic.
    #[test]
    fn any_bytes_mean_the_same_in_any_cuts(
        chunks in chunks(),
        damage in proptest::collection::vec((any::<usize>(), any::<u8>()), 0..4),
        cuts in cuts(),
    ) {
        let mut bytes = encode(&chunks);
        for (at, byte) in damage {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        let whole = parse(Framing::chunked(), &[&bytes]);
        let in_pieces = parse(Framing::chunked(), &cut(&bytes, &cuts));
        let by_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
        prop_assert_eq!(&whole, &in_pieces);
        prop_assert_eq!(&whole, &parse(Framing::chunked(), &by_bytes));
    }

    // Guards against a head that is taken for complete before its end, or differs when it is.
    #[test]
    fn head_is_incomplete_until_its_end(value in "[ -~]{0,40}", length in 0..100u32, cut in any::<usize>()) {
        let text = format!("POST /a?b HTTP/1.1\r\nHost: h\r\nX: {value}\r\nContent-Length: {length}\r\n\r\n");
        let bytes = text.as_bytes();
        let early = head::parse_request(&bytes[..cut % bytes.len()]);
        prop_assert_eq!(early, Ok::<_, HeadError>(None));
        let found = head::parse_request(&[bytes, b"body"].concat());
        let (head, len) = found.expect("the head is valid").expect("it is complete");
        prop_assert_eq!(len, bytes.len());
        prop_assert_eq!(head.framing, Framing::Length(u64::from(length)));
    }
}
