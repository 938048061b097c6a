//! Edges of the process: everything that speaks a protocol.

pub mod body;
pub mod client;
pub mod endpoint;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod server;
pub mod tcp;
