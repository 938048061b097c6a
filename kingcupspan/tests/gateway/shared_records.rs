//! What daemons know of the token allocations in the store while they read it seldom.

use std::{
    net,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{net::TcpStream, task};
use kingcupspan::{
    clock::Clock,
    gateway::{
        partitions::Partitions,
        peers::{Peer, Peers},
        store::Store,
    },
};
use kingcupspan_core::{
    gateway::{allocation::AllocationId, call::ProgramKey},
    id::WallMs,
};
use kingcupspan_platform::{settings::StoreSettings, store::StoreLimits};
use kingcupspan_platform_standin::store;

use crate::process;

/// Memory of a daemon for turns, in bytes.
const CACHE_BYTES: usize = 1_000_000;

/// Creates a daemon's view of the records in the store at `addr`.
fn partitions(vm: &str, addr: net::SocketAddr) -> Partitions {
    let clock = Clock::default();
    let local = Peer {
        vm: vm.to_owned(),
        incarnation: format!("{vm}/1").into(),
        addr: net::SocketAddr::new(net::Ipv4Addr::LOCALHOST.into(), 1),
        domain: "a".to_owned(),
        started: clock.wall(),
        has_complete_state: false,
    };
    let store = Arc::new(Store::new(addr, Arc::new(Peers::new(local))));
    task::spawn(Arc::clone(&store).probe_during_outages());
    let settings = StoreSettings {
        addr,
        partitions: 1,
        limits: StoreLimits {
            record_bytes: 262_144,
            call_bytes: 2_097_152,
        },
        appends_per_s: None,
    };
    Partitions::new(store, &settings, CACHE_BYTES, clock)
}

/// Allocates tokens of a program to a daemon.
async fn allocate(partitions: &Partitions, daemon: &str, program: &ProgramKey, tokens: u64) {
    let id = AllocationId {
        daemon: daemon.into(),
        made_at: WallMs(tokens),
    };
    let allocated = partitions.allocate(program, &id, tokens, None).await;
    allocated.expect("the store accepts records");
}

/// Starts a store; returns it and its address once it listens.
async fn start_store() -> (Arc<store::Store>, net::SocketAddr) {
    let addr = net::SocketAddr::new(process::unique_loopback_address().into(), 9000);
    let store = Arc::new(store::Store::default());
    task::spawn(Arc::clone(&store).serve(addr));
    while TcpStream::connect(addr).await.is_err() {
        task::sleep(Duration::from_millis(5)).await;
    }
    (store, addr)
}

// Guards against daemons that take a part of the records for all of them, since a read returns
// 1 MiB at most, and allocate more than is left.
#[async_std::test]
async fn allocations_are_read_to_the_end_whatever_their_size() {
    let (_, addr) = start_store().await;
    let (busy, idle) = (partitions("busy", addr), partitions("idle", addr));
    let program = ProgramKey::from("p");
    allocate(&idle, "idle", &program, 20).await;
    for number in 0..30 {
        let large = ProgramKey::from("x".repeat(100_000) + &number.to_string());
        allocate(&busy, "busy", &large, 1).await;
    }
    allocate(&busy, "busy", &program, 300).await;
    allocate(&idle, "idle", &program, 4).await;
    assert_eq!(idle.total_allocated(&program), 324);
    idle.refresh_program(&program).await.expect("reads succeed");
    assert_eq!(idle.total_allocated(&program), 324);
}

// Guards against daemons that allocate more than is left, since they have dropped what they
// knew of a program that went on at other daemons.
#[async_std::test]
async fn allocations_are_known_until_a_read_shows_that_their_program_has_ended() {
    let (_, addr) = start_store().await;
    let (busy, idle) = (partitions("busy", addr), partitions("idle", addr));
    let (program, other) = (ProgramKey::from("p"), ProgramKey::from("q"));
    allocate(&busy, "busy", &program, 100).await;
    allocate(&idle, "idle", &program, 20).await;
    allocate(&busy, "busy", &program, 300).await;
    let span = Duration::from_millis(50);
    task::sleep(span * 2).await;
    idle.expire(span);
    allocate(&idle, "idle", &program, 4).await;
    assert_eq!(idle.total_allocated(&program), 424);
    // Once records of others show that the program had none within the span, it is dropped.
    task::sleep(span * 2).await;
    allocate(&idle, "idle", &other, 5).await;
    idle.expire(span);
    assert!(!idle.has_allocations(&program));
    assert!(idle.has_allocations(&other));
}

// Guards against reads of a slow store that are given up and begin anew until none ever ends.
#[async_std::test]
async fn read_that_fails_in_between_goes_on_where_it_ended() {
    let (store, addr) = start_store().await;
    let (busy, idle) = (partitions("busy", addr), partitions("idle", addr));
    let program = ProgramKey::from("p");
    allocate(&idle, "idle", &program, 20).await;
    for number in 0..40 {
        let large = ProgramKey::from("x".repeat(100_000) + &number.to_string());
        allocate(&busy, "busy", &large, 1).await;
    }
    allocate(&busy, "busy", &program, 300).await;
    let before = store.read_bytes("keyed.takings");
    store.set_read_rate(Some(1_000_000));
    let interrupted = Arc::clone(&store);
    task::spawn(async move {
        task::sleep(Duration::from_millis(2_000)).await;
        interrupted.set_behavior(store::StoreBehavior::Unresponsive);
        task::sleep(Duration::from_millis(2_500)).await;
        interrupted.set_behavior(store::StoreBehavior::Available);
    });
    let deadline = Instant::now() + Duration::from_secs(12);
    while idle.refresh_program(&program).await.is_err() {
        assert!(
            Instant::now() < deadline,
            "the partition is not read in time"
        );
        task::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(idle.total_allocated(&program), 320);
    let read = store.read_bytes("keyed.takings") - before;
    assert!(read < 4_400_000, "{read} bytes were read");
}
