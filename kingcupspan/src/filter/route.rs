//! Which daemon owns the program: serve there, forward to it, or wait for one.

use std::{net, sync::Arc, time::Duration};

use async_std::task;
use http_types::{Body, Response};

use crate::{
    daemon::Daemon,
    edge::{
        body,
        client::{ClientRequest, ClientResponse, SendError, Timeouts},
        peer::{self, Call, ProgramRequest},
        problem::{self, Kind, Problem},
    },
    filter::{Cx, program},
};

/// Pause before the owner of a slot is looked up again.
const PAUSE: Duration = Duration::from_millis(25);

/// How long connecting to an owner may take.
const CONNECT_PATIENCE: Duration = Duration::from_millis(1_000);

/// How long a request may find no owner at all before it is refused.
const OWNERLESS_MAX_MS: u64 = 8_000;

/// Where the owner of a slot is.
enum Owner {
    Here,
    At(net::SocketAddr),
    Nowhere,
}

/// What forwarding brought.
enum Forwarded {
    Answer(Box<Response>),
    /// The owner refused it.
    Refused(Problem),
    /// The request was not delivered.
    Undelivered,
    /// It may have been delivered; the owner recognises it when it comes again.
    Lost,
}

/// Sends the request to its program's owner until there is an answer.
pub async fn run(cx: &mut Cx) -> Result<(), Problem> {
    let Some(call) = &cx.call else {
        return Err(Problem::not_run(Kind::NotFound, "no such resource"));
    };
    cx.response = Some(answer(&cx.daemon, call, cx).await?);
    Ok(())
}

async fn answer(daemon: &Arc<Daemon>, call: &Call, cx: &Cx) -> Result<Response, Problem> {
    let mut delivered = false;
    let mut owner_seen = daemon.clock.mono();
    loop {
        let now = daemon.clock.mono();
        let left_ms = call.timeout_ms.saturating_sub(now.since(cx.arrived));
        if left_ms == 0 || now.since(owner_seen) > OWNERLESS_MAX_MS {
            return Err(nobody(call, delivered));
        }
        let mut call = call.clone();
        call.timeout_ms = left_ms;
        match find(daemon, &call) {
            Owner::Here => {
                owner_seen = now;
                match program::handle(daemon, call).await {
                    Err(p) if p.kind == Kind::Moved => {}
                    result => return result,
                }
            }
            Owner::At(addr) => match forward(daemon, addr, &call).await {
                Forwarded::Refused(problem) if problem.kind == Kind::Moved => {}
                Forwarded::Refused(problem) => return Err(problem),
                Forwarded::Answer(response) => return Ok(*response),
                Forwarded::Undelivered => {}
                Forwarded::Lost => delivered = true,
            },
            Owner::Nowhere => {}
        }
        task::sleep(PAUSE).await;
    }
}

fn nobody(call: &Call, delivered: bool) -> Problem {
    let detail = "no daemon serves this program now; try again";
    match (&call.request, delivered) {
        (ProgramRequest::Turn(_) | ProgramRequest::Open { .. } | ProgramRequest::Close, true) => {
            let detail = "the program's daemon was lost; send the same request again to learn more";
            Problem::unknown(detail)
        }
        _ => Problem::not_run(Kind::Unavailable, detail).retry_after(1),
    }
}

fn find(daemon: &Daemon, call: &Call) -> Owner {
    let Some(cell) = daemon.slot(call.program.slot) else {
        return Owner::Here;
    };
    if cell.is_serving() {
        return Owner::Here;
    }
    let Some(claim) = cell.claim() else {
        return Owner::Nowhere;
    };
    if claim.writer.vm == daemon.settings.vm {
        return Owner::Nowhere;
    }
    match daemon.membership.addr(&claim.writer.vm) {
        Some(addr)
            if daemon
                .membership
                .is_alive(&claim.writer, daemon.clock.mono()) =>
        {
            Owner::At(addr)
        }
        _ => Owner::Nowhere,
    }
}

async fn forward(daemon: &Arc<Daemon>, addr: net::SocketAddr, call: &Call) -> Forwarded {
    let patience = Duration::from_millis(call.timeout_ms);
    let out = ClientRequest::post(addr, peer::CALL, peer::encode(call)).timeouts(Timeouts {
        connect: CONNECT_PATIENCE,
        head: patience,
        body: patience,
    });
    let sent = daemon.client.send(out);
    let watch = watch_owner(daemon, call);
    match futures_lite::future::or(async { Some(sent.await) }, watch).await {
        Some(Ok(reply)) => pass_through(daemon, call, reply).await,
        Some(Err(SendError::NotSent(..))) => Forwarded::Undelivered,
        Some(Err(_)) => {
            daemon.client.close_idle_connections(addr);
            Forwarded::Lost
        }
        None => Forwarded::Lost,
    }
}

/// Ends when the owner of the call's slot stops answering heartbeats or changes.
async fn watch_owner<T>(daemon: &Arc<Daemon>, call: &Call) -> Option<T> {
    let cell = daemon.slot(call.program.slot)?;
    let before = cell.claim()?;
    loop {
        task::sleep(PAUSE).await;
        let now = daemon.clock.mono();
        let gone = !daemon.membership.is_alive(&before.writer, now);
        let changed = cell.claim().is_some_and(|c| c.epoch > before.epoch);
        if gone || changed {
            return None;
        }
    }
}

/// Hands the owner's answer on to the caller; a whole one at once, so that a
/// cut can still be mended, a streamed one piece by piece.
async fn pass_through(daemon: &Arc<Daemon>, call: &Call, mut reply: ClientResponse) -> Forwarded {
    let mut response = Response::new(reply.status);
    for name in ["Content-Type", "Retry-After", "History-Digest", "Ran"] {
        if let Some(value) = reply.header(name) {
            response.insert_header(name, value);
        }
    }
    let is_stream = reply
        .header("Content-Type")
        .is_some_and(|t| t.starts_with("text/event-stream"));
    if !is_stream {
        return match reply.bytes(peer::MESSAGE_MAX_BYTES).await {
            Ok(bytes) => whole(response, bytes),
            Err(_) => Forwarded::Lost,
        };
    }
    let (writer, body) = body::channel();
    response.set_body(body);
    response.insert_header("Content-Type", "text/event-stream");
    let daemon = Arc::clone(daemon);
    let call = call.clone();
    task::spawn(async move {
        loop {
            let watch = watch_owner(&daemon, &call);
            let chunk = futures_lite::future::or(async { Some(reply.chunk().await) }, watch);
            match chunk.await {
                Some(Ok(Some(bytes))) => {
                    if !writer.write(bytes).await {
                        return;
                    }
                }
                Some(Ok(None)) => return writer.finish().await,
                // Dropping the writer cuts the caller's connection: not a whole answer.
                Some(Err(_)) | None => return,
            }
        }
    });
    Forwarded::Answer(Box::new(response))
}

/// An answer in one piece; a refusal is the entry daemon's to tell and count.
fn whole(mut response: Response, bytes: Vec<u8>) -> Forwarded {
    let content_type = response.content_type();
    let is_problem = content_type
        .as_ref()
        .is_some_and(|t| t.essence() == problem::MEDIA_TYPE);
    if is_problem && let Ok(problem) = serde_json::from_slice(&bytes) {
        return Forwarded::Refused(problem);
    }
    response.set_body(Body::from_bytes(bytes));
    if let Some(content_type) = content_type {
        response.set_content_type(content_type);
    }
    Forwarded::Answer(Box::new(response))
}
