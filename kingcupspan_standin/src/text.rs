//! Texts that engines decode: a function of the prompt, so that a caller can
//! check that an answer is whole and its own.

use kingcupspan_core::digest::Digest;
use serde_json::Value;

/// Shortest answer, in tokens.
const RESPONSE_MIN_TOKENS: u64 = 8;

/// By how much answers differ in length, in tokens.
const RESPONSE_LENGTH_RANGE_TOKENS: u64 = 25;

/// Tokens of a text: its words.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// The content of a message.
pub fn content(message: &Value) -> &str {
    message["content"].as_str().unwrap_or_default()
}

/// Tokens of a list of messages.
pub fn count_prompt_tokens(messages: &[Value]) -> u64 {
    messages.iter().map(|m| count_tokens(content(m))).sum()
}

/// Digest of a list of messages.
pub fn digest(messages: &[Value]) -> Digest {
    messages.iter().fold(Digest::default(), |digest, m| {
        let role = m["role"].as_str().unwrap_or_default();
        digest.chain(role.as_bytes()).chain(content(m).as_bytes())
    })
}

/// The words that an engine decodes for a prompt; a message that holds
/// `decode=N` asks for N tokens.
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

fn requested_tokens(content: &str) -> Option<u64> {
    let word = content
        .split_whitespace()
        .find_map(|w| w.strip_prefix("decode="))?;
    word.parse().ok()
}
