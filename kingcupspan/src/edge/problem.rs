//! Error responses to callers in the format `application/problem+json` (RFC 9457).

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Media type of a problem response.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Whether the failed request took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request did not take effect and never will.
    #[display("no")]
    No,

    /// The request took effect.
    #[display("yes")]
    Yes,

    /// The request may have taken effect.
    #[display("unknown")]
    Unknown,
}

/// Type of a problem, sent to callers under a stable name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,

    /// The caller's key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,

    /// The caller is not allowed to use the workspace.
    #[display("forbidden")]
    Forbidden,

    /// The budget does not cover the call.
    #[display("budget-exhausted")]
    BudgetExhausted,

    /// The requested resource does not exist or belongs to another caller.
    #[display("not-found")]
    NotFound,

    /// The turn was already used for a different request, or its history does not match.
    #[display("conflict")]
    Conflict,

    /// Earlier turns of the program have not ended.
    #[display("out-of-order")]
    OutOfOrder,

    /// The request body is too large.
    #[display("too-large")]
    TooLarge,

    /// The request did not arrive within the timeout.
    #[display("slow-request")]
    SlowRequest,

    /// The caller exceeds its share of the capacity.
    #[display("over-share")]
    OverShare,

    /// The request matches one that has crashed endpoints.
    #[display("quarantined")]
    Quarantined,

    /// No endpoint or daemon can serve the request at present.
    #[display("unavailable")]
    Unavailable,

    /// The call was sent, but its outcome is unknown.
    #[display("outcome-unknown")]
    OutcomeUnknown,

    /// The slot is owned by another daemon; used only between daemons.
    #[display("moved")]
    Moved,
}

impl Kind {
    /// Returns the HTTP status code for this type of problem.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden | Self::BudgetExhausted => 403,
            Self::NotFound => 404,
            Self::SlowRequest => 408,
            Self::Conflict | Self::OutOfOrder => 409,
            Self::TooLarge => 413,
            Self::Moved => 421,
            Self::Quarantined => 422,
            Self::OverShare => 429,
            Self::OutcomeUnknown => 502,
            Self::Unavailable => 503,
        }
    }
}

/// Description of a rejected or failed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Problem {
    /// Type of the problem.
    #[serde(rename = "type")]
    pub kind: Kind,

    /// HTTP status code.
    pub status: u16,

    /// Explanation of what happened and what the caller can do.
    pub detail: String,

    /// Whether the request took effect.
    pub ran: Ran,

    /// Time after which a retry makes sense, in seconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Creates a problem for a request that had no effect.
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            status: kind.status(),
            detail: detail.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Creates a problem for a request that may have taken effect.
    pub fn unknown(detail: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(Kind::OutcomeUnknown, detail)
        }
    }

    /// Sets the time after which a retry makes sense, in seconds.
    pub fn retry_after(mut self, seconds: u64) -> Self {
        self.retry_after = Some(seconds);
        self
    }

    /// Builds the HTTP response that carries the problem.
    pub fn response(&self) -> http_types::Response {
        let mut res = http_types::Response::new(self.status);
        res.set_body(serde_json::to_vec(self).unwrap_or_default());
        res.set_content_type(http_types::mime::Mime::from(MEDIA_TYPE));
        if let Some(seconds) = self.retry_after {
            res.insert_header("Retry-After", seconds.to_string());
        }
        res
    }
}
