//! Homes of workspaces: grant the tokens of this failure domain and borrow those of others.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_core::{
    gateway::{
        incarnation::Incarnation,
        quota::{Grant, Granted, Home, Moment, Part},
        workspace::{Quota, WorkspaceName},
    },
    id::MonoMs,
};
use parking_lot::Mutex;
use prometheus::IntCounterVec;

use super::{home_state::HomeState, ranking::Ranking};
use crate::{
    clock::Clock,
    gateway::peers::{Peer, PeerRequest, PeerResponse, Peers, QuotaAnswer, QuotaQuestion},
};

/// Time for which a question waits for tokens of other failure domains.
const LOAN_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which the answer to a question that was passed on is waited for.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of daemons from which a new home claims a workspace until one responds.
const MAX_CLAIMS: usize = 4;

/// Pause between two claims.
const CLAIM_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a former home passes questions on to its successor, in milliseconds.
const SUCCESSION_MS: u64 = 8_000;

/// Time within which another daemon of this failure domain has to be heard of.
const DOMAIN_HEARD_WITHIN: Duration = Duration::from_millis(1_500);

/// Pause of the process after which other homes may have taken over, in milliseconds.
const LONG_PAUSE_MS: u64 = 2_500;

/// Home that has taken over from this daemon.
struct Successor {
    peer: Peer,
    until: MonoMs,
}

/// Homes that a daemon is.
pub struct Homes {
    peers: Arc<Peers>,
    clock: Clock,

    /// All failure domains of the settings; none if they name none.
    listed_domains: Vec<String>,

    /// Tokens by what happened to them.
    tokens: IntCounterVec,

    /// Daemons in the order in which they become home.
    ranking: Ranking,

    states: Mutex<HashMap<WorkspaceName, Arc<HomeState>>>,
    successors: Mutex<HashMap<WorkspaceName, Successor>>,

    /// Time at which the process last ran.
    last_active: Mutex<Moment>,
}

impl Homes {
    /// Creates the state of a daemon that is no home yet.
    pub fn new(
        peers: Arc<Peers>,
        clock: Clock,
        listed_domains: Vec<String>,
        tokens: IntCounterVec,
    ) -> Self {
        Self {
            peers,
            clock,
            listed_domains,
            tokens,
            ranking: Ranking::default(),
            states: Mutex::default(),
            successors: Mutex::default(),
            last_active: Mutex::new(clock.moment()),
        }
    }

    /// Part of a quota that each failure domain owns.
    pub fn part(&self, quota: &Quota) -> Part {
        let domains = match self.listed_domains.len() {
            0 => self.peers.domain_count(),
            listed => listed,
        };
        Part::of(quota, domains)
    }

    /// Answers a question for tokens; `None` if this daemon cannot tell.
    pub async fn answer(self: Arc<Self>, question: QuotaQuestion) -> Option<QuotaAnswer> {
        self.note_activity();
        if !self.peers.is_listed() {
            // Every daemon would be the first in the workspace's order.
            return None;
        }
        let has_resigned = self
            .successor(&question.workspace)
            .is_some_and(|s| !self.is_local(&s));
        if question.is_forwarded && has_resigned {
            return None;
        }
        if !question.is_forwarded
            && let Some(home) = self.better_home(&question.workspace)
        {
            if let Some(answer) = self.forward(&home, &question).await {
                return Some(answer);
            }
            self.resume(&question);
        }
        let is_isolated = !self.peers.hears_own_domain(DOMAIN_HEARD_WITHIN).await;
        let state = self.state(&question);
        if is_isolated {
            state.home.lock().bucket.restrain(self.clock.mono());
        }
        self.check_former_home(&state, question.former_home.as_ref());
        if question.domain != self.peers.local.domain {
            return Some(self.lend(&state, &question));
        }
        let answer = self.grant(&state, &question, is_isolated).await;
        (answer.tokens > 0 || !is_isolated).then_some(answer)
    }

    /// Passes the home of a workspace on; returns the daemon to which questions are passed on.
    pub fn resign(&self, workspace: WorkspaceName, successor: Peer) -> Peer {
        if let Some(earlier) = self.successor(&workspace) {
            return earlier;
        }
        if self.states.lock().remove(&workspace).is_some() {
            log::info!(workspace = &*workspace.0, successor = successor.vm.as_str(); "another daemon has become home of the workspace");
        }
        self.set_successor(workspace, successor.clone());
        successor
    }

    /// Notes that the process runs; forgets successors.
    pub fn expire(&self) {
        self.note_activity();
        let now = self.clock.mono();
        self.successors.lock().retain(|_, s| now < s.until);
        self.ranking.expire();
    }

