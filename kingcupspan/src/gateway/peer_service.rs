//! Server for requests of the other daemons.

use std::{sync::Arc, time::Duration};

use async_std::net::TcpListener;
use http_types::Response;
use kingcupspan_core::gateway::allocation::Settlement;

use crate::{
    edge::server::{self, Exchange},
    gateway::{
        endpoint_limits::Demand,
        peers::{INCARNATION_HEADER, PeerRequest, PeerResponse, Purpose},
        serve::Gateway,
    },
};

/// Maximum size of a request, in bytes; the largest turns and calls to the store fit.
const REQUEST_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Time within which a request has to arrive completely.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the other daemons until the task is cancelled.
pub async fn serve(listener: TcpListener, service: Arc<Gateway>) {
    server::serve(listener, Arc::default(), move |exchange| {
        handle(Arc::clone(&service), exchange)
    })
    .await;
}

/// Decodes a request and encodes the response to it.
async fn handle(service: Arc<Gateway>, mut exchange: Exchange) -> Response {
    let body = match exchange.body(REQUEST_MAX_BYTES, REQUEST_TIMEOUT).await {
        Ok(body) => body,
        Err(problem) => return problem.response(),
    };
    let Ok(request) = rmp_serde::from_slice(&body) else {
        return Response::new(400);
    };
    // Responses consist of numbers, strings and bytes, which always encode.
    let bytes = rmp_serde::to_vec(&respond(&service, request).await).expect("responses encode");
    let mut res = Response::new(200);
    res.insert_header(INCARNATION_HEADER, &*service.peers.local.incarnation.0);
    res.set_body(bytes);
    res
}

/// Carries out a request.
async fn respond(service: &Gateway, request: PeerRequest) -> PeerResponse {
    let questions = &service.metrics.peer_requests;
    questions.with_label_values(&[request.name()]).inc();
    match request {
        PeerRequest::Hello => PeerResponse::Noted,
        PeerRequest::Release {
            program, purpose, ..
        } => {
            service.ledger.flush(&program).await;
            PeerResponse::Released {
                tokens: 0,
                token_use: service.ledger.token_use(&program),
                unrecorded_grants: 0,
                claim: None,
                denies_grant: purpose == Purpose::Grant,
                reaches_store: true,
            }
        }
        PeerRequest::Unclaim { .. } => PeerResponse::Noted,
        PeerRequest::Crashed(crashes) => {
            service.blocked_requests.record(&crashes);
            PeerResponse::Noted
        }
        PeerRequest::Find(ids) => PeerResponse::Found(service.partitions.cached_turns(&ids)),
        PeerRequest::Reserve {
            endpoint,
            rate,
            claim,
            max_wait_ms,
            has_former_home,
        } => {
            let demand = Demand {
                rate,
                claim,
                max_wait_ms,
            };
            let limits = &service.endpoint_limits;
            PeerResponse::Reserved(limits.reserve_here(endpoint, demand, has_former_home))
        }
        PeerRequest::Configuration { known, after } => {
            let update = service.configuration.update_since(known, after);
            PeerResponse::Configuration(update.map(Box::new))
        }
        PeerRequest::ConfigurationPosition { newest } => {
            service.configuration.note_position(newest);
            PeerResponse::ConfigurationPosition {
                position: service.configuration.position(),
                reaches_store: service.store.unreachable_for().is_none(),
            }
        }
        PeerRequest::ConfigurationChanged { vm, position } => {
            service
                .configuration_follower
                .note_announcement(vm, position);
            PeerResponse::Noted
        }
        PeerRequest::Allocate(request) => {
            PeerResponse::Allocated(service.allocation_homes.allocate_as_home(&request).await)
        }
        PeerRequest::Settle { program, id, used } => {
            let settlement = Settlement { program, id, used };
            PeerResponse::Settled(service.allocation_homes.settle_as_home(&settlement).await)
        }
        PeerRequest::ProgramAllocations(program) => {
            let allocations = service.allocation_homes.allocations_as_home(&program);
            PeerResponse::ProgramAllocations(allocations.await)
        }
        PeerRequest::FindStream { key, name } => {
            let found = service.allocation_homes.find_stream_as_home(&key, &name);
            PeerResponse::StreamFound(found.await)
        }
        PeerRequest::GrantQuota(question) => {
            if question.domain == service.peers.local.domain {
                service.peers.note_request_from_own_domain();
            }
            let answer = Arc::clone(&service.quotas.homes).answer(question).await;
            PeerResponse::QuotaGranted(answer)
        }
        PeerRequest::TakeOverQuota {
            workspace,
            successor,
        } => PeerResponse::QuotaHome(service.quotas.homes.resign(workspace, successor)),
        PeerRequest::Call { path, body } => {
            PeerResponse::Called(service.store.proxy_call(path, body).await)
        }
    }
}
