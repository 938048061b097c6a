//! What the daemons that have allocations of a program say about their turns in flight.

use std::collections::BTreeMap;

use kingcupspan_core::gateway::{
    allocation::{DaemonAllocations, HolderState, TokenBalance},
    call::ProgramKey,
    incarnation::Incarnation,
};

use super::Ledger;
use crate::gateway::{
    peers::{Peer, PeerError, PeerRequest, PeerResponse, Purpose, TokenUse},
    store::StoreFailure,
};

impl Ledger {
    /// Adds up how the allocated tokens of a program are used; asks the daemons that have
    /// allocated some, which settle what is not in flight.
    pub(super) async fn balance(&self, program: &ProgramKey) -> Result<TokenBalance, StoreFailure> {
        let allocations = self.partitions.allocations_by_daemon(program);
        let states = self.holder_states(program, &allocations).await;
        self.homes.refresh(program).await?;
        let allocations = self.partitions.allocations_by_daemon(program);
        let mut balance = TokenBalance::default();
        for (daemon, allocations) in &allocations {
            let state = states.get(daemon).copied().unwrap_or(HolderState::Ended);
            balance.add(allocations, state, self.clock.wall());
        }
        Ok(balance)
    }

    /// States of the daemons that have allocations of a program and have not ended.
    async fn holder_states(
        &self,
        program: &ProgramKey,
        allocations: &BTreeMap<Incarnation, DaemonAllocations>,
    ) -> BTreeMap<Incarnation, HolderState> {
        let local = &self.peers.local.incarnation;
        let others = allocations.keys().filter(|d| *d != local);
        let asked: Vec<Peer> = others
            .filter_map(|d| self.peers.by_incarnation(d))
            .collect();
        let request = PeerRequest::Release {
            program: program.clone(),
            requested: 0,
            sender: local.clone(),
            purpose: Purpose::Share,
        };
        let responses = self.peers.send_all(asked, &request).await;
        let mut states: BTreeMap<_, _> = responses
            .into_iter()
            .map(|(peer, response)| (peer.incarnation, holder_state(response)))
            .collect();
        states.insert(local.clone(), HolderState::Reserves(self.reserved(program)));
        states
    }

    /// Tokens of a program that this daemon has allocated.
    pub fn token_use(&self, program: &ProgramKey) -> TokenUse {
        let allocations = self.partitions.allocations_by_daemon(program);
        let own = allocations.get(&self.peers.local.incarnation);
        let allocated = own.map_or(0, |o| o.values().sum());
        let reserved = self.reserved(program).min(allocated);
        TokenUse {
            allocated,
            used: allocated - reserved,
            reserved,
        }
    }
}

/// State of a daemon by its response.
fn holder_state(response: Result<PeerResponse, PeerError>) -> HolderState {
    match response {
        Ok(PeerResponse::Released { token_use, .. }) => HolderState::Reserves(token_use.reserved),
        Err(PeerError::Restarted) => HolderState::Ended,
        _ => HolderState::Silent,
    }
}
