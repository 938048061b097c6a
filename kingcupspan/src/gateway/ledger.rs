//! Token budgets of the programs whose turns run through this daemon.

use std::{collections::HashMap, sync::Arc, time::Duration, time::Instant};

use async_std::{sync::Mutex as AsyncMutex, task};
use kingcupspan_core::gateway::{
    allowance::{self, Allowance, Holdings, Step, TakingId, Verdict},
    call::ProgramKey,
};
use parking_lot::Mutex;

use crate::gateway::{
    partitions::Partitions,
    peers::{Ask, Peers, Tell},
    store::StoreFailure,
};

/// Pause before peers are asked again for tokens that turns under way may give back.
const ASK_PAUSE: Duration = Duration::from_millis(40);

/// Part of a limit that is granted without the store; two sides that cannot
/// reach each other stay within the whole.
const PROVISIONAL_DIVISOR: u64 = 2;

/// Why a turn gets no tokens.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The budget does not hold another turn.
    #[error("the budget is spent")]
    Spent(Holdings),

    /// Tokens may come back, but not in time.
    #[error("tokens are reserved by other turns")]
    Busy(Holdings),

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
    peers: Arc<Peers>,
    next: Mutex<u64>,
    accounts: Mutex<HashMap<ProgramKey, Arc<Account>>>,
    asked: Mutex<HashMap<ProgramKey, String>>,
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

/// What the other daemons say of a program while the store is away.
#[derive(Debug, Default)]
struct Survey {
    answered: usize,
    gathered: u64,
    may_be_known: bool,
}

impl Survey {
    fn count(&mut self, told: Option<Tell>) {
        let Some(Tell::Released {
            tokens,
            holds,
            asked_before,
            reaches_store,
        }) = told
        else {
            return;
        };
        self.answered += 1;
        self.gathered += tokens;
        self.may_be_known |= holds.is_some() || asked_before.is_some() || reaches_store;
    }
}

/// A turn that asks for tokens.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// Its program.
    pub program: &'a ProgramKey,

    /// The program's budget.
    pub budget: u64,

    /// The most that the turn may use.
    pub most: u64,

    /// How long it can wait for tokens to come back.
    pub until: Instant,
}

impl Ledger {
    /// No accounts yet.
    pub fn new(partitions: Arc<Partitions>, peers: Arc<Peers>) -> Self {
        Self {
            partitions,
            peers,
            next: Mutex::default(),
            accounts: Mutex::default(),
            asked: Mutex::default(),
        }
    }

    /// Reserves tokens of a program's budget for a turn.
    pub async fn reserve(&self, need: Need<'_>) -> Result<Reservation, LedgerError> {
        let account = self.account(need.program);
        loop {
            let step = self.step(&account, need);
            match step {
                Step::Run => {
                    return Ok(Reservation {
                        account,
                        most: need.most,
                        used: 0,
                    });
                }
                Step::Take(_) | Step::Short(_) => match self.obtain(&account, need).await {
                    Err(LedgerError::Unknown(_)) if Instant::now() + ASK_PAUSE < need.until => {
                        task::sleep(ASK_PAUSE).await;
                    }
                    obtained => obtained?,
                },
            }
        }
    }

    fn account(&self, program: &ProgramKey) -> Arc<Account> {
        Arc::clone(self.accounts.lock().entry(program.clone()).or_default())
    }

    fn step(&self, account: &Account, need: Need<'_>) -> Step {
        let total = self.partitions.total_taken(need.program);
        account.allowance.lock().step(need.most, need.budget, total)
    }

    /// Gets tokens from the store or from peers; one turn of a program at a time.
    async fn obtain(&self, account: &Account, need: Need<'_>) -> Result<(), LedgerError> {
        let _taking = account.taking.lock().await;
        let missing = need.most.saturating_sub(account.allowance.lock().free());
        if missing == 0 {
            return Ok(());
        }
        let unrecorded = self.unrecorded(need).map_or(0, |(_, tokens)| tokens);
        let total = self.partitions.total_taken(need.program) + unrecorded;
        if total + missing > allowance::limit(need.budget, need.most) {
            return self.gather(account, need, missing).await;
        }
        match self.take(account, need, missing).await {
            Ok(()) => Ok(()),
            Err(e) => self.do_without_store(account, need, missing, e).await,
        }
    }

    async fn take(
        &self,
        account: &Account,
        need: Need<'_>,
        tokens: u64,
    ) -> Result<(), StoreFailure> {
        let id = self.next_id();
        self.partitions.take(need.program, &id, tokens).await?;
        let unrecorded = self.unrecorded(need).map_or(0, |(_, tokens)| tokens);
        let total = self.partitions.total_taken(need.program) + unrecorded;
        if total <= allowance::limit(need.budget, need.most) {
            account.allowance.lock().add(tokens);
            return Ok(());
        }
        // Others were faster: give the tokens back and look again.
        self.partitions.take(need.program, &id, 0).await
    }

