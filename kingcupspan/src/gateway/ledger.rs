//! Token budgets of the programs whose turns run through this daemon.

use std::{collections::HashMap, sync::Arc, time::Duration, time::Instant};

use async_std::{sync::Mutex as AsyncMutex, task};
use kingcupspan_core::gateway::{
    allowance::{self, Allowance, Holdings, TakingId, Verdict},
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

/// Silence after which a failure domain may grant tokens on its own.
const DOMAIN_SILENT_AFTER: Duration = Duration::from_millis(700);

/// How long a failure domain must be alone before it grants tokens: longer than
/// the others need to notice.
const ALONE_FOR: Duration = Duration::from_millis(1_300);

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

/// A daemon's right to grant itself tokens without a record.
struct Claim {
    by: String,
    up_to: u64,
}

/// All accounts of this daemon.
pub struct Ledger {
    partitions: Arc<Partitions>,
    peers: Arc<Peers>,
    next: Mutex<u64>,
    accounts: Mutex<HashMap<ProgramKey, Arc<Account>>>,
    claims: Mutex<HashMap<ProgramKey, Claim>>,
    unrecorded: Mutex<HashMap<ProgramKey, u64>>,
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

/// What the other daemons say of a program while the store is away.
#[derive(Debug, Default)]
struct Survey {
    answered: usize,
    answered_near: usize,
    gathered: u64,
    is_taken: bool,
}

impl Survey {
    fn count(&mut self, is_near: bool, told: Option<Tell>) {
        let Some(Tell::Released {
            tokens,
            is_claimed,
            reaches_store,
            ..
        }) = told
        else {
            return;
        };
        self.answered += 1;
        self.answered_near += usize::from(is_near);
        self.gathered += tokens;
        self.is_taken |= is_claimed || reaches_store;
    }
}

impl Ledger {
    /// No accounts yet.
    pub fn new(partitions: Arc<Partitions>, peers: Arc<Peers>) -> Self {
        Self {
            partitions,
            peers,
            next: Mutex::default(),
            accounts: Mutex::default(),
            claims: Mutex::default(),
            unrecorded: Mutex::default(),
        }
    }

    /// Reserves tokens of a program's budget for a turn.
    pub async fn reserve(self: &Arc<Self>, need: Need<'_>) -> Result<Reservation, LedgerError> {
        let account = self.account(need.program);
        loop {
            if account.allowance.lock().reserve(need.most) {
                return Ok(Reservation {
                    account,
                    most: need.most,
                    used: 0,
                });
            }
            match self.obtain(&account, need).await {
                Err(LedgerError::Unknown(_)) if Instant::now() + ASK_PAUSE < need.until => {
                    task::sleep(ASK_PAUSE).await;
                }
                obtained => obtained?,
            }
        }
    }

    fn account(&self, program: &ProgramKey) -> Arc<Account> {
        Arc::clone(self.accounts.lock().entry(program.clone()).or_default())
    }

    /// Gets tokens from the store or from peers; one turn of a program at a time.
    async fn obtain(
        self: &Arc<Self>,
        account: &Account,
        need: Need<'_>,
    ) -> Result<(), LedgerError> {
        let _taking = account.taking.lock().await;
        let missing = need.most.saturating_sub(account.allowance.lock().free());
        if missing == 0 {
            return Ok(());
        }
        if self.partitions.total_taken(need.program) + missing > self.limit(need) {
            return self.gather(account, need, missing).await;
        }
        match self.take(account, need, missing).await {
            Ok(()) => Ok(()),
            Err(e) => self.do_without_store(account, need, missing, e).await,
        }
    }

    /// Most that recorded takings may come to: what daemons without the store
    /// may be granting is left out.
    fn limit(&self, need: Need<'_>) -> u64 {
        let limit = allowance::limit(need.budget, need.most);
        let claims = self.claims.lock();
        let others = |c: &&Claim| c.by != self.peers.own.incarnation;
        let claimed = claims
            .get(need.program)
            .filter(others)
            .map_or(0, |c| c.up_to);
        let silent = self.peers.silent_domains(DOMAIN_SILENT_AFTER);
        let shared = match silent.is_empty() {
            true => limit,
            false => {
                let takers = self.partitions.takers(need.program);
                let by_silent = takers
                    .iter()
                    .filter(|(taker, _)| {
                        let peer = self.peers.by_incarnation(taker);
                        peer.is_none_or(|p| silent.contains(&p.domain))
                    })
                    .map(|(_, tokens)| tokens)
                    .sum();
                allowance::limit_beside_cut(limit, by_silent)
            }
        };
        shared.min(limit.saturating_sub(claimed))
    }

    async fn take(
        &self,
        account: &Account,
        need: Need<'_>,
        tokens: u64,
    ) -> Result<(), StoreFailure> {
        let id = self.next_id();
        self.partitions.take(need.program, &id, tokens).await?;
        if self.partitions.total_taken(need.program) <= self.limit(need) {
            account.allowance.lock().add(tokens);
            return Ok(());
        }
        // Others were faster: give the tokens back and look again.
        self.partitions.take(need.program, &id, 0).await
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
            unknown: allowance::limit(need.budget, need.most) - self.limit(need),
        };
        let mut gathered = 0;
        for (taker, taken) in self.partitions.takers(need.program) {
            if taker == self.peers.own.incarnation || taken == 0 {
                continue;
            }
            let Some(peer) = self.peers.by_incarnation(&taker) else {
                holdings.used += taken;
                continue;
            };
            let ask = self.ask(need.program, missing - gathered, None);
            match self.peers.ask(&peer, &ask).await {
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

    fn ask(&self, program: &ProgramKey, want: u64, claim: Option<u64>) -> Ask {
        Ask::Release {
            program: program.clone(),
            want,
            by: self.peers.own.incarnation.clone(),
            claim,
        }
    }

    /// While the store is away a daemon grants itself half of what is left of a
    /// program's tokens, to be recorded when the store is back. A majority of the
    /// daemons has to agree, or all of a failure domain that is alone; the others
    /// leave the other half untouched.
    async fn do_without_store(
        self: &Arc<Self>,
        account: &Account,
        need: Need<'_>,
        missing: u64,
        failure: StoreFailure,
    ) -> Result<(), LedgerError> {
        let limit = allowance::limit(need.budget, need.most);
        let total = self.partitions.total_taken(need.program);
        let up_to = allowance::grant_without_store(limit, total);
        if !self.claim(need.program, up_to) {
            return Err(failure.into());
        }
        let peers = self.peers.all();
        let near = |d: &str| d == self.peers.own.domain;
        let daemons = peers.len() + 1;
        let daemons_near = peers.iter().filter(|p| near(&p.domain)).count();
        let mut survey = Survey::default();
        let ask = self.ask(need.program, missing, Some(up_to));
        for (peer, told) in self.peers.ask_all(peers, &ask).await {
            survey.count(near(&peer.domain), told.ok());
        }
        account.allowance.lock().add(survey.gathered);
        if survey.gathered >= missing {
            return Ok(());
        }
        let is_majority = (survey.answered + 1) * 2 > daemons;
        let is_alone = survey.answered == daemons_near
            && survey.answered_near == daemons_near
            && self.is_alone();
        let granted = self.granted(need.program) + missing;
        if survey.is_taken || !(is_majority || is_alone) || granted > up_to {
            self.drop_unused_claim(need.program);
            return Err(failure.into());
        }
        account.allowance.lock().add(missing);
        log::info!(program = &*need.program.0, tokens = missing, answered = survey.answered, daemons; "tokens granted without the store");
        self.record_later(need.program, missing);
        Ok(())
    }

    /// Whether this failure domain has been cut off for long enough.
    fn is_alone(&self) -> bool {
        let away = self.partitions.store_away_for().unwrap_or_default();
        let all = self.peers.domains();
        away > ALONE_FOR && self.peers.silent_domains(ALONE_FOR).len() + 1 == all
    }

    /// Claims the right to grant tokens of a program; false if another has it.
    fn claim(&self, program: &ProgramKey, up_to: u64) -> bool {
        let mut claims = self.claims.lock();
        let claim = claims.entry(program.clone()).or_insert_with(|| Claim {
            by: self.peers.own.incarnation.clone(),
            up_to,
        });
        claim.by == self.peers.own.incarnation
    }

    /// Tokens of a program that this daemon granted itself and has not recorded.
    fn granted(&self, program: &ProgramKey) -> u64 {
        self.unrecorded.lock().get(program).copied().unwrap_or(0)
    }

    /// Records granted tokens as soon as the store takes the record.
    fn record_later(self: &Arc<Self>, program: &ProgramKey, tokens: u64) {
        *self.unrecorded.lock().entry(program.clone()).or_default() += tokens;
        let ledger = Arc::clone(self);
        let (program, id) = (program.clone(), self.next_id());
        task::spawn(async move {
            while let Err(e) = ledger.partitions.take(&program, &id, tokens).await {
                log::debug!(program = &*program.0, error = e.to_string().as_str(); "taking not recorded yet");
                task::sleep(ASK_PAUSE * 5).await;
            }
            ledger.note_recorded(program, tokens).await;
        });
    }

    /// Gives up the claim once everything granted is recorded.
    async fn note_recorded(&self, program: ProgramKey, tokens: u64) {
        {
            let mut unrecorded = self.unrecorded.lock();
            let left = unrecorded.entry(program.clone()).or_default();
            *left = left.saturating_sub(tokens);
            if *left > 0 {
                return;
            }
            unrecorded.remove(&program);
        }
        let by = self.peers.own.incarnation.clone();
        self.recorded(&program, &by);
        let ask = Ask::Recorded { program, by };
        self.peers.ask_all(self.peers.all(), &ask).await;
    }

    /// Gives up a claim that nothing was granted on.
    fn drop_unused_claim(self: &Arc<Self>, program: &ProgramKey) {
        if self.granted(program) > 0 {
            return;
        }
        let ledger = Arc::clone(self);
        let program = program.clone();
        task::spawn(async move { ledger.note_recorded(program, 0).await });
    }

    /// Ends a daemon's claim.
    pub fn recorded(&self, program: &ProgramKey, by: &str) {
        let mut claims = self.claims.lock();
        if claims.get(program).is_some_and(|c| c.by == by) {
            claims.remove(program);
        }
    }

    /// Hands unused tokens to another daemon.
    pub fn release(&self, program: &ProgramKey, want: u64, by: String, claim: Option<u64>) -> Tell {
        let account = self.accounts.lock().get(program).cloned();
        let (tokens, holds) = match account {
            None => (0, None),
            Some(account) => {
                let mut allowance = account.allowance.lock();
                (allowance.release(want), Some(*allowance))
            }
        };
        Tell::Released {
            tokens,
            holds,
            is_claimed: claim.is_some_and(|up_to| self.is_claimed(program, by, up_to)),
            reaches_store: self.partitions.store_away_for().is_none(),
        }
    }

    /// Notes a claim; true if another daemon has one.
    fn is_claimed(&self, program: &ProgramKey, by: String, up_to: u64) -> bool {
        let mut claims = self.claims.lock();
        let claim = claims.entry(program.clone()).or_insert_with(|| Claim {
            by: by.clone(),
            up_to,
        });
        claim.by != by
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
