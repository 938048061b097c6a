//! HTTP interface for other daemons.

use std::{sync::Arc, time::Duration};

use async_std::net::TcpListener;
use http_types::Response;

use crate::{
    controller::{grants, membership, quarantine, refusals},
    daemon::Daemon,
    edge::{
        peer,
        problem::{Kind, Problem},
        server::{self, Exchange},
    },
    filter::program,
};

/// Maximum time to receive the body of a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves requests from other daemons.
pub async fn serve(daemon: Arc<Daemon>, listener: TcpListener) {
    server::serve(listener, Arc::default(), move |exchange| {
        handle(Arc::clone(&daemon), exchange)
    })
    .await;
}

async fn handle(daemon: Arc<Daemon>, mut exchange: Exchange) -> Response {
    let limit = peer::MESSAGE_MAX_BYTES as u64;
    let result = match exchange.body(limit, MESSAGE_TIMEOUT).await {
        Ok(bytes) => dispatch(&daemon, exchange.req.url().path(), &bytes).await,
        Err(problem) => Err(problem),
    };
    result.unwrap_or_else(|problem| problem.response())
}

/// Decodes a message and passes it to its handler.
async fn dispatch(daemon: &Arc<Daemon>, path: &str, bytes: &[u8]) -> Result<Response, Problem> {
    match path {
        peer::HEARTBEAT => Ok(peer::response(&membership::local_heartbeat(daemon))),
        peer::CALL => {
            let _in_flight = daemon.request_tracker.track();
            program::handle(daemon, peer::decode(bytes)?).await
        }
        peer::COPY => {
            let copy: peer::StoreCopy = peer::decode(bytes)?;
            let slot = daemon.slot(copy.slot).ok_or_else(unknown)?;
            Ok(peer::response(&slot.store_copy(copy)))
        }
        peer::COPIES => {
            let request: peer::FetchCopies = peer::decode(bytes)?;
            let slot = daemon.slot(request.slot).ok_or_else(unknown)?;
            Ok(peer::response(&slot.seal_copies(request.upto)))
        }
        peer::GRANT => {
            let granted = grants::grant_locally(daemon, peer::decode(bytes)?).await;
            Ok(peer::response(&granted))
        }
        peer::RELEASE => {
            grants::release_locally(daemon, &peer::decode(bytes)?);
            Ok(peer::response(&()))
        }
        peer::CONFIGURATION => Ok(peer::response(&*daemon.configuration.get().current)),
        refusals::PATH => Ok(peer::response(&daemon.refusals.get())),
        quarantine::PATH => {
            daemon.quarantine.apply(&peer::decode(bytes)?);
            Ok(peer::response(&()))
        }
        _ => Err(unknown()),
    }
}

/// Returns the problem for an unknown path or slot.
fn unknown() -> Problem {
    Problem::not_run(Kind::NotFound, "no such message or slot")
}
