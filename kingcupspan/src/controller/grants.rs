//! Grants: each endpoint has a home, one daemon of its failure domain, which
//! decides whose call goes next.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, atomic},
    time::Duration,
};

use async_std::{future, task};
use kingcupspan_config::endpoint::Endpoint;
use kingcupspan_core::{
    fair::{OfferResult, Order, Queue, Ticket},
    id::{CallerId, EndpointId, MonoMs, VmId},
    rendezvous,
};
use serde::Serialize;

use crate::{
    daemon::Daemon,
    edge::{
        endpoint,
        peer::{self, EndpointLoad, GrantRequest, GrantResponse, ReleaseRequest},
    },
};

/// Time between looks at the endpoints that this daemon is home to.
const TICK: Duration = Duration::from_millis(300);

/// Longest time that a place is held, in milliseconds.
const HELD_MAX_MS: u64 = 15 * 60 * 1_000;

/// Extra time for an answer from another home.
const PEER_SLACK: Duration = Duration::from_millis(500);

/// How long giving a place back to another home may take.
const RELEASE_PATIENCE: Duration = Duration::from_millis(1_000);

/// Queues of the endpoints that this daemon is home to.
#[derive(Default)]
pub struct State {
    homes: parking_lot::Mutex<HashMap<EndpointId, Arc<Home>>>,
    numbers: atomic::AtomicU64,
    order: parking_lot::Mutex<Order>,
}

struct Home {
    inner: parking_lot::Mutex<Inner>,
}

struct Inner {
    queue: Queue,
    waiters: HashMap<Ticket, async_channel::Sender<()>>,
}

/// A place at an endpoint that this daemon holds.
#[derive(Debug, Clone)]
pub struct Held {
    /// The endpoint.
    pub endpoint: Endpoint,

    /// The ticket to give back.
    pub ticket: Ticket,
}

/// Queue of one endpoint for the dump.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// The endpoint.
    pub endpoint: EndpointId,

    /// Its load.
    pub load: kingcupspan_core::fair::Load,

    /// Waiting calls by caller.
    pub waiting: BTreeMap<CallerId, u64>,
}

impl Home {
    /// Grants as many places as there are.
    fn pump(&self, now: MonoMs) {
        let mut inner = self.inner.lock();
        while let Some(ticket) = inner.queue.grant_next(now) {
            let told = inner
                .waiters
                .remove(&ticket)
                .is_some_and(|tx| tx.try_send(()).is_ok());
            if !told {
                inner.queue.release(&ticket, 0);
            }
        }
    }

    fn release(&self, ticket: &Ticket, cost: u64, now: MonoMs) {
        {
            let mut inner = self.inner.lock();
            inner.waiters.remove(ticket);
            inner.queue.release(ticket, cost);
        }
        self.pump(now);
    }
}

impl State {
    /// Changes how calls are ordered, for queues made from now on.
    pub fn set_order(&self, order: Order) {
        *self.order.lock() = order;
    }

    /// A number for a new ticket.
    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Loads of the endpoints that this daemon is home to.
    pub fn loads(&self) -> Vec<EndpointLoad> {
        let homes = self.homes.lock();
        let loads = homes.iter().map(|(endpoint, home)| EndpointLoad {
            endpoint: endpoint.clone(),
            load: home.inner.lock().queue.load(),
        });
        loads.collect()
    }

    /// Queues for the dump.
    pub fn summary(&self) -> Vec<Summary> {
        let homes = self.homes.lock();
        let queues = homes.iter().map(|(endpoint, home)| {
            let inner = home.inner.lock();
            Summary {
                endpoint: endpoint.clone(),
                load: inner.queue.load(),
                waiting: inner.queue.waiting_by_caller(),
            }
        });
        let mut queues: Vec<Summary> = queues.collect();
        queues.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        queues
    }

    fn home(&self, endpoint: &Endpoint) -> Arc<Home> {
        let order = *self.order.lock();
        let mut homes = self.homes.lock();
        let home = homes.entry(endpoint.endpoint.clone()).or_insert_with(|| {
            Arc::new(Home {
                inner: parking_lot::Mutex::new(Inner {
                    queue: Queue::new(order, endpoint.slots),
                    waiters: HashMap::new(),
                }),
            })
        });
        Arc::clone(home)
    }
}

/// The daemon that decides who goes next at an endpoint.
fn home_of(daemon: &Daemon, endpoint: &Endpoint) -> Option<VmId> {
    let now = daemon.clock.mono();
    let alive = daemon.membership.alive_in(&endpoint.failure_domain, now);
    let names = alive.iter().map(|vm| vm.as_str());
    let first = rendezvous::first(endpoint.endpoint.as_str(), names)?;
    alive.iter().find(|vm| vm.as_str() == first).cloned()
}

/// Asks the endpoint's home for a place and waits for it.
pub async fn acquire(
    daemon: &Arc<Daemon>,
    endpoint: &Endpoint,
    grant: GrantRequest,
) -> GrantResponse {
    let Some(home) = home_of(daemon, endpoint) else {
        return GrantResponse::Elsewhere;
    };
    if home == daemon.settings.vm {
        return grant_here(daemon, grant).await;
    }
    let Some(addr) = daemon.membership.addr(&home) else {
        return GrantResponse::Elsewhere;
    };
    let patience = Duration::from_millis(grant.timeout_ms) + PEER_SLACK;
    let answer = peer::send(&daemon.client, addr, peer::GRANT, &grant, patience).await;
    answer.unwrap_or_else(|e| {
        log::debug!(home = home.as_str(), error = e.to_string().as_str(); "home does not answer");
        GrantResponse::Elsewhere
    })
}

