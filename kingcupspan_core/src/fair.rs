//! Queue of one endpoint, with start-time fair queueing across callers and
//! least-attained-service order within a caller.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{CallerId, MonoMs, ProgramId, Writer};

/// Tokens of attained service that one second of waiting compensates for.
const AGEING_TOKENS_PER_S: u64 = 400;

/// Units of virtual time per token at weight 1.
const VIRTUAL_PER_TOKEN: u64 = 1 << 20;

/// Maximum number of a caller's waiting calls that count when [`Queue::offer`]
/// estimates after which time a refused caller should retry.
const RETRY_AFTER_CALLS_MAX: u64 = 8;

/// Identifier of a request in the queue of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Daemon that made the request.
    pub writer: Writer,

    /// Number that the daemon assigned to the request.
    pub number: u64,
}

/// Order in which waiting calls are granted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// First come, first served across all callers.
    Fifo,

    /// Fair shares across callers. Within a caller, the program with the least
    /// attained service comes first, and waiting time raises its priority.
    #[default]
    LeastAttained,
}

/// Request to send a call to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Ticket that identifies the request.
    pub ticket: Ticket,

    /// Caller that the call belongs to.
    pub caller: CallerId,

    /// Weight of the caller in fair queueing.
    pub weight: u64,

    /// Root program of the call's program.
    pub root: ProgramId,

    /// Service that the root program and its sub-agents have received, in
    /// tokens.
    pub attained: u64,

    /// Expected cost of the call, in tokens.
    pub cost: u64,

    /// Maximum number of calls that the caller may have waiting at this
    /// endpoint.
    pub waiting_max: u64,

    /// Whether an identical request was running on an endpoint when that endpoint
    /// crashed.
    pub suspect: bool,
}

/// Result of offering a request to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// The request is queued; [`Queue::grant_next`] returns its ticket when it
    /// may run.
    Waiting,

    /// The request is refused because its caller has too many calls waiting.
    Refused {
        /// Estimated time until some of these calls have been granted, in
        /// milliseconds.
        retry_after_ms: u64,
    },
}

/// Request that has not been granted yet.
#[derive(Debug, Clone)]
struct WaitingRequest {
    request: Request,
    since: MonoMs,
}

/// Request whose call is in flight.
#[derive(Debug, Clone)]
struct GrantedRequest {
    caller: CallerId,
    weight: u64,
    cost: u64,
    suspect: bool,
    since: MonoMs,
}

/// State of one caller in fair queueing.
#[derive(Debug, Clone, Default)]
struct Share {
    /// Virtual time at which the caller's next call starts.
    virtual_start: u64,

    /// Sort key and ticket of the caller's waiting calls.
    waiting: BTreeSet<(u64, Ticket)>,
    in_flight: u64,
}

/// Load of an endpoint, as seen by the daemon that runs its queue (its home).
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of calls in flight.
    pub in_flight: u64,

    /// Number of waiting calls.
    pub waiting: u64,

    /// Expected cost of the waiting calls, in tokens.
    pub waiting_cost: u64,

    /// Maximum number of calls in flight.
    pub limit: u64,

    /// Moving average of the time between two grants, in milliseconds; a gap
    /// counts as at most 10 s.
    pub grant_gap_ms: f64,
}

/// Queue of one endpoint.
#[derive(Debug, Clone)]
pub struct Queue {
    order: Order,
    limit: u64,

    /// Largest virtual start of any call granted so far.
    virtual_now: u64,

    /// Number of requests queued so far; the sort key in FIFO order.
    arrivals: u64,

    /// Sort key and request of each waiting call.
    waiting: BTreeMap<Ticket, (u64, WaitingRequest)>,
    waiting_cost: u64,
    granted: BTreeMap<Ticket, GrantedRequest>,
    shares: BTreeMap<CallerId, Share>,

    /// Virtual start of each caller that has waiting calls.
    backlog: BTreeSet<(u64, CallerId)>,

    /// Number of suspects in flight.
    suspects: u64,
    last_grant: MonoMs,
    grant_gap_ms: f64,
}

