//! Configurations with many routes in a fleet whose store is slow or rejects some daemons.

use std::{
    env,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_core::gateway::distribution::{self, Member, Role};
use kingcupspan_platform_standin::{
    caller::Request,
    settings,
    store::{Store, StoreBehavior},
};

use crate::fleet::{self, Fleet};

/// Time within which a daemon activates a configuration that the store has acknowledged, as on
/// the smaller of the users' deployments (`config_apply_ms`).
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Number of daemons, more than a slow store can send the whole record to in time.
const DAEMONS: usize = 24;

/// Environment variable with the number of daemons for a run by hand.
const DAEMONS_ENV: &str = "KINGCUPSPAN_TEST_DAEMONS";

/// Bytes a second that all reads of a slow store share.
const SLOW_READ_RATE: u64 = 2_000_000;

/// Bytes a second that all reads of an overloaded store share.
const OVERLOADED_READ_RATE: u64 = 20_000;

/// Routes that each version adds.
const ROUTES_PER_VERSION: usize = 1_400;

/// Environment variable with the number of routes that each version adds in a run by hand.
const ROUTES_ENV: &str = "KINGCUPSPAN_TEST_ROUTES";

/// Environment variable with the bytes a second of a slow store in a run by hand.
const READ_RATE_ENV: &str = "KINGCUPSPAN_TEST_READ_RATE";

/// Request timeout in the configuration, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// Returns the number in an environment variable, or `default` if it is not set.
fn number_from_env(name: &str, default: usize) -> usize {
    let value = env::var(name).ok();
    value.map_or(default, |v| v.parse().expect("the variable holds a number"))
}

/// Number of daemons.
fn daemons() -> usize {
    number_from_env(DAEMONS_ENV, DAEMONS)
}

/// Number of routes that each version adds.
fn routes_per_version() -> usize {
    number_from_env(ROUTES_ENV, ROUTES_PER_VERSION)
}

/// Bytes a second that all reads of a slow store share.
fn slow_read_rate() -> u64 {
    number_from_env(READ_RATE_ENV, SLOW_READ_RATE as usize) as u64
}

/// Publishes a version of the configuration; returns the size of its record.
fn publish(store: &Store, version: u64, added_routes: usize) -> u64 {
    let configuration = settings::configuration(version, TIMEOUT_MS);
    let record = settings::with_added_routes(configuration, added_routes).to_string();
    store.put("keyed.op", "config", Some(&record));
    record.len() as u64
}

/// Waits until all daemons have activated a version; panics if one has not at the deadline.
async fn wait_for_version(fleet: &Fleet, version: u64, deadline: Instant) {
    for daemon in 0..fleet.daemons.len() {
        loop {
            let active = fleet.configuration_version(daemon).await;
            if active == version {
                break;
            }
            assert!(
                Instant::now() < deadline,
                "daemon {daemon} has version {active}, not {version}"
            );
            task::sleep(Duration::from_millis(20)).await;
        }
    }
}

// Guards against a fleet in which each daemon reads each large configuration whole until none of
// these reads ends in time.
#[async_std::test]
async fn large_configurations_reach_all_daemons_of_a_slow_store() {
    let fleet = Fleet::start("gateway-large-slow", daemons(), TIMEOUT_MS).await;
    fleet.store.set_read_rate(Some(slow_read_rate()));
    for n in 1..=3 {
        publish(&fleet.store, 1 + n, n as usize * routes_per_version());
        task::sleep(Duration::from_millis(1_000)).await;
    }
    let deadline = Instant::now() + APPLY_TIMEOUT - Duration::from_millis(1_000);
    wait_for_version(&fleet, 4, deadline).await;
    let last = 3 * routes_per_version() - 1;
    for daemon in 0..daemons() {
        let request = Request::plain(&format!("/added-{last}/x"), &format!("r{daemon}"));
        let response = fleet.send(daemon, &request).await;
        assert_eq!(response.status, 200, "daemon {daemon}: {response:?}");
    }
}

// Guards against bytes read from the store for a configuration that grow with the fleet.
#[async_std::test]
async fn few_daemons_read_a_large_configuration_from_the_store() {
    let fleet = Fleet::start("gateway-large-bytes", daemons(), TIMEOUT_MS).await;
    let before = fleet.store.read_bytes("keyed.op");
    let size = publish(&fleet.store, 2, routes_per_version());
    wait_for_version(&fleet, 2, Instant::now() + APPLY_TIMEOUT).await;
    let read = fleet.store.read_bytes("keyed.op") - before;
    // As many as there are failure domains.
    assert!(read <= 3 * size, "{read} bytes were read, {size} published");
}

// Guards against an overload of the store that goes on when its cause has ended.
#[async_std::test]
async fn fleet_recovers_from_a_moment_in_which_the_store_is_overloaded() {
    let fleet = Fleet::start("gateway-large-overload", daemons(), TIMEOUT_MS).await;
    fleet.store.set_read_rate(Some(OVERLOADED_READ_RATE));
    publish(&fleet.store, 2, routes_per_version());
    task::sleep(Duration::from_millis(4_000)).await;
    fleet.store.set_read_rate(Some(slow_read_rate()));
    wait_for_version(&fleet, 2, Instant::now() + APPLY_TIMEOUT).await;
    publish(&fleet.store, 3, 2 * routes_per_version());
    wait_for_version(&fleet, 3, Instant::now() + APPLY_TIMEOUT).await;
}

// Guards against daemons that the store rejects and that read whole records through others in
// vain, and do not return to the store when it serves them again.
#[async_std::test]
async fn large_configurations_reach_daemons_that_the_store_rejects() {
    let store = Arc::new(Store::default());
    let rejecting = store.with_shared_records();
    let servers = [&store, &rejecting, &store, &rejecting, &store].map(Arc::clone);
    let name = "gateway-large-rejected";
    let fleet = Fleet::start_on(name, Arc::clone(&store), &servers, daemons(), TIMEOUT_MS).await;
    rejecting.set_behavior(StoreBehavior::Unresponsive);
    store.set_read_rate(Some(slow_read_rate()));
    task::sleep(Duration::from_millis(1_500)).await;
    publish(&store, 2, routes_per_version());
    wait_for_version(&fleet, 2, Instant::now() + APPLY_TIMEOUT).await;
    rejecting.set_behavior(StoreBehavior::Available);
    publish(&store, 3, 2 * routes_per_version());
    wait_for_version(&fleet, 3, Instant::now() + APPLY_TIMEOUT).await;
}

/// Whether the daemon on a VM reads configurations from the store while all daemons reach it.
fn is_reader(vm: usize, daemons: usize) -> bool {
    let names: Vec<(String, &str)> = (0..daemons).map(fleet::vm_and_domain).collect();
    let members: Vec<Member<'_>> = names
        .iter()
        .map(|(vm, domain)| Member {
            vm,
            domain,
            reaches_store: true,
        })
        .collect();
    distribution::place(&members, members[vm]).role == Role::Reader
}

// Guards against a fleet that reads a large configuration all at once, since the daemons that
// would pass it on do not reach the store.
#[async_std::test]
async fn large_configurations_reach_a_fleet_whose_readers_lack_the_store() {
    let store = Arc::new(Store::default());
    let rejecting = store.with_shared_records();
    let server = |vm| match is_reader(vm, daemons()) {
        true => Arc::clone(&rejecting),
        false => Arc::clone(&store),
    };
    let servers: Vec<Arc<Store>> = (0..daemons()).map(server).collect();
    let name = "gateway-large-readers";
    let fleet = Fleet::start_on(name, Arc::clone(&store), &servers, daemons(), TIMEOUT_MS).await;
    rejecting.set_behavior(StoreBehavior::Unresponsive);
    store.set_read_rate(Some(slow_read_rate()));
    task::sleep(Duration::from_millis(1_500)).await;
    for n in 1..=2 {
        publish(&store, 1 + n, n as usize * routes_per_version());
        wait_for_version(&fleet, 1 + n, Instant::now() + APPLY_TIMEOUT).await;
    }
}
