//! Monotonic and wall-clock time of the process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kingcupspan_core::{
    gateway::quota::Moment,
    id::{MonoMs, WallMs},
};

/// Source of monotonic and wall-clock time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Start of the process, the origin of monotonic time.
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the monotonic time since the start of the process.
    pub fn mono(&self) -> MonoMs {
        MonoMs(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the monotonic time `span` ago, but not before the start of the process.
    pub fn before(&self, span: Duration) -> MonoMs {
        MonoMs(self.mono().0.saturating_sub(span.as_millis() as u64))
    }

    /// Returns the time by both clocks.
    pub fn moment(&self) -> Moment {
        Moment {
            mono: self.mono(),
            wall: self.wall(),
        }
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> WallMs {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        WallMs(since.map_or(0, |d| d.as_millis() as u64))
    }
}
