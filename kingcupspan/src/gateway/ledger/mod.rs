//! Token budgets of the programs whose turns run through this daemon.

mod grants;
mod peer_poll;

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{sync::Mutex as AsyncMutex, task};
use kingcupspan_core::gateway::{
    allocation::{self, AllocationId, BudgetState, LocalQuota, TokenBalance},
    call::ProgramKey,
    grant::{ClaimReport, GrantAgreement, GrantClaims, Incarnation},
};
use parking_lot::Mutex;

use self::{grants::Grant, peer_poll::PeerPoll};
use crate::{
    clock::Clock,
    gateway::{
        connectivity::Connectivity,
        partitions::Partitions,
        peers::{Peer, PeerResponse, Peers, Purpose},
        store::StoreFailure,
    },
};

/// Pause before peers are asked again for tokens that turns under way may give back.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Pause before all daemons are asked again for an agreement that some did not give.
const AGREEMENT_PAUSE: Duration = Duration::from_millis(500);

/// How long a program has no new turn until tokens are given back.
const IDLE_FOR: Duration = Duration::from_millis(150);

/// Why a turn gets no tokens.
#[derive(Debug, thiserror::Error)]
pub enum ReserveError {
    /// The budget does not hold another turn.
    #[error("the budget is spent")]
    Exhausted(TokenBalance),

    /// Tokens may come back, but not in time.
    #[error("tokens are reserved by other turns")]
    AllReserved(TokenBalance),

    /// It cannot be told.
    #[error("the budget cannot be read: {0}")]
    StoreUnavailable(#[from] StoreFailure),
}

#[derive(Default)]
struct Account {
    allowance: Mutex<LocalQuota>,
    taking: AsyncMutex<()>,

    /// Valid takings and the tokens that each stands for.
    takings: Mutex<Vec<(AllocationId, u64)>>,

    /// Set once no daemon grants tokens without a record any more: tokens that
    /// takings must leave for what was granted.
    reserve: Mutex<Option<u64>>,

    /// When a turn last asked for tokens, and for how many.
    asked: Mutex<Option<(Instant, u64)>>,

    /// Other daemons that have held tokens of the program.
    holders: Mutex<HashSet<Incarnation>>,

    /// When not all daemons agreed to grant no more.
    disagreed: Mutex<Option<Instant>>,
}

impl Account {
    /// Whether all daemons should be asked for their agreement now.
    fn lacks_agreement(&self) -> bool {
        let is_due = |at: Instant| at.elapsed() >= AGREEMENT_PAUSE;
        self.reserve.lock().is_none() && self.disagreed.lock().is_none_or(is_due)
    }
}

/// All accounts of this daemon.
pub struct Ledger {
    clock: Clock,
    partitions: Arc<Partitions>,
    peers: Arc<Peers>,
    reach: Connectivity,
    next: Mutex<u64>,
    accounts: Mutex<HashMap<ProgramKey, Arc<Account>>>,
    claims: Mutex<GrantClaims>,
    grants: Mutex<HashMap<ProgramKey, Grant>>,
}

/// Tokens reserved for one turn; what was not used goes back when it is dropped.
pub struct Reservation {
    account: Arc<Account>,
    max_tokens: u64,

    /// Tokens used so far.
    pub used: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.account
            .allowance
            .lock()
            .settle(self.max_tokens, self.used);
    }
}

/// A turn that asks for tokens.
#[derive(Debug, Clone, Copy)]
pub struct TokenRequest<'a> {
    /// Its program.
    pub program: &'a ProgramKey,

    /// The program's budget.
    pub budget: u64,

    /// The most that the turn may use.
    pub max_tokens: u64,

    /// How long it can wait for tokens to come back.
    pub deadline: Instant,

    /// How long after its last turn the program may come back.
    pub retention: Duration,
}

