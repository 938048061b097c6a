//! Finds out whether a body that ended with its connection is whole.
//!
//! A process that is killed closes its connections in order, so the end of one does not tell whether
//! the body was sent to its end. It counts as whole if the run of the endpoint that sent it answers
//! afterwards, which then has closed the connection by itself. Connections lead to runs in the order in
//! which they are opened, so where the run of a connection is not known, one opened before and one
//! opened after it that lead to the same run tell it; the list tells a run as well.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::future;
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

/// Longest time of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What tells that a body is whole, or that this is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(super) enum Evidence {
    /// The run that has sent the body answers.
    #[display("same run")]
    SameRun,

    /// A connection that is older than the request is answered, and no run is told.
    #[display("older connection")]
    OlderConnection,

    /// A new connection is answered, too soon for another run, and no run is told.
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
        let evidence = future::timeout(CHECK_TIMEOUT, self.find_evidence(ended)).await;
        let evidence = evidence.unwrap_or(Evidence::Doubtful);
        let label = evidence.to_string();
        self.bodies_until_close.with_label_values(&[&label]).inc();
        evidence
    }

    /// Looks for a sign of life of the run that sent the body.
    async fn find_evidence(self: &Arc<Self>, ended: &Ended<'_>) -> Evidence {
        // Otherwise the peer may have ended in place of the endpoint.
        let is_marked = ended.connection.is_end_marked();
        if !is_marked && !self.is_older_answered(ended, Path::Same).await {
            return Evidence::Doubtful;
        }
        if let Run::StartedAt(ms) = ended.connection.run
            && self.is_idle_answered(ended, ms).await
        {
            return Evidence::SameRun;
        }
        let Some(run) = self.ask_anew(ended).await else {
            return Evidence::Doubtful;
        };
        match (ended.connection.run, run) {
            (Run::StartedAt(ms), run) if run == Run::StartedAt(ms) => Evidence::SameRun,
            (Run::StartedAt(_), _) | (_, Run::Unchecked) => Evidence::Doubtful,
            (_, Run::StartedAt(ms)) => match self.is_run_of(ended, ms).await {
                true => Evidence::SameRun,
                false => Evidence::Doubtful,
            },
            (_, Run::NotTold) if self.is_older_answered(ended, Path::Any).await => {
                Evidence::OlderConnection
            }
            (_, Run::NotTold) if ended.sent_at.elapsed() < MIN_RESTART_TIME => Evidence::Soon,
            (_, Run::NotTold) => Evidence::Doubtful,
        }
    }

    /// Whether an idle connection leads to the run that was started at `ms` and is answered.
    async fn is_idle_answered(&self, ended: &Ended<'_>, ms: u64) -> bool {
        let run = Run::StartedAt(ms);
        match self.take_where(ended.endpoint, |c| c.run == run) {
            Some(connection) => self.ask_idle(ended.endpoint, connection).await == Some(run),
            None => false,
        }
    }

    /// Returns the run to which a new connection leads, if it is answered.
    async fn ask_anew(self: &Arc<Self>, ended: &Ended<'_>) -> Option<Run> {
        let mut connection = self.connect(ended.endpoint).await.ok()?;
        let run = run_check::ask(&mut connection, ended.endpoint).await.ok()?;
        self.keep_idle(ended.endpoint, connection);
        Some(run)
    }

    /// Whether the body came from the run that was started at `ms` and answers on a new connection:
    /// the connection was opened when this one was listed, or after another one that leads to it.
    async fn is_run_of(&self, ended: &Ended<'_>, ms: u64) -> bool {
        if ended.connection.opened_for_ms == ms {
            return true;
        }
        let opened_at = ended.connection.opened_at;
        let is_older = |c: &EndpointConnection| c.opened_at < opened_at && c.run != Run::NotTold;
        match self.take_where(ended.endpoint, is_older) {
            Some(older) => self.ask_idle(ended.endpoint, older).await == Some(Run::StartedAt(ms)),
            None => false,
        }
    }

    /// Whether the endpoint answers on a connection that was opened for the same run before the
    /// request was sent. One check of an endpoint goes on at a time, since there may be one such
    /// connection.
    async fn is_older_answered(&self, ended: &Ended<'_>, path: Path) -> bool {
        let id = &ended.endpoint.id;
        let Some(lock) = self.states.lock().get(id).map(|s| Arc::clone(&s.end_check)) else {
            return false;
        };
        let _guard = lock.lock().await;
        let is_older = |c: &EndpointConnection| {
            c.opened_at < ended.sent_at
                && c.opened_for_ms == ended.connection.opened_for_ms
                && (path == Path::Any || c.peer() == ended.connection.peer())
        };
        while let Some(older) = self.take_where(ended.endpoint, is_older) {
            if self.ask_idle(ended.endpoint, older).await.is_some() {
                return true;
            }
        }
        false
    }

    /// Takes an idle connection to an endpoint that meets a condition.
    fn take_where(
        &self,
        endpoint: &Endpoint,
        condition: impl Fn(&EndpointConnection) -> bool,
    ) -> Option<EndpointConnection> {
        let mut states = self.states.lock();
        states.get_mut(&endpoint.id)?.take_where(condition)
    }

    /// Returns the run to which an idle connection leads, if it is answered.
    async fn ask_idle(&self, endpoint: &Endpoint, mut idle: EndpointConnection) -> Option<Run> {
        if !idle.conn.is_idle().await {
            return None;
        }
        let run = run_check::ask(&mut idle, endpoint).await.ok()?;
        self.keep_idle(endpoint, idle);
        Some(run)
    }

    /// Keeps a connection by which the next end may be checked.
    fn keep_idle(&self, endpoint: &Endpoint, connection: EndpointConnection) {
        if !connection.carried.may_continue() {
            return;
        }
        if let Some(state) = self.states.lock().get_mut(&endpoint.id) {
            state.add_idle(connection, DEFAULT_IDLE_TIMEOUT);
        }
    }
}

/// Path of a connection by which an end is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    /// That of the connection which has ended.
    Same,

    /// Any.
    Any,
}
