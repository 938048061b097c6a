//! Filter chain for requests from callers.
//!
//! The daemon that receives a request (the entry daemon) runs the filters authenticate, limits
//! and route. The daemon that owns the request's program runs order, budget, placement, send and
//! account.

pub mod account;
pub mod authenticate;
pub mod budget;
pub mod limits;
pub mod order;
pub mod placement;
pub mod program;
pub mod request;
pub mod route;
pub mod send;
pub mod turn;

use std::sync::Arc;

use async_std::net::TcpListener;
use http_types::Response;
use kingcupspan_config::{caller::Caller, limits::Limits};
use kingcupspan_core::id::MonoMs;

use crate::{
    controller::configuration::ActiveConfiguration,
    daemon::Daemon,
    edge::{
        peer,
        problem::{Kind, Problem},
        server::{self, Exchange},
    },
};

/// Context of a request in the filter chain of the entry daemon.
pub struct RequestCx {
    /// State shared by all tasks of the daemon.
    pub daemon: Arc<Daemon>,

    /// HTTP request and its connection.
    pub exchange: Exchange,

    /// Configuration that was active when the request arrived.
    pub active: ActiveConfiguration,

    /// Time at which the request arrived.
    pub arrived_at: MonoMs,

    /// Caller that sent the request, set by the authentication filter.
    pub caller: Option<Caller>,

    /// Limits that apply to the request.
    pub limits: Limits,

    /// Parsed request, set by the limits filter.
    pub call: Option<peer::Call>,

    /// Response, set by the route filter.
    pub response: Option<Response>,
}

/// Filter of the chain at the entry daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Filter {
    /// Identifies the caller.
    Authenticate,

    /// Checks that the request is well-formed and within its limits.
    Limits,

    /// Sends the request to the daemon that owns its program.
    Route,
}

/// Filters of the entry daemon, in the order in which they run.
pub const ENTRY_FILTERS: [Filter; 3] = [Filter::Authenticate, Filter::Limits, Filter::Route];

impl Filter {
    async fn run(self, cx: &mut RequestCx) -> Result<(), Problem> {
        match self {
            Self::Authenticate => authenticate::run(cx),
            Self::Limits => limits::run(cx).await,
            Self::Route => route::run(cx).await,
        }
    }
}

/// Serves requests from callers.
pub async fn serve(daemon: Arc<Daemon>, listener: TcpListener) {
    let request_tracker = Arc::clone(&daemon.request_tracker);
    server::serve(listener, request_tracker, move |exchange| {
        handle(Arc::clone(&daemon), exchange)
    })
    .await;
}

async fn handle(daemon: Arc<Daemon>, exchange: Exchange) -> Response {
    let active = daemon.configuration.get();
    let mut cx = RequestCx {
        arrived_at: daemon.clock.mono(),
        limits: active.configuration.defaults.clone(),
        active,
        daemon,
        exchange,
        caller: None,
        call: None,
        response: None,
    };
    let result = run_filters(&mut cx).await;
    let name = cx.caller.as_ref().map_or("-", |c| c.caller.as_str());
    match result {
        Ok(response) => {
            let outcome = u16::from(response.status()).to_string();
            cx.daemon.metrics.count_request(name, &outcome);
            response
        }
        Err(problem) => {
            cx.daemon
                .metrics
                .count_request(name, &problem.kind.to_string());
            if let Some(caller) = &cx.caller {
                cx.daemon.refusals.record(&caller.caller, problem.kind);
            }
            log_problem(&cx, name, &problem);
            problem.response()
        }
    }
}

/// Runs the filters in order and returns the response.
async fn run_filters(cx: &mut RequestCx) -> Result<Response, Problem> {
    let in_flight = cx.daemon.request_tracker.in_flight() as u64;
    if in_flight > cx.daemon.settings.calls_at_once {
        let problem = Problem::not_run(Kind::Unavailable, "this daemon has too many requests");
        return Err(problem.retry_after(1));
    }
    for filter in ENTRY_FILTERS {
        filter.run(cx).await?;
    }
    let missing = || Problem::not_run(Kind::NotFound, "no such resource");
    cx.response.take().ok_or_else(missing)
}

/// Logs a request that ended with a problem response.
fn log_problem(cx: &RequestCx, caller: &str, problem: &Problem) {
    let program = cx.call.as_ref().map(|c| c.program.to_string());
    log::info!(
        caller = caller,
        program = program.as_deref().unwrap_or("-"),
        kind = problem.kind.to_string().as_str(),
        ran = problem.ran.to_string().as_str(),
        detail = problem.detail.as_str();
        "request failed"
    );
}
