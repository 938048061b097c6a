//! Limits the rate of a daemon's appends to the log to its share of the fleet's rate.

use std::time::{Duration, Instant};

use async_std::task;

/// Largest number of appends in a burst after an idle period.
const BURST_APPENDS: f64 = 8.0;

/// A token bucket whose refill rate is the fleet's append rate divided by the number of daemons.
pub struct Pacer {
    /// Appends per second that the whole fleet may make.
    fleet_per_s: f64,
    bucket: parking_lot::Mutex<Bucket>,
}

struct Bucket {
    /// Number of live daemons that share the fleet's rate.
    daemons: usize,

    /// Available appends; negative while callers of [`Pacer::acquire`] wait.
    tokens: f64,
    last_refill: Instant,
}

impl Pacer {
    /// Creates a full bucket for a fleet that may make `fleet_per_s` appends per second.
    pub fn new(fleet_per_s: u64) -> Self {
        Self {
            fleet_per_s: fleet_per_s as f64,
            bucket: parking_lot::Mutex::new(Bucket {
                daemons: 1,
                tokens: BURST_APPENDS,
                last_refill: Instant::now(),
            }),
        }
    }

    /// Sets the number of daemons that share the fleet's rate.
    pub fn set_daemons(&self, daemons: usize) {
        self.bucket.lock().daemons = daemons.max(1);
    }

    /// Waits until one append is permitted.
    pub async fn acquire(&self) {
        let wait = self.reserve();
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
    }

    /// Takes one token from the bucket and returns the time until the append may be made.
    fn reserve(&self) -> Duration {
        let mut bucket = self.bucket.lock();
        let rate = self.fleet_per_s / bucket.daemons as f64;
        let gained = bucket.last_refill.elapsed().as_secs_f64() * rate;
        bucket.last_refill = Instant::now();
        bucket.tokens = (bucket.tokens + gained).min(BURST_APPENDS) - 1.0;
        if bucket.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-bucket.tokens / rate)
    }
}