impl Ledger {
    /// No accounts yet.
    pub fn new(
        partitions: Arc<Partitions>,
        peers: Arc<Peers>,
        reach: Connectivity,
        clock: Clock,
    ) -> Self {
        Self {
            clock,
            partitions,
            peers,
            reach,
            next: Mutex::default(),
            accounts: Mutex::default(),
            claims: Mutex::default(),
            grants: Mutex::default(),
        }
    }

    /// Reserves tokens of a program's budget for a turn.
    pub async fn reserve(
        self: &Arc<Self>,
        request: TokenRequest<'_>,
    ) -> Result<Reservation, ReserveError> {
        let account = self.account(request.program);
        *account.asked.lock() = Some((Instant::now(), request.max_tokens));
        loop {
            if account.allowance.lock().reserve(request.max_tokens) {
                return Ok(Reservation {
                    account,
                    max_tokens: request.max_tokens,
                    used: 0,
                });
            }
            match self.obtain(&account, request).await {
                Err(ReserveError::StoreUnavailable(_))
                    if Instant::now() + ASK_PAUSE < request.deadline =>
                {
                    task::sleep(ASK_PAUSE).await;
                }
                obtained => obtained?,
            }
        }
    }

    /// Gives tokens back that programs probably do not need for a while.
    pub async fn return_excess(&self) {
        let excess = |account: &Account| {
            let (at, max_tokens) = (*account.asked.lock())?;
            let is_idle = at.elapsed() > IDLE_FOR;
            let excess = allocation::excess(&account.allowance.lock(), max_tokens);
            (is_idle && excess > 0).then_some(excess)
        };
        self.give_back(excess).await;
    }

    /// Gives all unused tokens back, before the process ends.
    pub async fn return_all_unused(&self) {
        self.give_back(|_| Some(u64::MAX)).await;
    }

    /// Gives up to the chosen number of unused tokens back, for each program.
    async fn give_back(&self, choose: impl Fn(&Account) -> Option<u64>) {
        if self.partitions.store_unreachable_for().is_some() {
            return;
        }
        let accounts: Vec<_> = self.accounts.lock().clone().into_iter().collect();
        let mut takings = Vec::new();
        for (program, account) in accounts {
            let Some(chosen) = choose(&account) else {
                continue;
            };
            let unused = account.allowance.lock().release(chosen);
            let changed = allocation::shrink(&mut account.takings.lock(), unused);
            takings.extend(changed.into_iter().map(|(id, n)| (program.clone(), id, n)));
        }
        if let Err(e) = self.partitions.update_allocations(takings).await {
            // They count as used, which is safe.
            log::warn!(error = e.to_string().as_str(); "unused tokens not given back");
        }
    }

    /// Forgets programs without turns for `span`.
    pub fn expire(&self, span: Duration) {
        let is_recent = |a: &Account| a.asked.lock().is_some_and(|(at, _)| at.elapsed() < span);
        let mut accounts = self.accounts.lock();
        accounts.retain(|_, a| Arc::strong_count(a) > 1 || is_recent(a));
        let is_known = |program: &ProgramKey| accounts.contains_key(program);
        self.grants
            .lock()
            .retain(|p, g| g.unrecorded > 0 || is_known(p));
        let granted: Vec<ProgramKey> = self.grants.lock().keys().cloned().collect();
        let is_kept = |p: &ProgramKey| is_known(p) || granted.contains(p);
        let before = self.clock.before(span);
        self.claims.lock().expire(before, is_kept);
    }

    fn account(&self, program: &ProgramKey) -> Arc<Account> {
        Arc::clone(self.accounts.lock().entry(program.clone()).or_default())
    }

