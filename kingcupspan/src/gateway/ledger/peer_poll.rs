//! Polls the other daemons about the tokens of a program.

use kingcupspan_core::gateway::{
    allocation::LocalQuota,
    grant::{Ballot, ClaimReport, Vote},
};

use super::{Account, Ledger, TokenRequest};
use crate::gateway::peers::{Peer, PeerRequest, PeerResponse, Purpose};

/// Responses of the polled daemons, added up.
#[derive(Debug, Default)]
pub(super) struct PeerPoll {
    /// Number of daemons asked.
    pub(super) asked: usize,

    /// Number of daemons that responded.
    pub(super) responded: usize,

    /// Votes of the daemons on an offline grant.
    pub(super) ballots: Vec<Ballot>,

    /// Unused tokens that the daemons handed over.
    pub(super) received: u64,

    /// Tokens of the daemons' offline grants that are not recorded in the store yet.
    pub(super) unrecorded_grants: u64,

    /// Claims on the program that the daemons reported.
    pub(super) claims: Vec<ClaimReport>,

    /// Whether a daemon rejects an offline grant.
    pub(super) is_denied: bool,

    /// Sum of the daemons' local quotas after they handed over tokens; `allocated` is
    /// not added up.
    pub(super) quota: LocalQuota,
}

impl PeerPoll {
    /// Adds the response of a daemon, `None` if it did not respond; `vote` is what its vote
    /// counts if it agrees to an offline grant.
    fn add(&mut self, domain: String, vote: Vote, response: Option<PeerResponse>) {
        self.asked += 1;
        let vote = match (&response, vote) {
            (_, Vote::New) => Vote::New,
            (Some(response), vote) if response.agrees_to_grant() => vote,
            _ => Vote::Missing,
        };
        self.ballots.push(Ballot { domain, vote });
        let Some(PeerResponse::Released {
            tokens,
            remaining_quota,
            unrecorded_grants,
            claim,
            denies_grant,
            ..
        }) = response
        else {
            return;
        };
        self.responded += 1;
        self.received += tokens;
        self.unrecorded_grants += unrecorded_grants;
        self.claims.extend(claim);
        self.is_denied |= denies_grant;
        self.quota.used += remaining_quota.used;
        self.quota.reserved += remaining_quota.reserved;
    }
}

impl Ledger {
    /// Requests unused tokens from peers and adds up their responses.
    pub(super) async fn poll_peers(
        &self,
        account: &Account,
        request: &TokenRequest,
        missing: u64,
        purpose: Purpose,
        peers: Vec<Peer>,
    ) -> PeerPoll {
        let release = PeerRequest::Release {
            program: request.program.clone(),
            requested: missing,
            sender: self.peers.local.incarnation.clone(),
            purpose,
        };
        let needed_since = self.claims_needed_since(request);
        let mut poll = PeerPoll::default();
        for (peer, response) in self.peers.send_all(peers, &release).await {
            if matches!(&response, Ok(PeerResponse::Released { remaining_quota, .. }) if remaining_quota.allocated > 0)
            {
                account
                    .quota_holders
                    .lock()
                    .insert(peer.incarnation.clone());
            }
            let vote = self.peers.vote(&peer, needed_since);
            poll.add(peer.domain, vote, response.ok());
        }
        poll
    }
}
