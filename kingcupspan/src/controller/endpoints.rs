//! Endpoints: tracks their health and chooses the endpoint for each call.

use std::{collections::HashMap, sync::atomic};

use kingcupspan_config::endpoint::{Endpoint, ServedTarget};
use kingcupspan_core::{
    id::{CallerId, EndpointId, MonoMs},
    placement::{self, CallProfile, Candidate, Health, Policy},
    retry::RetryBudget,
};

use crate::{daemon::Daemon, edge::peer::EndpointLoad};

/// Cost added to an endpoint in another failure domain, in seconds.
const OTHER_DOMAIN_COST_S: f64 = 0.002;

/// Health of endpoints as observed by this daemon, and the retry budgets of callers.
#[derive(Default)]
pub struct State {
    health: parking_lot::Mutex<HashMap<EndpointId, Health>>,
    retries: parking_lot::Mutex<HashMap<CallerId, RetryBudget>>,

    /// Number of calls placed so far, used by the round-robin policy.
    round_robin_index: atomic::AtomicU64,
    policy: parking_lot::Mutex<Policy>,
}

impl State {
    /// Updates the loads that the endpoints' home daemons report.
    pub fn update_loads(&self, loads: &[EndpointLoad]) {
        let mut health = self.health.lock();
        for reported in loads {
            let known = health.entry(reported.endpoint.clone()).or_default();
            known.update_load(reported.load);
        }
    }

    /// Sets the placement policy.
    pub fn set_policy(&self, policy: Policy) {
        *self.policy.lock() = policy;
    }

    /// Records a failed call to an endpoint.
    pub fn record_failure(&self, endpoint: &EndpointId, now: MonoMs) {
        let mut health = self.health.lock();
        health
            .entry(endpoint.clone())
            .or_default()
            .record_failure(now);
    }

    /// Records a complete response and, if known, the rates at which the endpoint processed it.
    pub fn record_success(
        &self,
        endpoint: &EndpointId,
        prompt_rate: Option<f64>,
        decode_rate: Option<f64>,
    ) {
        let mut health = self.health.lock();
        let known = health.entry(endpoint.clone()).or_default();
        known.record_success(prompt_rate, decode_rate);
    }

    /// Credits the caller's retry budget with `percent` of a retry for a new call.
    pub fn deposit_retries(&self, caller: &CallerId, percent: u64) {
        let mut retries = self.retries.lock();
        retries.entry(caller.clone()).or_default().deposit(percent);
    }

    /// Takes one retry from the caller's retry budget; returns `false` if the budget is exhausted.
    pub fn try_withdraw_retry(&self, caller: &CallerId) -> bool {
        let mut retries = self.retries.lock();
        retries.entry(caller.clone()).or_default().try_withdraw()
    }

    /// Returns the health of each endpoint for the state dump.
    pub fn summary(&self) -> Vec<(EndpointId, Health)> {
        let health = self.health.lock();
        let mut entries: Vec<_> = health.iter().map(|(e, h)| (e.clone(), h.clone())).collect();
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        entries
    }
}

/// Chooses the endpoint for a call among those that serve `target`; skips those in `tried`
/// if others remain.
pub fn choose_endpoint(
    daemon: &Daemon,
    target: &ServedTarget,
    profile: &CallProfile,
    tried: &[EndpointId],
) -> Option<Endpoint> {
    let configuration = daemon.configuration.get().configuration;
    let candidates: Vec<&Endpoint> = configuration
        .endpoints
        .iter()
        .filter(|e| e.serves == *target && daemon.membership.is_listed_live(&e.vm))
        .collect();
    let untried: Vec<&Endpoint> = candidates
        .iter()
        .filter(|e| !tried.contains(&e.endpoint))
        .copied()
        .collect();
    let candidates = match untried.is_empty() {
        true => candidates,
        false => untried,
    };
    let chosen = choose_from(daemon, &candidates, profile)?;
    configuration.endpoint(&chosen).cloned()
}

/// Applies the placement policy to `candidates` and counts the call for the chosen endpoint.
fn choose_from(
    daemon: &Daemon,
    candidates: &[&Endpoint],
    profile: &CallProfile,
) -> Option<EndpointId> {
    let state = &daemon.endpoints;
    state.update_loads(&daemon.grants.loads());
    let round_robin_index = state
        .round_robin_index
        .fetch_add(1, atomic::Ordering::Relaxed);
    let policy = *state.policy.lock();
    let mut health = state.health.lock();
    for endpoint in candidates {
        let known = health.entry(endpoint.endpoint.clone()).or_default();
        if known.load.limit == 0 {
            known.load.limit = endpoint.slots;
        }
    }
    let default_health = Health::default();
    let options: Vec<Candidate<'_>> = candidates
        .iter()
        .map(|e| Candidate {
            endpoint: &e.endpoint,
            health: health.get(&e.endpoint).unwrap_or(&default_health),
            distance_s: match e.failure_domain == daemon.settings.failure_domain {
                true => 0.0,
                false => OTHER_DOMAIN_COST_S,
            },
        })
        .collect();
    let chosen = placement::choose(
        policy,
        &options,
        profile,
        round_robin_index,
        daemon.clock.mono(),
    );
    let chosen = chosen.cloned()?;
    if let Some(known) = health.get_mut(&chosen) {
        known.placed_since += 1;
    }
    Some(chosen)
}
