//! Finds out whether a body that ended with its connection is whole.
//!
//! A process that is killed closes its connections in order, so the end of one does not tell whether
//! the body was sent to its end. It counts as whole if the process that sent it is alive afterwards,
//! which then has closed the connection by itself. A connection that was open before the request was
//! sent leads to that process; a new one leads to it if it is the same run.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use kingcupspan_core::gateway::endpoint::Endpoint;
use prometheus::IntCounterVec;

use super::{
    DEFAULT_IDLE_TIMEOUT, Upstream,
    endpoint_state::EndpointConnection,
    run_check::{self, Run},
};
use crate::metrics::opts;

/// Time within which no endpoint ends and is started again.
const MIN_RESTART_TIME: Duration = Duration::from_millis(500);

/// What tells that a body is whole, or that this is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(super) enum Evidence {
    /// A connection that is older than the request was answered.
    #[display("older connection")]
    OlderConnection,

    /// A new connection leads to the same run.
    #[display("same run")]
    SameRun,

    /// A new connection was answered, too soon for another run.
    #[display("soon")]
    Soon,

    /// The endpoint may have ended before it had sent the whole body.
    #[display("doubtful")]
    Doubtful,
}

/// A request whose response ended with its connection.
pub(super) struct Ended<'a> {
    pub(super) endpoint: &'a Endpoint,

    /// The connection.
    pub(super) connection: &'a EndpointConnection,

    /// When the request was sent.
    pub(super) sent_at: Instant,
}

/// Creates the counter of the bodies that ended with their connection.
pub(super) fn counter() -> IntCounterVec {
    let counter = IntCounterVec::new(
        opts(
            "bodies_until_close_total",
            "Response bodies that ended with their connection",
        ),
        &["evidence"],
    );
    // The name and the label are constant and valid.
    counter.expect("the counter is valid")
}

impl Upstream {
    /// Finds out whether the body of a response is whole that ended with its connection.
    pub(super) async fn check_end(self: &Arc<Self>, ended: &Ended<'_>) -> Evidence {
        let evidence = self.find_evidence(ended).await;
        let label = evidence.to_string();
        self.bodies_until_close.with_label_values(&[&label]).inc();
        evidence
    }

    /// Looks for a sign of life of the process that sent the body.
    async fn find_evidence(self: &Arc<Self>, ended: &Ended<'_>) -> Evidence {
        if self.is_older_answered(ended).await {
            return Evidence::OlderConnection;
        }
        // Nothing tells whether the peer has ended in place of the endpoint.
        if !ended.connection.is_end_marked() {
            return Evidence::Doubtful;
        }
        let Ok(mut connection) = self.connect(ended.endpoint).await else {
            return Evidence::Doubtful;
        };
        let Ok(run) = run_check::ask(&mut connection, ended.endpoint).await else {
            return Evidence::Doubtful;
        };
        let evidence = judge(run, ended);
        self.keep_idle(ended.endpoint, connection);
        evidence
    }

    /// Whether the endpoint answers on a connection by the same path that is older than the request.
    async fn is_older_answered(&self, ended: &Ended<'_>) -> bool {
        let id = &ended.endpoint.id;
        let take = || {
            let mut states = self.states.lock();
            states
                .get_mut(id)?
                .take_older(ended.connection.peer(), ended.sent_at)
        };
        while let Some(idle) = take() {
            let mut connection = idle.connection;
            if !connection.conn.is_idle().await {
                continue;
            }
            if run_check::ask(&mut connection, ended.endpoint)
                .await
                .is_ok()
            {
                self.keep_idle(ended.endpoint, connection);
                return true;
            }
        }
        false
    }

    /// Keeps a connection by which the next end may be checked.
    fn keep_idle(&self, endpoint: &Endpoint, connection: EndpointConnection) {
        if let Some(state) = self.states.lock().get_mut(&endpoint.id) {
            state.add_idle(connection, DEFAULT_IDLE_TIMEOUT);
        }
    }
}

/// Judges by the run to which a new connection leads. The one that has sent the body is not older
/// than the one that was listed when the request was sent.
fn judge(run: Run, ended: &Ended<'_>) -> Evidence {
    let started_at_ms = match ended.connection.run {
        Run::StartedAt(ms) => ms,
        Run::Unchecked | Run::NotTold => ended.endpoint.started_at_ms,
    };
    match run {
        Run::StartedAt(ms) if ms == started_at_ms => Evidence::SameRun,
        Run::NotTold if ended.sent_at.elapsed() < MIN_RESTART_TIME => Evidence::Soon,
        Run::StartedAt(_) | Run::NotTold | Run::Unchecked => Evidence::Doubtful,
    }
}
