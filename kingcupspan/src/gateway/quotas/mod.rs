//! Keeps requests to the quotas of their workspaces, which hold for all daemons together.
//!
//! A daemon spends tokens that the home of the workspace in its failure domain has granted, and
//! asks for some ahead of the requests that it expects.

mod home_state;
mod homes;
mod ranking;
mod succession;
mod workspace_state;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future, task};
use kingcupspan_core::{
    gateway::{
        quota::{Grant, Part, Token},
        shares::Shares,
        workspace::{Quota, WorkspaceName},
    },
    id::Version,
};
use parking_lot::Mutex;
use prometheus::IntCounterVec;

pub use self::homes::Homes;
use self::workspace_state::WorkspaceState;
use crate::{
    clock::Clock,
    gateway::peers::{Peer, PeerRequest, PeerResponse, Peers, QuotaAnswer, QuotaQuestion},
    metrics::opts,
};

/// Number of daemons that are asked for tokens before the request is refused.
const HOMES_ASKED: usize = 2;

/// Time for which one home is waited for.
const HOME_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which requests are refused without a question if no home responds.
const NO_HOME_DELAY: Duration = Duration::from_millis(150);

/// Time for which what a home has told about the use of a quota counts.
const SHARE_VALID_FOR: Duration = Duration::from_millis(5_000);

/// Reason why a request gets no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The quota is reached; a place is likely after this time.
    Reached(Duration),

    /// No home responds.
    NoHome,
}

/// Quotas of workspaces, as home of some and as daemon that spends the tokens of all.
pub struct Quotas {
    /// Homes that this daemon is.
    pub homes: Arc<Homes>,

    /// Tokens by what happened to them.
    pub tokens: IntCounterVec,

    peers: Arc<Peers>,
    clock: Clock,
    workspaces: Mutex<HashMap<WorkspaceName, Arc<WorkspaceState>>>,
}

impl Quotas {
    /// Creates the state of a daemon that has no tokens; `domains` are all failure domains, if
    /// they are known.
    pub fn new(peers: Arc<Peers>, clock: Clock, domains: Vec<String>) -> Self {
        let tokens = IntCounterVec::new(
            opts(
                "quota_tokens_total",
                "Tokens of quotas asked for, granted, lent and borrowed, and questions without them",
            ),
            &["event"],
        );
        // The name and the label are constant and valid.
        let tokens = tokens.expect("the counter is valid");
        let homes = Homes::new(Arc::clone(&peers), clock, domains, tokens.clone());
        Self {
            homes: Arc::new(homes),
            tokens,
            peers,
            clock,
            workspaces: Mutex::default(),
        }
    }

    /// Takes a token for a request of a workspace.
    pub async fn take(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        version: Version,
        quota: Quota,
    ) -> Result<Token, Refusal> {
        let state = self.state(workspace, version, quota);
        state.note_demand(self.clock.mono());
        if let Some(outcome) = self.take_held(&state) {
            return self.note_outcome(&state, outcome);
        }
        let _waiting = state.wait_for_token();
        let _asking = state.asking.lock().await;
        // Another request may have asked while this one waited.
        if let Some(outcome) = self.take_held(&state) {
            return self.note_outcome(&state, outcome);
        }
        self.refill(&state).await;
        let outcome = self.take_held(&state).unwrap_or(Err(Refusal::NoHome));
        self.note_outcome(&state, outcome)
    }

    /// Whether a token may still be spent.
    pub fn is_valid(&self, token: &Token) -> bool {
        token.is_valid(&self.clock.moment())
    }

    /// Puts back the token of a request that did not run.
    pub fn put_back(&self, workspace: &WorkspaceName, token: Token) {
        if let Some(state) = self.workspaces.lock().get(workspace) {
            state.allowance.lock().put_back(token);
        }
    }

    /// Fraction of a quota's rate that all daemons have used over the last seconds, as far as this
    /// daemon knows.
    pub fn share_used(&self, workspace: &WorkspaceName) -> Option<f64> {
        let state = self.workspaces.lock().get(workspace).cloned()?;
        let (share, told_at) = (*state.share_used.lock())?;
        (told_at.elapsed() < SHARE_VALID_FOR).then_some(share)
    }

    /// What a workspace uses of its quota, and what all do; `None` if no home has told lately.
    pub fn shares(&self, workspace: &WorkspaceName) -> Option<(f64, Shares)> {
        let used = self.share_used(workspace)?;
        let names: Vec<WorkspaceName> = self.workspaces.lock().keys().cloned().collect();
        let all = names.iter().filter_map(|name| self.share_used(name));
        Some((used, Shares::new(all.collect())))
    }

