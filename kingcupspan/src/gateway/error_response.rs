//! HTTP error responses that the daemon generates itself.

use std::time::Duration;

use kingcupspan_core::gateway::call::RequestId;
use kingcupspan_platform::headers;

/// Retry delay sent to a caller for whose request there is no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason why the daemon answers a request with an error of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum ErrorReason {
    /// The request head or body is malformed.
    #[display("malformed request")]
    MalformedRequest,

    /// The request head exceeds the size limit.
    #[display("head too large")]
    HeadTooLarge,

    /// The request body exceeds the size limit.
    #[display("body too large")]
    BodyTooLarge,

    /// The request head or body was not received before its timeout.
    #[display("slow request")]
    SlowRequest,

    /// There is no memory left for the request.
    #[display("memory short")]
    MemoryShort,

    /// No route matches the request's host and path.
    #[display("no route")]
    NoRoute,

    /// The request has no key that a workspace holds.
    #[display("unknown key")]
    UnknownKey,

    /// The requests of the workspace have reached its limit.
    #[display("quota reached")]
    QuotaReached,

    /// No daemon that could tell whether the quota is reached responds.
    #[display("quota unknown")]
    QuotaUnknown,

    /// The previous turn that the request names does not exist.
    #[display("no such turn")]
    UnknownTurn,

    /// The previous turn was found, but not all turns before it.
    #[display("turn not found")]
    TurnUnavailable,

    /// The program's token budget is used up.
    #[display("budget spent")]
    BudgetExhausted,

    /// Turns in flight have reserved the remaining tokens of the program's budget.
    #[display("budget reserved")]
    BudgetReserved,

    /// The daemon has not received a configuration yet.
    #[display("no configuration")]
    NoConfiguration,

    /// No route matches, but a newer configuration may have one.
    #[display("configuration outdated")]
    ConfigurationOutdated,

    /// The service has no endpoint that accepts requests.
    #[display("no endpoint")]
    NoEndpoint,

    /// The request is blocked because endpoints repeatedly crashed while running it.
    #[display("crashes endpoints")]
    CrashesEndpoints,

    /// The engines are overloaded and the program has not started yet.
    #[display("engines overloaded")]
    EnginesOverloaded,

    /// Every endpoint tried refused the request or could not be reached.
    #[display("endpoints full")]
    EndpointsFull,

    /// It is not known which software version has begun the stream that the request continues.
    #[display("unknown stream")]
    UnknownStream,

    /// No endpoint of the software version that has begun the stream accepts requests.
    #[display("version not served")]
    VersionNotServed,

    /// The data needed for the request cannot be read because the store is unreachable.
    #[display("store away")]
    StoreUnreachable,

    /// The daemon stops before the request would be complete.
    #[display("stopping")]
    Stopping,

    /// The deadline expired before the request was sent to an endpoint.
    #[display("timeout before sending")]
    TimeoutBeforeSend,

    /// The deadline expired after the request was sent to an endpoint.
    #[display("timeout")]
    TimeoutAfterSend,

    /// The request may have run on an endpoint, but no complete response was received.
    #[display("no whole answer")]
    NoOutcome,
}

impl ErrorReason {
    /// Returns the HTTP status; 408, 429 and 503 guarantee that the request has not run.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedRequest => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::SlowRequest => 408,
            Self::NoRoute | Self::UnknownTurn => 404,
            Self::UnknownKey => 401,
            Self::BudgetExhausted => 402,
            Self::QuotaReached => 429,
            Self::BudgetReserved
            | Self::QuotaUnknown
            | Self::MemoryShort
            | Self::NoConfiguration
            | Self::ConfigurationOutdated
            | Self::TurnUnavailable
            | Self::NoEndpoint
            | Self::CrashesEndpoints
            | Self::EnginesOverloaded
            | Self::EndpointsFull
            | Self::UnknownStream
            | Self::VersionNotServed
            | Self::StoreUnreachable
            | Self::Stopping
            | Self::TimeoutBeforeSend => 503,
            Self::TimeoutAfterSend => 504,
            Self::NoOutcome => 502,
        }
    }

    /// Returns the reason phrase of the HTTP status.
    fn status_text(self) -> &'static str {
        match self.status() {
            400 => "Bad Request",
            401 => "Unauthorized",
            402 => "Payment Required",
            404 => "Not Found",
            408 => "Request Timeout",
            413 => "Content Too Large",
            429 => "Too Many Requests",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            _ => "Gateway Timeout",
        }
    }
}

/// An HTTP error response generated by the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Reason for the error, sent to the caller as the body.
    pub reason: ErrorReason,

    /// Time after which the caller should retry.
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
    /// Creates the response to a request that was not read completely.
    pub fn unread(reason: ErrorReason) -> Self {
        let is_temporary = reason == ErrorReason::MemoryShort;
        Self {
            reason,
            retry_after: is_temporary.then_some(MEMORY_RETRY_AFTER),
        }
    }

    /// Encodes the complete response, naming request `id` and announcing whether the
    /// connection is closed.
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
            let (name, value) = headers::request_id_header(id);
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
