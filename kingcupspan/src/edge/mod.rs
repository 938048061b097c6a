//! Network protocols towards callers, endpoints, peers and the platform.

pub mod body;
pub mod client;
pub mod endpoint;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod server;
pub mod tcp;
