//! Settings of a process and configuration of the fleet.
//!
//! Raw input is JSON; the checked types are made from it by `TryFrom`, which
//! reports every finding with its place.

pub mod caller;
pub mod configuration;
pub mod endpoint;
pub mod exception;
pub mod finding;
pub mod limits;
pub mod reader;
pub mod service;
pub mod settings;
