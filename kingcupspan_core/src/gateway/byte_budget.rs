//! Memory that the connections of callers hold together, and which of them give way to others
//! when it is short.

use std::{cmp::Reverse, collections::BTreeMap};

use crate::id::MonoMs;

/// Divisor of the VM's memory that gives the bytes of all requests.
const MEMORY_DIVISOR: u64 = 6;

/// Divisor of the VM's memory that gives the bytes of all connections without their requests.
const CONNECTIONS_DIVISOR: u64 = 8;

/// Divisor of the budget that gives the floor of ordinary requests.
const FLOOR_DIVISOR: u64 = 4;

/// Number of descriptors that are needed for files, listeners and the platform's services.
const OWN_FDS: u64 = 200;

/// Divisor of the remaining descriptors that gives the number of callers' connections; each
/// may need another one to an endpoint.
const FDS_DIVISOR: u64 = 2;

/// Divisor of the number of connections that gives how many may be about to close beside them.
const LEAVING_DIVISOR: usize = 16;

/// Memory that a connection takes without a request, in bytes.
const CONNECTION_BYTES: u64 = 4 * 1024;

/// Most bytes that an ordinary request holds; what one holds beyond does not use the floor.
pub const ORDINARY_BYTES: u64 = 64 * 1024;

/// Memory that the kernel may hold for a connection that is not read while it waits for room.
const UNREAD_BYTES: u64 = 128 * 1024;

/// Time without progress after which a connection gives way to others.
pub const STALL_MS: u64 = 500;

/// Bytes that have to move until a connection has made progress.
const PROGRESS_BYTES: u64 = 4 * 1024;

/// Identifies a connection among those that hold memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub u64);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a request.
    Idle,

    /// Receives a request from its caller.
    Receiving,

    /// Waits for the daemon: for room, or for the answer of an endpoint.
    Processing,

    /// Sends to its caller, which does not read at once.
    Sending,
}

impl Stage {
    /// Whether it is the caller that holds the connection up.
    fn waits_for_caller(self) -> bool {
        match self {
            Self::Idle | Self::Receiving | Self::Sending => true,
            Self::Processing => false,
        }
    }
}

/// Bounds of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Bytes that all connections may hold together for their requests.
    pub bytes: u64,

    /// Part of `bytes` that only ordinary requests use.
    pub floor: u64,

    /// Number of connections.
    pub connections: usize,

    /// Number of connections that may wait for room at the same time.
    pub waiting: usize,
}

impl BudgetLimits {
    /// Derives the bounds from the memory of the VM and the descriptors of the process.
    pub fn for_vm(memory_bytes: u64, max_fds: u64) -> Self {
        let bytes = memory_bytes / MEMORY_DIVISOR;
        let floor = bytes / FLOOR_DIVISOR;
        let by_fds = max_fds.saturating_sub(OWN_FDS) / FDS_DIVISOR;
        let by_memory = memory_bytes / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        Self {
            bytes,
            floor,
            connections: by_fds.min(by_memory).max(1) as usize,
            waiting: (floor / UNREAD_BYTES).max(1) as usize,
        }
    }
}

/// Reply to a connection that needs room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Grant {
    /// The connection may hold what it asked for.
    Granted,

    /// There is no room; these connections give way and have to be closed.
    Short(Vec<HolderId>),
}

/// A connection and what it holds.
#[derive(Debug)]
struct Holder {
    bytes: u64,
    stage: Stage,

    /// Time when the connection last made progress.
    progressed_at: MonoMs,

    /// Bytes that have moved since then.
    moved: u64,

    /// Whether the connection has been told to give way.
    is_evicted: bool,
}

/// Memory of a process that the connections of callers hold.
#[derive(Debug)]
pub struct ByteBudget {
    limits: BudgetLimits,
    holders: BTreeMap<HolderId, Holder>,
    next_id: u64,

    /// Bytes that all connections hold.
    held: u64,

    /// Bytes of `held` that connections hold which have been told to give way.
    leaving: u64,

    /// Number of connections that have been told to give way.
    leaving_connections: usize,
}

