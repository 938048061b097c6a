//! What the other daemons say of a program's tokens.

use kingcupspan_core::gateway::{allocation::LocalQuota, grant::ClaimReport};

use super::{Account, Ledger, TokenRequest};
use crate::gateway::peers::{Peer, PeerRequest, PeerResponse, Purpose};

/// The answers of the daemons that were asked, added up.
#[derive(Debug, Default)]
pub(super) struct PeerPoll {
    /// Daemons that were asked.
    pub(super) asked: usize,

    /// Those of them in this daemon's failure domain.
    pub(super) asked_near: usize,

    /// Daemons that answered.
    pub(super) answered: usize,

    /// Those of them in this daemon's failure domain.
    pub(super) answered_near: usize,

    /// Unused tokens that they handed over.
    pub(super) gathered: u64,

    /// Tokens that they granted themselves and have not recorded.
    pub(super) unrecorded: u64,

    /// Claims on the program that they remember.
    pub(super) claims: Vec<ClaimReport>,

    /// Whether one of them denies a grant, or reaches the store.
    pub(super) is_denied: bool,

    /// What they hold after that.
    pub(super) holds: LocalQuota,
}

impl PeerPoll {
    fn count(&mut self, is_near: bool, told: Option<PeerResponse>) {
        self.asked += 1;
        self.asked_near += usize::from(is_near);
        let Some(PeerResponse::Released {
            tokens,
            holds,
            unrecorded,
            claimed,
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
        self.claims.extend(claimed);
        self.is_denied |= is_denied || reaches_store;
        self.holds.used += holds.used;
        self.holds.reserved += holds.reserved;
    }
}

impl Ledger {
    /// Asks other daemons for unused tokens.
    pub(super) async fn poll_peers(
        &self,
        account: &Account,
        request: TokenRequest<'_>,
        missing: u64,
        purpose: Purpose,
        peers: Vec<Peer>,
    ) -> PeerPoll {
        let ask = PeerRequest::Release {
            program: request.program.clone(),
            want: missing,
            by: self.peers.local.incarnation.clone(),
            purpose,
        };
        let mut survey = PeerPoll::default();
        for (peer, told) in self.peers.send_all(peers, &ask).await {
            if matches!(&told, Ok(PeerResponse::Released { holds, .. }) if holds.allocated > 0) {
                account.holders.lock().insert(peer.incarnation.clone());
            }
            survey.count(peer.domain == self.peers.local.domain, told.ok());
        }
        survey
    }
}