    /// Gets tokens from the store or from peers; one turn of a program at a time.
    async fn obtain(
        self: &Arc<Self>,
        account: &Account,
        request: TokenRequest<'_>,
    ) -> Result<(), ReserveError> {
        let _taking = account.taking.lock().await;
        let missing = request
            .max_tokens
            .saturating_sub(account.allowance.lock().available());
        if missing == 0 {
            return Ok(());
        }
        let total = self.partitions.total_allocated(request.program);
        if total + missing > limit(account, request) {
            return self.gather(account, request, missing).await;
        }
        let limit = allocation::limit(request.budget, request.max_tokens);
        let tokens = allocation::allocation_size(missing, request.max_tokens, total, limit);
        match self.take(account, request, tokens).await {
            Ok(()) => Ok(()),
            Err(e) => self.do_without_store(account, request, missing, e).await,
        }
    }

    async fn take(
        &self,
        account: &Account,
        request: TokenRequest<'_>,
        tokens: u64,
    ) -> Result<(), StoreFailure> {
        let id = self.next_id();
        self.partitions
            .allocate(request.program, &id, tokens)
            .await?;
        if self.partitions.total_allocated(request.program) <= limit(account, request) {
            account.allowance.lock().add(tokens);
            account.takings.lock().push((id, tokens));
            return Ok(());
        }
        // Others were faster: give the tokens back and look again.
        self.partitions.allocate(request.program, &id, 0).await
    }

    /// Asks the other daemons for unused tokens: those that may have some, and all of
    /// them as long as one may be granting tokens without a record.
    async fn gather(
        self: &Arc<Self>,
        account: &Account,
        request: TokenRequest<'_>,
        missing: u64,
    ) -> Result<(), ReserveError> {
        let holders = self.holders(account, request.program);
        let shared = self
            .poll_peers(account, request, missing, Purpose::Share, holders)
            .await;
        account.allowance.lock().add(shared.gathered);
        if shared.gathered >= missing {
            return Ok(());
        }
        let missing = missing - shared.gathered;
        let survey = match account.lacks_agreement() {
            false => shared,
            true => {
                if !self.partitions.grants_disabled(request.program)
                    && let Err(e) = self
                        .partitions
                        .disable_offline_grants(request.program)
                        .await
                {
                    return self.do_without_store(account, request, missing, e).await;
                }
                self.agree(account, request, missing).await
            }
        };
        let still_missing = request
            .max_tokens
            .saturating_sub(account.allowance.lock().available());
        let total = self.partitions.total_allocated(request.program);
        if still_missing == 0 || total + still_missing <= limit(account, request) {
            return Ok(());
        }
        self.refuse_or_wait(account, request, &survey).await
    }

    /// Asks all daemons to grant no tokens without a record any more.
    async fn agree(&self, account: &Account, request: TokenRequest<'_>, missing: u64) -> PeerPoll {
        let all = self.peers.others();
        let survey = self
            .poll_peers(account, request, missing, Purpose::Record, all)
            .await;
        account.allowance.lock().add(survey.gathered);
        let reserve = self.reserve_for_grants(request, &survey);
        match reserve {
            Some(_) => *account.reserve.lock() = reserve,
            None => *account.disagreed.lock() = Some(Instant::now()),
        }
        survey
    }

    /// Ends a turn for which there are no tokens, or waits for some to come back.
    async fn refuse_or_wait(
        &self,
        account: &Account,
        request: TokenRequest<'_>,
        survey: &PeerPoll,
    ) -> Result<(), ReserveError> {
        let held = *account.allowance.lock();
        let holdings = TokenBalance {
            used: held.used + survey.holds.used + self.taken_by_ended(request.program),
            reserved: held.reserved + survey.holds.reserved,
            is_uncertain: survey.answered < survey.asked || account.reserve.lock().is_none(),
        };
        if allocation::budget_state(request.budget, holdings) == BudgetState::Spent {
            return Err(ReserveError::Exhausted(holdings));
        }
        let may_return = holdings.reserved > 0;
        if !may_return || Instant::now() + ASK_PAUSE > request.deadline {
            return Err(ReserveError::AllReserved(holdings));
        }
        task::sleep(ASK_PAUSE).await;
        Ok(())
    }