    /// Another daemon that has asked for a program's tokens and may have granted
    /// itself some without a record, and how many at most.
    fn unrecorded(&self, need: Need<'_>) -> Option<(String, u64)> {
        let by = self.asked.lock().get(need.program).cloned()?;
        let is_recorded = self.partitions.takers(need.program).contains_key(&by);
        let most = provisional_limit(need.budget, need.most);
        (!is_recorded).then_some((by, most))
    }

    /// Asks the daemons that took tokens for unused ones.
    async fn gather(
        &self,
        account: &Account,
        need: Need<'_>,
        missing: u64,
    ) -> Result<(), LedgerError> {
        let own = *account.allowance.lock();
        let mut holdings = Holdings {
            used: own.used,
            reserved: own.reserved,
            unknown: 0,
        };
        let mut gathered = 0;
        let mut takers = self.partitions.takers(need.program);
        takers.extend(self.unrecorded(need));
        for (taker, taken) in takers {
            if taker == self.peers.own.incarnation || taken == 0 {
                continue;
            }
            let Some(peer) = self.peers.by_incarnation(&taker) else {
                holdings.used += taken;
                continue;
            };
            match self
                .peers
                .ask(&peer, &self.ask(need.program, missing - gathered))
                .await
            {
                Ok(Tell::Released { tokens, holds, .. }) => {
                    gathered += tokens;
                    let holds = holds.unwrap_or_default();
                    holdings.used += holds.used;
                    holdings.reserved += holds.reserved;
                }
                _ => holdings.unknown += taken,
            }
        }
        account.allowance.lock().add(gathered);
        if gathered >= missing {
            return Ok(());
        }
        if allowance::judge(need.budget, holdings) == Verdict::Spent {
            return Err(LedgerError::Spent(holdings));
        }
        if Instant::now() + ASK_PAUSE > need.until {
            return Err(LedgerError::Busy(holdings));
        }
        task::sleep(ASK_PAUSE).await;
        Ok(())
    }

    fn ask(&self, program: &ProgramKey, want: u64) -> Ask {
        Ask::Release {
            program: program.clone(),
            want,
            by: self.peers.own.incarnation.clone(),
        }
    }

    /// While the store is away, a program that no daemon knows is new: it gets a
    /// part of its budget, to be recorded when the store is back. A majority of
    /// the daemons has to agree, so that no two grant the same program.
    async fn do_without_store(
        &self,
        account: &Account,
        need: Need<'_>,
        missing: u64,
        failure: StoreFailure,
    ) -> Result<(), LedgerError> {
        let peers = self.peers.all();
        let daemons = peers.len() + 1;
        let mut survey = Survey {
            answered: 1,
            may_be_known: self.partitions.knows_takings(need.program),
            ..Survey::default()
        };
        let ask = self.ask(need.program, missing);
        for (_, told) in self.peers.ask_all(peers, &ask).await {
            survey.count(told.ok());
        }
        account.allowance.lock().add(survey.gathered);
        if survey.gathered >= missing {
            return Ok(());
        }
        let limit = provisional_limit(need.budget, need.most);
        let held = account.allowance.lock().taken;
        let is_majority = survey.answered * 2 > daemons;
        if survey.may_be_known || !is_majority || held + missing > limit {
            return Err(failure.into());
        }
        account.allowance.lock().add(missing);
        log::info!(program = &*need.program.0, tokens = missing, answered = survey.answered, daemons; "tokens granted without the store");
        self.record_later(need.program, missing);
        Ok(())
    }

    /// Records a provisional taking as soon as the store takes it.
    fn record_later(&self, program: &ProgramKey, tokens: u64) {
        let partitions = Arc::clone(&self.partitions);
        let (program, id) = (program.clone(), self.next_id());
        task::spawn(async move {
            while let Err(e) = partitions.take(&program, &id, tokens).await {
                log::debug!(program = &*program.0, error = e.to_string().as_str(); "taking not recorded yet");
                task::sleep(ASK_PAUSE * 5).await;
            }
        });
    }

    /// Hands unused tokens to another daemon.
    pub fn release(&self, program: &ProgramKey, want: u64, by: &str) -> Tell {
        let account = self.accounts.lock().get(program).cloned();
        let (tokens, holds) = match account {
            None => (0, None),
            Some(account) => {
                let mut allowance = account.allowance.lock();
                (allowance.release(want), Some(*allowance))
            }
        };
        let mut asked = self.asked.lock();
        let first = asked
            .entry(program.clone())
            .or_insert_with(|| by.to_owned());
        Tell::Released {
            tokens,
            holds: holds.filter(|h| h.taken + tokens > 0),
            asked_before: (first != by).then(|| first.clone()),
            reaches_store: self.partitions.reaches_store(),
        }
    }

    fn next_id(&self) -> TakingId {
        let mut next = self.next.lock();
        *next += 1;
        TakingId {
            taker: self.peers.own.incarnation.clone(),
            number: *next,
        }
    }
}

/// Tokens that one daemon may grant a new program without the store.
fn provisional_limit(budget: u64, most: u64) -> u64 {
    allowance::limit(budget, most) / PROVISIONAL_DIVISOR
}
