//! Requests that daemons send to each other, and the responses to them.

use kingcupspan_core::{
    gateway::{
        allocation::AllocationId,
        call::{ProgramKey, RequestId},
        crash_tracker::Crash,
        endpoint::InstanceId,
        history::Turn,
        incarnation::Incarnation,
        rate_limit::{Claim, RequestRate, Reservation},
        stream_origin::{Knowledge, StreamName},
        workspace::{Quota, WorkspaceName},
    },
    id::Version,
};
use serde::{Deserialize, Serialize};

use super::Peer;
use crate::gateway::{
    allocation_homes::{AllocationOutcome, AllocationRequest, ProgramAllocations},
    configuration::Update,
};

/// Purpose for which a daemon asks for the use of a program's tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Sent by former versions: the recipient must grant no tokens without the store.
    Record,

    /// Sent by former versions: the sender wants to grant itself tokens without the store.
    Grant,

    /// The sender only wants to know the use of the tokens.
    Share,
}

/// Tokens of a program that a daemon has allocated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUse {
    /// All tokens allocated.
    pub allocated: u64,

    /// Tokens used by turns that have ended.
    pub used: u64,

    /// Tokens reserved for turns in flight.
    pub reserved: u64,
}

/// A claim on a program, which former versions report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// The daemon that has claimed the program.
    #[serde(rename = "by")]
    pub holder: Incarnation,

    /// Whether the reporting peer itself holds the claim and has granted tokens.
    pub has_granted: bool,
}

/// Question for tokens of a workspace's quota.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuotaQuestion {
    /// The workspace.
    pub workspace: WorkspaceName,

    /// Version of the configuration that has the limit.
    pub version: Version,

    /// Limit of the workspace.
    pub quota: Quota,

    /// Failure domain of the sender; a home of another one borrows.
    pub domain: String,

    /// Number of tokens wanted.
    pub wanted: u32,

    /// Another home that has lately answered the sender.
    pub former_home: Option<Incarnation>,

    /// Whether the sender passes the question on for another daemon.
    pub is_forwarded: bool,
}

/// Answer to a question for tokens of a quota.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// Home that answers.
    pub home: Incarnation,

    /// Number of tokens granted.
    pub tokens: u32,

    /// Time from the question within which the tokens have to be spent, in milliseconds.
    pub validity_ms: u64,

    /// Time after which there are likely to be tokens again, in milliseconds.
    pub retry_ms: u64,

    /// Tokens left in the home's bucket.
    pub level: f64,

    /// Tokens a second that the home's failure domain uses.
    pub use_per_s: f64,

    /// Tokens a second that all failure domains use, as far as the home knows.
    pub total_use_per_s: f64,
}

/// Request to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Checks that the peer responds.
    Hello,

    /// Asks for the use of the tokens of a program that the peer has allocated.
    Release {
        /// The program.
        program: ProgramKey,

        /// Number of unused tokens requested from a former version; 0 for none.
        #[serde(rename = "want")]
        requested: u64,

        /// Incarnation that sends the request.
        #[serde(rename = "by")]
        sender: Incarnation,

        /// Purpose of the request.
        purpose: Purpose,
    },

    /// Sent by former versions: withdraws the claim of an incarnation on a program.
    Unclaim {
        /// The program.
        program: ProgramKey,

        /// Incarnation whose claim ends.
        #[serde(rename = "by")]
        claimant: Incarnation,
    },

    /// Reports requests that were running on an endpoint when it crashed.
    Crashed(Vec<Crash>),

    /// Requests those of the given turns that the peer has in memory.
    Find(Vec<RequestId>),

    /// Asks the peer to make a call to the store, which the sender cannot reach.
    Call {
        /// Path and query of the call.
        path: String,

        /// Encoded records to append; `None` for a read.
        body: Option<Vec<u8>>,
    },

    /// Asks the home of an endpoint's rate limit when a request may be sent there.
    Reserve {
        /// The endpoint.
        endpoint: InstanceId,

        /// Rate that the endpoint has named.
        rate: RequestRate,

        /// What the request would gain there.
        claim: Claim,

        /// Time for which the request can wait, in milliseconds.
        max_wait_ms: u64,

        /// Whether another daemon has lately reserved times at the endpoint for the sender.
        has_former_home: bool,
    },

    /// Asks for a newer configuration.
    Configuration {
        /// Version that the sender has.
        known: Option<Version>,

        /// Number of the operator's records up to which the sender's version is the newest.
        after: u64,
    },

    /// Asks up to which of the operator's records the peer has the newest configuration.
    ConfigurationPosition {
        /// Number of the operator's records, as far as the sender knows.
        newest: u64,
    },

    /// Tells that the sender has a configuration which the recipient may lack.
    ConfigurationChanged {
        /// VM of the sender.
        vm: String,

        /// Number of the operator's records up to which the sender's version is the newest.
        position: u64,
    },

    /// Asks the home of a program's allocations for one.
    Allocate(AllocationRequest),

    /// Asks the home of a program's allocations to settle one.
    Settle {
        /// The program.
        program: ProgramKey,

        /// The allocation.
        id: AllocationId,

        /// Tokens used.
        used: u64,
    },

    /// Asks the home of a program's allocations for all of them.
    ProgramAllocations(ProgramKey),

    /// Asks the home of a program's allocations where a stream was begun.
    FindStream {
        /// Key of the stream's record.
        key: ProgramKey,

        /// Name of the stream.
        name: StreamName,
    },

    /// Asks the home of a workspace for tokens of its quota.
    GrantQuota(QuotaQuestion),

    /// Tells a home of a workspace that the sender has become its home, so that the recipient
    /// passes questions on.
    TakeOverQuota {
        /// The workspace.
        workspace: WorkspaceName,

        /// The sender.
        successor: Peer,
    },
}

