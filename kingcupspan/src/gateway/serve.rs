//! The filters that a request passes, and its way to an endpoint.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::future;
use futures_lite::FutureExt;
use kingcupspan_core::{
    digest::Digest,
    gateway::{
        admission,
        call::CallInfo,
        crash_tracker::Fingerprint,
        endpoint::{Endpoint, InstanceId},
        placement,
        routing::RouteKind,
    },
};

use crate::{
    gateway::{
        answer::{Reason, Refusal},
        backlog::Backlog,
        configuration::Current,
        connectivity::Connectivity,
        endpoints::Endpoints,
        exchange::{Exchange, Leaving, Progress},
        history_lookup::{self, HistoryError},
        last_engines::LastEngines,
        ledger::{Ledger, ReserveError, TokenRequest},
        membership::Membership,
        metrics::Metrics,
        partitions::Partitions,
        peers::Peers,
        relay,
        stop::Stop,
        store::Store,
        strikes::Barred,
        turn_storage,
        upstream::{Lease, Outgoing, Reply, SendError, Upstream},
    },
    http::{
        conn::{self, Conn},
        head::RequestHead,
    },
};

/// Endpoints that are asked for one request while each says that it did not run it.
const ASKED_MAX: usize = 3;

/// When a caller should come back after every endpoint was full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(150);

/// When a caller should come back whose turn lacks its history or tokens.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Tokens that a turn may generate if its caller does not say.
const OUTPUT_TOKENS_DEFAULT: u64 = 1_024;

/// Everything that serves requests.
pub struct Service {
    /// The configuration in force.
    pub configuration: Arc<Current>,

    /// The endpoints.
    pub endpoints: Arc<Endpoints>,

    /// What is kept in the store.
    pub partitions: Arc<Partitions>,

    /// Turns on their way to the store.
    pub backlog: Arc<Backlog>,

    /// Budgets of programs.
    pub ledger: Arc<Ledger>,

    /// The other daemons.
    pub peers: Arc<Peers>,

    /// Whether the store and the other daemons are reached.
    pub reach: Connectivity,

    /// The platform's store.
    pub store: Arc<Store>,

    /// The list of daemons.
    pub members: Arc<Membership>,

    /// Connections to endpoints.
    pub upstream: Arc<Upstream>,

    /// Requests that crash endpoints.
    pub barred: Arc<Barred>,

    /// Where programs ran last.
    pub last_engines: LastEngines,

    /// The failure domain of this VM.
    pub domain: String,

    /// What is counted.
    pub metrics: Metrics,

    /// A planned stop.
    pub stop: Arc<Stop>,

    /// Counts requests, to spread ties.
    pub spread: AtomicU64,
}

/// How a request ended, for its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Answered whole.
    Answered(u16),

    /// This daemon answers it itself.
    Refused(Refusal),

    /// The answer was cut: the connection must be closed.
    Cut(Reason),

    /// The caller has gone.
    Gone,
}

/// Why the work on a request ended without a whole answer.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent to the caller yet.
    Refused(Refusal),

    /// Part of an answer was sent.
    Cut(Reason),
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<Reason> for Failure {
    fn from(reason: Reason) -> Self {
        Self::Refused(reason.into())
    }
}

impl Service {
    /// Finds the route of a request that was read whole.
    pub fn admit(
        &self,
        head: RequestHead,
        info: CallInfo,
        body: Vec<u8>,
        arrived: Instant,
    ) -> Result<Exchange, Refusal> {
        let Some(configuration) = self.configuration.get() else {
            return Err(Reason::NoConfiguration.into());
        };
        let (host, path) = head.host_and_path().ok_or(Reason::Malformed)?;
        let route = configuration.route(host, path).ok_or(Reason::NoRoute)?;
        let route = Arc::clone(route);
        let id = info.id.clone().ok_or(Reason::Malformed)?;
        if self.barred.bars(&head.method, &head.target, &body) {
            return Err(Reason::Crashes.into());
        }
        let hash = Digest::of(info.placement_key().unwrap_or(&id.0).as_bytes()).prefix_u64();
        let service = route.service_for(hash).ok_or(Reason::NoEndpoint)?.clone();
        let wait = info
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        Ok(Exchange {
            arrived,
            deadline: arrived + wait,
            leaving: self.leaving(),
            head,
            body,
            info,
            id,
            configuration,
            route,
            service,
            history: Vec::new(),
            reservation: None,
            progress: Progress::Waiting,
            endpoint: None,
        })
    }

    /// Why callers should come to another daemon.
    pub fn leaving(&self) -> Leaving {
        Leaving {
            stop: Arc::clone(&self.stop),
            reach: self.reach.clone(),
        }
    }

