//! Quotas of workspaces, which hold for the requests of all daemons together.
//!
//! Each failure domain owns a fixed part of a quota, so that the sum holds whatever is cut off
//! from whatever. In each domain one daemon, the workspace's home there, keeps the part in a
//! [`Bucket`] and hands out tokens, which the other daemons spend before they expire. A home that
//! is short of tokens borrows some of the other domains' homes.
//!
//! Of the requests that the users allow in a window beyond rate and burst, a tenth and
//! [`WINDOW_SLACK`], the parts below use up these shares: the capacity of the buckets beyond the
//! burst, the tokens granted before the window that are spent in it, and what a restart or a
//! change of the home adds.

mod allowance;
mod bucket;
mod home;
mod lending;
mod max_wait;
mod meter;
mod moment;

pub use self::{
    allowance::{Allowance, Grant, Token},
    bucket::{Bucket, Refusal},
    home::{Granted, Home},
    lending::{Lenders, Loans},
    max_wait::max_wait,
    meter::Meter,
    moment::Moment,
};
use super::workspace::Quota;

/// Requests that the users allow in a window beyond the limit and a tenth of it.
pub const WINDOW_SLACK: f64 = 20.0;

/// Tokens that the buckets of all domains hold beyond the burst, so that each holds a whole one.
const EXTRA_CAPACITY: f64 = 6.0;

/// Time for which the buckets collect the rate beyond the burst, in seconds.
const EXTRA_CAPACITY_S: f64 = 0.1;

/// Longest validity of a token, in milliseconds.
const MAX_VALIDITY_MS: f64 = 2_000.0;

/// Validity of a token of a high rate, in milliseconds.
const MIN_VALIDITY_MS: f64 = 250.0;

/// Tokens beyond the rate during [`MIN_VALIDITY_MS`] that may be granted and not yet spent.
const UNSPENT: f64 = 5.0;

/// Part of a quota that a failure domain owns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Tokens a second.
    pub per_s: f64,

    /// Most tokens that are kept.
    pub capacity: f64,

    /// Tokens that are kept beyond the burst, one at least.
    pub extra: f64,

    /// Time within which a granted token has to be spent, in milliseconds.
    pub validity_ms: u64,
}

impl Part {
    /// Part of each of `domains` failure domains.
    pub fn of(quota: &Quota, domains: usize) -> Self {
        let domains = domains.max(1) as f64;
        let per_s = f64::from(quota.rate);
        let extra = EXTRA_CAPACITY + EXTRA_CAPACITY_S * per_s;
        let validity_ms = MIN_VALIDITY_MS + UNSPENT * 1_000.0 / per_s.max(f64::MIN_POSITIVE);
        Self {
            per_s: per_s / domains,
            capacity: ((quota.burst + extra) / domains).max(1.0),
            extra: (extra / domains).max(1.0),
            validity_ms: validity_ms.min(MAX_VALIDITY_MS) as u64,
        }
    }
}
