//! Tests of the gateway's decision logic, without sockets or clocks.

mod admission;
mod allocation;
mod budget_spec;
mod crash_tracker;
mod directory;
mod distribution;
mod events;
mod expiry;
mod fragment;
mod history;
mod outage;
mod placement;
mod quota;
mod quota_model;
mod rate_limit;
mod route_table;
mod routing;
mod turn_queue;
mod turn_spec;
