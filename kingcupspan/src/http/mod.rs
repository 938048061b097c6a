//! HTTP/1.1 between callers and endpoints, passed on byte for byte.
//!
//! `async-h1` normalizes request targets and takes some cut answers for whole
//! ones (docs/DESIGN.md), so this path parses heads with `httparse` and frames
//! bodies itself.

pub mod conn;
pub mod framing;
pub mod head;
