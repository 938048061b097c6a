//! Small stand-ins for the platform and the endpoints, and drivers for tests
//! and measurements.
//!
//! They answer as the real ones do and fail when told to; they simulate nothing
//! beyond that.

pub mod caller;
pub mod cli;
pub mod compare;
pub mod embedded;
pub mod engine;
pub mod faults;
pub mod http;
pub mod load;
pub mod log_service;
pub mod overhead;
pub mod relay;
pub mod sample;
pub mod scenario;
pub mod service;
pub mod text;
pub mod try_run;
pub mod vm_list;
pub mod weights;
