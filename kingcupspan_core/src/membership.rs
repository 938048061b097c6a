//! Who is alive, as one daemon sees it, and who should own which slot.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{DomainId, MonoMs, Slot, VmId, Writer},
    rendezvous, slot,
};

/// Time that a better candidate must have been alive before a slot moves to
/// it, in leases.
const STEADY_LEASES: u64 = 2;

/// Another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its failure domain.
    pub failure_domain: DomainId,

    /// Its incarnation, once it has answered.
    pub incarnation: Option<u64>,

    /// When it last answered a heartbeat.
    #[serde(rename = "answered")]
    pub last_answered: Option<MonoMs>,

    /// Since when it has answered without a gap.
    #[serde(rename = "steady_since")]
    pub stable_since: Option<MonoMs>,

    /// Whether it takes no slots: it is leaving or stopping.
    pub leaving: bool,
}

/// One daemon's view of the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct View {
    /// The daemon itself.
    pub me: Writer,

    /// Its failure domain.
    pub failure_domain: DomainId,

    /// Whether it is stopping.
    pub leaving: bool,

    /// All other listed daemons.
    pub members: BTreeMap<VmId, Member>,

    /// Silence after which a daemon counts as dead, in milliseconds.
    pub lease_ms: u64,

    /// Before this time nothing is claimed, since the view may be out of date.
    #[serde(rename = "blind_until")]
    pub claims_paused_until: MonoMs,

    last_tick: MonoMs,
}

/// What to do about a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Nothing.
    NoChange,

    /// Claim it.
    Claim,

    /// Hand it over.
    HandOver(VmId),
}

impl View {
    /// A view without other daemons.
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

    /// Notes the passing of time; a long gap means that this process was
    /// paused, so that all it knows of others is out of date.
    pub fn tick(&mut self, now: MonoMs) {
        if now.since(self.last_tick) > self.lease_ms / 2 {
            self.claims_paused_until = MonoMs(now.0 + self.lease_ms);
        }
        self.last_tick = now;
        let everyone_answers = self.members.values().all(|m| self.answers(m, now));
        if everyone_answers && !self.members.is_empty() {
            self.claims_paused_until = self.claims_paused_until.min(now);
        }
    }

    /// Notes an answered heartbeat.
    pub fn record_heartbeat(&mut self, vm: &VmId, incarnation: u64, leaving: bool, now: MonoMs) {
        let lease_ms = self.lease_ms;
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        let gap = member
            .last_answered
            .is_none_or(|at| now.since(at) > lease_ms);
        if gap || member.incarnation != Some(incarnation) {
            member.stable_since = Some(now);
        }
        member.incarnation = Some(incarnation);
        member.last_answered = Some(now);
        member.leaving = leaving;
    }

    fn answers(&self, member: &Member, now: MonoMs) -> bool {
        member
            .last_answered
            .is_some_and(|at| now.since(at) <= self.lease_ms)
    }

    /// Whether this incarnation answers.
    pub fn is_alive(&self, writer: &Writer, now: MonoMs) -> bool {
        if writer.vm == self.me.vm {
            return writer.incarnation == self.me.incarnation;
        }
        let Some(member) = self.members.get(&writer.vm) else {
            return false;
        };
        member.incarnation == Some(writer.incarnation) && self.answers(member, now)
    }

    /// VMs whose daemons answer, this one included.
    pub fn alive(&self, now: MonoMs) -> Vec<&VmId> {
        let others = self.members.iter().filter(|(_, m)| self.answers(m, now));
        let mut alive: Vec<&VmId> = others.map(|(vm, _)| vm).collect();
        alive.push(&self.me.vm);
        alive
    }

    /// VMs whose daemons may take slots.
    pub fn eligible_owners(&self, now: MonoMs) -> Vec<&VmId> {
        let is_taker = |vm: &&VmId| match self.members.get(*vm) {
            Some(member) => !member.leaving,
            None => !self.leaving,
        };
        self.alive(now).into_iter().filter(is_taker).collect()
    }

    /// The daemon that should own a slot.
    pub fn preferred_owner(&self, slot: Slot, now: MonoMs) -> Option<&VmId> {
        let key = format!("slot-{slot}");
        let eligible_owners = self.eligible_owners(now);
        let first = rendezvous::first(&key, eligible_owners.iter().map(|vm| vm.as_str()))?;
        eligible_owners.into_iter().find(|vm| vm.as_str() == first)
    }

    /// What this daemon should do about a slot with this claim, of which it
    /// is the owner if `owning`.
    pub fn decide(
        &self,
        slot: Slot,
        claim: Option<&slot::Claim>,
        owning: bool,
        now: MonoMs,
    ) -> Decision {
        if now < self.claims_paused_until {
            return Decision::NoChange;
        }
        let Some(preferred_owner) = self.preferred_owner(slot, now) else {
            return Decision::NoChange;
        };
        let mine = *preferred_owner == self.me.vm;
        let Some(claim) = claim else {
            return claim_if(mine);
        };
        if let Some(to) = &claim.released_to {
            let target_lives = self.eligible_owners(now).contains(&to);
            return claim_if(*to == self.me.vm || (mine && !target_lives));
        }
        // A claim of its own that this daemon has lost track of is dead, too.
        let lost_track = claim.writer == self.me && !owning;
        if lost_track || !self.is_alive(&claim.writer, now) {
            return claim_if(mine);
        }
        if claim.writer == self.me && !mine && self.is_stable(preferred_owner, now) {
            return Decision::HandOver(preferred_owner.clone());
        }
        Decision::NoChange
    }

    fn is_stable(&self, vm: &VmId, now: MonoMs) -> bool {
        if self.leaving {
            return true;
        }
        let since = self.members.get(vm).and_then(|m| m.stable_since);
        since.is_some_and(|since| now.since(since) > STEADY_LEASES * self.lease_ms)
    }
}

fn claim_if(mine: bool) -> Decision {
    match mine {
        true => Decision::Claim,
        false => Decision::NoChange,
    }
}
