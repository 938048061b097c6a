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
        peer::{self, EndpointLoad, Grant, Granted, Release},
    },
};

/// Time between looks at the endpoints that this daemon is home to.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time that a place is held, in milliseconds.
const HOLD_MAX_MS: u64 = 15 * 60 * 1_000;

/// Extra time for an answer from another home.
const PEER_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// How long giving a place back to another home may take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Queues of the endpoints that this daemon is home to.
#[derive(Default)]
pub struct State {
    endpoint_queues: parking_lot::Mutex<HashMap<EndpointId, Arc<EndpointQueue>>>,
    next_number: atomic::AtomicU64,
    order: parking_lot::Mutex<Order>,
}

struct EndpointQueue {
    inner: parking_lot::Mutex<Inner>,
}

struct Inner {
    queue: Queue,
    waiters: HashMap<Ticket, async_channel::Sender<()>>,
}

/// A place at an endpoint that this daemon holds.
#[derive(Debug, Clone)]
pub struct HeldGrant {
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

impl EndpointQueue {
    /// Grants as many places as there are.
    fn grant_waiting(&self, now: MonoMs) {
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
        self.grant_waiting(now);
    }
}

impl State {
    /// Changes how calls are ordered, for queues made from now on.
    pub fn set_order(&self, order: Order) {
        *self.order.lock() = order;
    }

