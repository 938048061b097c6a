//! Connections to one endpoint, and what is known of its load and health.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::sync::Mutex;
use event_listener::Event;
use kingcupspan_core::gateway::{
    call::RequestId, crash_tracker::Fingerprint, endpoint::Endpoint, expected_finish::Observation,
    load_report::LoadReport, placement::Load, rate_limit::RequestRate,
};

use super::{carried::Carried, request::OutgoingRequest, run_check::Run};
use crate::{gateway::tunnels::TunnelGuard, http::conn::Conn};

/// How long the load reported by an endpoint is used where it does not tell how long work takes.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Time for which an idle connection is kept at an endpoint that has sent a body without a length.
const KEEPS_IDLE_FOR: Duration = Duration::from_secs(30);

/// Weight of the last request in the mean time that requests take.
const DURATION_WEIGHT: f64 = 0.03;

/// A connection to an endpoint.
pub(super) struct EndpointConnection {
    pub(super) conn: Conn,

    /// Start of the run that was listed when the connection was opened, as Unix time in milliseconds.
    pub(super) opened_for_ms: u64,

    /// Run of the endpoint to which the connection leads.
    pub(super) run: Run,

    /// Requests sent on the connection.
    pub(super) carried: Carried,

    /// Set if the connection leads through a peer.
    pub(super) tunnel: Option<TunnelGuard>,

    /// When the connection was open.
    pub(super) opened_at: Instant,
}

impl EndpointConnection {
    /// VM of the peer through which the connection leads.
    pub(super) fn peer(&self) -> Option<&str> {
        self.tunnel.as_ref().map(TunnelGuard::vm)
    }

    /// Whether the connection cannot end in order without the endpoint, as far as its path goes.
    pub(super) fn is_end_marked(&self) -> bool {
        self.tunnel.is_none() || self.conn.is_end_marked()
    }

    /// Whether the connection leads to a run of its endpoint before the listed one, by what is known;
    /// the list may be late.
    fn is_of_former_run(&self, endpoint: &Endpoint) -> bool {
        let started_at_ms = match self.run {
            Run::StartedAt(ms) => ms,
            Run::Unchecked | Run::NotTold => self.opened_for_ms,
        };
        started_at_ms < endpoint.started_at_ms
    }
}

/// How this daemon opens connections to an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Reach {
    /// By itself.
    #[default]
    Direct,

    /// Through peers, since the endpoint accepts their connections and none of this daemon's.
    ThroughPeers,
}

/// A request that an endpoint may have run.
#[derive(Clone)]
pub(super) struct SentRequest {
    pub(super) attempt: RequestId,
    pub(super) fingerprint: Fingerprint,
}

/// An idle connection and the time until which it may be reused.
pub(super) struct IdleConnection {
    pub(super) connection: EndpointConnection,
    pub(super) expires_at: Instant,
}

/// Connections to an endpoint and what is known of its load and health.
#[derive(Default)]
pub(super) struct EndpointState {
    pub(super) idle: Vec<IdleConnection>,

    /// Requests in flight from this daemon.
    pub(super) in_flight: u32,

    /// Load that the endpoint last reported.
    pub(super) reported: Option<ReceivedReport>,

    /// Whether the endpoint failed and has not accepted a connection since.
    pub(super) is_suspect: bool,

    /// How connections are opened.
    pub(super) reach: Reach,

    /// Whether a task tries to connect to the endpoint.
    pub(super) is_probed: bool,

    /// The endpoint, once this daemon has connected to it.
    pub(super) endpoint: Option<Endpoint>,

    /// When bytes last arrived from the endpoint, or the first request in flight was sent.
    pub(super) heard_at: Option<Instant>,

    /// Notified when requests that may be repeated are not to wait for the endpoint.
    pub(super) gave_up: Arc<Event>,

    /// How often in a row peers were asked for a connection in vain.
    pub(super) tunnel_failures: u32,

    /// Until when peers are not asked for a connection, since none of them got one.
    pub(super) no_tunnel_until: Option<Instant>,

    /// When the endpoint last sent a body without a length.
    pub(super) sent_until_close_at: Option<Instant>,

    /// Held while an end is checked by a connection of which there may be one.
    pub(super) end_check: Arc<Mutex<()>>,

    /// Rate limit that the endpoint named in its last response.
    pub(super) limit: Option<RequestRate>,

    /// Time that requests took lately, in seconds; `None` if none has ended.
    pub(super) duration_s: Option<f64>,

    /// Requests without a complete response since the last attempt to reconnect.
    pub(super) unanswered: Vec<SentRequest>,
}

/// Load reported by an endpoint.
#[derive(Clone, Copy)]
pub(super) struct ReceivedReport {
    /// What the endpoint has reported.
    pub(super) report: LoadReport,

    /// Time when the report was received.
    pub(super) received_at: Instant,

    /// Requests in flight from this daemon when the report was received.
    pub(super) in_flight: u32,
}

impl ReceivedReport {
    /// Returns the requests running and waiting, adjusted for those that this daemon has sent
    /// since; it has `in_flight` now.
    fn requests(&self, in_flight: u32) -> u32 {
        let requests = self.report.requests().saturating_add(in_flight);
        requests.saturating_sub(self.in_flight)
    }
}

