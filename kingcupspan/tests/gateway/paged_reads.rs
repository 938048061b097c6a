//! Partitions that are read page by page while their records change: pages are no snapshot.

use std::{net, sync::Arc, time::Duration};

use async_std::{net::TcpStream, task};
use kingcupspan::{
    clock::Clock,
    gateway::{
        endpoints::{self, Endpoints},
        group_commit::Urgency,
        membership::Membership,
        partition_cursor::PartitionCursor,
        partitions::{PartitionId, Partitions},
        peers::{Peer, Peers},
        store::{Store, StoreFailure},
    },
};
use kingcupspan_core::{
    gateway::{
        allocation::{AllocationId, Settlement},
        call::ProgramKey,
    },
    id::WallMs,
};
use kingcupspan_platform::{
    settings::StoreSettings,
    store::{Partition, StoreLimits},
};
use kingcupspan_platform_standin::{
    settings,
    store::{self, StoreBehavior},
};
use prometheus::core::Collector;

use crate::process;

/// Topic of allocations.
const ALLOCATIONS: &str = "keyed.takings";

/// Number of allocations, each of [`TOKENS`].
const ALLOCATION_COUNT: u64 = 16;

/// Number of allocations in a page.
const PAGE_RECORDS: usize = 8;

const TOKENS: u64 = 10;

/// A store whose pages hold [`PAGE_RECORDS`].
struct Platform {
    store: Arc<store::Store>,
    addr: net::SocketAddr,
}

impl Platform {
    /// Starts a store and waits until it listens.
    async fn start() -> Self {
        let addr = net::SocketAddr::new(process::unique_loopback_address().into(), 9000);
        let store = Arc::new(store::Store::default());
        store.pages.set_max_records(PAGE_RECORDS);
        task::spawn(Arc::clone(&store).serve(addr));
        while TcpStream::connect(addr).await.is_err() {
            task::sleep(Duration::from_millis(5)).await;
        }
        Self { store, addr }
    }

    /// Entry of a daemon that has just started.
    fn peer(vm: &str) -> Peer {
        Peer {
            vm: vm.to_owned(),
            incarnation: format!("{vm}/1").into(),
            addr: net::SocketAddr::new(net::Ipv4Addr::LOCALHOST.into(), 1),
            domain: "a".to_owned(),
            started: Clock::default().wall(),
            has_complete_state: false,
        }
    }

    /// The store as a daemon sees it, with the peers that it knows.
    fn client(&self, vm: &str) -> (Arc<Store>, Arc<Peers>) {
        let peers = Arc::new(Peers::new(Self::peer(vm)));
        let store = Arc::new(Store::new(self.addr, Arc::clone(&peers)));
        task::spawn(Arc::clone(&store).probe_during_outages());
        (store, peers)
    }

    /// The allocations as a daemon sees them that has just started.
    fn partitions(&self, vm: &str) -> Arc<Partitions> {
        let settings = StoreSettings {
            addr: self.addr,
            partitions: 1,
            limits: StoreLimits {
                record_bytes: 262_144,
                call_bytes: 2_097_152,
            },
            appends_per_s: None,
        };
        let (store, _) = self.client(vm);
        Arc::new(Partitions::new(
            store,
            &settings,
            1_000_000,
            Clock::default(),
        ))
    }

    /// Allocations of a daemon, recorded one after another.
    async fn with_allocations(&self) -> Arc<Partitions> {
        let busy = self.partitions("busy");
        for number in 0..ALLOCATION_COUNT {
            let allocated = allocate(&busy, allocation(number), TOKENS).await;
            allocated.expect("the store accepts records");
        }
        busy
    }
}

fn program() -> ProgramKey {
    ProgramKey::from("p")
}

fn allocation(number: u64) -> AllocationId {
    AllocationId {
        daemon: "busy/1".into(),
        made_at: WallMs(number),
    }
}

