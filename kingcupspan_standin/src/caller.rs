//! A caller: drives programs over HTTP and checks every answer against its own
//! view of the history.

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

/// How long a request may take.
const PATIENCE: Duration = Duration::from_secs(30);

/// Pause before a request is sent again.
const PAUSE: Duration = Duration::from_millis(50);

/// Largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// Why a request brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The daemon refused it or could not do it.
    #[error("{0}")]
    Problem(Problem),

    /// The connection failed.
    #[error(transparent)]
    Send(#[from] SendError),

    /// The answer is not the one to this request.
    #[error("wrong answer: {0}")]
    UnexpectedResponse(String),
}

impl Failure {
    /// The problem's kind, if the daemon answered.
    pub fn kind(&self) -> Option<Kind> {
        match self {
            Self::Problem(p) => Some(p.kind),
            Self::Send(_) | Self::UnexpectedResponse(_) => None,
        }
    }

    /// Whether the request ran, as far as the caller was told.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Problem(p) => p.ran,
            Self::Send(SendError::NotSent(..)) => Ran::No,
            Self::Send(_) => Ran::Unknown,
            Self::UnexpectedResponse(_) => Ran::Yes,
        }
    }

    /// Whether sending the same request again can help.
    pub fn is_retryable(&self) -> bool {
        match self {
            Self::Problem(p) => matches!(p.kind, Kind::Unavailable | Kind::OutcomeUnknown),
            Self::Send(_) => true,
            Self::UnexpectedResponse(_) => false,
        }
    }
}

/// A program as its caller sees it.
#[derive(Debug, Clone)]
pub struct Program {
    /// Its id.
    pub id: ProgramId,

    /// Its next turn.
    pub turn: u32,

    /// Its history.
    pub messages: Vec<Value>,

    /// Time from the first request to the last answer.
    pub latency: Duration,
}

/// Limits that a caller asks for.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Tokens.
    pub tokens: u64,

    /// Calls.
    pub calls: u64,

    /// Seconds.
    pub seconds: u64,
}

/// A model turn.
#[derive(Debug, Clone)]
pub struct Chat<'a> {
    /// The model.
    pub model: &'a str,

    /// The new message.
    pub text: &'a str,

    /// Tokens to decode at most.
    pub max_tokens: u64,

    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A service call.
#[derive(Debug, Clone)]
pub struct Service<'a> {
    /// The service.
    pub service: &'a str,

    /// The operation.
    pub path: &'a str,

    /// The body.
    pub body: &'a str,

    /// Key of a non-idempotent call.
    pub key: Option<&'a str>,
}

/// A raw answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: u16,

    /// The body.
    pub body: Vec<u8>,
}

/// Sends requests of one caller, each to the next entry daemon.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    entries: Arc<Vec<net::SocketAddr>>,
    key: String,
    next: Arc<atomic::AtomicUsize>,
}

impl Caller {
    /// A caller in front of these entry daemons.
    pub fn new(entries: Vec<net::SocketAddr>, key: &str) -> Self {
        Self {
            client: Client::default(),
            entries: Arc::new(entries),
            key: key.to_owned(),
            next: Arc::default(),
        }
    }

    /// The entry daemon of the next request.
    pub fn next_entry(&self) -> net::SocketAddr {
        let n = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        self.entries[n % self.entries.len()]
    }

