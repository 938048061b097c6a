//! What a daemon knows of one workspace as it spends its tokens.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use async_std::sync;
use kingcupspan_core::{
    gateway::{
        incarnation::Incarnation,
        quota::{Allowance, Part},
        workspace::{Quota, WorkspaceName},
    },
    id::{MonoMs, Version},
};
use parking_lot::Mutex;

use super::{HOMES_ASKED, Homes};
use crate::gateway::peers::{Peer, Peers, QuotaAnswer, QuotaQuestion};

/// Time for which the homes of a workspace are remembered.
const HOMES_VALID_FOR: Duration = Duration::from_millis(1_000);

/// Time for which a home that has answered may go on to grant tokens to others.
const FORMER_HOME_RECENT: Duration = Duration::from_millis(8_000);

/// Time without a refusal after which a workspace counts as no longer refused.
const REFUSALS_END: Duration = Duration::from_millis(3_000);

/// Limit of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Limit {
    version: Version,
    quota: Quota,
}

/// Refusals of a workspace that belong together.
#[derive(Debug, Clone, Copy)]
struct Refusals {
    last_at: Instant,
    count: u64,
}

/// State of one workspace.
pub struct WorkspaceState {
    /// Tokens and demand.
    pub allowance: Mutex<Allowance>,

    /// Held while a home is asked.
    pub asking: sync::Mutex<()>,

    /// Time at which no home responded.
    pub no_home_at: Mutex<Option<Instant>>,

    /// Fraction of the quota's rate that all daemons use, and when a home told so.
    pub share_used: Mutex<Option<(f64, Instant)>>,

    workspace: WorkspaceName,
    limit: Mutex<Limit>,

    /// Requests that wait for a token.
    waiting: AtomicU32,

    /// Daemons to ask, in this order, and when they were determined.
    homes: Mutex<Option<(Instant, Vec<Peer>)>>,

    /// Home that last answered, and when.
    last_home: Mutex<Option<(Incarnation, Instant)>>,

    refusals: Mutex<Option<Refusals>>,
}

/// Counts a waiting request as long as it lives.
pub struct WaitingGuard<'a>(&'a AtomicU32);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl WorkspaceState {
    /// Creates the state of a workspace without tokens.
    pub fn new(workspace: WorkspaceName, version: Version, quota: Quota) -> Self {
        Self {
            allowance: Mutex::default(),
            asking: sync::Mutex::default(),
            no_home_at: Mutex::default(),
            share_used: Mutex::default(),
            workspace,
            limit: Mutex::new(Limit { version, quota }),
            waiting: AtomicU32::default(),
            homes: Mutex::default(),
            last_home: Mutex::default(),
            refusals: Mutex::default(),
        }
    }

    /// Sets the limit, unless a newer configuration has set it; tokens of another limit are
    /// forgotten.
    pub fn set_limit(&self, version: Version, quota: Quota) {
        let mut limit = self.limit.lock();
        if version <= limit.version {
            return;
        }
        let has_changed = limit.quota != quota;
        *limit = Limit { version, quota };
        drop(limit);
        if has_changed {
            self.allowance.lock().clear();
        }
    }

    /// Counts a request that wants a token.
    pub fn note_demand(&self, now: MonoMs) {
        self.allowance.lock().note_demand(now);
    }

    /// Part of the quota that a failure domain owns.
    pub fn part(&self, homes: &Homes) -> Part {
        homes.part(&self.limit.lock().quota)
    }

    /// Counts this request as waiting.
    pub fn wait_for_token(&self) -> WaitingGuard<'_> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        WaitingGuard(&self.waiting)
    }

    /// Number of requests that wait for a token.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Daemons to ask for tokens, in this order.
    pub fn homes(&self, peers: &Peers) -> Vec<Peer> {
        let mut homes = self.homes.lock();
        if let Some((at, homes)) = &*homes
            && at.elapsed() < HOMES_VALID_FOR
        {
            return homes.clone();
        }
        let ranked = peers.ranked_in_domain(&peers.local.domain, &self.workspace.0, HOMES_ASKED);
        *homes = Some((Instant::now(), ranked.clone()));
        ranked
    }

    /// Forgets which daemons to ask, since one did not respond.
    pub fn forget_homes(&self) {
        *self.homes.lock() = None;
    }

    /// Question for tokens to a home.
    pub fn question(&self, domain: &str, wanted: u32, home: &Peer) -> QuotaQuestion {
        let last_home = self.last_home.lock().clone();
        let is_former = |(last, at): &(Incarnation, Instant)| {
            *last != home.incarnation && at.elapsed() < FORMER_HOME_RECENT
        };
        let limit = *self.limit.lock();
        QuotaQuestion {
            workspace: self.workspace.clone(),
            version: limit.version,
            quota: limit.quota,
            domain: domain.to_owned(),
            wanted,
            former_home: last_home.filter(is_former).map(|(last, _)| last),
            is_forwarded: false,
        }
    }

    /// Remembers what a home has told.
    pub fn note_answer(&self, answer: &QuotaAnswer) {
        let now = Instant::now();
        *self.last_home.lock() = Some((answer.home.clone(), now));
        let rate = f64::from(self.limit.lock().quota.rate);
        *self.share_used.lock() = Some((answer.total_use_per_s / rate, now));
    }

    /// Counts a refusal; the first one is logged.
    pub fn note_refusal(&self) {
        let mut refusals = self.refusals.lock();
        let count = refusals.map_or(0, |r| r.count);
        if count == 0 {
            let quota = self.limit.lock().quota;
            log::warn!(workspace = &*self.workspace.0, per_s = f64::from(quota.rate), burst = quota.burst; "workspace has reached its quota; refusing requests");
        }
        *refusals = Some(Refusals {
            last_at: Instant::now(),
            count: count + 1,
        });
    }

    /// Logs the end of refusals.
    pub fn note_end_of_refusals(&self) {
        let mut refusals = self.refusals.lock();
        if let Some(ended) = refusals.take_if(|r| r.last_at.elapsed() > REFUSALS_END) {
            log::info!(workspace = &*self.workspace.0, refused = ended.count; "workspace is below its quota again; no longer refusing requests");
        }
    }
}