/// Allocates tokens of the program.
async fn allocate(
    partitions: &Partitions,
    id: AllocationId,
    tokens: u64,
) -> Result<(), StoreFailure> {
    partitions.allocate(&program(), &id, tokens, None).await
}

/// Settles all allocations with `used` tokens each.
async fn settle_all(busy: &Partitions, used: u64) {
    for number in 0..ALLOCATION_COUNT {
        let settlement = Settlement {
            program: program(),
            id: allocation(number),
            used,
        };
        let settled = busy.settle(&settlement, Urgency::Now);
        settled.await.expect("the store accepts records");
    }
}

/// Allocates one token through a daemon that has just started.
async fn allocate_one(started: &Partitions) -> Result<(), StoreFailure> {
    let id = AllocationId {
        daemon: "started/1".into(),
        made_at: WallMs(1_000),
    };
    allocate(started, id, 1).await
}

/// Total that a daemon sees which starts while allocations are settled between two pages.
async fn total_after_settlements_between_pages(used: u64) -> u64 {
    let platform = Platform::start().await;
    let busy = platform.with_allocations().await;
    let started = platform.partitions("started");
    platform.store.pages.hold(ALLOCATIONS, 1);
    let reader = Arc::clone(&started);
    let allocated = task::spawn(async move { allocate_one(&reader).await });
    platform.store.pages.wait_until_held().await;
    settle_all(&busy, used).await;
    platform.store.pages.release();
    allocated.await.expect("the store responds");
    started.total_allocated(&program())
}

// Guards against budgets that are exceeded after a start: an allocation whose page is still to
// come is deleted, and its use lies under a key of a page that was passed.
#[async_std::test]
async fn tokens_that_are_settled_between_two_pages_are_counted() {
    let total = total_after_settlements_between_pages(TOKENS).await;
    assert_eq!(total, ALLOCATION_COUNT * TOKENS + 1);
}

// Guards against turns that are refused after a start although they fit: the page with an
// allocation was passed, and so was that with its settlement.
#[async_std::test]
async fn tokens_that_are_set_free_between_two_pages_are_free() {
    assert_eq!(total_after_settlements_between_pages(0).await, 1);
}

// Guards against budgets that are exceeded after a failed read: what was recorded until the
// listing goes on, in pages that were passed, precedes the own record.
#[async_std::test]
async fn tokens_are_counted_that_were_settled_before_a_listing_went_on() {
    let platform = Platform::start().await;
    let busy = platform.with_allocations().await;
    let started = platform.partitions("started");
    platform.store.pages.hold(ALLOCATIONS, 2);
    let reader = Arc::clone(&started);
    let failed = task::spawn(async move { reader.refresh_program(&program()).await });
    platform.store.pages.wait_until_held().await;
    platform.store.set_behavior(StoreBehavior::Unavailable);
    failed.await.expect_err("the second page is not sent");
    platform.store.pages.release();
    platform.store.set_behavior(StoreBehavior::Available);
    settle_all(&busy, TOKENS).await;
    while allocate_one(&started).await.is_err() {
        task::sleep(Duration::from_millis(50)).await;
    }
    let total = started.total_allocated(&program());
    assert_eq!(total, ALLOCATION_COUNT * TOKENS + 1);
}

// Guards against listings that go on although the records are gone which they lack.
#[async_std::test]
async fn listing_begins_anew_if_the_records_since_its_first_page_are_gone() {
    let platform = Platform::start().await;
    let busy = platform.with_allocations().await;
    let started = platform.partitions("started");
    platform.store.pages.hold(ALLOCATIONS, 1);
    let reader = Arc::clone(&started);
    let allocated = task::spawn(async move { allocate_one(&reader).await });
    platform.store.pages.wait_until_held().await;
    settle_all(&busy, TOKENS).await;
    platform.store.delete_old_records(ALLOCATIONS);
    platform.store.pages.release();
    allocated.await.expect("the store responds");
    let total = started.total_allocated(&program());
    assert_eq!(total, ALLOCATION_COUNT * TOKENS + 1);
}