impl PeerRequest {
    /// Name of the request in the metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Release { .. } => "release",
            Self::Unclaim { .. } => "unclaim",
            Self::Crashed(_) => "crashed",
            Self::Find(_) => "find",
            Self::Call { .. } => "call",
            Self::Reserve { .. } => "reserve",
            Self::Configuration { .. } => "configuration",
            Self::ConfigurationPosition { .. } => "configuration position",
            Self::ConfigurationChanged { .. } => "configuration changed",
            Self::Allocate(_) => "allocate",
            Self::Settle { .. } => "settle",
            Self::ProgramAllocations(_) => "program allocations",
            Self::FindStream { .. } => "find stream",
            Self::GrantQuota(_) => "grant quota",
            Self::TakeOverQuota { .. } => "take over quota",
        }
    }

    /// Whether it does not matter if the peer has been restarted since the member list was read.
    pub fn suits_any_run(&self) -> bool {
        matches!(
            self,
            Self::Configuration { .. }
                | Self::ConfigurationPosition { .. }
                | Self::ConfigurationChanged { .. }
                | Self::Allocate(_)
                | Self::Settle { .. }
                | Self::ProgramAllocations(_)
                | Self::FindStream { .. }
                | Self::GrantQuota(_)
                | Self::TakeOverQuota { .. }
        )
    }
}

/// Response of a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Acknowledges [`PeerRequest::Hello`], [`PeerRequest::Unclaim`], [`PeerRequest::Crashed`]
    /// and [`PeerRequest::ConfigurationChanged`].
    Noted,

    /// Response to [`PeerRequest::Release`].
    Released {
        /// Unused tokens handed over; 0, since daemons hold none.
        tokens: u64,

        /// The peer's use of the tokens.
        #[serde(rename = "holds")]
        token_use: TokenUse,

        /// Tokens that a former version has granted itself and not recorded.
        #[serde(rename = "unrecorded")]
        unrecorded_grants: u64,

        /// Claim on the program that a former version knows of.
        #[serde(rename = "claimed")]
        claim: Option<ClaimReport>,

        /// Whether the peer rejects a grant of tokens without the store.
        #[serde(rename = "is_denied")]
        denies_grant: bool,

        /// Whether the peer reaches the store, as former versions have to know before a grant.
        reaches_store: bool,
    },

    /// Response to [`PeerRequest::Find`]: the turns found in memory.
    Found(Vec<(RequestId, Turn)>),

    /// Response to [`PeerRequest::Call`]: status and body of the store's response; `None`
    /// if the peer cannot reach the store either.
    Called(Option<(u16, Vec<u8>)>),

    /// Response to [`PeerRequest::Reserve`].
    Reserved(Reservation),

    /// Response to [`PeerRequest::Configuration`]; `None` if the peer has no newer one.
    Configuration(Option<Box<Update>>),

    /// Response to [`PeerRequest::ConfigurationPosition`].
    ConfigurationPosition {
        /// Number of the operator's records up to which the peer's configuration is the newest.
        position: u64,

        /// Whether the peer reaches the store.
        reaches_store: bool,
    },
    /// Response to [`PeerRequest::Allocate`].
    Allocated(AllocationOutcome),

    /// Response to [`PeerRequest::Settle`]: whether the store has the settlement.
    Settled(bool),

    /// Response to [`PeerRequest::ProgramAllocations`]; `None` if the store cannot be read.
    ProgramAllocations(Option<ProgramAllocations>),

    /// Response to [`PeerRequest::FindStream`]; `None` if the store cannot be read.
    StreamFound(Option<Knowledge>),

    /// Response to [`PeerRequest::GrantQuota`]; `None` if the peer cannot tell.
    QuotaGranted(Option<QuotaAnswer>),

    /// Response to [`PeerRequest::TakeOverQuota`]: the home to which the peer passes questions on.
    QuotaHome(Peer),
}
