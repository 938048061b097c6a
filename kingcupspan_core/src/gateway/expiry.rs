//! Expiry of turns in the store.
//!
//! A turn is needed as long as any turn that continues from it, so a daemon that
//! continues a chain of turns stores the earlier turns again long before they expire.
//! Daemons drop expired turns only after reading what others have renewed.

use std::{collections::HashMap, time::Duration};

use crate::id::{MonoMs, WallMs};

/// Shortest time for which a turn is kept beyond its retention.
const MIN_EXTRA_RETENTION: Duration = Duration::from_secs(600);

/// Shortest time for which a turn is kept beyond its retention, as a multiple of the
/// retention.
const EXTRA_RETENTION_FACTOR: u32 = 4;

/// Keys of stored turns, with the times from which they may be dropped.
#[derive(Debug, Default)]
pub struct TurnExpiry(HashMap<String, MonoMs>);

impl TurnExpiry {
    /// Records a turn that was stored at `written`; `now` is the current time by the
    /// monotonic and the wall clock.
    pub fn record(
        &mut self,
        key: &str,
        retention: Duration,
        written: WallMs,
        now: (MonoMs, WallMs),
    ) {
        let lifetime_ms = (retention + extra_retention(retention)).as_millis() as u64;
        let age_ms = now.1.0.saturating_sub(written.0).min(lifetime_ms);
        let due = MonoMs(now.0.0 + lifetime_ms - age_ms);
        let known = self.0.entry(key.to_owned()).or_insert(due);
        *known = (*known).max(due);
    }

    /// Removes a turn that was dropped from the store.
    pub fn remove(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// Whether a turn must be stored again, given that another turn with the given
    /// retention continues from it at `now`.
    pub fn needs_renewal(&self, key: &str, retention: Duration, now: MonoMs) -> bool {
        let needed = retention + extra_retention(retention) / 2;
        let is_due_before = |at: &MonoMs| at.0 < now.0 + needed.as_millis() as u64;
        self.0.get(key).is_some_and(is_due_before)
    }

    /// Returns up to `max` keys of turns that may be dropped.
    pub fn due(&self, now: MonoMs, max: usize) -> Vec<String> {
        let due = self.0.iter().filter(|(_, at)| **at <= now);
        due.take(max).map(|(key, _)| key.clone()).collect()
    }
}

/// Returns the time for which a turn is kept beyond its retention.
fn extra_retention(retention: Duration) -> Duration {
    MIN_EXTRA_RETENTION.max(retention * EXTRA_RETENTION_FACTOR)
}
