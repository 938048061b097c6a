//! The state of the specification: a log, daemons, an endpoint, and what
//! callers have been told.

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

/// Most records in one append.
pub const BATCH_MAX: usize = 16;

/// One try of one call.
pub type Attempt = u8;

/// How far a call has come at its owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Its start has been proposed.
    Starting(RecordId),

    /// It has been sent.
    Sent,

    /// Its answer has been proposed.
    Finishing(RecordId),
}

/// A call at its owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Call {
    /// Index of the task.
    pub task: usize,

    /// The try.
    pub attempt: Attempt,

    /// The record that started it.
    pub start: RecordId,

    /// How far it has come.
    pub phase: Phase,
}

/// A daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Node {
    /// Its incarnation.
    pub writer: Writer,

    /// Its part in the slot.
    pub replica: Replica,

    /// Calls under way.
    pub calls: Vec<Call>,

    /// Whether it is cut off from the log.
    pub log_away: bool,
}

/// A call on its way to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Message {
    /// Index of the task.
    pub task: usize,

    /// The try.
    pub attempt: Attempt,

    /// Its fencing number.
    pub fence: Fence,
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Told {
    /// This try did not run.
    NotRun(Attempt),

    /// The turn will never have run.
    NeverRun(usize),

    /// The task's answer, which is on the log or with peers.
    Answered(usize),

    /// The same, and it was on the log by then.
    OnLog(usize),
}

/// What may still happen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Left {
    /// Claims.
    pub claims: u8,
    /// Requests.
    pub requests: u8,
    /// Crashes.
    pub crashes: u8,
    /// Late appends.
    pub late_appends: u8,
    /// Late sends.
    pub late_sends: u8,
    /// Snapshots.
    pub snapshots: u8,
    /// Outages.
    pub outages: u8,
}

/// The whole state.
#[derive(Debug, Clone)]
pub struct World {
    /// All records ever appended.
    pub log: Vec<Rc<Batch>>,

    /// The oldest that can still be read.
    pub oldest: usize,

    /// Appends that may still take effect.
    pub late: Vec<Rc<Batch>>,

    /// Daemons.
    pub nodes: Vec<Rc<Node>>,

    /// Calls on their way to the endpoint.
    pub wire: Vec<Message>,

    /// Tries that the endpoint has run, in order.
    pub executed: Vec<Message>,

    /// The highest fencing number that the endpoint has seen.
    pub fence: Fence,

    /// What callers were told.
    pub told: BTreeSet<Told>,

    /// Number of the next try.
    pub attempts: Attempt,

    /// What may still happen.
    pub left: Left,
}

/// The id of a program.
pub fn program_id(index: usize) -> ProgramId {
    ProgramId {
        slot: Slot(0),
        nonce: index as u64,
    }
}

/// The digest of a task's request.
pub fn task_digest(task: &Task) -> Digest {
    Digest::of(&[task.program as u8, task.turn as u8])
}

/// The writer of a node's incarnation.
pub fn writer(node: usize, incarnation: u64) -> Writer {
    let vm: VmId = format!("n{node}").parse().expect("a valid name");
    Writer { vm, incarnation }
}

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
    /// Compares shared parts by their address: both states are interned.
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
    /// Folds of interned prefixes of the log, by the addresses of their records.
    static FOLDS: RefCell<HashMap<Vec<usize>, Rc<Reader>>> = RefCell::default();
}

/// Forgets all folds, since their records are about to be dropped.
pub fn forget_folds() {
    FOLDS.with_borrow_mut(HashMap::clear);
}

/// Keeps one copy of equal parts, so that millions of states fit into memory.
#[derive(Default)]
pub struct Interner {
    nodes: HashSet<Rc<Node>>,
    batches: HashSet<Rc<Batch>>,
}

impl Interner {
    /// Shares the parts of a state.
    pub fn intern(&mut self, world: &mut World) {
        for node in &mut world.nodes {
            shared(&mut self.nodes, node);
        }
        for batch in world.log.iter_mut().chain(&mut world.late) {
            shared(&mut self.batches, batch);
        }
        world.log.shrink_to_fit();
    }
}

fn shared<T: Eq + Hash>(pool: &mut HashSet<Rc<T>>, part: &mut Rc<T>) {
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

/// What tells states apart.
type Key<'a> = (
    Vec<usize>,
    &'a [Message],
    &'a [Message],
    &'a BTreeSet<Told>,
    (usize, Fence, Attempt, &'a Left),
);

fn address<T>(part: &Rc<T>) -> usize {
    Rc::as_ptr(part) as usize
}

impl World {
    fn key(&self) -> Key<'_> {
        let nodes = self.nodes.iter().map(address);
        let batches = self.log.iter().map(address).chain([0]);
        let late = self.late.iter().map(address);
        (
            nodes.chain(batches).chain(late).collect(),
            &self.wire,
            &self.executed,
            &self.told,
            (self.oldest, self.fence, self.attempts, &self.left),
        )
    }

    /// The first daemon owns the slot, all programs are open, all have read it.
    pub fn new(bounds: &Bounds) -> Self {
        let nodes = (0..bounds.nodes).map(|n| {
            Rc::new(Node {
                writer: writer(n, 1),
                replica: Replica::new(writer(n, 1)),
                calls: Vec::new(),
                log_away: false,
            })
        });
        let mut world = Self {
            log: Vec::new(),
            oldest: 0,
            late: Vec::new(),
            nodes: nodes.collect(),
            wire: Vec::new(),
            executed: Vec::new(),
            fence: Fence::default(),
            told: BTreeSet::new(),
            attempts: 0,
            left: Left {
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
        let takeover = owner.takeover().expect("the first claim counts");
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

    /// Lets a daemon read to the end of the log; false if there is nothing to read.
    ///
    /// Reading less is the same as having read before the rest was appended.
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

    /// A daemon, to be changed.
    pub fn node(&mut self, n: usize) -> &mut Node {
        Rc::make_mut(&mut self.nodes[n])
    }

    /// The fold of the first `length` records.
    pub fn reference(&self, length: usize) -> Rc<Reader> {
        let prefix: Vec<usize> = self.log.iter().take(length).map(address).collect();
        if let Some(known) = FOLDS.with_borrow(|folds| folds.get(&prefix).cloned()) {
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
        FOLDS.with_borrow_mut(|folds| folds.insert(prefix, Rc::clone(&reader)));
        reader
    }

    /// Offset of the last snapshot that counts.
    pub fn last_snapshot(&self) -> Option<usize> {
        let mut reader = Reader::new(Offset(0));
        let mut last = None;
        for (offset, batch) in self.log.iter().enumerate() {
            let applied = reader.apply(Offset(offset as u64), batch);
            let counts = matches!(applied, kingcupspan_core::slot::Applied::Folded(_));
            if let Batch::Owned { entries, .. } = &**batch
                && counts
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
