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
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{
    gateway::{
        allocation::{cut_off_grant_limit, offline_grant_limit},
        call::ProgramKey,
    },
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

    /// Restores the claim that an earlier daemon of the same VM remembered.
    pub fn restore(&mut self, holder: Incarnation) {
        self.holder.get_or_insert(holder);
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

    /// All claims, with their programs and holders.
    pub fn held(&self) -> Vec<(ProgramKey, Incarnation)> {
        let held = |(p, (c, _)): (&ProgramKey, &(GrantClaim, MonoMs))| {
            Some((p.clone(), c.holder.clone()?))
        };
        self.0.iter().filter_map(held).collect()
    }

    /// Removes claims that were not accessed since `before`, except for programs for which
    /// `is_kept` returns true.
    pub fn expire(&mut self, before: MonoMs, is_kept: impl Fn(&ProgramKey) -> bool) {
        self.0.retain(|p, (_, at)| *at >= before || is_kept(p));
    }
}

/// Vote of one daemon on an offline grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Vote {
    /// The daemon responded, knows no claim of another daemon and has forgotten none.
    Agrees,

    /// The daemon did not respond, reaches the store, does not agree or may have forgotten
    /// a claim.
    Missing,

    /// The daemon's VM is new, so that no earlier vote can have counted on it.
    New,
}

/// Vote of one daemon, with the daemon's failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ballot {
    /// Failure domain of the daemon.
    pub domain: String,

    /// The vote.
    pub vote: Vote,
}

/// Votes of some daemons on an offline grant, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantVotes {
    /// Number of daemons.
    pub daemons: usize,

    /// Number of daemons that agreed.
    pub agreed: usize,
}

impl GrantVotes {
    /// Adds the vote of one daemon.
    fn add(&mut self, vote: Vote) {
        self.daemons += 1;
        self.agreed += usize::from(vote == Vote::Agrees);
    }

    /// Whether more than half of the daemons agreed.
    fn is_majority(self) -> bool {
        self.agreed * 2 > self.daemons
    }

    /// Whether all daemons agreed, and there is one at least.
    fn is_unanimous(self) -> bool {
        self.agreed > 0 && self.agreed == self.daemons
    }
}

/// Result of a vote on an offline grant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantTally {
    /// Votes of all daemons.
    pub all: GrantVotes,

    /// Votes of the daemons in the failure domain of the daemon that wants the grant,
    /// without those of new VMs.
    pub same_domain: GrantVotes,

    /// Number of failure domains in which no daemon agreed.
    pub silent_domains: u64,
}

impl GrantTally {
    /// Counts the votes of all daemons, including the daemon in `own_domain` that wants
    /// the grant and the daemons that have left recently.
    pub fn count(ballots: &[Ballot], own_domain: &str) -> Self {
        let mut tally = Self::default();
        let mut domains: BTreeMap<&str, GrantVotes> = BTreeMap::new();
        for ballot in ballots {
            tally.all.add(ballot.vote);
            let domain = domains.entry(&ballot.domain).or_default();
            if ballot.vote != Vote::New {
                domain.add(ballot.vote);
            }
        }
        tally.same_domain = domains.get(own_domain).copied().unwrap_or_default();
        tally.silent_domains = domains.values().filter(|v| v.agreed == 0).count() as u64;
        tally
    }
}

/// Conditions checked before a daemon makes an offline grant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantConditions {
    /// Votes of all daemons, including this one.
    pub tally: GrantTally,

    /// Whether another daemon has claimed the program.
    pub is_denied: bool,

    /// Whether this daemon's failure domain is cut off from all others.
    pub is_cut_off: bool,

    /// Whether this daemon has read the list of daemons since it started.
    pub has_member_list: bool,

    /// Whether this daemon has read the program's records since it started.
    pub has_read_records: bool,

    /// Whether the program's records disable offline grants.
    pub grants_disabled: bool,
}

impl GrantConditions {
    /// Returns the total of the tokens that the daemon may grant itself for the program.
    ///
    /// A daemon that has just started may be the only one that does not know that
    /// allocations may already use the whole limit. It therefore makes no grant before
    /// it has read the records.
    ///
    /// Any two majorities have a daemon in common, which knows the claim that the first
    /// of them agreed to. A majority with a daemon of each failure domain also has one
    /// in common with all daemons of any failure domain. Tokens are left only for
    /// failure domains without a vote, which may be cut off and make grants of their own.
    pub fn max_grant(&self, limit: u64) -> u64 {
        let has_read_state = self.has_member_list && self.has_read_records;
        if !has_read_state || self.grants_disabled || self.is_denied {
            return 0;
        }
        if self.tally.all.is_majority() {
            let left_for_others = self.tally.silent_domains * cut_off_grant_limit(limit);
            return offline_grant_limit(limit).saturating_sub(left_for_others);
        }
        if self.is_cut_off && self.tally.same_domain.is_unanimous() {
            return cut_off_grant_limit(limit);
        }
        0
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

    /// Number of daemons that have left so recently that a claim may be known to them only.
    pub recently_left: usize,

    /// Whether there is a failure domain in which all daemons started or left so recently.
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
        let unknown = self.recently_started + self.recently_left;
        let are_claims_remembered =
            unknown * 2 <= self.daemons + self.recently_left && !self.has_recently_started_domain;
        let is_unanimous = self.agreed == self.daemons;
        let reserve = match self.ended.is_empty() {
            true => self.unrecorded,
            false => offline_grant_limit(limit),
        };
        (is_unanimous && are_claims_remembered).then_some(reserve)
    }
}
