//! Answers the other daemons.

use std::{sync::Arc, time::Duration};

use async_std::net::TcpListener;
use http_types::Response;

use crate::{
    edge::server::{self, Exchange},
    gateway::{
        peers::{Ask, Tell},
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

async fn answer(service: &Gateway, ask: Ask) -> Tell {
    let questions = &service.metrics.peer_requests;
    questions.with_label_values(&[ask.name()]).inc();
    match ask {
        Ask::Hello => Tell::Noted,
        Ask::Release {
            program,
            want,
            by,
            purpose,
        } => service.ledger.release(&program, want, by, purpose),
        Ask::Unclaim { program, by } => {
            service.ledger.unclaim(&program, &by);
            Tell::Noted
        }
        Ask::Lend(loan) => Tell::Lent(service.ledger.lend(&loan).await),
        Ask::Stored(ids) => {
            service.backlog.note_stored(&ids);
            Tell::Noted
        }
        Ask::Crashed(crashes) => {
            service.blocked_requests.record(&crashes);
            Tell::Noted
        }
        Ask::Find(ids) => Tell::Found(service.partitions.in_memory(&ids)),
        Ask::Call { path, body } => Tell::Called(service.store.call_for_peer(path, body).await),
        Ask::Keep(id, turn) => {
            service.backlog.keep_copy(id, Arc::new(turn));
            Tell::Kept
        }
    }
}
