//! Bucket of the tokens that a failure domain owns, kept by the workspace's home there.

use super::{Meter, Part};
use crate::{gateway::incarnation::Incarnation, id::MonoMs};

/// Tokens in the bucket of a daemon that has just started: the burst may just have been used, and
/// many daemons may start again and again.
const TOKENS_AFTER_START: f64 = 1.0;

/// Time after the start of a daemon from which on no window holds requests from before it, in
/// milliseconds.
const WINDOW_PASSED_MS: u64 = 6_000;

/// Time for which a home grants at a reduced rate that has taken over from one that does not
/// respond, in milliseconds; longer than the former one needs to notice that it is cut off.
const TAKEOVER_MS: u64 = 3_000;

/// Time for which a home grants at a reduced rate after others may have taken over, in
/// milliseconds; longer than daemons pass it over, so that they have told it of the other home.
const RETURN_MS: u64 = 8_000;

/// Share of the rate at which a home grants while another one may grant beside it.
const REDUCED_SHARE: f64 = 0.03;

/// Time for which a former home is remembered, in milliseconds.
const FORMER_HOME_RETENTION_MS: u64 = 10_000;

/// Time for whose demand tokens are not lent, in seconds.
const KEPT_S: f64 = 0.3;

/// Share of the bucket up to which one grant of several tokens goes, so that others find some.
const GRANT_SHARE: f64 = 0.25;

/// Shortest time after which a refused caller should come back, in milliseconds.
const MIN_RETRY_MS: f64 = 50.0;

/// Longest time after which a refused caller should come back, in milliseconds.
const MAX_RETRY_MS: f64 = 5_000.0;

/// Answer of a bucket that has no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time until a place is likely, in milliseconds.
    pub retry_ms: u64,
}

/// Tokens of a failure domain.
#[derive(Debug, Clone)]
pub struct Bucket {
    part: Part,
    level: f64,

    /// Time up to which the tokens are counted in `level`.
    filled_at: MonoMs,

    /// End of the time in which the rate is reduced.
    reduced_until: MonoMs,

    /// Home from which this one has taken over, and when.
    former_home: Option<(Incarnation, MonoMs)>,

    /// Tokens granted to the daemons of this domain, borrowed ones included.
    used: Meter,

    /// Tokens that the daemons of this domain have asked for.
    wanted: Meter,
}

impl Bucket {
    /// Creates the bucket of a home that knows of no former one; `now` counts from the start of the
    /// daemon.
    ///
    /// It begins without the burst, which a former home may have granted.
    pub fn new(part: Part, now: MonoMs) -> Self {
        let level = match now.0 < WINDOW_PASSED_MS {
            true => TOKENS_AFTER_START,
            false => part.extra,
        };
        Self {
            part,
            level,
            filled_at: now,
            reduced_until: MonoMs(0),
            former_home: None,
            used: Meter::default(),
            wanted: Meter::default(),
        }
    }

    /// The part of the quota that the bucket keeps.
    pub fn part(&self) -> &Part {
        &self.part
    }

    /// Changes the part, which a new configuration has changed.
    pub fn set_part(&mut self, part: Part, now: MonoMs) {
        self.fill(now);
        self.part = part;
        self.level = self.level.min(part.capacity);
    }

    /// Drops all tokens and reduces the rate, since another home may have taken over.
    pub fn restrain(&mut self, now: MonoMs) {
        self.fill(now);
        self.level = 0.0;
        self.reduced_until = MonoMs(now.0 + RETURN_MS);
    }

    /// Drops all tokens and reduces the rate for a while, since the first home does not respond.
    pub fn replace_home(&mut self, now: MonoMs) {
        self.fill(now);
        self.level = 0.0;
        self.reduce(now);
    }

    /// Reduces the rate until other homes are known to grant nothing.
    pub fn reduce(&mut self, now: MonoMs) {
        self.fill(now);
        self.reduced_until = self.reduced_until.max(MonoMs(now.0 + TAKEOVER_MS));
    }

