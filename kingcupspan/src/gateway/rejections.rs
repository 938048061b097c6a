//! Requests and connections that are refused before a request has been read, counted by cause and
//! logged once in a while.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use derive_more::Display;
use parking_lot::Mutex;
use prometheus::IntCounterVec;

use crate::{gateway::error_response::ErrorReason, http::held_bytes::HeldBytes, metrics::opts};

/// Least time between two log lines of one cause.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Rejection {
    /// The request could not be read.
    Request(ErrorReason),

    /// The connection was not accepted.
    #[display("too many connections")]
    TooManyConnections,

    /// The connection held memory that others needed and made no progress.
    #[display("no progress")]
    NoProgress,
}

/// Refusals of one cause since the last log line about it.
struct Unlogged {
    logged_at: Instant,
    count: u64,
}

/// Refusals since the start.
pub struct Rejections {
    /// Refusals by cause.
    pub counts: IntCounterVec,
    unlogged: Mutex<HashMap<Rejection, Unlogged>>,
}

impl Default for Rejections {
    fn default() -> Self {
        let help = "Requests and connections refused before a request was read";
        let counts = IntCounterVec::new(opts("unread_requests_total", help), &["cause"]);
        Self {
            counts: counts.expect("the name and label are valid"),
            unlogged: Mutex::default(),
        }
    }
}

impl Rejections {
    /// Counts a refusal; logs it unless its cause was logged just before.
    pub fn note(&self, cause: Rejection) {
        self.note_many(cause, 1);
    }

    /// Counts refusals of one cause.
    fn note_many(&self, cause: Rejection, added: u64) {
        let text = cause.to_string();
        self.counts
            .with_label_values(&[text.as_str()])
            .inc_by(added);
        if let Some(count) = self.take_unlogged(cause, added) {
            log::warn!(cause = text.as_str(), count; "refusing requests or connections before they are read");
        }
    }

    /// Returns the number of refusals to log now, if it is time.
    fn take_unlogged(&self, cause: Rejection, added: u64) -> Option<u64> {
        let now = Instant::now();
        let mut unlogged = self.unlogged.lock();
        let Some(entry) = unlogged.get_mut(&cause) else {
            let entry = Unlogged {
                logged_at: now,
                count: 0,
            };
            unlogged.insert(cause, entry);
            return Some(added);
        };
        entry.count += added;
        if now.duration_since(entry.logged_at) < LOG_INTERVAL {
            return None;
        }
        entry.logged_at = now;
        Some(std::mem::take(&mut entry.count))
    }

    /// Counts the connections that gave way to others since the last call.
    pub fn note_stalled(&self, callers: &HeldBytes) {
        let count = callers.take_stalled_count();
        if count > 0 {
            self.note_many(Rejection::NoProgress, count);
        }
    }
}
