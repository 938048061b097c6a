//! Whether the platform's log answers, as this daemon sees it.

use kingcupspan_core::id::MonoMs;

/// Failures in a row after which the log counts as away.
const FAILURES_MAX: u32 = 2;

/// Age at which a failure says nothing any more, in milliseconds.
const FAILURE_MS: u64 = 6_000;

/// Failures of the log.
#[derive(Debug, Default)]
pub struct LogHealth {
    inner: parking_lot::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    reads: Failures,
    appends: Failures,
}

#[derive(Debug, Default)]
struct Failures {
    in_a_row: u32,
    last: MonoMs,
}

impl Failures {
    fn add(&mut self, now: MonoMs) {
        self.in_a_row = self.in_a_row.saturating_add(1);
        self.last = now;
    }

    fn are_many(&self, now: MonoMs) -> bool {
        self.in_a_row >= FAILURES_MAX && now.since(self.last) < FAILURE_MS
    }
}

impl LogHealth {
    /// Notes a read that worked.
    pub fn read_worked(&self) {
        self.inner.lock().reads.in_a_row = 0;
    }

    /// Notes a read that failed.
    pub fn read_failed(&self, now: MonoMs) {
        self.inner.lock().reads.add(now);
    }

    /// Notes an append that worked.
    pub fn append_worked(&self) {
        self.inner.lock().appends.in_a_row = 0;
    }

    /// Notes an append that failed.
    pub fn append_failed(&self, now: MonoMs) {
        self.inner.lock().appends.add(now);
    }

    /// Whether the log is not to be waited for.
    pub fn is_away(&self, now: MonoMs) -> bool {
        let inner = self.inner.lock();
        inner.reads.are_many(now) || inner.appends.are_many(now)
    }
}
