//! Route filter: serves a request locally, forwards it to the daemon that owns its program, or
//! waits until a daemon owns it.

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
    filter::{RequestCx, program},
};

/// Pause before the owner of a slot is looked up again.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout for connecting to the owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum time without a reachable owner before a request is rejected, in milliseconds.
const MAX_OWNERLESS_MS: u64 = 8_000;

/// Location of the owner of a slot.
enum Owner {
    /// This daemon.
    Local,

    /// Another daemon, at this address.
    Remote(net::SocketAddr),

    /// No other daemon that is alive is known to own the slot.
    Unknown,
}

/// Result of forwarding a request to the owner.
enum ForwardResult {
    /// Response of the owner.
    Response(Box<Response>),

    /// Problem returned by the owner.
    Rejected(Problem),

    /// The request was not delivered.
    NotSent,

    /// The request may have been delivered; the owner detects a repeated request.
    ConnectionLost,
}

/// Sends the request to the owner of its program, with retries, and stores the response.
pub async fn run(cx: &mut RequestCx) -> Result<(), Problem> {
    let Some(call) = &cx.call else {
        return Err(Problem::not_run(Kind::NotFound, "no such resource"));
    };
    cx.response = Some(serve_call(&cx.daemon, call, cx).await?);
    Ok(())
}

/// Serves or forwards the call until there is a response or the time is over.
async fn serve_call(
    daemon: &Arc<Daemon>,
    call: &Call,
    cx: &RequestCx,
) -> Result<Response, Problem> {
    let mut maybe_delivered = false;
    let mut owner_seen_at = daemon.clock.mono();
    loop {
        let now = daemon.clock.mono();
        let remaining_ms = call.timeout_ms.saturating_sub(now.since(cx.arrived_at));
        if remaining_ms == 0 || now.since(owner_seen_at) > MAX_OWNERLESS_MS {
            return Err(owner_unavailable(call, maybe_delivered));
        }
        let mut call = call.clone();
        call.timeout_ms = remaining_ms;
        match find_owner(daemon, &call) {
            Owner::Local => {
                owner_seen_at = now;
                match program::handle(daemon, call).await {
                    Err(p) if p.kind == Kind::Moved => {}
                    result => return result,
                }
            }
            Owner::Remote(addr) => match forward(daemon, addr, &call).await {
                ForwardResult::Rejected(problem) if problem.kind == Kind::Moved => {}
                ForwardResult::Rejected(problem) => return Err(problem),
                ForwardResult::Response(response) => return Ok(*response),
                ForwardResult::NotSent => {}
                ForwardResult::ConnectionLost => maybe_delivered = true,
            },
            Owner::Unknown => {}
        }
        task::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the problem for a call that could not be served by an owner in time.
fn owner_unavailable(call: &Call, maybe_delivered: bool) -> Problem {
    let detail = "no daemon serves this program now; try again";
    match (&call.request, maybe_delivered) {
        (ProgramRequest::Turn(_) | ProgramRequest::Open { .. } | ProgramRequest::Close, true) => {
            let detail = "the program's daemon was lost; send the same request again to learn more";
            Problem::unknown(detail)
        }
        _ => Problem::not_run(Kind::Unavailable, detail).retry_after(1),
    }
}

/// Looks up the owner of the call's slot.
fn find_owner(daemon: &Daemon, call: &Call) -> Owner {
    let Some(slot) = daemon.slot(call.program.slot) else {
        return Owner::Local;
    };
    if slot.is_serving() {
        return Owner::Local;
    }
    let Some(claim) = slot.claim() else {
        return Owner::Unknown;
    };
    if claim.writer.vm == daemon.settings.vm {
        return Owner::Unknown;
    }
    match daemon.membership.addr(&claim.writer.vm) {
        Some(addr)
            if daemon
                .membership
                .is_alive(&claim.writer, daemon.clock.mono()) =>
        {
            Owner::Remote(addr)
        }
        _ => Owner::Unknown,
    }
}

/// Forwards the call to the owner at `addr`.
async fn forward(daemon: &Arc<Daemon>, addr: net::SocketAddr, call: &Call) -> ForwardResult {
    let timeout = Duration::from_millis(call.timeout_ms);
    let out = ClientRequest::post(addr, peer::CALL, peer::encode(call)).timeouts(Timeouts {
        connect: CONNECT_TIMEOUT,
        head: timeout,
        body: timeout,
    });
    let sent = daemon.client.send(out);
    let watch = watch_owner(daemon, call);
    match futures_lite::future::or(async { Some(sent.await) }, watch).await {
        Some(Ok(reply)) => relay_response(daemon, call, reply).await,
        Some(Err(SendError::NotSent(..))) => ForwardResult::NotSent,
        Some(Err(_)) => {
            daemon.client.close_idle_connections(addr);
            ForwardResult::ConnectionLost
        }
        None => ForwardResult::ConnectionLost,
    }
}

/// Completes when the owner of the call's slot stops sending heartbeats or another daemon claims
/// the slot.
async fn watch_owner<T>(daemon: &Arc<Daemon>, call: &Call) -> Option<T> {
    let slot = daemon.slot(call.program.slot)?;
    let claim_before = slot.claim()?;
    loop {
        task::sleep(RETRY_INTERVAL).await;
        let now = daemon.clock.mono();
        let is_gone = !daemon.membership.is_alive(&claim_before.writer, now);
        let has_new_owner = slot.claim().is_some_and(|c| c.epoch > claim_before.epoch);
        if is_gone || has_new_owner {
            return None;
        }
    }
}

/// Relays the response of the owner to the caller.
///
/// A response that is not streamed is read completely first, so that the call can be retried if
/// the connection breaks. A streamed response is relayed chunk by chunk.
async fn relay_response(
    daemon: &Arc<Daemon>,
    call: &Call,
    mut reply: ClientResponse,
) -> ForwardResult {
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
            Ok(bytes) => complete_response(response, bytes),
            Err(_) => ForwardResult::ConnectionLost,
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
                // Dropping the writer closes the caller's connection, which marks the response
                // as incomplete.
                Some(Err(_)) | None => return,
            }
        }
    });
    ForwardResult::Response(Box::new(response))
}

/// Converts a complete response; a problem is returned so that the entry daemon counts it.
fn complete_response(mut response: Response, bytes: Vec<u8>) -> ForwardResult {
    let content_type = response.content_type();
    let is_problem = content_type
        .as_ref()
        .is_some_and(|t| t.essence() == problem::MEDIA_TYPE);
    if is_problem && let Ok(problem) = serde_json::from_slice(&bytes) {
        return ForwardResult::Rejected(problem);
    }
    response.set_body(Body::from_bytes(bytes));
    if let Some(content_type) = content_type {
        response.set_content_type(content_type);
    }
    ForwardResult::Response(Box::new(response))
}
