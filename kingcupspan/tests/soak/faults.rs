//! Random schedule of faults, which may overlap, and their injection into a fleet.

use std::{
    ops,
    time::{Duration, Instant},
};

use async_std::task;
use kingcupspan_platform_standin::{endpoint::EndpointBehavior, store::StoreBehavior};
use kingcupspan_standin::relay::LinkFaults;
use rand::{Rng, rngs::StdRng};

use crate::fleet::Fleet;

/// Range of the time between the starts of two faults, in milliseconds.
const FAULT_INTERVAL_MS: ops::Range<u64> = 50..900;

/// Range of the time between the starts of two faults that end connections, in milliseconds.
const END_INTERVAL_MS: ops::Range<u64> = 30..300;

/// Start and duration of the cuts of all links of the linked daemons, in milliseconds.
const CUTS_MS: [(u64, u64); 2] = [(300, 3_500), (4_300, 1_500)];

/// Range of a fault's duration, in milliseconds.
const FAULT_DURATION_MS: ops::Range<u64> = 200..3_000;

/// Fault of the connections through a relay.
#[derive(Debug, Clone, Copy)]
pub enum LinkFault {
    /// Data is held back in the flagged directions: to the target, from the target.
    Block(bool, bool),

    /// Data is passed on with a delay.
    Delay,

    /// Open connections are closed.
    Reset,

    /// Open connections are reset.
    Abort,

    /// Open connections are reset, and new ones are refused.
    Cut,
}

/// A fault that is injected into the fleet; the indexes are those of daemons or endpoints.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A daemon is killed with SIGKILL and restarted when the fault ends.
    Kill(usize),

    /// A daemon gets SIGTERM and is restarted after it has exited.
    Terminate(usize),

    /// A daemon is suspended with SIGSTOP and resumed with SIGCONT when the fault ends.
    Suspend(usize),

    /// A daemon gets SIGHUP.
    Sighup(usize),

    /// All daemons are killed at once and restarted when the fault ends.
    KillAll,

    /// The store misbehaves.
    Store(StoreBehavior),

    /// The connections from one daemon to the store fail.
    StoreLink(usize, LinkFault),

    /// The connections to an endpoint fail; indexes count engines first, then services.
    EndpointLink(usize, LinkFault),

    /// The connections from the linked daemons to an endpoint fail; indexes count engines first, then
    /// services.
    DaemonLink(usize, LinkFault),

    /// The connections from the linked daemons to all endpoints fail.
    DaemonLinks(LinkFault),

    /// An endpoint crashes and is listed as a new run when the fault ends; indexes count engines
    /// first, then services.
    Crash(usize),

    /// An endpoint misbehaves; indexes count engines first, then services.
    Endpoint(usize, EndpointBehavior),

    /// A new version of the configuration is published.
    Configure,
}

/// A fault with its start time and duration.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    /// Time from the start of the schedule, in milliseconds.
    start_ms: u64,

    /// Duration of the fault, in milliseconds.
    duration_ms: u64,

    fault: Fault,
}

/// Generates a random schedule of faults that start within `duration`.
pub fn generate_schedule(rng: &mut StdRng, duration: Duration) -> Vec<ScheduledFault> {
    generate(rng, duration, FAULT_INTERVAL_MS, random_fault)
}

/// Generates a random schedule of faults that end connections, while the links of the linked
/// daemons are cut most of the time.
pub fn generate_ends(rng: &mut StdRng, duration: Duration) -> Vec<ScheduledFault> {
    let mut schedule = generate(rng, duration, END_INTERVAL_MS, random_end);
    let cuts = CUTS_MS.map(|(start_ms, duration_ms)| ScheduledFault {
        start_ms,
        duration_ms,
        fault: Fault::DaemonLinks(LinkFault::Cut),
    });
    schedule.extend(cuts);
    schedule
}

/// Generates a schedule of the faults that `draw` returns.
fn generate(
    rng: &mut StdRng,
    duration: Duration,
    interval_ms: ops::Range<u64>,
    draw: fn(&mut StdRng) -> Fault,
) -> Vec<ScheduledFault> {
    let mut schedule = Vec::new();
    let mut start_ms = 0;
    loop {
        start_ms += rng.random_range(interval_ms.clone());
        if u128::from(start_ms) >= duration.as_millis() {
            return schedule;
        }
        schedule.push(ScheduledFault {
            start_ms,
            duration_ms: rng.random_range(FAULT_DURATION_MS),
            fault: draw(rng),
        });
    }
}

