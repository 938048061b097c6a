//! Fixtures of the failure tests: daemons run as separate processes, the platform and most
//! endpoints as stand-ins within the test's process, and relays inject network faults.

// Each test binary uses only some of the fixtures.
#![allow(dead_code, unused_imports)]

pub mod fleet;
pub mod process;
pub mod requests;

pub use fleet::{Fleet, FleetOptions};
