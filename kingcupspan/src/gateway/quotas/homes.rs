//! Homes of workspaces: grant the tokens of this failure domain and borrow those of others.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use async_std::{future, task};
use kingcupspan_core::gateway::{
    quota::{Grant, Granted, Home, Moment, Part},
    workspace::{Quota, WorkspaceName},
};
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use serde::Serialize;

use super::{home_state::HomeState, ranking::Ranking, succession::Successor};
use crate::{
    clock::Clock,
    gateway::peers::{Peer, Peers, QuotaAnswer, QuotaQuestion},
};

/// Time for which a question waits for tokens of other failure domains.
const LOAN_TIMEOUT: Duration = Duration::from_millis(60);

/// Time within which another daemon of this failure domain has to be heard of.
const DOMAIN_HEARD_WITHIN: Duration = Duration::from_millis(1_500);

/// Pause of the process after which other homes may have taken over, in milliseconds.
const LONG_PAUSE_MS: u64 = 2_500;

/// Use of a quota in this failure domain, as the state dump shows it.
#[derive(Debug, Clone, Serialize)]
pub struct QuotaUse {
    rate_per_s: f64,
    burst: f64,

    /// Tokens of this failure domain that are not granted.
    tokens_left: f64,

    /// Tokens that its daemons have got lately.
    granted_per_s: f64,

    /// Whether few are granted, since another home may grant some too.
    is_reduced: bool,
}

/// Homes that a daemon is.
pub struct Homes {
    pub(super) peers: Arc<Peers>,
    pub(super) clock: Clock,

    /// All failure domains of the settings; none if they name none.
    listed_domains: Vec<String>,

    /// Tokens by what happened to them.
    tokens: IntCounterVec,

    /// Daemons that become home before this one.
    pub(super) ranking: Ranking,

    pub(super) states: Mutex<HashMap<WorkspaceName, Arc<HomeState>>>,
    pub(super) successors: Mutex<HashMap<WorkspaceName, Successor>>,

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
        if !question.is_forwarded {
            for home in self.better_homes(&question.workspace) {
                if let Some(answer) = self.forward(&home, &question).await {
                    return Some(answer);
                }
            }
            if has_resigned {
                self.resume(&question);
            }
        }
        let is_isolated = !self.peers.hears_own_domain(DOMAIN_HEARD_WITHIN).await;
        let state = self.state(&question);
        match is_isolated {
            true => state.home.lock().bucket.restrain(self.clock.mono()),
            false => self.claim_if_reduced(&state),
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

    /// Use of the quotas of the workspaces whose home this daemon is.
    pub fn uses(&self) -> BTreeMap<String, QuotaUse> {
        let now = self.clock.mono();
        let states = self.states.lock();
        let uses = states.values().map(|state| {
            let mut home = state.home.lock();
            let (_, quota) = home.limit();
            let quota_use = QuotaUse {
                rate_per_s: f64::from(quota.rate),
                burst: quota.burst,
                tokens_left: home.bucket.level(now),
                granted_per_s: home.bucket.use_per_s(now),
                is_reduced: home.bucket.is_reduced(now),
            };
            (state.workspace.to_string(), quota_use)
        });
        uses.collect()
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

    /// State of a workspace, whose limit is that of the newest configuration.
    pub(super) fn state(self: &Arc<Self>, question: &QuotaQuestion) -> Arc<HomeState> {
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
        let first = self.better_homes(&question.workspace).into_iter().next();
        match &first {
            Some(_) => state.home.lock().bucket.replace_home(now),
            None => state.home.lock().bucket.reduce(now),
        }
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
