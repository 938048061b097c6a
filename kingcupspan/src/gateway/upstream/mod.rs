//! Sends requests to endpoints and manages the connections to them.

mod carried;
mod connect;
mod end_check;
mod endpoint_state;
mod health;
mod request;
mod response;
mod run_check;

use std::{
    collections::HashMap,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use event_listener::EventListener;
use futures_lite::{FutureExt, future};
use kingcupspan_core::gateway::{
    crash_tracker::Crash,
    endpoint::{Endpoint, InstanceId},
    expected_finish::Prospect,
    placement::{Candidate, Load},
    rate_limit::RequestRate,
    routing::ServiceName,
};
use kingcupspan_platform::headers::{self, HeaderLookup, ResponseInfo};
use parking_lot::Mutex;
use prometheus::IntCounterVec;

use self::{
    endpoint_state::{EndpointConnection, EndpointState, IdleConnection, Reach, SentRequest},
    health::{Attempt, Health},
    run_check::Run,
};
pub use self::{
    request::OutgoingRequest,
    response::{Delivery, EndpointResponse},
};
use crate::{
    gateway::tunnels::Tunnels,
    http::{
        conn::{Conn, ReadError},
        framing::Framing,
        head::{Headers, ResponseHead},
    },
};

/// Time that an idle connection is kept if the endpoint does not advertise a timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long before the endpoint's advertised timeout an idle connection is dropped.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// Assumed time that a request takes before one has ended, in seconds.
const DEFAULT_DURATION_S: f64 = 0.2;

/// Largest request body that is copied to be sent together with its head, in bytes.
const JOINED_BODY_MAX_BYTES: usize = 16 * 1024;

/// Largest body of a late response to another request that is skipped, in bytes.
const UNRELATED_BODY_MAX_BYTES: usize = 1024 * 1024;

/// Error returned when an endpoint sent no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The request was not sent.
    #[error("request not sent: {0}")]
    NotSent(String),

    /// The request was not sent, since the endpoint was started again after it was listed.
    #[error("request not sent: the endpoint was started again")]
    Replaced,

    /// The request was sent and may have run, but no response was received.
    #[error("no response received: {0}")]
    Lost(String),
}

/// What is known of each endpoint.
type States = HashMap<InstanceId, EndpointState>;

/// Connections to all endpoints and their load.
pub struct Upstream {
    states: Mutex<States>,

    /// How requests end at the endpoints.
    pub health: Arc<Health>,

    /// Receives reports of crashed endpoints.
    crashes: async_channel::Sender<Vec<Crash>>,

    /// Connections through peers.
    tunnels: Arc<Tunnels>,

    /// Bodies that ended with their connection, by what tells that they are whole.
    pub bodies_until_close: IntCounterVec,
}

/// Counts a request as in flight at an endpoint until the guard is dropped.
pub struct RequestGuard {
    upstream: Arc<Upstream>,
    id: InstanceId,
    sent_at: Instant,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(state) = self.upstream.states.lock().get_mut(&self.id) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.record_duration(self.sent_at.elapsed());
        }
    }
}

impl Upstream {
    /// Creates a state without connections; endpoint crashes are sent to `crashes`.
    pub fn new(crashes: async_channel::Sender<Vec<Crash>>, tunnels: Arc<Tunnels>) -> Self {
        Self {
            states: Mutex::default(),
            health: Arc::new(Health::new()),
            crashes,
            tunnels,
            bodies_until_close: end_check::counter(),
        }
    }

    /// Combines the endpoints of a service with what is known of their load.
    pub fn candidates(&self, service: &ServiceName, listed: Vec<Arc<Endpoint>>) -> Vec<Candidate> {
        let prospects = self.prospects(service, listed).into_iter();
        prospects.map(|p| p.candidate).collect()
    }

    /// Combines the endpoints of a service with what is known of their load, and with what they
    /// have reported.
    pub fn prospects(&self, service: &ServiceName, listed: Vec<Arc<Endpoint>>) -> Vec<Prospect> {
        let now = Instant::now();
        let avoided = self.health.avoided(service, &listed);
        let states = self.states.lock();
        let duration_s = mean_duration_s(&states, &listed);
        let prospect = |endpoint: Arc<Endpoint>| {
            let state = states.get(&endpoint.id);
            let mut load = state.map_or_else(Load::default, |s| s.load(now, duration_s));
            load.is_failing |= avoided.contains(&endpoint.id);
            Prospect {
                observed: state.and_then(|s| s.observation(now)),
                candidate: Candidate { endpoint, load },
            }
        };
        listed.into_iter().map(prospect).collect()
    }

