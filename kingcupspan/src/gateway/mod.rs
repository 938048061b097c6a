//! The daemon on the users' platform: takes requests of callers, keeps what
//! must last in the platform's store, and forwards to endpoints.

pub mod backlog;
pub mod blocked_requests;
pub mod commits;
pub mod configuration;
pub mod endpoints;
pub mod error_response;
pub mod exchange;
pub mod follower;
pub mod ingress;
pub mod keeper;
pub mod last_engines;
pub mod ledger;
pub mod members;
pub mod metrics;
pub mod partitions;
pub mod peer_service;
pub mod peers;
pub mod reach;
pub mod recall;
pub mod relay;
pub mod run;
pub mod serve;
pub mod shutdown;
pub mod store;
pub mod upstream;