    /// Whether the rate is reduced.
    pub fn is_reduced(&self, now: MonoMs) -> bool {
        now < self.reduced_until
    }

    /// Ends the reduction of the rate, since the former home grants nothing any more.
    pub fn end_restraint(&mut self, now: MonoMs) {
        self.fill(now);
        self.reduced_until = now;
    }

    /// Takes over from a home that has lately answered; returns false if it already has.
    pub fn take_over(&mut self, former: &Incarnation, now: MonoMs) -> bool {
        let is_known = self.former_home.as_ref().is_some_and(|(home, at)| {
            home == former && now.0.saturating_sub(at.0) < FORMER_HOME_RETENTION_MS
        });
        if is_known {
            return false;
        }
        self.replace_home(now);
        self.former_home = Some((former.clone(), now));
        true
    }

    /// Records that the daemons of this domain want tokens.
    pub fn note_wanted(&mut self, tokens: u32, now: MonoMs) {
        self.wanted.add(f64::from(tokens), now);
    }

    /// Records that the daemons of this domain have got tokens.
    pub fn note_used(&mut self, tokens: u32, now: MonoMs) {
        self.used.add(f64::from(tokens), now);
    }

    /// Takes up to `max` tokens out of the bucket, one at least if there is one.
    pub fn take(&mut self, max: u32, now: MonoMs) -> u32 {
        self.fill(now);
        let available = self.level.floor();
        let share = (self.level * GRANT_SHARE).floor().max(1.0);
        let tokens = f64::from(max).min(share).min(available);
        self.level -= tokens;
        tokens as u32
    }

    /// Takes up to `max` tokens that this domain does not need soon.
    pub fn take_surplus(&mut self, max: u32, now: MonoMs) -> u32 {
        self.fill(now);
        let needed = self.missing_per_s(now) + KEPT_S * self.wanted.per_s(now);
        let tokens = (self.level - needed).max(0.0).min(f64::from(max)).floor();
        self.level -= tokens;
        tokens as u32
    }

    /// Tokens in the bucket.
    pub fn level(&mut self, now: MonoMs) -> f64 {
        self.fill(now);
        self.level
    }

    /// Tokens that the daemons of this domain use a second.
    pub fn use_per_s(&self, now: MonoMs) -> f64 {
        self.used.per_s(now)
    }

    /// Tokens a second that the daemons of this domain want beyond the bucket's rate.
    pub fn missing_per_s(&self, now: MonoMs) -> f64 {
        (self.wanted.per_s(now) - self.part.per_s).max(0.0)
    }

    /// When a caller that is refused now is likely to find a place: in the time that the bucket
    /// takes for one token, longer if many ask.
    pub fn refusal(&mut self, now: MonoMs) -> Refusal {
        self.fill(now);
        let per_s = self.part.per_s.max(f64::MIN_POSITIVE);
        let crowd = (self.wanted.per_s(now) / per_s).max(1.0);
        let retry_ms = (1.0 - self.level).max(0.0) / per_s * 1_000.0 * crowd;
        Refusal {
            retry_ms: retry_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64,
        }
    }

    /// Adds the tokens that have come since the last time.
    fn fill(&mut self, now: MonoMs) {
        let reduced_end = self
            .reduced_until
            .0
            .clamp(self.filled_at.0, now.0.max(self.filled_at.0));
        let reduced_ms = reduced_end - self.filled_at.0;
        let full_ms = now.0.saturating_sub(reduced_end);
        let weighted_ms = reduced_ms as f64 * REDUCED_SHARE + full_ms as f64;
        self.level += self.part.per_s * weighted_ms / 1_000.0;
        self.level = self.level.min(self.part.capacity);
        self.filled_at = MonoMs(now.0.max(self.filled_at.0));
    }
}
