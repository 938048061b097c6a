//! Rate limit that an endpoint names for the requests of all daemons together.
//!
//! One daemon, the endpoint's home, reserves a time for each request; the others ask it. A home
//! that takes over from another one reserves at a reduced rate until no request that the other
//! has allowed can add to its own.

use std::{num, str};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::MonoMs;

/// Rate above which an endpoint counts as unlimited, in requests a second.
const MAX_PER_S: f64 = 1_000.0;

/// Lowest rate at which requests are sent, in requests a second, so that an endpoint that takes
/// none is found to take some again.
const MIN_PER_S: f64 = 0.25;

/// Time for which an unused rate can be made up for, in milliseconds.
const BURST_MS: f64 = 250.0;

/// Time for which a home that takes over reserves at a reduced rate, in milliseconds; longer than
/// daemons take to learn of a new home.
pub const TAKEOVER_MS: u64 = 8_000;

/// Share of the rate at which a home reserves that takes over.
const TAKEOVER_SHARE: f64 = 0.4;

/// Span over which requests count as recent, in seconds.
const RECENT_S: f64 = 2.0;

/// Share of the rate up to which newcomers are taken; residents have the rest, since a program
/// that has to move has its whole prompt processed again.
const NEWCOMER_SHARE: f64 = 0.85;

/// Time after which a newcomer that was denied may ask again, in milliseconds.
const NEWCOMER_RETRY_MS: u64 = 300;

/// Number of requests a second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
#[display("{_0}/s")]
pub struct RequestRate(f64);

/// Error returned when a rate is not valid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum RateError {
    /// The value is not a number.
    #[error(transparent)]
    NotANumber(#[from] num::ParseFloatError),

    /// The number is negative or not finite.
    #[error("{0} is no rate")]
    OutOfRange(f64),
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_s: f64) -> Result<Self, RateError> {
        match per_s.is_finite() && per_s >= 0.0 {
            true => Ok(Self(per_s)),
            false => Err(RateError::OutOfRange(per_s)),
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl str::FromStr for RequestRate {
    type Err = RateError;

    fn from_str(raw: &str) -> Result<Self, RateError> {
        Self::try_from(raw.trim().parse::<f64>()?)
    }
}

impl RequestRate {
    /// Whether the rate is too high to be reached, so that it limits nothing.
    pub fn is_unlimited(self) -> bool {
        self.0 > MAX_PER_S
    }

    /// Requests a second that are sent.
    pub fn per_s(self) -> f64 {
        self.0.max(MIN_PER_S)
    }

    /// Number of requests that run at a time, in the mean, if each takes `seconds`.
    pub fn concurrency(self, seconds: f64) -> f64 {
        self.per_s() * seconds
    }
}

/// What a request would gain at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Claim {
    /// The endpoint has the request's prompt in its cache, or has no cache.
    Resident,

    /// The endpoint would have to process the prompt of the request's program, as others would.
    Newcomer,
}

/// Answer to the request for a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reservation {
    /// A request may be sent after so many milliseconds.
    After(u64),

    /// A request would have to wait for so many milliseconds, longer than is acceptable.
    Denied(u64),
}

/// Reserves times for the requests to one endpoint.
#[derive(Debug, Clone, Default)]
pub struct RateLimiter {
    /// Time from which on the rate is used up so far, in milliseconds.
    used_until: f64,

    /// End of the time in which the rate is reduced.
    reduced_until: MonoMs,

    /// Time of the last attempt to reserve.
    last_used: MonoMs,

    /// Requests lately, each of which counts less the longer ago it is; `None` before the first
    /// one.
    recent: Option<f64>,
}

impl RateLimiter {
    /// Reduces the rate for a while, since another home has reserved times lately.
    pub fn take_over(&mut self, now: MonoMs) {
        self.reduced_until = MonoMs(now.0 + TAKEOVER_MS);
    }

    /// Reserves the next time at which a request may be sent, unless it is more than
    /// `max_wait_ms` away, or the request is a newcomer and residents need the rate.
    pub fn reserve(
        &mut self,
        rate: RequestRate,
        claim: Claim,
        now: MonoMs,
        max_wait_ms: u64,
    ) -> Reservation {
        let (share, burst_ms) = match now < self.reduced_until {
            true => (TAKEOVER_SHARE, 0.0),
            false => (1.0, BURST_MS),
        };
        let per_s = rate.per_s() * share;
        let recent = self.decayed_recent(per_s, now);
        self.recent = Some(recent);
        self.last_used = now;
        if claim == Claim::Newcomer && recent > NEWCOMER_SHARE * per_s * RECENT_S {
            return Reservation::Denied(NEWCOMER_RETRY_MS);
        }
        let now = now.0 as f64;
        let wait = (self.used_until - burst_ms - now).max(0.0);
        if wait > max_wait_ms as f64 {
            return Reservation::Denied(wait.ceil() as u64);
        }
        self.used_until = self.used_until.max(now) + 1_000.0 / per_s;
        self.recent = Some(recent + 1.0);
        Reservation::After(wait.ceil() as u64)
    }

    /// Requests lately, as of `now`. Before the first one the endpoint counts as used to its
    /// limit, since its residents have not asked yet.
    fn decayed_recent(&self, per_s: f64, now: MonoMs) -> f64 {
        let Some(recent) = self.recent else {
            return per_s * RECENT_S;
        };
        let elapsed_s = now.0.saturating_sub(self.last_used.0) as f64 / 1_000.0;
        recent * (-elapsed_s / RECENT_S).exp()
    }

    /// Whether nothing was reserved within `span_ms`.
    pub fn is_idle(&self, now: MonoMs, span_ms: u64) -> bool {
        now.0.saturating_sub(self.last_used.0) > span_ms
    }
}
