//! Budgets of programs, reserved before a call and settled after it.

use derive_more::{Add, Display, Sum};
use serde::{Deserialize, Serialize};

/// Number of tokens and calls drawn from a budget.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Add, Sum, Display, Serialize, Deserialize,
)]
#[display("{tokens} tokens, {calls} calls")]
pub struct Amount {
    /// Newly computed prompt tokens plus decoded tokens.
    pub tokens: u64,

    /// Number of calls sent to endpoints.
    pub calls: u64,
}

impl Amount {
    /// Returns the amount of one call that may use up to `tokens` tokens.
    pub fn call(tokens: u64) -> Self {
        Self { tokens, calls: 1 }
    }

    /// Returns whether neither tokens nor calls exceed `limit`.
    pub fn fits_within(&self, limit: &Self) -> bool {
        self.tokens <= limit.tokens && self.calls <= limit.calls
    }

    /// Subtracts `other` from tokens and calls, stopping at 0.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            tokens: self.tokens.saturating_sub(other.tokens),
            calls: self.calls.saturating_sub(other.calls),
        }
    }

    /// Returns the smaller of the two token counts and of the two call counts.
    pub fn capped_at(&self, limit: &Self) -> Self {
        Self {
            tokens: self.tokens.min(limit.tokens),
            calls: self.calls.min(limit.calls),
        }
    }
}

/// Budget of one program: its limit, the reserved part and the spent part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// Total amount that the program may spend.
    pub limit: Amount,

    /// Amount reserved for calls in flight.
    pub reserved: Amount,

    /// Amount that ended calls have spent, or may have spent if their outcome
    /// is unknown.
    pub spent: Amount,
}

impl Ledger {
    /// Creates a ledger from which nothing has been reserved or spent.
    pub fn new(limit: Amount) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Returns the amount that new calls may still reserve.
    pub fn remaining(&self) -> Amount {
        self.limit.saturating_sub(&(self.spent + self.reserved))
    }

    /// Reserves `amount` and returns true, or returns false if it exceeds the
    /// remaining budget.
    pub fn reserve(&mut self, amount: Amount) -> bool {
        if !amount.fits_within(&self.remaining()) {
            return false;
        }
        self.reserved = self.reserved + amount;
        true
    }

    /// Ends a reservation of `reserved` and books `used` as spent, capped at
    /// the reservation.
    pub fn settle(&mut self, reserved: Amount, used: Amount) {
        self.reserved = self.reserved.saturating_sub(&reserved);
        self.spent = self.spent + used.capped_at(&reserved);
    }
}
