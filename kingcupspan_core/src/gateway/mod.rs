//! Decisions of a daemon that stands on the users' platform: routes, endpoints,
//! placement, budgets and histories.

pub mod admission;
pub mod allocation;
pub mod call;
pub mod crash_tracker;
pub mod endpoint;
pub mod events;
pub mod expiry;
pub mod grant;
pub mod history;
pub mod placement;
pub mod routing;
