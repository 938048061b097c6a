//! One request on its way through the filters.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use kingcupspan_core::gateway::{
    call::{CallInfo, RequestId},
    endpoint::InstanceId,
    history::{self, Turn},
    routing::{Configuration, Route, ServiceName},
};

use crate::{
    gateway::{ledger::Reservation, reach::Reach, shutdown::Shutdown},
    http::head::RequestHead,
};

/// Longest wait of a turn before it is sent: callers leave after two seconds
/// without an event, and the endpoint needs some of them.
const MAX_PREPARATION: Duration = Duration::from_millis(1_200);

/// A request that was read whole.
pub struct Exchange {
    /// Its head.
    pub head: RequestHead,

    /// Its body.
    pub body: Vec<u8>,

    /// What its headers say.
    pub info: CallInfo,

    /// The attempt.
    pub id: RequestId,

    /// The configuration that it is handled by.
    pub configuration: Arc<Configuration>,

    /// Its route.
    pub route: Arc<Route>,

    /// The service that runs it.
    pub service: ServiceName,

    /// When it was read whole.
    pub received_at: Instant,

    /// When it must have been answered.
    pub deadline: Instant,

    /// Turns before it, oldest first.
    pub history: Vec<Arc<Turn>>,

    /// Its tokens of the program's budget.
    pub reservation: Option<Reservation>,

    /// How far it has come.
    pub progress: Progress,

    /// The endpoint that it was sent to last.
    pub last_endpoint: Option<InstanceId>,

    /// Whether this daemon wants its callers to come to another one.
    pub connection_policy: ConnectionPolicy,
}

/// Why callers should come to another daemon.
#[derive(Clone)]
pub struct ConnectionPolicy {
    /// A planned stop.
    pub shutdown: Arc<Shutdown>,

    /// What this daemon reaches.
    pub reach: Reach,
}

impl ConnectionPolicy {
    /// Whether connections are closed after their answer, so that callers come to
    /// another daemon.
    pub fn should_close_connections(&self) -> bool {
        self.shutdown.is_stopping() || self.reach.is_cut_off()
    }
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No endpoint can have run it.
    NotSent,

    /// An endpoint may have run it.
    Sent,

    /// Bytes of its answer have gone to the caller.
    Responding,
}

impl Exchange {
    /// Time until the deadline.
    pub fn remaining_time(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Until when it may wait for its history and tokens: callers give up a stream
    /// from which they hear nothing.
    pub fn preparation_deadline(&self) -> Instant {
        self.received_at + MAX_PREPARATION.min((self.deadline - self.received_at) / 2)
    }

    /// Whether the connection is closed after its answer.
    pub fn should_close_connection(&self) -> bool {
        self.head.wants_close() || self.connection_policy.should_close_connections()
    }

    /// Whether it may be sent again after `runs` endpoints may have run it.
    pub fn can_retry(&self, possible_runs: u32) -> bool {
        self.route.is_idempotent() && possible_runs < self.route.max_attempts
    }

    /// What the endpoint receives: earlier turns, then the new input.
    pub fn prompt(&self) -> Vec<u8> {
        history::prompt(&self.history, &self.body)
    }

    /// Whether its answer becomes a turn that is kept.
    pub fn should_store_turn(&self) -> bool {
        self.route.has_turns() && self.route.keeps_history && self.info.program.is_some()
    }
}