    /// Grants tokens to a daemon of this failure domain; only borrowed ones if this daemon is
    /// isolated, since another home may have taken over.
    async fn grant(
        self: &Arc<Self>,
        state: &Arc<HomeState>,
        question: &QuotaQuestion,
        is_isolated: bool,
    ) -> QuotaAnswer {
        let wanted = question.wanted;
        let grant = |home: &mut Home, now: &Moment| match is_isolated {
            true => home.grant_borrowed(wanted, now),
            false => home.grant(wanted, now),
        };
        let now = self.clock.moment();
        let (mut granted, missing) = {
            let mut home = state.home.lock();
            home.bucket.note_wanted(wanted, now.mono);
            (grant(&mut home, &now), home.missing_ahead(&now))
        };
        if granted.tokens == 0 {
            let loan = task::spawn(Arc::clone(self).borrow(Arc::clone(state), wanted));
            // The loan serves later questions if it comes too late for this one.
            let _ = future::timeout(LOAN_TIMEOUT, loan).await;
            granted = grant(&mut state.home.lock(), &self.clock.moment());
        } else if missing > 0 {
            task::spawn(Arc::clone(self).borrow(Arc::clone(state), 0));
        }
        self.answer_with(&mut state.home.lock(), granted)
    }

    /// Lends tokens to another failure domain.
    fn lend(&self, state: &HomeState, question: &QuotaQuestion) -> QuotaAnswer {
        let now = self.clock.moment();
        let mut home = state.home.lock();
        let lent = home.lend(question.wanted, &now);
        self.count("lent", lent.tokens);
        self.answer_with(&mut home, lent)
    }

    /// Answer with tokens of a home.
    fn answer_with(&self, home: &mut Home, granted: Granted) -> QuotaAnswer {
        let now = self.clock.mono();
        let domains = 1 + self.other_domains().len();
        let use_per_s = home.bucket.use_per_s(now);
        QuotaAnswer {
            home: self.peers.local.incarnation.clone(),
            tokens: granted.tokens,
            validity_ms: granted.validity_ms,
            retry_ms: home.bucket.refusal(now).retry_ms,
            level: home.bucket.level(now),
            use_per_s,
            total_use_per_s: home.lenders.total_use(use_per_s, domains, now),
        }
    }

    /// Borrows tokens of other failure domains until `waiting` requests have some; one task at a
    /// time asks.
    async fn borrow(self: Arc<Self>, state: Arc<HomeState>, waiting: u32) {
        let _borrowing = state.borrowing.lock().await;
        let domains = self.other_domains();
        let order: Vec<String> = {
            let home = state.home.lock();
            let order = home.lenders.order(&domains, self.clock.mono());
            order.into_iter().map(str::to_owned).collect()
        };
        for domain in order {
            let wanted = state.home.lock().missing(waiting, &self.clock.moment());
            if wanted == 0 {
                return;
            }
            self.borrow_from(&state, &domain, wanted).await;
        }
    }

    /// Asks the home of another failure domain for tokens.
    async fn borrow_from(&self, state: &HomeState, domain: &str, wanted: u32) {
        let asked_at = self.clock.moment();
        let answer = match state.other_home(domain, &self.peers) {
            Some(home) => {
                let question = self.loan_question(state, domain, &home, wanted);
                self.ask(&home, &question).await
            }
            None => None,
        };
        state.note_other_home(domain, answer.as_ref().map(|a| &a.home));
        let now = self.clock.mono();
        let mut borrower = state.home.lock();
        let Some(answer) = answer else {
            borrower.lenders.note_unresponsive(domain, now);
            drop(borrower);
            self.count("no response", 1);
            return;
        };
        let QuotaAnswer {
            tokens: lent,
            level,
            use_per_s,
            validity_ms,
            ..
        } = answer;
        borrower.lenders.note(domain, lent, level, use_per_s, now);
        borrower.loans.add(Grant {
            tokens: lent,
            asked_at,
            validity_ms,
        });
        drop(borrower);
        self.count("borrowed", lent);
    }

    /// Question for tokens to the home of another failure domain.
    fn loan_question(
        &self,
        state: &HomeState,
        domain: &str,
        home: &Peer,
        wanted: u32,
    ) -> QuotaQuestion {
        let (version, quota) = state.home.lock().limit();
        QuotaQuestion {
            workspace: state.workspace.clone(),
            version,
            quota,
            domain: self.peers.local.domain.clone(),
            wanted,
            former_home: state.former_home(domain, home),
            is_forwarded: false,
        }
    }

    /// Another daemon that is home of a workspace as far as this one knows: one that has taken over,
    /// or the first in the workspace's order.
    fn better_home(&self, workspace: &WorkspaceName) -> Option<Peer> {
        let first = || {
            let domain = &self.peers.local.domain;
            let mut ranked = self.ranking.ranked(&self.peers, domain, workspace);
            ranked.truncate(1);
            ranked.pop()
        };
        let home = self.successor(workspace).or_else(first)?;
        (!self.is_local(&home)).then_some(home)
    }