/// Returns a schedule in which all daemons are killed while the store misbehaves.
pub fn kill_in_outage(behavior: StoreBehavior) -> Vec<ScheduledFault> {
    let fault = |start_ms, duration_ms, fault| ScheduledFault {
        start_ms,
        duration_ms,
        fault,
    };
    vec![
        fault(1_000, 3_500, Fault::Store(behavior)),
        fault(3_500, 500, Fault::KillAll),
        fault(6_000, 1_500, Fault::Store(behavior)),
        fault(7_000, 800, Fault::KillAll),
    ]
}

/// Draws a random fault for a random daemon or endpoint.
fn random_fault(rng: &mut StdRng) -> Fault {
    let daemon = rng.random_range(0..6);
    let endpoint = rng.random_range(0..6);
    match rng.random_range(0..20) {
        0..3 => Fault::Kill(daemon),
        3..5 => Fault::Terminate(daemon),
        5..7 => Fault::Suspend(daemon),
        7 => Fault::Sighup(daemon),
        8 => Fault::KillAll,
        9 => Fault::Store(StoreBehavior::Unavailable),
        10 => Fault::Store(StoreBehavior::Unresponsive),
        11 => Fault::Store(StoreBehavior::DropsResponses),
        12..14 => Fault::StoreLink(daemon, random_link_fault(rng)),
        14..16 => Fault::EndpointLink(endpoint, random_link_fault(rng)),
        16..19 => Fault::Endpoint(endpoint, random_behavior(rng)),
        _ => Fault::Configure,
    }
}

/// Draws a random fault that ends connections.
fn random_end(rng: &mut StdRng) -> Fault {
    let daemon = rng.random_range(0..6);
    let endpoint = rng.random_range(0..6);
    // Daemons with odd indexes are not linked: they are the peers of those that are.
    match rng.random_range(0..20) {
        0..6 => Fault::Kill(daemon | 1),
        6..8 => Fault::Kill(daemon),
        8..10 => Fault::Terminate(daemon),
        10..12 => Fault::Suspend(daemon),
        12..15 => Fault::Crash(endpoint),
        15..17 => Fault::EndpointLink(endpoint, LinkFault::Abort),
        17..19 => Fault::DaemonLink(endpoint, LinkFault::Abort),
        _ => Fault::DaemonLink(endpoint, LinkFault::Cut),
    }
}

fn random_link_fault(rng: &mut StdRng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Block(true, true),
        1 => LinkFault::Block(true, false),
        2 => LinkFault::Block(false, true),
        3 => LinkFault::Delay,
        _ => LinkFault::Reset,
    }
}

fn random_behavior(rng: &mut StdRng) -> EndpointBehavior {
    match rng.random_range(0..5) {
        0 => EndpointBehavior::DropsResponse,
        1 => EndpointBehavior::TruncatesBody,
        2 => EndpointBehavior::Unsigned,
        3 => EndpointBehavior::Hangs,
        _ => EndpointBehavior::Full,
    }
}

/// Injects the faults of a schedule and returns a description of each daemon that exited
/// unexpectedly.
pub async fn run_schedule(fleet: &mut Fleet, schedule: &[ScheduledFault]) -> Vec<String> {
    let started_at = Instant::now();
    let mut steps: Vec<(u64, bool, Fault)> = Vec::new();
    for scheduled in schedule {
        steps.push((scheduled.start_ms, true, scheduled.fault));
        steps.push((
            scheduled.start_ms + scheduled.duration_ms,
            false,
            scheduled.fault,
        ));
    }
    steps.sort_by_key(|(at, ..)| *at);
    let mut violations = Vec::new();
    for (at, is_start, fault) in steps {
        let at = Duration::from_millis(at);
        task::sleep(at.saturating_sub(started_at.elapsed())).await;
        violations.extend(check_processes(fleet));
        match is_start {
            true => start_fault(fleet, fault),
            false => end_fault(fleet, fault),
        }
    }
    violations
}

/// Restarts the daemons that have exited after SIGTERM and returns a description of each daemon
/// that exited without being asked to.
fn check_processes(fleet: &mut Fleet) -> Vec<String> {
    let mut violations = Vec::new();
    for i in 0..fleet.daemons.len() {
        let daemon = &mut fleet.daemons[i];
        let process = daemon.process.as_mut();
        if process.is_some_and(|p| !p.is_running()) {
            daemon.process = None;
            match daemon.is_stopping {
                true => fleet.start_daemon(i),
                false => violations.push(format!("daemon {i} exited unexpectedly")),
            }
        }
    }
    violations
}

