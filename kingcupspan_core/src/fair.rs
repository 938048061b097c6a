//! The queue of one endpoint: start-time fair queueing across callers, and
//! the order of programs within a caller.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{CallerId, MonoMs, ProgramId, Writer};

/// Cost that waiting for a second outweighs, in tokens.
const AGEING_TOKENS_PER_S: u64 = 400;

/// Virtual time units of one token at weight 1.
const VIRTUAL_PER_TOKEN: u64 = 1 << 20;

/// Calls that a caller may have waiting for each of its calls in flight,
/// beyond which [`Queue::offer`] refuses whatever the configured bound says.
const SMOOTHING: u64 = 8;

/// Identifies a request for a place at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The daemon that asks.
    pub writer: Writer,

    /// Its number for the request.
    pub number: u64,
}

/// How the calls of one caller are ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// First come, first served, over all callers.
    Fifo,

    /// Fair shares across callers; within a caller the program that has had
    /// the least service comes first, and waiting counts in its favour.
    #[default]
    LeastAttained,
}

/// A request for a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its ticket.
    pub ticket: Ticket,

    /// Whose call it is.
    pub caller: CallerId,

    /// The caller's weight.
    pub weight: u64,

    /// The root of the call's program.
    pub root: ProgramId,

    /// Service that the root and its sub-agents have had, in tokens.
    pub attained: u64,

    /// Expected cost, in tokens.
    pub cost: u64,

    /// Calls that the caller may have waiting here.
    pub waiting_max: u64,

    /// Whether a like request ran on an endpoint when it crashed.
    pub suspect: bool,
}

/// Answer to a request for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// It waits; [`Queue::grant_next`] will name its ticket.
    Waiting,

    /// Its caller has too much waiting already.
    Refused {
        /// When a part of that will be through, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Debug, Clone)]
struct Waiting {
    request: Request,
    since: MonoMs,
}

#[derive(Debug, Clone)]
struct Granted {
    caller: CallerId,
    weight: u64,
    cost: u64,
    suspect: bool,
    since: MonoMs,
}

#[derive(Debug, Clone, Default)]
struct Share {
    virtual_start: u64,
    waiting: BTreeSet<(u64, Ticket)>,
    in_flight: u64,
}

/// Load of an endpoint as its home sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Calls sent and not ended.
    pub in_flight: u64,

    /// Calls that wait.
    pub waiting: u64,

    /// Expected cost of the waiting calls, in tokens.
    pub waiting_cost: u64,

    /// Calls that may be in flight.
    pub limit: u64,

    /// Mean time between grants while calls wait, in milliseconds.
    pub grant_gap_ms: f64,
}

/// The queue of one endpoint.
#[derive(Debug, Clone)]
pub struct Queue {
    order: Order,
    limit: u64,
    virtual_now: u64,
    arrivals: u64,
    waiting: BTreeMap<Ticket, (u64, Waiting)>,
    waiting_cost: u64,
    granted: BTreeMap<Ticket, Granted>,
    shares: BTreeMap<CallerId, Share>,
    backlog: BTreeSet<(u64, CallerId)>,
    suspects: u64,
    last_grant: MonoMs,
    grant_gap_ms: f64,
}

impl Queue {
    /// An empty queue of an endpoint that takes `limit` calls at a time.
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

    /// Changes the number of calls in flight that the endpoint takes.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// The number of calls in flight that the endpoint takes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Queues a request, or refuses it for its caller's own backlog.
    pub fn offer(&mut self, request: Request, now: MonoMs) -> OfferResult {
        let waits = self
            .shares
            .get(&request.caller)
            .map_or(0, |s| s.waiting.len() as u64);
        if waits >= request.waiting_max {
            let ahead = waits.min(SMOOTHING) as f64;
            let callers = self.backlog.len().max(1) as f64;
            let retry_after_ms = (ahead * callers * self.grant_gap_ms).max(100.0) as u64;
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
            // What waiting outweighs grows by the same for all, so that the
            // order of two waiting calls never changes.
            Order::LeastAttained => request.attained + now.0 * AGEING_TOKENS_PER_S / 1_000,
        };
        self.waiting_cost += request.cost;
        let share = self.shares.entry(request.caller.clone()).or_default();
        if share.waiting.is_empty() {
            if share.in_flight == 0 || share.virtual_start < self.virtual_now {
                share.virtual_start = share.virtual_start.max(self.virtual_now);
            }
            let place = (share.virtual_start, request.caller.clone());
            self.backlog.insert(place);
        }
        share.waiting.insert((key, request.ticket.clone()));
        let ticket = request.ticket.clone();
        let waiting = Waiting {
            request,
            since: now,
        };
        self.waiting.insert(ticket, (key, waiting));
    }

