//! Requests that tests send while failures are injected, and checks of the results.

use std::time::{Duration, Instant};

use async_std::task;
use kingcupspan::edge::problem::{Kind, Ran};
use kingcupspan_standin::caller::{Caller, Chat, Failure, Program, Response, Service};

/// Builds a model turn with the given user text.
pub fn chat(text: &str) -> Chat<'_> {
    Chat {
        model: "model",
        text,
        max_tokens: 16,
        stream: false,
    }
}

/// Builds a model turn with the given user text and a streamed response.
pub fn streamed_chat(text: &str) -> Chat<'_> {
    Chat {
        stream: true,
        ..chat(text)
    }
}

/// Builds a non-idempotent service call that must run at most once.
pub fn charge(key: &str) -> Service<'_> {
    Service {
        service: "ledger",
        path: "charges",
        body: "{\"amount\":12}",
        key: Some(key),
    }
}

/// Outcome of a charge as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChargeOutcome {
    /// The charge succeeded.
    Completed,

    /// The caller was told that the charge may have run.
    Unknown,

    /// Every attempt was refused as not run.
    NotRun,
}

/// Sends a charge, with retries through all daemons in turn, until it succeeds or the timeout
/// expires.
///
/// Returns the outcome; once an attempt has reported that the charge may have run, later
/// refusals do not reset the outcome to `NotRun`.
pub async fn charge_with_retries(
    caller: &Caller,
    program: &mut Program,
    key: &str,
    timeout: Duration,
) -> ChargeOutcome {
    let deadline = Instant::now() + timeout;
    let mut outcome = ChargeOutcome::NotRun;
    while Instant::now() < deadline {
        match caller.service(program, &charge(key)).await {
            Ok(Response { status: 200, .. }) => return ChargeOutcome::Completed,
            Ok(answer) => panic!("unexpected status {}", answer.status),
            Err(failure) => {
                outcome = match failure.ran() {
                    Ran::No => outcome,
                    Ran::Yes | Ran::Unknown => ChargeOutcome::Unknown,
                };
                assert_ne!(failure.kind(), Some(Kind::Conflict), "{failure}");
            }
        }
        task::sleep(Duration::from_millis(60)).await;
    }
    outcome
}

/// Runs a model turn with retries and panics unless it succeeds within 25 seconds.
///
/// Returns the time that the turn took.
pub async fn chat_must_succeed(caller: &Caller, program: &mut Program, text: &str) -> Duration {
    let started_at = Instant::now();
    let result = caller
        .chat_with_retries(program, &chat(text), Duration::from_secs(25))
        .await;
    if let Err(failure) = result {
        panic!("turn {} of {}: {failure}", program.turn, program.id);
    }
    started_at.elapsed()
}

/// Whether the failure reports that the request was not run.
pub fn was_not_run(failure: &Failure) -> bool {
    failure.ran() == Ran::No
}
