//! Sends a request to endpoints, one after another while that is safe.

use std::time::Duration;

use kingcupspan_core::gateway::{crash_tracker::Fingerprint, endpoint::InstanceId};

use super::{Failure, Gateway};
use crate::gateway::{
    error_response::{ErrorReason, ErrorResponse},
    exchange::{Exchange, Progress},
    relay,
    upstream::{EndpointResponse, OutgoingRequest, RequestGuard, SendError},
};

/// Maximum number of endpoints to which one request is sent, including those that refuse
/// it or cannot be reached.
const MAX_ENDPOINTS_TRIED: usize = 3;

/// Retry delay sent to the caller if every endpoint tried refused the request.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(150);

impl Gateway {
    /// Sends a request to endpoints one after another until one answers.
    ///
    /// `possible_runs` counts the endpoints that may have run the request.
    pub(super) async fn send(
        &self,
        ex: &mut Exchange,
        possible_runs: &mut u32,
    ) -> Result<(EndpointResponse, RequestGuard), Failure> {
        let body = ex.prompt();
        let mut tried: Vec<InstanceId> = Vec::new();
        loop {
            let chosen = self.choose_endpoint(ex, &tried).await;
            let endpoint = chosen.map_err(|response| match *possible_runs {
                0 => response,
                // The request may have run, so the error must not promise that it has not.
                _ => ErrorReason::NoOutcome.into(),
            })?;
            let request_guard = self.upstream.track_request(&endpoint.id);
            let outgoing = OutgoingRequest {
                method: &ex.head.method,
                target: &ex.head.target,
                headers: &ex.head.headers,
                id: &ex.id,
                workspace: ex.workspace.as_ref().map(|w| &w.name),
                has_keys: ex.configuration.workspaces.is_some(),
                fingerprint: Fingerprint::of(&ex.head.method, &ex.head.target, &ex.body),
                timed_as: (!ex.runs_on_engine()).then_some(&*ex.route.name),
                body: &body,
                deadline: ex.deadline,
                refused_on: &ex.refused_on,
            };
            ex.last_endpoint = Some(endpoint.id.clone());
            // A call of a tool must not replace the engine of its program.
            if let Some(key) = ex.info.placement_key().filter(|_| ex.runs_on_engine()) {
                self.last_engines.record(key, &endpoint.id);
            }
            ex.progress = Progress::Sent;
            let sent = self.upstream.send(&endpoint, &outgoing).await;
            tried.push(endpoint.id.clone());
            if matches!(&sent, Ok(response) if response.info.is_leaving) {
                self.endpoints.note_leaving(&endpoint);
            }
            self.metrics
                .sends
                .with_label_values(&[send_outcome(&sent)])
                .inc();
            match sent {
                Ok(response) if response.info.not_executed => {
                    log::info!(request = &*ex.id.0, endpoint = &*endpoint.id.0, status = response.head.status; "endpoint refused the request");
                    ex.refused_on.push(response.connection_id());
                    relay::discard(response).await;
                }
                Ok(response) if !response.is_trusted() => {
                    log::warn!(request = &*ex.id.0, endpoint = &*endpoint.id.0; "discarding a success response without a signature");
                    *possible_runs += 1;
                    if !ex.can_retry(*possible_runs) {
                        return Err(ErrorReason::NoOutcome.into());
                    }
                }
                Ok(response) => {
                    *possible_runs += 1;
                    return Ok((response, request_guard));
                }
                Err(SendError::NotSent(cause)) => {
                    log::warn!(request = &*ex.id.0, endpoint = &*endpoint.id.0, why = cause.as_str(); "cannot reach the endpoint; the request was not sent");
                }
                Err(SendError::Lost(cause)) => {
                    log::warn!(request = &*ex.id.0, endpoint = &*endpoint.id.0, why = cause.as_str(); "no response from the endpoint; the request may have run");
                    *possible_runs += 1;
                    if !ex.can_retry(*possible_runs) {
                        return Err(ErrorReason::NoOutcome.into());
                    }
                }
            }
            if *possible_runs == 0 {
                ex.progress = Progress::NotSent;
            }
            if tried.len() >= MAX_ENDPOINTS_TRIED {
                return Err(match *possible_runs {
                    0 => ErrorResponse {
                        reason: ErrorReason::EndpointsFull,
                        retry_after: Some(FULL_RETRY_AFTER),
                    }
                    .into(),
                    _ => ErrorReason::NoOutcome.into(),
                });
            }
        }
    }
}

/// Returns the outcome of sending a request, as labelled in the metrics.
fn send_outcome(sent: &Result<EndpointResponse, SendError>) -> &'static str {
    match sent {
        Ok(response) if response.info.not_executed => "refused",
        Ok(response) if !response.is_trusted() => "unsigned",
        Ok(_) => "answered",
        Err(SendError::NotSent(_)) => "not sent",
        Err(SendError::Lost(_)) => "lost",
    }
}
