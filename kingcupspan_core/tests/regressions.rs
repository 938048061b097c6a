//! Faults that the model checker or a failure test found, each as a short case.

use kingcupspan_core::{
    budget::Amount,
    digest::Digest,
    id::{Offset, ProgramId, Seq, Slot, Turn, WallMs, Writer},
    program::Admission,
    record::{Answer, Batch, Finish, Idempotency, Open, Outcome, Record, RecordId, Start},
    replica::{CopyResult, Durability, Progress, Replica},
    usage::Cost,
};

const PROGRAM: ProgramId = ProgramId {
    slot: Slot(0),
    nonce: 1,
};

/// Replicas of several daemons on one stream.
struct Fleet {
    log: Vec<Batch>,
    replicas: Vec<Replica>,
    writers: Vec<Writer>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let writers: Vec<Writer> = (0..size)
            .map(|n| Writer {
                vm: format!("entry-{n}").parse().unwrap(),
                incarnation: 7,
            })
            .collect();
        let replicas = writers.iter().cloned().map(Replica::new).collect();
        let mut fleet = Self {
            log: Vec::new(),
            replicas,
            writers,
        };
        fleet.claim(0);
        fleet.serve(0);
        let open = Record::Open(Open {
            program: PROGRAM,
            caller: "clerk".parse().unwrap(),
            workspace: "orders".parse().unwrap(),
            parent: None,
            limit: Amount {
                tokens: 100,
                calls: 10,
            },
            deadline: WallMs(u64::MAX),
        });
        fleet.replicas[0].propose(open).unwrap();
        fleet.append(0);
        for n in 0..size {
            fleet.read(n);
        }
        fleet
    }

    fn claim(&mut self, n: usize) {
        self.log.push(Batch::Claim {
            writer: self.writers[n].clone(),
            prev: self.replicas[n].claim().map(|c| c.epoch),
        });
        self.read(n);
    }

    fn serve(&mut self, n: usize) {
        let takeover = self.replicas[n].takeover().expect("a claim in force");
        let mut copies = Vec::new();
        if let Some(upto) = takeover.newest_replaced() {
            for replica in &mut self.replicas {
                copies.extend(replica.seal_copies(upto));
            }
        }
        self.replicas[n].serve(&takeover, copies);
    }

    fn append(&mut self, n: usize) {
        let batch = self.replicas[n].batch(100).expect("something pending");
        self.log.push(batch);
    }

    fn read(&mut self, n: usize) {
        let replica = &mut self.replicas[n];
        while let Some(batch) = self.log.get(replica.next().0 as usize) {
            replica.apply(replica.next(), batch);
        }
    }

    fn copy(&mut self, from: usize, to: usize) -> CopyResult {
        let batch = self.replicas[from].batch(100).expect("something pending");
        let Batch::Owned { epoch, entries, .. } = batch else {
            panic!("an owner appends records");
        };
        self.replicas[to].store_copies(epoch, entries)
    }

    fn start(&mut self, n: usize, repeat: Idempotency) -> RecordId {
        let start = Record::Start(Start {
            program: PROGRAM,
            turn: Turn(0),
            digest: Digest::of(b"request"),
            history: Digest::default(),
            reserve: Amount::call(5),
            idempotency: repeat,
            key: (repeat == Idempotency::NonIdempotent).then(|| "key".to_owned()),
        });
        self.replicas[n].propose(start).unwrap()
    }

    fn admit(&self, n: usize) -> Admission {
        let owner = self.replicas[n].serving().expect("serves");
        let program = &owner.state().programs[&PROGRAM];
        program.admit(Turn(0), Digest::of(b"request"), owner.epoch())
    }
}

fn finish(start: RecordId, outcome: Outcome) -> Record {
    Record::Finish(Finish {
        program: PROGRAM,
        turn: Turn(0),
        start,
        used: Amount::call(3),
        cost: Cost::default(),
        outcome,
    })
}

fn answered() -> Outcome {
    Outcome::Answered(Answer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: b"{}".to_vec(),
        messages: "{}".to_owned(),
    })
}

/// Two starts of one turn under one claim: a late report of the first must
/// not be taken for one of the second, which was sent.
#[test]
fn report_names_the_start_that_it_ends() {
    let mut fleet = Fleet::new(2);
    let first = fleet.start(0, Idempotency::NonIdempotent);
    fleet.replicas[0]
        .propose(finish(first, Outcome::NotRun))
        .unwrap();
    let second = fleet.start(0, Idempotency::NonIdempotent);
    let all = fleet.replicas[0].batch(100).unwrap();
    fleet.append(0);
    fleet.read(0);
    assert_eq!(
        fleet.replicas[0].progress(second, Durability::Log),
        Progress::Durable
    );
    fleet.read(1);
    fleet.claim(1);
    // The same records once more, after the claim: an append whose answer was lost.
    fleet.log.push(all);
    fleet.read(1);
    fleet.serve(1);
    assert_eq!(fleet.admit(1), Admission::Orphaned(None));
}

/// An answer whose start is on the log and whose end only peers have.
#[test]
fn answer_is_adopted_when_only_its_start_is_on_the_log() {
    let mut fleet = Fleet::new(2);
    let start = fleet.start(0, Idempotency::Idempotent);
    fleet.append(0);
    fleet.read(0);
    fleet.read(1);
    fleet.replicas[0]
        .propose(finish(start, answered()))
        .unwrap();
    assert_eq!(fleet.copy(0, 1), CopyResult::Stored);
    fleet.claim(1);
    fleet.serve(1);
    assert_eq!(fleet.admit(1), Admission::Replay(answered()));
}

