//! Forwards an endpoint's response to the caller.

use std::{io, time::Duration};

use async_std::future;
use kingcupspan_core::gateway::{events::Scanner, history::Turn};

use crate::{
    gateway::{
        exchange::{Exchange, Progress},
        upstream::EndpointResponse,
    },
    http::{conn::Conn, head::ResponseHead},
};

/// Largest response body that is buffered completely before it is forwarded, in bytes.
const BUFFERED_MAX_BYTES: usize = 256 * 1024;

/// Largest body of a discarded response that is read so that its connection can be
/// reused, in bytes.
const DISCARD_MAX_BYTES: usize = 64 * 1024;

/// Time for reading a discarded response; its request may be waiting for another endpoint.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Memory that forwarding a body in pieces takes, in bytes.
const PIECES_BYTES: usize = 48 * 1024;

/// Size of events in one write from which on they are counted as held, in bytes.
const LARGE_EVENTS_BYTES: usize = 16 * 1024;

/// Final chunk of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A response that has been forwarded except for its final bytes.
pub struct RelayedResponse {
    /// HTTP status of the response.
    pub status: u16,

    /// Bytes that remain to be sent to the caller.
    pub final_bytes: Vec<u8>,

    /// Turn that must be stored before the final bytes are sent.
    pub turn: Option<Turn>,
}

/// Reason why a response was not forwarded completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The endpoint's response ended early, before any of it was sent to the caller.
    EndpointFailed,

    /// The response ended early after part of it was sent, or writing to the caller failed.
    Partial,
}

/// Reads and discards a response so that its connection can be reused; closes the connection
/// if that takes too long or cannot succeed.
pub async fn discard(mut response: EndpointResponse) {
    if !response.head.is_keep_alive {
        return;
    }
    let read = future::timeout(DISCARD_TIMEOUT, read_to_end(&mut response)).await;
    if read == Ok(true) {
        response.release_connection();
    }
}

