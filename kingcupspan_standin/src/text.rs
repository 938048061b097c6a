//! Deterministic response texts of the engine stand-in.
//!
//! A response is a function of its prompt, so a caller can check that the
//! response is complete and was not generated for another request.

use kingcupspan_core::digest::Digest;
use serde_json::Value;

/// Shortest response for a prompt that requests no length.
const RESPONSE_MIN_TOKENS: u64 = 8;

/// Number of different lengths that responses can have.
const RESPONSE_LENGTH_RANGE_TOKENS: u64 = 25;

/// Counts the tokens of a text; each word counts as one token.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// Returns the content of a message, or an empty string if it has none.
pub fn content(message: &Value) -> &str {
    message["content"].as_str().unwrap_or_default()
}

/// Counts the tokens of all messages of a prompt.
pub fn count_prompt_tokens(messages: &[Value]) -> u64 {
    messages.iter().map(|m| count_tokens(content(m))).sum()
}

/// Computes the digest of the roles and contents of all messages.
pub fn digest(messages: &[Value]) -> Digest {
    messages.iter().fold(Digest::default(), |digest, m| {
        let role = m["role"].as_str().unwrap_or_default();
        digest.chain(role.as_bytes()).chain(content(m).as_bytes())
    })
}

/// Returns the words that an engine decodes for a prompt.
///
/// The digest of the prompt determines their number, unless the last message
/// contains `decode=N`, which requests N tokens.
pub fn response_words(messages: &[Value], max_tokens: u64) -> Vec<String> {
    let digest = digest(messages);
    let default_length = RESPONSE_MIN_TOKENS + digest.prefix_u64() % RESPONSE_LENGTH_RANGE_TOKENS;
    let requested = messages.last().and_then(|m| requested_tokens(content(m)));
    let length = requested.unwrap_or(default_length).min(max_tokens);
    let word = |i: u64| match i {
        0 => format!("answer-{:016x}", digest.prefix_u64()),
        _ => format!(
            "w{:06x}",
            digest.chain(&i.to_be_bytes()).prefix_u64() & 0xff_ffff
        ),
    };
    (0..length).map(word).collect()
}

/// Parses the number of tokens that a message requests by `decode=N`.
fn requested_tokens(content: &str) -> Option<u64> {
    let word = content
        .split_whitespace()
        .find_map(|w| w.strip_prefix("decode="))?;
    word.parse().ok()
}
