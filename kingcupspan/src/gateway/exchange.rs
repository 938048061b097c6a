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
    gateway::{ledger::Reservation, stop::Stop},
    http::head::RequestHead,
};

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

    /// When it must have been answered.
    pub deadline: Instant,

    /// Turns before it, oldest first.
    pub history: Vec<Arc<Turn>>,

    /// Its tokens of the program's budget.
    pub reservation: Option<Reservation>,

    /// How far it has come.
    pub progress: Progress,

    /// The endpoint that it was sent to last.
    pub endpoint: Option<InstanceId>,

    /// Set once a planned stop has begun.
    pub stop: Arc<Stop>,
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No endpoint can have run it.
    Waiting,

    /// An endpoint may have run it.
    Sent,

    /// Bytes of its answer have gone to the caller.
    Answering,
}

impl Exchange {
    /// Time until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether the connection is closed after its answer.
    pub fn closes_after(&self) -> bool {
        self.stop.is_stopping() || self.head.wants_close()
    }

    /// Whether it may be sent again after `runs` endpoints may have run it.
    pub fn can_repeat(&self, runs: u32) -> bool {
        self.route.is_idempotent() && runs < self.route.max_attempts
    }

    /// What the endpoint receives: earlier turns, then the new input.
    pub fn prompt(&self) -> Vec<u8> {
        history::prompt(&self.history, &self.body)
    }

    /// Whether its answer becomes a turn that is kept.
    pub fn is_kept_turn(&self) -> bool {
        self.route.has_turns() && self.route.keeps_history && self.info.program.is_some()
    }
}
