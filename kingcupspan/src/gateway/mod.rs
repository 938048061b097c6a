//! The gateway daemon: accepts requests of callers, keeps durable state in the platform's
//! store and forwards requests to endpoints.

pub mod allocation_homes;
pub mod backlog;
pub mod blocked_requests;
pub mod configuration;
pub mod connectivity;
pub mod endpoint_limits;
pub mod endpoints;
pub mod error_response;
pub mod exchange;
pub mod group_commit;
pub mod history_lookup;
pub mod ingress;
pub mod last_engines;
pub mod ledger;
pub mod membership;
pub mod metrics;
pub mod partition_cursor;
pub mod partitions;
pub mod peer_service;
pub mod peers;
pub mod quotas;
pub mod rejections;
pub mod relay;
pub mod run;
pub mod serve;
pub mod shutdown;
pub mod store;
pub mod stored_record;
pub mod tunnels;
pub mod turn_storage;
pub mod upstream;
pub mod workspace_use;
