//! Measures a rate over the last seconds.

use crate::id::MonoMs;

/// Span over which events count, in seconds.
const SPAN_S: f64 = 2.0;

/// Rate of events, each of which counts less the longer ago it was.
#[derive(Debug, Clone, Copy, Default)]
pub struct Meter {
    /// Events as of `counted_at`.
    recent: f64,

    /// Time of the last event.
    counted_at: MonoMs,
}

impl Meter {
    /// Counts events.
    pub fn add(&mut self, events: f64, now: MonoMs) {
        self.recent = self.recent_at(now) + events;
        self.counted_at = now;
    }

    /// Events a second.
    pub fn per_s(&self, now: MonoMs) -> f64 {
        self.recent_at(now) / SPAN_S
    }

    /// Events lately, as of `now`.
    fn recent_at(&self, now: MonoMs) -> f64 {
        let elapsed_s = now.0.saturating_sub(self.counted_at.0) as f64 / 1_000.0;
        self.recent * (-elapsed_s / SPAN_S).exp()
    }
}
