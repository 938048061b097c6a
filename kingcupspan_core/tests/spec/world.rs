//! State of the specification: a log, daemons, an endpoint, and the replies
//! that callers got.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap, HashSet},
    hash::{Hash, Hasher},
    rc::Rc,
};

use kingcupspan_core::{
    budget::Amount,
    digest::Digest,
    id::{Fence, Offset, ProgramId, Slot, VmId, WallMs, Writer},
    reader::Reader,
    record::{Batch, Open, Record, RecordId},
    replica::Replica,
};

use crate::bounds::{Bounds, Task};

/// Maximum number of records in one append.
pub const BATCH_MAX: usize = 16;

/// Number of an attempt to run a call.
pub type Attempt = u8;

/// Phase of a call at its owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The start of the call has been proposed.
    Starting(RecordId),

    /// The call has been sent.
    Sent,

    /// The end of the call with its answer has been proposed.
    Finishing(RecordId),
}

/// Call at its owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Call {
    /// Index of the task.
    pub task: usize,

    /// Attempt to run the call.
    pub attempt: Attempt,

    /// Record that started the call.
    pub start: RecordId,

    /// Phase of the call.
    pub phase: Phase,
}

/// Daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Node {
    /// Incarnation of the daemon.
    pub writer: Writer,

    /// Replica of the slot at the daemon.
    pub replica: Replica,

    /// Calls in flight.
    pub calls: Vec<Call>,

    /// Whether the daemon cannot reach the log.
    pub is_log_unreachable: bool,
}

/// Call in transit to the endpoint, or run by it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    /// Index of the task.
    pub task: usize,

    /// Attempt to run the call.
    pub attempt: Attempt,

    /// Fencing number of the call.
    pub fence: Fence,
}

/// Reply that a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reply {
    /// The attempt did not run.
    NotRun(Attempt),

    /// The call of this task did not run and never will.
    NeverRun(usize),

    /// The answer to the task, stored on the log or by peers.
    Answered(usize),

    /// The answer to the task, which was on the log when the caller got it.
    AnsweredFromLog(usize),
}

/// Numbers of events that may still happen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Remaining {
    /// Number of claims.
    pub claims: u8,
    /// Number of requests.
    pub requests: u8,
    /// Number of crashes.
    pub crashes: u8,
    /// Number of late appends.
    pub late_appends: u8,
    /// Number of late sends.
    pub late_sends: u8,
    /// Number of snapshots.
    pub snapshots: u8,
    /// Number of outages.
    pub outages: u8,
}

/// State of the specification.
#[derive(Debug, Clone)]
pub struct World {
    /// All batches ever appended.
    pub log: Vec<Rc<Batch>>,

    /// Offset of the oldest batch that can still be read.
    pub oldest: usize,

    /// Batches whose append may still take effect.
    pub late_batches: Vec<Rc<Batch>>,

    /// All daemons.
    pub nodes: Vec<Rc<Node>>,

    /// Calls in transit to the endpoint.
    pub in_transit: Vec<Message>,

    /// Calls that the endpoint has run, in order.
    pub executed: Vec<Message>,

    /// Highest fencing number that the endpoint has seen.
    pub fence: Fence,

    /// Replies that callers got.
    pub replies: BTreeSet<Reply>,

    /// Number of the next attempt.
    pub next_attempt: Attempt,

    /// Numbers of events that may still happen.
    pub remaining: Remaining,
}

/// Returns the identifier of a program.
pub fn program_id(index: usize) -> ProgramId {
    ProgramId {
        slot: Slot(0),
        nonce: index as u64,
    }
}

/// Returns the digest of a task's request.
pub fn task_digest(task: &Task) -> Digest {
    Digest::of(&[task.program as u8, task.turn as u8])
}

/// Returns the writer for an incarnation of a node.
pub fn writer(node: usize, incarnation: u64) -> Writer {
    let vm: VmId = format!("n{node}").parse().expect("a valid name");
    Writer { vm, incarnation }
}

/// Returns the record that opens a program.
fn open(index: usize, bounds: &Bounds) -> Record {
    Record::Open(Open {
        program: program_id(index),
        caller: "caller".parse().expect("a valid name"),
        workspace: "workspace".parse().expect("a valid name"),
        parent: (index > 0).then(|| program_id(0)),
        limit: Amount {
            tokens: 100,
            calls: bounds.calls,
        },
        deadline: WallMs(u64::MAX),
    })
}

