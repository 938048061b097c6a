//! Tokens of a workspace at its home in a failure domain.

use super::{Bucket, Lenders, Loans, Moment, Part};
use crate::{
    gateway::workspace::Quota,
    id::{MonoMs, Version},
};

/// Time for whose missing tokens a home has some borrowed, in seconds.
const LOW_LOANS_S: f64 = 0.1;

/// Tokens that a home grants or lends at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// Number of tokens.
    pub tokens: u32,

    /// Time from the question within which they have to be spent, in milliseconds.
    pub validity_ms: u64,
}

/// Tokens of a workspace, and what is known about those of other failure domains.
#[derive(Debug, Clone)]
pub struct Home {
    version: Version,
    quota: Quota,

    /// Tokens that this failure domain owns.
    pub bucket: Bucket,

    /// Tokens borrowed of other failure domains.
    pub loans: Loans,

    /// What the homes of other failure domains have told.
    pub lenders: Lenders,
}

impl Home {
    /// Creates a home that knows of no former one; `now` counts from the start of the daemon.
    pub fn new(version: Version, quota: Quota, part: Part, now: MonoMs) -> Self {
        Self {
            version,
            quota,
            bucket: Bucket::new(part, now),
            loans: Loans::default(),
            lenders: Lenders::default(),
        }
    }

    /// The limit, and the version of the configuration that has it.
    pub fn limit(&self) -> (Version, Quota) {
        (self.version, self.quota)
    }

    /// Sets the limit, unless a newer configuration has set it.
    pub fn set_limit(&mut self, version: Version, quota: Quota, part: Part, now: MonoMs) {
        if version < self.version {
            return;
        }
        (self.version, self.quota) = (version, quota);
        if part != *self.bucket.part() {
            self.bucket.set_part(part, now);
        }
    }

    /// Grants up to `wanted` tokens to a daemon of this failure domain; borrowed ones go first,
    /// since they expire first.
    pub fn grant(&mut self, wanted: u32, now: &Moment) -> Granted {
        let granted = self.grant_borrowed(wanted, now);
        if granted.tokens > 0 {
            return granted;
        }
        let tokens = self.bucket.take(wanted, now.mono);
        self.bucket.note_used(tokens, now.mono);
        self.granted(tokens)
    }

    /// Grants up to `wanted` borrowed tokens to a daemon of this failure domain.
    pub fn grant_borrowed(&mut self, wanted: u32, now: &Moment) -> Granted {
        let Some(loan) = self.loans.take(wanted, now) else {
            return self.granted(0);
        };
        self.bucket.note_used(loan.tokens, now.mono);
        Granted {
            tokens: loan.tokens,
            validity_ms: loan.validity_ms - now.since(&loan.asked_at),
        }
    }

    /// Lends up to `wanted` tokens to another failure domain.
    pub fn lend(&mut self, wanted: u32, now: &Moment) -> Granted {
        let tokens = self.bucket.take_surplus(wanted, now.mono);
        self.granted(tokens)
    }

    /// Number of tokens to borrow before a request has to wait for one; 0 if there are enough.
    pub fn missing_ahead(&mut self, now: &Moment) -> u32 {
        let missing_per_s = self.bucket.missing_per_s(now.mono);
        let available = self.bucket.level(now.mono) + f64::from(self.loans.tokens(now));
        match available < missing_per_s * LOW_LOANS_S {
            true => Lenders::wanted(0, missing_per_s),
            false => 0,
        }
    }

    /// Number of tokens to borrow now if `waiting` requests have none.
    pub fn missing(&mut self, waiting: u32, now: &Moment) -> u32 {
        let held = self.loans.tokens(now) + self.bucket.level(now.mono) as u32;
        let missing_per_s = self.bucket.missing_per_s(now.mono);
        Lenders::wanted(waiting, missing_per_s).saturating_sub(held)
    }

    /// Tokens of the bucket.
    fn granted(&self, tokens: u32) -> Granted {
        Granted {
            tokens,
            validity_ms: self.bucket.part().validity_ms,
        }
    }
}