    /// Serves a request until its answer has gone out, its deadline has come or
    /// its caller has left.
    pub async fn serve(&self, ex: &mut Exchange, caller: &mut Conn) -> Ended {
        let stream = caller.stream().clone();
        let left = ex.left();
        // An action that was begun is worth finishing even if nobody waits.
        let watches = ex.route.kind != RouteKind::Unsafe;
        let gone = async {
            match watches {
                true => conn::closed(&stream).await,
                false => futures_lite::future::pending().await,
            }
            None
        };
        let work = async { Some(self.work(ex, caller).await) };
        match future::timeout(left, work.or(gone)).await {
            Ok(Some(Ok(status))) => Ended::Answered(status),
            Ok(Some(Err(Failure::Refused(refusal)))) => Ended::Refused(refusal),
            Ok(Some(Err(Failure::Cut(reason)))) => Ended::Cut(reason),
            Ok(None) => Ended::Gone,
            Err(_) => match ex.progress {
                Progress::Waiting => Ended::Refused(Reason::TimeoutUnsent.into()),
                Progress::Sent => Ended::Refused(Reason::Timeout.into()),
                Progress::Answering => Ended::Cut(Reason::Timeout),
            },
        }
    }

    async fn work(&self, ex: &mut Exchange, caller: &mut Conn) -> Result<u16, Failure> {
        self.admit_program(ex)?;
        self.recall(ex).await?;
        self.reserve(ex).await?;
        let mut runs = 0;
        loop {
            let (reply, lease) = self.send(ex, &mut runs).await?;
            let relayed = match ex.route.kind {
                RouteKind::Streaming => relay::stream(ex, caller, reply).await,
                RouteKind::Safe | RouteKind::Unsafe => relay::whole(ex, caller, reply).await,
            };
            drop(lease);
            match relayed {
                Ok(end) => return self.end(ex, caller, end).await,
                Err(relay::Failure::Lost) if ex.can_repeat(runs) => {}
                Err(relay::Failure::Lost) => return Err(Reason::Lost.into()),
                Err(relay::Failure::Cut) => return Err(Failure::Cut(Reason::Lost)),
            }
        }
    }

    /// Refuses a program that begins while the engines have too much to do.
    fn admit_program(&self, ex: &Exchange) -> Result<(), Refusal> {
        let Some(program) = ex.info.program.as_ref().filter(|_| ex.route.has_turns()) else {
            return Ok(());
        };
        let is_known = |key| self.last_engines.get(key).is_some();
        if program.previous.is_some() || ex.info.placement_key().is_some_and(is_known) {
            return Ok(());
        }
        let engines = self.upstream.candidates(self.endpoints.ready(&ex.service));
        let Some(pressure) = admission::utilization(&engines) else {
            return Ok(());
        };
        if admission::should_admit(pressure, ex.route.priority, rand::random()) {
            return Ok(());
        }
        log::info!(request = &*ex.id.0, program = &*program.program.0, rank = ex.route.priority, pressure; "program refused");
        Err(Refusal {
            reason: Reason::Overloaded,
            retry_after: Some(admission::retry_after(rand::random())),
        })
    }

    /// Finds the turns before this one.
    async fn recall(&self, ex: &mut Exchange) -> Result<(), Refusal> {
        let program = ex.info.program.as_ref().filter(|_| ex.is_kept_turn());
        let Some(previous) = program.and_then(|p| p.previous.clone()) else {
            return Ok(());
        };
        let retention = ex.route.retention.unwrap_or_default();
        match history_lookup::load_chain(&self.partitions, &self.peers, &previous, retention).await
        {
            Ok(chain) => {
                ex.history = chain;
                Ok(())
            }
            Err(HistoryError::Unknown(missing)) => {
                log::warn!(request = &*ex.id.0, missing = &*missing.0; "no such turn");
                Err(Reason::NoTurn.into())
            }
            Err(e) => {
                log::warn!(request = &*ex.id.0, error = e.to_string().as_str(); "history unknown");
                let reason = match e {
                    HistoryError::StoreUnavailable(_) => Reason::StoreAway,
                    _ => Reason::TurnNotFound,
                };
                Err(come_back(reason))
            }
        }
    }

    /// Reserves the tokens that a turn may generate.
    async fn reserve(&self, ex: &mut Exchange) -> Result<(), Refusal> {
        let Some(program) = ex.info.program.as_ref().filter(|_| ex.route.has_turns()) else {
            return Ok(());
        };
        let Some(budget) = program.budget else {
            return Ok(());
        };
        let max_tokens = ex
            .info
            .usage
            .map_or(OUTPUT_TOKENS_DEFAULT, |u| u.max_output);
        let request = TokenRequest {
            program: &program.program,
            budget,
            max_tokens,
            deadline: ex.waits_until(),
            retention: ex.route.retention.unwrap_or_default(),
        };
        let e = match self.ledger.reserve(request).await {
            Ok(reservation) => {
                ex.reservation = Some(reservation);
                return Ok(());
            }
            Err(e) => e,
        };
        let reason = match e {
            ReserveError::Exhausted(_) => Reason::BudgetSpent,
            ReserveError::AllReserved(_) => Reason::BudgetBusy,
            ReserveError::StoreUnavailable(_) => Reason::StoreAway,
        };
        log::info!(request = &*ex.id.0, program = &*program.program.0, budget, most = request.max_tokens, error:? = e; "no tokens");
        Err(match reason {
            Reason::BudgetSpent => reason.into(),
            _ => come_back(reason),
        })
    }

