//! Stand-ins for the platform's services and the endpoints, and drivers for
//! tests and measurements.
//!
//! The stand-ins respond like the real services and inject faults on request;
//! they simulate nothing else.

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
