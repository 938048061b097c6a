//! Token budgets of the programs whose turns run through this daemon.

use std::{collections::HashMap, sync::Arc};

use async_std::sync::Mutex as AsyncMutex;
use kingcupspan_core::gateway::{
    allowance::{Allowance, TakingId, Verdict},
    call::ProgramKey,
};
use parking_lot::Mutex;

use crate::gateway::{partitions::Partitions, store::StoreFailure};

/// Why a turn gets no tokens.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The budget does not hold another turn.
    #[error("{taken} of {budget} tokens are taken")]
    Spent {
        /// Tokens taken by all daemons.
        taken: u64,

        /// The program's budget.
        budget: u64,
    },

    /// It cannot be told.
    #[error("the budget cannot be read: {0}")]
    Unknown(#[from] StoreFailure),
}

#[derive(Default)]
struct Account {
    allowance: Mutex<Allowance>,
    taking: AsyncMutex<()>,
}

/// All accounts of this daemon.
pub struct Ledger {
    partitions: Arc<Partitions>,
    taker: String,
    next: Mutex<u64>,
    accounts: Mutex<HashMap<ProgramKey, Arc<Account>>>,
}

/// Tokens reserved for one turn; what was not used goes back when it is dropped.
pub struct Reservation {
    account: Arc<Account>,
    most: u64,

    /// Tokens used so far.
    pub used: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account.allowance.lock().settle(self.most, self.used);
    }
}

impl Ledger {
    /// No accounts yet; `taker` names this incarnation of the daemon.
    pub fn new(partitions: Arc<Partitions>, taker: String) -> Self {
        Self {
            partitions,
            taker,
            next: Mutex::default(),
            accounts: Mutex::default(),
        }
    }

    /// Reserves up to `most` tokens of a program's budget for a turn.
    pub async fn reserve(
        &self,
        program: &ProgramKey,
        budget: u64,
        most: u64,
    ) -> Result<Reservation, LedgerError> {
        let account = Arc::clone(self.accounts.lock().entry(program.clone()).or_default());
        let reserved = |account| Reservation {
            account,
            most,
            used: 0,
        };
        if self.decide(&account, program, budget, most) == Verdict::Run {
            return Ok(reserved(account));
        }
        let taking = account.taking.lock().await;
        let mut is_fresh = false;
        loop {
            match self.decide(&account, program, budget, most) {
                Verdict::Run => break,
                Verdict::Take(tokens) => self.take(&account, program, budget, tokens).await?,
                Verdict::Spent if is_fresh => {
                    let taken = self.partitions.total_taken(program);
                    return Err(LedgerError::Spent { taken, budget });
                }
                Verdict::Spent => {
                    let place = self.partitions.place_of_program(program);
                    self.partitions.refresh(place).await?;
                    is_fresh = true;
                }
            }
        }
        drop(taking);
        Ok(reserved(account))
    }

    fn decide(&self, account: &Account, program: &ProgramKey, budget: u64, most: u64) -> Verdict {
        let total = self.partitions.total_taken(program);
        account.allowance.lock().decide(most, budget, total)
    }

    async fn take(
        &self,
        account: &Account,
        program: &ProgramKey,
        budget: u64,
        tokens: u64,
    ) -> Result<(), StoreFailure> {
        let id = self.next_id();
        self.partitions.take(program, &id, tokens).await?;
        if self.partitions.total_taken(program) <= budget {
            account.allowance.lock().add(tokens);
            return Ok(());
        }
        // Others were faster: give the tokens back and look again.
        self.partitions.take(program, &id, 0).await
    }

    fn next_id(&self) -> TakingId {
        let mut next = self.next.lock();
        *next += 1;
        TakingId {
            taker: self.taker.clone(),
            number: *next,
        }
    }
}
