//! Answers the other daemons.

use std::{sync::Arc, time::Duration};

use async_std::net::TcpListener;
use http_types::Response;

use crate::{
    edge::server::{self, Exchange},
    gateway::{
        peers::{PeerRequest, PeerResponse},
        serve::Gateway,
    },
};

/// Largest question, in bytes.
const ASK_MAX_BYTES: u64 = 1024 * 1024;

/// How long a question may take to arrive.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the other daemons until the task is cancelled.
pub async fn serve(listener: TcpListener, service: Arc<Gateway>) {
    server::serve(listener, Arc::default(), move |exchange| {
        handle(Arc::clone(&service), exchange)
    })
    .await;
}

async fn handle(service: Arc<Gateway>, mut exchange: Exchange) -> Response {
    let body = match exchange.body(ASK_MAX_BYTES, ASK_TIMEOUT).await {
        Ok(body) => body,
        Err(problem) => return problem.response(),
    };
    let Ok(ask) = rmp_serde::from_slice(&body) else {
        return Response::new(400);
    };
    // Answers are made of numbers, texts and bytes, which always encode.
    let tell = rmp_serde::to_vec(&answer(&service, ask).await).expect("answers encode");
    let mut res = Response::new(200);
    res.set_body(tell);
    res
}

async fn answer(service: &Gateway, ask: PeerRequest) -> PeerResponse {
    let questions = &service.metrics.peer_requests;
    questions.with_label_values(&[ask.name()]).inc();
    match ask {
        PeerRequest::Hello => PeerResponse::Noted,
        PeerRequest::Release {
            program,
            want,
            by,
            purpose,
        } => service.ledger.release(&program, want, by, purpose),
        PeerRequest::Unclaim { program, by } => {
            service.ledger.unclaim(&program, &by);
            PeerResponse::Noted
        }
        PeerRequest::Lend(loan) => PeerResponse::Lent(service.ledger.lend(&loan).await),
        PeerRequest::Stored(ids) => {
            service.backlog.remove_replicas(&ids);
            PeerResponse::Noted
        }
        PeerRequest::Crashed(crashes) => {
            service.blocked_requests.record(&crashes);
            PeerResponse::Noted
        }
        PeerRequest::Find(ids) => PeerResponse::Found(service.partitions.cached_turns(&ids)),
        PeerRequest::Call { path, body } => {
            PeerResponse::Called(service.store.proxy_call(path, body).await)
        }
        PeerRequest::Keep(id, turn) => {
            service.backlog.store_replica(id, Arc::new(turn));
            PeerResponse::Kept
        }
    }
}
