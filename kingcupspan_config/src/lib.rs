//! Validates the settings of a daemon and the configuration of the fleet.
//!
//! The input is JSON. Each checked type is built from it by `TryFrom`, which reports
//! all problems in the input together, each with its JSON pointer.

pub mod caller;
pub mod configuration;
pub mod endpoint;
pub mod exception;
pub mod finding;
pub mod limits;
pub mod reader;
pub mod service;
pub mod settings;
