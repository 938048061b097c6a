//! Bounds of the exploration, and deliberate flaws that it must find.

/// Deliberate flaw in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// The owner sends a call whose start is not on the log.
    SendBeforeCommit,

    /// The owner starts a call again that a former owner may have sent.
    RestartOrphanedCall,

    /// The owner replies "not run" when the answer to a sent call is missing.
    NotRunOnTimeout,

    /// The owner sends a call after the caller has got the reply that it did
    /// not run.
    SendAfterWithdrawal,

    /// Records of a former owner are accepted as records of the current one.
    AcceptStaleRecords,

    /// The owner sends calls without a reservation and settles their cost
    /// afterwards.
    NoReservation,

    /// The endpoint ignores fencing numbers.
    EndpointIgnoresFence,

    /// Peers store copies for an owner whose copies the next owner has already
    /// collected.
    UnsealedCopies,
}

/// Call that callers may request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Task {
    /// Index of the call's program; 0 is the root program.
    pub program: usize,

    /// Turn of the call within its program.
    pub turn: u32,

    /// Whether the call may be repeated.
    pub idempotent: bool,
}

/// Bounds of an exploration.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Number of daemons.
    pub nodes: usize,

    /// Number of programs: the root program and its children, which draw on the
    /// root's budget.
    pub programs: usize,

    /// Number of calls in the root program's budget.
    pub calls: u64,

    /// Calls that may be requested.
    pub tasks: Vec<Task>,

    /// Number of claims after the first one.
    pub claims: u8,

    /// Number of requests by callers.
    pub requests: u8,

    /// Number of times a daemon is killed and restarted.
    pub crashes: u8,

    /// Number of appends whose answer is lost and which take effect later or
    /// never.
    pub late_appends: u8,

    /// Number of calls that are delayed on the way to the endpoint.
    pub late_sends: u8,

    /// Number of snapshots; all records before a snapshot may expire.
    pub snapshots: u8,

    /// Number of outages of the log, during which records are copied to peers.
    pub outages: u8,

    /// Whether the current owner ends calls of former owners with an unknown
    /// outcome.
    pub can_settle: bool,

    /// Whether the endpoint refuses outdated fencing numbers.
    pub checks_fence: bool,

    /// Deliberate flaw that is active.
    pub flaw: Option<Flaw>,
}

const fn task(program: usize, turn: u32) -> Task {
    Task {
        program,
        turn,
        idempotent: false,
    }
}

impl Bounds {
    fn small() -> Self {
        Self {
            nodes: 2,
            programs: 1,
            calls: 4,
            tasks: vec![task(0, 0)],
            claims: 1,
            requests: 2,
            crashes: 0,
            late_appends: 0,
            late_sends: 0,
            snapshots: 0,
            outages: 0,
            can_settle: false,
            checks_fence: false,
            flaw: None,
        }
    }

    /// Returns bounds with lost answers to appends, paused owners and delayed calls.
    pub fn takeover() -> Self {
        Self {
            claims: 2,
            late_appends: 1,
            late_sends: 1,
            can_settle: true,
            ..Self::small()
        }
    }

    /// Returns bounds with daemons that are killed at any point.
    pub fn crash() -> Self {
        Self {
            claims: 2,
            crashes: 1,
            late_appends: 1,
            can_settle: true,
            ..Self::small()
        }
    }

    /// Returns bounds with two consecutive turns at an endpoint that checks fencing numbers.
    pub fn fenced_endpoint() -> Self {
        Self {
            tasks: vec![task(0, 0), task(0, 1)],
            requests: 3,
            late_sends: 1,
            can_settle: true,
            checks_fence: true,
            ..Self::small()
        }
    }

    /// Returns bounds with two child programs that share their parent's budget of
    /// one call.
    pub fn budget() -> Self {
        Self {
            programs: 3,
            calls: 1,
            tasks: vec![task(1, 0), task(2, 0)],
            claims: 1,
            requests: 3,
            late_sends: 1,
            can_settle: true,
            ..Self::small()
        }
    }

    /// Returns bounds with readers that start after the beginning of the stream
    /// has expired.
    pub fn expiry() -> Self {
        Self {
            claims: 1,
            requests: 2,
            snapshots: 1,
            crashes: 1,
            ..Self::small()
        }
    }

    /// Returns bounds with model turns that continue with copies at peers while
    /// the log is unreachable.
    pub fn outage() -> Self {
        let turn = |turn| Task {
            idempotent: true,
            ..task(0, turn)
        };
        Self {
            nodes: 3,
            tasks: vec![turn(0)],
            claims: 1,
            requests: 1,
            crashes: 0,
            outages: 1,
            ..Self::small()
        }
    }

    /// Returns these bounds with one more claim and one more request.
    pub fn larger(self) -> Self {
        Self {
            claims: self.claims + 1,
            requests: self.requests + 1,
            ..self
        }
    }

    /// Returns whether a flaw is active.
    pub fn has(&self, flaw: Flaw) -> bool {
        self.flaw == Some(flaw)
    }
}
