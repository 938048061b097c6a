//! Offline grants: tokens that this daemon grants itself while the store is unreachable.
//!
//! Only the daemon that has the claim on a program may make offline grants for it; its
//! peers remember the claim.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use async_std::task;
use kingcupspan_core::gateway::{
    allocation,
    call::ProgramKey,
    grant::{self, Ballot, GrantClaims, GrantConditions, GrantTally, Incarnation, Vote},
};
use parking_lot::MutexGuard;

use super::{Account, Ledger, POLL_INTERVAL, ReserveError, TokenRequest, peer_poll::PeerPoll};
use crate::gateway::{
    peers::{LendRequest, PeerRequest, PeerResponse, Purpose},
    store::StoreFailure,
};

/// Offline grants of this daemon for one program, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OfflineGrants {
    /// Tokens of all offline grants.
    pub(super) total: u64,

    /// Tokens of the offline grants that are not recorded in the store yet.
    pub(super) unrecorded: u64,
}

/// Outcome of an attempt to make an offline grant.
enum GrantOutcome {
    /// This daemon has the tokens.
    Granted,

    /// No daemon may make the grant.
    Denied,

    /// Another daemon has the claim on the program and may make the grant.
    HeldBy(Incarnation),
}

impl Ledger {
    /// Obtains tokens while the store is unreachable.
    ///
    /// This daemon grants itself a part of the program's tokens, to be recorded when the
    /// store is reachable again. A majority of the daemons has to agree, or, if this
    /// failure domain is cut off from all others, all daemons of this failure domain. If
    /// another daemon has the claim on the program, that daemon makes the grant and
    /// hands the tokens over.
    pub(super) async fn obtain_without_store(
        self: &Arc<Self>,
        account: &Account,
        request: &TokenRequest,
        missing: u64,
        failure: StoreFailure,
    ) -> Result<(), ReserveError> {
        let holder = match self.try_grant(account, request, missing).await {
            GrantOutcome::Granted => return Ok(()),
            GrantOutcome::Denied => return Err(failure.into()),
            GrantOutcome::HeldBy(holder) => holder,
        };
        let lent = self.borrow_from(&holder, request, missing).await;
        account.quota.lock().add(lent);
        match lent >= missing {
            true => Ok(()),
            false => Err(failure.into()),
        }
    }

    /// Tries to make an offline grant of this daemon for a program.
    async fn try_grant(
        self: &Arc<Self>,
        account: &Account,
        request: &TokenRequest,
        missing: u64,
    ) -> GrantOutcome {
        let program = &request.program;
        if let Some(outcome) = self.try_claim(program) {
            return outcome;
        }
        let all = self.peers.others();
        let poll = self
            .poll_peers(account, request, missing, Purpose::Grant, all)
            .await;
        account.quota.lock().add(poll.received);
        if poll.received >= missing {
            return GrantOutcome::Granted;
        }
        let limit = allocation::limit(request.budget, request.max_tokens);
        let granted = self.offline_grants(program).total;
        let conditions = self.grant_conditions(request, &poll);
        let max_grant = conditions.max_grant(limit);
        let size = allocation::offline_grant_size(missing - poll.received, granted, max_grant);
        if let Some(tokens) = size
            && self.add_grant(program, tokens)
        {
            account.quota.lock().add(tokens);
            log::info!(program = &*program.0, tokens, standing:? = conditions; "store unreachable; tokens granted offline");
            self.record_grant(program, tokens);
            return GrantOutcome::Granted;
        }
        log::info!(program = &*program.0, granted, max_grant, standing:? = conditions; "store unreachable; offline grant denied");
        if granted > 0 {
            return GrantOutcome::Denied;
        }
        let own = &self.peers.local.incarnation;
        let Some(other) = grant::preferred_claimant(own, &poll.claims) else {
            self.give_up_claim(program, None);
            return GrantOutcome::Denied;
        };
        self.give_up_claim(program, Some(other));
        GrantOutcome::HeldBy(other.clone())
    }

    /// Requests tokens from the daemon that has the claim on a program; returns how many
    /// it handed over.
    async fn borrow_from(&self, holder: &Incarnation, request: &TokenRequest, missing: u64) -> u64 {
        let Some(peer) = self.peers.by_incarnation(holder) else {
            return 0;
        };
        let lend = PeerRequest::Lend(LendRequest {
            program: request.program.clone(),
            budget: request.budget,
            max_tokens: request.max_tokens,
            requested: missing,
            retention: request.retention,
        });
        match self.peers.send(&peer, &lend).await {
            Ok(PeerResponse::Lent(tokens)) => tokens,
            _ => 0,
        }
    }

    /// Hands tokens to another daemon, after an offline grant of this daemon if too few
    /// are unused.
    pub async fn lend(self: &Arc<Self>, lend: &LendRequest) -> u64 {
        let request = TokenRequest {
            program: lend.program.clone(),
            budget: lend.budget,
            max_tokens: lend.max_tokens,
            deadline: Instant::now(),
            retention: lend.retention,
        };
        let account = self.account(&request.program);
        let _obtain_guard = account.obtain_lock.lock().await;
        let missing = lend
            .requested
            .saturating_sub(account.quota.lock().available());
        if missing > 0 {
            // The unused tokens are handed over whether or not the grant succeeds.
            let _ = self.try_grant(&account, &request, missing).await;
        }
        account.quota.lock().release(lend.requested)
    }

