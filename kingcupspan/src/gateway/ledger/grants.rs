//! Tokens that this daemon grants itself while the store is away.

use std::{sync::Arc, time::Instant};

use async_std::task;
use kingcupspan_core::gateway::{
    allocation,
    call::ProgramKey,
    grant::{self, GrantConditions, Incarnation},
};

use super::{ASK_PAUSE, Account, Ledger, ReserveError, TokenRequest, peer_poll::PeerPoll};
use crate::gateway::{
    peers::{Loan, PeerRequest, PeerResponse, Purpose},
    store::StoreFailure,
};

/// Tokens of a program that this daemon granted itself.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Grant {
    /// All of them.
    pub(super) ever: u64,

    /// Those that the store has no record of yet.
    pub(super) unrecorded: u64,
}

/// What came of a try to grant tokens.
enum Outcome {
    /// This daemon has them.
    Granted,

    /// Nobody may grant them.
    Denied,

    /// Another daemon may.
    HeldBy(Incarnation),
}

impl Ledger {
    /// While the store is away a daemon grants itself a part of a program's
    /// tokens, to be recorded when the store is back. A majority of the daemons
    /// has to agree, or all of a failure domain that is alone. If another daemon
    /// has the program, that one grants.
    pub(super) async fn do_without_store(
        self: &Arc<Self>,
        account: &Account,
        request: TokenRequest<'_>,
        missing: u64,
        failure: StoreFailure,
    ) -> Result<(), ReserveError> {
        let holder = match self.grant(account, request, missing).await {
            Outcome::Granted => return Ok(()),
            Outcome::Denied => return Err(failure.into()),
            Outcome::HeldBy(holder) => holder,
        };
        let lent = self.borrow_from(&holder, request, missing).await;
        account.allowance.lock().add(lent);
        match lent >= missing {
            true => Ok(()),
            false => Err(failure.into()),
        }
    }

    /// Tries to grant this daemon tokens of a program.
    async fn grant(
        self: &Arc<Self>,
        account: &Account,
        request: TokenRequest<'_>,
        missing: u64,
    ) -> Outcome {
        let program = request.program;
        if let Some(outcome) = self.claim(program) {
            return outcome;
        }
        let all = self.peers.others();
        let survey = self
            .poll_peers(account, request, missing, Purpose::Grant, all)
            .await;
        account.allowance.lock().add(survey.gathered);
        if survey.gathered >= missing {
            return Outcome::Granted;
        }
        let limit = allocation::limit(request.budget, request.max_tokens);
        let granted = self.granted(program).ever;
        let tokens = allocation::offline_grant_size(missing - survey.gathered, granted, limit);
        let standing = self.standing(request, tokens, &survey);
        if standing.may_grant(limit) && self.note_grant(program, tokens) {
            account.allowance.lock().add(tokens);
            log::info!(program = &*program.0, tokens, standing:?; "tokens granted without the store");
            self.record_later(program, tokens);
            return Outcome::Granted;
        }
        log::info!(program = &*program.0, tokens, standing:?; "no grant without the store");
        if self.granted(program).ever > 0 {
            return Outcome::Denied;
        }
        let own = &self.peers.local.incarnation;
        let Some(other) = grant::preferred_claimant(own, &survey.claims) else {
            self.drop_claim(program, None);
            return Outcome::Denied;
        };
        self.drop_claim(program, Some(other));
        Outcome::HeldBy(other.clone())
    }

    /// Asks the daemon that has a program for tokens.
    async fn borrow_from(
        &self,
        holder: &Incarnation,
        request: TokenRequest<'_>,
        missing: u64,
    ) -> u64 {
        let Some(peer) = self.peers.by_incarnation(holder) else {
            return 0;
        };
        let ask = PeerRequest::Lend(Loan {
            program: request.program.clone(),
            budget: request.budget,
            max_tokens: request.max_tokens,
            want: missing,
            retention: request.retention,
        });
        match self.peers.send(&peer, &ask).await {
            Ok(PeerResponse::Lent(tokens)) => tokens,
            _ => 0,
        }
    }

