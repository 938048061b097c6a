//! Tokens of a program that a daemon grants itself while the store is away.
//!
//! Only one daemon may grant tokens of a program: it claims the program, and the
//! daemons that it asks remember the claim. Takings on the store may fill the
//! program's limit once that was announced on the store, for daemons that start
//! later, and all daemons have agreed that nobody grants any more. A daemon that
//! ends takes what it has granted and not recorded with it, so the agreement sets
//! aside a part for each claim that is remembered, and counts only if no claim can
//! have been forgotten.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{
    gateway::{allocation::offline_grant_limit, call::ProgramKey},
    id::MonoMs,
};

/// Names one start of a daemon.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct Incarnation(pub Arc<str>);

/// What a daemon remembers of the claims on one program.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct GrantClaim {
    /// The daemon that may have granted tokens.
    pub holder: Option<Incarnation>,

    /// Whether nobody may grant any more.
    pub grants_disabled: bool,
}

impl GrantClaim {
    /// Lets a daemon grant tokens if no other one may; false if it must not.
    pub fn try_acquire(&mut self, daemon: &Incarnation) -> bool {
        if self.grants_disabled {
            return false;
        }
        self.holder.get_or_insert_with(|| daemon.clone()) == daemon
    }

    /// Leaves the program to another daemon that claims it as well.
    pub fn yield_to(&mut self, other: Incarnation) {
        self.holder = Some(other);
    }

    /// Ends a claim that nothing was granted on.
    pub fn withdraw(&mut self, daemon: &Incarnation) {
        if self.holder.as_ref() == Some(daemon) {
            self.holder = None;
        }
    }
}

/// Claims on all programs, as far as a daemon has to remember them.
#[derive(Debug, Default)]
pub struct GrantClaims(HashMap<ProgramKey, (GrantClaim, MonoMs)>);

impl GrantClaims {
    /// The claim on a program, looked at `now`.
    pub fn claim_mut(&mut self, program: &ProgramKey, now: MonoMs) -> &mut GrantClaim {
        let entry = self.0.entry(program.clone()).or_default();
        entry.1 = now;
        &mut entry.0
    }

    /// Whether no program is claimed.
    pub fn is_empty(&self) -> bool {
        self.0.values().all(|(c, _)| c.holder.is_none())
    }

    /// Forgets programs that were not looked at since `before`.
    pub fn expire(&mut self, before: MonoMs, is_kept: impl Fn(&ProgramKey) -> bool) {
        self.0.retain(|p, (_, at)| *at >= before || is_kept(p));
    }
}

/// What a daemon knows when it wants to grant itself tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantConditions {
    /// Other daemons that were asked.
    pub asked: usize,

    /// Those of them that agreed.
    pub agreed: usize,

    /// Other daemons of the own failure domain that were asked.
    pub asked_same_domain: usize,

    /// Those of them that agreed.
    pub agreed_same_domain: usize,

    /// Whether another daemon has a claim, or reaches the store.
    pub is_denied: bool,

    /// Whether the own failure domain is cut off from all others.
    pub is_cut_off: bool,

    /// Whether the list of daemons was read since the start.
    pub has_member_list: bool,

    /// Whether the program's records were read since the start.
    pub has_read_records: bool,

    /// Whether they announce that nobody grants any more.
    pub grants_disabled: bool,

    /// Tokens that this daemon would have granted itself, all together.
    pub total_granted: u64,
}

impl GrantConditions {
    /// Whether the daemon may grant itself the tokens.
    ///
    /// One that has just started may be the only one that does not know that
    /// takings may fill the limit: it grants nothing before it has read the
    /// records, and nothing on its own word alone.
    pub fn may_grant(&self, limit: u64) -> bool {
        let is_majority = (self.agreed + 1) * 2 > self.asked + 1;
        let is_whole_domain =
            self.asked_same_domain > 0 && self.agreed_same_domain == self.asked_same_domain;
        let is_backed = is_majority || (self.is_cut_off && is_whole_domain);
        let has_room = self.total_granted <= offline_grant_limit(limit);
        let knows = self.has_member_list && self.has_read_records;
        knows && !self.grants_disabled && !self.is_denied && is_backed && has_room
    }
}

/// A claim on a program as a daemon that was asked tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// The daemon that claims the program.
    #[serde(rename = "by")]
    pub holder: Incarnation,

    /// Whether the daemon that tells has the claim and has granted tokens on it.
    pub has_granted: bool,
}

/// The daemon that a claimant leaves a program to; none if the others leave it to
/// the claimant. Of daemons that claim at the same time the one with the least
/// name goes on, unless another has granted tokens already.
pub fn preferred_claimant<'a>(
    own: &'a Incarnation,
    reports: &'a [ClaimReport],
) -> Option<&'a Incarnation> {
    let others = || reports.iter().filter(|r| r.holder != *own);
    let granting = others().find(|r| r.has_granted).map(|r| &r.holder);
    granting.or_else(|| others().map(|r| &r.holder).min().filter(|by| *by < own))
}

/// What the other daemons told one that wants takings to fill the limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GrantAgreement {
    /// Daemons, the own one included.
    pub daemons: usize,

    /// Those of them that agreed.
    pub agreed: usize,

    /// Those that may have forgotten a claim since the program began.
    pub recently_started: usize,

    /// Whether in some failure domain all daemons may have.
    pub has_recently_started_domain: bool,

    /// Tokens that were granted and are not recorded yet.
    pub unrecorded: u64,

    /// Claims of daemons that have ended.
    pub ended: BTreeSet<Incarnation>,
}

impl GrantAgreement {
    /// Tokens that takings must leave for what was granted; none if they have to
    /// leave room for grants to come.
    pub fn required_reserve(&self, limit: u64) -> Option<u64> {
        // A claim is known to a majority, or to all of a failure domain.
        let is_remembered =
            self.recently_started * 2 <= self.daemons && !self.has_recently_started_domain;
        let is_whole = self.agreed == self.daemons;
        let lost = self.ended.len() as u64 * offline_grant_limit(limit);
        (is_whole && is_remembered).then_some(self.unrecorded + lost)
    }
}
