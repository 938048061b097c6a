//! Decision logic of the gateway daemon, which runs on the users' platform: routes,
//! endpoints, placement, token budgets and conversation histories.

pub mod admission;
pub mod allocation;
pub mod allocation_homes;
pub mod byte_budget;
pub mod call;
pub mod crash_tracker;
pub mod distribution;
pub mod endpoint;
pub mod endpoint_health;
pub mod events;
pub mod expected_finish;
pub mod expiry;
pub mod fragment;
pub mod history;
pub mod incarnation;
pub mod load_report;
pub mod outage;
pub mod placement;
pub mod quota;
pub mod rate_limit;
pub mod route_table;
pub mod routing;
pub mod second_copy;
pub mod shares;
pub mod stream_origin;
pub mod turn_queue;
pub mod workspace;
