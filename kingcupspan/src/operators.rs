//! HTTP interface for operators: state dump, usage, metrics, graceful shutdown and log level.

use std::{sync::Arc, time::Duration};

use async_std::net::TcpListener;
use http_types::{Method, Response};
use kingcupspan_core::usage::Account;
use serde_json::{Value, json};

use crate::{
    controller::refusals,
    daemon::Daemon,
    edge::{
        problem::{Kind, Problem},
        server::{self, Exchange},
    },
    filter::program,
    logging,
};

/// Maximum size of a request body from an operator, in bytes.
const MAX_REQUEST_BYTES: u64 = 4_096;

/// Maximum time to receive the body of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves requests from operators.
pub async fn serve(daemon: Arc<Daemon>, listener: TcpListener) {
    server::serve(listener, Arc::default(), move |exchange| {
        handle(Arc::clone(&daemon), exchange)
    })
    .await;
}

async fn handle(daemon: Arc<Daemon>, mut exchange: Exchange) -> Response {
    let body = match exchange.body(MAX_REQUEST_BYTES, REQUEST_TIMEOUT).await {
        Ok(body) => body,
        Err(problem) => return problem.response(),
    };
    let method = exchange.req.method();
    let path = exchange.req.url().path().to_owned();
    match (method, path.as_str()) {
        (Method::Get, "/metrics") => Response::from(daemon.metrics.text()),
        (Method::Get, "/usage") => program::json(200, &account(&daemon)),
        (Method::Get, "/refusals") => program::json(200, &refusals::fetch_from_all(&daemon).await),
        (Method::Post, "/drain") => {
            daemon.drain.start();
            Response::new(202)
        }
        (Method::Post, "/log-level") => set_level(&body),
        (Method::Get, "/dump") => program::json(200, &dump(&daemon)),
        (Method::Get, path) if path.starts_with("/dump/") => {
            let section = path.trim_start_matches("/dump/");
            match dump(&daemon).get(section) {
                Some(value) => program::json(200, value),
                None => not_found(&format!("there is no section {section}")),
            }
        }
        _ => not_found("no such resource"),
    }
}

fn not_found(detail: &str) -> Response {
    Problem::not_run(Kind::NotFound, detail).response()
}

fn set_level(body: &[u8]) -> Response {
    let level = String::from_utf8_lossy(body);
    match logging::set_level(level.trim()) {
        Ok(()) => Response::new(204),
        Err(detail) => Problem::not_run(Kind::BadRequest, detail).response(),
    }
}

/// Returns the usage by caller and workspace over all slots that this daemon follows.
pub fn account(daemon: &Daemon) -> Account {
    let mut account = Account::default();
    for slot in &daemon.slots {
        slot.with_state(|s| account.merge(&s.account));
    }
    account
}

/// Returns the state of the daemon as a JSON object with one entry per section.
fn dump(daemon: &Daemon) -> Value {
    let now = daemon.clock.mono();
    let slots: Vec<_> = daemon.slots.iter().map(|c| c.summary()).collect();
    json!({
        "daemon": {
            "writer": daemon.writer,
            "failure_domain": daemon.settings.failure_domain,
            "now_ms": now,
            "log_away": daemon.log_health.is_unavailable(now),
            "draining": daemon.drain.is_requested(),
            "requests": daemon.request_tracker.in_flight(),
        },
        "membership": daemon.membership.summary(now),
        "leases": slots,
        "programs": programs(daemon),
        "queues": daemon.grants.summary(),
        "endpoints": daemon.endpoints.summary(),
        "quarantine": daemon.quarantine.summary(),
        "configuration": daemon.configuration.summary(),
        "account": account(daemon),
    })
}

/// Returns the open programs in the slots that this daemon owns.
fn programs(daemon: &Daemon) -> Vec<Value> {
    let mut programs = Vec::new();
    for slot in &daemon.slots {
        slot.with_owner(|o| {
            let open = o.state().programs.iter().map(|(id, p)| {
                json!({
                    "program": id,
                    "caller": p.caller,
                    "workspace": p.workspace,
                    "parent": p.parent,
                    "turns": p.turns.len(),
                    "under_way": p.current.is_some(),
                    "history_tokens": p.history_tokens,
                    "ledger": p.ledger,
                })
            });
            programs.extend(open);
        });
    }
    programs
}
