//! Grants: permissions to send a call to an endpoint. Each endpoint has a home daemon in its
//! failure domain, which queues the calls and decides which one is sent next.

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

/// Interval between load requests to the endpoints whose home is this daemon.
const REFRESH_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time for which a call may hold a grant, in milliseconds.
const HOLD_MAX_MS: u64 = 15 * 60 * 1_000;

/// Time that a request to another home daemon may take in addition to the wait in its queue.
const PEER_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Timeout of returning a grant to another home daemon.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Queues of the endpoints whose home is this daemon.
#[derive(Default)]
pub struct State {
    endpoint_queues: parking_lot::Mutex<HashMap<EndpointId, Arc<EndpointQueue>>>,
    next_number: atomic::AtomicU64,

    /// Order of calls in new queues.
    order: parking_lot::Mutex<Order>,
}

/// The queue of one endpoint with its own lock.
struct EndpointQueue {
    inner: parking_lot::Mutex<Inner>,
}

struct Inner {
    queue: Queue,

    /// Channels that wake the tasks waiting for a grant.
    waiters: HashMap<Ticket, async_channel::Sender<()>>,
}

/// A grant that a call of this daemon holds.
#[derive(Debug, Clone)]
pub struct HeldGrant {
    /// The endpoint to which the call may be sent.
    pub endpoint: Endpoint,

    /// The ticket that identifies the grant when it is returned.
    pub ticket: Ticket,
}

/// State of one queue for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,

    /// The endpoint's load.
    pub load: kingcupspan_core::fair::Load,

    /// Number of waiting calls by caller.
    pub waiting: BTreeMap<CallerId, u64>,
}

impl EndpointQueue {
    /// Grants waiting calls until the limit of the endpoint is reached.
    fn grant_waiting(&self, now: MonoMs) {
        let mut inner = self.inner.lock();
        while let Some(ticket) = inner.queue.grant_next(now) {
            let is_delivered = inner
                .waiters
                .remove(&ticket)
                .is_some_and(|tx| tx.try_send(()).is_ok());
            if !is_delivered {
                inner.queue.release(&ticket, 0);
            }
        }
    }

    /// Returns a grant or cancels a wait, then grants waiting calls.
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
    /// Sets the order of calls for queues created from now on.
    pub fn set_order(&self, order: Order) {
        *self.order.lock() = order;
    }

