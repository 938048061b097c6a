//! Calls of services.

use kingcupspan_core::{
    budget::Amount,
    id::EndpointId,
    record::{Answer, Idempotency, Outcome},
};

use super::{
    DecodedOutput, clear_suspicion, failed_result, log_failed_attempt, record_failure, request_id,
    timeouts, unavailable, wait_before_retry,
};
use crate::{
    edge::{
        endpoint::{self, EndpointError, ServiceCall},
        peer::Target,
        problem::{Kind, Problem},
    },
    filter::{
        placement,
        turn::{self, CallResult, TurnCx},
    },
};

/// Maximum age of a start record at which a non-idempotent call is still sent, in lease durations.
///
/// A daemon that was paused for longer may have been replaced as the owner.
const MAX_START_AGE_LEASES: u64 = 1;

/// Runs a service call, including retries.
pub(super) async fn run(cx: &mut TurnCx) -> CallResult {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut attempt = 0;
    loop {
        attempt += 1;
        if let Some(call_result) = check_start_age(cx) {
            return call_result;
        }
        let error = match attempt_service(cx).await {
            Ok(answer) => {
                cx.cost.calls += 1;
                clear_suspicion(cx).await;
                return service_result(answer);
            }
            Err(error) => error,
        };
        log_failed_attempt(cx, attempt, &error);
        record_failure(cx, &error, &mut tried).await;
        turn::release_grant(cx);
        let not_run = matches!(error, EndpointError::NotRun(_));
        if cx.idempotency == Idempotency::NonIdempotent && !not_run {
            let detail = format!("the call was sent and its answer is lost: {error}");
            return failed_result(cx, &DecodedOutput::default(), Problem::unknown(detail));
        }
        let placed = match wait_before_retry(cx, attempt).await {
            true => placement::run(cx, &tried).await,
            false => {
                let detail = format!("no runner answered in {attempt} attempts: {error}");
                Err(Problem::not_run(Kind::Unavailable, detail).retry_after(1))
            }
        };
        if let Err(problem) = placed {
            return not_run_or_failed(cx, problem);
        }
    }
}

/// Returns the result of a call that is given up without an answer.
///
/// A non-idempotent call has not been run by any endpoint; it is recorded as not run and is never
/// sent afterwards. An idempotent call may have been run; it is recorded as failed.
fn not_run_or_failed(cx: &TurnCx, problem: Problem) -> CallResult {
    match cx.idempotency {
        Idempotency::Idempotent => {
            failed_result(cx, &DecodedOutput::default(), unavailable(problem.detail))
        }
        Idempotency::NonIdempotent => CallResult {
            outcome: Outcome::NotRun,
            used: Amount::default(),
            problem: Some(problem),
        },
    }
}

/// Rejects a non-idempotent call if the slot was lost or the start record is too old.
///
/// A daemon that was paused between the start record and the send may have been replaced, and
/// must not send the call late.
fn check_start_age(cx: &TurnCx) -> Option<CallResult> {
    if cx.idempotency == Idempotency::Idempotent {
        return None;
    }
    let current_epoch = cx.slot().ok()?.with_owner(|o| o.epoch());
    let start_epoch = cx.start_record.map(|s| s.epoch);
    let since_start = cx.daemon.clock.mono().since(cx.start_durable_at);
    let is_late = since_start > MAX_START_AGE_LEASES * cx.daemon.settings.lease_ms;
    if current_epoch == start_epoch && !is_late {
        return None;
    }
    let detail = "the daemon was held up before it sent the call";
    let problem = Problem::not_run(Kind::Unavailable, detail).retry_after(1);
    Some(not_run_or_failed(cx, problem))
}

/// Runs one attempt of a service call.
async fn attempt_service(cx: &TurnCx) -> Result<Answer, EndpointError> {
    let (
        Some(grant),
        Target::Service {
            path,
            key,
            content_type,
            ..
        },
    ) = (&cx.held_grant, &cx.turn_request.target)
    else {
        return Err(EndpointError::NotRun("no place".to_owned()));
    };
    cx.daemon.metrics.calls_sent.inc();
    let call = ServiceCall {
        path: path.clone(),
        content_type: content_type.clone(),
        body: cx.turn_request.body.clone(),
        key: key.clone(),
        request_id: request_id(),
        program: cx.call.program,
        fence: cx.start_record.map(|s| s.fence()).unwrap_or_default(),
    };
    let addr = grant.endpoint.addr;
    let answer = endpoint::call_service(&cx.daemon.client, addr, call, timeouts(cx)).await?;
    cx.daemon
        .endpoints
        .record_success(&grant.endpoint.endpoint, None, None);
    Ok(Answer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
        messages: String::new(),
    })
}

/// Returns the result of a completed service call.
fn service_result(answer: Answer) -> CallResult {
    CallResult {
        outcome: Outcome::Answered(answer),
        used: Amount::call(0),
        problem: None,
    }
}
