//! Turns that the store no longer has to keep.
//!
//! A turn is needed as long as a turn that continues from it, so whoever continues
//! a chain renews its turns long before they are due. Daemons drop what is due
//! after reading what others have renewed.

use std::{collections::HashMap, time::Duration};

use crate::id::{MonoMs, WallMs};

/// How much longer than its retention a turn is kept.
const EXTRA: Duration = Duration::from_secs(600);

/// How many times the retention a turn is kept at least, besides it.
const EXTRA_FACTOR: u32 = 4;

/// Keys of turns and when they may be dropped.
#[derive(Debug, Default)]
pub struct TurnExpiry(HashMap<String, MonoMs>);

impl TurnExpiry {
    /// Notes a turn that was stored at `written` and is known of at `now`, by the
    /// steady and the wall clock.
    pub fn record(
        &mut self,
        key: &str,
        retention: Duration,
        written: WallMs,
        now: (MonoMs, WallMs),
    ) {
        let span = (retention + extra(retention)).as_millis() as u64;
        let age = now.1.0.saturating_sub(written.0).min(span);
        let due = MonoMs(now.0.0 + span - age);
        let known = self.0.entry(key.to_owned()).or_insert(due);
        *known = (*known).max(due);
    }

    /// Notes that a turn was dropped.
    pub fn remove(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// Whether a turn from which another one continues at `now` must be stored anew.
    pub fn needs_renewal(&self, key: &str, retention: Duration, now: MonoMs) -> bool {
        let needed = retention + extra(retention) / 2;
        let is_due_before = |at: &MonoMs| at.0 < now.0 + needed.as_millis() as u64;
        self.0.get(key).is_some_and(is_due_before)
    }

    /// Up to `most` keys that may be dropped.
    pub fn due(&self, now: MonoMs, most: usize) -> Vec<String> {
        let due = self.0.iter().filter(|(_, at)| **at <= now);
        due.take(most).map(|(key, _)| key.clone()).collect()
    }
}

fn extra(retention: Duration) -> Duration {
    EXTRA.max(retention * EXTRA_FACTOR)
}
