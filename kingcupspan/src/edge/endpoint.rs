//! Requests to endpoints: model engines and plain services.

use std::{net, time::Duration};

use kingcupspan_core::id::{Fence, ModelId, ProgramId};
use serde::Deserialize;
use serde_json::json;

use crate::edge::client::{Client, ClientRequest, ClientResponse, SendError, Timeouts};

/// Largest answer of a service, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// Largest line of a stream, in bytes.
const LINE_MAX_BYTES: usize = 16 << 20;

/// How long an order or a probe may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why an endpoint did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// The request was not sent, or the endpoint said that it did not run it.
    #[error("not run: {0}")]
    NotRun(String),

    /// The endpoint answered with an error status after it may have run.
    #[error("refused with status {0}: {1}")]
    Refused(u16, String),

    /// The answer is lost, cut short, late or another request's.
    #[error("lost: {0}")]
    Lost(String),
}

impl From<SendError> for EndpointError {
    fn from(e: SendError) -> Self {
        match e {
            SendError::NotSent(..) => Self::NotRun(e.to_string()),
            SendError::Lost(..) | SendError::TimedOut(..) => Self::Lost(e.to_string()),
        }
    }
}

/// A model call.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// The model.
    pub model: ModelId,

    /// History and new messages, as a JSON list without brackets.
    pub messages: String,

    /// Text already decoded, from which the engine goes on.
    pub decoded: String,

    /// Tokens to decode at most.
    pub max_tokens: u64,

    /// Identifies this attempt; the engine echoes it.
    pub request_id: String,

    /// The program, whose cache the engine keeps under this name.
    pub program: ProgramId,

    /// Fencing number of the call.
    pub fence: Fence,
}

/// What the engine says a call took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,

    /// Tokens decoded.
    pub completion_tokens: u64,

    /// How much of the prompt came from the cache.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Details of a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct PromptDetails {
    /// Tokens that were in the cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// A piece of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPart {
    /// More text.
    Text(String),

    /// The end.
    End {
        /// Why the engine stopped.
        finish_reason: String,

        /// What the call took.
        usage: Usage,
    },
}

#[derive(Deserialize)]
struct Event {
    id: String,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

/// An engine's answer under way.
pub struct Stream {
    res: ClientResponse,
    buf: Vec<u8>,
    request_id: String,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

/// Sends a model call and waits for the head of its answer.
pub async fn call_model(
    client: &Client,
    addr: net::SocketAddr,
    call: &ModelCall,
    timeouts: Timeouts,
) -> Result<Stream, EndpointError> {
    let body = format!(
        "{{\"model\":{},\"stream\":true,\"max_tokens\":{},\"continue_from\":{},\"messages\":[{}]}}",
        json!(call.model.as_str()),
        call.max_tokens,
        json!(call.decoded),
        call.messages
    );
    let req = ClientRequest::post(addr, "/v1/chat/completions", body.into_bytes())
        .header("Content-Type", "application/json")
        .header("X-Request-Id", call.request_id.clone())
        .header("Program-Id", call.program.to_string())
        .header("Fence", call.fence.to_string())
        .timeouts(timeouts);
    let res = client.send(req).await?;
    match res.status {
        200 => Ok(Stream {
            res,
            buf: Vec::new(),
            request_id: call.request_id.clone(),
            finish_reason: None,
            usage: None,
        }),
        429 | 503 => Err(EndpointError::NotRun(format!("status {}", res.status))),
        status => {
            let body = res.bytes(RESPONSE_MAX_BYTES).await.unwrap_or_default();
            let text = String::from_utf8_lossy(&body).into_owned();
            Err(EndpointError::Refused(status, text))
        }
    }
}

impl Stream {
    /// The next piece; nothing follows [`StreamPart::End`].
    pub async fn next(&mut self) -> Result<StreamPart, EndpointError> {
        loop {
            while let Some(line) = self.take_line() {
                if let Some(part) = self.parse_line(&line)? {
                    return Ok(part);
                }
            }
            if self.buf.len() > LINE_MAX_BYTES {
                return Err(EndpointError::Lost(
                    "a line of the stream is too long".to_owned(),
                ));
            }
            match self.res.chunk().await? {
                Some(bytes) => self.buf.extend_from_slice(&bytes),
                None => return Err(EndpointError::Lost("the stream ended early".to_owned())),
            }
        }
    }

    fn take_line(&mut self) -> Option<String> {
        let end = self.buf.iter().position(|b| *b == b'\n')?;
        let line: Vec<u8> = self.buf.drain(..=end).collect();
        Some(String::from_utf8_lossy(&line).trim().to_owned())
    }

