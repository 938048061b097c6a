//! Messages between daemons, encoded with rmp-serde and sent over HTTP.

use std::{net, time::Duration};

use kingcupspan_core::{
    document, fair,
    id::{CallerId, EndpointId, ModelId, Offset, ProgramId, ServiceId, Slot, Turn, VmId},
    id::{WorkspaceId, Writer},
    record,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::edge::{
    client::{Client, ClientRequest, SendError, Timeouts},
    problem::{Kind, Problem},
};

/// Maximum size of a message between daemons.
pub const MESSAGE_MAX_BYTES: usize = 256 << 20;

/// Path that exchanges heartbeats.
pub const HEARTBEAT: &str = "/peer/heartbeat";

/// Path that receives calls forwarded by other daemons.
pub const CALL: &str = "/peer/call";

/// Path that stores copies of records while the log is unavailable.
pub const COPY: &str = "/peer/copy";

/// Path that returns the stored copies of a slot's records.
pub const COPIES: &str = "/peer/copies";

/// Path that requests a grant to send a call to an endpoint.
pub const GRANT: &str = "/peer/grant";

/// Path that releases a grant.
pub const RELEASE: &str = "/peer/release";

/// Path that returns the current configuration.
pub const CONFIGURATION: &str = "/peer/configuration";

/// Heartbeat of a daemon, sent as request and as response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Daemon that sends the heartbeat.
    pub writer: Writer,

    /// Whether the daemon is shutting down.
    pub leaving: bool,

    /// Offset of the newest configuration record that the daemon has applied.
    pub configuration: Option<Offset>,

    /// Loads of the endpoints whose home is this daemon, which runs their queues.
    pub loads: Vec<EndpointLoad>,
}

/// Load of an endpoint's queue.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,

    /// Load of the queue.
    pub load: fair::Load,
}

/// A caller's request, forwarded to the owner of the program.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// Caller that sent the request.
    pub caller: CallerId,

    /// Program that the request refers to.
    pub program: ProgramId,

    /// Requested operation on the program.
    #[serde(rename = "ask")]
    pub request: ProgramRequest,

    /// Remaining time until the deadline of the call, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
}

/// Operation that a caller requests from the owner of a program.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ProgramRequest {
    /// Opens the program.
    Open {
        /// Workspace that the program's usage is accounted to.
        workspace: WorkspaceId,

        /// Number of tokens that the program may use.
        tokens: u64,

        /// Number of calls that the program may make.
        calls: u64,

        /// Lifetime of the program, in seconds.
        seconds: u64,

        /// Parent program, whose budget also covers the new program.
        parent: Option<ProgramId>,
    },

    /// Closes the program.
    Close,

    /// Returns a description of the program.
    Inspect,

    /// Returns the stored response of a turn.
    Stored(Turn),

    /// Executes a turn.
    Turn(TurnRequest),
}

/// Request to execute a turn.
#[serde_with::serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnRequest {
    /// Number of the turn.
    pub turn: Turn,

    /// Model or service that the turn calls.
    pub target: Target,

    /// Request body as sent by the caller.
    #[serde_as(as = "serde_with::Bytes")]
    pub body: Vec<u8>,

    /// Digest of the history that the caller expects, if given.
    pub history: Option<kingcupspan_core::digest::Digest>,
}

/// Model or service that a turn calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// Call of a model.
    Model {
        /// Name of the model.
        model: ModelId,

        /// New messages, as the elements of a JSON array without the brackets.
        messages: String,

        /// Maximum number of tokens to decode.
        max_tokens: u64,

        /// Whether the response is streamed.
        stream: bool,
    },

    /// Call of a plain service.
    Service {
        /// Name of the service.
        service: ServiceId,

        /// Path of the operation.
        path: String,

        /// The caller's idempotency key, present for non-idempotent operations.
        key: Option<String>,

        /// Media type of the body.
        content_type: String,
    },
}

/// Request to store copies of records that could not be appended to the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreCopy {
    /// Slot that the records belong to.
    pub slot: Slot,

    /// Owner of the slot.
    pub writer: Writer,

    /// Fencing token of the owner.
    pub epoch: Offset,

    /// Records to store.
    pub entries: Vec<record::Entry>,
}

/// Request for the stored copies of a slot's records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FetchCopies {
    /// Slot that the records belong to.
    pub slot: Slot,

    /// Newest fencing token for which copies are requested.
    pub upto: Offset,
}

/// Request for a grant to send one call to an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,

    /// Request to add to the endpoint's queue.
    pub request: fair::Request,

    /// Maximum time to wait for the grant, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
}

/// Response to a [`GrantRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantResponse {
    /// The grant was given and the call may be sent.
    Now,

    /// The caller has too many waiting requests.
    OverShare {
        /// Time after which a retry makes sense, in milliseconds.
        retry_after_ms: u64,
    },

    /// The endpoint accepts no calls, or another daemon runs its queue.
    Elsewhere,

    /// No grant became available within the timeout.
    TimedOut,
}

/// Message that releases a grant after the call has ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Identifier of the endpoint.
    pub endpoint: EndpointId,

    /// Ticket of the granted request.
    pub ticket: fair::Ticket,

    /// Actual cost of the call, in tokens.
    pub cost: u64,
}

/// Response to a request to [`CONFIGURATION`].
pub type CurrentDocument = document::CurrentDocument;

/// A peer daemon and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// VM that the peer runs on.
    pub vm: VmId,

    /// Address on which the peer listens for other daemons.
    pub addr: net::SocketAddr,
}

/// Error returned by a request to a peer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The message was not delivered, or the response was lost.
    #[error(transparent)]
    Send(#[from] SendError),

    /// The peer responded with an error status.
    #[error("peer responded with status {0}")]
    Status(u16),

    /// The response cannot be decoded.
    #[error("cannot decode the response of the peer: {0}")]
    Decode(String),
}

/// Encodes a message with rmp-serde.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that rmp-serde cannot represent.
    rmp_serde::to_vec(message).unwrap_or_default()
}

/// Decodes a message received from a peer.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Problem> {
    rmp_serde::from_slice(bytes)
        .map_err(|e| Problem::not_run(Kind::BadRequest, format!("not a message: {e}")))
}

/// Sends a message to a peer and waits for the response.
pub async fn send<M: Serialize, A: DeserializeOwned>(
    client: &Client,
    addr: net::SocketAddr,
    path: &str,
    message: &M,
    timeout: Duration,
) -> Result<A, PeerError> {
    let req = ClientRequest::post(addr, path, encode(message)).timeouts(Timeouts::all(timeout));
    let res = client.send(req).await?;
    let status = res.status;
    let bytes = res.bytes(MESSAGE_MAX_BYTES).await?;
    if status != 200 {
        return Err(PeerError::Status(status));
    }
    rmp_serde::from_slice(&bytes).map_err(|e| PeerError::Decode(e.to_string()))
}

/// Builds an HTTP response that carries a message.
pub fn response<T: Serialize>(message: &T) -> http_types::Response {
    let mut res = http_types::Response::new(200);
    res.set_body(encode(message));
    res
}