    /// Hands tokens to another daemon, granted by this one if there are too few.
    pub async fn lend(self: &Arc<Self>, loan: &Loan) -> u64 {
        let request = TokenRequest {
            program: &loan.program,
            budget: loan.budget,
            max_tokens: loan.max_tokens,
            deadline: Instant::now(),
            retention: loan.retention,
        };
        let account = self.account(request.program);
        let _taking = account.taking.lock().await;
        let missing = loan
            .want
            .saturating_sub(account.allowance.lock().available());
        if missing > 0 {
            // Whatever comes of it, what is free is handed over.
            let _ = self.grant(&account, request, missing).await;
        }
        account.allowance.lock().release(loan.want)
    }

    fn standing(
        &self,
        request: TokenRequest<'_>,
        tokens: u64,
        survey: &PeerPoll,
    ) -> GrantConditions {
        GrantConditions {
            asked: survey.asked,
            agreed: survey.answered,
            asked_same_domain: survey.asked_near,
            agreed_same_domain: survey.answered_near,
            is_denied: survey.is_denied,
            is_cut_off: self.reach.is_cut_off(),
            has_member_list: self.peers.has_loaded_members(),
            has_read_records: self.partitions.has_read_allocations(request.program),
            grants_disabled: self.partitions.grants_disabled(request.program),
            total_granted: self.granted(request.program).ever + tokens,
        }
    }

    /// Claims a program; why not, if this daemon may not grant its tokens.
    fn claim(&self, program: &ProgramKey) -> Option<Outcome> {
        let own = &self.peers.local.incarnation;
        let mut claims = self.claims.lock();
        let claim = claims.claim_mut(program, self.clock.mono());
        if claim.try_acquire(own) {
            return None;
        }
        let holder = claim.holder.clone().filter(|_| !claim.grants_disabled);
        Some(holder.map_or(Outcome::Denied, Outcome::HeldBy))
    }

    /// Whether this daemon remembers claims that no other one may know of.
    pub fn has_claims(&self) -> bool {
        !self.claims.lock().is_empty()
    }

    /// What this daemon granted itself of a program.
    pub(super) fn granted(&self, program: &ProgramKey) -> Grant {
        self.grants.lock().get(program).copied().unwrap_or_default()
    }

    /// Notes a grant; false if the claim was closed or taken while others were asked.
    fn note_grant(&self, program: &ProgramKey, tokens: u64) -> bool {
        // Whoever closes the claim learns of this grant, or it is not made.
        let mut claims = self.claims.lock();
        let claim = claims.claim_mut(program, self.clock.mono());
        if !claim.try_acquire(&self.peers.local.incarnation) {
            return false;
        }
        let mut grants = self.grants.lock();
        let grant = grants.entry(program.clone()).or_default();
        grant.ever += tokens;
        grant.unrecorded += tokens;
        true
    }

    /// Records granted tokens as soon as the store takes the record.
    fn record_later(self: &Arc<Self>, program: &ProgramKey, tokens: u64) {
        let ledger = Arc::clone(self);
        let (program, id) = (program.clone(), self.next_id());
        task::spawn(async move {
            while let Err(e) = ledger.partitions.allocate(&program, &id, tokens).await {
                log::debug!(program = &*program.0, error = e.to_string().as_str(); "taking not recorded yet");
                task::sleep(ASK_PAUSE * 5).await;
            }
            if let Some(grant) = ledger.grants.lock().get_mut(&program) {
                grant.unrecorded -= tokens;
            }
            // What stays unused can be given back from now on.
            let account = ledger.account(&program);
            account.takings.lock().push((id, tokens));
        });
    }

    /// Gives up a claim that nothing was granted on, if need be for another one.
    fn drop_claim(&self, program: &ProgramKey, other: Option<&Incarnation>) {
        let by = self.peers.local.incarnation.clone();
        self.unclaim(program, &by);
        if let Some(other) = other {
            self.claims
                .lock()
                .claim_mut(program, self.clock.mono())
                .yield_to(other.clone());
        }
        let ask = PeerRequest::Unclaim {
            program: program.clone(),
            by,
        };
        let peers = Arc::clone(&self.peers);
        task::spawn(async move { peers.send_all(peers.others(), &ask).await });
    }

    /// Ends a daemon's claim that nothing was granted on.
    pub fn unclaim(&self, program: &ProgramKey, by: &Incarnation) {
        self.claims
            .lock()
            .claim_mut(program, self.clock.mono())
            .withdraw(by);
    }
}
