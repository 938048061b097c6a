//! Budgets of programs: reserve before a call, settle after it.

use derive_more::{Add, Display, Sum};
use serde::{Deserialize, Serialize};

/// What a call draws from a budget.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Add, Sum, Display, Serialize, Deserialize,
)]
#[display("{tokens} tokens, {calls} calls")]
pub struct Amount {
    /// New prompt tokens plus decoded tokens.
    pub tokens: u64,

    /// Calls sent to endpoints.
    pub calls: u64,
}

impl Amount {
    /// One call that may use up to `tokens`.
    pub fn call(tokens: u64) -> Self {
        Self { tokens, calls: 1 }
    }

    /// Whether each part is at most that of `limit`.
    pub fn fits_within(&self, limit: &Self) -> bool {
        self.tokens <= limit.tokens && self.calls <= limit.calls
    }

    /// The difference, 0 where `other` is larger.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
        }
    }

    /// The smaller of each part.
    pub fn capped_at(&self, limit: &Self) -> Self {
        Self {
            tokens: self.tokens.min(limit.tokens),
            calls: self.calls.min(limit.calls),
        }
    }
}

/// A limit with what is reserved and what is spent of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// What the program may spend in all.
    pub limit: Amount,

    /// What calls under way may still spend.
    pub reserved: Amount,

    /// What ended calls spent, or may have spent.
    pub spent: Amount,
}

impl Ledger {
    /// An untouched ledger.
    pub fn new(limit: Amount) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// What a new call may still reserve.
    pub fn remaining(&self) -> Amount {
        self.limit.saturating_sub(&(self.spent + self.reserved))
    }

    /// Reserves `amount`, or reports that it does not fit.
    pub fn reserve(&mut self, amount: Amount) -> bool {
        if !amount.fits_within(&self.remaining()) {
            return false;
        }
        self.reserved = self.reserved + amount;
        true
    }

    /// Ends a reservation of `reserved`, of which at most that much was `used`.
    pub fn settle(&mut self, reserved: Amount, used: Amount) {
        self.reserved = self.reserved.saturating_sub(&reserved);
        self.spent = self.spent + used.capped_at(&reserved);
    }
}
