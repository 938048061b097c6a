//! Processes requests: admission, history, budget, endpoint selection and forwarding.

mod authenticate;
mod choose;
pub mod explain;
mod quota;
mod refuse;
mod second_copy;
mod send;
mod stream_version;

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

use async_std::future;
use futures_lite::FutureExt;
use kingcupspan_core::{
    digest::Digest,
    gateway::{
        call::{CallInfo, RequestId},
        history::Turn,
        outage,
        routing::RouteKind,
        workspace,
    },
};

pub use self::second_copy::SecondCopies;
use crate::{
    gateway::{
        allocation_homes::AllocationHomes,
        backlog::Backlog,
        blocked_requests::BlockedRequests,
        configuration::{ActiveConfiguration, Follower},
        connectivity::Connectivity,
        endpoint_limits::EndpointLimits,
        endpoints::Endpoints,
        error_response::{ErrorReason, ErrorResponse},
        exchange::{ConnectionPolicy, Exchange, Progress, StreamVersion},
        history_lookup::{self, HistoryError},
        last_engines::LastEngines,
        ledger::{Ledger, Reservation, ReserveError, TokenRequest},
        membership::Membership,
        metrics::Metrics,
        partitions::{Partitions, TurnToStore},
        peers::Peers,
        quotas::Quotas,
        rejections::Rejections,
        relay,
        shutdown::Shutdown,
        store::Store,
        tunnels::Tunnels,
        turn_storage,
        upstream::Upstream,
        workspace_use::WorkspaceUse,
    },
    http::{
        conn::{self, Conn},
        head::RequestHead,
        held_bytes::HeldBytes,
    },
};

/// Retry delay sent to the caller if the history or tokens of a turn are unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Wait of the end of an answer for the store from which on it is logged.
const LONG_HOLD: Duration = Duration::from_millis(200);

/// Maximum number of tokens that a turn generates if its caller does not specify one.
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;

/// State shared by all request handlers.
pub struct Gateway {
    /// The active configuration.
    pub configuration: Arc<ActiveConfiguration>,

    /// Keeps the active configuration up to date.
    pub configuration_follower: Arc<Follower>,

    /// The endpoints listed in the store.
    pub endpoints: Arc<Endpoints>,

    /// Turns and token allocations recorded in the store.
    pub partitions: Arc<Partitions>,

    /// Turns waiting to be written to the store.
    pub backlog: Arc<Backlog>,

    /// Allocations made by this daemon, by homes for it and as home for others.
    pub allocation_homes: Arc<AllocationHomes>,

    /// Token budgets of programs.
    pub ledger: Arc<Ledger>,

    /// The other daemons.
    pub peers: Arc<Peers>,

    /// Connectivity to the store and the other daemons.
    pub connectivity: Connectivity,

    /// Client of the platform's store.
    pub store: Arc<Store>,

    /// The list of daemons recorded in the store.
    pub membership: Arc<Membership>,

    /// Connections to the endpoints.
    pub upstream: Arc<Upstream>,

    /// Connections to endpoints through the other daemons.
    pub tunnels: Arc<Tunnels>,

    /// Rate limits that endpoints have named.
    pub endpoint_limits: EndpointLimits,

    /// Quotas of workspaces.
    pub quotas: Arc<Quotas>,

    /// Second copies of requests whose endpoint is slow to answer.
    pub second_copies: SecondCopies,

    /// Requests blocked because they crash endpoints.
    pub blocked_requests: Arc<BlockedRequests>,

    /// Engines on which programs last ran.
    pub last_engines: LastEngines,

    /// What workspaces use of this daemon.
    pub workspace_use: WorkspaceUse,

    /// Failure domain of this VM.
    pub domain: String,

    /// Metrics of this daemon.
    pub metrics: Metrics,

    /// Connections of callers and the memory that they hold.
    pub callers: Arc<HeldBytes>,