    /// Forgets workspaces without requests, and tells which are no longer refused.
    pub fn expire(&self) {
        self.homes.expire();
        let now = self.clock.mono();
        self.workspaces.lock().retain(|_, state| {
            state.note_end_of_refusals();
            Arc::strong_count(state) > 1 || !state.allowance.lock().is_idle(now)
        });
    }

    /// Answer to a request that needs no question: a token, or a refusal that still counts.
    fn take_held(self: &Arc<Self>, state: &Arc<WorkspaceState>) -> Option<Result<Token, Refusal>> {
        let now = self.clock.moment();
        let mut allowance = state.allowance.lock();
        if let Some(token) = allowance.take(&now) {
            let is_low = allowance.is_low(state.part(&self.homes).validity_ms, &now);
            drop(allowance);
            if is_low {
                self.refill_ahead(state);
            }
            return Some(Ok(token));
        }
        if let Some(retry_ms) = allowance.refused_for(now.mono) {
            return Some(Err(Refusal::Reached(Duration::from_millis(retry_ms))));
        }
        let no_home_at = *state.no_home_at.lock();
        let has_no_home = no_home_at.is_some_and(|at| at.elapsed() < NO_HOME_DELAY);
        has_no_home.then_some(Err(Refusal::NoHome))
    }

    /// Asks for tokens while no request waits for them, unless a question is under way.
    fn refill_ahead(self: &Arc<Self>, state: &Arc<WorkspaceState>) {
        if state.asking.try_lock().is_none() {
            return;
        }
        let (quotas, state) = (Arc::clone(self), Arc::clone(state));
        task::spawn(async move {
            let Some(_asking) = state.asking.try_lock() else {
                return;
            };
            quotas.refill(&state).await;
        });
    }

    /// Asks a home for tokens, or the next one if it does not respond.
    async fn refill(&self, state: &WorkspaceState) {
        let Part { validity_ms, .. } = state.part(&self.homes);
        for home in state.homes(&self.peers) {
            let asked_at = self.clock.moment();
            let waiting = state.waiting();
            let wanted = {
                let allowance = state.allowance.lock();
                allowance.wanted(waiting, validity_ms, asked_at.mono)
            };
            let question = state.question(&self.peers.local.domain, wanted, &home);
            self.count("asked", wanted);
            let Some(answer) = self.ask(&home, question).await else {
                state.forget_homes();
                self.count("no response", 1);
                continue;
            };
            state.note_answer(&answer);
            let mut allowance = state.allowance.lock();
            match answer.tokens {
                0 => {
                    self.count("denied", wanted);
                    allowance.refuse(answer.retry_ms, self.clock.mono());
                }
                tokens => {
                    self.count("granted", tokens);
                    allowance.add(Grant {
                        tokens,
                        asked_at,
                        validity_ms: answer.validity_ms,
                    });
                }
            }
            return;
        }
        *state.no_home_at.lock() = Some(Instant::now());
    }

    /// Asks a home for tokens; `None` if it does not respond in time.
    async fn ask(&self, home: &Peer, question: QuotaQuestion) -> Option<QuotaAnswer> {
        if home.vm == self.peers.local.vm {
            return Arc::clone(&self.homes).answer(question).await;
        }
        let (peers, home) = (Arc::clone(&self.peers), home.clone());
        // The question goes on after the timeout, so that a peer that is only slow does not count
        // as one that does not respond.
        let exchange = task::spawn(async move {
            let request = PeerRequest::GrantQuota(question);
            peers.send(&home, &request).await
        });
        match future::timeout(HOME_TIMEOUT, exchange).await {
            Ok(Ok(PeerResponse::QuotaGranted(answer))) => answer,
            _ => None,
        }
    }

    /// State of a workspace, whose limit is that of the newest configuration.
    fn state(
        &self,
        workspace: &WorkspaceName,
        version: Version,
        quota: Quota,
    ) -> Arc<WorkspaceState> {
        let mut workspaces = self.workspaces.lock();
        if let Some(state) = workspaces.get(workspace) {
            state.set_limit(version, quota);
            return Arc::clone(state);
        }
        let state = WorkspaceState::new(workspace.clone(), version, quota);
        let state = Arc::new(state);
        workspaces.insert(workspace.clone(), Arc::clone(&state));
        state
    }

    /// Remembers whether requests of a workspace are refused.
    fn note_outcome(
        &self,
        state: &WorkspaceState,
        outcome: Result<Token, Refusal>,
    ) -> Result<Token, Refusal> {
        if let Err(Refusal::Reached(_)) = outcome {
            state.note_refusal();
        }
        outcome
    }

    /// Counts tokens, or questions without them.
    fn count(&self, event: &str, tokens: u32) {
        let counter = self.tokens.with_label_values(&[event]);
        counter.inc_by(u64::from(tokens));
    }
}
