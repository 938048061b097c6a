//! Leaves one home a workspace in each failure domain.
//!
//! The first daemon in the workspace's order is home. The others pass questions on to it; one that
//! does not reach it becomes home, with an empty bucket and a reduced rate until the first one must
//! have noticed that it is cut off. The first daemon claims the workspace from the next one after
//! a start, a pause or a cut.

use std::{sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_core::{
    gateway::{incarnation::Incarnation, workspace::WorkspaceName},
    id::MonoMs,
};

use super::{Homes, home_state::HomeState};
use crate::gateway::peers::{Peer, PeerRequest, PeerResponse, QuotaAnswer, QuotaQuestion};

/// Number of daemons from which a home claims a workspace until one responds.
const MAX_CLAIMS: usize = 3;

/// Time for which the answer to a question that was passed on is waited for.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a former home passes questions on to its successor, in milliseconds.
const SUCCESSION_MS: u64 = 8_000;

/// Home that has taken over from this daemon.
pub struct Successor {
    peer: Peer,

    /// Time until which questions are passed on to it.
    pub until: MonoMs,
}

impl Homes {
    /// Other daemons that are home of a workspace as far as this one knows: one that has taken over,
    /// or those before this one in the workspace's order, also if they did not respond lately.
    pub(super) fn better_homes(&self, workspace: &WorkspaceName) -> Vec<Peer> {
        match self.successor(workspace) {
            Some(successor) if self.is_local(&successor) => Vec::new(),
            Some(successor) => vec![successor],
            None => self.ranking.before_local(&self.peers, workspace),
        }
    }

    /// Passes a question on to the home; this daemon is no home any more once it has answered.
    pub(super) async fn forward(
        self: &Arc<Self>,
        home: &Peer,
        question: &QuotaQuestion,
    ) -> Option<QuotaAnswer> {
        let mut question = question.clone();
        question.is_forwarded = true;
        let state = self.states.lock().get(&question.workspace).cloned();
        if state.is_some() {
            question.former_home = Some(self.peers.local.incarnation.clone());
        }
        let (homes, home) = (Arc::clone(self), home.clone());
        let workspace = question.workspace.clone();
        let exchange = task::spawn(async move { homes.ask(&home, &question).await });
        let answer = future::timeout(FORWARD_TIMEOUT, exchange)
            .await
            .ok()
            .flatten();
        if answer.is_some() {
            self.states.lock().remove(&workspace);
        }
        answer
    }

    /// Asks another home; `None` if it does not respond.
    pub(super) async fn ask(&self, home: &Peer, question: &QuotaQuestion) -> Option<QuotaAnswer> {
        let request = PeerRequest::GrantQuota(question.clone());
        match self.peers.send(home, &request).await {
            Ok(PeerResponse::QuotaGranted(answer)) => answer,
            _ => None,
        }
    }

    /// Takes over from a home that has lately answered the sender of a question, if there is one.
    pub(super) fn check_former_home(
        self: &Arc<Self>,
        state: &Arc<HomeState>,
        former: Option<&Incarnation>,
    ) {
        let Some(former) = former.filter(|f| **f != self.peers.local.incarnation) else {
            return;
        };
        let now = self.clock.mono();
        if !state.home.lock().bucket.take_over(former, now) {
            return;
        }
        log::info!(workspace = &*state.workspace.0, former = &*former.0; "this daemon has become home of the workspace");
        // Only the first daemon of the order may be sure that no other one is home.
        if self.better_homes(&state.workspace).is_empty()
            && let Some(peer) = self.peers.by_incarnation(former)
        {
            task::spawn(Arc::clone(self).claim(Arc::clone(state), peer));
        }
    }

    /// Tells a daemon that this one is home; grants at the full rate once the other one knows.
    /// Returns false if the other one does not respond.
    async fn claim(self: Arc<Self>, state: Arc<HomeState>, former: Peer) -> bool {
        let request = PeerRequest::TakeOverQuota {
            workspace: state.workspace.clone(),
            successor: self.peers.local.clone(),
        };
        let Ok(PeerResponse::QuotaHome(home)) = self.peers.send(&former, &request).await else {
            return false;
        };
        if self.is_local(&home) {
            let now = self.clock.mono();
            state.home.lock().bucket.end_restraint(now);
        } else {
            self.states.lock().remove(&state.workspace);
        }
        self.set_successor(state.workspace.clone(), home);
        true
    }

    /// Claims a workspace whose rate is reduced, unless that is under way.
    pub(super) fn claim_if_reduced(self: &Arc<Self>, state: &Arc<HomeState>) {
        let now = self.clock.mono();
        if !state.home.lock().bucket.is_reduced(now) || !state.should_claim() {
            return;
        }
        let first = self.better_homes(&state.workspace).into_iter().next();
        task::spawn(Arc::clone(self).claim_from_order(Arc::clone(state), first));
    }

    /// Claims a workspace from the first daemon of its order, or, as the first one, from the next,
    /// which others ask if they do not reach this one.
    async fn claim_from_order(self: Arc<Self>, state: Arc<HomeState>, first: Option<Peer>) {
        if let Some(first) = first {
            self.claim(state, first).await;
            return;
        }
        for next in self
            .peers
            .listed_after_local(&state.workspace.0, MAX_CLAIMS)
        {
            if Arc::clone(&self).claim(Arc::clone(&state), next).await {
                return;
            }
        }
        if self.peers.is_alone_in_domain() {
            let now = self.clock.mono();
            state.home.lock().bucket.end_restraint(now);
        }
    }

    /// Whether a daemon is this one.
    pub(super) fn is_local(&self, peer: &Peer) -> bool {
        peer.vm == self.peers.local.vm
    }

    /// Becomes home again, since the successor does not respond.
    pub(super) fn resume(self: &Arc<Self>, question: &QuotaQuestion) {
        self.successors.lock().remove(&question.workspace);
        let now = self.clock.mono();
        self.state(question).home.lock().bucket.restrain(now);
    }

    /// The daemon to which questions for a workspace are passed on.
    pub(super) fn successor(&self, workspace: &WorkspaceName) -> Option<Peer> {
        let now = self.clock.mono();
        let successors = self.successors.lock();
        let successor = successors.get(workspace).filter(|s| now < s.until);
        successor.map(|s| s.peer.clone())
    }

    /// Passes questions for a workspace on to a daemon from now on.
    pub(super) fn set_successor(&self, workspace: WorkspaceName, peer: Peer) {
        let until = MonoMs(self.clock.mono().0 + SUCCESSION_MS);
        let successor = Successor { peer, until };
        self.successors.lock().insert(workspace, successor);
    }
}
