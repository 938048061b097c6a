//! Opens connections to endpoints, through peers where this daemon gets none itself, and finds out
//! when endpoints accept connections again.

use std::{
    io, net,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future, net::TcpStream, task};
use futures_lite::FutureExt;
use kingcupspan_core::gateway::endpoint::{Endpoint, InstanceId};

use super::{
    DEFAULT_IDLE_TIMEOUT, SendError, Upstream,
    carried::Carried,
    endpoint_state::{EndpointConnection, Reach, SentRequest},
    run_check::{self, Run},
};
use crate::{
    edge::tcp::{self, Remote},
    gateway::tunnels::TunnelGuard,
    http::conn::Conn,
};

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a peer is asked for a connection while this daemon still waits for its own.
const TUNNEL_DELAY: Duration = Duration::from_millis(100);

/// Time for which peers are not asked for a connection that they did not get; doubled each time.
const NO_TUNNEL_PAUSE: Duration = Duration::from_millis(1_000);

/// How often that time is doubled at most.
const MAX_DOUBLINGS: u32 = 2;

/// Interval between checks for silent endpoints.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a byte of an endpoint with requests in flight after which it is looked after.
const MAX_SILENCE: Duration = Duration::from_millis(350);

/// Number of other endpoints that are tried to find out whether this daemon reaches any.
const OTHERS_TRIED: usize = 2;

/// Interval between attempts to connect to an endpoint that failed.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of attempts to connect to an endpoint that failed.
const MAX_PROBES: usize = 100;

impl Upstream {
    /// Whether this daemon reaches an endpoint through peers only.
    pub fn needs_tunnel(&self, id: &InstanceId) -> bool {
        let states = self.states.lock();
        states
            .get(id)
            .is_some_and(|s| s.reach == Reach::ThroughPeers)
    }

    /// Opens a connection; a failure marks the endpoint as suspect.
    pub(super) async fn connect(
        self: &Arc<Self>,
        endpoint: &Endpoint,
    ) -> Result<EndpointConnection, SendError> {
        let is_direct = !self.needs_tunnel(&endpoint.id);
        self.note_endpoint(endpoint);
        if !is_direct && let Some(connection) = self.open_tunnel(endpoint).await {
            return Ok(connection);
        }
        let connected = match is_direct {
            true => self.connect_on_any_path(endpoint).await,
            false => self.connect_directly(endpoint).await,
        };
        connected.map_err(|e| {
            self.drop_idle(&endpoint.id);
            self.mark_suspect(endpoint, None);
            SendError::NotSent(e.to_string())
        })
    }

    /// Checks that a connection leads to the run of the endpoint that is listed; returns it, or another
    /// one that does.
    pub(super) async fn check_run(
        self: &Arc<Self>,
        mut connection: EndpointConnection,
        endpoint: &Endpoint,
    ) -> Result<EndpointConnection, SendError> {
        run_check::check(&mut connection, endpoint).await?;
        if connection.carried.may_continue() {
            return Ok(connection);
        }
        // The endpoint has closed it: one that is opened between two to the listed run leads to it.
        let mut between = self.connect(endpoint).await?;
        let mut after = self.connect(endpoint).await?;
        run_check::check(&mut after, endpoint).await?;
        between.run = after.run;
        Ok(between)
    }

    /// Remembers an endpoint that is connected to.
    fn note_endpoint(&self, endpoint: &Endpoint) {
        let mut states = self.states.lock();
        let state = states.entry(endpoint.id.clone()).or_default();
        state.endpoint = Some(endpoint.clone());
    }

