//! Membership as seen by one daemon, and the choice of the owner of each slot.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{DomainId, MonoMs, Slot, VmId, Writer},
    rendezvous, slot,
};

/// Time for which a preferred owner must have been alive without a gap before
/// the current owner hands a slot over to it, in leases.
const STABLE_LEASES: u64 = 2;

/// State of another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Failure domain of the daemon.
    pub failure_domain: DomainId,

    /// Incarnation of the daemon, once it has answered a heartbeat.
    pub incarnation: Option<u64>,

    /// Time of the daemon's last answer to a heartbeat.
    #[serde(rename = "answered")]
    pub last_answered: Option<MonoMs>,

    /// Time since which the daemon has answered without a gap of more than one
    /// lease.
    #[serde(rename = "steady_since")]
    pub stable_since: Option<MonoMs>,

    /// Whether the daemon is leaving or stopping and therefore takes no slots.
    pub leaving: bool,
}

/// View that one daemon has of all others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct View {
    /// Incarnation of the daemon that holds this view.
    pub me: Writer,

    /// Failure domain of the daemon.
    pub failure_domain: DomainId,

    /// Whether this daemon is stopping.
    pub leaving: bool,

    /// All other configured daemons.
    pub members: BTreeMap<VmId, Member>,

    /// Time without an answer after which a daemon is considered dead, in
    /// milliseconds.
    pub lease_ms: u64,

    /// Time before which no slot is claimed, because the view may be out of
    /// date.
    #[serde(rename = "blind_until")]
    pub claims_paused_until: MonoMs,

    /// Time of the last call of `tick`.
    last_tick: MonoMs,
}

/// Action to take for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Leave the slot as it is.
    NoChange,

    /// Claim the slot.
    Claim,

    /// Hand the slot over to the daemon on this VM.
    HandOver(VmId),
}

impl View {
    /// Creates a view without other daemons.
    pub fn new(me: Writer, failure_domain: DomainId, lease_ms: u64, now: MonoMs) -> Self {
        Self {
            me,
            failure_domain,
            leaving: false,
            members: BTreeMap::new(),
            lease_ms,
            claims_paused_until: MonoMs(now.0 + lease_ms),
            last_tick: now,
        }
    }

    /// Updates the time of the view.
    ///
    /// A gap of more than half a lease means that this process was paused and
    /// that its view is out of date. Claims are then paused for one lease, or
    /// until all other daemons have answered.
    pub fn tick(&mut self, now: MonoMs) {
        if now.since(self.last_tick) > self.lease_ms / 2 {
            self.claims_paused_until = MonoMs(now.0 + self.lease_ms);
        }
        self.last_tick = now;
        let all_alive = self.members.values().all(|m| self.has_answered(m, now));
        if all_alive && !self.members.is_empty() {
            self.claims_paused_until = self.claims_paused_until.min(now);
        }
    }

    /// Records an answered heartbeat.
    pub fn record_heartbeat(&mut self, vm: &VmId, incarnation: u64, leaving: bool, now: MonoMs) {
        let lease_ms = self.lease_ms;
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        let had_gap = member
            .last_answered
            .is_none_or(|at| now.since(at) > lease_ms);
        if had_gap || member.incarnation != Some(incarnation) {
            member.stable_since = Some(now);
        }
        member.incarnation = Some(incarnation);
        member.last_answered = Some(now);
        member.leaving = leaving;
    }

    /// Returns whether the daemon has answered within the last lease.
    fn has_answered(&self, member: &Member, now: MonoMs) -> bool {
        member
            .last_answered
            .is_some_and(|at| now.since(at) <= self.lease_ms)
    }

    /// Returns whether this incarnation of a daemon is alive.
    pub fn is_alive(&self, writer: &Writer, now: MonoMs) -> bool {
        if writer.vm == self.me.vm {
            return writer.incarnation == self.me.incarnation;
        }
        let Some(member) = self.members.get(&writer.vm) else {
            return false;
        };
        member.incarnation == Some(writer.incarnation) && self.has_answered(member, now)
    }

    /// Returns the VMs whose daemons are alive, including this one.
    pub fn alive(&self, now: MonoMs) -> Vec<&VmId> {
        let others = self
            .members
            .iter()
            .filter(|(_, m)| self.has_answered(m, now));
        let mut alive: Vec<&VmId> = others.map(|(vm, _)| vm).collect();
        alive.push(&self.me.vm);
        alive
    }

    /// Returns the VMs whose daemons are alive and may own slots.
    pub fn eligible_owners(&self, now: MonoMs) -> Vec<&VmId> {
        let is_eligible = |vm: &&VmId| match self.members.get(*vm) {
            Some(member) => !member.leaving,
            None => !self.leaving,
        };
        self.alive(now).into_iter().filter(is_eligible).collect()
    }

    /// Returns the VM whose daemon should own a slot.
    pub fn preferred_owner(&self, slot: Slot, now: MonoMs) -> Option<&VmId> {
        let key = format!("slot-{slot}");
        let eligible_owners = self.eligible_owners(now);
        let first = rendezvous::first(&key, eligible_owners.iter().map(|vm| vm.as_str()))?;
        eligible_owners.into_iter().find(|vm| vm.as_str() == first)
    }

    /// Decides what this daemon should do about a slot with the current claim
    /// `claim`; `is_owner` is true if this daemon owns the slot.
    pub fn decide(
        &self,
        slot: Slot,
        claim: Option<&slot::Claim>,
        is_owner: bool,
        now: MonoMs,
    ) -> Decision {
        if now < self.claims_paused_until {
            return Decision::NoChange;
        }
        let Some(preferred_owner) = self.preferred_owner(slot, now) else {
            return Decision::NoChange;
        };
        let is_preferred = *preferred_owner == self.me.vm;
        let Some(claim) = claim else {
            return claim_if(is_preferred);
        };
        if let Some(to) = &claim.released_to {
            let is_target_eligible = self.eligible_owners(now).contains(&to);
            return claim_if(*to == self.me.vm || (is_preferred && !is_target_eligible));
        }
        // This daemon's own claim counts as dead, too, if the daemon is not
        // the owner under it.
        let is_orphaned = claim.writer == self.me && !is_owner;
        if is_orphaned || !self.is_alive(&claim.writer, now) {
            return claim_if(is_preferred);
        }
        if claim.writer == self.me && !is_preferred && self.is_stable(preferred_owner, now) {
            return Decision::HandOver(preferred_owner.clone());
        }
        Decision::NoChange
    }

    /// Returns whether a slot may be handed over to the daemon on `vm`: it has
    /// been alive for long enough, or this daemon is stopping.
    fn is_stable(&self, vm: &VmId, now: MonoMs) -> bool {
        if self.leaving {
            return true;
        }
        let since = self.members.get(vm).and_then(|m| m.stable_since);
        since.is_some_and(|since| now.since(since) > STABLE_LEASES * self.lease_ms)
    }
}

fn claim_if(should_claim: bool) -> Decision {
    match should_claim {
        true => Decision::Claim,
        false => Decision::NoChange,
    }
}
