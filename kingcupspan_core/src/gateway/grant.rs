//! Offline grants: tokens of a program that a daemon grants itself while the store is
//! unreachable.
//!
//! Only one daemon may make offline grants for a program: it claims the program, and
//! the daemons that it asks remember the claim. Allocations in the store may use the
//! program's whole limit only after a record in the store has disabled offline grants,
//! for daemons that start later, and all daemons have agreed to make no more of them.
//! When a daemon ends, all knowledge of its unrecorded grants is lost. The agreement
//! therefore sets aside tokens for each claim of an ended daemon that is remembered,
//! and is valid only if no claim can have been forgotten.

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

/// Identifier of one run of a daemon, which changes with each start.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
#[from(forward)]
pub struct Incarnation(pub Arc<str>);

/// The claim on one program, as remembered by a daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct GrantClaim {
    /// The daemon that may have made offline grants.
    pub holder: Option<Incarnation>,

    /// Whether offline grants of the program are disabled.
    pub grants_disabled: bool,
}

impl GrantClaim {
    /// Claims the program for a daemon, or returns false if another daemon has claimed it
    /// or offline grants are disabled.
    pub fn try_acquire(&mut self, daemon: &Incarnation) -> bool {
        if self.grants_disabled {
            return false;
        }
        self.holder.get_or_insert_with(|| daemon.clone()) == daemon
    }

    /// Passes the claim to another daemon that claims the program at the same time.
    pub fn yield_to(&mut self, other: Incarnation) {
        self.holder = Some(other);
    }

    /// Removes the claim of a daemon that has made no grants.
    pub fn withdraw(&mut self, daemon: &Incarnation) {
        if self.holder.as_ref() == Some(daemon) {
            self.holder = None;
        }
    }
}

/// Claims on all programs, as remembered by a daemon, with the time of the last access
/// to each.
#[derive(Debug, Default)]
pub struct GrantClaims(HashMap<ProgramKey, (GrantClaim, MonoMs)>);

impl GrantClaims {
    /// Returns the claim on a program, which is created if needed, and records the access
    /// at `now`.
    pub fn claim_mut(&mut self, program: &ProgramKey, now: MonoMs) -> &mut GrantClaim {
        let entry = self.0.entry(program.clone()).or_default();
        entry.1 = now;
        &mut entry.0
    }

    /// Whether no program is claimed.
    pub fn is_empty(&self) -> bool {
        self.0.values().all(|(c, _)| c.holder.is_none())
    }

    /// Removes claims that were not accessed since `before`, except for programs for which
    /// `is_kept` returns true.
    pub fn expire(&mut self, before: MonoMs, is_kept: impl Fn(&ProgramKey) -> bool) {
        self.0.retain(|p, (_, at)| *at >= before || is_kept(p));
    }
}

/// Conditions checked before a daemon makes an offline grant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantConditions {
    /// Number of other daemons that were asked.
    pub asked: usize,

    /// Number of other daemons that agreed.
    pub agreed: usize,

    /// Number of other daemons in this daemon's failure domain that were asked.
    pub asked_same_domain: usize,

    /// Number of other daemons in this daemon's failure domain that agreed.
    pub agreed_same_domain: usize,

    /// Whether another daemon has claimed the program or reaches the store.
    pub is_denied: bool,

    /// Whether this daemon's failure domain is cut off from all others.
    pub is_cut_off: bool,

    /// Whether this daemon has read the list of daemons since it started.
    pub has_member_list: bool,

    /// Whether this daemon has read the program's records since it started.
    pub has_read_records: bool,

    /// Whether the program's records disable offline grants.
    pub grants_disabled: bool,

    /// Total of the tokens that this daemon would have granted itself for the program,
    /// including the new grant.
    pub total_granted: u64,
}

impl GrantConditions {
    /// Whether the daemon may make the offline grant.
    ///
    /// A daemon that has just started may be the only one that does not know that
    /// allocations may already use the whole limit. It therefore makes no grant before
    /// it has read the records, and none without the agreement of another daemon.
    pub fn may_grant(&self, limit: u64) -> bool {
        let is_majority = (self.agreed + 1) * 2 > self.asked + 1;
        let is_domain_unanimous =
            self.asked_same_domain > 0 && self.agreed_same_domain == self.asked_same_domain;
        let is_agreed = is_majority || (self.is_cut_off && is_domain_unanimous);
        let is_within_limit = self.total_granted <= offline_grant_limit(limit);
        let has_read_state = self.has_member_list && self.has_read_records;
        has_read_state && !self.grants_disabled && !self.is_denied && is_agreed && is_within_limit
    }
}

/// A claim on a program, as reported by a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// The daemon that has claimed the program.
    #[serde(rename = "by")]
    pub holder: Incarnation,

    /// Whether the reporting peer itself holds the claim and has made offline grants.
    pub has_granted: bool,
}

/// Returns the daemon to which the claimant `own` must yield a program, or `None` if
/// the other claimants yield to it.
///
/// Of daemons that claim a program at the same time, a daemon that has already made
/// grants keeps the claim, or else the daemon with the smallest identifier.
pub fn preferred_claimant<'a>(
    own: &'a Incarnation,
    reports: &'a [ClaimReport],
) -> Option<&'a Incarnation> {
    let others = || reports.iter().filter(|r| r.holder != *own);
    let granting = others().find(|r| r.has_granted).map(|r| &r.holder);
    granting.or_else(|| others().map(|r| &r.holder).min().filter(|h| *h < own))
}

/// The peers' agreement to make no more offline grants of a program, requested by a
/// daemon so that allocations may use the whole limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GrantAgreement {
    /// Number of daemons, including this one.
    pub daemons: usize,

    /// Number of daemons that agreed, including this one.
    pub agreed: usize,

    /// Number of daemons that started so recently that they may lack a claim on the
    /// program.
    pub recently_started: usize,

    /// Whether there is a failure domain in which all daemons started so recently.
    pub has_recently_started_domain: bool,

    /// Tokens of offline grants that are not recorded yet.
    pub unrecorded: u64,

    /// Claimants that have ended.
    pub ended: BTreeSet<Incarnation>,
}

impl GrantAgreement {
    /// Returns the tokens that allocations must leave unused because of past offline
    /// grants, or `None` if allocations must still leave room for further ones.
    pub fn required_reserve(&self, limit: u64) -> Option<u64> {
        // A claim is known to a majority of the daemons or to all daemons of a failure
        // domain.
        let are_claims_remembered =
            self.recently_started * 2 <= self.daemons && !self.has_recently_started_domain;
        let is_unanimous = self.agreed == self.daemons;
        let granted_by_ended = self.ended.len() as u64 * offline_grant_limit(limit);
        (is_unanimous && are_claims_remembered).then_some(self.unrecorded + granted_by_ended)
    }
}
