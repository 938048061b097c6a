//! Passes an endpoint's answer on to the caller.

use kingcupspan_core::gateway::{events::Scanner, history::Turn};

use crate::{
    gateway::{
        exchange::{Exchange, Progress},
        upstream::EndpointResponse,
    },
    http::{conn::Conn, head::AnswerHead},
};

/// Largest answer that is read whole before it is passed on, in bytes.
const BUFFERED_MAX_BYTES: usize = 256 * 1024;

/// Largest body of a refusal that is read to keep the connection, in bytes.
const DISCARD_MAX_BYTES: usize = 64 * 1024;

/// End of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// An answer that was passed on but for its last bytes.
pub struct RelayedResponse {
    /// HTTP status.
    pub status: u16,

    /// What still has to be sent.
    pub final_bytes: Vec<u8>,

    /// The turn that must be kept before.
    pub turn: Option<Turn>,
}

/// Why an answer was not passed on whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The endpoint's answer broke off before anything was passed on.
    EndpointFailed,

    /// It broke off midway, or the caller cannot be written to.
    Partial,
}

/// Reads the rest of an answer that is not passed on, to keep its connection.
pub async fn discard(mut response: EndpointResponse) {
    let mut len = 0;
    while len <= DISCARD_MAX_BYTES {
        match response.next_chunk().await {
            Ok(Some(chunk)) => len += chunk.len(),
            Ok(None) => return response.release_connection(),
            // The connection is dropped with the reply.
            Err(_) => return,
        }
    }
}

/// Passes on an answer that is read whole before, as far as it is small.
pub async fn buffered(
    ex: &mut Exchange,
    caller: &mut Conn,
    mut response: EndpointResponse,
) -> Result<RelayedResponse, Error> {
    let mut body = Vec::new();
    loop {
        match response.next_chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(e) => {
                log::warn!(request = &*ex.id.0, error = e.to_string().as_str(); "answer broke off");
                return Err(Error::EndpointFailed);
            }
        }
        if body.len() > BUFFERED_MAX_BYTES {
            return relay_large_body(ex, caller, response, body).await;
        }
    }
    let length = match ex.head.method.as_str() {
        "HEAD" => None,
        _ => Some(body.len()),
    };
    let mut bytes = encode_head(&response.head, ex, BodyFraming::Length(length));
    bytes.extend_from_slice(&body);
    let status = response.head.status;
    response.release_connection();
    ex.progress = Progress::Responding;
    Ok(RelayedResponse {
        status,
        final_bytes: bytes,
        turn: None,
    })
}

/// Passes on an answer that is too large to be read whole before.
async fn relay_large_body(
    ex: &mut Exchange,
    caller: &mut Conn,
    mut response: EndpointResponse,
    buffered: Vec<u8>,
) -> Result<RelayedResponse, Error> {
    let mut bytes = encode_head(&response.head, ex, BodyFraming::Chunked);
    ex.progress = Progress::Responding;
    push_chunk(&mut bytes, &buffered, ex.head.is_http10);
    loop {
        caller.write(&bytes).await.map_err(|_| Error::Partial)?;
        bytes.clear();
        match response.next_chunk().await {
            Ok(Some(chunk)) => push_chunk(&mut bytes, &chunk, ex.head.is_http10),
            Ok(None) => break,
            Err(_) => return Err(Error::Partial),
        }
    }
    let status = response.head.status;
    response.release_connection();
    Ok(RelayedResponse {
        status,
        final_bytes: last_chunk(ex.head.is_http10),
        turn: None,
    })
}