    fn parse_line(&mut self, line: &str) -> Result<Option<StreamPart>, EndpointError> {
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            return Ok(None);
        };
        if data == "[DONE]" {
            return self.finish().map(Some);
        }
        let event: Event = serde_json::from_str(data)
            .map_err(|e| EndpointError::Lost(format!("an event cannot be read: {e}")))?;
        if !event.id.ends_with(&self.request_id) {
            return Err(EndpointError::Lost(
                "the answer is another request's".to_owned(),
            ));
        }
        self.usage = event.usage.or(self.usage);
        let Some(choice) = event.choices.into_iter().next() else {
            return Ok(None);
        };
        self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        match choice.delta.content.is_empty() {
            true => Ok(None),
            false => Ok(Some(StreamPart::Text(choice.delta.content))),
        }
    }

    fn finish(&mut self) -> Result<StreamPart, EndpointError> {
        match (self.finish_reason.take(), self.usage) {
            (Some(finish_reason), Some(usage)) => Ok(StreamPart::End {
                finish_reason,
                usage,
            }),
            _ => Err(EndpointError::Lost(
                "the stream has no proper end".to_owned(),
            )),
        }
    }

    /// Reads what follows the last event, so that the connection can be kept.
    pub async fn drain(mut self) {
        while let Ok(Some(_)) = self.res.chunk().await {}
    }
}

/// A service call.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Path of the operation.
    pub path: String,

    /// Media type of the body.
    pub content_type: String,

    /// The body.
    pub body: Vec<u8>,

    /// The caller's key of a non-idempotent call.
    pub key: Option<String>,

    /// Identifies this attempt; a service that echoes it proves whose answer it is.
    pub request_id: String,

    /// The program.
    pub program: ProgramId,

    /// Fencing number of the call.
    pub fence: Fence,
}

/// A service's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,

    /// Media type of the body.
    pub content_type: String,

    /// The body.
    pub body: Vec<u8>,
}

/// Sends a service call and waits for its whole answer.
pub async fn call_service(
    client: &Client,
    addr: net::SocketAddr,
    call: ServiceCall,
    timeouts: Timeouts,
) -> Result<ServiceResponse, EndpointError> {
    let mut req = ClientRequest::post(addr, format!("/{}", call.path), call.body)
        .header("Content-Type", call.content_type)
        .header("X-Request-Id", call.request_id.clone())
        .header("Program-Id", call.program.to_string())
        .header("Fence", call.fence.to_string())
        .timeouts(timeouts);
    req.can_reuse_connection = call.key.is_none();
    if let Some(key) = call.key {
        req = req.header("Idempotency-Key", key);
    }
    let res = client.send(req).await?;
    let echoed_id = res.header("X-Request-Id").map(str::to_owned);
    let status = res.status;
    let content_type = res
        .header("Content-Type")
        .unwrap_or("application/octet-stream");
    let content_type = content_type.to_owned();
    let is_not_run = status == 503 && res.header("Ran") == Some("no");
    let body = res.bytes(RESPONSE_MAX_BYTES).await?;
    if echoed_id.is_some_and(|id| id != call.request_id) {
        return Err(EndpointError::Lost(
            "the answer is another request's".to_owned(),
        ));
    }
    if is_not_run {
        return Err(EndpointError::NotRun(format!("status {status}")));
    }
    Ok(ServiceResponse {
        status,
        content_type,
        body,
    })
}

/// Tells an engine to let go of all memory that it holds for a program.
pub async fn release_cache(
    client: &Client,
    addr: net::SocketAddr,
    program: ProgramId,
    fence: Fence,
) -> Result<(), EndpointError> {
    let body = json!({"order": "release", "program": program}).to_string();
    let req = ClientRequest::post(addr, "/orders", body.into_bytes())
        .header("Fence", fence.to_string())
        .timeouts(Timeouts::all(ORDER_TIMEOUT));
    let res = client.send(req).await?;
    let status = res.status;
    let body = res.bytes(RESPONSE_MAX_BYTES).await?;
    match status {
        200 => Ok(()),
        _ => Err(EndpointError::Refused(
            status,
            String::from_utf8_lossy(&body).into_owned(),
        )),
    }
}

/// What an endpoint reports of itself, some time ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Calls that it works on.
    pub running: u64,

    /// Calls that it has queued.
    pub waiting: u64,

    /// Programs whose prefix it holds; engines only.
    #[serde(default)]
    pub held: Vec<ProgramId>,
}

/// Asks an endpoint for its load over a new connection.
pub async fn fetch_load(
    client: &Client,
    addr: net::SocketAddr,
) -> Result<LoadReport, EndpointError> {
    let mut req = ClientRequest::new(http_types::Method::Get, addr, "/load")
        .timeouts(Timeouts::all(ORDER_TIMEOUT));
    req.can_reuse_connection = false;
    let res = client.send(req).await?;
    let bytes = res.bytes(RESPONSE_MAX_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(|e| EndpointError::Lost(e.to_string()))
}
