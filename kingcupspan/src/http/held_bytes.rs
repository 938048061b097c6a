//! Memory that the connections of callers hold, bounded for the whole process.

use std::{
    collections::HashMap,
    net,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future, net::TcpStream};
use event_listener::Event;
use kingcupspan_core::gateway::byte_budget::{BudgetLimits, ByteBudget, Grant, HolderId, Stage};
use parking_lot::Mutex;

use crate::clock::Clock;

/// Longest wait for room; longer than it takes until a stalled connection gives way.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Interval at which a connection that waits for room looks for stalled connections.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Error returned when there is no room for what a connection would hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory left for the request")]
pub struct NoRoom;

/// Connections of callers and what they hold.
pub struct HeldBytes {
    clock: Clock,
    state: Mutex<State>,

    /// Notified when a connection holds less than before.
    room: Event,
}

/// A connection that holds memory, as those that need its room see it.
struct Connection {
    stream: TcpStream,

    /// Notified when the connection has to give way while it sends.
    eviction: Arc<Event>,
}

struct State {
    budget: ByteBudget,
    connections: HashMap<HolderId, Connection>,

    /// Number of connections that wait for room.
    waiting: usize,

    /// Number of connections that gave way to others and were not reported yet.
    stalled: u64,
}

impl State {
    /// Lets the tasks of connections end.
    fn evict(&mut self, ids: &[HolderId]) {
        self.stalled += ids.len() as u64;
        for id in ids {
            let Some(conn) = self.connections.get(id) else {
                continue;
            };
            match self.budget.stage(*id) {
                // A shutdown would end a body in order that ends with its connection.
                Some(Stage::Sending) => {
                    conn.eviction.notify(usize::MAX);
                }
                // The caller of a request that did not arrive is told so.
                _ => {
                    // The connection may be closed already.
                    let _ = conn.stream.shutdown(net::Shutdown::Read);
                }
            }
        }
    }
}

impl HeldBytes {
    /// Creates a state without connections.
    pub fn new(limits: BudgetLimits, clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                budget: ByteBudget::new(limits),
                connections: HashMap::new(),
                waiting: 0,
                stalled: 0,
            }),
            room: Event::new(),
        }
    }

    /// Adds a connection; `None` if there are too many.
    pub fn open(self: &Arc<Self>, stream: &TcpStream) -> Option<Holder> {
        let now = self.clock.mono();
        let mut state = self.state.lock();
        let (id, evicted) = state.budget.open(now)?;
        let eviction = Arc::new(Event::new());
        let conn = Connection {
            stream: stream.clone(),
            eviction: Arc::clone(&eviction),
        };
        state.connections.insert(id, conn);
        state.evict(evicted.as_slice());
        Some(Holder {
            held: Arc::clone(self),
            id,
            eviction,
        })
    }

    /// Returns the bytes that connections hold and the number of connections.
    pub fn totals(&self) -> (u64, usize) {
        let state = self.state.lock();
        (state.budget.held(), state.budget.connections())
    }

    /// Returns how many connections gave way to others since the last call.
    pub fn take_stalled_count(&self) -> u64 {
        std::mem::take(&mut self.state.lock().stalled)
    }
}

/// A connection that holds memory; it holds none once this is dropped.
pub struct Holder {
    held: Arc<HeldBytes>,
    id: HolderId,

    /// Notified when the connection has to give way while it sends.
    eviction: Arc<Event>,
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut state = self.held.state.lock();
        state.budget.close(self.id);
        state.connections.remove(&self.id);
        drop(state);
        self.held.room.notify(1);
    }
}

impl Holder {
    /// Changes what the connection holds to `bytes` if there is room now.
    pub fn try_resize(&self, bytes: usize) -> Result<(), NoRoom> {
        let now = self.held.clock.mono();
        let mut state = self.held.state.lock();
        let before = state.budget.held();
        match state.budget.resize(self.id, bytes as u64, now) {
            Grant::Granted if state.budget.held() < before => {
                drop(state);
                self.held.room.notify(1);
                Ok(())
            }
            Grant::Granted => Ok(()),
            Grant::Short(evicted) => {
                state.evict(&evicted);
                Err(NoRoom)
            }
        }
    }

    /// Changes what the connection holds to `bytes`, waiting for room if there is none.
    pub async fn resize(&self, bytes: usize) -> Result<(), NoRoom> {
        if self.try_resize(bytes).is_ok() {
            return Ok(());
        }
        match self.begin_waiting(bytes) {
            Some(_waiting) => self.wait_for_room(bytes).await,
            None => Err(NoRoom),
        }
    }

    /// Counts the connection as waiting; `None` if it should not wait.
    fn begin_waiting(&self, bytes: usize) -> Option<Waiting<'_>> {
        let now = self.held.clock.mono();
        let mut state = self.held.state.lock();
        let can_wait = state.waiting < state.budget.limits().waiting
            && state.budget.can_ever_hold(bytes as u64)
            && state.budget.set_stage(self.id, Stage::Processing, now);
        can_wait.then(|| {
            state.waiting += 1;
            Waiting(self)
        })
    }

    /// Waits until there is room.
    async fn wait_for_room(&self, bytes: usize) -> Result<(), NoRoom> {
        let started_at = Instant::now();
        while started_at.elapsed() < MAX_WAIT {
            let room = self.held.room.listen();
            if self.try_resize(bytes).is_ok() {
                return Ok(());
            }
            // Whether there was a notification or not, the next attempt tells.
            let _ = future::timeout(POLL_INTERVAL, room).await;
        }
        Err(NoRoom)
    }

    /// Records bytes that were received or sent.
    pub fn record_progress(&self, bytes: usize) {
        let now = self.held.clock.mono();
        let budget = &mut self.held.state.lock().budget;
        budget.record_progress(self.id, bytes as u64, now);
    }

    /// Records what the connection does; false if it has to give way.
    pub fn set_stage(&self, stage: Stage) -> bool {
        let now = self.held.clock.mono();
        let budget = &mut self.held.state.lock().budget;
        budget.set_stage(self.id, stage, now)
    }

    /// Whether the connection has to give way.
    pub fn is_evicted(&self) -> bool {
        self.held.state.lock().budget.is_evicted(self.id)
    }

    /// Waits until the connection has to give way while it sends.
    pub async fn wait_for_eviction(&self) {
        loop {
            let eviction = self.eviction.listen();
            if self.is_evicted() {
                return;
            }
            eviction.await;
        }
    }

    /// Records that the connection sends to its caller until the returned guard is dropped.
    pub fn begin_sending(&self) -> Sending<'_> {
        let former = self.held.state.lock().budget.stage(self.id);
        self.set_stage(Stage::Sending);
        Sending {
            holder: self,
            former: former.unwrap_or(Stage::Processing),
        }
    }
}

/// Counts a connection as waiting for room until it is dropped.
struct Waiting<'a>(&'a Holder);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.held.state.lock().waiting -= 1;
        self.0.set_stage(Stage::Receiving);
    }
}

/// Marks a connection as sending to its caller until it is dropped.
pub struct Sending<'a> {
    holder: &'a Holder,

    /// What the connection did before.
    former: Stage,
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        self.holder.set_stage(self.former);
    }
}