/// Passes on an event stream as it comes, whole events at a time.
pub async fn event_stream(
    ex: &mut Exchange,
    caller: &mut Conn,
    mut response: EndpointResponse,
) -> Result<RelayedResponse, Error> {
    if !(200..300).contains(&response.head.status) {
        return buffered(ex, caller, response).await;
    }
    let tokens_per_event = ex.configuration.tokens_per_event(&ex.service);
    let should_store = ex.should_store_turn();
    let mut scanner = Scanner::new(should_store);
    let mut head = Some(encode_head(&response.head, ex, BodyFraming::Chunked));
    loop {
        let chunk = match response.next_chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) if scanner.is_at_boundary() => break,
            Ok(None) | Err(_) => {
                log::warn!(request = &*ex.id.0, events = scanner.events(); "stream broke off");
                return Err(match head {
                    Some(_) => Error::EndpointFailed,
                    None => Error::Partial,
                });
            }
        };
        let events = scanner.push(&chunk);
        if let Some(reservation) = &mut ex.reservation {
            reservation.used = scanner.events() * tokens_per_event;
        }
        if events.is_empty() {
            continue;
        }
        let mut bytes = head.take().unwrap_or_default();
        ex.progress = Progress::Responding;
        push_chunk(&mut bytes, &events, ex.head.is_http10);
        caller.write(&bytes).await.map_err(|_| Error::Partial)?;
    }
    let status = response.head.status;
    response.release_connection();
    let mut final_bytes = head.take().unwrap_or_default();
    final_bytes.extend_from_slice(&last_chunk(ex.head.is_http10));
    Ok(RelayedResponse {
        status,
        final_bytes,
        turn: should_store.then(|| completed_turn(ex, scanner)).flatten(),
    })
}

fn completed_turn(ex: &mut Exchange, scanner: Scanner) -> Option<Turn> {
    let program = ex.info.program.as_ref()?;
    let previous = ex.history.last();
    let mut ancestors = previous.map_or_else(Vec::new, |t| t.ancestors.clone());
    ancestors.extend(program.previous.clone());
    Some(Turn {
        program: program.program.clone(),
        keep_for: ex.route.retention.unwrap_or_default(),
        ancestors,
        input: std::mem::take(&mut ex.body),
        output: scanner.into_output(),
    })
}

/// How the body towards the caller is framed.
enum BodyFraming {
    /// With a length; none for an answer without a body.
    Length(Option<usize>),

    /// In pieces.
    Chunked,
}

fn encode_head(head: &AnswerHead, ex: &Exchange, framing: BodyFraming) -> Vec<u8> {
    let mut buf = Vec::with_capacity(512);
    let mut push = |parts: [&[u8]; 4]| parts.iter().for_each(|p| buf.extend_from_slice(p));
    let status = head.status.to_string();
    push([
        b"HTTP/1.1 ",
        status.as_bytes(),
        b" ",
        head.reason.as_bytes(),
    ]);
    push([b"\r\n", b"", b"", b""]);
    for (name, value) in head.headers.end_to_end() {
        push([name.as_bytes(), b": ", value, b"\r\n"]);
    }
    match framing {
        BodyFraming::Length(Some(len)) => {
            push([
                b"Content-Length: ",
                len.to_string().as_bytes(),
                b"\r\n",
                b"",
            ]);
        }
        BodyFraming::Chunked if !ex.head.is_http10 => {
            push([b"Transfer-Encoding: chunked", b"\r\n", b"", b""]);
        }
        BodyFraming::Length(None) | BodyFraming::Chunked => {}
    }
    if ex.should_close_connection() {
        push([b"Connection: close", b"\r\n", b"", b""]);
    }
    buf.extend_from_slice(b"\r\n");
    buf
}

fn push_chunk(buf: &mut Vec<u8>, chunk: &[u8], is_http10: bool) {
    if is_http10 {
        buf.extend_from_slice(chunk);
        return;
    }
    buf.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
    buf.extend_from_slice(chunk);
    buf.extend_from_slice(b"\r\n");
}

fn last_chunk(is_http10: bool) -> Vec<u8> {
    match is_http10 {
        true => Vec::new(),
        false => LAST_CHUNK.to_vec(),
    }
}
