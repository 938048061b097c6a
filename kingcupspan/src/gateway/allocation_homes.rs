//! Calls for allocations that the daemons of a large fleet share.
//!
//! For each partition of allocations one daemon, its home, makes the calls of all daemons and
//! knows what they have allocated, so that the others need not read it. Which daemon is the home
//! need not be agreed: an allocation may be made by any daemon, also by several, since a record that
//! is appended twice counts once, and every daemon that appends one reads all records before it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future, task};
use kingcupspan_core::gateway::{
    allocation::{AllocationId, DaemonAllocations, Settlement},
    allocation_homes::{self, FOLLOWERS},
    call::ProgramKey,
    incarnation::Incarnation,
    stream_origin::{Knowledge, StreamName, StreamRecord},
};
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use serde::{Deserialize, Serialize};

use crate::{
    edge::client::Timeouts,
    gateway::{
        group_commit::Urgency,
        partitions::Partitions,
        peers::{Peer, PeerRequest, PeerResponse, Peers},
        store::StoreFailure,
    },
    metrics::opts,
};

/// Number of daemons that are asked before this daemon makes its own call.
const HOMES_ASKED: usize = 2;

/// Timeout of a request to a home, which waits for a call to the store.
const HOME_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a request to a home while the store is slow.
const SLOW_STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeouts after which a home counts as unresponsive for every purpose.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(150),
    head: Duration::from_millis(1_500),
    body: Duration::from_millis(1_500),
};

/// Time for which a home is not asked that did not respond in time.
const PASSED_OVER_FOR: Duration = Duration::from_millis(5_000);

/// Pause between two reads of a partition by a daemon that may become its home.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after its last read from which on a partition is forgotten by daemons that do not follow it.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Allocations of one program by the daemons that made them.
pub type ProgramAllocations = BTreeMap<Incarnation, DaemonAllocations>;

/// A request for an allocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationRequest {
    /// The program.
    pub program: ProgramKey,

    /// Identifier of the allocation.
    pub id: AllocationId,

    /// Number of tokens.
    pub tokens: u64,

    /// Number of tokens that all allocations of the program together may have.
    pub limit: u64,

    /// Where the stream is begun for which the tokens are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream: Option<StreamRecord>,
}

/// Answer of a home to a request for an allocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllocationOutcome {
    /// The allocation is in the store, and all allocations of the program are within the limit.
    Within,

    /// The allocation is in the store, and the home knows of more than the limit allows: these
    /// allocations, of which the sender may know how few tokens they have used.
    Exceeding(ProgramAllocations),

    /// The store did not acknowledge the allocation.
    Unavailable,
}

/// Allocations of this daemon, made by itself or through the homes of their partitions.
pub struct AllocationHomes {
    partitions: Arc<Partitions>,
    peers: Arc<Peers>,

    /// Appends a second that the store takes from all daemons together.
    appends_per_s: Option<f64>,

    /// VMs of homes that did not respond in time, and when they were asked.
    late: Mutex<HashMap<String, Instant>>,

    /// Requests to homes, by outcome.
    pub requests: IntCounterVec,
}

impl AllocationHomes {
    /// Creates the state of a daemon.
    pub fn new(partitions: Arc<Partitions>, peers: Arc<Peers>, appends_per_s: Option<f64>) -> Self {
        let requests = IntCounterVec::new(
            opts(
                "allocation_home_requests_total",
                "Requests to the homes of allocations",
            ),
            &["outcome"],
        );
        Self {
            partitions,
            peers,
            appends_per_s,
            late: Mutex::default(),
            // The name and the label are constant and valid.
            requests: requests.expect("the counter is valid"),
        }
    }

    /// Whether the daemons of this fleet leave their allocations to homes.
    fn are_used(&self) -> bool {
        allocation_homes::are_used(self.peers.member_count(), self.appends_per_s)
    }

    /// Homes of a program's allocations that are asked in turn; none if this daemon makes its own
    /// calls.
    fn homes(&self, program: &ProgramKey) -> Vec<Peer> {
        if !self.are_used() {
            return Vec::new();
        }
        let number = self.partitions.partition_of_program(program).number;
        let ranked = self.peers.ranked(&key(number), FOLLOWERS).into_iter();
        let is_other = |home: &Peer| home.vm != self.peers.local.vm;
        let others = ranked
            .take_while(is_other)
            .filter(|home| !self.is_late(home));
        others.take(HOMES_ASKED).collect()
    }

