//! A test client that runs programs over HTTP and checks every model response
//! against the history it recorded.

use std::{
    net,
    sync::{Arc, atomic},
    time::{Duration, Instant},
};

use async_std::task;
use http_types::Method;
use kingcupspan::edge::{
    client::{Client, ClientRequest, SendError, Timeouts},
    problem::{Kind, Problem, Ran},
};
use kingcupspan_core::id::ProgramId;
use serde_json::{Value, json};

use crate::text;

/// Time limit for each phase of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before a failed request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest response body that is read, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// Error returned when a request gets no usable response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The daemon rejected the request or failed to complete it.
    #[error("{0}")]
    Problem(Problem),

    /// Sending the request or receiving the response failed.
    #[error(transparent)]
    Send(#[from] SendError),

    /// The response has the wrong content or cannot be parsed.
    #[error("unexpected response: {0}")]
    UnexpectedResponse(String),
}

impl Failure {
    /// Returns the kind of problem that the daemon reported, if it reported one.
    pub fn kind(&self) -> Option<Kind> {
        match self {
            Self::Problem(p) => Some(p.kind),
            Self::Send(_) | Self::UnexpectedResponse(_) => None,
        }
    }

    /// Returns whether the request ran, as far as the client can tell from the error.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Problem(p) => p.ran,
            Self::Send(SendError::NotSent(..)) => Ran::No,
            Self::Send(_) => Ran::Unknown,
            Self::UnexpectedResponse(_) => Ran::Yes,
        }
    }

    /// Returns whether the error may be transient, so that a retry can succeed.
    pub fn is_retryable(&self) -> bool {
        match self {
            Self::Problem(p) => matches!(p.kind, Kind::Unavailable | Kind::OutcomeUnknown),
            Self::Send(_) => true,
            Self::UnexpectedResponse(_) => false,
        }
    }
}

/// Client-side state of a program.
#[derive(Debug, Clone)]
pub struct Program {
    /// Identifier of the program.
    pub id: ProgramId,

    /// Number of the program's next turn.
    pub turn: u32,

    /// Messages of the completed model turns.
    pub messages: Vec<Value>,

    /// Total time spent waiting for the program's completed turns.
    pub latency: Duration,
}

/// Budget requested when a program is opened.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Number of tokens the program may use.
    pub tokens: u64,

    /// Number of calls the program may make.
    pub calls: u64,

    /// Time limit of the program, in seconds.
    pub seconds: u64,
}

/// Parameters of a model turn.
#[derive(Debug, Clone)]
pub struct Chat<'a> {
    /// Name of the model.
    pub model: &'a str,

    /// Text of the new user message.
    pub text: &'a str,

    /// Maximum number of tokens to generate.
    pub max_tokens: u64,

    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
}

/// Parameters of a service call.
#[derive(Debug, Clone)]
pub struct Service<'a> {
    /// Name of the service.
    pub service: &'a str,

    /// Path of the operation within the service.
    pub path: &'a str,

    /// Request body.
    pub body: &'a str,

    /// Idempotency key, needed for non-idempotent operations.
    pub key: Option<&'a str>,
}

/// HTTP response to a request.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,

    /// Response body.
    pub body: Vec<u8>,
}

/// Sends one caller's requests to the entry daemons in rotation.
#[derive(Clone)]
pub struct Caller {
    client: Client,

    /// Addresses of the daemons that accept callers' requests.
    entries: Arc<Vec<net::SocketAddr>>,

    /// API key, sent as bearer token.
    key: String,

    /// Number of times that `next_entry` was called, shared by all clones.
    entries_used: Arc<atomic::AtomicUsize>,
}

impl Caller {
    /// Creates a client that sends its requests to `entries` and authenticates with `key`.
    pub fn new(entries: Vec<net::SocketAddr>, key: &str) -> Self {
        Self {
            client: Client::default(),
            entries: Arc::new(entries),
            key: key.to_owned(),
            entries_used: Arc::default(),
        }
    }

    /// Returns the address of the entry daemon to use for the next request.
    pub fn next_entry(&self) -> net::SocketAddr {
        let n = self.entries_used.fetch_add(1, atomic::Ordering::Relaxed);
        self.entries[n % self.entries.len()]
    }

    /// Sends a request to the given entry daemon.
    ///
    /// A status of 300 or above whose body describes no problem is returned as a response.
    pub async fn request(
        &self,
        entry: net::SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Vec<u8>,
    ) -> Result<Response, Failure> {
        let mut out = ClientRequest::new(method, entry, path)
            .header("Authorization", format!("Bearer {}", self.key))
            .timeouts(Timeouts::all(REQUEST_TIMEOUT));
        out.headers.extend(headers.iter().cloned());
        out.body = body;
        let reply = self.client.send(out).await?;
        let status = reply.status;
        let body = reply.bytes(RESPONSE_MAX_BYTES).await?;
        if status < 300 {
            return Ok(Response { status, body });
        }
        match serde_json::from_slice(&body) {
            Ok(problem) => Err(Failure::Problem(problem)),
            Err(_) => Ok(Response { status, body }),
        }
    }

    /// Opens a program in `workspace`, as a child of `parent` if one is given.
    pub async fn open(
        &self,
        workspace: &str,
        budget: Option<Budget>,
        parent: Option<ProgramId>,
    ) -> Result<Program, Failure> {
        let mut body = json!({"workspace": workspace});
        if let Some(b) = budget {
            body["budget"] = json!({"tokens": b.tokens, "calls": b.calls, "seconds": b.seconds});
        }
        if let Some(parent) = parent {
            body["parent"] = json!(parent);
        }
        let body = body.to_string().into_bytes();
        let entry = self.next_entry();
        let response = self
            .request(entry, Method::Post, "/v1/programs", &[], body)
            .await?;
        let value: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let id = value["program"].as_str().and_then(|p| p.parse().ok());
        let id = id.ok_or_else(|| Failure::UnexpectedResponse(value.to_string()))?;
        Ok(Program {
            id,
            turn: 0,
            messages: Vec::new(),
            latency: Duration::ZERO,
        })
    }

