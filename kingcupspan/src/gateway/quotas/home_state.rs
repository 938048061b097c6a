//! What the home of a workspace keeps.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use async_std::sync;
use kingcupspan_core::{
    gateway::{
        incarnation::Incarnation,
        quota::{Home, Part},
        workspace::WorkspaceName,
    },
    id::MonoMs,
};
use parking_lot::Mutex;

use crate::gateway::peers::{Peer, Peers, QuotaQuestion};

/// Time for which the homes of another failure domain are remembered.
const HOMES_VALID_FOR: Duration = Duration::from_millis(1_000);

/// Pause between two claims of a workspace.
const CLAIM_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a home of another failure domain may go on to grant tokens.
const FORMER_HOME_RECENT: Duration = Duration::from_millis(8_000);

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
    /// The workspace.
    pub workspace: WorkspaceName,

    /// Tokens of this failure domain.
    pub home: Mutex<Home>,

    /// When this daemon last claimed the workspace.
    claimed_at: Mutex<Option<Instant>>,

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
            home: Mutex::new(Home::new(question.version, question.quota, part, now)),
            claimed_at: Mutex::default(),
            borrowing: sync::Mutex::default(),
            other_homes: Mutex::default(),
        }
    }

    /// Whether the workspace should be claimed now; counts as a claim.
    pub fn should_claim(&self) -> bool {
        let mut claimed_at = self.claimed_at.lock();
        let is_recent = claimed_at.is_some_and(|at| at.elapsed() < CLAIM_PAUSE);
        if !is_recent {
            *claimed_at = Some(Instant::now());
        }
        !is_recent
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
