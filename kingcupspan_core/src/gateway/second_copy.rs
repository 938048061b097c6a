//! Second copies of requests that may be repeated and whose endpoint is slow to answer.
//!
//! A copy is sent to another endpoint after most requests of the route have been answered; the first
//! response counts. Copies are extra work for endpoints, so they stay within a share of the requests
//! that the operator sets, less of it the more the service is utilized.

use std::{
    collections::{HashMap, VecDeque},
    num, str,
    time::Duration,
};

use derive_more::Display;

/// Number of recent requests of a route whose times are kept.
const MAX_TIMES: usize = 200;

/// Number of recent requests of a route below which no copies are sent.
const MIN_TIMES: usize = 20;

/// Quantile of the recent times of a route after which a copy is sent.
const DELAY_QUANTILE: f64 = 0.95;

/// Utilization up to which the operator's whole share is used; half of the slots are free.
const MAX_CALM_UTILIZATION: f64 = 0.5;

/// Utilization from which on no copies are sent: others would wait for their slots.
const FULL_UTILIZATION: f64 = 1.0;

/// Number of copies that unused share adds up to.
const MAX_SAVED_COPIES: f64 = 4.0;

/// Largest share: one copy of each request.
const MAX_SHARE: f64 = 1.0;

/// Copies as a share of the requests that may be repeated.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display)]
pub struct CopyShare(f64);

/// Error returned when a share is not valid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CopyShareError {
    /// The value is not a number.
    #[error(transparent)]
    NotANumber(#[from] num::ParseFloatError),

    /// The number is not between 0 and 1.
    #[error("a share is between 0 and {MAX_SHARE}, not {0}")]
    OutOfRange(f64),
}

impl TryFrom<f64> for CopyShare {
    type Error = CopyShareError;

    fn try_from(share: f64) -> Result<Self, CopyShareError> {
        match (0.0..=MAX_SHARE).contains(&share) {
            true => Ok(Self(share)),
            false => Err(CopyShareError::OutOfRange(share)),
        }
    }
}

impl str::FromStr for CopyShare {
    type Err = CopyShareError;

    fn from_str(raw: &str) -> Result<Self, CopyShareError> {
        Self::try_from(raw.trim().parse::<f64>()?)
    }
}

impl CopyShare {
    /// Whether no copies are sent at all.
    pub fn is_zero(self) -> bool {
        self.0 == 0.0
    }

    /// Returns what remains of the share at a utilization of the service, where 1 means that all
    /// slots are taken.
    fn at(self, utilization: f64) -> f64 {
        let room = (FULL_UTILIZATION - utilization) / (FULL_UTILIZATION - MAX_CALM_UTILIZATION);
        self.0 * room.clamp(0.0, 1.0)
    }
}

/// Decides when second copies are sent.
#[derive(Debug)]
pub struct CopyPolicy {
    share: CopyShare,

    /// Copies that may be sent now.
    saved: f64,

    routes: HashMap<Box<str>, RouteTimes>,
}

/// Recent times of a route.
#[derive(Debug, Default)]
struct RouteTimes {
    /// The times, newest last.
    times: VecDeque<Duration>,

    /// Whether a time was added since unused routes were last forgotten.
    is_used: bool,
}

impl CopyPolicy {
    /// Creates a policy that knows no times.
    pub fn new(share: CopyShare) -> Self {
        Self {
            share,
            saved: 0.0,
            routes: HashMap::new(),
        }
    }

    /// Adds the share of one request to the copies that may be sent.
    pub fn note_request(&mut self, utilization: f64) {
        let saved = self.saved + self.share.at(utilization);
        self.saved = saved.min(MAX_SAVED_COPIES);
    }

    /// Records the time until a request of a route was answered, or until it was given up since
    /// its copy was answered.
    pub fn record_time(&mut self, route: &str, elapsed: Duration) {
        let RouteTimes { times, is_used } = self.routes.entry(route.into()).or_default();
        *is_used = true;
        if times.len() == MAX_TIMES {
            times.pop_front();
        }
        times.push_back(elapsed);
    }

    /// Returns the time after which a copy of a request may be sent; `None` if too little is known
    /// of the route.
    pub fn delay(&self, route: &str) -> Option<Duration> {
        let times = &self.routes.get(route)?.times;
        if times.len() < MIN_TIMES {
            return None;
        }
        let mut sorted: Vec<Duration> = times.iter().copied().collect();
        let position = (sorted.len() as f64 * DELAY_QUANTILE) as usize;
        let (_, delay, _) = sorted.select_nth_unstable(position);
        Some(*delay)
    }

    /// Takes the right to send a copy, if there is one left and the service has free slots.
    pub fn take_copy(&mut self, utilization: f64) -> bool {
        if self.saved < 1.0 || utilization >= FULL_UTILIZATION {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Forgets routes without a request since the last call.
    pub fn forget_unused(&mut self) {
        let take_used = |r: &mut RouteTimes| std::mem::take(&mut r.is_used);
        self.routes.retain(|_, route| take_used(route));
    }
}

/// Whether a request that was sent to `sent` endpoints may be sent to two more, one after the
/// other, under the limit of its route.
pub fn leaves_room_for_copy(sent: usize, max_attempts: u32) -> bool {
    sent + 2 <= max_attempts as usize
}
