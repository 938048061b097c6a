//! Programs that check their own answers, for use under failures.

use std::time::{Duration, Instant};

use async_std::task;
use kingcupspan::edge::problem::{Kind, Ran};
use kingcupspan_standin::caller::{Caller, Chat, Failure, Program, Response, Service};

/// A model turn with a text.
pub fn chat(text: &str) -> Chat<'_> {
    Chat {
        model: "model",
        text,
        max_tokens: 16,
        stream: false,
    }
}

/// A streamed model turn with a text.
pub fn streamed(text: &str) -> Chat<'_> {
    Chat {
        stream: true,
        ..chat(text)
    }
}

/// A charge that must not run twice.
pub fn charge(key: &str) -> Service<'_> {
    Service {
        service: "ledger",
        path: "charges",
        body: "{\"amount\":12}",
        key: Some(key),
    }
}

/// How a charge ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Charged {
    /// It was answered.
    Yes,

    /// Its outcome stayed unknown.
    Unknown,

    /// It was refused as not run to the end.
    No,
}

/// Charges through every daemon in turn until the outcome is settled or time is over.
///
/// Returns how it ended and whether "not run" was ever said.
pub async fn charge_patiently(
    caller: &Caller,
    program: &mut Program,
    key: &str,
    patience: Duration,
) -> Charged {
    let until = Instant::now() + patience;
    let mut last = Charged::No;
    while Instant::now() < until {
        match caller.service(program, &charge(key)).await {
            Ok(Response { status: 200, .. }) => return Charged::Yes,
            Ok(answer) => panic!("unexpected status {}", answer.status),
            Err(failure) => {
                last = match failure.ran() {
                    Ran::No => last,
                    Ran::Yes | Ran::Unknown => Charged::Unknown,
                };
                assert_ne!(failure.kind(), Some(Kind::Conflict), "{failure}");
            }
        }
        task::sleep(Duration::from_millis(60)).await;
    }
    last
}

/// Takes a turn that must succeed in time, whatever fails meanwhile.
pub async fn must_chat(caller: &Caller, program: &mut Program, text: &str) -> Duration {
    let begun = Instant::now();
    let result = caller
        .chat_with_retries(program, &chat(text), Duration::from_secs(25))
        .await;
    if let Err(failure) = result {
        panic!("turn {} of {}: {failure}", program.turn, program.id);
    }
    begun.elapsed()
}

/// A failure that changes nothing: refused, and said so.
pub fn is_clear_refusal(failure: &Failure) -> bool {
    failure.ran() == Ran::No
}
