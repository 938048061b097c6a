//! Tracks whether the platform's log responds to this daemon.

use kingcupspan_core::id::MonoMs;

/// Number of consecutive failures after which the log is considered unavailable.
const FAILURE_THRESHOLD: u32 = 2;

/// Age beyond which the last failure is ignored, in milliseconds.
const FAILURE_AGE_MAX_MS: u64 = 6_000;

/// Recent failures of reads from and appends to the log.
#[derive(Debug, Default)]
pub struct LogHealth {
    inner: parking_lot::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    reads: Failures,
    appends: Failures,
}

/// Consecutive failures of one kind of request.
#[derive(Debug, Default)]
struct Failures {
    consecutive: u32,

    /// Time of the last failure.
    last_at: MonoMs,
}

impl Failures {
    fn record(&mut self, now: MonoMs) {
        self.consecutive = self.consecutive.saturating_add(1);
        self.last_at = now;
    }

    /// Whether enough consecutive failures have occurred and the last one is recent.
    fn is_failing(&self, now: MonoMs) -> bool {
        self.consecutive >= FAILURE_THRESHOLD && now.since(self.last_at) < FAILURE_AGE_MAX_MS
    }
}

impl LogHealth {
    /// Records a successful read.
    pub fn record_read_success(&self) {
        self.inner.lock().reads.consecutive = 0;
    }

    /// Records a failed read.
    pub fn record_read_failure(&self, now: MonoMs) {
        self.inner.lock().reads.record(now);
    }

    /// Records a successful append.
    pub fn record_append_success(&self) {
        self.inner.lock().appends.consecutive = 0;
    }

    /// Records a failed append.
    pub fn record_append_failure(&self, now: MonoMs) {
        self.inner.lock().appends.record(now);
    }

    /// Whether the log is considered unavailable, so that requests must not wait for it.
    pub fn is_unavailable(&self, now: MonoMs) -> bool {
        let inner = self.inner.lock();
        inner.reads.is_failing(now) || inner.appends.is_failing(now)
    }
}
