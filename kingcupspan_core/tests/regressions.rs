//! Regression tests for faults found by the model checker or by a failure test.

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

/// Replicas of one slot at several daemons, with the slot's stream.
struct Cluster {
    log: Vec<Batch>,
    replicas: Vec<Replica>,
    writers: Vec<Writer>,
}

impl Cluster {
    fn new(size: usize) -> Self {
        let writers: Vec<Writer> = (0..size)
            .map(|n| Writer {
                vm: format!("entry-{n}").parse().unwrap(),
                incarnation: 7,
            })
            .collect();
        let replicas = writers.iter().cloned().map(Replica::new).collect();
        let mut cluster = Self {
            log: Vec::new(),
            replicas,
            writers,
        };
        cluster.claim(0);
        cluster.serve(0);
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
        cluster.replicas[0].propose(open).unwrap();
        cluster.append(0);
        for n in 0..size {
            cluster.read(n);
        }
        cluster
    }

    fn claim(&mut self, n: usize) {
        self.log.push(Batch::Claim {
            writer: self.writers[n].clone(),
            prev: self.replicas[n].claim().map(|c| c.epoch),
        });
        self.read(n);
    }

    fn serve(&mut self, n: usize) {
        let takeover = self.replicas[n]
            .takeover()
            .expect("the daemon's claim is current");
        let mut copies = Vec::new();
        if let Some(upto) = takeover.newest_replaced() {
            for replica in &mut self.replicas {
                copies.extend(replica.seal_copies(upto));
            }
        }
        self.replicas[n].serve(&takeover, copies);
    }

    fn append(&mut self, n: usize) {
        let batch = self.replicas[n].batch(100).expect("records are pending");
        self.log.push(batch);
    }

    fn read(&mut self, n: usize) {
        let replica = &mut self.replicas[n];
        while let Some(batch) = self.log.get(replica.next().0 as usize) {
            replica.apply(replica.next(), batch);
        }
    }

    fn copy(&mut self, from: usize, to: usize) -> CopyResult {
        let batch = self.replicas[from].batch(100).expect("records are pending");
        let Batch::Owned { epoch, entries, .. } = batch else {
            panic!("an owner appends records");
        };
        self.replicas[to].store_copies(epoch, entries)
    }

    fn start(&mut self, n: usize, idempotency: Idempotency) -> RecordId {
        let start = Record::Start(Start {
            program: PROGRAM,
            turn: Turn(0),
            digest: Digest::of(b"request"),
            history: Digest::default(),
            reserve: Amount::call(5),
            idempotency,
            key: (idempotency == Idempotency::NonIdempotent).then(|| "key".to_owned()),
        });
        self.replicas[n].propose(start).unwrap()
    }

