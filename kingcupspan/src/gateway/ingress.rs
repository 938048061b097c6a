//! Accepts callers' connections and reads their requests.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{
    future,
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::{FutureExt, StreamExt};
use kingcupspan_core::gateway::{
    byte_budget::Stage,
    call::{ContinuedStream, RequestId},
    endpoint::Endpoint,
    routing::Limits,
};
use kingcupspan_platform::headers;

use crate::{
    gateway::{
        error_response::{ErrorReason, ErrorResponse},
        exchange::Exchange,
        rejections::Rejection,
        serve::{Gateway, Outcome},
        shutdown::InFlightGuard,
        upstream::Delivery,
    },
    http::{
        conn::{Conn, ReadError},
        head::RequestHead,
    },
};

/// Delay after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for sending an error response.
const ERROR_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which the rest of a refused request is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Interim response to a caller that sent `Expect: 100-continue`.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Accepts callers' connections until a graceful shutdown stops accepting them.
pub async fn serve(listener: TcpListener, gateway: Arc<Gateway>) {
    let mut incoming = listener.incoming();
    loop {
        let shutting_down = async {
            gateway.shutdown.wait_for_idle_close().await;
            None
        };
        match incoming.next().or(shutting_down).await {
            Some(Ok(stream)) => accept(&gateway, stream),
            Some(Err(e)) => {
                log::warn!(error = e.to_string().as_str(); "cannot accept a connection; retrying after a delay");
                task::sleep(ACCEPT_BACKOFF).await;
            }
            None => return,
        }
    }
}

/// Serves a connection, unless there are too many.
fn accept(gateway: &Arc<Gateway>, stream: TcpStream) {
    match gateway.callers.open(&stream) {
        Some(holder) => {
            let conn = Conn::with_holder(stream, holder);
            task::spawn(handle_connection(Arc::clone(gateway), conn));
        }
        None => gateway.rejections.note(Rejection::TooManyConnections),
    }
}

/// What happens to a connection after a request.
enum AfterRequest {
    /// It waits for the next request.
    KeepOpen,

    /// It is closed.
    Close,

    /// It is closed after the rest of the request has been discarded.
    Discard,
}

/// Serves requests on a connection until it is closed.
async fn handle_connection(gateway: Arc<Gateway>, mut conn: Conn) {
    loop {
        match handle_request(&gateway, &mut conn).await {
            AfterRequest::KeepOpen => {}
            AfterRequest::Close => return,
            AfterRequest::Discard => {
                // The rest does not matter.
                let _ = future::timeout(DISCARD_TIMEOUT, conn.close_unread()).await;
                return;
            }
        }
    }
}

/// Records what a connection does; false if it has to give way to others.
fn set_stage(conn: &Conn, stage: Stage) -> bool {
    conn.holder().is_none_or(|h| h.set_stage(stage))
}

/// Reads and serves one request.
async fn handle_request(gateway: &Gateway, conn: &mut Conn) -> AfterRequest {
    let configuration = gateway.configuration.get();
    let limits = configuration.map_or_else(Limits::default, |c| c.limits);
    if conn.unread().is_empty() && !wait_for_request(gateway, conn, &limits).await {
        return AfterRequest::Close;
    }
    if !set_stage(conn, Stage::Receiving) {
        return AfterRequest::Close;
    }
    let read = conn.request_head(limits.header_bytes);
    let head = match future::timeout(limits.header_timeout, read).await {
        Ok(Ok(head)) => head,
        Ok(Err(e)) => return reject(gateway, conn, error_reason(&e)).await,
        Err(_) => return reject(gateway, conn, Some(ErrorReason::SlowRequest)).await,
    };
    let received_at = Instant::now();
    let in_flight = gateway.shutdown.track_request();
    let body = match read_body(conn, &head, &limits).await {
        Ok(body) => body,
        Err(reason) => return reject(gateway, conn, reason).await,
    };
    if !set_stage(conn, Stage::Processing) {
        return reject(gateway, conn, Some(ErrorReason::SlowRequest)).await;
    }
    // Only connections with a request need the memory of this future.
    let serving = serve_request(gateway, conn, head, body, received_at, in_flight);
    Box::pin(serving).await
}

/// Waits for the first bytes of a request; returns false if the connection should be closed.
async fn wait_for_request(gateway: &Gateway, conn: &mut Conn, limits: &Limits) -> bool {
    // What the last request held is free.
    let _ = conn.try_keep(0);
    conn.release_buffer();
    if !set_stage(conn, Stage::Idle) {
        return false;
    }
    let data_received = async { matches!(conn.fill().await, Ok(n) if n > 0) };
    let shutting_down = async {
        gateway.shutdown.wait_for_idle_close().await;
        false
    };
    let wait = future::timeout(limits.idle_timeout, data_received.or(shutting_down));
    wait.await.unwrap_or(false)
}

/// Reads a request body; the error holds no reason if the caller has disconnected.
async fn read_body(
    conn: &mut Conn,
    head: &RequestHead,
    limits: &Limits,
) -> Result<Vec<u8>, Option<ErrorReason>> {
    let mut framing = head.framing.clone();
    if !framing.is_done() && head.expects_continue() {
        conn.write(CONTINUE_RESPONSE).await.map_err(|_| None)?;
    }
    let read = conn.body(&mut framing, limits.body_bytes);
    match future::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(e)) => Err(error_reason(&e)),
        Err(_) => Err(Some(ErrorReason::SlowRequest)),
    }
}