// Guards against allocations that count although the records after the pages could not be read.
#[async_std::test]
async fn allocation_fails_if_the_records_after_the_pages_cannot_be_read() {
    let platform = Platform::start().await;
    let busy = platform.with_allocations().await;
    let started = platform.partitions("started");
    // The own record needs a third page, which is the last one.
    platform.store.pages.hold(ALLOCATIONS, 3);
    let reader = Arc::clone(&started);
    let allocated = task::spawn(async move { allocate_one(&reader).await });
    platform.store.pages.wait_until_held().await;
    settle_all(&busy, TOKENS).await;
    platform.store.set_behavior(StoreBehavior::Unavailable);
    platform.store.pages.release();
    allocated.await.expect_err("the store is unavailable");
    platform.store.set_behavior(StoreBehavior::Available);
    while allocate_one(&started).await.is_err() {
        task::sleep(Duration::from_millis(50)).await;
    }
    let total = started.total_allocated(&program());
    assert_eq!(total, ALLOCATION_COUNT * TOKENS + 1);
}

// Guards against allocations that count although a read ended before the own record.
#[async_std::test]
async fn allocation_fails_if_the_records_before_it_are_not_returned() {
    let platform = Platform::start().await;
    let started = platform.partitions("started");
    allocate_one(&started).await.expect("the store responds");
    platform.with_allocations().await;
    platform.store.set_behavior(StoreBehavior::EmptyReads);
    let allocated = allocate_one(&started).await;
    allocated.expect_err("the allocations of others are not returned");
    platform.store.set_behavior(StoreBehavior::Available);
    allocate_one(&started).await.expect("the store responds");
    let total = started.total_allocated(&program());
    assert_eq!(total, ALLOCATION_COUNT * TOKENS + 1);
}

// Guards against further calls to the store for each turn: once the partition is read, an
// allocation that follows no other is one append.
#[async_std::test]
async fn allocation_reads_nothing_if_no_record_precedes_it() {
    let platform = Platform::start().await;
    let busy = platform.with_allocations().await;
    let before = platform.store.read_bytes(ALLOCATIONS);
    for number in 0..ALLOCATION_COUNT {
        let allocated = allocate(&busy, allocation(1_000 + number), TOKENS).await;
        allocated.expect("the store accepts records");
    }
    assert_eq!(platform.store.read_bytes(ALLOCATIONS), before);
}

/// Names of entries in the order of their keys, more than fit into a page.
fn names() -> impl Iterator<Item = String> {
    (0..PAGE_RECORDS + 4).map(|n| format!("n{n:02}"))
}

// Guards against endpoints that nobody uses, or that get requests although they leave, since
// their entries changed behind a page while it was read.
#[async_std::test]
async fn endpoint_list_is_as_new_as_the_end_of_its_first_read() {
    let platform = Platform::start().await;
    let addr = net::SocketAddr::new(net::Ipv4Addr::LOCALHOST.into(), 1);
    let put = |name: &str, state: &str| {
        let entry = settings::entry("plain", addr, state).to_string();
        platform.store.put("keyed.servers", name, Some(&entry));
    };
    names().skip(1).for_each(|name| put(&name, "ready"));
    let (store, _) = platform.client("started");
    let list = Arc::new(Endpoints::new(Clock::default()));
    platform.store.pages.hold("keyed.servers", 1);
    let following = task::spawn(endpoints::follow(store, Arc::clone(&list)));
    platform.store.pages.wait_until_held().await;
    put("n00", "ready");
    put("n01", "draining");
    platform.store.put("keyed.servers", "n02", None);
    platform.store.pages.release();
    while list.is_empty() {
        task::yield_now().await;
    }
    let ready = list.ready(&"plain".into());
    let ready: Vec<String> = ready.iter().map(|e| e.id.to_string()).collect();
    let expected: Vec<String> = names().filter(|n| n != "n01" && n != "n02").collect();
    assert_eq!(ready, expected);
    following.cancel().await;
}