/// A call that was withdrawn and started again, all of it only with peers.
#[test]
fn withdrawn_start_does_not_hide_the_one_after_it() {
    let mut fleet = Fleet::new(2);
    let first = fleet.start(0, Idempotency::Idempotent);
    let withdrawn = finish(first, Outcome::NotRun);
    fleet.replicas[0].propose(withdrawn).unwrap();
    let second = fleet.start(0, Idempotency::Idempotent);
    fleet.replicas[0]
        .propose(finish(second, answered()))
        .unwrap();
    assert_eq!(fleet.copy(0, 1), CopyResult::Stored);
    fleet.claim(1);
    fleet.serve(1);
    assert_eq!(fleet.admit(1), Admission::Replay(answered()));
}

/// Records that were fenced off are on the log but do not count: their copies stay.
#[test]
fn copies_survive_records_that_do_not_count() {
    let mut fleet = Fleet::new(2);
    let start = fleet.start(0, Idempotency::Idempotent);
    fleet.log.push(Batch::Claim {
        writer: fleet.writers[1].clone(),
        prev: fleet.replicas[1].claim().map(|c| c.epoch),
    });
    fleet.append(0);
    fleet.replicas[0]
        .propose(finish(start, answered()))
        .unwrap();
    assert_eq!(fleet.copy(0, 1), CopyResult::Stored);
    fleet.read(1);
    fleet.serve(1);
    assert_eq!(fleet.admit(1), Admission::Replay(answered()));
}

/// A claim that was replaced before its owner served has fetched nothing.
#[test]
fn copies_outlive_a_claim_that_never_served() {
    let mut fleet = Fleet::new(3);
    let start = fleet.start(0, Idempotency::Idempotent);
    fleet.replicas[0]
        .propose(finish(start, answered()))
        .unwrap();
    assert_eq!(fleet.copy(0, 2), CopyResult::Stored);
    fleet.claim(1);
    fleet.read(2);
    fleet.claim(2);
    fleet.serve(2);
    assert_eq!(fleet.admit(2), Admission::Replay(answered()));
}

/// What a peer is asked to keep after the successor has fetched it is refused.
#[test]
fn copies_are_sealed_by_the_successor() {
    let mut fleet = Fleet::new(3);
    fleet.claim(1);
    fleet.serve(1);
    fleet.start(0, Idempotency::Idempotent);
    assert_eq!(fleet.copy(0, 2), CopyResult::Fenced);
}

/// An owner that is told again of its own old claim must not take it for new.
#[test]
fn lost_claim_is_not_taken_over_again() {
    let mut fleet = Fleet::new(2);
    fleet.claim(1);
    fleet.read(0);
    assert!(fleet.replicas[0].owner().is_none());
    assert_eq!(fleet.replicas[0].state(), fleet.replicas[1].state());
}

/// An owner whose unread records have expired cannot know that it still owns.
#[test]
fn owner_gives_up_when_unread_records_expired() {
    let mut fleet = Fleet::new(1);
    let next = fleet.replicas[0].next();
    fleet.replicas[0].restart(Offset(next.0 + 5));
    assert!(fleet.replicas[0].owner().is_none());
}

/// A report that lands before the successor's verdict and is read after it.
#[test]
fn verdict_and_report_commute() {
    let mut fleet = Fleet::new(3);
    let start = fleet.start(0, Idempotency::NonIdempotent);
    fleet.append(0);
    fleet.read(0);
    fleet.read(1);
    fleet.claim(1);
    fleet.serve(1);
    fleet.log.push(Batch::Owned {
        writer: fleet.writers[0].clone(),
        epoch: start.epoch,
        entries: vec![kingcupspan_core::record::Entry {
            seq: Seq(u64::MAX),
            record: finish(start, answered()),
        }],
    });
    let settle = Record::Settle {
        program: PROGRAM,
        turn: Turn(0),
        outcome: Outcome::Unknown,
    };
    fleet.replicas[1].propose(settle).unwrap();
    fleet.append(1);
    fleet.read(1);
    fleet.read(2);
    assert_eq!(fleet.replicas[1].state(), fleet.replicas[2].state());
    let Admission::Replay(Outcome::Answered(answer)) = fleet.admit(1) else {
        panic!("the report counts");
    };
    assert_eq!(answer.body, b"{}");
    assert_eq!(
        answer.messages, "",
        "a late answer never extends the history"
    );
}

/// An idempotent call of a former owner is started again, never closed by a
/// verdict: reports of it do not count.
#[test]
fn verdict_on_an_idempotent_call_is_refused() {
    let mut fleet = Fleet::new(2);
    fleet.start(0, Idempotency::Idempotent);
    fleet.append(0);
    fleet.read(1);
    fleet.claim(1);
    fleet.serve(1);
    let settle = Record::Settle {
        program: PROGRAM,
        turn: Turn(0),
        outcome: Outcome::Unknown,
    };
    assert!(fleet.replicas[1].propose(settle).is_err());
    assert_eq!(fleet.admit(1), Admission::Ready);
}
