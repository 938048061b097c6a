//! A fleet for failure tests: daemons as real processes, the platform and the
//! endpoints as stand-ins in the test's process, relays that can be cut.

// Each test program uses its own part of this.
#![allow(dead_code, unused_imports)]

pub mod fleet;
pub mod process;
pub mod requests;

pub use fleet::{Fleet, FleetOptions};
