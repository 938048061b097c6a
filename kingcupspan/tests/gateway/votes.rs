//! What the votes of daemons on an offline grant count, by the entries of the member list.

use std::{net, time::Duration};

use kingcupspan::{
    clock::Clock,
    gateway::peers::{self, GracefulShutdown, Peer, Peers, VmEntry},
};
use kingcupspan_core::{gateway::grant::Vote, id::WallMs};

/// Retention within which a daemon must not have forgotten a claim.
const RETENTION: Duration = Duration::from_secs(60);

/// Time long before the retention, on the clocks of all VMs.
const LONG_AGO: WallMs = WallMs(1);

fn peer(vm: &str, started: WallMs, has_complete_state: bool) -> Peer {
    Peer {
        vm: vm.to_owned(),
        incarnation: format!("{vm}/1").into(),
        addr: net::SocketAddr::new(net::Ipv4Addr::LOCALHOST.into(), 1),
        domain: "a".to_owned(),
        started,
        has_complete_state,
    }
}

fn vm_entry(joined: WallMs, shutdown: Option<GracefulShutdown>) -> VmEntry {
    VmEntry {
        domain: "a".to_owned(),
        joined,
        shutdown,
    }
}

#[test]
fn vote_counts_only_if_no_claim_can_be_forgotten() {
    let clock = Clock::default();
    let peers = Peers::new(peer("own", LONG_AGO, true), clock);
    let now = clock.wall();
    peers.insert_vm("killed", vm_entry(LONG_AGO, None));
    peers.insert_vm("founding", vm_entry(WallMs(0), None));
    peers.insert_vm("new", vm_entry(now, None));
    let needed_since = peers::needed_since(now, RETENTION);
    let vote = |vm, started, is_complete| peers.vote(&peer(vm, started, is_complete), needed_since);
    assert_eq!(vote("killed", LONG_AGO, false), Vote::Agrees);
    assert_eq!(vote("killed", now, false), Vote::Missing);
    assert_eq!(vote("killed", now, true), Vote::Agrees);
    // A VM of the first start is not new, however short ago the system was started.
    assert_eq!(vote("founding", now, false), Vote::Missing);
    assert_eq!(vote("new", now, false), Vote::New);
    assert_eq!(vote("unknown", now, false), Vote::Missing);
}

// Guards against votes for a second grant by daemons that were restarted long ago, but after
// the program had begun.
#[test]
fn daemon_does_not_vote_on_programs_that_are_older_than_it_is() {
    let clock = Clock::default();
    let peers = Peers::new(peer("own", LONG_AGO, true), clock);
    let now = clock.wall();
    let ago = |seconds: u64| WallMs(now.0 - seconds * 1_000);
    peers.insert_vm("killed", vm_entry(LONG_AGO, None));
    let restarted = peer("killed", ago(300), false);
    let vote = |active_since| peers.vote(&restarted, peers::needed_since(active_since, RETENTION));
    assert_eq!(vote(now), Vote::Agrees);
    assert_eq!(vote(ago(200)), Vote::Agrees);
    assert_eq!(vote(ago(240)), Vote::Missing);
    assert_eq!(vote(ago(400)), Vote::Missing);
}

#[test]
fn daemons_that_have_left_count_for_the_retention() {
    let clock = Clock::default();
    let peers = Peers::new(peer("own", LONG_AGO, true), clock);
    peers.insert(peer("left", LONG_AGO, true));
    peers.insert(peer("gone", LONG_AGO, true));
    assert_eq!(peers.others().len(), 2);
    let shutdown = |at| {
        Some(GracefulShutdown {
            at,
            is_complete: true,
        })
    };
    peers.insert_vm("left", vm_entry(LONG_AGO, shutdown(clock.wall())));
    peers.insert_vm("gone", vm_entry(LONG_AGO, shutdown(LONG_AGO)));
    assert_eq!(peers.others(), []);
    let needed_since = peers::needed_since(clock.wall(), RETENTION);
    assert_eq!(peers.domains_of_left(needed_since), ["a"]);
    assert_eq!(peers.forgetful(needed_since).left, 1);
}