    /// Sends a request until an endpoint answers.
    async fn send(&self, ex: &mut Exchange, runs: &mut u32) -> Result<(Reply, Lease), Failure> {
        let body = ex.prompt();
        let mut tried: Vec<InstanceId> = Vec::new();
        loop {
            let endpoint = self.place(ex, &tried).ok_or(match *runs {
                0 => Reason::NoEndpoint,
                // It may have run, so nothing that promises otherwise is said.
                _ => Reason::Lost,
            })?;
            let lease = self.upstream.lease(&endpoint.id);
            let out = Outgoing {
                method: &ex.head.method,
                target: &ex.head.target,
                headers: &ex.head.headers,
                id: &ex.id,
                fingerprint: Fingerprint::of(&ex.head.method, &ex.head.target, &ex.body),
                body: &body,
                deadline: ex.deadline,
            };
            ex.endpoint = Some(endpoint.id.clone());
            if let Some(key) = ex.info.placement_key() {
                self.last_engines.note(key, &endpoint.id);
            }
            ex.progress = Progress::Sent;
            let sent = self.upstream.send(&endpoint, &out).await;
            tried.push(endpoint.id.clone());
            self.metrics
                .sends
                .with_label_values(&[outcome(&sent)])
                .inc();
            match sent {
                Ok(reply) if reply.info.not_executed => {
                    log::info!(request = &*ex.id.0, endpoint = &*endpoint.id.0, status = reply.head.status; "endpoint refused");
                    relay::discard(reply).await;
                }
                Ok(reply) if !reply.is_credible() => {
                    log::warn!(request = &*ex.id.0, endpoint = &*endpoint.id.0; "unsigned answer");
                    *runs += 1;
                    if !ex.can_repeat(*runs) {
                        return Err(Reason::Lost.into());
                    }
                }
                Ok(reply) => {
                    *runs += 1;
                    return Ok((reply, lease));
                }
                Err(SendError::NotSent(why)) => {
                    log::warn!(request = &*ex.id.0, endpoint = &*endpoint.id.0, why = why.as_str(); "endpoint not reached");
                }
                Err(SendError::Lost(why)) => {
                    log::warn!(request = &*ex.id.0, endpoint = &*endpoint.id.0, why = why.as_str(); "answer lost");
                    *runs += 1;
                    if !ex.can_repeat(*runs) {
                        return Err(Reason::Lost.into());
                    }
                }
            }
            if *runs == 0 {
                ex.progress = Progress::Waiting;
            }
            if tried.len() >= ASKED_MAX {
                return Err(match *runs {
                    0 => Refusal {
                        reason: Reason::Full,
                        retry_after: Some(FULL_RETRY_AFTER),
                    }
                    .into(),
                    _ => Reason::Lost.into(),
                });
            }
        }
    }

    fn place(&self, ex: &Exchange, tried: &[InstanceId]) -> Option<Arc<Endpoint>> {
        let ready = self.endpoints.ready(&ex.service);
        let candidates = self.upstream.candidates(ready);
        let engine = ex
            .configuration
            .services
            .get(&ex.service)
            .and_then(|s| s.engine);
        let chosen = match (engine, ex.info.placement_key()) {
            (Some(_), Some(key)) => {
                let last = self.last_engines.get(key);
                placement::choose_engine(&candidates, key, last.as_ref(), tried)
            }
            _ => {
                let spread = self.spread.fetch_add(1, Ordering::Relaxed);
                placement::choose_service_endpoint(&candidates, &self.domain, spread, tried)
            }
        };
        chosen.map(|i| Arc::clone(&candidates[i].endpoint))
    }

    /// Keeps a turn, then ends its answer.
    async fn end(
        &self,
        ex: &mut Exchange,
        caller: &mut Conn,
        end: relay::End,
    ) -> Result<u16, Failure> {
        if let Some(turn) = end.turn {
            let turn = Arc::new(turn);
            let kept = turn_storage::store_turn(
                &self.backlog,
                &self.partitions,
                &self.peers,
                &ex.id,
                turn,
            )
            .await;
            if kept == turn_storage::Durability::Replicated {
                self.metrics.copies.inc();
            }
        }
        match caller.write(&end.last_bytes).await {
            Ok(()) => Ok(end.status),
            Err(_) => Err(Failure::Cut(Reason::Lost)),
        }
    }
}

/// What became of a request that was sent, for the metrics.
fn outcome(sent: &Result<Reply, SendError>) -> &'static str {
    match sent {
        Ok(reply) if reply.info.not_executed => "refused",
        Ok(reply) if !reply.is_credible() => "unsigned",
        Ok(_) => "answered",
        Err(SendError::NotSent(_)) => "not sent",
        Err(SendError::Lost(_)) => "lost",
    }
}

/// A refusal of a request that may be served a moment later.
fn come_back(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: Some(STORE_RETRY_AFTER),
    }
}
