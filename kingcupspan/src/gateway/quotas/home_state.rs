//! What the home of a workspace keeps.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use async_std::sync;
use kingcupspan_core::{
    gateway::{
        incarnation::Incarnation,
        quota::{Bucket, Lenders, Loans, Moment, Part},
        workspace::{Quota, WorkspaceName},
    },
    id::{MonoMs, Version},
};
use parking_lot::Mutex;

use crate::gateway::peers::{Peer, Peers, QuotaAnswer, QuotaQuestion};

/// Time for which the homes of another failure domain are remembered.
const HOMES_VALID_FOR: Duration = Duration::from_millis(1_000);

/// Time for which a home of another failure domain may go on to grant tokens.
const FORMER_HOME_RECENT: Duration = Duration::from_millis(8_000);

/// Time for whose missing tokens a home has some borrowed, in seconds.
const LOW_LOANS_S: f64 = 0.1;

/// Tokens of a workspace and what is known about those of other failure domains.
pub struct Tokens {
    version: Version,
    quota: Quota,
    pub bucket: Bucket,
    pub loans: Loans,
    pub lenders: Lenders,
}

/// Home of a workspace in another failure domain.
#[derive(Debug, Clone)]
struct OtherHome {
    /// The daemon to ask.
    peer: Option<Peer>,

    /// When it was determined; `None` if it has to be again.
    found_at: Option<Instant>,

    /// Home that last answered, and when.
    last: Option<(Incarnation, Instant)>,
}

/// State of a workspace at its home.
pub struct HomeState {
    pub workspace: WorkspaceName,
    pub tokens: Mutex<Tokens>,

    /// Held while other failure domains are asked for tokens.
    pub borrowing: sync::Mutex<()>,

    /// Homes in other failure domains, by domain.
    other_homes: Mutex<HashMap<String, OtherHome>>,
}

impl HomeState {
    /// Creates the state of a home that knows of no former one.
    pub fn new(question: &QuotaQuestion, part: Part, now: MonoMs) -> Self {
        Self {
            workspace: question.workspace.clone(),
            tokens: Mutex::new(Tokens {
                version: question.version,
                quota: question.quota,
                bucket: Bucket::new(part, now),
                loans: Loans::default(),
                lenders: Lenders::default(),
            }),
            borrowing: sync::Mutex::default(),
            other_homes: Mutex::default(),
        }
    }

    /// The daemon to ask for tokens of another failure domain.
    pub fn other_home(&self, domain: &str, peers: &Peers) -> Option<Peer> {
        let mut homes = self.other_homes.lock();
        if let Some(home) = homes.get(domain)
            && home
                .found_at
                .is_some_and(|at| at.elapsed() < HOMES_VALID_FOR)
        {
            return home.peer.clone();
        }
        let mut ranked = peers.ranked_in_domain(domain, &self.workspace.0, 1);
        let home = OtherHome {
            peer: ranked.pop(),
            found_at: Some(Instant::now()),
            last: homes.get(domain).and_then(|h| h.last.clone()),
        };
        homes.insert(domain.to_owned(), home.clone());
        home.peer
    }

    /// Another home of a failure domain that may go on to grant tokens beside `home`.
    pub fn former_home(&self, domain: &str, home: &Peer) -> Option<Incarnation> {
        let homes = self.other_homes.lock();
        let (last, at) = homes.get(domain)?.last.clone()?;
        let is_former = last != home.incarnation && at.elapsed() < FORMER_HOME_RECENT;
        is_former.then_some(last)
    }

    /// Remembers the home of another failure domain that has answered; `None` if it has not.
    pub fn note_other_home(&self, domain: &str, answered: Option<&Incarnation>) {
        let mut homes = self.other_homes.lock();
        let Some(home) = homes.get_mut(domain) else {
            return;
        };
        match answered {
            Some(incarnation) => home.last = Some((incarnation.clone(), Instant::now())),
            None => home.found_at = None,
        }
    }
}

impl Tokens {
    /// The limit, and the version of the configuration that has it.
    pub fn limit(&self) -> (Version, Quota) {
        (self.version, self.quota)
    }

    /// Sets the limit, unless a newer configuration has set it.
    pub fn set_limit(&mut self, version: Version, quota: Quota, part: Part, now: MonoMs) {
        if version > self.version {
            (self.version, self.quota) = (version, quota);
        }
        if version >= self.version && part != *self.bucket.part() {
            self.bucket.set_part(part, now);
        }
    }

    /// Grants up to `wanted` tokens to a daemon of this failure domain.
    pub fn grant(&mut self, wanted: u32, home: &Incarnation, now: &Moment) -> QuotaAnswer {
        let (tokens, validity_ms) = match self.loans.take(wanted, now) {
            Some(loan) => (loan.tokens, loan.validity_ms - now.since(&loan.asked_at)),
            None => {
                let tokens = self.bucket.take(wanted, now.mono);
                (tokens, self.bucket.part().validity_ms)
            }
        };
        self.bucket.note_used(tokens, now.mono);
        self.answer(tokens, validity_ms, home, now)
    }

    /// Lends up to `wanted` tokens to another failure domain.
    pub fn lend(&mut self, wanted: u32, home: &Incarnation, now: &Moment) -> QuotaAnswer {
        let tokens = self.bucket.take_surplus(wanted, now.mono);
        let validity_ms = self.bucket.part().validity_ms;
        self.answer(tokens, validity_ms, home, now)
    }

    /// Number of tokens to borrow before a request has to wait for one; 0 if there are enough.
    pub fn missing_ahead(&mut self, now: &Moment) -> u32 {
        let missing_per_s = self.bucket.missing_per_s(now.mono);
        let available = self.bucket.level(now.mono) + f64::from(self.loans.tokens(now));
        match available < missing_per_s * LOW_LOANS_S {
            true => Lenders::wanted(0, missing_per_s),
            false => 0,
        }
    }

    /// Answer with `tokens`.
    fn answer(
        &mut self,
        tokens: u32,
        validity_ms: u64,
        home: &Incarnation,
        now: &Moment,
    ) -> QuotaAnswer {
        let use_per_s = self.bucket.use_per_s(now.mono);
        QuotaAnswer {
            home: home.clone(),
            tokens,
            validity_ms,
            retry_ms: self.bucket.refusal(now.mono).retry_ms,
            level: self.bucket.level(now.mono),
            use_per_s,
            total_use_per_s: use_per_s,
        }
    }
}
