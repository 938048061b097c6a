//! A request and the state of its processing.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future, task};
use kingcupspan_core::{
    gateway::{
        call::{CallInfo, RequestId},
        crash_tracker::Fingerprint,
        endpoint::{Endpoint, SoftwareVersion},
        history::{self, Turn},
        quota::Token,
        routing::{Configuration, Route, ServiceName},
        stream_origin::StreamRecord,
        workspace::{self, Workspace, WorkspaceName},
    },
    id::WallMs,
};

use crate::{
    gateway::{
        connectivity::Connectivity, ledger::Reservation, shutdown::Shutdown, upstream::Delivery,
    },
    http::head::RequestHead,
};

/// Longest time that a turn waits for its history and tokens before it is sent.
///
/// Callers disconnect after two seconds without an event, and the endpoint needs part
/// of this time to generate its first one.
const MAX_PREPARATION_TIME: Duration = Duration::from_millis(1_200);

/// Longest time for which the first event of a stream waits for a record of its own.
const MAX_RECORDING_TIME: Duration = Duration::from_millis(100);

/// A completely received request and the state of its processing.
pub struct Exchange {
    /// The request line and headers.
    pub head: RequestHead,

    /// The request body.
    pub body: Vec<u8>,

    /// Information that the caller passed in headers, with keys that no other workspace has.
    pub info: CallInfo,

    /// Identifier of this attempt, chosen by the caller.
    pub id: RequestId,

    /// Identifier of the resulting turn, which no other workspace has.
    pub turn_id: RequestId,

    /// The configuration that was active when the request was admitted.
    pub configuration: Arc<Configuration>,

    /// Workspace of the caller; `None` if the configuration has no workspaces, or the route is public
    /// and the caller has no key.
    pub workspace: Option<Arc<Workspace>>,

    /// The route that matched the request.
    pub route: Arc<Route>,

    /// The service whose endpoints run the request.
    pub service: ServiceName,

    /// Time when the request head was completely read.
    pub received_at: Instant,

    /// Time by which the response must be complete.
    pub deadline: Instant,

    /// Earlier turns that this turn continues, oldest first.
    pub history: Vec<Arc<Turn>>,

    /// Tokens of the program's budget that are reserved for this turn.
    pub reservation: Option<Reservation>,

    /// Token of the workspace's quota that is not spent yet.
    pub quota_token: Option<Token>,

    /// Software version at which a stream has to run; `None` if any may run it.
    pub stream_version: Option<StreamVersion>,

    /// Time in the first record of where the stream is begun.
    pub stream_recorded_since: Option<WallMs>,

    /// Call that records where the stream is begun, if it has one of its own.
    pub stream_recording: Option<task::JoinHandle<()>>,

    /// How far the request has been processed.
    pub progress: Progress,

    /// The endpoint that the request was last sent to.
    pub last_endpoint: Option<Arc<Endpoint>>,

    /// How the last response has reached this daemon.
    pub delivery: Option<Delivery>,

    /// Decides whether the caller should reconnect to another daemon.
    pub connection_policy: ConnectionPolicy,
}

/// Decides whether callers' connections are closed after each response, so that the
/// callers reconnect to another daemon.
#[derive(Clone)]
pub struct ConnectionPolicy {
    /// State of a planned shutdown.
    pub shutdown: Arc<Shutdown>,

    /// Connectivity to the store and the other daemons.
    pub connectivity: Connectivity,
}

impl ConnectionPolicy {
    /// Returns whether connections should be closed after each response.
    pub fn should_close_connections(&self) -> bool {
        self.shutdown.is_stopping() || self.connectivity.is_cut_off()
    }
}

/// Software version at which a stream has to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamVersion {
    /// This attempt begins the stream, and this is recorded of it.
    Begun(StreamRecord),

    /// An earlier attempt has begun the stream at this version.
    Continued(SoftwareVersion),
}

impl StreamVersion {
    /// The version.
    pub fn version(&self) -> &SoftwareVersion {
        match self {
            Self::Begun(record) => &record.origin.version,
            Self::Continued(version) => version,
        }
    }
}

