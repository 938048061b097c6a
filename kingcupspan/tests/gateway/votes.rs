//! What the votes of daemons on an offline grant count, by the entries of the member list.

use std::{net, time::Duration};

use kingcupspan::{
    clock::Clock,
    gateway::peers::{GracefulShutdown, Peer, Peers, VmEntry},
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
    let vote = |vm, started, is_complete| peers.vote(&peer(vm, started, is_complete), RETENTION);
    assert_eq!(vote("killed", LONG_AGO, false), Vote::Agrees);
    assert_eq!(vote("killed", now, false), Vote::Missing);
    assert_eq!(vote("killed", now, true), Vote::Agrees);
    // A VM of the first start is not new, however short ago the system was started.
    assert_eq!(vote("founding", now, false), Vote::Missing);
    assert_eq!(vote("new", now, false), Vote::New);
    assert_eq!(vote("unknown", now, false), Vote::Missing);
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
    assert_eq!(peers.domains_of_left(RETENTION), ["a"]);
    assert_eq!(peers.forgetful(RETENTION).left, 1);
}
