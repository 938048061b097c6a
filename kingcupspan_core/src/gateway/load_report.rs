//! Load that an endpoint reports in its responses.

use std::{num, str};

use derive_more::Display;

/// Longest time that work may take for a report to be believed, in percent of the usual time.
const MAX_PACE_PERCENT: f64 = 100_000.0;

/// How long work takes on the machine of an endpoint, in percent of the usual time: 200 means that
/// it takes twice as long.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display)]
#[display("{_0} %")]
pub struct Pace(f64);

/// Error returned when a pace is not valid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PaceError {
    /// The value is not a number.
    #[error(transparent)]
    NotANumber(#[from] num::ParseFloatError),

    /// Work cannot take that long or no time at all.
    #[error("{0} % is no pace")]
    OutOfRange(f64),
}

impl TryFrom<f64> for Pace {
    type Error = PaceError;

    fn try_from(percent: f64) -> Result<Self, PaceError> {
        match percent > 0.0 && percent <= MAX_PACE_PERCENT {
            true => Ok(Self(percent)),
            false => Err(PaceError::OutOfRange(percent)),
        }
    }
}

impl str::FromStr for Pace {
    type Err = PaceError;

    fn from_str(raw: &str) -> Result<Self, PaceError> {
        Self::try_from(raw.trim().parse::<f64>()?)
    }
}

impl Pace {
    /// Returns the time that work takes as a multiple of the usual time.
    pub fn factor(self) -> f64 {
        self.0 / 100.0
    }
}

/// Load that an endpoint reports.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests of all daemons that run at the endpoint.
    pub running: u32,

    /// Number of requests of all daemons that wait at the endpoint.
    pub waiting: u32,

    /// Number of requests that the endpoint runs at a time, if it tells.
    pub slots: Option<u32>,

    /// How long work takes there at this moment, if it tells.
    pub pace: Option<Pace>,
}

impl LoadReport {
    /// Returns the number of requests running and waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