/// How far a request has been processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The request cannot have run on any endpoint.
    NotSent,

    /// The request may have run on an endpoint.
    Sent,

    /// Part of the response may have been sent to the caller.
    Responding,
}

impl Exchange {
    /// Whether an endpoint may run the request.
    pub fn suits(&self, endpoint: &Endpoint) -> bool {
        let version = self.stream_version.as_ref().map(StreamVersion::version);
        version.is_none_or(|v| *v == endpoint.version)
    }

    /// Waits for the record of where the stream is begun, so that the caller can continue it
    /// anywhere; not for long, since the events are worth more.
    pub async fn wait_for_stream_record(&mut self) {
        if let Some(recording) = self.stream_recording.take() {
            // Without the record the stream can be continued at this daemon only.
            let _ = future::timeout(MAX_RECORDING_TIME, recording).await;
        }
    }

    /// Returns the time until the deadline.
    pub fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time until which the request may wait for its history and tokens.
    ///
    /// Callers abandon a stream that delivers no events.
    pub fn preparation_deadline(&self) -> Instant {
        self.received_at + MAX_PREPARATION_TIME.min((self.deadline - self.received_at) / 2)
    }

    /// Returns whether the connection should be closed after the response.
    pub fn should_close_connection(&self) -> bool {
        self.head.wants_close() || self.connection_policy.should_close_connections()
    }

    /// Returns whether the request may be retried after up to `possible_runs` endpoints
    /// have run it.
    pub fn can_retry(&self, possible_runs: u32) -> bool {
        self.route.is_idempotent() && possible_runs < self.route.max_attempts
    }

    /// Builds the body sent to the endpoint: earlier turns followed by the new input; `None` if it is
    /// the request's own.
    pub fn prompt(&self) -> Option<Vec<u8>> {
        (!self.history.is_empty()).then(|| history::build_prompt(&self.history, &self.body))
    }

    /// Returns the bytes that the earlier turns, and the prompt built from them, hold.
    pub fn prompt_bytes(&self) -> usize {
        let history: usize = self.history.iter().map(|t| t.size_bytes()).sum();
        match self.history.is_empty() {
            true => 0,
            false => 2 * history + self.body.len(),
        }
    }

    /// Whether the body is needed no more after up to `possible_runs` endpoints have run the request.
    pub fn is_body_done(&self, possible_runs: u32) -> bool {
        !self.can_retry(possible_runs) && !self.should_store_turn()
    }

    /// Name of the caller's workspace, if it has one.
    pub fn workspace_name(&self) -> Option<&WorkspaceName> {
        self.workspace.as_ref().map(|w| &w.name)
    }

    /// Rank of the request by its workspace and its route; 0 is the highest.
    pub fn rank(&self) -> u32 {
        let priority = self.workspace.as_ref().and_then(|w| w.priority);
        workspace::rank(priority, self.route.priority)
    }

    /// Fingerprint shared by all attempts of the request, used to attribute crashes.
    pub fn fingerprint(&self) -> Fingerprint {
        let head = &self.head;
        Fingerprint::of(&head.method, &head.target, &self.body).within(self.workspace_name())
    }

    /// Returns whether the request runs on a model engine.
    pub fn runs_on_engine(&self) -> bool {
        let service = self.configuration.services.get(&self.service);
        service.is_some_and(|s| s.engine.is_some())
    }

    /// Returns whether the answer cannot end without the store, which keeps the turn or the
    /// number of tokens that it used.
    pub fn needs_store(&self) -> bool {
        let program = self.info.program.as_ref();
        let has_budget = program.is_some_and(|p| p.budget.is_some());
        self.should_store_turn() || (self.route.has_turns() && has_budget)
    }

    /// Returns whether the request and its response should be stored as a turn.
    pub fn should_store_turn(&self) -> bool {
        self.route.has_turns() && self.route.keeps_history && self.info.program.is_some()
    }
}
