//! Passes an endpoint's answer on to the caller.

use kingcupspan_core::gateway::{events::Scanner, history::Turn};

use crate::{
    gateway::{
        exchange::{Exchange, Progress},
        upstream::Reply,
    },
    http::{conn::Conn, head::AnswerHead},
};

/// Largest answer that is read whole before it is passed on, in bytes.
const WHOLE_MAX_BYTES: usize = 256 * 1024;

/// Largest body of a refusal that is read to keep the connection, in bytes.
const DISCARD_MAX_BYTES: usize = 64 * 1024;

/// End of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// An answer that was passed on but for its last bytes.
pub struct End {
    /// HTTP status.
    pub status: u16,

    /// What still has to be sent.
    pub last_bytes: Vec<u8>,

    /// The turn that must be kept before.
    pub turn: Option<Turn>,
}

/// Why an answer was not passed on whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint's answer broke off before anything was passed on.
    Lost,

    /// It broke off midway, or the caller cannot be written to.
    Cut,
}

/// Reads the rest of an answer that is not passed on, to keep its connection.
pub async fn discard(mut reply: Reply) {
    let mut len = 0;
    while len <= DISCARD_MAX_BYTES {
        match reply.piece().await {
            Ok(Some(piece)) => len += piece.len(),
            Ok(None) => return reply.finish(),
            // The connection is dropped with the reply.
            Err(_) => return,
        }
    }
}

/// Passes on an answer that is read whole before, as far as it is small.
pub async fn whole(ex: &mut Exchange, caller: &mut Conn, mut reply: Reply) -> Result<End, Failure> {
    let mut body = Vec::new();
    loop {
        match reply.piece().await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break,
            Err(e) => {
                log::warn!(request = &*ex.id.0, error = e.to_string().as_str(); "answer broke off");
                return Err(Failure::Lost);
            }
        }
        if body.len() > WHOLE_MAX_BYTES {
            return large(ex, caller, reply, body).await;
        }
    }
    let length = match ex.head.method.as_str() {
        "HEAD" => None,
        _ => Some(body.len()),
    };
    let mut bytes = answer_head(&reply.head, ex, Body::Length(length));
    bytes.extend_from_slice(&body);
    let status = reply.head.status;
    reply.finish();
    ex.progress = Progress::Answering;
    Ok(End {
        status,
        last_bytes: bytes,
        turn: None,
    })
}

/// Passes on an answer that is too large to be read whole before.
async fn large(
    ex: &mut Exchange,
    caller: &mut Conn,
    mut reply: Reply,
    first: Vec<u8>,
) -> Result<End, Failure> {
    let mut bytes = answer_head(&reply.head, ex, Body::Pieces);
    ex.progress = Progress::Answering;
    push_piece(&mut bytes, &first, ex.head.is_http10);
    loop {
        caller.write(&bytes).await.map_err(|_| Failure::Cut)?;
        bytes.clear();
        match reply.piece().await {
            Ok(Some(piece)) => push_piece(&mut bytes, &piece, ex.head.is_http10),
            Ok(None) => break,
            Err(_) => return Err(Failure::Cut),
        }
    }
    let status = reply.head.status;
    reply.finish();
    Ok(End {
        status,
        last_bytes: last_piece(ex.head.is_http10),
        turn: None,
    })
}

/// Passes on an event stream as it comes, whole events at a time.
pub async fn stream(
    ex: &mut Exchange,
    caller: &mut Conn,
    mut reply: Reply,
) -> Result<End, Failure> {
    if !(200..300).contains(&reply.head.status) {
        return whole(ex, caller, reply).await;
    }
    let tokens_per_event = ex.configuration.tokens_per_event(&ex.service);
    let is_kept = ex.is_kept_turn();
    let mut scanner = Scanner::new(is_kept);
    let mut head = Some(answer_head(&reply.head, ex, Body::Pieces));
    loop {
        let piece = match reply.piece().await {
            Ok(Some(piece)) => piece,
            Ok(None) if scanner.is_at_boundary() => break,
            Ok(None) | Err(_) => {
                log::warn!(request = &*ex.id.0, events = scanner.events(); "stream broke off");
                return Err(match head {
                    Some(_) => Failure::Lost,
                    None => Failure::Cut,
                });
            }
        };
        let events = scanner.push(&piece);
        if let Some(reservation) = &mut ex.reservation {
            reservation.used = scanner.events() * tokens_per_event;
        }
        if events.is_empty() {
            continue;
        }
        let mut bytes = head.take().unwrap_or_default();
        ex.progress = Progress::Answering;
        push_piece(&mut bytes, &events, ex.head.is_http10);
        caller.write(&bytes).await.map_err(|_| Failure::Cut)?;
    }
    let status = reply.head.status;
    reply.finish();
    let mut last_bytes = head.take().unwrap_or_default();
    last_bytes.extend_from_slice(&last_piece(ex.head.is_http10));
    Ok(End {
        status,
        last_bytes,
        turn: is_kept.then(|| turn(ex, scanner)).flatten(),
    })
}

fn turn(ex: &mut Exchange, scanner: Scanner) -> Option<Turn> {
    let program = ex.info.program.as_ref()?;
    let before = ex.history.last();
    let mut ancestors = before.map_or_else(Vec::new, |t| t.ancestors.clone());
    ancestors.extend(program.previous.clone());
    Some(Turn {
        program: program.program.clone(),
        retention: ex.route.retention.unwrap_or_default(),
        ancestors,
        input: std::mem::take(&mut ex.body),
        output: scanner.into_output(),
    })
}

/// How the body towards the caller is framed.
enum Body {
    /// With a length; none for an answer without a body.
    Length(Option<usize>),

    /// In pieces.
    Pieces,
}

fn answer_head(head: &AnswerHead, ex: &Exchange, body: Body) -> Vec<u8> {
    let mut buf = Vec::with_capacity(512);
    let mut line = |parts: [&[u8]; 4]| parts.iter().for_each(|p| buf.extend_from_slice(p));
    let status = head.status.to_string();
    line([
        b"HTTP/1.1 ",
        status.as_bytes(),
        b" ",
        head.reason.as_bytes(),
    ]);
    line([b"\r\n", b"", b"", b""]);
    for (name, value) in head.headers.end_to_end() {
        line([name.as_bytes(), b": ", value, b"\r\n"]);
    }
    match body {
        Body::Length(Some(len)) => {
            line([
                b"Content-Length: ",
                len.to_string().as_bytes(),
                b"\r\n",
                b"",
            ]);
        }
        Body::Pieces if !ex.head.is_http10 => {
            line([b"Transfer-Encoding: chunked", b"\r\n", b"", b""]);
        }
        Body::Length(None) | Body::Pieces => {}
    }
    if ex.closes_after() {
        line([b"Connection: close", b"\r\n", b"", b""]);
    }
    buf.extend_from_slice(b"\r\n");
    buf
}

fn push_piece(buf: &mut Vec<u8>, piece: &[u8], is_http10: bool) {
    if is_http10 {
        buf.extend_from_slice(piece);
        return;
    }
    buf.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    buf.extend_from_slice(piece);
    buf.extend_from_slice(b"\r\n");
}

fn last_piece(is_http10: bool) -> Vec<u8> {
    match is_http10 {
        true => Vec::new(),
        false => LAST_CHUNK.to_vec(),
    }
}
