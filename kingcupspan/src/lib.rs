//! Scheduler daemon and gateway of kingcupspan, and their commands.

pub mod cli;
pub mod clock;
pub mod command;
pub mod controller;
pub mod daemon;
pub mod edge;
pub mod filter;
pub mod gateway;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod peers;