/// Returns the reason to send to the caller for a read error, or `None` if the connection
/// is unusable.
fn error_reason(e: &ReadError) -> Option<ErrorReason> {
    match e {
        ReadError::Closed
        | ReadError::UnexpectedEof
        | ReadError::DoubtfulEnd
        | ReadError::Io(_) => None,
        ReadError::Stalled => Some(ErrorReason::SlowRequest),
        ReadError::NoRoom(_) => Some(ErrorReason::MemoryShort),
        ReadError::Head(_) | ReadError::Chunk(_) => Some(ErrorReason::MalformedRequest),
        ReadError::HeadTooLarge => Some(ErrorReason::HeadTooLarge),
        ReadError::BodyTooLarge => Some(ErrorReason::BodyTooLarge),
    }
}

/// Answers a request that could not be read, if there is a reason to send.
async fn reject(gateway: &Gateway, conn: &mut Conn, reason: Option<ErrorReason>) -> AfterRequest {
    let Some(reason) = reason else {
        return AfterRequest::Close;
    };
    gateway.rejections.note(Rejection::Request(reason));
    let bytes = ErrorResponse::unread(reason).encode(None, true);
    match future::timeout(ERROR_TIMEOUT, conn.write(&bytes)).await {
        Ok(Ok(())) => AfterRequest::Discard,
        // The caller has disconnected or does not read.
        Ok(Err(_)) | Err(_) => AfterRequest::Close,
    }
}

/// Serves a completely received request and records its outcome.
async fn serve_request(
    gateway: &Gateway,
    conn: &mut Conn,
    head: RequestHead,
    body: Vec<u8>,
    received_at: Instant,
    _in_flight: InFlightGuard,
) -> AfterRequest {
    let wants_close = head.wants_close();
    let info = headers::call_info(&head.headers);
    let id = info.id.clone();
    let mut served = Served::default();
    let (outcome, should_close) = match gateway.admit(head, info, body, received_at) {
        Ok(mut ex) => {
            let outcome = gateway.serve(&mut ex, conn).await;
            record_refusal(gateway, &ex, &outcome);
            served = Served::from(&ex);
            (outcome, ex.should_close_connection())
        }
        Err(response) => (Outcome::Failed(response), wants_close),
    };
    record_outcome(gateway, id.as_ref(), &outcome, &served, received_at);
    let should_close = should_close || gateway.connection_policy().should_close_connections();
    match outcome {
        Outcome::Answered(_) if !should_close => AfterRequest::KeepOpen,
        Outcome::Failed(response) => {
            let bytes = response.encode(id.as_ref(), should_close);
            match future::timeout(ERROR_TIMEOUT, conn.write(&bytes)).await {
                Ok(Ok(())) if !should_close => AfterRequest::KeepOpen,
                _ => AfterRequest::Close,
            }
        }
        Outcome::Answered(_) | Outcome::Partial(_) | Outcome::Disconnected => AfterRequest::Close,
    }
}

/// Counts a response of this daemon to a request of a workspace.
fn record_refusal(gateway: &Gateway, ex: &Exchange, outcome: &Outcome) {
    if let (Some(workspace), Outcome::Failed(response)) = (&ex.workspace, outcome) {
        let counts = &gateway.workspace_use;
        counts.record_refusal(workspace, response.reason);
    }
}

/// How a request was served, for the log.
#[derive(Default)]
struct Served {
    route: String,

    /// The endpoint that the request was last sent to.
    endpoint: Option<Arc<Endpoint>>,

    /// How the last response has reached this daemon.
    delivery: Option<Delivery>,

    /// Stream that the request continues, if it continues one.
    continues: Option<ContinuedStream>,
}

impl From<&Exchange> for Served {
    fn from(ex: &Exchange) -> Self {
        Self {
            route: ex.route.name.clone(),
            endpoint: ex.last_endpoint.clone(),
            delivery: ex.delivery.clone(),
            continues: ex.info.continues.clone(),
        }
    }
}

/// Logs a finished request and records it in the metrics.
fn record_outcome(
    gateway: &Gateway,
    id: Option<&RequestId>,
    outcome: &Outcome,
    served: &Served,
    received_at: Instant,
) {
    let id = id.map_or("-", |id| &*id.0);
    let (status, reason) = match outcome {
        Outcome::Answered(status) => (*status, String::new()),
        Outcome::Failed(response) => (response.reason.status(), response.reason.to_string()),
        Outcome::Partial(reason) => (0, format!("cut: {reason}")),
        Outcome::Disconnected => (0, "caller gone".to_owned()),
    };
    let duration = received_at.elapsed();
    gateway.metrics.record_request(status, &reason, duration);
    let route = served.route.as_str();
    let endpoint = served.endpoint.as_ref().map_or("", |e| &*e.id.0);
    let version = served.endpoint.as_ref().map_or("", |e| &*e.version.0);
    let delivery = served.delivery.as_ref().map(Delivery::to_string);
    let delivery = delivery.as_deref().unwrap_or_default();
    let ms = duration.as_millis() as u64;
    match &served.continues {
        None => {
            log::info!(request = id, route, endpoint, version, delivery, status, reason = reason.as_str(), ms; "request finished");
        }
        Some(stream) => {
            let continues = stream.to_string();
            log::info!(request = id, continues = continues.as_str(), route, endpoint, version, delivery, status, reason = reason.as_str(), ms; "request finished");
        }
    }
}