    /// Passes a question on to the home; this daemon is no home any more once it has answered.
    async fn forward(
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
    async fn ask(&self, home: &Peer, question: &QuotaQuestion) -> Option<QuotaAnswer> {
        let request = PeerRequest::GrantQuota(question.clone());
        match self.peers.send(home, &request).await {
            Ok(PeerResponse::QuotaGranted(answer)) => answer,
            _ => None,
        }
    }

    /// Takes over from a home that has lately answered the sender of a question, if there is one.
    fn check_former_home(self: &Arc<Self>, state: &Arc<HomeState>, former: Option<&Incarnation>) {
        let Some(former) = former.filter(|f| **f != self.peers.local.incarnation) else {
            return;
        };
        let now = self.clock.mono();
        if !state.home.lock().bucket.take_over(former, now) {
            return;
        }
        log::info!(workspace = &*state.workspace.0, former = &*former.0; "this daemon has become home of the workspace");
        if let Some(peer) = self.peers.by_incarnation(former) {
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

    /// Claims a workspace from the daemon that others ask if they do not reach this one.
    async fn claim_from_next(self: Arc<Self>, state: Arc<HomeState>) {
        let domain = &self.peers.local.domain;
        for _ in 0..MAX_CLAIMS {
            let ranked = self.ranking.ranked(&self.peers, domain, &state.workspace);
            let Some(next) = ranked.into_iter().find(|p| !self.is_local(p)) else {
                let now = self.clock.mono();
                return state.home.lock().bucket.end_restraint(now);
            };
            if Arc::clone(&self).claim(Arc::clone(&state), next).await {
                return;
            }
            self.ranking.forget(&state.workspace);
            task::sleep(CLAIM_PAUSE).await;
        }
    }

    /// Whether a daemon is this one.
    fn is_local(&self, peer: &Peer) -> bool {
        peer.vm == self.peers.local.vm
    }

    /// Becomes home again, since the successor does not respond.
    fn resume(self: &Arc<Self>, question: &QuotaQuestion) {
        self.ranking.forget(&question.workspace);
        let former = self.successors.lock().remove(&question.workspace);
        if former.is_some() {
            let now = self.clock.mono();
            self.state(question).home.lock().bucket.restrain(now);
        }
    }

    /// The daemon to which questions for a workspace are passed on.
    fn successor(&self, workspace: &WorkspaceName) -> Option<Peer> {
        let now = self.clock.mono();
        let successors = self.successors.lock();
        let successor = successors.get(workspace).filter(|s| now < s.until);
        successor.map(|s| s.peer.clone())
    }

    /// Passes questions for a workspace on to a daemon from now on.
    fn set_successor(&self, workspace: WorkspaceName, peer: Peer) {
        let until = MonoMs(self.clock.mono().0 + SUCCESSION_MS);
        let successor = Successor { peer, until };
        self.successors.lock().insert(workspace, successor);
    }

    /// State of a workspace, whose limit is that of the newest configuration.
    fn state(self: &Arc<Self>, question: &QuotaQuestion) -> Arc<HomeState> {
        let now = self.clock.mono();
        let part = self.part(&question.quota);
        let mut states = self.states.lock();
        if let Some(state) = states.get(&question.workspace) {
            let mut home = state.home.lock();
            home.set_limit(question.version, question.quota, part, now);
            return Arc::clone(state);
        }
        let state = Arc::new(HomeState::new(question, part, now));
        states.insert(question.workspace.clone(), Arc::clone(&state));
        drop(states);
        state.home.lock().bucket.reduce(now);
        task::spawn(Arc::clone(self).claim_from_next(Arc::clone(&state)));
        state
    }

    /// Restrains all buckets if the process has paused, so that other homes may have taken over.
    fn note_activity(&self) {
        let now = self.clock.moment();
        let mut last_active = self.last_active.lock();
        let paused_ms = now.since(&last_active);
        *last_active = now;
        drop(last_active);
        if paused_ms < LONG_PAUSE_MS {
            return;
        }
        log::warn!(ms = paused_ms; "the process has paused; granting few tokens of quotas for a while");
        for state in self.states.lock().values() {
            state.home.lock().bucket.restrain(now.mono);
        }
    }

    /// The other failure domains.
    fn other_domains(&self) -> Vec<String> {
        let mut domains = match self.listed_domains.is_empty() {
            true => self.peers.domains(),
            false => self.listed_domains.clone(),
        };
        domains.retain(|d| *d != self.peers.local.domain);
        domains
    }

    /// Counts tokens, or questions without them.
    fn count(&self, event: &str, tokens: u32) {
        let counter = self.tokens.with_label_values(&[event]);
        counter.inc_by(u64::from(tokens));
    }
}