    /// Sends one request to one entry daemon.
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
            .timeouts(Timeouts::all(PATIENCE));
        out.headers.extend(headers.iter().cloned());
        out.body = body;
        let reply = self.client.send(out).await?;
        let status = reply.status;
        let body = reply.bytes(ANSWER_MAX_BYTES).await?;
        if status < 300 {
            return Ok(Response { status, body });
        }
        match serde_json::from_slice(&body) {
            Ok(problem) => Err(Failure::Problem(problem)),
            Err(_) => Ok(Response { status, body }),
        }
    }

    /// Opens a program.
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
        let answer = self
            .request(entry, Method::Post, "/v1/programs", &[], body)
            .await?;
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let id = value["program"].as_str().and_then(|p| p.parse().ok());
        let id = id.ok_or_else(|| Failure::UnexpectedResponse(value.to_string()))?;
        Ok(Program {
            id,
            turn: 0,
            messages: Vec::new(),
            latency: Duration::ZERO,
        })
    }

    fn turn_headers(program: &Program) -> Vec<(&'static str, String)> {
        vec![
            ("Program-Id", program.id.to_string()),
            ("Turn", program.turn.to_string()),
            ("Content-Type", "application/json".to_owned()),
        ]
    }

    /// Takes a model turn at one entry daemon and checks the whole answer.
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
        let begun = Instant::now();
        let headers = Self::turn_headers(program);
        let body = body.to_string().into_bytes();
        let path = "/v1/chat/completions";
        let answer = self
            .request(entry, Method::Post, path, &headers, body)
            .await?;
        let content = match chat.stream {
            true => streamed_content(&answer.body)?,
            false => whole_content(&answer.body)?,
        };
        let mut prompt = program.messages.clone();
        prompt.push(message);
        let expected = text::response_words(&prompt, chat.max_tokens).join(" ");
        if content != expected {
            let why = format!(
                "{} turn {}: {content:?}, not {expected:?}",
                program.id, program.turn
            );
            return Err(Failure::UnexpectedResponse(why));
        }
        prompt.push(json!({"role": "assistant", "content": content}));
        program.messages = prompt;
        program.turn += 1;
        program.latency += begun.elapsed();
        Ok(content)
    }

    /// Takes a model turn at the next entry daemon.
    pub async fn chat(&self, program: &mut Program, chat: &Chat<'_>) -> Result<String, Failure> {
        self.chat_at(self.next_entry(), program, chat).await
    }

    /// Takes a model turn, sending it again while that can help.
    pub async fn chat_with_retries(
        &self,
        program: &mut Program,
        chat: &Chat<'_>,
        patience: Duration,
    ) -> Result<String, Failure> {
        let until = Instant::now() + patience;
        loop {
            match self.chat(program, chat).await {
                Err(failure) if failure.is_retryable() && Instant::now() < until => {
                    task::sleep(PAUSE).await;
                }
                result => return result,
            }
        }
    }

    /// Calls a service at one entry daemon; the turn is over if it was answered.
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
        let begun = Instant::now();
        let path = format!("/v1/services/{}/{}", service.service, service.path);
        let body = service.body.as_bytes().to_vec();
        let answer = self
            .request(entry, Method::Post, &path, &headers, body)
            .await?;
        program.turn += 1;
        program.latency += begun.elapsed();
        Ok(answer)
    }

    /// Calls a service at the next entry daemon.
    pub async fn service(
        &self,
        program: &mut Program,
        service: &Service<'_>,
    ) -> Result<Response, Failure> {
        self.service_at(self.next_entry(), program, service).await
    }

    /// What the system says of a program.
    pub async fn inspect(&self, program: &Program) -> Result<Value, Failure> {
        let path = format!("/v1/programs/{}", program.id);
        let answer = self
            .request(self.next_entry(), Method::Get, &path, &[], vec![])
            .await?;
        Ok(serde_json::from_slice(&answer.body).unwrap_or_default())
    }

    /// Ends a program.
    pub async fn close(&self, program: &Program) -> Result<(), Failure> {
        let path = format!("/v1/programs/{}", program.id);
        self.request(self.next_entry(), Method::Delete, &path, &[], vec![])
            .await?;
        Ok(())
    }
}

fn whole_content(body: &[u8]) -> Result<String, Failure> {
    let value: Value =
        serde_json::from_slice(body).map_err(|e| Failure::UnexpectedResponse(e.to_string()))?;
    let content = value["choices"][0]["message"]["content"].as_str();
    let missing = || Failure::UnexpectedResponse(value.to_string());
    content.map(str::to_owned).ok_or_else(missing)
}

/// The text of a stream, which must have its proper end.
pub fn streamed_content(body: &[u8]) -> Result<String, Failure> {
    let body = String::from_utf8_lossy(body);
    let mut content = String::new();
    let mut ended = false;
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let event: Value =
            serde_json::from_str(data).map_err(|e| Failure::UnexpectedResponse(e.to_string()))?;
        let piece = event["choices"][0]["delta"]["content"].as_str();
        content.push_str(piece.unwrap_or_default());
    }
    match ended {
        true => Ok(content),
        false => Err(Failure::UnexpectedResponse(
            "the stream has no end".to_owned(),
        )),
    }
}
