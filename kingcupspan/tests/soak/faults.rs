//! Faults from outside the processes, in series and overlapping.

use std::time::{Duration, Instant};

use async_std::task;
use kingcupspan_platform_standin::{endpoint::EndpointBehavior, store::StoreBehavior};
use rand::{Rng, rngs::StdRng};

use crate::fleet::{Fleet, STREAMS};

/// Pause between the starts of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 50..900;

/// How long a fault lasts, in milliseconds.
const SPAN_MS: std::ops::Range<u64> = 200..3_000;

/// What happens to a connection.
#[derive(Debug, Clone, Copy)]
pub enum Link {
    /// Nothing passes; the flags are the directions, forward and back.
    Silent(bool, bool),

    /// Each piece comes late.
    Slow,

    /// Open connections end.
    Reset,
}

/// One fault.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// SIGKILL, and a start later.
    Kill(usize),

    /// SIGTERM, and a start after the end.
    Stop(usize),

    /// SIGSTOP, and SIGCONT later.
    Freeze(usize),

    /// SIGHUP.
    HangUp(usize),

    /// All daemons are killed at once.
    KillAll,

    /// The store misbehaves.
    Store(StoreBehavior),

    /// The way of one daemon to the store.
    StoreLink(usize, Link),

    /// The way to an endpoint: engines first, then services.
    EndpointLink(usize, Link),

    /// An endpoint misbehaves.
    Endpoint(usize, EndpointBehavior),

    /// The configuration changes.
    Configure,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// From the start, in milliseconds.
    at_ms: u64,

    /// How long it lasts, in milliseconds.
    for_ms: u64,

    fault: Fault,
}

/// Draws the faults of a seed.
pub fn schedule(rng: &mut StdRng, span: Duration) -> Vec<Entry> {
    let mut entries = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += rng.random_range(GAP_MS);
        if u128::from(at_ms) >= span.as_millis() {
            return entries;
        }
        entries.push(Entry {
            at_ms,
            for_ms: rng.random_range(SPAN_MS),
            fault: draw(rng),
        });
    }
}

fn draw(rng: &mut StdRng) -> Fault {
    let daemon = rng.random_range(0..6);
    let endpoint = rng.random_range(0..6);
    match rng.random_range(0..20) {
        0..3 => Fault::Kill(daemon),
        3..5 => Fault::Stop(daemon),
        5..7 => Fault::Freeze(daemon),
        7 => Fault::HangUp(daemon),
        8 => Fault::KillAll,
        9 => Fault::Store(StoreBehavior::Unavailable),
        10 => Fault::Store(StoreBehavior::Unresponsive),
        11 => Fault::Store(StoreBehavior::DropsResponses),
        12..14 => Fault::StoreLink(daemon, link(rng)),
        14..16 => Fault::EndpointLink(endpoint, link(rng)),
        16..19 => Fault::Endpoint(endpoint, manner(rng)),
        _ => Fault::Configure,
    }
}

fn link(rng: &mut StdRng) -> Link {
    match rng.random_range(0..5) {
        0 => Link::Silent(true, true),
        1 => Link::Silent(true, false),
        2 => Link::Silent(false, true),
        3 => Link::Slow,
        _ => Link::Reset,
    }
}

fn manner(rng: &mut StdRng) -> EndpointBehavior {
    match rng.random_range(0..5) {
        0 => EndpointBehavior::DropsResponse,
        1 => EndpointBehavior::TruncatesBody,
        2 => EndpointBehavior::Unsigned,
        3 => EndpointBehavior::Hangs,
        _ => EndpointBehavior::Full,
    }
}

/// Plays a schedule; processes that ended by themselves.
pub async fn play(fleet: &mut Fleet, schedule: &[Entry]) -> Vec<String> {
    let begun = Instant::now();
    let mut steps: Vec<(u64, bool, Fault)> = Vec::new();
    for entry in schedule {
        steps.push((entry.at_ms, true, entry.fault));
        steps.push((entry.at_ms + entry.for_ms, false, entry.fault));
    }
    steps.sort_by_key(|(at, ..)| *at);
    let mut findings = Vec::new();
    for (at, begins, fault) in steps {
        let at = Duration::from_millis(at);
        task::sleep(at.saturating_sub(begun.elapsed())).await;
        findings.extend(ended_by_themselves(fleet));
        match begins {
            true => begin(fleet, fault),
            false => end(fleet, fault),
        }
    }
    findings
}