    /// Allocates tokens; returns whether a home knows that all allocations of the program are within
    /// the limit. Otherwise this daemon knows enough of them to tell.
    pub async fn allocate(&self, request: &AllocationRequest) -> Result<bool, StoreFailure> {
        let message = PeerRequest::Allocate(request.clone());
        for home in self.homes(&request.program) {
            match self.ask(&home, &message).await {
                Some(PeerResponse::Allocated(AllocationOutcome::Within)) => {
                    self.note_recorded(request);
                    return Ok(true);
                }
                Some(PeerResponse::Allocated(AllocationOutcome::Exceeding(others))) => {
                    self.note_recorded(request);
                    self.partitions.merge_allocations(&request.program, others);
                    return Ok(false);
                }
                Some(PeerResponse::Allocated(AllocationOutcome::Unavailable)) => {
                    return Err(StoreFailure::Unreachable);
                }
                _ => {}
            }
        }
        self.allocate_here(request).await.map(|()| false)
    }

    /// Counts with what a home has recorded for this daemon.
    fn note_recorded(&self, request: &AllocationRequest) {
        let AllocationRequest { program, id, .. } = request;
        self.partitions.note_allocation(program, id, request.tokens);
        if let Some(stream) = &request.stream {
            self.partitions.note_stream(id.clone(), stream.clone());
        }
    }

    /// Allocates tokens by a call of this daemon.
    pub async fn allocate_here(&self, request: &AllocationRequest) -> Result<(), StoreFailure> {
        let AllocationRequest { program, id, .. } = request;
        let stream = request.stream.as_ref();
        let allocated = self
            .partitions
            .allocate(program, id, request.tokens, stream);
        allocated.await
    }

    /// Allocates tokens as home of their partition.
    pub async fn allocate_as_home(&self, request: &AllocationRequest) -> AllocationOutcome {
        let program = &request.program;
        if let Err(e) = self.allocate_here(request).await {
            log::debug!(program = &*program.0, error = e.to_string().as_str(); "cannot allocate tokens for another daemon");
            return AllocationOutcome::Unavailable;
        }
        match self.partitions.total_allocated(program) <= request.limit {
            true => AllocationOutcome::Within,
            false => AllocationOutcome::Exceeding(self.partitions.allocations_by_daemon(program)),
        }
    }

    /// Records how many tokens of an allocation were used; returns once the store has the record.
    pub async fn settle(
        &self,
        settlement: &Settlement,
        urgency: Urgency,
    ) -> Result<(), StoreFailure> {
        let homes = self.homes(&settlement.program);
        if homes.is_empty() {
            return self.partitions.settle(settlement, urgency).await;
        }
        self.partitions.note_settlement(settlement);
        let Settlement { program, id, used } = settlement.clone();
        let message = PeerRequest::Settle { program, id, used };
        let asked_at = Instant::now();
        for home in homes {
            if let Some(PeerResponse::Settled(true)) = self.ask(&home, &message).await {
                return Ok(());
            }
        }
        // After a wait for homes it may be held back no longer.
        let urgency = match asked_at.elapsed() < TIMEOUTS.connect {
            true => urgency,
            false => Urgency::Now,
        };
        self.partitions.settle(settlement, urgency).await
    }

    /// Records how many tokens of an allocation were used, as home of its partition; returns whether
    /// the store has the record.
    pub async fn settle_as_home(&self, settlement: &Settlement) -> bool {
        let settled = self.partitions.settle(settlement, Urgency::Now).await;
        settled.is_ok()
    }

    /// Learns what all daemons have allocated of a program's tokens.
    pub async fn refresh(&self, program: &ProgramKey) -> Result<(), StoreFailure> {
        let message = PeerRequest::ProgramAllocations(program.clone());
        for home in self.homes(program) {
            if let Some(PeerResponse::ProgramAllocations(Some(allocations))) =
                self.ask(&home, &message).await
            {
                self.partitions.merge_allocations(program, allocations);
                return Ok(());
            }
        }
        self.partitions.refresh_program(program).await
    }

    /// Learns where a stream was begun; `key` is that of its record.
    pub async fn find_stream(
        &self,
        key: &ProgramKey,
        name: &StreamName,
    ) -> Result<Knowledge, StoreFailure> {
        let message = PeerRequest::FindStream {
            key: key.clone(),
            name: name.clone(),
        };
        for home in self.homes(key) {
            if let Some(PeerResponse::StreamFound(Some(knowledge))) =
                self.ask(&home, &message).await
            {
                return Ok(knowledge);
            }
        }
        self.partitions.refresh_program(key).await?;
        Ok(self.partitions.stream_origin(name))
    }