    /// Other daemons that may hold tokens of a program.
    fn holders(&self, account: &Account, program: &ProgramKey) -> Vec<Peer> {
        let mut holders = account.holders.lock().clone();
        holders.extend(self.partitions.allocated_by_daemon(program).into_keys());
        holders.remove(&self.peers.local.incarnation);
        let by_incarnation = |i: &Incarnation| self.peers.by_incarnation(i);
        holders.iter().filter_map(by_incarnation).collect()
    }

    /// Ends all claims on a program and tells what takings must leave for them.
    fn reserve_for_grants(&self, request: TokenRequest<'_>, survey: &PeerPoll) -> Option<u64> {
        let young = self.peers.recent_starts(request.retention);
        let claimed_by = {
            let mut claims = self.claims.lock();
            let claim = claims.claim_mut(request.program, self.clock.mono());
            claim.grants_disabled = true;
            claim.holder.clone()
        };
        let is_listed = self.peers.has_loaded_members();
        let has_ended = |by: &Incarnation| {
            *by != self.peers.local.incarnation && self.peers.by_incarnation(by).is_none()
        };
        let claimed = survey
            .claims
            .iter()
            .map(|r| r.holder.clone())
            .chain(claimed_by);
        let consent = GrantAgreement {
            daemons: survey.asked + 1,
            agreed: survey.answered + usize::from(is_listed),
            recently_started: young.daemons,
            has_recently_started_domain: young.has_whole_domain,
            unrecorded: survey.unrecorded + self.granted(request.program).unrecorded,
            ended: claimed.filter(has_ended).collect(),
        };
        consent.required_reserve(allocation::limit(request.budget, request.max_tokens))
    }

    /// Tokens taken by daemons that have ended: nobody can tell what they used.
    fn taken_by_ended(&self, program: &ProgramKey) -> u64 {
        let takers = self.partitions.allocated_by_daemon(program);
        let is_own = |taker: &Incarnation| *taker == self.peers.local.incarnation;
        takers
            .iter()
            .filter(|(t, _)| !is_own(t) && self.peers.by_incarnation(t).is_none())
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Hands unused tokens to another daemon.
    pub fn release(
        &self,
        program: &ProgramKey,
        want: u64,
        by: Incarnation,
        purpose: Purpose,
    ) -> PeerResponse {
        let account = self.accounts.lock().get(program).cloned();
        let (tokens, holds) = match account {
            None => (0, LocalQuota::default()),
            Some(account) => {
                let mut allowance = account.allowance.lock();
                (allowance.release(want), *allowance)
            }
        };
        let mut claims = self.claims.lock();
        let claim = claims.claim_mut(program, self.clock.mono());
        let is_denied = match purpose {
            Purpose::Record => {
                claim.grants_disabled = true;
                false
            }
            Purpose::Grant => !claim.try_acquire(&by),
            Purpose::Share => false,
        };
        let is_own = |by: &Incarnation| *by == self.peers.local.incarnation;
        let grant = self.granted(program);
        let claimed = claim.holder.clone().map(|holder| ClaimReport {
            has_granted: is_own(&holder) && grant.ever > 0,
            holder,
        });
        PeerResponse::Released {
            tokens,
            holds,
            unrecorded: grant.unrecorded,
            claimed,
            is_denied,
            reaches_store: self.partitions.store_unreachable_for().is_none(),
        }
    }

    fn next_id(&self) -> AllocationId {
        let mut next = self.next.lock();
        *next += 1;
        AllocationId {
            daemon: self.peers.local.incarnation.clone(),
            number: *next,
        }
    }
}

/// Most that recorded takings of a program may come to, for one account.
fn limit(account: &Account, request: TokenRequest<'_>) -> u64 {
    let limit = allocation::limit(request.budget, request.max_tokens);
    match *account.reserve.lock() {
        Some(reserve) => limit.saturating_sub(reserve),
        None => allocation::recorded_allocation_limit(limit),
    }
}