    /// Requests and connections that were refused before they were read.
    pub rejections: Rejections,

    /// State of a graceful shutdown.
    pub shutdown: Arc<Shutdown>,

    /// Number of requests placed so far; rotates the choice among equally good endpoints.
    pub rotation: AtomicU64,
}

/// Result of a request, which determines what happens to its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with this HTTP status was sent.
    Answered(u16),

    /// No response was sent yet; the caller must be sent this error.
    Failed(ErrorResponse),

    /// Only part of the response was sent, so the connection must be closed.
    Partial(ErrorReason),

    /// The caller disconnected.
    Disconnected,
}

/// Reason why a request ended without a complete response.
#[derive(Debug)]
pub enum Failure {
    /// No response was sent yet; the caller must be sent this error.
    Failed(ErrorResponse),

    /// Only part of the response was sent.
    Partial(ErrorReason),
}

impl From<ErrorResponse> for Failure {
    fn from(response: ErrorResponse) -> Self {
        Self::Failed(response)
    }
}

impl From<ErrorReason> for Failure {
    fn from(reason: ErrorReason) -> Self {
        Self::Failed(reason.into())
    }
}

impl Gateway {
    /// Prepares the processing of a completely received request: checks that it is well-formed
    /// and not blocked, and selects its route and service.
    pub fn admit(
        &self,
        head: RequestHead,
        info: CallInfo,
        body: Vec<u8>,
        received_at: Instant,
    ) -> Result<Exchange, ErrorResponse> {
        let Some(configuration) = self.configuration.get() else {
            return Err(ErrorReason::NoConfiguration.into());
        };
        let (host, path) = head.host_and_path().ok_or(ErrorReason::MalformedRequest)?;
        let route = configuration
            .route(host, path)
            .ok_or_else(|| self.refuse_without_route(&info, &configuration))?;
        let route = Arc::clone(route);
        let workspace = self.authenticate(&head, &info, &configuration, &route)?;
        let name = workspace.as_ref().map(|w| &w.name);
        let id = info.id.clone().ok_or(ErrorReason::MalformedRequest)?;
        let info = info.within(name);
        if self
            .blocked_requests
            .is_blocked(name, &head.method, &head.target, &body)
        {
            return Err(ErrorReason::CrashesEndpoints.into());
        }
        let hash = Digest::of(info.placement_key().unwrap_or(&id.0).as_bytes()).prefix_u64();
        let service = route
            .service_for(hash)
            .ok_or(ErrorReason::NoEndpoint)?
            .clone();
        let timeout = info
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        Ok(Exchange {
            received_at,
            deadline: received_at + timeout,
            connection_policy: self.connection_policy(),
            head,
            body,
            info,
            turn_id: id.within(name),
            id,
            configuration,
            workspace,
            route,
            service,
            history: Vec::new(),
            reservation: None,
            quota_token: None,
            stream_version: None,
            stream_recorded_since: None,
            stream_recording: None,
            progress: Progress::NotSent,
            last_endpoint: None,
            delivery: None,
        })
    }

    /// Returns the policy that decides whether callers' connections are closed.
    pub fn connection_policy(&self) -> ConnectionPolicy {
        ConnectionPolicy {
            shutdown: Arc::clone(&self.shutdown),
            connectivity: self.connectivity.clone(),
        }
    }

