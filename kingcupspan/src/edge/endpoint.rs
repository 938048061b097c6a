//! Client for endpoints: model engines and plain services.

use std::{net, time::Duration};

use kingcupspan_core::id::{Fence, ModelId, ProgramId};
use serde::Deserialize;
use serde_json::json;

use crate::edge::client::{Client, ClientRequest, ClientResponse, SendError, Timeouts};

/// Maximum size of a response body, other than a stream.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// Maximum length of a line in an event stream.
const LINE_MAX_BYTES: usize = 16 << 20;

/// Timeout for releasing cache memory and for fetching the load.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Error returned by a request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// The request was not executed: it was not sent, or the endpoint rejected it.
    #[error("not run: {0}")]
    NotRun(String),

    /// The endpoint responded with an error status and may have executed the request.
    #[error("refused with status {0}: {1}")]
    Refused(u16, String),

    /// The response was lost, is truncated, timed out or belongs to another request.
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

/// A call of a model.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// Name of the model.
    pub model: ModelId,

    /// History and new messages, as the elements of a JSON array without the brackets.
    pub messages: String,

    /// Text that earlier attempts decoded; the engine continues after it.
    pub decoded: String,

    /// Maximum number of tokens to decode.
    pub max_tokens: u64,

    /// Identifier of this attempt, which the engine returns in each event.
    pub request_id: String,

    /// Program that makes the call; the engine caches prefixes per program.
    pub program: ProgramId,

    /// Fencing token of the call.
    pub fence: Fence,
}

/// Token usage of a call, as reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,

    /// Number of decoded tokens.
    pub completion_tokens: u64,

    /// Details of the prompt, such as cache hits.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Details of the tokens in a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct PromptDetails {
    /// Number of prompt tokens that were found in the cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// A part of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamPart {
    /// Decoded text.
    Text(String),

    /// End of the response.
    End {
        /// Reason why the engine stopped decoding.
        finish_reason: String,

        /// Token usage of the call.
        usage: Usage,
    },
}

/// An event of the engine's stream, in the format of the chat completions API.
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

/// A streamed response of an engine.
pub struct Stream {
    res: ClientResponse,

    /// Received bytes that do not form a complete line yet.
    buf: Vec<u8>,

    /// Identifier that the events have to carry.
    request_id: String,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

/// Sends a model call and waits for the response head.
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
    /// Returns the next part; [`StreamPart::End`] is the last one.
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

    /// Takes the next complete line out of the buffer.
    fn take_line(&mut self) -> Option<String> {
        let end = self.buf.iter().position(|b| *b == b'\n')?;
        let line: Vec<u8> = self.buf.drain(..=end).collect();
        Some(String::from_utf8_lossy(&line).trim().to_owned())
    }

    /// Parses a line of the event stream; lines without text return `None`.
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

    /// Builds the last part after the end marker of the stream.
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

    /// Reads the rest of the body, so that the connection can be reused.
    pub async fn drain(mut self) {
        while let Ok(Some(_)) = self.res.chunk().await {}
    }
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Path of the operation, without the leading slash.
    pub path: String,

    /// Media type of the body.
    pub content_type: String,

    /// Request body.
    pub body: Vec<u8>,

    /// The caller's idempotency key, present for non-idempotent operations.
    pub key: Option<String>,

    /// Identifier of this attempt; if the service returns it, the response is checked against it.
    pub request_id: String,

    /// Program that makes the call.
    pub program: ProgramId,

    /// Fencing token of the call.
    pub fence: Fence,
}

/// Response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,

    /// Media type of the body.
    pub content_type: String,

    /// Response body.
    pub body: Vec<u8>,
}

/// Sends a service call and waits for the complete response.
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
    let is_rejected = status == 503 && res.header("Ran") == Some("no");
    let body = res.bytes(RESPONSE_MAX_BYTES).await?;
    if echoed_id.is_some_and(|id| id != call.request_id) {
        return Err(EndpointError::Lost(
            "the answer is another request's".to_owned(),
        ));
    }
    if is_rejected {
        return Err(EndpointError::NotRun(format!("status {status}")));
    }
    Ok(ServiceResponse {
        status,
        content_type,
        body,
    })
}

/// Tells an engine to release all cache memory of a program.
pub async fn release_cache(
    client: &Client,
    addr: net::SocketAddr,
    program: ProgramId,
    fence: Fence,
) -> Result<(), EndpointError> {
    let body = json!({"order": "release", "program": program}).to_string();
    let req = ClientRequest::post(addr, "/orders", body.into_bytes())
        .header("Fence", fence.to_string())
        .timeouts(Timeouts::all(CONTROL_TIMEOUT));
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

/// Load of an endpoint, as reported by the endpoint at some time in the past.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Number of calls that the endpoint is executing.
    pub running: u64,

    /// Number of calls that the endpoint has queued.
    pub waiting: u64,

    /// Programs whose prefixes an engine has cached; empty for plain services.
    #[serde(default)]
    pub held: Vec<ProgramId>,
}

/// Fetches the load of an endpoint over a new connection.
pub async fn fetch_load(
    client: &Client,
    addr: net::SocketAddr,
) -> Result<LoadReport, EndpointError> {
    let mut req = ClientRequest::new(http_types::Method::Get, addr, "/load")
        .timeouts(Timeouts::all(CONTROL_TIMEOUT));
    req.can_reuse_connection = false;
    let res = client.send(req).await?;
    let bytes = res.bytes(RESPONSE_MAX_BYTES).await?;
    serde_json::from_slice(&bytes).map_err(|e| EndpointError::Lost(e.to_string()))
}