// Guards against daemons that count as ended, so that what they have allocated counts as used,
// since they joined behind a page while it was read.
#[async_std::test]
async fn member_list_is_as_new_as_the_end_of_its_first_read() {
    let platform = Platform::start().await;
    let join = |name: &str| {
        let entry = rmp_serde::to_vec(&Platform::peer(name)).expect("entries encode");
        platform.store.put_bytes("keyed.daemons", name, Some(entry));
    };
    names().skip(2).for_each(|name| join(&name));
    let (store, peers) = platform.client("started");
    let membership = Arc::new(Membership::new(store, Arc::clone(&peers)));
    platform.store.pages.hold("keyed.daemons", 1);
    let following = task::spawn(async move { membership.join_and_follow().await });
    platform.store.pages.wait_until_held().await;
    join("n00");
    platform.store.put("keyed.daemons", "n02", None);
    platform.store.pages.release();
    peers.wait_until_listed().await;
    let mut listed: Vec<String> = peers.others().into_iter().map(|p| p.vm).collect();
    listed.sort();
    let expected: Vec<String> = names().filter(|n| n != "n01" && n != "n02").collect();
    assert_eq!(listed, expected);
    following.cancel().await;
}

// Guards against turns that are dropped although they were renewed: the page with the former
// record was passed, and the renewal lies behind it.
#[async_std::test]
async fn snapshot_holds_the_newest_record_of_each_key_at_its_end() {
    let platform = Platform::start().await;
    let put = |name: &str, value| platform.store.put("keyed.turns-0", name, value);
    names().for_each(|name| put(&name, Some("former")));
    let (store, _) = platform.client("started");
    platform.store.pages.hold("keyed.turns-0", 1);
    let read = task::spawn(async move {
        let mut cursor = PartitionCursor::default();
        let mut received = Vec::new();
        let partition = Partition::new("keyed.turns-0", 0);
        let advanced = cursor.advance(&store, partition, |c| received.extend(c.records().to_vec()));
        advanced.await.expect("the store responds");
        received
    });
    platform.store.pages.wait_until_held().await;
    put("n00", Some("renewed"));
    put("n01", None);
    put("n11", None);
    platform.store.pages.release();
    let received = read.await;
    let newest = |name: &str| {
        let record = received.iter().rev().find(|r| r.key == name);
        record.and_then(|r| r.value.clone())
    };
    assert_eq!(newest("n00"), Some(b"renewed".to_vec()));
    assert_eq!(newest("n01"), None);
    assert_eq!(newest("n02"), Some(b"former".to_vec()));
    assert_eq!(newest("n11"), None);
}

// Guards against a further call for each of the many partitions that a daemon lists: one page is a
// snapshot by itself.
#[async_std::test]
async fn listing_of_a_single_page_takes_one_call() {
    let platform = Platform::start().await;
    platform.store.put("keyed.turns-0", "n00", Some("only"));
    let (store, _) = platform.client("started");
    let mut cursor = PartitionCursor::default();
    let partition = Partition::new("keyed.turns-0", 0);
    let mut received = 0;
    let advanced = cursor.advance(&store, partition, |c| received += c.records().len());
    advanced.await.expect("the store responds");
    let calls = store.traffic().calls.collect();
    let calls = calls.iter().flat_map(|family| family.get_metric());
    let calls: f64 = calls.map(|m| m.get_counter().get_value()).sum();
    assert_eq!((received, calls), (1, 1.0));
    assert!(cursor.next_offset().is_some());
}

// Guards against topics that are created by their first record: until then no read of them
// succeeds, and none is needed.
#[async_std::test]
async fn topic_that_does_not_exist_has_no_records() {
    let platform = Platform::start().await;
    platform.store.reject_missing_topics();
    let started = platform.partitions("started");
    let id = PartitionId {
        topic_index: 0,
        number: 0,
    };
    started.refresh(id).await.expect("there is nothing to read");
}
