//! Tree over which daemons pass a large record of the store on to each other.
//!
//! Few daemons read the record from the store, in different failure domains. Each domain has a
//! tree of its own, whose root gets the record from these readers. Every daemon computes its
//! place from the members that respond to it; the trees of daemons that see different members
//! differ, which costs a request in vain at worst.

use std::cmp::Reverse;

use crate::rendezvous;

/// Key of the rendezvous order of the members.
const ORDER_KEY: &str = "configuration";

/// Number of daemons that read the record from the store.
const READERS: usize = 2;

/// Number of daemons to which a daemon of the same failure domain passes the record on.
const CHILDREN: usize = 4;

/// A daemon and its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member<'a> {
    /// VM of the daemon.
    pub vm: &'a str,

    /// Failure domain of the VM.
    pub domain: &'a str,

    /// Whether the daemon reaches the store, as far as is known.
    pub reaches_store: bool,
}

/// How a daemon gets the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads it from the store.
    Reader,

    /// Root of a failure domain's tree: gets it from the readers.
    Root,

    /// Gets it from daemons of the own failure domain.
    Leaf,
}

/// Place of a daemon in the tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// How the daemon gets the record.
    pub role: Role,

    /// Position in the order of the daemon's failure domain; the root's is 0.
    pub rank: usize,

    /// VMs that are asked for the record, in this order.
    pub sources: Vec<String>,

    /// VMs that are told when the daemon has got the record.
    pub targets: Vec<String>,
}

/// Returns the place of the daemon on the VM `local`, which is among the members.
pub fn place(members: &[Member<'_>], local: Member<'_>) -> Place {
    let order = order(members);
    let domain: Vec<&str> = order
        .iter()
        .filter(|m| m.domain == local.domain)
        .map(|m| m.vm)
        .collect();
    let rank = domain.iter().position(|vm| *vm == local.vm).unwrap_or(0);
    let roots = roots(&order);
    let readers = &roots[..READERS.min(roots.len())];
    let role = match (rank, readers.contains(&local.vm)) {
        (0, true) => Role::Reader,
        (0, false) => Role::Root,
        _ => Role::Leaf,
    };
    let other_readers = readers.iter().copied().filter(|vm| *vm != local.vm);
    let sources: Vec<&str> = match role {
        Role::Reader => Vec::new(),
        Role::Root => other_readers.collect(),
        Role::Leaf => ancestors(&domain, rank).chain(other_readers).collect(),
    };
    let mut targets: Vec<&str> = children(&domain, rank).to_vec();
    if role == Role::Reader {
        targets.extend(roots.iter().filter(|vm| **vm != local.vm));
    }
    let owned = |vms: Vec<&str>| {
        let mut owned: Vec<String> = Vec::new();
        for vm in vms {
            if !owned.iter().any(|o| o == vm) {
                owned.push(vm.to_owned());
            }
        }
        owned
    };
    Place {
        role,
        rank,
        sources: owned(sources),
        targets: owned(targets),
    }
}

/// Members in the order in which they form the trees: those that reach the store come first.
fn order<'a>(members: &[Member<'a>]) -> Vec<Member<'a>> {
    let mut weighted: Vec<(u64, Member<'a>)> = members
        .iter()
        .map(|m| (rendezvous::weight(ORDER_KEY, m.vm), *m))
        .collect();
    weighted.sort_unstable_by_key(|(weight, m)| Reverse((m.reaches_store, *weight, m.vm)));
    weighted.into_iter().map(|(_, m)| m).collect()
}

/// Roots of all failure domains; the readers come first.
fn roots<'a>(order: &[Member<'a>]) -> Vec<&'a str> {
    let mut domains: Vec<&str> = Vec::new();
    let mut roots = Vec::new();
    for member in order {
        if !domains.contains(&member.domain) {
            domains.push(member.domain);
            roots.push(member.vm);
        }
    }
    roots
}

/// Daemons between the one at `rank` and the root, the nearest first.
fn ancestors<'a>(order: &'a [&'a str], rank: usize) -> impl Iterator<Item = &'a str> {
    let parent = |rank: &usize| rank.checked_sub(1).map(|r| r / CHILDREN);
    std::iter::successors(parent(&rank), parent).map(|rank| order[rank])
}

/// Daemons to which the one at `rank` passes the record on.
fn children<'a, 'b>(order: &'b [&'a str], rank: usize) -> &'b [&'a str] {
    let start = (rank * CHILDREN + 1).min(order.len());
    let end = (start + CHILDREN).min(order.len());
    &order[start..end]
}
