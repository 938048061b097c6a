//! Limits that hold by default and may be excepted from.

use serde::Serialize;

use crate::reader;

/// Largest accepted duration, in milliseconds: a week.
const DURATION_MAX_MS: u64 = 7 * 24 * 3600 * 1000;

/// Limits of a caller's requests and programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Largest token budget of a program.
    pub budget_tokens: u64,

    /// Largest budget of calls of a program.
    pub budget_calls: u64,

    /// Longest life of a program, in seconds.
    pub budget_seconds: u64,

    /// Calls of a caller that may wait for runners at one endpoint.
    pub waiting_calls: u64,

    /// Largest request body, in bytes.
    pub body_bytes: u64,

    /// How long a turn ahead of its order waits, in milliseconds.
    pub order_wait_ms: u64,

    /// How long a call may take in all, in milliseconds.
    pub call_deadline_ms: u64,

    /// How long an endpoint may take to the first byte, in milliseconds.
    pub first_byte_ms: u64,

    /// How long an endpoint may pause between bytes, in milliseconds.
    pub between_bytes_ms: u64,

    /// How often a call that may be repeated is sent, at most.
    pub attempts: u64,

    /// Retries per hundred calls of a caller.
    pub retry_percent: u64,

    /// Tokens decoded for a call that does not say how many.
    pub max_tokens: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            budget_tokens: 1_000_000,
            budget_calls: 1_000,
            budget_seconds: 24 * 3600,
            waiting_calls: 64,
            body_bytes: 1 << 20,
            order_wait_ms: 5_000,
            call_deadline_ms: 60_000,
            first_byte_ms: 10_000,
            between_bytes_ms: 5_000,
            attempts: 4,
            retry_percent: 20,
            max_tokens: 512,
        }
    }
}

impl Limits {
    /// These limits with the fields of `object` in their place.
    pub fn overlay(&self, object: &reader::ObjectReader<'_>) -> Self {
        let ms = 1..=DURATION_MAX_MS;
        Self {
            budget_tokens: object.integer_or("budget_tokens", self.budget_tokens, 1..=1 << 40),
            budget_calls: object.integer_or("budget_calls", self.budget_calls, 1..=1 << 32),
            budget_seconds: object.integer_or("budget_seconds", self.budget_seconds, 1..=604_800),
            waiting_calls: object.integer_or("waiting_calls", self.waiting_calls, 1..=1 << 20),
            body_bytes: object.integer_or("body_bytes", self.body_bytes, 1..=64 << 20),
            order_wait_ms: object.integer_or("order_wait_ms", self.order_wait_ms, ms.clone()),
            call_deadline_ms: object.integer_or(
                "call_deadline_ms",
                self.call_deadline_ms,
                ms.clone(),
            ),
            first_byte_ms: object.integer_or("first_byte_ms", self.first_byte_ms, ms.clone()),
            between_bytes_ms: object.integer_or("between_bytes_ms", self.between_bytes_ms, ms),
            attempts: object.integer_or("attempts", self.attempts, 1..=100),
            retry_percent: object.integer_or("retry_percent", self.retry_percent, 0..=100),
            max_tokens: object.integer_or("max_tokens", self.max_tokens, 1..=1 << 20),
        }
    }
}