    /// Returns a unique number for a new ticket of this daemon.
    pub fn next_ticket_number(&self) -> u64 {
        self.next_number.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Returns the loads of the endpoints whose home is this daemon.
    pub fn loads(&self) -> Vec<EndpointLoad> {
        let endpoint_queues = self.endpoint_queues.lock();
        let loads = endpoint_queues
            .iter()
            .map(|(endpoint, queue)| EndpointLoad {
                endpoint: endpoint.clone(),
                load: queue.inner.lock().queue.load(),
            });
        loads.collect()
    }

    /// Returns the queues for the state dump, ordered by endpoint.
    pub fn summary(&self) -> Vec<Summary> {
        let endpoint_queues = self.endpoint_queues.lock();
        let queues = endpoint_queues.iter().map(|(endpoint, queue)| {
            let inner = queue.inner.lock();
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

    /// Returns the queue of an endpoint, created if necessary.
    fn queue_for(&self, endpoint: &Endpoint) -> Arc<EndpointQueue> {
        let order = *self.order.lock();
        let mut endpoint_queues = self.endpoint_queues.lock();
        let queue = endpoint_queues
            .entry(endpoint.endpoint.clone())
            .or_insert_with(|| {
                Arc::new(EndpointQueue {
                    inner: parking_lot::Mutex::new(Inner {
                        queue: Queue::new(order, endpoint.slots),
                        waiters: HashMap::new(),
                    }),
                })
            });
        Arc::clone(queue)
    }
}

/// Returns the home daemon of an endpoint, which queues its calls.
fn home_daemon(daemon: &Daemon, endpoint: &Endpoint) -> Option<VmId> {
    let now = daemon.clock.mono();
    let alive = daemon.membership.alive_in(&endpoint.failure_domain, now);
    let names = alive.iter().map(|vm| vm.as_str());
    let home = rendezvous::first(endpoint.endpoint.as_str(), names)?;
    alive.iter().find(|vm| vm.as_str() == home).cloned()
}

/// Requests a grant from the endpoint's home daemon and waits for it.
pub async fn acquire(
    daemon: &Arc<Daemon>,
    endpoint: &Endpoint,
    grant: GrantRequest,
) -> GrantResponse {
    let Some(home) = home_daemon(daemon, endpoint) else {
        return GrantResponse::Elsewhere;
    };
    if home == daemon.settings.vm {
        return grant_locally(daemon, grant).await;
    }
    let Some(addr) = daemon.membership.addr(&home) else {
        return GrantResponse::Elsewhere;
    };
    let timeout = Duration::from_millis(grant.timeout_ms) + PEER_TIMEOUT_MARGIN;
    let response = peer::send(&daemon.client, addr, peer::GRANT, &grant, timeout).await;
    response.unwrap_or_else(|e| {
        log::debug!(home = home.as_str(), error = e.to_string().as_str();
            "home daemon did not respond to a grant request; retrying placement");
        GrantResponse::Elsewhere
    })
}

/// Queues a request for a grant at an endpoint whose home is this daemon, and waits for it.
pub async fn grant_locally(daemon: &Arc<Daemon>, grant: GrantRequest) -> GrantResponse {
    let configuration = daemon.configuration.get().configuration;
    let Some(endpoint) = configuration.endpoint(&grant.endpoint) else {
        return GrantResponse::Elsewhere;
    };
    if !daemon.membership.is_listed_live(&endpoint.vm) {
        return GrantResponse::Elsewhere;
    }
    let queue = daemon.grants.queue_for(endpoint);
    let now = daemon.clock.mono();
    let ticket = grant.request.ticket.clone();
    let (tx, rx) = async_channel::bounded(1);
    {
        let mut inner = queue.inner.lock();
        if let OfferResult::Refused { retry_after_ms } = inner.queue.offer(grant.request, now) {
            return GrantResponse::OverShare { retry_after_ms };
        }
        inner.waiters.insert(ticket.clone(), tx);
    }
    queue.grant_waiting(now);
    let timeout = Duration::from_millis(grant.timeout_ms);
    match future::timeout(timeout, rx.recv()).await {
        Ok(Ok(())) => GrantResponse::Now,
        Ok(Err(_)) => GrantResponse::Elsewhere,
        Err(_) => {
            queue.release(&ticket, 0, daemon.clock.mono());
            GrantResponse::TimedOut
        }
    }
}

/// Returns a grant, or cancels a request that is still waiting for one.
pub async fn release(daemon: &Arc<Daemon>, endpoint: &Endpoint, ticket: Ticket, cost: u64) {
    let message = ReleaseRequest {
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
    let request = peer::send(
        &daemon.client,
        addr,
        peer::RELEASE,
        &message,
        RELEASE_TIMEOUT,
    );
    let result: Result<(), _> = request.await;
    if let Err(e) = result {
        log::debug!(home = home.as_str(), error = e.to_string().as_str();
            "cannot return a grant to its home daemon");
    }
}

/// Returns a grant to the queue of an endpoint whose home is this daemon.
pub fn release_locally(daemon: &Daemon, message: &ReleaseRequest) {
    let queue = daemon
        .grants
        .endpoint_queues
        .lock()
        .get(&message.endpoint)
        .cloned();
    if let Some(queue) = queue {
        queue.release(&message.ticket, message.cost, daemon.clock.mono());
    }
}

/// Updates the queues of the endpoints whose home is this daemon, and drops the others.
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

/// Drops the queue of an endpoint whose home is now another daemon. Waiting calls request a
/// grant from the new home; the queue stays until its calls in flight have finished.
fn drop_queue(daemon: &Daemon, endpoint: &Endpoint) {
    let mut endpoint_queues = daemon.grants.endpoint_queues.lock();
    let idle = endpoint_queues
        .get(&endpoint.endpoint)
        .is_some_and(|queue| {
            let mut inner = queue.inner.lock();
            inner.waiters.clear();
            inner.queue.load().in_flight == 0
        });
    if idle {
        endpoint_queues.remove(&endpoint.endpoint);
    }
}

/// Polls the load of an endpoint, and releases abandoned grants and grants waiting calls.
async fn refresh(daemon: Arc<Daemon>, endpoint: Endpoint) {
    let queue = daemon.grants.queue_for(&endpoint);
    release_abandoned(&daemon, &queue, &endpoint);
    match endpoint::fetch_load(&daemon.client, endpoint.addr).await {
        Ok(report) => {
            adjust_limit(&queue, &endpoint, &report);
            daemon
                .cache
                .record_cached_programs(&endpoint, &report.held, daemon.clock.mono());
        }
        Err(e) => {
            let name = endpoint.endpoint.as_str();
            log::debug!(endpoint = name, error = e.to_string().as_str();
                "cannot fetch the load report of an endpoint; keeping the current limit");
        }
    }
    queue.grant_waiting(daemon.clock.mono());
}

/// Changes the limit of calls in flight by one per load report, so that delayed reports do not
/// cause oscillation.
fn adjust_limit(queue: &EndpointQueue, endpoint: &Endpoint, report: &endpoint::LoadReport) {
    let mut inner = queue.inner.lock();
    let limit = inner.queue.limit();
    let limit = match report.waiting > 0 {
        true => limit.saturating_sub(1),
        false => limit + 1,
    };
    inner.queue.set_limit(limit.clamp(1, endpoint.slots));
}

/// Releases grants whose holders have failed or exceeded the maximum hold time, and cancels all
/// waiting requests if the endpoint's VM is leaving.
fn release_abandoned(daemon: &Daemon, queue: &EndpointQueue, endpoint: &Endpoint) {
    let now = daemon.clock.mono();
    let is_leaving = !daemon.membership.is_listed_live(&endpoint.vm);
    let mut inner = queue.inner.lock();
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