    /// Opens a connection, and asks peers for one if that fails or takes long.
    async fn connect_on_any_path(
        self: &Arc<Self>,
        endpoint: &Endpoint,
    ) -> io::Result<EndpointConnection> {
        let mut direct = pin!(self.connect_directly(endpoint));
        let failure = match future::timeout(TUNNEL_DELAY, direct.as_mut()).await {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(e)) => Some(e),
            Err(_) => None,
        };
        let mut tunnel = pin!(self.open_tunnel(endpoint));
        let Some(failure) = failure else {
            let first =
                async { Err(direct.as_mut().await) }.or(async { Ok(tunnel.as_mut().await) });
            return match first.await {
                Ok(Some(connection)) => {
                    self.note_not_reached(endpoint, io::ErrorKind::TimedOut);
                    Ok(connection)
                }
                Ok(None) => direct.await,
                Err(Ok(connection)) => Ok(connection),
                Err(Err(e)) => self.or_tunnel(endpoint, e, tunnel.await),
            };
        };
        self.or_tunnel(endpoint, failure, tunnel.await)
    }

    /// Takes a tunnel in place of a connection that failed, if there is one.
    fn or_tunnel(
        self: &Arc<Self>,
        endpoint: &Endpoint,
        failure: io::Error,
        tunnel: Option<EndpointConnection>,
    ) -> io::Result<EndpointConnection> {
        let connection = tunnel.ok_or_else(|| io::Error::from(failure.kind()))?;
        self.note_not_reached(endpoint, failure.kind());
        Ok(connection)
    }

    /// Opens a connection without a peer.
    async fn connect_directly(&self, endpoint: &Endpoint) -> io::Result<EndpointConnection> {
        let connect = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.addr));
        let stream = connect
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        if let Err(e) = tcp::set_options(&stream, Remote::Endpoint) {
            log::warn!(error = e.to_string().as_str(); "cannot set socket options; using the connection without them");
        }
        Ok(new_connection(endpoint, Conn::new(stream), None))
    }

    /// Asks peers for a connection, unless they have lately not got one.
    async fn open_tunnel(&self, endpoint: &Endpoint) -> Option<EndpointConnection> {
        if self.is_tunnel_paused(&endpoint.id) {
            return None;
        }
        match self.tunnels.open(endpoint).await {
            Ok(tunnel) => Some(new_connection(endpoint, tunnel.conn, Some(tunnel.guard))),
            Err(e) => {
                log::debug!(endpoint = &*endpoint.id.0, error = e.to_string().as_str(); "no connection to the endpoint through a peer");
                let mut states = self.states.lock();
                let state = states.entry(endpoint.id.clone()).or_default();
                let pause = NO_TUNNEL_PAUSE * (1 << state.tunnel_failures.min(MAX_DOUBLINGS));
                state.tunnel_failures += 1;
                state.no_tunnel_until = Some(Instant::now() + pause);
                None
            }
        }
    }

    /// Whether peers have lately not got a connection to an endpoint.
    fn is_tunnel_paused(&self, id: &InstanceId) -> bool {
        let states = self.states.lock();
        let until = states.get(id).and_then(|s| s.no_tunnel_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Records that peers get connections to an endpoint and this daemon does not, because of
    /// `failure`.
    fn note_not_reached(self: &Arc<Self>, endpoint: &Endpoint, failure: io::ErrorKind) {
        let mut states = self.states.lock();
        let state = states.entry(endpoint.id.clone()).or_default();
        state.is_suspect = false;
        state.tunnel_failures = 0;
        if state.reach == Reach::Direct {
            state.reach = Reach::ThroughPeers;
            log::warn!(endpoint = &*endpoint.id.0, failure = failure.to_string().as_str(); "endpoint accepts connections of peers but not of this daemon; using peers");
        }
        // Where connections are refused, those that stand may live on.
        if failure == io::ErrorKind::TimedOut {
            state.drop_direct_idle();
        }
        self.start_probe(endpoint, state);
    }

    /// Records that a connection for a peer failed.
    pub fn note_failed_for_peer(self: &Arc<Self>, endpoint: &Endpoint) {
        self.mark_suspect(endpoint, None);
    }

    /// Marks an endpoint as suspect until a connection to it succeeds.
    ///
    /// `unanswered` is the request that it may have run without a complete response.
    pub(super) fn mark_suspect(
        self: &Arc<Self>,
        endpoint: &Endpoint,
        unanswered: Option<SentRequest>,
    ) {
        let mut states = self.states.lock();
        let state = states.entry(endpoint.id.clone()).or_default();
        state.unanswered.extend(unanswered);
        state.is_suspect = true;
        self.start_probe(endpoint, state);
    }

    /// Starts a probe, unless one is running.
    fn start_probe(self: &Arc<Self>, endpoint: &Endpoint, state: &mut super::EndpointState) {
        if !std::mem::replace(&mut state.is_probed, true) {
            task::spawn(Arc::clone(self).probe(endpoint.clone()));
        }
    }

    /// Tries to connect to an endpoint until it accepts a connection of this daemon or the attempts
    /// are used up.
    async fn probe(self: Arc<Self>, endpoint: Endpoint) {
        for _ in 0..MAX_PROBES {
            match self.connect_directly(&endpoint).await {
                Ok(connection) => return self.note_reached(&endpoint, connection),
                Err(e) => self.probe_through_peer(&endpoint, e.kind()).await,
            }
            task::sleep(PROBE_INTERVAL).await;
        }
        // Forget the failure: requests try the endpoint again if it is still listed.
        if let Some(state) = self.states.lock().get_mut(&endpoint.id) {
            state.forget_failure();
        }
    }

    /// Looks after endpoints that have been silent while requests are in flight, until the process
    /// exits: one that accepts no connection either gets no further requests.
    pub async fn watch_silence(self: Arc<Self>) {
        loop {
            task::sleep(WATCH_INTERVAL).await;
            for endpoint in self.silent_endpoints() {
                task::spawn(Arc::clone(&self).check_silent(endpoint));
            }
        }
    }

    /// Endpoints to look after now.
    fn silent_endpoints(&self) -> Vec<Endpoint> {
        let mut states = self.states.lock();
        let silent = states.values_mut().filter(|s| s.is_silent(MAX_SILENCE));
        let checked = silent.filter_map(|s| {
            // The next check is due after as long a silence.
            s.heard_at = Some(Instant::now());
            s.endpoint.clone()
        });
        checked.collect()
    }

    /// Tries to connect to a silent endpoint; if that fails, requests that may be repeated go
    /// elsewhere, and the others wait, since the endpoint may go on.
    async fn check_silent(self: Arc<Self>, endpoint: Endpoint) {
        let e = match self.connect_directly(&endpoint).await {
            Ok(connection) => return self.add_idle(&endpoint.id, connection),
            Err(e) => e,
        };
        log::info!(endpoint = &*endpoint.id.0, error = e.to_string().as_str(); "endpoint is silent and accepts no connection");
        self.mark_suspect(&endpoint, None);
        if let Some(state) = self.states.lock().get(&endpoint.id) {
            state.gave_up.notify(usize::MAX);
        }
    }

    /// Records that an endpoint accepts connections of this daemon.
    fn note_reached(&self, endpoint: &Endpoint, connection: EndpointConnection) {
        let mut states = self.states.lock();
        let Some(state) = states.get_mut(&endpoint.id) else {
            return;
        };
        if state.reach == Reach::ThroughPeers {
            log::info!(endpoint = &*endpoint.id.0; "endpoint accepts connections of this daemon again");
        }
        state.forget_failure();
        state.drop_idle_tunnels();
        state.add_idle(connection, DEFAULT_IDLE_TIMEOUT);
    }

    /// Finds out whether a suspect endpoint accepts connections of peers, after this daemon got
    /// none because of `failure`; if not, it has crashed.
    async fn probe_through_peer(self: &Arc<Self>, endpoint: &Endpoint, failure: io::ErrorKind) {
        if !self.is_suspect(&endpoint.id) {
            return;
        }
        if let Some(tunnel) = self.open_tunnel(endpoint).await {
            self.note_not_reached(endpoint, failure);
            // Requests that ended without a response were not ended by a crash.
            self.take_unanswered(&endpoint.id);
            return self.add_idle(&endpoint.id, tunnel);
        }
        if let Some(state) = self.states.lock().get_mut(&endpoint.id) {
            state.reach = Reach::Direct;
        }
        // A daemon that reaches no endpoint at all, and has asked others like it, knows nothing yet.
        if self.has_unanswered(&endpoint.id) && self.reaches_others(&endpoint.id).await {
            let unanswered = self.take_unanswered(&endpoint.id);
            self.report_crash(endpoint, unanswered);
        }
    }

    /// Whether an endpoint failed and has not accepted a connection since.
    fn is_suspect(&self, id: &InstanceId) -> bool {
        self.states.lock().get(id).is_some_and(|s| s.is_suspect)
    }

    /// Whether requests to an endpoint had no complete response since it last accepted a connection.
    fn has_unanswered(&self, id: &InstanceId) -> bool {
        let states = self.states.lock();
        states.get(id).is_some_and(|s| !s.unanswered.is_empty())
    }

    /// Keeps a new connection for the next request.
    fn add_idle(&self, id: &InstanceId, connection: EndpointConnection) {
        if let Some(state) = self.states.lock().get_mut(id) {
            state.add_idle(connection, DEFAULT_IDLE_TIMEOUT);
        }
    }

    /// Takes the requests without a complete response of an endpoint that nobody reaches.
    fn take_unanswered(&self, id: &InstanceId) -> Vec<SentRequest> {
        let mut states = self.states.lock();
        let state = states.get_mut(id);
        state.map_or_else(Vec::new, |s| std::mem::take(&mut s.unanswered))
    }

    /// Whether another endpoint accepts a connection of this daemon, or it knows no other one.
    async fn reaches_others(&self, id: &InstanceId) -> bool {
        let mut others: Vec<(bool, net::SocketAddr)> = {
            let states = self.states.lock();
            let others = states.iter().filter(|(other, _)| *other != id);
            let addrs = others.filter_map(|(_, s)| Some((s.is_suspect, s.endpoint.as_ref()?.addr)));
            addrs.collect()
        };
        // Those that are not suspect first.
        others.sort_unstable();
        others.truncate(OTHERS_TRIED);
        for (_, addr) in &others {
            let connect = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
            if matches!(connect.await, Ok(Ok(_))) {
                return true;
            }
        }
        others.is_empty()
    }
}

/// Returns a connection that has carried no request yet.
fn new_connection(
    endpoint: &Endpoint,
    conn: Conn,
    tunnel: Option<TunnelGuard>,
) -> EndpointConnection {
    EndpointConnection {
        conn,
        opened_for_ms: endpoint.started_at_ms,
        run: Run::default(),
        carried: Carried::default(),
        tunnel,
        opened_at: Instant::now(),
    }
}
