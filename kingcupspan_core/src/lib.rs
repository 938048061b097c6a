//! Decisions and protocol steps of the kingcupspan scheduler.
//!
//! Nothing here opens a socket, reads a clock or starts a thread: time and
//! randomness are arguments, so that a model checker can drive the same code.

pub mod budget;
pub mod digest;
pub mod document;
pub mod fair;
pub mod gateway;
pub mod id;
pub mod membership;
pub mod owner;
pub mod placement;
pub mod program;
pub mod quarantine;
pub mod reader;
pub mod record;
pub mod rendezvous;
pub mod replica;
pub mod retry;
pub mod slot;
pub mod usage;
