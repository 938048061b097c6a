//! Whether the platform's log answers, as this daemon sees it.

use kingcupspan_core::id::MonoMs;

/// Failures in a row after which the log counts as away.
const FAILURES_THRESHOLD: u32 = 2;

/// Age at which a failure says nothing any more, in milliseconds.
const FAILURE_AGE_MAX_MS: u64 = 6_000;

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
    consecutive: u32,
    last: MonoMs,
}

impl Failures {
    fn record(&mut self, now: MonoMs) {
        self.consecutive = self.consecutive.saturating_add(1);
        self.last = now;
    }

    fn is_failing(&self, now: MonoMs) -> bool {
        self.consecutive >= FAILURES_THRESHOLD && now.since(self.last) < FAILURE_AGE_MAX_MS
    }
}

impl LogHealth {
    /// Notes a read that worked.
    pub fn record_read_success(&self) {
        self.inner.lock().reads.consecutive = 0;
    }

    /// Notes a read that failed.
    pub fn record_read_failure(&self, now: MonoMs) {
        self.inner.lock().reads.record(now);
    }

    /// Notes an append that worked.
    pub fn record_append_success(&self) {
        self.inner.lock().appends.consecutive = 0;
    }

    /// Notes an append that failed.
    pub fn record_append_failure(&self, now: MonoMs) {
        self.inner.lock().appends.record(now);
    }

    /// Whether the log is not to be waited for.
    pub fn is_unavailable(&self, now: MonoMs) -> bool {
        let inner = self.inner.lock();
        inner.reads.is_failing(now) || inner.appends.is_failing(now)
    }
}
