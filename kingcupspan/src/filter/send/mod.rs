//! Send filter: runs a call on its endpoint and retries it on other endpoints where allowed.

mod model;
mod service;

use std::{net, time::Duration};

use async_std::task;
use kingcupspan_core::{
    budget::Amount,
    id::EndpointId,
    quarantine,
    record::{Idempotency, Outcome},
    retry,
};

use crate::{
    controller,
    edge::{
        client::Timeouts,
        endpoint::{self, EndpointError, LoadReport},
        peer::Target,
        problem::{Kind, Problem, Ran},
    },
    filter::{
        placement,
        turn::{CallResult, TurnCx},
    },
};

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of probes of an endpoint that resets its connections.
const MAX_PROBES: u32 = 6;

/// Pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time after which a lost connection counts as reset, in milliseconds; a later loss
/// counts as a timeout.
const MAX_RESET_DELAY_MS: u64 = 500;

/// Output decoded by the model so far, over all attempts.
#[derive(Default)]
struct DecodedOutput {
    /// Decoded text.
    text: String,

    /// Number of chunks in which the text arrived.
    chunks: u64,
}

/// Runs the call, including retries, until it succeeds or fails for good.
pub async fn run(cx: &mut TurnCx) -> CallResult {
    let started = cx.daemon.clock.mono();
    let percent = cx.limits.retry_percent;
    cx.daemon
        .endpoints
        .deposit_retries(&cx.call.caller, percent);
    let call_result = match cx.turn_request.target.clone() {
        Target::Model { .. } => model::run(cx).await,
        Target::Service { .. } => service::run(cx).await,
    };
    cx.cost.runner_ms += cx.daemon.clock.mono().since(started);
    call_result
}

/// Returns the timeouts of an attempt, limited to the remaining time of the call.
fn timeouts(cx: &TurnCx) -> Timeouts {
    let remaining = cx.remaining_time();
    Timeouts {
        connect: CONNECT_TIMEOUT.min(remaining),
        head: Duration::from_millis(cx.limits.first_byte_ms).min(remaining),
        body: Duration::from_millis(cx.limits.between_bytes_ms).min(remaining),
    }
}

/// Returns the result of a call that failed after it may have been sent.
fn failed_result(cx: &TurnCx, decoded: &DecodedOutput, problem: Problem) -> CallResult {
    let outcome = match cx.idempotency {
        Idempotency::Idempotent => Outcome::Failed,
        Idempotency::NonIdempotent => Outcome::Unknown,
    };
    CallResult {
        outcome,
        used: Amount {
            tokens: decoded.chunks.min(cx.reservation.tokens),
            calls: 1,
        },
        problem: Some(problem),
    }
}

fn request_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Waits for the backoff if another attempt is allowed; returns false if it is not.
async fn wait_before_retry(cx: &mut TurnCx, attempt: u32) -> bool {
    let attempts_exhausted = u64::from(attempt) >= cx.limits.attempts;
    if attempts_exhausted || !cx.daemon.endpoints.try_withdraw_retry(&cx.call.caller) {
        return false;
    }
    let pause = Duration::from_millis(retry::backoff_ms(attempt, rand::random()));
    if cx.remaining_time() <= pause {
        return false;
    }
    task::sleep(pause).await;
    cx.cost.retries += 1;
    cx.daemon.metrics.retries.inc();
    true
}

/// Returns the problem for a model or idempotent call that no endpoint completed.
fn unavailable(detail: String) -> Problem {
    Problem {
        // The only effect of a model call is its response, which is discarded.
        ran: Ran::Unknown,
        ..Problem::not_run(Kind::Unavailable, detail).retry_after(1)
    }
}

fn log_failed_attempt(cx: &TurnCx, attempt: u32, error: &EndpointError) {
    let endpoint = cx
        .held_grant
        .as_ref()
        .map(|h| h.endpoint.endpoint.to_string());
    log::warn!(
        program = cx.call.program.to_string().as_str(),
        caller = cx.call.caller.as_str(),
        turn = cx.turn_request.turn.0,
        endpoint = endpoint.as_deref().unwrap_or("-"),
        attempt = attempt,
        error = error.to_string().as_str();
        "attempt failed"
    );
}

/// Probes the endpoint after a failed attempt and records its state.
async fn record_failure(cx: &mut TurnCx, error: &EndpointError, tried: &mut Vec<EndpointId>) {
    let Some(grant) = &cx.held_grant else {
        return;
    };
    let endpoint = grant.endpoint.clone();
    tried.push(endpoint.endpoint.clone());
    cx.daemon.client.close_idle_connections(endpoint.addr);
    // A silent connection does not show whether the endpoint is alive: probe it over a new one.
    let probe = probe(cx, endpoint.addr).await;
    if probe.is_ok() {
        return;
    }
    let now = cx.daemon.clock.mono();
    cx.daemon.endpoints.record_failure(&endpoint.endpoint, now);
    let lost_in_flight = matches!(error, EndpointError::Lost(_));
    let refuses_connections = matches!(probe, Err(EndpointError::NotRun(_)));
    if lost_in_flight && refuses_connections {
        publish_strike(cx).await;
    }
}

/// Requests the load of an endpoint.
///
/// An endpoint that is shutting down may still accept a connection and reset it, so the probe is
/// repeated after a quick reset.
async fn probe(cx: &TurnCx, addr: net::SocketAddr) -> Result<LoadReport, EndpointError> {
    let mut probes = 1;
    loop {
        let probe_started = cx.daemon.clock.mono();
        let probe = endpoint::fetch_load(&cx.daemon.client, addr).await;
        let was_reset = matches!(probe, Err(EndpointError::Lost(_)));
        let is_quick = cx.daemon.clock.mono().since(probe_started) < MAX_RESET_DELAY_MS;
        if probes >= MAX_PROBES || !was_reset || !is_quick {
            return probe;
        }
        probes += 1;
        task::sleep(PROBE_INTERVAL).await;
    }
}

/// Publishes a strike against the request, which was running when the endpoint crashed.
async fn publish_strike(cx: &TurnCx) {
    cx.daemon.metrics.strikes.inc();
    let record = quarantine::Record::Strike {
        fingerprint: placement::fingerprint(cx),
        nonce: rand::random(),
        at: cx.daemon.clock.wall(),
    };
    controller::quarantine::publish(&cx.daemon, record).await;
}

/// Clears the suspicion against a request that completed, and so did not crash the endpoint.
async fn clear_suspicion(cx: &TurnCx) {
    let fingerprint = placement::fingerprint(cx);
    let now = cx.daemon.clock.wall();
    let status = cx.daemon.quarantine.status(&fingerprint, now);
    if status == quarantine::QuarantineStatus::Suspect {
        let record = quarantine::Record::Cleared { fingerprint };
        controller::quarantine::publish(&cx.daemon, record).await;
    }
}
