//! Tests of gateway processes whose endpoints differ: in their software versions, or in the daemons
//! that reach them.

#[allow(dead_code)] // Each test binary uses only part of this module.
#[path = "../gateway/fleet.rs"]
mod fleet;
#[allow(dead_code)] // As above.
#[path = "../common/process.rs"]
mod process;

mod continued_streams;
mod ended_peers;
mod ended_processes;
mod late_responses;
mod linked;
mod out_of_step;
mod reviewed;
mod tunnel_ends;
mod unreached_endpoints;
mod versions;
