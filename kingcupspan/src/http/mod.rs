//! HTTP/1.1 messages that are proxied between callers and endpoints byte for byte.
//!
//! `async-h1` normalizes request targets and accepts some truncated responses as complete
//! (docs/DESIGN.md), so this module parses heads with `httparse` and frames bodies itself.

pub mod conn;
pub mod framed;
pub mod framing;
pub mod head;
pub mod held_bytes;
pub mod read_error;