impl EndpointState {
    /// Records a report.
    pub(super) fn record_report(&mut self, report: LoadReport) {
        self.reported = Some(ReceivedReport {
            report,
            received_at: Instant::now(),
            in_flight: self.in_flight,
        });
    }

    /// Returns the last report with its age.
    pub(super) fn observation(&self, now: Instant) -> Option<Observation> {
        let received = self.reported?;
        Some(Observation {
            requests: received.requests(self.in_flight),
            slots: received.report.slots,
            pace: received.report.pace,
            age: now.saturating_duration_since(received.received_at),
        })
    }

    /// Keeps a connection for reuse within `timeout`.
    pub(super) fn add_idle(&mut self, connection: EndpointConnection, timeout: Duration) {
        self.idle.push(IdleConnection {
            connection,
            expires_at: Instant::now() + timeout,
        });
    }

    /// Whether an idle connection is kept, by which the end of a body without a length is checked.
    fn keeps_idle(&self) -> bool {
        self.sent_until_close_at
            .is_some_and(|at| at.elapsed() < KEEPS_IDLE_FOR)
    }

    /// Position of the idle connection that is kept: the oldest one, which is older than most requests.
    fn kept_idle(&self) -> Option<usize> {
        let connections = self.idle.iter().map(|i| &i.connection).enumerate();
        let (oldest, _) = connections.min_by_key(|(_, c)| c.opened_at)?;
        self.keeps_idle().then_some(oldest)
    }

    /// Drops the idle connections that have expired, but for the one that is kept.
    pub(super) fn expire_idle(&mut self, now: Instant) {
        let kept = self.kept_idle();
        let mut position = 0;
        self.idle.retain(|i| {
            let is_kept = Some(position) == kept;
            position += 1;
            is_kept || i.expires_at > now
        });
    }

    /// Takes the idle connection that was used last among those that meet a condition.
    pub(super) fn take_where(
        &mut self,
        condition: impl Fn(&EndpointConnection) -> bool,
    ) -> Option<EndpointConnection> {
        let position = self.idle.iter().rposition(|i| condition(&i.connection))?;
        Some(self.idle.remove(position).connection)
    }

    /// Takes the idle connection that was used last, among those that may carry a request; if there
    /// is none, a new connection takes the place of another one.
    pub(super) fn pop_idle(&mut self, out: &OutgoingRequest<'_>) -> Option<IdleConnection> {
        let kept = self.kept_idle();
        let mut others = (0..self.idle.len()).filter(|n| Some(*n) != kept);
        let may_carry = |n: &usize| {
            let carried = &self.idle[*n].connection.carried;
            !out.needs_own_connection() && !carried.contains(out.id)
        };
        if let Some(position) = others.clone().rfind(may_carry) {
            return Some(self.idle.remove(position));
        }
        if let Some(position) = others.next() {
            self.idle.remove(position);
        }
        None
    }

    /// Whether no byte has arrived for `span` though requests are in flight, and nobody looks after
    /// the endpoint.
    pub(super) fn is_silent(&self, span: Duration) -> bool {
        let is_watched = self.in_flight > 0 && !self.is_probed;
        is_watched && self.heard_at.is_some_and(|at| at.elapsed() >= span)
    }

    /// Forgets that the endpoint did not accept connections.
    pub(super) fn forget_failure(&mut self) {
        self.reach = Reach::Direct;
        self.is_suspect = false;
        self.is_probed = false;
        self.tunnel_failures = 0;
        self.unanswered.clear();
    }

    /// Forgets the idle connections that lead to a run before the listed one.
    pub(super) fn drop_idle_of_former_runs(&mut self, endpoint: &Endpoint) {
        self.idle
            .retain(|i| !i.connection.is_of_former_run(endpoint));
    }

    /// Forgets the idle connections that do not lead through peers.
    pub(super) fn drop_direct_idle(&mut self) {
        self.idle.retain(|i| i.connection.tunnel.is_some());
    }

    /// Forgets the idle connections that lead through peers.
    pub(super) fn drop_idle_tunnels(&mut self) {
        self.idle.retain(|i| i.connection.tunnel.is_none());
    }

    /// Returns the load, adding requests sent since the last report; a request of the service
    /// takes `duration_s` seconds in the mean.
    pub(super) fn load(&self, now: Instant, duration_s: f64) -> Load {
        let is_fresh = |r: &ReceivedReport| now.duration_since(r.received_at) < LOAD_REPORT_TTL;
        let reported = self.reported.filter(is_fresh);
        Load {
            in_flight: self.in_flight,
            reported: reported.map(|r| r.requests(self.in_flight)),
            is_failing: self.is_suspect,
            limited_concurrency: self.limit.map(|l| l.concurrency(duration_s)),
        }
    }

    /// Records how long a request took.
    pub(super) fn record_duration(&mut self, elapsed: Duration) {
        let duration_s = elapsed.as_secs_f64();
        let mean = self.duration_s.unwrap_or(duration_s);
        self.duration_s = Some(mean + DURATION_WEIGHT * (duration_s - mean));
    }
}