/// Starts a fault; signals to a daemon that is down are skipped.
fn start_fault(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Kill(i) => kill(fleet, i),
        Fault::KillAll => {
            (0..fleet.daemons.len()).for_each(|i| kill(fleet, i));
        }
        Fault::Terminate(i) => {
            let daemon = &mut fleet.daemons[i];
            daemon.is_stopping = true;
            if let Some(process) = &mut daemon.process
                && process.is_running()
            {
                process.terminate();
            }
        }
        Fault::Suspend(i) => with_process(fleet, i, |p| p.suspend()),
        // SIGHUP ends a process that has not yet installed its signal handler.
        Fault::Sighup(i) if !fleet.is_listening(i) => {}
        Fault::Sighup(i) => with_process(fleet, i, |p| p.send_sighup()),
        Fault::Store(behavior) => fleet.store.set_behavior(behavior),
        Fault::StoreLink(i, fault) => start_link_fault(&fleet.daemons[i].store_link, fault),
        Fault::EndpointLink(i, fault) => start_link_fault(&relayed_endpoint(fleet, i).link, fault),
        Fault::DaemonLink(i, fault) => {
            start_link_fault(&relayed_endpoint(fleet, i).daemon_link, fault);
        }
        Fault::DaemonLinks(fault) => {
            let links = fleet.endpoints().map(|e| &e.daemon_link);
            links.for_each(|l| start_link_fault(l, fault));
        }
        Fault::Crash(i) => relayed_endpoint(fleet, i).endpoint.crash(),
        Fault::Endpoint(i, behavior) => relayed_endpoint(fleet, i).endpoint.set_behavior(behavior),
        Fault::Configure => fleet.configure(),
    }
}

/// Ends a fault and restores the state without it.
fn end_fault(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Kill(i) => restart(fleet, i),
        Fault::KillAll => (0..fleet.daemons.len()).for_each(|i| restart(fleet, i)),
        Fault::Suspend(i) => with_process(fleet, i, |p| p.resume()),
        Fault::Store(_) => fleet.store.set_behavior(StoreBehavior::Available),
        Fault::StoreLink(i, _) => restore_link(&fleet.daemons[i].store_link),
        Fault::EndpointLink(i, _) => restore_link(&relayed_endpoint(fleet, i).link),
        // The links may be cut for longer than a reset lasts.
        Fault::DaemonLink(_, LinkFault::Abort) => {}
        Fault::DaemonLink(i, _) => restore_link(&relayed_endpoint(fleet, i).daemon_link),
        Fault::DaemonLinks(_) => {
            let links = fleet.endpoints().map(|e| &e.daemon_link);
            links.for_each(|l| restore_link(l));
        }
        Fault::Crash(i) => fleet.list_endpoint(relayed_endpoint(fleet, i)),
        Fault::Endpoint(i, _) => {
            let endpoint = relayed_endpoint(fleet, i);
            endpoint.endpoint.set_behavior(endpoint.usual_behavior);
        }
        // `check_processes` restarts a daemon that has exited after SIGTERM.
        Fault::Terminate(_) | Fault::Sighup(_) | Fault::Configure => {}
    }
}

fn kill(fleet: &mut Fleet, i: usize) {
    if let Some(mut process) = fleet.daemons[i].process.take() {
        process.kill();
    }
}

/// Starts daemon `i` if it is down.
fn restart(fleet: &mut Fleet, i: usize) {
    if fleet.daemons[i].process.is_none() {
        fleet.start_daemon(i);
    }
}

/// Calls `action` with the process of daemon `i` if the process is running.
fn with_process(fleet: &mut Fleet, i: usize, action: impl Fn(&crate::process::Process)) {
    if let Some(process) = &mut fleet.daemons[i].process
        && process.is_running()
    {
        action(process);
    }
}

/// Returns an endpoint by its index, which counts engines first, then services.
fn relayed_endpoint(fleet: &Fleet, i: usize) -> &crate::fleet::RelayedEndpoint {
    let endpoints: Vec<_> = fleet.endpoints().collect();
    endpoints[i % endpoints.len()]
}

fn start_link_fault(link: &LinkFaults, fault: LinkFault) {
    match fault {
        LinkFault::Block(forward, back) => link.set_blocked_directions(forward, back),
        LinkFault::Delay => link.set_delay(Duration::from_millis(60)),
        LinkFault::Reset => link.close_connections(),
        LinkFault::Abort => link.reset_connections(),
        LinkFault::Cut => {
            link.set_refuses(true);
            link.reset_connections();
        }
    }
}

/// Ends the faults of a link.
pub fn restore_link(link: &LinkFaults) {
    link.set_refuses(false);
    link.set_blocked(false);
    link.set_delay(Duration::ZERO);
}