impl Queue {
    /// Creates an empty queue for an endpoint that accepts `limit` calls at a
    /// time.
    pub fn new(order: Order, limit: u64) -> Self {
        Self {
            order,
            limit,
            virtual_now: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
            waiting_cost: 0,
            granted: BTreeMap::new(),
            shares: BTreeMap::new(),
            backlog: BTreeSet::new(),
            suspects: 0,
            last_grant: MonoMs(0),
            grant_gap_ms: 0.0,
        }
    }

    /// Sets the maximum number of calls in flight.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Returns the maximum number of calls in flight.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Queues a request, or refuses it if its caller has too many calls
    /// waiting.
    pub fn offer(&mut self, request: Request, now: MonoMs) -> OfferResult {
        let waiting = self
            .shares
            .get(&request.caller)
            .map_or(0, |s| s.waiting.len() as u64);
        if waiting >= request.waiting_max {
            let counted = waiting.min(RETRY_AFTER_CALLS_MAX) as f64;
            let callers = self.backlog.len().max(1) as f64;
            let retry_after_ms = (counted * callers * self.grant_gap_ms).max(100.0) as u64;
            return OfferResult::Refused { retry_after_ms };
        }
        if self.waiting.contains_key(&request.ticket) || self.granted.contains_key(&request.ticket)
        {
            return OfferResult::Waiting;
        }
        self.enqueue(request, now);
        OfferResult::Waiting
    }

    fn enqueue(&mut self, request: Request, now: MonoMs) {
        self.arrivals += 1;
        let key = match self.order {
            Order::Fifo => self.arrivals,
            // Waiting lowers the key of all calls at the same rate, so the
            // arrival time can be added once and the order of two waiting calls
            // never changes.
            Order::LeastAttained => request.attained + now.0 * AGEING_TOKENS_PER_S / 1_000,
        };
        self.waiting_cost += request.cost;
        let share = self.shares.entry(request.caller.clone()).or_default();
        if share.waiting.is_empty() {
            if share.in_flight == 0 || share.virtual_start < self.virtual_now {
                share.virtual_start = share.virtual_start.max(self.virtual_now);
            }
            let entry = (share.virtual_start, request.caller.clone());
            self.backlog.insert(entry);
        }
        share.waiting.insert((key, request.ticket.clone()));
        let ticket = request.ticket.clone();
        let waiting = WaitingRequest {
            request,
            since: now,
        };
        self.waiting.insert(ticket, (key, waiting));
    }

    /// Grants the next waiting call if fewer calls than the limit are in
    /// flight, and returns its ticket.
    pub fn grant_next(&mut self, now: MonoMs) -> Option<Ticket> {
        if self.granted.len() as u64 >= self.limit {
            return None;
        }
        let ticket = match self.order {
            Order::Fifo => self.next_fifo(),
            Order::LeastAttained => self.next_fair(),
        }?;
        let (waiting, _) = self.remove_waiting(&ticket)?;
        self.record_grant_gap(now);
        self.charge(&waiting.request);
        self.granted.insert(
            ticket.clone(),
            GrantedRequest {
                caller: waiting.request.caller,
                weight: waiting.request.weight,
                cost: waiting.request.cost,
                suspect: waiting.request.suspect,
                since: now,
            },
        );
        Some(ticket)
    }

    fn next_fifo(&self) -> Option<Ticket> {
        let runnable = self
            .waiting
            .iter()
            .filter(|(_, (_, w))| self.can_run(&w.request));
        let first = runnable.min_by_key(|(_, (key, _))| *key);
        first.map(|(ticket, _)| ticket.clone())
    }

    fn next_fair(&self) -> Option<Ticket> {
        for (_, caller) in &self.backlog {
            let share = self.shares.get(caller)?;
            let mut runnable = share.waiting.iter().filter(|(_, ticket)| {
                let entry = self.waiting.get(ticket);
                entry.is_some_and(|(_, w)| self.can_run(&w.request))
            });
            if let Some((_, ticket)) = runnable.next() {
                return Some(ticket.clone());
            }
        }
        None
    }

    /// Returns whether a waiting request may run now.
    ///
    /// At most one suspect runs at a time, so that a crash can be attributed to
    /// one request.
    fn can_run(&self, request: &Request) -> bool {
        !request.suspect || self.suspects == 0
    }

    /// Updates the moving average of the time between two grants.
    fn record_grant_gap(&mut self, now: MonoMs) {
        let gap = now.since(self.last_grant).min(10_000) as f64;
        self.grant_gap_ms += (gap - self.grant_gap_ms) / 8.0;
        self.last_grant = now;
    }