    /// Serves a request until its response has been sent, its deadline expires or its
    /// caller disconnects.
    pub async fn serve(&self, ex: &mut Exchange, caller: &mut Conn) -> Outcome {
        if let Some(workspace) = &ex.workspace {
            self.workspace_use.record_request(workspace);
        }
        let stream = caller.stream().clone();
        let remaining = ex.remaining_time();
        // A request with side effects is completed even if its caller has disconnected.
        let cancels_on_disconnect = ex.route.kind != RouteKind::Unsafe;
        let disconnected = async {
            match cancels_on_disconnect {
                true => conn::wait_for_close(&stream).await,
                false => futures_lite::future::pending().await,
            }
            None
        };
        // Each of the futures around this one holds it as a whole.
        let work = Box::pin(async { Some(self.process(ex, caller).await) });
        let result = future::timeout(remaining, work.or(disconnected)).await;
        self.return_quota(ex);
        match result {
            Ok(Some(Ok(status))) => Outcome::Answered(status),
            Ok(Some(Err(Failure::Failed(response)))) => Outcome::Failed(response),
            Ok(Some(Err(Failure::Partial(reason)))) => Outcome::Partial(reason),
            Ok(None) => Outcome::Disconnected,
            Err(_) => match ex.progress {
                Progress::NotSent => Outcome::Failed(ErrorReason::TimeoutBeforeSend.into()),
                Progress::Sent => Outcome::Failed(ErrorReason::TimeoutAfterSend.into()),
                Progress::Responding => Outcome::Partial(ErrorReason::TimeoutAfterSend),
            },
        }
    }

    /// Processes a request: runs it on an endpoint and forwards the response, retrying while
    /// that is safe.
    async fn process(&self, ex: &mut Exchange, caller: &mut Conn) -> Result<u16, Failure> {
        self.refuse_late_in_shutdown(ex)?;
        self.refuse_if_cut_off(ex)?;
        self.refuse_in_outage(ex)?;
        self.reserve_quota(ex).await?;
        self.admit_program(ex)?;
        self.load_history(ex).await?;
        let kept = caller.kept() + ex.prompt_bytes();
        caller
            .try_keep(kept)
            .map_err(|_| retry_later(ErrorReason::MemoryShort))?;
        self.determine_version(ex).await?;
        self.reserve_tokens(ex).await?;
        let mut possible_runs = 0;
        loop {
            let (response, request_guard) = self.send(ex, &mut possible_runs).await?;
            ex.delivery = Some(response.delivery());
            if ex.is_body_done(possible_runs) {
                let body = std::mem::take(&mut ex.body);
                // Returning bytes always succeeds.
                let _ = caller.try_keep(caller.kept().saturating_sub(body.capacity()));
            }
            let relayed = match ex.route.kind {
                RouteKind::Streaming => relay::event_stream(ex, caller, response).await,
                RouteKind::Safe | RouteKind::Unsafe => relay::buffered(ex, caller, response).await,
            };
            drop(request_guard);
            match relayed {
                Ok(response) => return self.finish(ex, caller, response).await,
                Err(relay::Error::EndpointFailed) if ex.can_retry(possible_runs) => {}
                Err(relay::Error::EndpointFailed) => return Err(ErrorReason::NoOutcome.into()),
                Err(relay::Error::Partial) => return Err(Failure::Partial(ErrorReason::NoOutcome)),
            }
        }
    }

    /// Loads the earlier turns that this turn continues.
    async fn load_history(&self, ex: &mut Exchange) -> Result<(), ErrorResponse> {
        let program = ex.info.program.as_ref().filter(|_| ex.should_store_turn());
        let Some(previous) = program.and_then(|p| p.previous.clone()) else {
            return Ok(());
        };
        match history_lookup::load_chain(&self.partitions, &self.peers, &previous).await {
            Ok(chain) => {
                ex.history = chain;
                Ok(())
            }
            Err(HistoryError::Unknown(missing)) => {
                let missing = workspace::readable(&missing.0);
                log::warn!(request = &*ex.id.0, missing = &*missing; "previous turn does not exist");
                Err(self.refuse_without_turn(ex))
            }
            Err(e) => {
                log::warn!(request = &*ex.id.0, error = e.to_string().as_str(); "cannot load the history of the turn");
                let reason = match e {
                    HistoryError::StoreUnavailable(_) => ErrorReason::StoreUnreachable,
                    _ => ErrorReason::TurnUnavailable,
                };
                Err(retry_later(reason))
            }
        }
    }

