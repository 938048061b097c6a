//! Placement filter: chooses an endpoint for a call and waits for a grant from its queue.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_core::{
    digest::Digest,
    fair,
    id::{EndpointId, MonoMs},
    placement::CallProfile,
    quarantine::QuarantineStatus,
};

use crate::{
    controller::{endpoints, grants},
    edge::{
        peer::{GrantRequest, GrantResponse, Target},
        problem::{Kind, Problem},
    },
    filter::turn::TurnCx,
};

/// Pause before another endpoint or home daemon is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Cost of a service call in tokens, because services do not report a cost.
const SERVICE_COST_TOKENS: u64 = 100;

/// Returns the digest of the request to the endpoint, independent of the caller.
pub fn fingerprint(cx: &TurnCx) -> Digest {
    match &cx.turn_request.target {
        Target::Model {
            model, messages, ..
        } => Digest::of(model.as_str().as_bytes()).chain(messages.as_bytes()),
        Target::Service { service, path, .. } => Digest::of(service.as_str().as_bytes())
            .chain(path.as_bytes())
            .chain(&cx.turn_request.body),
    }
}

/// Acquires a grant at an endpoint, preferring endpoints that are not in `tried`.
pub async fn run(cx: &mut TurnCx, tried: &[EndpointId]) -> Result<(), Problem> {
    let started = cx.daemon.clock.mono();
    loop {
        let suspect = is_suspect(cx)?;
        let profile = call_profile(cx);
        let Some(endpoint) =
            endpoints::choose_endpoint(&cx.daemon, &cx.served_target, &profile, tried)
        else {
            let detail = "no endpoint serves this now";
            return Err(Problem::not_run(Kind::Unavailable, detail).retry_after(2));
        };
        let request = grant_request(cx, &profile, suspect);
        let ticket = request.ticket.clone();
        let grant = GrantRequest {
            endpoint: endpoint.endpoint.clone(),
            request,
            timeout_ms: cx.remaining_time().as_millis() as u64,
        };
        match grants::acquire(&cx.daemon, &endpoint, grant).await {
            GrantResponse::Now => {
                cx.held_grant = Some(grants::HeldGrant { endpoint, ticket });
                record_wait(cx, started);
                return Ok(());
            }
            GrantResponse::OverShare { retry_after_ms } => {
                let detail = format!(
                    "{} has too many calls waiting at {}",
                    cx.call.caller, endpoint.endpoint
                );
                let problem = Problem::not_run(Kind::OverShare, detail);
                return Err(problem.retry_after(retry_after_ms.div_ceil(1_000)));
            }
            GrantResponse::Elsewhere | GrantResponse::TimedOut => {
                let daemon = Arc::clone(&cx.daemon);
                grants::release(&daemon, &endpoint, ticket, 0).await;
            }
        }
        if cx.remaining_time() <= RETRY_INTERVAL {
            let detail = "no place at an endpoint came free in time";
            return Err(Problem::not_run(Kind::Unavailable, detail).retry_after(1));
        }
        task::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns whether the request is suspected of crashing endpoints; fails if it is quarantined.
fn is_suspect(cx: &TurnCx) -> Result<bool, Problem> {
    let now = cx.daemon.clock.wall();
    match cx.daemon.quarantine.status(&fingerprint(cx), now) {
        QuarantineStatus::Clear => Ok(false),
        QuarantineStatus::Suspect => Ok(true),
        QuarantineStatus::Quarantined => {
            let detail = "endpoints crashed while they ran this request; it is not sent again";
            Err(Problem::not_run(Kind::Quarantined, detail))
        }
    }
}

/// Describes the call for the choice of an endpoint.
fn call_profile(cx: &TurnCx) -> CallProfile {
    let prefixes = cx.daemon.cache.prefixes(cx.call.program);
    let new_tokens = match &cx.turn_request.target {
        Target::Model { messages, .. } => messages.len() as u64 / 4,
        Target::Service { .. } => 0,
    };
    CallProfile {
        prompt_tokens: cx.history.tokens + new_tokens,
        decode_tokens: cx.max_tokens,
        cached: prefixes.tokens,
        last: prefixes.last_engine,
        cache_weight: 1.0,
    }
}

/// Builds the request to the queue of an endpoint.
fn grant_request(cx: &TurnCx, profile: &CallProfile, suspect: bool) -> fair::Request {
    let cost = match &cx.turn_request.target {
        Target::Model { .. } => {
            let cached = profile.cached.values().copied().max().unwrap_or(0);
            profile.prompt_tokens.saturating_sub(cached) + profile.decode_tokens
        }
        Target::Service { .. } => SERVICE_COST_TOKENS,
    };
    let slot = cx.daemon.slot(cx.call.program.slot);
    let (root, attained) = slot
        .and_then(|slot| {
            slot.with_owner(|o| {
                let root = o.state().root(cx.call.program);
                let program = o.state().programs.get(&root);
                (root, program.map_or(0, |p| p.ledger.spent.tokens))
            })
        })
        .unwrap_or((cx.call.program, 0));
    fair::Request {
        ticket: fair::Ticket {
            writer: cx.daemon.writer.clone(),
            number: cx.daemon.grants.next_ticket_number(),
        },
        caller: cx.call.caller.clone(),
        weight: cx.weight,
        root,
        attained,
        cost: cost.max(1),
        waiting_max: cx.limits.waiting_calls,
        suspect,
    }
}

/// Adds the time since `started` to the cost of the call and to the metrics.
fn record_wait(cx: &mut TurnCx, started: MonoMs) {
    let waited_ms = cx.daemon.clock.mono().since(started);
    cx.cost.waited_ms += waited_ms;
    let seconds = waited_ms as f64 / 1_000.0;
    cx.daemon.metrics.grant_wait_s.observe(seconds);
}
