//! Answers of this daemon itself.

use std::time::Duration;

use kingcupspan_core::gateway::call::RequestId;
use kingcupspan_platform::headers;

/// Why this daemon answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum ErrorReason {
    /// The head or the body is malformed.
    #[display("malformed request")]
    MalformedRequest,

    /// The head is too large.
    #[display("head too large")]
    HeadTooLarge,

    /// The body is too large.
    #[display("body too large")]
    BodyTooLarge,

    /// The request did not arrive in time.
    #[display("slow request")]
    SlowRequest,

    /// No route serves the host and path.
    #[display("no route")]
    NoRoute,

    /// The named turn does not exist.
    #[display("no such turn")]
    UnknownTurn,

    /// The named turn is not found, and a copy of it may be out of reach.
    #[display("turn not found")]
    TurnUnavailable,

    /// The program's budget is spent.
    #[display("budget spent")]
    BudgetExhausted,

    /// Turns under way have reserved what is left of the budget.
    #[display("budget reserved")]
    BudgetReserved,

    /// No configuration is known yet.
    #[display("no configuration")]
    NoConfiguration,

    /// The service has no endpoint that takes requests.
    #[display("no endpoint")]
    NoEndpoint,

    /// Endpoints that ran the same request have crashed.
    #[display("crashes endpoints")]
    CrashesEndpoints,

    /// The engines have more work than they can do, and the program has not begun.
    #[display("engines overloaded")]
    EnginesOverloaded,

    /// Every endpoint that was asked refused.
    #[display("endpoints full")]
    EndpointsFull,

    /// What the store holds cannot be told.
    #[display("store away")]
    StoreUnreachable,

    /// The request has been waiting for too long and was not sent.
    #[display("timeout before sending")]
    TimeoutBeforeSend,

    /// The request was sent and no answer came in time.
    #[display("timeout")]
    TimeoutAfterSend,

    /// The request was sent and its outcome is unknown.
    #[display("no whole answer")]
    NoOutcome,
}

impl ErrorReason {
    /// The HTTP status; 408, 429 and 503 promise that the request has not run.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedRequest => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::SlowRequest => 408,
            Self::NoRoute | Self::UnknownTurn => 404,
            Self::BudgetExhausted => 402,
            Self::BudgetReserved
            | Self::NoConfiguration
            | Self::TurnUnavailable
            | Self::NoEndpoint
            | Self::CrashesEndpoints
            | Self::EnginesOverloaded
            | Self::EndpointsFull
            | Self::StoreUnreachable
            | Self::TimeoutBeforeSend => 503,
            Self::TimeoutAfterSend => 504,
            Self::NoOutcome => 502,
        }
    }

    fn status_text(self) -> &'static str {
        match self.status() {
            400 => "Bad Request",
            402 => "Payment Required",
            404 => "Not Found",
            408 => "Request Timeout",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            _ => "Gateway Timeout",
        }
    }
}

/// An answer of this daemon itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Why.
    pub reason: ErrorReason,

    /// When the caller should come back.
    pub retry_after: Option<Duration>,
}

impl From<ErrorReason> for ErrorResponse {
    fn from(reason: ErrorReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

impl ErrorResponse {
    /// The answer's bytes.
    pub fn encode(&self, id: Option<&RequestId>, should_close: bool) -> Vec<u8> {
        let status = self.reason.status();
        let body = format!("{}\n", self.reason);
        let mut out = format!("HTTP/1.1 {status} {}\r\n", self.reason.status_text());
        let mut header = |name: &str, value: &str| {
            out.push_str(name);
            out.push_str(": ");
            out.push_str(value);
            out.push_str("\r\n");
        };
        header("Content-Type", "text/plain");
        header("Content-Length", &body.len().to_string());
        if let Some(id) = id {
            let (name, value) = headers::answer_id(id);
            header(name, &value);
        }
        if let Some(delay) = self.retry_after {
            header("Retry-After", &format!("{:.3}", delay.as_secs_f64()));
        }
        if should_close {
            header("Connection", "close");
        }
        out.push_str("\r\n");
        out.push_str(&body);
        out.into_bytes()
    }
}