    /// Returns where a stream was begun, if this daemon itself has begun it; what it remembers of
    /// other streams may be out of date.
    pub fn find_own_stream(&self, name: &StreamName) -> Knowledge {
        match name {
            StreamName::Attempt(attempt) => self
                .partitions
                .stream_begun_by(&self.peers.local.incarnation, attempt),
            // Other daemons may have begun streams of the same request.
            StreamName::Content(_) => Knowledge::Unknown,
        }
    }

    /// Returns where a stream was begun; `None` if the store cannot be read.
    pub async fn find_stream_as_home(
        &self,
        key: &ProgramKey,
        name: &StreamName,
    ) -> Option<Knowledge> {
        self.partitions.refresh_program(key).await.ok()?;
        Some(self.partitions.stream_origin(name))
    }

    /// Returns what all daemons have allocated of a program's tokens; `None` if the store cannot be
    /// read.
    pub async fn allocations_as_home(&self, program: &ProgramKey) -> Option<ProgramAllocations> {
        self.partitions.refresh_program(program).await.ok()?;
        Some(self.partitions.allocations_by_daemon(program))
    }

    /// Sends a request to a home; `None` if it does not respond.
    async fn ask(&self, home: &Peer, request: &PeerRequest) -> Option<PeerResponse> {
        let timeout = match self.partitions.is_store_slow() {
            true => SLOW_STORE_TIMEOUT,
            false => HOME_TIMEOUT,
        };
        let (peers, peer, request) = (Arc::clone(&self.peers), home.clone(), request.clone());
        // The request goes on after the timeout: a home that is only slow, like the store that it waits
        // for, does not count as unresponsive and keeps its other roles.
        let exchange = task::spawn(async move { peers.send_with(&peer, &request, TIMEOUTS).await });
        let response = future::timeout(timeout, exchange).await;
        let outcome = match &response {
            Ok(Ok(PeerResponse::Allocated(AllocationOutcome::Unavailable)))
            | Ok(Ok(PeerResponse::Settled(false)))
            | Ok(Ok(PeerResponse::ProgramAllocations(None)))
            | Ok(Ok(PeerResponse::StreamFound(None))) => "store unavailable",
            Ok(Ok(_)) => "done",
            Ok(Err(_)) => "no response",
            Err(_) => "late",
        };
        self.requests.with_label_values(&[outcome]).inc();
        if response.is_err() {
            self.late.lock().insert(home.vm.clone(), Instant::now());
        }
        response.ok()?.ok()
    }

    /// Whether a home did not respond in time lately.
    fn is_late(&self, home: &Peer) -> bool {
        let late = self.late.lock();
        late.get(&home.vm)
            .is_some_and(|at| at.elapsed() < PASSED_OVER_FOR)
    }

    /// Keeps up with the records of the partitions whose home this daemon is or may become, until the
    /// process exits; with those of all partitions if there are no homes.
    pub async fn follow(self: Arc<Self>) {
        self.peers.wait_until_listed().await;
        if !self.are_used() {
            self.partitions.read_allocations().await;
        }
        loop {
            self.partitions.set_call_spacing(self.call_spacing());
            if self.are_used() {
                self.follow_partitions().await;
            }
            task::sleep(FOLLOW_INTERVAL).await;
        }
    }

    /// Shortest time between two calls of this daemon in a partition.
    fn call_spacing(&self) -> Duration {
        let rate = self.appends_per_s.filter(|_| self.are_used());
        let partitions = self.partitions.partitions_per_topic();
        rate.map_or(Duration::ZERO, |rate| {
            allocation_homes::call_spacing(rate, partitions)
        })
    }

    /// Reads what was appended to the partitions that this daemon follows, and forgets the others.
    async fn follow_partitions(&self) {
        for number in 0..self.partitions.partitions_per_topic() {
            let followers = self.peers.ranked(&key(number), FOLLOWERS);
            if !followers.iter().any(|f| f.vm == self.peers.local.vm) {
                self.partitions
                    .forget_allocations(number, FORGET_AFTER)
                    .await;
                continue;
            }
            let is_current = self
                .partitions
                .has_read_allocations_within(number, FOLLOW_INTERVAL);
            if !is_current && let Err(e) = self.partitions.refresh_allocations(number).await {
                log::debug!(partition = number, error = e.to_string().as_str(); "cannot read token allocations from the store");
            }
        }
    }
}

/// Key by which the home of a partition is chosen.
fn key(number: u32) -> String {
    format!("allocations/{number}")
}