    /// Grants the next place, if there is one and a call for it.
    pub fn grant_next(&mut self, now: MonoMs) -> Option<Ticket> {
        if self.granted.len() as u64 >= self.limit {
            return None;
        }
        let ticket = match self.order {
            Order::Fifo => self.first_come(),
            Order::LeastAttained => self.fairest(),
        }?;
        let (waiting, _) = self.take(&ticket)?;
        self.note_gap(now);
        self.charge(&waiting.request);
        self.granted.insert(
            ticket.clone(),
            Granted {
                caller: waiting.request.caller,
                weight: waiting.request.weight,
                cost: waiting.request.cost,
                suspect: waiting.request.suspect,
                since: now,
            },
        );
        Some(ticket)
    }

    fn first_come(&self) -> Option<Ticket> {
        let ahead = self
            .waiting
            .iter()
            .filter(|(_, (_, w))| self.may_run(&w.request));
        let first = ahead.min_by_key(|(_, (key, _))| *key);
        first.map(|(ticket, _)| ticket.clone())
    }

    fn fairest(&self) -> Option<Ticket> {
        for (_, caller) in &self.backlog {
            let share = self.shares.get(caller)?;
            let mut runnable = share.waiting.iter().filter(|(_, ticket)| {
                let entry = self.waiting.get(ticket);
                entry.is_some_and(|(_, w)| self.may_run(&w.request))
            });
            if let Some((_, ticket)) = runnable.next() {
                return Some(ticket.clone());
            }
        }
        None
    }

    /// Two suspects never run side by side, so that a crash names one.
    fn may_run(&self, request: &Request) -> bool {
        !request.suspect || self.suspects == 0
    }

    fn note_gap(&mut self, now: MonoMs) {
        let gap = now.since(self.last_grant).min(10_000) as f64;
        self.grant_gap_ms += (gap - self.grant_gap_ms) / 8.0;
        self.last_grant = now;
    }

    fn charge(&mut self, request: &Request) {
        self.suspects += u64::from(request.suspect);
        let Some(share) = self.shares.get_mut(&request.caller) else {
            return;
        };
        self.virtual_now = self.virtual_now.max(share.virtual_start);
        share.in_flight += 1;
        let cost = virtual_cost(request.cost, request.weight);
        self.move_share(&request.caller, |start| start + cost);
    }

    /// Changes a caller's virtual start, keeping its place in the backlog.
    fn move_share(&mut self, caller: &CallerId, change: impl FnOnce(u64) -> u64) {
        let Some(share) = self.shares.get_mut(caller) else {
            return;
        };
        let listed = self.backlog.remove(&(share.virtual_start, caller.clone()));
        share.virtual_start = change(share.virtual_start);
        if listed {
            self.backlog.insert((share.virtual_start, caller.clone()));
        }
    }

    /// Takes a request out of the waiting ones.
    fn take(&mut self, ticket: &Ticket) -> Option<(Waiting, u64)> {
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

    /// Ends a call, or a wait, that cost `actual` tokens.
    pub fn release(&mut self, ticket: &Ticket, actual: u64) {
        if self.take(ticket).is_some() {
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
        self.move_share(&caller, |start| (start + actual).saturating_sub(expected));
        self.forget_idle(&caller);
    }

    /// A caller without calls that is not behind needs no share.
    fn forget_idle(&mut self, caller: &CallerId) {
        let idle = self.shares.get(caller).is_some_and(|s| {
            s.in_flight == 0 && s.waiting.is_empty() && s.virtual_start <= self.virtual_now
        });
        if idle {
            self.shares.remove(caller);
        }
    }

    /// Tickets of calls that wait or run for which `gone` holds.
    pub fn matching_tickets(&self, gone: impl Fn(&Ticket, MonoMs) -> bool) -> Vec<Ticket> {
        let waiting = self.waiting.iter().map(|(t, (_, w))| (t, w.since));
        let granted = self.granted.iter().map(|(t, g)| (t, g.since));
        waiting
            .chain(granted)
            .filter(|(t, since)| gone(t, *since))
            .map(|(t, _)| t.clone())
            .collect()
    }

    /// The endpoint's load.
    pub fn load(&self) -> Load {
        Load {
            in_flight: self.granted.len() as u64,
            waiting: self.waiting.len() as u64,
            waiting_cost: self.waiting_cost,
            limit: self.limit,
            grant_gap_ms: self.grant_gap_ms,
        }
    }

    /// Waiting calls by caller.
    pub fn waiting_by_caller(&self) -> BTreeMap<CallerId, u64> {
        let shares = self.shares.iter();
        shares
            .map(|(caller, share)| (caller.clone(), share.waiting.len() as u64))
            .collect()
    }
}

fn virtual_cost(tokens: u64, weight: u64) -> u64 {
    tokens * VIRTUAL_PER_TOKEN / weight.max(1)
}
