//! Tests of the gateway's decision logic, without sockets or clocks.

mod admission;
mod allocation;
mod allocation_homes;
mod backoff;
mod budget_spec;
mod byte_budget;
mod crash_tracker;
mod directory;
mod distribution;
mod endpoint_health;
mod events;
mod expected_finish;
mod expiry;
mod fragment;
mod history;
mod outage;
mod placement;
mod quota_patience;
mod rate_limit;
mod route_table;
mod routing;
mod second_copy;
mod shares;
mod turn_queue;
mod turn_spec;
mod workspace;