    /// A number for a new ticket.
    pub fn next_ticket_number(&self) -> u64 {
        self.next_number.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Loads of the endpoints that this daemon is home to.
    pub fn loads(&self) -> Vec<EndpointLoad> {
        let endpoint_queues = self.endpoint_queues.lock();
        let loads = endpoint_queues.iter().map(|(endpoint, home)| EndpointLoad {
            endpoint: endpoint.clone(),
            load: home.inner.lock().queue.load(),
        });
        loads.collect()
    }

    /// Queues for the dump.
    pub fn summary(&self) -> Vec<Summary> {
        let endpoint_queues = self.endpoint_queues.lock();
        let queues = endpoint_queues.iter().map(|(endpoint, home)| {
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

    fn home(&self, endpoint: &Endpoint) -> Arc<EndpointQueue> {
        let order = *self.order.lock();
        let mut endpoint_queues = self.endpoint_queues.lock();
        let home = endpoint_queues
            .entry(endpoint.endpoint.clone())
            .or_insert_with(|| {
                Arc::new(EndpointQueue {
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
fn home_daemon(daemon: &Daemon, endpoint: &Endpoint) -> Option<VmId> {
    let now = daemon.clock.mono();
    let alive = daemon.membership.alive_in(&endpoint.failure_domain, now);
    let names = alive.iter().map(|vm| vm.as_str());
    let owner = rendezvous::first(endpoint.endpoint.as_str(), names)?;
    alive.iter().find(|vm| vm.as_str() == owner).cloned()
}

/// Asks the endpoint's home for a place and waits for it.
pub async fn acquire(daemon: &Arc<Daemon>, endpoint: &Endpoint, grant: Grant) -> Granted {
    let Some(home) = home_daemon(daemon, endpoint) else {
        return Granted::Elsewhere;
    };
    if home == daemon.settings.vm {
        return grant_locally(daemon, grant).await;
    }
    let Some(addr) = daemon.membership.addr(&home) else {
        return Granted::Elsewhere;
    };
    let timeout = Duration::from_millis(grant.patience_ms) + PEER_TIMEOUT_MARGIN;
    let response = peer::ask(&daemon.client, addr, peer::GRANT, &grant, timeout).await;
    response.unwrap_or_else(|e| {
        log::debug!(home = home.as_str(), error = e.to_string().as_str(); "home does not answer");
        Granted::Elsewhere
    })
}

/// Decides on a request for a place at an endpoint that this daemon is home to.
pub async fn grant_locally(daemon: &Arc<Daemon>, grant: Grant) -> Granted {
    let configuration = daemon.configuration.get().configuration;
    let Some(endpoint) = configuration.endpoint(&grant.endpoint) else {
        return Granted::Elsewhere;
    };
    if !daemon.membership.is_listed_live(&endpoint.vm) {
        return Granted::Elsewhere;
    }
    let home = daemon.grants.home(endpoint);
    let now = daemon.clock.mono();
    let ticket = grant.request.ticket.clone();
    let (tx, rx) = async_channel::bounded(1);
    {
        let mut inner = home.inner.lock();
        if let OfferResult::Refused { retry_after_ms } = inner.queue.offer(grant.request, now) {
            return Granted::OverShare { retry_after_ms };
        }
        inner.waiters.insert(ticket.clone(), tx);
    }
    home.grant_waiting(now);
    let timeout = Duration::from_millis(grant.patience_ms);
    match future::timeout(timeout, rx.recv()).await {
        Ok(Ok(())) => Granted::Now,
        Ok(Err(_)) => Granted::Elsewhere,
        Err(_) => {
            home.release(&ticket, 0, daemon.clock.mono());
            Granted::TimedOut
        }
    }
}

/// Gives a place back that was held or waited for.
pub async fn release(daemon: &Arc<Daemon>, endpoint: &Endpoint, ticket: Ticket, cost: u64) {
    let message = Release {
        endpoint: endpoint.endpoint.clone(),
        ticket,
        cost,
    };
    release_locally(daemon, &message);
    let Some(home) = home_daemon(daemon, endpoint) else {
        return;
    };
    let Some(addr) = daemon.membership.addr(&home) else {
        return;
    };
    let tell = peer::ask(
        &daemon.client,
        addr,
        peer::RELEASE,
        &message,
        RELEASE_TIMEOUT,
    );
    let told: Result<(), _> = tell.await;
    if let Err(e) = told {
        log::debug!(home = home.as_str(), error = e.to_string().as_str(); "place not given back");
    }
}

/// Takes a place back at an endpoint that this daemon is home to.
pub fn release_locally(daemon: &Daemon, message: &Release) {
    let home = daemon
        .grants
        .endpoint_queues
        .lock()
        .get(&message.endpoint)
        .cloned();
    if let Some(home) = home {
        home.release(&message.ticket, message.cost, daemon.clock.mono());
    }
}

/// Follows the endpoints that this daemon is home to.
pub async fn run(daemon: Arc<Daemon>) {
    loop {
        task::sleep(REFRESH_INTERVAL).await;
        let configuration = daemon.configuration.get().configuration;
        for endpoint in &configuration.endpoints {
            if home_daemon(&daemon, endpoint).as_ref() == Some(&daemon.settings.vm) {
                task::spawn(refresh(Arc::clone(&daemon), endpoint.clone()));
            } else {
                drop_queue(&daemon, endpoint);
            }
        }
    }
}

/// Drops the queue of an endpoint whose home has moved; its waiters ask the new one.
fn drop_queue(daemon: &Daemon, endpoint: &Endpoint) {
    let mut endpoint_queues = daemon.grants.endpoint_queues.lock();
    let idle = endpoint_queues.get(&endpoint.endpoint).is_some_and(|home| {
        let mut inner = home.inner.lock();
        inner.waiters.clear();
        inner.queue.load().in_flight == 0
    });
    if idle {
        endpoint_queues.remove(&endpoint.endpoint);
    }
}

async fn refresh(daemon: Arc<Daemon>, endpoint: Endpoint) {
    let home = daemon.grants.home(&endpoint);
    release_abandoned(&daemon, &home, &endpoint);
    match endpoint::load(&daemon.client, endpoint.addr).await {
        Ok(report) => {
            adjust_limit(&home, &endpoint, &report);
            daemon
                .cache
                .record_held(&endpoint, &report.held, daemon.clock.mono());
        }
        Err(e) => {
            let name = endpoint.endpoint.as_str();
            log::debug!(endpoint = name, error = e.to_string().as_str(); "no load report");
        }
    }
    home.grant_waiting(daemon.clock.mono());
}

/// Moves the limit by one step a report, so that late reports do not make it swing.
fn adjust_limit(home: &EndpointQueue, endpoint: &Endpoint, report: &endpoint::LoadReport) {
    let mut inner = home.inner.lock();
    let limit = inner.queue.limit();
    let limit = match report.waiting > 0 {
        true => limit.saturating_sub(1),
        false => limit + 1,
    };
    inner.queue.set_limit(limit.clamp(1, endpoint.slots));
}

/// Takes back places whose holders are gone, and all waits at a leaving endpoint.
fn release_abandoned(daemon: &Daemon, home: &EndpointQueue, endpoint: &Endpoint) {
    let now = daemon.clock.mono();
    let is_leaving = !daemon.membership.is_listed_live(&endpoint.vm);
    let mut inner = home.inner.lock();
    if is_leaving {
        inner.waiters.clear();
    }
    let abandoned = inner.queue.matching_tickets(|ticket, since| {
        !daemon.membership.is_alive(&ticket.writer, now) || now.since(since) > HOLD_MAX_MS
    });
    for ticket in abandoned {
        inner.waiters.remove(&ticket);
        inner.queue.release(&ticket, 0);
    }
}
