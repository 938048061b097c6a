//! Homes of workspaces: grant the tokens of this failure domain and borrow those of others.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_std::{future, task};
use kingcupspan_core::{
    gateway::{
        incarnation::Incarnation,
        quota::{Grant, Lenders, Moment, Part},
        workspace::{Quota, WorkspaceName},
    },
    id::MonoMs,
};
use parking_lot::Mutex;
use prometheus::IntCounterVec;

use super::home_state::HomeState;
use crate::{
    clock::Clock,
    gateway::peers::{Peer, PeerRequest, PeerResponse, Peers, QuotaAnswer, QuotaQuestion},
};

/// Time for which a question waits for tokens of other failure domains.
const LOAN_TIMEOUT: Duration = Duration::from_millis(60);

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
        if let Some(successor) = self.successor(&question.workspace) {
            if question.is_forwarded {
                return None;
            }
            let answer = self.forward(&successor, &question).await;
            if answer.is_some() {
                return answer;
            }
            self.resume(&question);
        }
        let state = self.state(&question);
        self.check_former_home(&state, question.former_home.as_ref());
        if question.domain != self.peers.local.domain {
            return Some(self.lend(&state, &question));
        }
        Some(self.grant(&state, &question).await)
    }

    /// Passes the home of a workspace on; returns the daemon to which questions are passed on.
    pub fn resign(&self, workspace: WorkspaceName, successor: Peer) -> Peer {
        if let Some(earlier) = self.successor(&workspace) {
            return earlier;
        }
        log::info!(workspace = &*workspace.0, successor = successor.vm.as_str(); "another daemon has become home of the workspace");
        self.states.lock().remove(&workspace);
        self.set_successor(workspace, successor.clone());
        successor
    }

    /// Notes that the process runs; forgets successors.
    pub fn expire(&self) {
        self.note_activity();
        let now = self.clock.mono();
        self.successors.lock().retain(|_, s| now < s.until);
    }

    /// Grants tokens to a daemon of this failure domain.
    async fn grant(
        self: &Arc<Self>,
        state: &Arc<HomeState>,
        question: &QuotaQuestion,
    ) -> QuotaAnswer {
        if !self.peers.hears_own_domain(DOMAIN_HEARD_WITHIN).await {
            let now = self.clock.mono();
            state.tokens.lock().bucket.keep_restrained(now);
        }
        let now = self.clock.moment();
        let home = &self.peers.local.incarnation;
        let (mut answer, missing) = {
            let mut tokens = state.tokens.lock();
            tokens.bucket.note_wanted(question.wanted, now.mono);
            let answer = tokens.grant(question.wanted, home, &now);
            (answer, tokens.missing_ahead(&now))
        };
        match answer.tokens {
            0 => {
                let loan = task::spawn(Arc::clone(self).borrow(Arc::clone(state), question.wanted));
                // The loan serves later questions if it comes too late for this one.
                let _ = future::timeout(LOAN_TIMEOUT, loan).await;
                let now = self.clock.moment();
                answer = state.tokens.lock().grant(question.wanted, home, &now);
            }
            _ if missing > 0 => {
                task::spawn(Arc::clone(self).borrow(Arc::clone(state), 0));
            }
            _ => {}
        }
        answer.total_use_per_s = self.total_use(state, answer.use_per_s);
        answer
    }

    /// Lends tokens to another failure domain.
    fn lend(&self, state: &HomeState, question: &QuotaQuestion) -> QuotaAnswer {
        let home = &self.peers.local.incarnation;
        let now = self.clock.moment();
        let mut tokens = state.tokens.lock();
        let answer = tokens.lend(question.wanted, home, &now);
        self.count("lent", answer.tokens);
        answer
    }

    /// Borrows tokens of other failure domains until `waiting` requests have some; one task at a
    /// time asks.
    async fn borrow(self: Arc<Self>, state: Arc<HomeState>, waiting: u32) {
        let _borrowing = state.borrowing.lock().await;
        let domains = self.other_domains();
        let order: Vec<String> = {
            let tokens = state.tokens.lock();
            let order = tokens.lenders.order(&domains, self.clock.mono());
            order.into_iter().map(str::to_owned).collect()
        };
        for domain in order {
            let now = self.clock.moment();
            let wanted = {
                let mut tokens = state.tokens.lock();
                let held = tokens.loans.tokens(&now) + tokens.bucket.level(now.mono) as u32;
                let missing_per_s = tokens.bucket.missing_per_s(now.mono);
                Lenders::wanted(waiting, missing_per_s).saturating_sub(held)
            };
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
        let mut tokens = state.tokens.lock();
        let Some(answer) = answer else {
            tokens.lenders.note_unresponsive(domain, now);
            drop(tokens);
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
        tokens.lenders.note(domain, lent, level, use_per_s, now);
        tokens.loans.add(Grant {
            tokens: lent,
            asked_at,
            validity_ms,
        });
        drop(tokens);
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
        let (version, quota) = state.tokens.lock().limit();
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

    /// Passes a question on to the daemon that has taken over.
    async fn forward(&self, successor: &Peer, question: &QuotaQuestion) -> Option<QuotaAnswer> {
        let mut question = question.clone();
        question.is_forwarded = true;
        self.ask(successor, &question).await
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
        if !state.tokens.lock().bucket.take_over(former, now) {
            return;
        }
        log::info!(workspace = &*state.workspace.0, former = &*former.0; "this daemon has become home of the workspace");
        if let Some(peer) = self.peers.by_incarnation(former) {
            task::spawn(Arc::clone(self).claim(Arc::clone(state), peer));
        }
    }

    /// Tells a former home that this daemon has taken over; grants at the full rate once it knows.
    async fn claim(self: Arc<Self>, state: Arc<HomeState>, former: Peer) {
        let request = PeerRequest::TakeOverQuota {
            workspace: state.workspace.clone(),
            successor: self.peers.local.clone(),
        };
        let Ok(PeerResponse::QuotaHome(home)) = self.peers.send(&former, &request).await else {
            return;
        };
        if home.vm == self.peers.local.vm {
            let now = self.clock.mono();
            state.tokens.lock().bucket.end_restraint(now);
            return;
        }
        self.states.lock().remove(&state.workspace);
        self.set_successor(state.workspace.clone(), home);
    }

    /// Becomes home again, since the successor does not respond.
    fn resume(&self, question: &QuotaQuestion) {
        self.successors.lock().remove(&question.workspace);
        let now = self.clock.mono();
        self.state(question).tokens.lock().bucket.restrain(now);
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
    fn state(&self, question: &QuotaQuestion) -> Arc<HomeState> {
        let now = self.clock.mono();
        let part = self.part(&question.quota);
        let mut states = self.states.lock();
        if let Some(state) = states.get(&question.workspace) {
            let mut tokens = state.tokens.lock();
            tokens.set_limit(question.version, question.quota, part, now);
            return Arc::clone(state);
        }
        let state = Arc::new(HomeState::new(question, part, now));
        states.insert(question.workspace.clone(), Arc::clone(&state));
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
            state.tokens.lock().bucket.restrain(now.mono);
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

    /// Tokens a second that all failure domains use.
    fn total_use(&self, state: &HomeState, own: f64) -> f64 {
        let domains = 1 + self.other_domains().len();
        let tokens = state.tokens.lock();
        tokens.lenders.total_use(own, domains, self.clock.mono())
    }

    /// Counts tokens, or questions without them.
    fn count(&self, event: &str, tokens: u32) {
        let counter = self.tokens.with_label_values(&[event]);
        counter.inc_by(u64::from(tokens));
    }
}
