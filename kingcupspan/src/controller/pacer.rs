//! Keeps a daemon within its part of the fleet's appends to the log.

use std::time::{Duration, Instant};

use async_std::task;

/// Appends that may be made at once after a quiet time.
const BURST: f64 = 8.0;

/// A token bucket whose rate is the fleet's divided by its daemons.
pub struct Pacer {
    fleet_per_s: f64,
    bucket: parking_lot::Mutex<Bucket>,
}

struct Bucket {
    daemons: usize,
    tokens: f64,
    last_refill: Instant,
}

impl Pacer {
    /// A full bucket of a fleet that may append so often.
    pub fn new(fleet_per_s: u64) -> Self {
        Self {
            fleet_per_s: fleet_per_s as f64,
            bucket: parking_lot::Mutex::new(Bucket {
                daemons: 1,
                tokens: BURST,
                last_refill: Instant::now(),
            }),
        }
    }

    /// Notes how many daemons share the rate.
    pub fn set_daemons(&self, daemons: usize) {
        self.bucket.lock().daemons = daemons.max(1);
    }

    /// Waits for the right to append once.
    pub async fn acquire(&self) {
        let wait = self.reserve();
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
    }

    fn reserve(&self) -> Duration {
        let mut bucket = self.bucket.lock();
        let rate = self.fleet_per_s / bucket.daemons as f64;
        let gained = bucket.last_refill.elapsed().as_secs_f64() * rate;
        bucket.last_refill = Instant::now();
        bucket.tokens = (bucket.tokens + gained).min(BURST) - 1.0;
        if bucket.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-bucket.tokens / rate)
    }
}
