//! Controllers: background tasks that each keep one part of the daemon's state up to date.

pub mod cache;
pub mod configuration;
pub mod drain;
pub mod endpoints;
pub mod expiry;
pub mod grants;
pub mod leases;
pub mod log_health;
pub mod membership;
pub mod pacer;
pub mod quarantine;
pub mod refusals;
pub mod slots;