    /// Returns the headers that identify the program's next turn.
    fn turn_headers(program: &Program) -> Vec<(&'static str, String)> {
        vec![
            ("Program-Id", program.id.to_string()),
            ("Turn", program.turn.to_string()),
            ("Content-Type", "application/json".to_owned()),
        ]
    }

    /// Runs a model turn through the given entry daemon and checks the complete response.
    pub async fn chat_at(
        &self,
        entry: net::SocketAddr,
        program: &mut Program,
        chat: &Chat<'_>,
    ) -> Result<String, Failure> {
        let message = json!({"role": "user", "content": chat.text});
        let body = json!({
            "model": chat.model,
            "messages": [message],
            "max_tokens": chat.max_tokens,
            "stream": chat.stream
        });
        let started_at = Instant::now();
        let headers = Self::turn_headers(program);
        let body = body.to_string().into_bytes();
        let path = "/v1/chat/completions";
        let response = self
            .request(entry, Method::Post, path, &headers, body)
            .await?;
        let content = match chat.stream {
            true => streamed_content(&response.body)?,
            false => message_content(&response.body)?,
        };
        let mut prompt = program.messages.clone();
        prompt.push(message);
        let expected = text::response_words(&prompt, chat.max_tokens).join(" ");
        if content != expected {
            let detail = format!(
                "{} turn {}: got {content:?}, expected {expected:?}",
                program.id, program.turn
            );
            return Err(Failure::UnexpectedResponse(detail));
        }
        prompt.push(json!({"role": "assistant", "content": content}));
        program.messages = prompt;
        program.turn += 1;
        program.latency += started_at.elapsed();
        Ok(content)
    }

    /// Runs a model turn through the next entry daemon.
    pub async fn chat(&self, program: &mut Program, chat: &Chat<'_>) -> Result<String, Failure> {
        self.chat_at(self.next_entry(), program, chat).await
    }

    /// Runs a model turn, retrying transient errors until `retry_limit` has passed.
    pub async fn chat_with_retries(
        &self,
        program: &mut Program,
        chat: &Chat<'_>,
        retry_limit: Duration,
    ) -> Result<String, Failure> {
        let deadline = Instant::now() + retry_limit;
        loop {
            match self.chat(program, chat).await {
                Err(failure) if failure.is_retryable() && Instant::now() < deadline => {
                    task::sleep(RETRY_DELAY).await;
                }
                result => return result,
            }
        }
    }

    /// Calls a service through the given entry daemon.
    ///
    /// The program proceeds to its next turn once a response has arrived.
    pub async fn service_at(
        &self,
        entry: net::SocketAddr,
        program: &mut Program,
        service: &Service<'_>,
    ) -> Result<Response, Failure> {
        let mut headers = Self::turn_headers(program);
        if let Some(key) = service.key {
            headers.push(("Idempotency-Key", key.to_owned()));
        }
        let started_at = Instant::now();
        let path = format!("/v1/services/{}/{}", service.service, service.path);
        let body = service.body.as_bytes().to_vec();
        let response = self
            .request(entry, Method::Post, &path, &headers, body)
            .await?;
        program.turn += 1;
        program.latency += started_at.elapsed();
        Ok(response)
    }

    /// Calls a service through the next entry daemon.
    pub async fn service(
        &self,
        program: &mut Program,
        service: &Service<'_>,
    ) -> Result<Response, Failure> {
        self.service_at(self.next_entry(), program, service).await
    }

    /// Fetches the system's description of a program.
    pub async fn inspect(&self, program: &Program) -> Result<Value, Failure> {
        let path = format!("/v1/programs/{}", program.id);
        let response = self
            .request(self.next_entry(), Method::Get, &path, &[], vec![])
            .await?;
        Ok(serde_json::from_slice(&response.body).unwrap_or_default())
    }

    /// Closes a program.
    pub async fn close(&self, program: &Program) -> Result<(), Failure> {
        let path = format!("/v1/programs/{}", program.id);
        self.request(self.next_entry(), Method::Delete, &path, &[], vec![])
            .await?;
        Ok(())
    }
}

/// Returns the generated text of a response that is not streamed.
fn message_content(body: &[u8]) -> Result<String, Failure> {
    let value: Value =
        serde_json::from_slice(body).map_err(|e| Failure::UnexpectedResponse(e.to_string()))?;
    let content = value["choices"][0]["message"]["content"].as_str();
    let missing = || Failure::UnexpectedResponse(value.to_string());
    content.map(str::to_owned).ok_or_else(missing)
}

/// Returns the generated text of an event stream, or an error if the final `[DONE]` is missing.
pub fn streamed_content(body: &[u8]) -> Result<String, Failure> {
    let body = String::from_utf8_lossy(body);
    let mut content = String::new();
    let mut is_complete = false;
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            is_complete = true;
            continue;
        }
        let event: Value =
            serde_json::from_str(data).map_err(|e| Failure::UnexpectedResponse(e.to_string()))?;
        let delta = event["choices"][0]["delta"]["content"].as_str();
        content.push_str(delta.unwrap_or_default());
    }
    match is_complete {
        true => Ok(content),
        false => Err(Failure::UnexpectedResponse(
            "event stream ended without [DONE]".to_owned(),
        )),
    }
}
