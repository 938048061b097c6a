//! Errors as callers see them: `application/problem+json` (RFC 9457).

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Media type of a problem.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Whether the refused request took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not and never will.
    #[display("no")]
    No,

    /// It did.
    #[display("yes")]
    Yes,

    /// It may have.
    #[display("unknown")]
    Unknown,
}

/// What went wrong, as a stable name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,

    /// The key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,

    /// The caller may not use this workspace.
    #[display("forbidden")]
    Forbidden,

    /// The budget does not cover the call.
    #[display("budget-exhausted")]
    BudgetExhausted,

    /// There is no such thing for this caller.
    #[display("not-found")]
    NotFound,

    /// The turn carries another request or another history.
    #[display("conflict")]
    Conflict,

    /// Earlier turns have not ended.
    #[display("out-of-order")]
    OutOfOrder,

    /// The body is too large.
    #[display("too-large")]
    TooLarge,

    /// The request was sent too slowly.
    #[display("slow-request")]
    SlowRequest,

    /// The caller is over its share.
    #[display("over-share")]
    OverShare,

    /// A request like this one has crashed endpoints.
    #[display("quarantined")]
    Quarantined,

    /// Nothing can serve the request now.
    #[display("unavailable")]
    Unavailable,

    /// The outcome of the call is not known.
    #[display("outcome-unknown")]
    OutcomeUnknown,

    /// The slot has moved to another daemon; only between daemons.
    #[display("moved")]
    Moved,
}

impl Kind {
    /// The HTTP status that goes with it.
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

/// A refusal or failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Problem {
    /// What went wrong.
    #[serde(rename = "type")]
    pub kind: Kind,

    /// The HTTP status.
    pub status: u16,

    /// What happened and what the caller can do.
    pub detail: String,

    /// Whether the request took effect.
    pub ran: Ran,

    /// Seconds after which a retry makes sense.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// A problem with a request that did not run.
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            status: kind.status(),
            detail: detail.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// A problem with a request that may have run.
    pub fn unknown(detail: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(Kind::OutcomeUnknown, detail)
        }
    }

    /// The same, with the seconds after which a retry makes sense.
    pub fn retry_after(mut self, seconds: u64) -> Self {
        self.retry_after = Some(seconds);
        self
    }

    /// The problem as an HTTP response.
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