/// Reads the rest of a body; returns false if it breaks off or is too large.
async fn read_to_end(response: &mut EndpointResponse) -> bool {
    let mut len = 0;
    while len <= DISCARD_MAX_BYTES {
        match response.next_chunk().await {
            Ok(Some(chunk)) => len += chunk.len(),
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
    false
}

/// Buffers a response completely before forwarding it, unless its body is too large.
///
/// Until the first byte is forwarded, a failed request can still be retried.
pub async fn buffered(
    ex: &mut Exchange,
    caller: &mut Conn,
    mut response: EndpointResponse,
) -> Result<RelayedResponse, Error> {
    let kept = caller.kept();
    let mut body = Vec::new();
    loop {
        let chunk = match response.next_chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(e) => {
                log::warn!(request = &*ex.id.0, error = e.to_string().as_str(); "endpoint response ended early");
                return Err(Error::EndpointFailed);
            }
        };
        let has_room = grow(caller, kept, &mut body, chunk.len());
        body.extend_from_slice(&chunk);
        if !has_room || body.len() > BUFFERED_MAX_BYTES {
            return relay_large_body(ex, caller, response, body, kept).await;
        }
    }
    let length = (!is_bodiless(ex, &response.head)).then_some(body.len());
    let mut bytes = encode_head(&response.head, ex, BodyFraming::Length(length));
    bytes.reserve_exact(body.len());
    bytes.extend_from_slice(&body);
    drop(body);
    let status = response.head.status;
    response.release_connection();
    ex.progress = Progress::Responding;
    Ok(RelayedResponse {
        status,
        final_bytes: bytes,
        turn: None,
    })
}

/// Whether a response has no body by its method or status, so that no byte may follow its head.
fn is_bodiless(ex: &Exchange, head: &ResponseHead) -> bool {
    ex.head.method == "HEAD" || matches!(head.status, 204 | 304)
}

/// Makes room for `added` more bytes of a body that is buffered for a caller, for whom `kept` bytes
/// are held besides; false if there is no room.
fn grow(caller: &mut Conn, kept: usize, body: &mut Vec<u8>, added: usize) -> bool {
    let needed = body.len() + added;
    if needed <= body.capacity() {
        return true;
    }
    let capacity = needed.max(2 * body.capacity());
    // The former allocation stays until its bytes have been copied.
    if caller.try_keep(kept + body.capacity() + capacity).is_err() {
        return false;
    }
    body.reserve_exact(capacity - body.len());
    caller.try_keep(kept + body.capacity()).is_ok()
}

/// Forwards a response whose body is too large to be buffered, or for which there is no memory.
async fn relay_large_body(
    ex: &mut Exchange,
    caller: &mut Conn,
    mut response: EndpointResponse,
    buffered: Vec<u8>,
    kept: usize,
) -> Result<RelayedResponse, Error> {
    let mut bytes = encode_head(&response.head, ex, BodyFraming::Chunked);
    push_chunk(&mut bytes, &buffered, ex.head.is_http10);
    drop(buffered);
    if caller
        .try_keep(kept + bytes.capacity().max(PIECES_BYTES))
        .is_err()
    {
        log::warn!(request = &*ex.id.0; "no memory left for the response; discarding it");
        return Err(Error::EndpointFailed);
    }
    begin_body(ex, caller);
    caller.write(&bytes).await.map_err(|_| Error::Partial)?;
    let mut bytes = Vec::new();
    // Returning bytes always succeeds.
    let _ = caller.try_keep(kept + PIECES_BYTES);
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

/// Forwards an event stream as it arrives, in complete events.
pub async fn event_stream(
    ex: &mut Exchange,
    caller: &mut Conn,
    mut response: EndpointResponse,
) -> Result<RelayedResponse, Error> {
    let is_success = (200..300).contains(&response.head.status);
    let should_store = ex.should_store_turn();
    if !is_success || is_bodiless(ex, &response.head) {
        let mut relayed = buffered(ex, caller, response).await?;
        if is_success && should_store {
            relayed.turn = completed_turn(ex, Scanner::new(true));
        }
        return Ok(relayed);
    }
    let tokens_per_event = ex.configuration.tokens_per_event(&ex.service);
    let mut scanner = Scanner::new(should_store);
    let mut head = Some(encode_head(&response.head, ex, BodyFraming::Chunked));
    let kept = caller.kept();
    loop {
        let chunk = match response.next_chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) if scanner.is_at_boundary() => break,
            ended => {
                if ended.is_ok() {
                    response.note_failure();
                }
                log::warn!(request = &*ex.id.0, events = scanner.events(); "event stream ended early");
                return Err(broken_stream(head.is_none()));
            }
        };
        let events = match scanner.push(&chunk) {
            Ok(events) => events,
            Err(e) => {
                log::warn!(request = &*ex.id.0, error = e.to_string().as_str(); "breaking the event stream off");
                return Err(broken_stream(head.is_none()));
            }
        };
        if let Some(reservation) = &mut ex.reservation {
            reservation.used = scanner.events() * tokens_per_event;
        }
        let moving = Some(2 * events.len()).filter(|n| *n > LARGE_EVENTS_BYTES);
        let held = scanner.held_bytes() + moving.unwrap_or_default();
        if caller.try_keep(kept + held).is_err() {
            log::warn!(request = &*ex.id.0; "no memory left for the response; breaking the event stream off");
            return Err(broken_stream(head.is_none()));
        }
        if events.is_empty() {
            continue;
        }
        ex.wait_for_stream_record().await;
        let mut bytes = head.take().unwrap_or_default();
        begin_body(ex, caller);
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

/// Records that part of the body is sent. A body that ends with its connection is complete only
/// if the connection is closed in order, which [`end_body`] allows.
fn begin_body(ex: &mut Exchange, caller: &Conn) {
    ex.progress = Progress::Responding;
    if ex.head.is_http10 {
        caller.set_reset_on_close(true);
    }
}

/// Sends the final bytes of a response; after that its connection may be closed in order.
pub async fn end_body(ex: &mut Exchange, caller: &mut Conn, final_bytes: &[u8]) -> io::Result<()> {
    // The deadline may end the write in the middle of the head.
    ex.progress = Progress::Responding;
    caller.write(final_bytes).await?;
    if ex.head.is_http10 {
        caller.set_reset_on_close(false);
    }
    Ok(())
}

/// Error of a stream that has not ended properly.
fn broken_stream(has_begun: bool) -> Error {
    match has_begun {
        true => Error::Partial,
        false => Error::EndpointFailed,
    }
}

/// Builds the turn to store from the request and the collected output.
fn completed_turn(ex: &mut Exchange, scanner: Scanner) -> Option<Turn> {
    let program = ex.info.program.as_ref()?;
    let previous = ex.history.last();
    let mut ancestors = previous.map_or_else(Vec::new, |t| t.ancestors.clone());
    ancestors.extend(program.previous.clone());
    Some(Turn {
        program: program.program.clone(),
        retention: ex.route.retention.unwrap_or_default(),
        ancestors,
        input: std::mem::take(&mut ex.body),
        output: scanner.into_output(),
    })
}

/// Framing of the response body sent to the caller.
enum BodyFraming {
    /// A `Content-Length` header, or `None` for a response without a body.
    Length(Option<usize>),

    /// Chunked transfer coding, or the end of the connection for HTTP/1.0.
    Chunked,
}

/// Encodes the response head sent to the caller.
fn encode_head(head: &ResponseHead, ex: &Exchange, framing: BodyFraming) -> Vec<u8> {
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

/// Appends a chunk of the body; HTTP/1.0 bodies have no chunk framing.
fn push_chunk(buf: &mut Vec<u8>, chunk: &[u8], is_http10: bool) {
    if is_http10 {
        buf.extend_from_slice(chunk);
        return;
    }
    buf.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
    buf.extend_from_slice(chunk);
    buf.extend_from_slice(b"\r\n");
}

/// Returns the bytes that end a chunked body; empty for HTTP/1.0.
fn last_chunk(is_http10: bool) -> Vec<u8> {
    match is_http10 {
        true => Vec::new(),
        false => LAST_CHUNK.to_vec(),
    }
}
