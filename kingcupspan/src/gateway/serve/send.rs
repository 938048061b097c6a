//! Sends a request to endpoints, one after another while that is safe.

use std::{sync::Arc, time::Duration};

use kingcupspan_core::gateway::endpoint::InstanceId;

use super::{Failure, Gateway, second_copy::Sent};
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
        let prompt = ex.prompt();
        let mut tried: Vec<InstanceId> = Vec::new();
        let mut max_tried = MAX_ENDPOINTS_TRIED;
        loop {
            let chosen = self.choose_endpoint_of_version(ex, &tried).await;
            let endpoint = chosen.map_err(|response| match *possible_runs {
                0 => response,
                // The request may have run, so the error must not promise that it has not.
                _ => ErrorReason::NoOutcome.into(),
            })?;
            let token = self.spend_quota(ex, *possible_runs).await?;
            ex.last_endpoint = Some(Arc::clone(&endpoint));
            // A call of a tool must not replace the engine of its program.
            if let Some(key) = ex.info.placement_key().filter(|_| ex.runs_on_engine()) {
                self.last_engines.record(key, &endpoint.id);
            }
            ex.progress = Progress::Sent;
            let outgoing = OutgoingRequest {
                method: &ex.head.method,
                target: &ex.head.target,
                headers: &ex.head.headers,
                id: &ex.id,
                workspace: ex.workspace.as_ref().map(|w| &w.name),
                has_keys: ex.configuration.workspaces.is_some(),
                fingerprint: ex.fingerprint(),
                timed_as: (!ex.runs_on_engine()).then_some(&*ex.route.name),
                body: prompt.as_deref().unwrap_or(&ex.body),
                deadline: ex.deadline,
                is_repeatable: ex.can_retry(*possible_runs + 1),
                // However new the list is, the endpoint may have been started again since.
                needs_listed_run: ex.stream_version.is_some(),
            };
            let copies = self
                .send_copies(ex, &outgoing, endpoint, &tried, *possible_runs)
                .await;
            if copies.count() > 1 {
                max_tried = max_tried.min(ex.route.max_attempts as usize);
            }
            if let Some(cancelled) = &copies.cancelled {
                tried.push(cancelled.id.clone());
                self.metrics.sends.with_label_values(&["cancelled"]).inc();
                *possible_runs += 1;
            }
            for sent in copies.ended {
                tried.push(sent.endpoint.id.clone());
                if let Some(answer) = self.settle(ex, sent, possible_runs).await {
                    return Ok(answer);
                }
            }
            if *possible_runs == 0 {
                ex.quota_token = token;
                ex.progress = Progress::NotSent;
            } else if !ex.can_retry(*possible_runs) {
                return Err(ErrorReason::NoOutcome.into());
            }
            if tried.len() >= max_tried {
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

    /// Records how a request ended at an endpoint, and returns the response if it is an answer.
    async fn settle(
        &self,
        ex: &mut Exchange,
        sent: Sent,
        possible_runs: &mut u32,
    ) -> Option<(EndpointResponse, RequestGuard)> {
        let Sent {
            endpoint,
            guard,
            result,
        } = sent;
        if matches!(&result, Ok(response) if response.info.is_leaving) {
            self.endpoints.note_leaving(&endpoint);
        }
        self.metrics
            .sends
            .with_label_values(&[send_outcome(&result)])
            .inc();
        match result {
            Ok(response) if response.info.not_executed => {
                log::info!(request = &*ex.id.0, endpoint = &*endpoint.id.0, status = response.head.status; "endpoint refused the request");
                relay::discard(response).await;
            }
            Ok(response) if !response.is_trusted() => {
                log::warn!(request = &*ex.id.0, endpoint = &*endpoint.id.0; "discarding a success response without a signature");
                *possible_runs += 1;
            }
            Ok(response) => {
                ex.last_endpoint = Some(endpoint);
                *possible_runs += 1;
                return Some((response, guard));
            }
            Err(SendError::NotSent(cause)) => {
                log::warn!(request = &*ex.id.0, endpoint = &*endpoint.id.0, why = cause.as_str(); "cannot reach the endpoint; the request was not sent");
            }
            Err(SendError::Replaced) => self.endpoints.note_replaced(&endpoint),
            Err(SendError::Lost(cause)) => {
                log::warn!(request = &*ex.id.0, endpoint = &*endpoint.id.0, why = cause.as_str(); "no response from the endpoint; the request may have run");
                *possible_runs += 1;
            }
        }
        None
    }
}

/// Returns the outcome of sending a request, as labelled in the metrics.
fn send_outcome(sent: &Result<EndpointResponse, SendError>) -> &'static str {
    match sent {
        Ok(response) if response.info.not_executed => "refused",
        Ok(response) if !response.is_trusted() => "unsigned",
        Ok(_) => "answered",
        Err(SendError::NotSent(_)) => "not sent",
        Err(SendError::Replaced) => "replaced",
        Err(SendError::Lost(_)) => "lost",
    }
}
