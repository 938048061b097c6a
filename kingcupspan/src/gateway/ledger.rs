//! Token budgets of the programs whose turns run through this daemon.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{sync::Mutex as AsyncMutex, task};
use kingcupspan_core::gateway::{
    allowance::{self, Allowance, Holdings, TakingId, Verdict},
    call::ProgramKey,
};
use parking_lot::{MappedMutexGuard, Mutex, MutexGuard};

use crate::gateway::{
    partitions::Partitions,
    peers::{Ask, Peer, Peers, Purpose, Tell},
    store::StoreFailure,
};

/// Pause before peers are asked again for tokens that turns under way may give back.
const ASK_PAUSE: Duration = Duration::from_millis(40);

/// Silence after which a failure domain counts as cut off.
const ALONE_FOR: Duration = Duration::from_millis(600);

/// Rights of other daemons' programs that are remembered.
const RIGHTS_MAX: usize = 20_000;

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

    /// Set once no daemon grants tokens without a record any more: tokens that
    /// were granted so before.
    unrecorded: Mutex<Option<u64>>,

    /// When a turn last asked for tokens.
    asked: Mutex<Option<Instant>>,
}

/// Who may grant tokens of a program without a record.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Right {
    /// This incarnation of a daemon.
    Of(String),

    /// Nobody any more.
    Nobody,
}

/// Tokens of a program that a daemon granted itself without the store.
#[derive(Debug, Clone, Copy, Default)]
struct Grant {
    /// All of them.
    ever: u64,

    /// Those that the store has no record of yet.
    unrecorded: u64,
}

/// All accounts of this daemon.
pub struct Ledger {
    partitions: Arc<Partitions>,
    peers: Arc<Peers>,
    next: Mutex<u64>,
    accounts: Mutex<HashMap<ProgramKey, Arc<Account>>>,
    rights: Mutex<HashMap<ProgramKey, Right>>,
    grants: Mutex<HashMap<ProgramKey, Grant>>,
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
    unrecorded: u64,
    is_denied: bool,
    holds: Allowance,
}