/// Decides on a request for a place at an endpoint that this daemon is home to.
pub async fn grant_here(daemon: &Arc<Daemon>, grant: GrantRequest) -> GrantResponse {
    let configuration = daemon.configuration.get().configuration;
    let Some(endpoint) = configuration.endpoint(&grant.endpoint) else {
        return GrantResponse::Elsewhere;
    };
    if !daemon.membership.is_live(&endpoint.vm) {
        return GrantResponse::Elsewhere;
    }
    let home = daemon.grants.home(endpoint);
    let now = daemon.clock.mono();
    let ticket = grant.request.ticket.clone();
    let (tx, rx) = async_channel::bounded(1);
    {
        let mut inner = home.inner.lock();
        if let OfferResult::Refused { retry_after_ms } = inner.queue.offer(grant.request, now) {
            return GrantResponse::OverShare { retry_after_ms };
        }
        inner.waiters.insert(ticket.clone(), tx);
    }
    home.pump(now);
    let patience = Duration::from_millis(grant.timeout_ms);
    match future::timeout(patience, rx.recv()).await {
        Ok(Ok(())) => GrantResponse::Now,
        Ok(Err(_)) => GrantResponse::Elsewhere,
        Err(_) => {
            home.release(&ticket, 0, daemon.clock.mono());
            GrantResponse::TimedOut
        }
    }
}

/// Gives a place back that was held or waited for.
pub async fn release(daemon: &Arc<Daemon>, endpoint: &Endpoint, ticket: Ticket, cost: u64) {
    let message = ReleaseRequest {
        endpoint: endpoint.endpoint.clone(),
        ticket,
        cost,
    };
    release_here(daemon, &message);
    let Some(home) = home_of(daemon, endpoint) else {
        return;
    };
    let Some(addr) = daemon.membership.addr(&home) else {
        return;
    };
    let tell = peer::send(
        &daemon.client,
        addr,
        peer::RELEASE,
        &message,
        RELEASE_PATIENCE,
    );
    let told: Result<(), _> = tell.await;
    if let Err(e) = told {
        log::debug!(home = home.as_str(), error = e.to_string().as_str(); "place not given back");
    }
}

/// Takes a place back at an endpoint that this daemon is home to.
pub fn release_here(daemon: &Daemon, message: &ReleaseRequest) {
    let home = daemon.grants.homes.lock().get(&message.endpoint).cloned();
    if let Some(home) = home {
        home.release(&message.ticket, message.cost, daemon.clock.mono());
    }
}

/// Follows the endpoints that this daemon is home to.
pub async fn tend(daemon: Arc<Daemon>) {
    loop {
        task::sleep(TICK).await;
        let configuration = daemon.configuration.get().configuration;
        for endpoint in &configuration.endpoints {
            if home_of(&daemon, endpoint).as_ref() == Some(&daemon.settings.vm) {
                task::spawn(look_at(Arc::clone(&daemon), endpoint.clone()));
            } else {
                forget(&daemon, endpoint);
            }
        }
    }
}

/// Drops the queue of an endpoint whose home has moved; its waiters ask the new one.
fn forget(daemon: &Daemon, endpoint: &Endpoint) {
    let mut homes = daemon.grants.homes.lock();
    let idle = homes.get(&endpoint.endpoint).is_some_and(|home| {
        let mut inner = home.inner.lock();
        inner.waiters.clear();
        inner.queue.load().in_flight == 0
    });
    if idle {
        homes.remove(&endpoint.endpoint);
    }
}

async fn look_at(daemon: Arc<Daemon>, endpoint: Endpoint) {
    let home = daemon.grants.home(&endpoint);
    drop_gone(&daemon, &home, &endpoint);
    match endpoint::fetch_load(&daemon.client, endpoint.addr).await {
        Ok(report) => {
            follow_report(&home, &endpoint, &report);
            daemon
                .cache
                .seen(&endpoint, &report.held, daemon.clock.mono());
        }
        Err(e) => {
            let name = endpoint.endpoint.as_str();
            log::debug!(endpoint = name, error = e.to_string().as_str(); "no load report");
        }
    }
    home.pump(daemon.clock.mono());
}

/// Moves the limit by one step a report, so that late reports do not make it swing.
fn follow_report(home: &Home, endpoint: &Endpoint, report: &endpoint::LoadReport) {
    let mut inner = home.inner.lock();
    let limit = inner.queue.limit();
    let limit = match report.waiting > 0 {
        true => limit.saturating_sub(1),
        false => limit + 1,
    };
    inner.queue.set_limit(limit.clamp(1, endpoint.slots));
}

/// Takes back places whose holders are gone, and all waits at a leaving endpoint.
fn drop_gone(daemon: &Daemon, home: &Home, endpoint: &Endpoint) {
    let now = daemon.clock.mono();
    let leaving = !daemon.membership.is_live(&endpoint.vm);
    let mut inner = home.inner.lock();
    if leaving {
        inner.waiters.clear();
    }
    let gone = inner.queue.matching_tickets(|ticket, since| {
        !daemon.membership.is_alive(&ticket.writer, now) || now.since(since) > HELD_MAX_MS
    });
    for ticket in gone {
        inner.waiters.remove(&ticket);
        inner.queue.release(&ticket, 0);
    }
}