impl ByteBudget {
    /// Creates a budget that nobody uses.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            holders: BTreeMap::new(),
            next_id: 0,
            held: 0,
            leaving: 0,
            leaving_connections: 0,
        }
    }

    /// Returns the bounds.
    pub fn limits(&self) -> BudgetLimits {
        self.limits
    }

    /// Returns the bytes that all connections hold.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.holders.len()
    }

    /// Adds a connection without a request; `None` if there are too many. The second value is the
    /// connection that gives way to it, which has to be closed.
    pub fn open(&mut self, now: MonoMs) -> Option<(HolderId, Option<HolderId>)> {
        if self.leaving_connections > self.limits.connections / LEAVING_DIVISOR {
            return None;
        }
        let remaining = self.holders.len() - self.leaving_connections;
        let evicted = match remaining < self.limits.connections {
            true => None,
            false => Some(self.evict_for_connection(now)?),
        };
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            bytes: 0,
            stage: Stage::Idle,
            progressed_at: now,
            moved: 0,
            is_evicted: false,
        };
        self.holders.insert(id, holder);
        Some((id, evicted))
    }

    /// Removes a connection; what it held is free.
    pub fn close(&mut self, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        self.held -= holder.bytes;
        if holder.is_evicted {
            self.leaving -= holder.bytes;
            self.leaving_connections -= 1;
        }
    }

    /// Changes what a connection holds to `bytes`, if there is room; otherwise it holds what it held
    /// before.
    pub fn resize(&mut self, id: HolderId, bytes: u64, now: MonoMs) -> Grant {
        let bound = self.bound(bytes);
        let Some(holder) = self.holders.get_mut(&id) else {
            return Grant::Short(Vec::new());
        };
        let others = self.held - holder.bytes;
        let is_growing = bytes > holder.bytes;
        let wanted = others.saturating_add(bytes);
        if is_growing && holder.is_evicted {
            return Grant::Short(Vec::new());
        }
        if is_growing && wanted > bound {
            return Grant::Short(self.evict_for_bytes(id, wanted - bound, now));
        }
        if holder.is_evicted {
            self.leaving = self.leaving - holder.bytes + bytes;
        }
        holder.bytes = bytes;
        self.held = wanted;
        Grant::Granted
    }

    /// Whether a connection could ever hold `bytes`.
    pub fn can_ever_hold(&self, bytes: u64) -> bool {
        bytes <= self.bound(bytes)
    }

    /// Records bytes that a connection has received or sent.
    pub fn record_progress(&mut self, id: HolderId, bytes: u64, now: MonoMs) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.moved += bytes;
        if holder.moved >= PROGRESS_BYTES {
            holder.moved = 0;
            holder.progressed_at = now;
        }
    }

    /// Records what a connection does; false if it has been told to give way.
    pub fn set_stage(&mut self, id: HolderId, stage: Stage, now: MonoMs) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        if holder.is_evicted {
            return false;
        }
        holder.stage = stage;
        holder.progressed_at = now;
        holder.moved = 0;
        true
    }

    /// Returns what a connection does.
    pub fn stage(&self, id: HolderId) -> Option<Stage> {
        self.holders.get(&id).map(|h| h.stage)
    }

    /// Whether a connection has been told to give way.
    pub fn is_evicted(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|h| h.is_evicted)
    }

    /// Bytes that all connections may hold once one of them holds `bytes` of its own.
    fn bound(&self, bytes: u64) -> u64 {
        match bytes <= ORDINARY_BYTES {
            true => self.limits.bytes,
            false => self.limits.bytes - self.limits.floor,
        }
    }

    /// Connections that their callers hold up and that have made no progress.
    fn stalled(&self, now: MonoMs) -> impl Iterator<Item = (HolderId, &Holder)> {
        let is_stalled = move |h: &Holder| {
            let has_stalled = now.since(h.progressed_at) >= STALL_MS;
            !h.is_evicted && h.stage.waits_for_caller() && has_stalled
        };
        let holders = self.holders.iter().map(|(id, h)| (*id, h));
        holders.filter(move |(_, h)| is_stalled(h))
    }

    /// Tells the connection to give way that is in the way of another one; those in the middle of
    /// a request go before those without one.
    fn evict_for_connection(&mut self, now: MonoMs) -> Option<HolderId> {
        let order = |h: &Holder| (h.stage == Stage::Idle, h.progressed_at);
        let (id, _) = self.stalled(now).min_by_key(|(_, h)| order(h))?;
        self.evict(id);
        Some(id)
    }

    /// Tells connections other than `except` to give way until `missing` bytes will be free, those
    /// that hold the most first. None does if that would not be enough.
    fn evict_for_bytes(&mut self, except: HolderId, missing: u64, now: MonoMs) -> Vec<HolderId> {
        let mut expected = self.leaving;
        if expected >= missing {
            return Vec::new();
        }
        let others = self.stalled(now).filter(|(id, _)| *id != except);
        let mut stalled: Vec<(u64, HolderId)> = others.map(|(id, h)| (h.bytes, id)).collect();
        if expected + stalled.iter().map(|(bytes, _)| bytes).sum::<u64>() < missing {
            return Vec::new();
        }
        stalled.sort_unstable_by_key(|(bytes, id)| (Reverse(*bytes), *id));
        let mut evicted = Vec::new();
        for (bytes, id) in stalled {
            if expected >= missing {
                break;
            }
            expected += bytes;
            self.evict(id);
            evicted.push(id);
        }
        evicted
    }

    /// Tells a connection to give way.
    fn evict(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_evicted = true;
            self.leaving += holder.bytes;
            self.leaving_connections += 1;
        }
    }
}
