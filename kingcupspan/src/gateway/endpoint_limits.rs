//! Keeps to the rate limits that endpoints name for all daemons together.
//!
//! For each endpoint one daemon, its home, reserves the times at which requests are sent. A daemon
//! that knows of a limit asks the home before each request.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use kingcupspan_core::gateway::{
    endpoint::{Endpoint, InstanceId},
    incarnation::Incarnation,
    rate_limit::{Claim, RateLimiter, RequestRate, Reservation, TAKEOVER_MS},
};
use parking_lot::Mutex;
use prometheus::IntCounterVec;

use crate::{
    clock::Clock,
    gateway::peers::{Peer, PeerRequest, PeerResponse, Peers},
    metrics::opts,
};

/// Number of daemons that are asked for a reservation before the endpoint is given up for now.
const HOMES_ASKED: usize = 2;

/// Time for which no requests are sent to an endpoint whose homes do not respond, in
/// milliseconds.
const NO_HOME_DELAY_MS: u64 = 300;

/// Time after which an unused limiter is forgotten, in milliseconds.
const LIMITER_RETENTION_MS: u64 = 60_000;

/// Rate limits of endpoints, as home of some and as sender to all.
pub struct EndpointLimits {
    peers: Arc<Peers>,
    clock: Clock,

    /// Limiters of the endpoints whose home this daemon is.
    limiters: Mutex<HashMap<InstanceId, RateLimiter>>,

    /// Home that last answered this daemon, by endpoint.
    last_homes: Mutex<HashMap<InstanceId, LastHome>>,

    /// Times at which endpoints take requests again that they take none now.
    free_at: Mutex<HashMap<(InstanceId, Claim), Instant>>,

    /// Reservations asked for by this daemon, by outcome.
    pub reservations: IntCounterVec,
}

/// What a request wants of an endpoint with a rate limit.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Rate that the endpoint has named.
    pub rate: RequestRate,

    /// What the request would gain there.
    pub claim: Claim,

    /// Time for which the request can wait, in milliseconds.
    pub max_wait_ms: u64,
}

/// Home that has answered this daemon.
struct LastHome {
    incarnation: Incarnation,
    answered_at: Instant,
}

impl EndpointLimits {
    /// Creates the state of a daemon that knows of no limits.
    pub fn new(peers: Arc<Peers>, clock: Clock) -> Self {
        let reservations = IntCounterVec::new(
            opts(
                "endpoint_reservations_total",
                "Requests that asked when an endpoint with a rate limit takes them",
            ),
            &["outcome"],
        );
        Self {
            peers,
            clock,
            limiters: Mutex::default(),
            last_homes: Mutex::default(),
            free_at: Mutex::default(),
            // The name and the label are constant and valid.
            reservations: reservations.expect("the counter is valid"),
        }
    }

    /// Time for which an endpoint is known to take no further requests with a claim.
    pub fn full_for(&self, endpoint: &InstanceId, claim: Claim) -> Option<Duration> {
        let free_at = *self.free_at.lock().get(&(endpoint.clone(), claim))?;
        let remaining = free_at.saturating_duration_since(Instant::now());
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Reserves a time for a request to an endpoint; returns how long the request has to wait, or
    /// for how long the endpoint takes none.
    pub async fn reserve(&self, endpoint: &Endpoint, demand: Demand) -> Reservation {
        let reservation = self.ask_homes(&endpoint.id, demand).await;
        let outcome = match reservation {
            Some(Reservation::After(0)) => "granted",
            Some(Reservation::After(_)) => "waited",
            Some(Reservation::Denied(_)) => "denied",
            None => "no home",
        };
        self.reservations.with_label_values(&[outcome]).inc();
        let reservation = reservation.unwrap_or(Reservation::Denied(NO_HOME_DELAY_MS));
        if let Reservation::Denied(wait_ms) = reservation {
            let free_at = Instant::now() + Duration::from_millis(wait_ms);
            let key = (endpoint.id.clone(), demand.claim);
            self.free_at.lock().insert(key, free_at);
        }
        reservation
    }

    /// Asks the home for a time, or the next one if it does not respond; `None` if neither does.
    async fn ask_homes(&self, endpoint: &InstanceId, demand: Demand) -> Option<Reservation> {
        for home in self.peers.ranked(&endpoint.0, HOMES_ASKED) {
            if let Some(reservation) = self.ask_home(&home, endpoint, demand).await {
                self.note_home(endpoint, &home);
                return Some(reservation);
            }
        }
        None
    }

    /// Asks a home for a time; `None` if it does not respond.
    async fn ask_home(
        &self,
        home: &Peer,
        endpoint: &InstanceId,
        demand: Demand,
    ) -> Option<Reservation> {
        let has_former_home = self.has_former_home(endpoint, home);
        if home.vm == self.peers.local.vm {
            return Some(self.reserve_here(endpoint.clone(), demand, has_former_home));
        }
        let request = PeerRequest::Reserve {
            endpoint: endpoint.clone(),
            rate: demand.rate,
            claim: demand.claim,
            max_wait_ms: demand.max_wait_ms,
            has_former_home,
        };
        match self.peers.send(home, &request).await {
            Ok(PeerResponse::Reserved(reservation)) => Some(reservation),
            _ => None,
        }
    }

    /// Whether another home has answered this daemon lately; it may go on to reserve times.
    fn has_former_home(&self, endpoint: &InstanceId, home: &Peer) -> bool {
        let last_homes = self.last_homes.lock();
        last_homes.get(endpoint).is_some_and(|last| {
            let is_recent = last.answered_at.elapsed() < Duration::from_millis(TAKEOVER_MS);
            is_recent && last.incarnation != home.incarnation
        })
    }

    /// Remembers the home that has answered.
    fn note_home(&self, endpoint: &InstanceId, home: &Peer) {
        let last = LastHome {
            incarnation: home.incarnation.clone(),
            answered_at: Instant::now(),
        };
        self.last_homes.lock().insert(endpoint.clone(), last);
    }

    /// Reserves a time as home of an endpoint.
    pub fn reserve_here(
        &self,
        endpoint: InstanceId,
        demand: Demand,
        has_former_home: bool,
    ) -> Reservation {
        let now = self.clock.mono();
        let mut limiters = self.limiters.lock();
        let limiter = limiters.entry(endpoint).or_default();
        if has_former_home {
            limiter.take_over(now);
        }
        limiter.reserve(demand.rate, demand.claim, now, demand.max_wait_ms)
    }

    /// Forgets limiters, homes and denials that are not in use.
    pub fn expire(&self) {
        let now = self.clock.mono();
        self.limiters
            .lock()
            .retain(|_, l| !l.is_idle(now, LIMITER_RETENTION_MS));
        let retention = Duration::from_millis(LIMITER_RETENTION_MS);
        self.last_homes
            .lock()
            .retain(|_, home| home.answered_at.elapsed() < retention);
        self.free_at.lock().retain(|_, at| *at > Instant::now());
    }
}
