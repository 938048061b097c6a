//! Engine memory: where programs have their prefixes, and its release when
//! they are gone.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use async_std::task;
use kingcupspan_config::endpoint::Endpoint;
use kingcupspan_core::id::{EndpointId, Fence, MonoMs, ProgramId, Seq};

use crate::{daemon::Daemon, edge::endpoint};

/// Time between looks for memory of programs that are gone.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// How long a program must have been gone before its memory is released, so
/// that a program whose beginning has not been read yet is left alone.
const RELEASE_DELAY_MS: u64 = 3_000;

/// Age beyond which a stream's reading says nothing about what is gone.
const READ_AGE_MAX_MS: u64 = 5_000;

/// Where programs are expected to have their prefixes.
#[derive(Default)]
pub struct State {
    programs: parking_lot::Mutex<HashMap<ProgramId, CachedPrefixes>>,
    reported: parking_lot::Mutex<HashMap<(EndpointId, ProgramId), ReportedMemory>>,
}

/// Prefixes of one program.
#[derive(Debug, Clone, Default)]
pub struct CachedPrefixes {
    /// Tokens that each engine is expected to have cached.
    pub tokens: BTreeMap<EndpointId, u64>,

    /// The engine of the last call.
    pub last_engine: Option<EndpointId>,
}

#[derive(Debug, Clone)]
struct ReportedMemory {
    endpoint: Endpoint,
    closed_since: Option<MonoMs>,
    last_reported: MonoMs,
}

impl State {
    /// What is expected for a program.
    pub fn prefixes(&self, program: ProgramId) -> CachedPrefixes {
        let programs = self.programs.lock();
        programs.get(&program).cloned().unwrap_or_default()
    }

    /// Notes what an engine says it had cached and now holds.
    pub fn record_cached(&self, program: ProgramId, endpoint: &EndpointId, tokens: u64) {
        let mut programs = self.programs.lock();
        let prefixes = programs.entry(program).or_default();
        prefixes.tokens.insert(endpoint.clone(), tokens);
        prefixes.last_engine = Some(endpoint.clone());
    }

    /// Notes that a call was sent, whatever becomes of it.
    pub fn record_sent(&self, program: ProgramId, endpoint: &EndpointId) {
        let mut programs = self.programs.lock();
        let prefixes = programs.entry(program).or_default();
        prefixes.tokens.entry(endpoint.clone()).or_insert(0);
    }

    fn remove_program(&self, program: ProgramId) -> Vec<EndpointId> {
        let prefixes = self.programs.lock().remove(&program);
        let tokens = prefixes.map(|p| p.tokens).unwrap_or_default();
        tokens.into_keys().collect()
    }

    /// Notes which programs an engine reports to hold memory for.
    pub fn record_held(&self, endpoint: &Endpoint, held: &[ProgramId], now: MonoMs) {
        let mut reported = self.reported.lock();
        for program in held {
            let key = (endpoint.endpoint.clone(), *program);
            let entry = reported.entry(key).or_insert_with(|| ReportedMemory {
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

/// Releases a closed program's memory at once on the engines that served it here.
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

async fn release(daemon: &Daemon, engine: &Endpoint, program: ProgramId, fence: Fence) {
    let name = engine.endpoint.as_str();
    match endpoint::release_cache(&daemon.client, engine.addr, program, fence).await {
        Ok(()) => daemon.metrics.cache_releases.inc(),
        Err(e) => {
            log::debug!(endpoint = name, program = program.to_string().as_str(),
                error = e.to_string().as_str(); "memory not released, the sweep tries again");
        }
    }
}

/// Releases memory that engines report for programs that are gone, whoever
/// failed to release it.
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

/// The slot's fencing number if the program is known to be gone.
fn fence_if_closed(daemon: &Daemon, program: ProgramId, now: MonoMs) -> Option<Fence> {
    let slot = daemon.slot(program.slot)?;
    let last_read_at = slot.last_read_at()?;
    if now.since(last_read_at) > READ_AGE_MAX_MS || daemon.log_health.is_unavailable(now) {
        return None;
    }
    slot.with_state(|s| match s.programs.contains_key(&program) {
        true => None,
        // No later call can carry a higher number: the program is over.
        false => s.epoch().map(|epoch| Fence::new(epoch, Seq(u64::MAX))),
    })?
}