    fn admit(&self, n: usize) -> Admission {
        let owner = self.replicas[n]
            .serving()
            .expect("the daemon serves the slot");
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

/// Guards against a late report for a withdrawn start that is attributed to a
/// later start of the same turn, which was sent. Both starts are written under
/// one claim.
#[test]
fn report_ends_only_its_own_start() {
    let mut cluster = Cluster::new(2);
    let first = cluster.start(0, Idempotency::NonIdempotent);
    cluster.replicas[0]
        .propose(finish(first, Outcome::NotRun))
        .unwrap();
    let second = cluster.start(0, Idempotency::NonIdempotent);
    let all = cluster.replicas[0].batch(100).unwrap();
    cluster.append(0);
    cluster.read(0);
    assert_eq!(
        cluster.replicas[0].progress(second, Durability::Log),
        Progress::Durable
    );
    cluster.read(1);
    cluster.claim(1);
    // The same records are appended again after the claim, as by a retry of an
    // append whose answer was lost.
    cluster.log.push(all);
    cluster.read(1);
    cluster.serve(1);
    assert_eq!(cluster.admit(1), Admission::Orphaned(None));
}

/// Guards against losing an answer whose start is on the log and whose end is
/// stored by peers only.
#[test]
fn answer_is_adopted_when_only_its_start_is_on_the_log() {
    let mut cluster = Cluster::new(2);
    let start = cluster.start(0, Idempotency::Idempotent);
    cluster.append(0);
    cluster.read(0);
    cluster.read(1);
    cluster.replicas[0]
        .propose(finish(start, answered()))
        .unwrap();
    assert_eq!(cluster.copy(0, 1), CopyResult::Stored);
    cluster.claim(1);
    cluster.serve(1);
    assert_eq!(cluster.admit(1), Admission::Replay(answered()));
}

/// Guards against losing the answer of a call that was withdrawn and started
/// again, when peers store all its records and the log none.
#[test]
fn withdrawn_start_does_not_hide_the_next_start() {
    let mut cluster = Cluster::new(2);
    let first = cluster.start(0, Idempotency::Idempotent);
    let withdrawn = finish(first, Outcome::NotRun);
    cluster.replicas[0].propose(withdrawn).unwrap();
    let second = cluster.start(0, Idempotency::Idempotent);
    cluster.replicas[0]
        .propose(finish(second, answered()))
        .unwrap();
    assert_eq!(cluster.copy(0, 1), CopyResult::Stored);
    cluster.claim(1);
    cluster.serve(1);
    assert_eq!(cluster.admit(1), Admission::Replay(answered()));
}

/// Guards against dropping copies when the same records appear on the log after
/// a newer claim. These fenced-off records have no effect, so the copies are
/// still needed.
#[test]
fn copies_survive_fenced_off_records() {
    let mut cluster = Cluster::new(2);
    let start = cluster.start(0, Idempotency::Idempotent);
    cluster.log.push(Batch::Claim {
        writer: cluster.writers[1].clone(),
        prev: cluster.replicas[1].claim().map(|c| c.epoch),
    });
    cluster.append(0);
    cluster.replicas[0]
        .propose(finish(start, answered()))
        .unwrap();
    assert_eq!(cluster.copy(0, 1), CopyResult::Stored);
    cluster.read(1);
    cluster.serve(1);
    assert_eq!(cluster.admit(1), Admission::Replay(answered()));
}

/// Guards against losing copies when the first claim after their owner's is
/// replaced before its daemon serves. That daemon has not collected the copies.
#[test]
fn copies_survive_a_claim_that_never_served() {
    let mut cluster = Cluster::new(3);
    let start = cluster.start(0, Idempotency::Idempotent);
    cluster.replicas[0]
        .propose(finish(start, answered()))
        .unwrap();
    assert_eq!(cluster.copy(0, 2), CopyResult::Stored);
    cluster.claim(1);
    cluster.read(2);
    cluster.claim(2);
    cluster.serve(2);
    assert_eq!(cluster.admit(2), Admission::Replay(answered()));
}

/// Guards against a peer that stores copies for a replaced owner after the new
/// owner has collected them. Such copies would be lost.
#[test]
fn copies_are_refused_once_the_new_owner_has_collected_them() {
    let mut cluster = Cluster::new(3);
    cluster.claim(1);
    cluster.serve(1);
    cluster.start(0, Idempotency::Idempotent);
    assert_eq!(cluster.copy(0, 2), CopyResult::Fenced);
}

/// Guards against a former owner that takes its own old claim for a new one
/// when it reads the stream again from the beginning.
#[test]
fn lost_claim_is_ignored_when_read_again() {
    let mut cluster = Cluster::new(2);
    cluster.claim(1);
    cluster.read(0);
    assert!(cluster.replicas[0].owner().is_none());
    assert_eq!(cluster.replicas[0].state(), cluster.replicas[1].state());
}

/// Guards against an owner that keeps the slot although records that it has not
/// read have expired. These may contain another daemon's claim.
#[test]
fn owner_gives_up_the_slot_when_unread_records_expired() {
    let mut cluster = Cluster::new(1);
    let next = cluster.replicas[0].next();
    cluster.replicas[0].restart(Offset(next.0 + 5));
    assert!(cluster.replicas[0].owner().is_none());
}

/// Guards against replicas that differ when a former owner's report precedes
/// the new owner's `Settle` on the log and the new owner reads it only
/// afterwards.
#[test]
fn settlement_and_late_report_commute() {
    let mut cluster = Cluster::new(3);
    let start = cluster.start(0, Idempotency::NonIdempotent);
    cluster.append(0);
    cluster.read(0);
    cluster.read(1);
    cluster.claim(1);
    cluster.serve(1);
    cluster.log.push(Batch::Owned {
        writer: cluster.writers[0].clone(),
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
    cluster.replicas[1].propose(settle).unwrap();
    cluster.append(1);
    cluster.read(1);
    cluster.read(2);
    assert_eq!(cluster.replicas[1].state(), cluster.replicas[2].state());
    let Admission::Replay(Outcome::Answered(answer)) = cluster.admit(1) else {
        panic!("the report must take effect");
    };
    assert_eq!(answer.body, b"{}");
    assert_eq!(
        answer.messages, "",
        "a late answer never extends the history"
    );
}

/// Guards against a `Settle` record for a former owner's idempotent call. Such
/// a call is started again instead, because reports for it have no effect.
#[test]
fn settlement_of_an_idempotent_call_is_refused() {
    let mut cluster = Cluster::new(2);
    cluster.start(0, Idempotency::Idempotent);
    cluster.append(0);
    cluster.read(1);
    cluster.claim(1);
    cluster.serve(1);
    let settle = Record::Settle {
        program: PROGRAM,
        turn: Turn(0),
        outcome: Outcome::Unknown,
    };
    assert!(cluster.replicas[1].propose(settle).is_err());
    assert_eq!(cluster.admit(1), Admission::Ready);
}
