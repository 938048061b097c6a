//! Texts that engines decode: a function of the prompt, so that a caller can
//! check that an answer is whole and its own.

use kingcupspan_core::digest::Digest;
use serde_json::Value;

/// Shortest answer, in tokens.
const ANSWER_MIN_TOKENS: u64 = 8;

/// By how much answers differ in length, in tokens.
const ANSWER_SPREAD_TOKENS: u64 = 25;

/// Tokens of a text: its words.
pub fn tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// The content of a message.
pub fn content(message: &Value) -> &str {
    message["content"].as_str().unwrap_or_default()
}

/// Tokens of a list of messages.
pub fn prompt_tokens(messages: &[Value]) -> u64 {
    messages.iter().map(|m| tokens(content(m))).sum()
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
pub fn answer(messages: &[Value], max_tokens: u64) -> Vec<String> {
    let digest = digest(messages);
    let natural = ANSWER_MIN_TOKENS + digest.prefix_u64() % ANSWER_SPREAD_TOKENS;
    let asked = messages.last().and_then(|m| asked_tokens(content(m)));
    let length = asked.unwrap_or(natural).min(max_tokens);
    let word = |i: u64| match i {
        0 => format!("answer-{:016x}", digest.prefix_u64()),
        _ => format!(
            "w{:06x}",
            digest.chain(&i.to_be_bytes()).prefix_u64() & 0xff_ffff
        ),
    };
    (0..length).map(word).collect()
}

fn asked_tokens(content: &str) -> Option<u64> {
    let word = content
        .split_whitespace()
        .find_map(|w| w.strip_prefix("decode="))?;
    word.parse().ok()
}