    /// Collects the conditions that decide whether this daemon may make an offline grant.
    fn grant_conditions(&self, request: &TokenRequest, poll: &PeerPoll) -> GrantConditions {
        GrantConditions {
            tally: self.tally(request, poll),
            is_denied: poll.is_denied,
            is_cut_off: self.connectivity.is_cut_off(),
            has_member_list: self.peers.has_loaded_members(),
            has_read_records: self.partitions.has_read_allocations(&request.program),
            grants_disabled: self.partitions.grants_disabled(&request.program),
        }
    }

    /// Counts the votes of all daemons on an offline grant of this daemon, which has the
    /// claim on the program.
    fn tally(&self, request: &TokenRequest, poll: &PeerPoll) -> GrantTally {
        let needed_since = self.claims_needed_since(request);
        let local = self.peers.local_entry();
        let own = Ballot {
            vote: self.peers.vote(&local, needed_since),
            domain: local.domain.clone(),
        };
        let absent = |domain| Ballot {
            domain,
            vote: Vote::Missing,
        };
        let left = self.peers.domains_of_left(needed_since);
        let mut ballots = poll.ballots.clone();
        ballots.push(own);
        ballots.extend(left.into_iter().map(absent));
        GrantTally::count(&ballots, &local.domain)
    }

    /// Claims a program for this daemon; returns `None` on success, otherwise the reason
    /// why this daemon may not make offline grants.
    fn try_claim(&self, program: &ProgramKey) -> Option<GrantOutcome> {
        let own = &self.peers.local.incarnation;
        let mut claims = self.claims();
        let claim = claims.claim_mut(program, self.clock.mono());
        if claim.try_acquire(own) {
            return None;
        }
        let holder = claim.holder.clone().filter(|_| !claim.grants_disabled);
        Some(holder.map_or(GrantOutcome::Denied, GrantOutcome::HeldBy))
    }

    /// Hands the claims that this daemon remembers, which may be unknown to all other
    /// daemons, to the next daemon of this VM through the store.
    pub async fn hand_over_claims(&self) -> Result<(), StoreFailure> {
        let held = {
            let claims = self.claims();
            self.has_handed_over.store(true, Ordering::Relaxed);
            claims.held()
        };
        self.partitions.store_claims(held).await
    }

    /// Claims on programs, including those that the last daemon of this VM handed over.
    pub(super) fn claims(&self) -> MutexGuard<'_, GrantClaims> {
        let mut claims = self.claims.lock();
        for (program, holder) in self.partitions.take_inherited_claims() {
            claims
                .claim_mut(&program, self.clock.mono())
                .restore(holder);
        }
        claims
    }

    /// Offline grants of this daemon for a program.
    pub(super) fn offline_grants(&self, program: &ProgramKey) -> OfflineGrants {
        self.grants.lock().get(program).copied().unwrap_or_default()
    }

    /// Adds an offline grant if this daemon still has the claim; returns false if offline
    /// grants were disabled or another daemon got the claim while peers were polled.
    fn add_grant(&self, program: &ProgramKey, tokens: u64) -> bool {
        // The lock on the claims makes sure that a daemon that disables offline grants
        // either learns of this grant or prevents it.
        let mut claims = self.claims();
        let claim = claims.claim_mut(program, self.clock.mono());
        if !claim.try_acquire(&self.peers.local.incarnation) {
            return false;
        }
        let mut grants = self.grants.lock();
        let grants = grants.entry(program.clone()).or_default();
        grants.total += tokens;
        grants.unrecorded += tokens;
        true
    }

    /// Spawns a task that records an offline grant in the store, retrying until it succeeds.
    fn record_grant(self: &Arc<Self>, program: &ProgramKey, tokens: u64) {
        let ledger = Arc::clone(self);
        let (program, id) = (program.clone(), self.next_allocation_id());
        task::spawn(async move {
            while let Err(e) = ledger.partitions.allocate(&program, &id, tokens).await {
                log::debug!(program = &*program.0, error = e.to_string().as_str(); "failed to record offline grant in the store; retrying");
                task::sleep(POLL_INTERVAL * 5).await;
            }
            if let Some(grants) = ledger.grants.lock().get_mut(&program) {
                grants.unrecorded -= tokens;
            }
            // Unused tokens of the grant can be returned from now on.
            let account = ledger.account(&program);
            account.allocations.lock().push((id, tokens));
        });
    }

    /// Withdraws this daemon's claim, on which no grant was made, here and at all peers;
    /// if `other` is given, that daemon gets the claim here.
    fn give_up_claim(&self, program: &ProgramKey, other: Option<&Incarnation>) {
        let claimant = self.peers.local.incarnation.clone();
        self.withdraw_claim(program, &claimant);
        if let Some(other) = other {
            self.claims()
                .claim_mut(program, self.clock.mono())
                .yield_to(other.clone());
        }
        let unclaim = PeerRequest::Unclaim {
            program: program.clone(),
            claimant,
        };
        let peers = Arc::clone(&self.peers);
        task::spawn(async move { peers.send_all(peers.others(), &unclaim).await });
    }

    /// Ends a daemon's claim on which no grant was made.
    pub fn withdraw_claim(&self, program: &ProgramKey, claimant: &Incarnation) {
        self.claims()
            .claim_mut(program, self.clock.mono())
            .withdraw(claimant);
    }
}
