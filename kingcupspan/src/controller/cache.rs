//! Prefix caches of engines: tracks which engines hold prefixes of which programs, and
//! releases them when the programs are closed.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use async_std::task;
use kingcupspan_config::endpoint::Endpoint;
use kingcupspan_core::id::{EndpointId, Fence, MonoMs, ProgramId, Seq};

use crate::{daemon::Daemon, edge::endpoint};

/// Interval between sweeps for cache entries of closed programs.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// How long a program must be missing from its slot before its cache is released, in
/// milliseconds. The delay protects new programs whose opening has not been read from the log.
const RELEASE_DELAY_MS: u64 = 3_000;

/// Age of the last read of a slot's stream beyond which a missing program is not taken as
/// closed, in milliseconds.
const READ_AGE_MAX_MS: u64 = 5_000;

/// Expected and reported cache entries of programs.
#[derive(Default)]
pub struct State {
    /// Expected cache entries, from the responses to calls made through this daemon.
    programs: parking_lot::Mutex<HashMap<ProgramId, CachedPrefixes>>,

    /// Cache entries that engines report in their load reports.
    reported: parking_lot::Mutex<HashMap<(EndpointId, ProgramId), ReportedEntry>>,
}

/// Prefixes of one program in the caches of engines.
#[derive(Debug, Clone, Default)]
pub struct CachedPrefixes {
    /// Tokens that each engine is expected to hold in its cache.
    pub tokens: BTreeMap<EndpointId, u64>,

    /// The engine that served the program's last call.
    pub last_engine: Option<EndpointId>,
}

/// Cache held by one engine for one program, as the engine reports it.
#[derive(Debug, Clone)]
struct ReportedEntry {
    endpoint: Endpoint,

    /// Time at which the program was first found to be closed, or of the last release request
    /// after that.
    closed_since: Option<MonoMs>,
    last_reported: MonoMs,
}

impl State {
    /// Returns the expected prefixes of a program.
    pub fn prefixes(&self, program: ProgramId) -> CachedPrefixes {
        let programs = self.programs.lock();
        programs.get(&program).cloned().unwrap_or_default()
    }

    /// Records the tokens that an engine holds for a program after a call.
    pub fn record_cached(&self, program: ProgramId, endpoint: &EndpointId, tokens: u64) {
        let mut programs = self.programs.lock();
        let prefixes = programs.entry(program).or_default();
        prefixes.tokens.insert(endpoint.clone(), tokens);
        prefixes.last_engine = Some(endpoint.clone());
    }

    /// Records that a call was sent, so that the cache is released later even if the call fails.
    pub fn record_sent(&self, program: ProgramId, endpoint: &EndpointId) {
        let mut programs = self.programs.lock();
        let prefixes = programs.entry(program).or_default();
        prefixes.tokens.entry(endpoint.clone()).or_insert(0);
    }

    /// Removes a program and returns the engines that may hold its prefixes.
    fn remove_program(&self, program: ProgramId) -> Vec<EndpointId> {
        let prefixes = self.programs.lock().remove(&program);
        let tokens = prefixes.map(|p| p.tokens).unwrap_or_default();
        tokens.into_keys().collect()
    }

    /// Records the programs for which an engine reports cache entries.
    pub fn record_cached_programs(&self, endpoint: &Endpoint, programs: &[ProgramId], now: MonoMs) {
        let mut reported = self.reported.lock();
        for program in programs {
            let key = (endpoint.endpoint.clone(), *program);
            let entry = reported.entry(key).or_insert_with(|| ReportedEntry {
                endpoint: endpoint.clone(),
                closed_since: None,
                last_reported: now,
            });
            entry.last_reported = now;
        }
        reported
            .retain(|(name, _), entry| *name != endpoint.endpoint || entry.last_reported == now);
    }
}

/// Releases the cache of closed programs on the engines to which this daemon sent their
/// calls.
pub async fn release_closed(daemon: Arc<Daemon>, programs: Vec<ProgramId>, fence: Fence) {
    let configuration = daemon.configuration.get().configuration;
    for program in programs {
        for name in daemon.cache.remove_program(program) {
            if let Some(engine) = configuration.endpoint(&name) {
                release(&daemon, engine, program, fence).await;
            }
        }
    }
}

/// Asks an engine to release the cache of a program.
async fn release(daemon: &Daemon, engine: &Endpoint, program: ProgramId, fence: Fence) {
    let name = engine.endpoint.as_str();
    match endpoint::release_cache(&daemon.client, engine.addr, program, fence).await {
        Ok(()) => daemon.metrics.cache_releases.inc(),
        Err(e) => {
            log::debug!(endpoint = name, program = program.to_string().as_str(),
                error = e.to_string().as_str();
                "cannot release the cache of a closed program; the next sweep retries");
        }
    }
}

/// Releases cache entries that engines report for closed programs, in case an earlier
/// release by any daemon failed.
pub async fn run(daemon: Arc<Daemon>) {
    loop {
        task::sleep(SWEEP_INTERVAL).await;
        let now = daemon.clock.mono();
        let due = take_due(&daemon, now);
        for (engine, program, fence) in due {
            release(&daemon, &engine, program, fence).await;
        }
    }
}

/// Returns the cache entries to release now, and restarts the delay before their release is
/// retried.
fn take_due(daemon: &Daemon, now: MonoMs) -> Vec<(Endpoint, ProgramId, Fence)> {
    let mut due = Vec::new();
    let mut reported = daemon.cache.reported.lock();
    for ((_, program), entry) in reported.iter_mut() {
        let Some(fence) = fence_if_closed(daemon, *program, now) else {
            entry.closed_since = None;
            continue;
        };
        let since = *entry.closed_since.get_or_insert(now);
        if now.since(since) >= RELEASE_DELAY_MS {
            entry.closed_since = Some(now);
            due.push((entry.endpoint.clone(), *program, fence));
        }
    }
    due
}

/// Returns the fencing number for releasing the program's cache, or `None` unless the
/// program is known to be closed.
fn fence_if_closed(daemon: &Daemon, program: ProgramId, now: MonoMs) -> Option<Fence> {
    let slot = daemon.slot(program.slot)?;
    let last_read_at = slot.last_read_at()?;
    if now.since(last_read_at) > READ_AGE_MAX_MS || daemon.log_health.is_unavailable(now) {
        return None;
    }
    slot.with_state(|s| match s.programs.contains_key(&program) {
        true => None,
        // The program is closed, so no later call can have a higher fencing number.
        false => s.epoch().map(|epoch| Fence::new(epoch, Seq(u64::MAX))),
    })?
}
