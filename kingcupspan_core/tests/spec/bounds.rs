//! How far the specification is explored, and flaws that it must find.

/// A deliberately broken variant of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Sends a call whose start is not on the log.
    SendBeforeCommit,

    /// Starts a call again that a former owner may have sent.
    ReassignIntent,

    /// Says "not run" when the answer of a sent call is missing.
    NotRunOnTimeout,

    /// Sends a call after its caller was told that it did not run.
    SendAfterWithdrawal,

    /// Counts records of a former owner as the present one's.
    StaleRecordsCount,

    /// Sends without a reservation and settles afterwards.
    NoReservation,

    /// The endpoint does not look at fencing numbers.
    EndpointIgnoresFence,

    /// Peers keep copies for an owner whose copies its successor has fetched.
    UnsealedCopies,
}

/// A call that callers may request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Task {
    /// Index of its program; 0 is the root.
    pub program: usize,

    /// Its turn.
    pub turn: u32,

    /// Whether it may be repeated.
    pub idempotent: bool,
}

/// Bounds of an exploration.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Daemons.
    pub nodes: usize,

    /// Programs: the root and children that draw on it.
    pub programs: usize,

    /// Calls in the root's budget.
    pub calls: u64,

    /// Calls that may be requested.
    pub tasks: Vec<Task>,

    /// Claims after the first.
    pub claims: u8,

    /// Requests of callers.
    pub requests: u8,

    /// Daemons that are killed and restarted.
    pub crashes: u8,

    /// Appends whose answer is lost and which take effect later or never.
    pub late_appends: u8,

    /// Calls that are long under way to the endpoint.
    pub late_sends: u8,

    /// Snapshots, after each of which what came before may expire.
    pub snapshots: u8,

    /// Outages of the log, during which records are copied to peers.
    pub outages: u8,

    /// Whether the present owner closes calls of former owners as unknown.
    pub settles: bool,

    /// Whether the endpoint refuses old fencing numbers.
    pub checks_fence: bool,

    /// Deliberate flaw.
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
            settles: false,
            checks_fence: false,
            flaw: None,
        }
    }

    /// Lost append answers, paused holders, calls that arrive late.
    pub fn takeover() -> Self {
        Self {
            claims: 2,
            late_appends: 1,
            late_sends: 1,
            settles: true,
            ..Self::small()
        }
    }

    /// Daemons killed at any point.
    pub fn crash() -> Self {
        Self {
            claims: 2,
            crashes: 1,
            late_appends: 1,
            settles: true,
            ..Self::small()
        }
    }

    /// Two turns in order, at an endpoint that checks fencing numbers.
    pub fn fenced_endpoint() -> Self {
        Self {
            tasks: vec![task(0, 0), task(0, 1)],
            requests: 3,
            late_sends: 1,
            settles: true,
            checks_fence: true,
            ..Self::small()
        }
    }

    /// Two children that share one call of their parent's budget.
    pub fn budget() -> Self {
        Self {
            programs: 3,
            calls: 1,
            tasks: vec![task(1, 0), task(2, 0)],
            claims: 1,
            requests: 3,
            late_sends: 1,
            settles: true,
            ..Self::small()
        }
    }

    /// Readers that find the beginning of the stream gone.
    pub fn expiry() -> Self {
        Self {
            claims: 1,
            requests: 2,
            snapshots: 1,
            crashes: 1,
            ..Self::small()
        }
    }

    /// Model turns that go on with copies on peers while the log is away.
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

    /// The same with more of everything.
    pub fn larger(self) -> Self {
        Self {
            claims: self.claims + 1,
            requests: self.requests + 1,
            ..self
        }
    }

    /// Whether a flaw is in force.
    pub fn has(&self, flaw: Flaw) -> bool {
        self.flaw == Some(flaw)
    }
}