impl Survey {
    fn count(&mut self, is_near: bool, told: Option<Tell>) {
        let Some(Tell::Released {
            tokens,
            holds,
            unrecorded,
            is_denied,
            reaches_store,
        }) = told
        else {
            return;
        };
        self.answered += 1;
        self.answered_near += usize::from(is_near);
        self.gathered += tokens;
        self.unrecorded += unrecorded;
        self.is_denied |= is_denied || reaches_store;
        self.holds.used += holds.used;
        self.holds.reserved += holds.reserved;
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
            rights: Mutex::default(),
            grants: Mutex::default(),
        }
    }

    /// Reserves tokens of a program's budget for a turn.
    pub async fn reserve(self: &Arc<Self>, need: Need<'_>) -> Result<Reservation, LedgerError> {
        let account = self.account(need.program);
        *account.asked.lock() = Some(Instant::now());
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

    /// Forgets programs without turns for `span`.
    pub fn expire(&self, span: Duration) {
        let is_recent = |a: &Account| a.asked.lock().is_some_and(|at| at.elapsed() < span);
        let mut accounts = self.accounts.lock();
        accounts.retain(|_, a| Arc::strong_count(a) > 1 || is_recent(a));
        let is_known = |program: &ProgramKey| accounts.contains_key(program);
        self.grants
            .lock()
            .retain(|p, g| g.unrecorded > 0 || is_known(p));
        let granted: Vec<ProgramKey> = self.grants.lock().keys().cloned().collect();
        let mut rights = self.rights.lock();
        if rights.len() > RIGHTS_MAX {
            rights.retain(|p, _| is_known(p) || granted.contains(p));
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
        let total = self.partitions.total_taken(need.program);
        if total + missing > limit(account, need) {
            return self.gather(account, need, missing).await;
        }
        let limit = allowance::limit(need.budget, need.most);
        let tokens = allowance::taking(missing, need.most, total, limit);
        match self.take(account, need, tokens).await {
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
        if self.partitions.total_taken(need.program) <= limit(account, need) {
            account.allowance.lock().add(tokens);
            return Ok(());
        }
        // Others were faster: give the tokens back and look again.
        self.partitions.take(need.program, &id, 0).await
    }

    /// Asks the other daemons for unused tokens, and to grant none without a record.
    async fn gather(
        &self,
        account: &Account,
        need: Need<'_>,
        missing: u64,
    ) -> Result<(), LedgerError> {
        let peers = self.peers.all();
        let others = peers.len();
        let survey = self.survey(need, missing, Purpose::Record).await;
        let own = self.granted(need.program).unrecorded;
        if survey.answered == others && self.peers.is_listed() {
            self.renounce(need.program);
            *account.unrecorded.lock() = Some(survey.unrecorded + own);
        }
        account.allowance.lock().add(survey.gathered);
        let total = self.partitions.total_taken(need.program);
        let is_room = total + missing <= limit(account, need);
        if survey.gathered >= missing || is_room {
            return Ok(());
        }
        let held = *account.allowance.lock();
        let holdings = Holdings {
            used: held.used + survey.holds.used + self.taken_by_ended(need.program),
            reserved: held.reserved + survey.holds.reserved,
            unknown: (others - survey.answered) as u64,
        };
        if allowance::judge(need.budget, holdings) == Verdict::Spent {
            return Err(LedgerError::Spent(holdings));
        }
        if Instant::now() + ASK_PAUSE > need.until {
            return Err(LedgerError::Busy(holdings));
        }
        task::sleep(ASK_PAUSE).await;
        Ok(())
    }

    /// Tokens taken by daemons that have ended: nobody can tell what they used.
    fn taken_by_ended(&self, program: &ProgramKey) -> u64 {
        let takers = self.partitions.takers(program);
        let is_own = |taker: &str| taker == self.peers.own.incarnation;
        takers
            .iter()
            .filter(|(t, _)| !is_own(t) && self.peers.by_incarnation(t).is_none())
            .map(|(_, tokens)| tokens)
            .sum()
    }

    async fn survey(&self, need: Need<'_>, missing: u64, purpose: Purpose) -> Survey {
        let ask = Ask::Release {
            program: need.program.clone(),
            want: missing,
            by: self.peers.own.incarnation.clone(),
            purpose,
        };
        let mut survey = Survey::default();
        for (peer, told) in self.peers.ask_all(self.peers.all(), &ask).await {
            survey.count(peer.domain == self.peers.own.domain, told.ok());
        }
        survey
    }

    /// While the store is away a daemon grants itself a part of a program's
    /// tokens, to be recorded when the store is back. A majority of the daemons
    /// has to agree, or all of a failure domain that is alone.
    async fn do_without_store(
        self: &Arc<Self>,
        account: &Account,
        need: Need<'_>,
        missing: u64,
        failure: StoreFailure,
    ) -> Result<(), LedgerError> {
        if !self.claim(need.program) {
            return Err(failure.into());
        }
        let peers = self.peers.all();
        let daemons = peers.len() + 1;
        let is_near = |p: &&Peer| p.domain == self.peers.own.domain;
        let daemons_near = peers.iter().filter(is_near).count();
        let survey = self.survey(need, missing, Purpose::Grant).await;
        account.allowance.lock().add(survey.gathered);
        if survey.gathered >= missing {
            return Ok(());
        }
        let is_majority = (survey.answered + 1) * 2 > daemons && self.peers.is_listed();
        let is_alone = survey.answered_near == daemons_near && self.is_alone();
        let granted = self.granted(need.program).ever + missing;
        let limit = allowance::limit(need.budget, need.most);
        let is_within = granted <= allowance::unrecorded_limit(limit);
        if survey.is_denied || !(is_majority || is_alone) || !is_within {
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

    /// Claims the right to grant tokens of a program; false if it may not.
    fn claim(&self, program: &ProgramKey) -> bool {
        let own = Right::Of(self.peers.own.incarnation.clone());
        *self.right(program, own.clone()) == own
    }

    /// Grants no more tokens of a program without a record.
    fn renounce(&self, program: &ProgramKey) {
        self.rights.lock().insert(program.clone(), Right::Nobody);
    }

    /// Who may grant tokens of a program: `right` if nobody may so far.
    fn right(&self, program: &ProgramKey, right: Right) -> MappedMutexGuard<'_, Right> {
        MutexGuard::map(self.rights.lock(), |rights| {
            rights.entry(program.clone()).or_insert(right)
        })
    }

    /// What this daemon granted itself of a program.
    fn granted(&self, program: &ProgramKey) -> Grant {
        self.grants.lock().get(program).copied().unwrap_or_default()
    }

    /// Records granted tokens as soon as the store takes the record.
    fn record_later(self: &Arc<Self>, program: &ProgramKey, tokens: u64) {
        let mut grants = self.grants.lock();
        let grant = grants.entry(program.clone()).or_default();
        grant.ever += tokens;
        grant.unrecorded += tokens;
        let ledger = Arc::clone(self);
        let (program, id) = (program.clone(), self.next_id());
        task::spawn(async move {
            while let Err(e) = ledger.partitions.take(&program, &id, tokens).await {
                log::debug!(program = &*program.0, error = e.to_string().as_str(); "taking not recorded yet");
                task::sleep(ASK_PAUSE * 5).await;
            }
            if let Some(grant) = ledger.grants.lock().get_mut(&program) {
                grant.unrecorded -= tokens;
            }
        });
    }

    /// Gives up a claim that nothing was granted on.
    fn drop_unused_claim(self: &Arc<Self>, program: &ProgramKey) {
        if self.granted(program).ever > 0 {
            return;
        }
        let by = self.peers.own.incarnation.clone();
        self.unclaim(program, &by);
        let ask = Ask::Unclaim {
            program: program.clone(),
            by,
        };
        let peers = Arc::clone(&self.peers);
        task::spawn(async move { peers.ask_all(peers.all(), &ask).await });
    }

    /// Ends a daemon's claim.
    pub fn unclaim(&self, program: &ProgramKey, by: &str) {
        let mut rights = self.rights.lock();
        if rights.get(program) == Some(&Right::Of(by.to_owned())) {
            rights.remove(program);
        }
    }

    /// Hands unused tokens to another daemon.
    pub fn release(&self, program: &ProgramKey, want: u64, by: String, purpose: Purpose) -> Tell {
        let account = self.accounts.lock().get(program).cloned();
        let (tokens, holds) = match account {
            None => (0, Allowance::default()),
            Some(account) => {
                let mut allowance = account.allowance.lock();
                (allowance.release(want), *allowance)
            }
        };
        let is_denied = match purpose {
            Purpose::Record => {
                self.renounce(program);
                false
            }
            Purpose::Grant => {
                let asker = Right::Of(by);
                *self.right(program, asker.clone()) != asker
            }
        };
        Tell::Released {
            tokens,
            holds,
            unrecorded: self.granted(program).unrecorded,
            is_denied,
            reaches_store: self.partitions.store_away_for().is_none(),
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

/// Most that recorded takings of a program may come to, for one account.
fn limit(account: &Account, need: Need<'_>) -> u64 {
    let limit = allowance::limit(need.budget, need.most);
    match *account.unrecorded.lock() {
        Some(unrecorded) => limit.saturating_sub(unrecorded),
        None => allowance::recorded_limit(limit),
    }
}
