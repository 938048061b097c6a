//! Scheduling decisions and protocol state machines of kingcupspan.
//!
//! This crate opens no sockets, reads no clocks and starts no threads. Time and
//! randomness are passed as arguments, so that a model checker can run the same
//! code as the daemon.

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