    /// Takes an avoided endpoint of a service that should get a single request now.
    pub fn take_trial(
        &self,
        service: &ServiceName,
        prospects: &[Prospect],
        is_repeatable: bool,
    ) -> Option<InstanceId> {
        let ids = prospects.iter().map(|p| &p.candidate.endpoint.id);
        let accepts_connections = |id: &&InstanceId| {
            let states = self.states.lock();
            !states.get(id).is_some_and(|s| s.is_suspect)
        };
        let ids = ids.filter(accepts_connections);
        self.health.take_trial(service, ids, is_repeatable)
    }

    /// Counts a request as in flight at an endpoint until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>, id: &InstanceId) -> RequestGuard {
        let mut states = self.states.lock();
        let state = states.entry(id.clone()).or_default();
        if state.in_flight == 0 {
            state.heard_at = Some(Instant::now());
        }
        state.in_flight += 1;
        RequestGuard {
            upstream: Arc::clone(self),
            id: id.clone(),
            sent_at: Instant::now(),
        }
    }

    /// Rate limit that an endpoint has named in its last response to this daemon.
    pub fn limit(&self, id: &InstanceId) -> Option<RequestRate> {
        self.states.lock().get(id).and_then(|s| s.limit)
    }

    /// Rate limits of all endpoints that have named one in their last response.
    pub fn limits(&self) -> Vec<(InstanceId, RequestRate)> {
        let states = self.states.lock();
        let limited = states.iter().filter_map(|(id, s)| Some((id, s.limit?)));
        limited.map(|(id, limit)| (id.clone(), limit)).collect()
    }

    /// Removes expired idle connections, and the state of endpoints that are not in use; rate
    /// limits are kept for those that are listed.
    pub fn sweep(&self, is_listed: impl Fn(&InstanceId) -> bool) {
        let now = Instant::now();
        self.health.expire(&is_listed);
        self.states.lock().retain(|id, state| {
            state.expire_idle(now);
            let is_in_use = state.in_flight > 0 || !state.idle.is_empty();
            is_in_use || state.is_probed || (state.limit.is_some() && is_listed(id))
        });
    }

    /// Sends a request and waits for the response head.
    pub async fn send(
        self: &Arc<Self>,
        endpoint: &Endpoint,
        out: &OutgoingRequest<'_>,
    ) -> Result<EndpointResponse, SendError> {
        let remaining = out.deadline.saturating_duration_since(Instant::now());
        let mut attempt = Attempt::new(&self.health, endpoint, out.timed_as, remaining);
        let mut connection = match self.take_idle(endpoint, out).await {
            Some(connection) => connection,
            None => self
                .connect(endpoint)
                .await
                .inspect_err(|_| attempt.fail())?,
        };
        if out.needs_listed_run {
            let checked = self.check_run(connection, endpoint).await;
            connection = checked.inspect_err(|e| {
                attempt.fail();
                self.note_failed_check(endpoint, e);
            })?;
        }
        connection.carried.add(out.id);
        if out.needs_own_connection() {
            connection.carried.set_last();
        }
        let conn = &mut connection.conn;
        let remaining = out.deadline.saturating_duration_since(Instant::now());
        let request = out.encode(endpoint, remaining);
        let gave_up = self.listen_for_giving_up(&endpoint.id);
        let sent_at = Instant::now();
        let response = async {
            conn.write(&request).await?;
            if out.body.len() > JOINED_BODY_MAX_BYTES {
                conn.write(out.body).await?;
            }
            read_response_head(conn, out).await
        };
        let response = response.or(async {
            match gave_up.filter(|_| out.is_repeatable) {
                Some(gave_up) => gave_up.await,
                None => future::pending().await,
            }
            Err(ReadError::Io(io::ErrorKind::TimedOut.into()))
        });
        let head = match response.await {
            Ok(head) => head,
            Err(e) => {
                self.drop_idle(&endpoint.id);
                self.mark_suspect(endpoint, Some(out.sent_request()));
                attempt.fail();
                return Err(SendError::Lost(e.to_string()));
            }
        };
        self.note_heard(&endpoint.id);
        if head.framing == Framing::UntilClose {
            self.note_until_close(&endpoint.id);
        }
        let info = headers::response_info(&head.headers, head.status);
        if info.id.is_none() {
            let is_success = (200..300).contains(&head.status);
            let may_be_report = connection.run != Run::Unchecked && !is_success;
            if connection.carried.is_shared() || may_be_report {
                // An endpoint that has begun to omit ids does so on its other connections as well.
                self.drop_idle(&endpoint.id);
                attempt.fail();
                return Err(SendError::Lost("the response names no request".to_owned()));
            }
            connection.carried.set_last();
        }
        self.record_load(&endpoint.id, &info);
        self.record_limit(&endpoint.id, &info);
        attempt.note_response();
        let mut response = EndpointResponse {
            head,
            info,
            connection,
            upstream: Arc::clone(self),
            endpoint: endpoint.clone(),
            sent: out.sent_request(),
            sent_at,
            attempt,
        };
        if !response.is_trusted() {
            response.note_failure();
        }
        Ok(response)
    }

    /// Listens for the moment from which on requests that may be repeated do not wait for an
    /// endpoint.
    fn listen_for_giving_up(&self, id: &InstanceId) -> Option<EventListener> {
        let states = self.states.lock();
        states.get(id).map(|s| s.gave_up.listen())
    }

    /// Records that bytes have arrived from an endpoint.
    fn note_heard(&self, id: &InstanceId) {
        if let Some(state) = self.states.lock().get_mut(id) {
            state.heard_at = Some(Instant::now());
        }
    }

    /// Records that an endpoint sends a body without a length.
    fn note_until_close(&self, id: &InstanceId) {
        if let Some(state) = self.states.lock().get_mut(id) {
            state.sent_until_close_at = Some(Instant::now());
        }
    }

    /// Takes an idle connection that is still usable and may carry a request.
    async fn take_idle(
        &self,
        endpoint: &Endpoint,
        out: &OutgoingRequest<'_>,
    ) -> Option<EndpointConnection> {
        loop {
            let idle = self.pop_idle(endpoint, out)?;
            if idle.expires_at > Instant::now() && idle.connection.conn.is_idle().await {
                return Some(idle.connection);
            }
        }
    }

    /// Takes an idle connection that does not lead to a former run of an endpoint.
    fn pop_idle(&self, endpoint: &Endpoint, out: &OutgoingRequest<'_>) -> Option<IdleConnection> {
        let mut states = self.states.lock();
        let state = states.get_mut(&endpoint.id)?;
        state.drop_idle_of_former_runs(endpoint);
        state.pop_idle(out)
    }

    /// Drops the idle connections to an endpoint that turned out to be another run than the listed
    /// one: they were opened for the listed run.
    fn note_failed_check(&self, endpoint: &Endpoint, e: &SendError) {
        if matches!(e, SendError::Replaced) {
            self.drop_idle(&endpoint.id);
        }
    }

    /// Drops all idle connections to an endpoint after one of its connections failed, since
    /// the others are likely broken as well.
    fn drop_idle(&self, id: &InstanceId) {
        if let Some(state) = self.states.lock().get_mut(id) {
            state.idle.clear();
        }
    }

    /// Reports that an endpoint crashed while running the given requests.
    ///
    /// An endpoint that accepts no connection right after requests to it failed, also none of
    /// peers, is considered crashed.
    fn report_crash(&self, endpoint: &Endpoint, unanswered: Vec<SentRequest>) {
        let crash = |sent: SentRequest| Crash {
            request: sent.fingerprint,
            endpoint: endpoint.id.clone(),
            attempt: sent.attempt,
        };
        let crashes: Vec<Crash> = unanswered.into_iter().map(crash).collect();
        if !crashes.is_empty() {
            // The receiver exists until the process ends.
            let _ = self.crashes.try_send(crashes);
        }
    }

    /// Records the load reported in a response.
    fn record_load(&self, id: &InstanceId, info: &ResponseInfo) {
        let mut states = self.states.lock();
        let Some(state) = states.get_mut(id) else {
            return;
        };
        if let Some(report) = info.load {
            state.record_report(report);
        }
    }

    /// Records the rate limit named in a response; a response without one ends the limit.
    fn record_limit(&self, id: &InstanceId, info: &ResponseInfo) {
        let limit = match &info.limit {
            Some(Ok(limit)) => Some(*limit).filter(|l| !l.is_unlimited()),
            Some(Err(_)) | None => None,
        };
        let mut states = self.states.lock();
        let Some(state) = states.get_mut(id) else {
            return;
        };
        let former = std::mem::replace(&mut state.limit, limit);
        match (former, limit) {
            (None, Some(limit)) => {
                log::info!(endpoint = &*id.0, per_s = limit.per_s(); "endpoint limits the rate of requests; keeping to it with the other daemons");
            }
            (Some(_), None) => {
                let value = info
                    .limit
                    .as_ref()
                    .map_or("none", |l| l.as_ref().map_or("invalid", |_| "huge"));
                log::info!(endpoint = &*id.0, value; "endpoint no longer limits the rate of requests");
            }
            _ => {}
        }
        if let Some(Err(e)) = &info.limit {
            log::debug!(endpoint = &*id.0, error = e.to_string().as_str(); "cannot read the rate limit of the endpoint; treating it as none");
        }
    }

    /// Returns a connection to the idle connections after a complete response.
    fn return_connection(
        &self,
        id: &InstanceId,
        mut connection: EndpointConnection,
        headers: &Headers,
    ) {
        connection.conn.release_buffer();
        let advertised = headers.get("keep-alive").and_then(keep_alive_timeout);
        let timeout = advertised.map_or(DEFAULT_IDLE_TIMEOUT, |t| t.saturating_sub(IDLE_MARGIN));
        let mut states = self.states.lock();
        let Some(state) = states.get_mut(id) else {
            return;
        };
        let timeout = match &connection.tunnel {
            None => timeout,
            // A peer passes bytes on only as long as this daemon needs it.
            Some(_) if state.reach == Reach::Direct => return,
            Some(tunnel) => timeout.min(tunnel.remaining_lifetime()),
        };
        state.add_idle(connection, timeout);
    }
}