    /// Reserves the tokens that a turn may generate.
    async fn reserve_tokens(&self, ex: &mut Exchange) -> Result<(), ErrorResponse> {
        let program = ex.info.program.as_ref().filter(|_| ex.route.has_turns());
        let Some((program, budget)) = program.and_then(|p| Some((p, p.budget?))) else {
            self.record_stream(ex);
            return Ok(());
        };
        let max_tokens = ex
            .info
            .usage
            .map_or(DEFAULT_OUTPUT_TOKENS, |u| u.max_output);
        let token_request = TokenRequest {
            program: program.program.clone(),
            budget,
            max_tokens,
            deadline: ex.preparation_deadline(),
            stream: match &ex.stream_version {
                Some(StreamVersion::Begun(record)) => Some(record.clone()),
                _ => None,
            },
        };
        let e = match self.ledger.reserve(&token_request).await {
            Ok(reservation) => {
                ex.stream_recorded_since = Some(reservation.settlement().id.made_at);
                ex.reservation = Some(reservation);
                return Ok(());
            }
            Err(e) => e,
        };
        let reason = match e {
            ReserveError::Exhausted(_) => ErrorReason::BudgetExhausted,
            ReserveError::AllReserved(_) => ErrorReason::BudgetReserved,
            ReserveError::StoreUnavailable(_) => ErrorReason::StoreUnreachable,
        };
        log::info!(request = &*ex.id.0, program = &*workspace::readable(&program.program.0), budget, most = token_request.max_tokens, error = e.to_string().as_str(); "cannot reserve tokens for the turn");
        Err(match reason {
            ErrorReason::BudgetExhausted => reason.into(),
            ErrorReason::StoreUnreachable => ErrorResponse {
                reason,
                retry_after: Some(outage::retry_after(ex.remaining_time())),
            },
            _ => retry_later(reason),
        })
    }

    /// Stores the turn and the tokens that it used, then sends the final bytes of the response.
    async fn finish(
        &self,
        ex: &mut Exchange,
        caller: &mut Conn,
        response: relay::RelayedResponse,
    ) -> Result<u16, Failure> {
        let is_success = (200..300).contains(&response.status);
        let reservation = ex.reservation.take_if(|_| is_success);
        if response.turn.is_some() || reservation.is_some() {
            let started_at = Instant::now();
            self.store_outcome(&ex.turn_id, response.turn, reservation)
                .await;
            let held = started_at.elapsed();
            self.metrics.held_ends_s.observe(held.as_secs_f64());
            if held > LONG_HOLD {
                log::info!(request = &*ex.id.0, ms = held.as_millis() as u64; "end of the answer waited for the store");
            }
        }
        match relay::end_body(ex, caller, &response.final_bytes).await {
            Ok(()) => Ok(response.status),
            Err(_) => Err(Failure::Partial(ErrorReason::NoOutcome)),
        }
    }

    /// Stores a turn and the tokens that it used; returns once its answer may end.
    async fn store_outcome(
        &self,
        id: &RequestId,
        turn: Option<Turn>,
        reservation: Option<Reservation>,
    ) {
        if let Some(turn) = turn {
            let turn = TurnToStore {
                id: id.clone(),
                turn: Arc::new(turn),
                settlement: reservation.as_ref().map(Reservation::settlement),
            };
            return turn_storage::store_turn(&self.backlog, &self.partitions, turn).await;
        }
        let is_store_away = self.partitions.store_unreachable_for().is_some();
        if let Some(reservation) = reservation.filter(|_| is_store_away) {
            // If all daemons ended before the store returns, nobody would know the use.
            reservation.settle().await;
        }
    }
}

/// Creates an error response to a request that may succeed when retried shortly.
fn retry_later(reason: ErrorReason) -> ErrorResponse {
    ErrorResponse {
        reason,
        retry_after: Some(STORE_RETRY_AFTER),
    }
}
