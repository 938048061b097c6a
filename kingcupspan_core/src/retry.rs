//! A caller's budget of retries: a share of its calls, so that retries never
//! multiply an overload.

/// Retries that a caller may make before it has made many calls.
const FLOOR: f64 = 4.0;

/// Retries that can be saved up.
const SAVED_MAX: f64 = 64.0;

/// Retries left to a caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: FLOOR }
    }
}

impl RetryBudget {
    /// Notes a first attempt, which earns `percent` hundredths of a retry.
    pub fn deposit(&mut self, percent: u64) {
        self.left = (self.left + percent as f64 / 100.0).min(SAVED_MAX);
    }

    /// Takes a retry if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Pause before a retry in milliseconds, with full jitter; `random` is from 0 to 1.
pub fn backoff_ms(attempt: u32, random: f64) -> u64 {
    const FIRST_MS: f64 = 20.0;
    const LONGEST_MS: f64 = 2_000.0;
    let ceiling = FIRST_MS * f64::from(1_u32 << attempt.min(10));
    (ceiling.min(LONGEST_MS) * random) as u64
}