/// Daemons whose process has ended without having been told to; those that were
/// told start again.
fn ended_by_themselves(fleet: &mut Fleet) -> Vec<String> {
    let mut findings = Vec::new();
    for i in 0..fleet.daemons.len() {
        let daemon = &mut fleet.daemons[i];
        let process = daemon.process.as_mut();
        if process.is_some_and(|p| !p.is_running()) {
            daemon.process = None;
            match daemon.is_told_to_stop {
                true => fleet.start_daemon(i),
                false => findings.push(format!("daemon {i} has ended by itself")),
            }
        }
    }
    findings
}

fn begin(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Kill(i) => kill(fleet, i),
        Fault::KillAll => {
            (0..fleet.daemons.len()).for_each(|i| kill(fleet, i));
            fleet.note_all_killed();
        }
        Fault::Stop(i) => {
            let daemon = &mut fleet.daemons[i];
            daemon.is_told_to_stop = true;
            if let Some(process) = &mut daemon.process
                && process.is_running()
            {
                process.ask_to_stop();
            }
        }
        Fault::Freeze(i) => with_process(fleet, i, |p| p.freeze()),
        // Nothing can be told to a process that has not come to its first statement.
        Fault::HangUp(i) if !fleet.listens(i) => {}
        Fault::HangUp(i) => with_process(fleet, i, |p| p.hang_up()),
        Fault::Store(mood) => fleet.set_store(mood),
        Fault::StoreLink(i, link) => apply(&fleet.daemons[i].store_cut, link),
        Fault::EndpointLink(i, link) => apply(&site(fleet, i).cut, link),
        Fault::Endpoint(i, manner) => site(fleet, i).endpoint.set_behavior(manner),
        Fault::Configure => fleet.configure(),
    }
}

fn end(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Kill(i) => restart(fleet, i),
        Fault::KillAll => (0..fleet.daemons.len()).for_each(|i| restart(fleet, i)),
        Fault::Freeze(i) => with_process(fleet, i, |p| p.wake()),
        Fault::Store(_) => fleet.set_store(StoreBehavior::Available),
        Fault::StoreLink(i, _) => mend(&fleet.daemons[i].store_cut),
        Fault::EndpointLink(i, _) => mend(&site(fleet, i).cut),
        Fault::Endpoint(i, _) => {
            let manner = match i < fleet.engines.len() {
                true => STREAMS,
                false => EndpointBehavior::Plain,
            };
            site(fleet, i).endpoint.set_behavior(manner);
        }
        // A daemon that stops starts again when it has ended.
        Fault::Stop(_) | Fault::HangUp(_) | Fault::Configure => {}
    }
}

fn kill(fleet: &mut Fleet, i: usize) {
    if let Some(mut process) = fleet.daemons[i].process.take() {
        process.kill();
    }
}

fn restart(fleet: &mut Fleet, i: usize) {
    if fleet.daemons[i].process.is_none() {
        fleet.start_daemon(i);
    }
}

fn with_process(fleet: &mut Fleet, i: usize, act: impl Fn(&crate::process::Process)) {
    if let Some(process) = &mut fleet.daemons[i].process
        && process.is_running()
    {
        act(process);
    }
}

fn site(fleet: &Fleet, i: usize) -> &crate::fleet::Site {
    let sites: Vec<_> = fleet.engines.iter().chain(&fleet.services).collect();
    sites[i % sites.len()]
}

fn apply(cut: &kingcupspan_standin::relay::LinkFaults, link: Link) {
    match link {
        Link::Silent(forward, back) => cut.set_blocked_directions(forward, back),
        Link::Slow => cut.set_delay(Duration::from_millis(60)),
        Link::Reset => cut.close_connections(),
    }
}

fn mend(cut: &kingcupspan_standin::relay::LinkFaults) {
    cut.set_blocked(false);
    cut.set_delay(Duration::ZERO);
}