/// Mean time that a request takes at the endpoints, in seconds; those without a rate limit count,
/// if there are any, since they show how long it takes where the load goes.
fn mean_duration_s(states: &States, endpoints: &[Arc<Endpoint>]) -> f64 {
    let known: Vec<(bool, f64)> = endpoints
        .iter()
        .filter_map(|e| states.get(&e.id))
        .filter_map(|s| Some((s.limit.is_some(), s.duration_s?)))
        .collect();
    let is_any_unlimited = known.iter().any(|(is_limited, _)| !is_limited);
    let counted = known
        .iter()
        .filter(|(is_limited, _)| !(is_any_unlimited && *is_limited));
    let (sum, count) = counted.fold((0.0, 0.0), |(sum, count), (_, duration_s)| {
        (sum + duration_s, count + 1.0)
    });
    match count > 0.0 {
        true => sum / count,
        false => DEFAULT_DURATION_S,
    }
}

/// Reads the response head for this request, skipping late responses to other requests.
async fn read_response_head(
    conn: &mut Conn,
    out: &OutgoingRequest<'_>,
) -> Result<ResponseHead, ReadError> {
    loop {
        let mut head = conn.response_head(out.method).await?;
        let info = headers::response_info(&head.headers, head.status);
        let is_unrelated = info.id.as_deref().is_some_and(|id| id != &*out.id.0);
        if !is_unrelated {
            return Ok(head);
        }
        if !head.is_keep_alive || head.framing == Framing::UntilClose {
            return Err(ReadError::UnexpectedEof);
        }
        conn.body(&mut head.framing, UNRELATED_BODY_MAX_BYTES)
            .await?;
    }
}

/// Parses the timeout of a `Keep-Alive` header.
fn keep_alive_timeout(value: &str) -> Option<Duration> {
    let parse_timeout = |p: &str| p.trim().strip_prefix("timeout=").map(str::to_owned);
    let seconds = value.split(',').find_map(parse_timeout)?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