impl PartialEq for World {
    /// Compares shared parts by address, which is sufficient because both
    /// states are interned.
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

thread_local! {
    /// Readers that have applied a prefix of the log, by the addresses of the
    /// prefix's interned batches.
    static REFERENCE_READERS: RefCell<HashMap<Vec<usize>, Rc<Reader>>> = RefCell::default();
}

/// Clears the cache of readers. This must be called before the batches are
/// dropped, because their addresses are the keys of the cache.
pub fn clear_reference_readers() {
    REFERENCE_READERS.with_borrow_mut(HashMap::clear);
}

/// Shares equal parts between states, so that millions of states fit into
/// memory.
#[derive(Default)]
pub struct Interner {
    nodes: HashSet<Rc<Node>>,
    batches: HashSet<Rc<Batch>>,
}

impl Interner {
    /// Replaces the parts of a state by shared ones.
    pub fn intern(&mut self, world: &mut World) {
        for node in &mut world.nodes {
            intern_part(&mut self.nodes, node);
        }
        for batch in world.log.iter_mut().chain(&mut world.late_batches) {
            intern_part(&mut self.batches, batch);
        }
        world.log.shrink_to_fit();
    }
}

/// Replaces a part by the equal one in the pool, or adds it to the pool.
fn intern_part<T: Eq + Hash>(pool: &mut HashSet<Rc<T>>, part: &mut Rc<T>) {
    if Rc::strong_count(part) > 1 {
        return;
    }
    match pool.get(&**part) {
        Some(known) => *part = Rc::clone(known),
        None => {
            pool.insert(Rc::clone(part));
        }
    }
}

/// Key by which states are compared.
type Key<'a> = (
    Vec<usize>,
    &'a [Message],
    &'a [Message],
    &'a BTreeSet<Reply>,
    (usize, Fence, Attempt, &'a Remaining),
);

fn address<T>(part: &Rc<T>) -> usize {
    Rc::as_ptr(part) as usize
}

impl World {
    fn key(&self) -> Key<'_> {
        let nodes = self.nodes.iter().map(address);
        let batches = self.log.iter().map(address).chain([0]);
        let late = self.late_batches.iter().map(address);
        (
            nodes.chain(batches).chain(late).collect(),
            &self.in_transit,
            &self.executed,
            &self.replies,
            (self.oldest, self.fence, self.next_attempt, &self.remaining),
        )
    }

    /// Creates the initial state: the first daemon owns the slot, all programs
    /// are open, and all daemons have read the log.
    pub fn new(bounds: &Bounds) -> Self {
        let nodes = (0..bounds.nodes).map(|n| {
            Rc::new(Node {
                writer: writer(n, 1),
                replica: Replica::new(writer(n, 1)),
                calls: Vec::new(),
                is_log_unreachable: false,
            })
        });
        let mut world = Self {
            log: Vec::new(),
            oldest: 0,
            late_batches: Vec::new(),
            nodes: nodes.collect(),
            in_transit: Vec::new(),
            executed: Vec::new(),
            fence: Fence::default(),
            replies: BTreeSet::new(),
            next_attempt: 0,
            remaining: Remaining {
                claims: bounds.claims,
                requests: bounds.requests,
                crashes: bounds.crashes,
                late_appends: bounds.late_appends,
                late_sends: bounds.late_sends,
                snapshots: bounds.snapshots,
                outages: bounds.outages,
            },
        };
        world.log.push(Rc::new(Batch::Claim {
            writer: writer(0, 1),
            prev: None,
        }));
        world.read_all();
        let owner = &mut Rc::make_mut(&mut world.nodes[0]).replica;
        let takeover = owner.takeover().expect("the first claim takes effect");
        owner.serve(&takeover, Vec::new());
        for index in 0..bounds.programs {
            owner.propose(open(index, bounds)).expect("a new program");
        }
        let batch = owner.batch(BATCH_MAX).expect("records to append");
        world.log.push(Rc::new(batch));
        world.read_all();
        world
    }

    fn read_all(&mut self) {
        for node in &mut self.nodes {
            let node = Rc::make_mut(node);
            while let Some(batch) = self.log.get(node.replica.next().0 as usize) {
                node.replica.apply(node.replica.next(), batch);
            }
        }
    }

    /// Lets a daemon read to the end of the log; returns false if there is
    /// nothing to read.
    ///
    /// Partial reads need no steps of their own, because they are equivalent to
    /// reads before the remaining records were appended.
    pub fn read(&mut self, n: usize) -> bool {
        let mut read = false;
        while let Some(batch) = self.log.get(self.nodes[n].replica.next().0 as usize) {
            let batch = Rc::clone(batch);
            let oldest = self.oldest as u64;
            let replica = &mut self.node(n).replica;
            let next = replica.next();
            match next.0 < oldest {
                true => replica.restart(Offset(oldest)),
                false => {
                    replica.apply(next, &batch);
                }
            }
            read = true;
        }
        read
    }

    /// Returns a daemon for modification.
    pub fn node(&mut self, n: usize) -> &mut Node {
        Rc::make_mut(&mut self.nodes[n])
    }

    /// Returns a reader that has applied the first `length` batches of the log.
    pub fn reference(&self, length: usize) -> Rc<Reader> {
        let prefix: Vec<usize> = self.log.iter().take(length).map(address).collect();
        if let Some(known) = REFERENCE_READERS.with_borrow(|readers| readers.get(&prefix).cloned())
        {
            return known;
        }
        let reader = match length.checked_sub(1) {
            None => Reader::new(Offset(0)),
            Some(last) => {
                let mut reader = Reader::clone(&self.reference(last));
                reader.apply(Offset(last as u64), &self.log[last]);
                reader
            }
        };
        let reader = Rc::new(reader);
        REFERENCE_READERS.with_borrow_mut(|readers| readers.insert(prefix, Rc::clone(&reader)));
        reader
    }

    /// Returns the offset of the last batch with a snapshot that took effect.
    pub fn last_snapshot(&self) -> Option<usize> {
        let mut reader = Reader::new(Offset(0));
        let mut last = None;
        for (offset, batch) in self.log.iter().enumerate() {
            let applied = reader.apply(Offset(offset as u64), batch);
            let has_effect = matches!(applied, kingcupspan_core::slot::Applied::RecordsApplied(_));
            if let Batch::Owned { entries, .. } = &**batch
                && has_effect
                && entries
                    .iter()
                    .any(|e| matches!(e.record, Record::Snapshot(_)))
            {
                last = Some(offset);
            }
        }
        last
    }
}