    /// Charges the expected cost of a granted call to its caller's share.
    fn charge(&mut self, request: &Request) {
        self.suspects += u64::from(request.suspect);
        let Some(share) = self.shares.get_mut(&request.caller) else {
            return;
        };
        self.virtual_now = self.virtual_now.max(share.virtual_start);
        share.in_flight += 1;
        let cost = virtual_cost(request.cost, request.weight);
        self.update_virtual_start(&request.caller, |start| start + cost);
    }

    /// Changes a caller's virtual start and updates its entry in the backlog.
    fn update_virtual_start(&mut self, caller: &CallerId, change: impl FnOnce(u64) -> u64) {
        let Some(share) = self.shares.get_mut(caller) else {
            return;
        };
        let was_listed = self.backlog.remove(&(share.virtual_start, caller.clone()));
        share.virtual_start = change(share.virtual_start);
        if was_listed {
            self.backlog.insert((share.virtual_start, caller.clone()));
        }
    }

    /// Removes a request from the waiting requests.
    fn remove_waiting(&mut self, ticket: &Ticket) -> Option<(WaitingRequest, u64)> {
        let (key, waiting) = self.waiting.remove(ticket)?;
        self.waiting_cost -= waiting.request.cost;
        let caller = &waiting.request.caller;
        if let Some(share) = self.shares.get_mut(caller) {
            share.waiting.remove(&(key, ticket.clone()));
            if share.waiting.is_empty() {
                self.backlog.remove(&(share.virtual_start, caller.clone()));
            }
        }
        Some((waiting, key))
    }

    /// Removes a waiting request, or ends a granted call that cost `actual`
    /// tokens.
    pub fn release(&mut self, ticket: &Ticket, actual: u64) {
        if self.remove_waiting(ticket).is_some() {
            return;
        }
        let Some(granted) = self.granted.remove(ticket) else {
            return;
        };
        self.suspects -= u64::from(granted.suspect);
        let caller = granted.caller;
        if let Some(share) = self.shares.get_mut(&caller) {
            share.in_flight -= 1;
        }
        let expected = virtual_cost(granted.cost, granted.weight);
        let actual = virtual_cost(actual, granted.weight);
        self.update_virtual_start(&caller, |start| (start + actual).saturating_sub(expected));
        self.remove_if_idle(&caller);
    }

    /// Removes the share of a caller that has no calls and has not used more
    /// service than its share.
    fn remove_if_idle(&mut self, caller: &CallerId) {
        let is_idle = self.shares.get(caller).is_some_and(|s| {
            s.in_flight == 0 && s.waiting.is_empty() && s.virtual_start <= self.virtual_now
        });
        if is_idle {
            self.shares.remove(caller);
        }
    }

    /// Returns the tickets of waiting and granted calls that satisfy
    /// `predicate`, which gets the ticket and the time since when the call has
    /// been waiting or granted.
    pub fn matching_tickets(&self, predicate: impl Fn(&Ticket, MonoMs) -> bool) -> Vec<Ticket> {
        let waiting = self.waiting.iter().map(|(t, (_, w))| (t, w.since));
        let granted = self.granted.iter().map(|(t, g)| (t, g.since));
        waiting
            .chain(granted)
            .filter(|(t, since)| predicate(t, *since))
            .map(|(t, _)| t.clone())
            .collect()
    }

    /// Returns the load of the endpoint.
    pub fn load(&self) -> Load {
        Load {
            in_flight: self.granted.len() as u64,
            waiting: self.waiting.len() as u64,
            waiting_cost: self.waiting_cost,
            limit: self.limit,
            grant_gap_ms: self.grant_gap_ms,
        }
    }

    /// Returns the number of waiting calls per caller.
    pub fn waiting_by_caller(&self) -> BTreeMap<CallerId, u64> {
        let shares = self.shares.iter();
        shares
            .map(|(caller, share)| (caller.clone(), share.waiting.len() as u64))
            .collect()
    }
}

/// Converts a cost in tokens to virtual time at the given weight.
fn virtual_cost(tokens: u64, weight: u64) -> u64 {
    tokens * VIRTUAL_PER_TOKEN / weight.max(1)
}
