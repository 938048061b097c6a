//! Messages between daemons: rmp-serde over HTTP.

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

/// Largest message between daemons, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 256 << 20;

/// Path of heartbeats.
pub const HEARTBEAT: &str = "/peer/heartbeat";

/// Path of forwarded calls.
pub const CALL: &str = "/peer/call";

/// Path of copies of records that the log could not take.
pub const COPY: &str = "/peer/copy";

/// Path that asks for those copies.
pub const COPIES: &str = "/peer/copies";

/// Path of requests for a place at an endpoint.
pub const GRANT: &str = "/peer/grant";

/// Path that gives a place back.
pub const RELEASE: &str = "/peer/release";

/// Path that asks for the configuration in force.
pub const CONFIGURATION: &str = "/peer/configuration";

/// A sign of life, and its answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub writer: Writer,

    /// Whether it is stopping.
    pub leaving: bool,

    /// Offset of the newest configuration record that it has folded.
    pub configuration: Option<Offset>,

    /// Loads of the endpoints that it is home to.
    pub loads: Vec<EndpointLoad>,
}

/// Load of one endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,

    /// Its load.
    pub load: fair::Load,
}

/// A caller's request as it goes to the owner of its program.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// Who sent it.
    pub caller: CallerId,

    /// The program.
    pub program: ProgramId,

    /// What is asked.
    #[serde(rename = "ask")]
    pub request: ProgramRequest,

    /// Time left for the call, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
}

/// What a caller asks of a program's owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ProgramRequest {
    /// Open the program.
    Open {
        /// What it is accounted to.
        workspace: WorkspaceId,

        /// Tokens it may use.
        tokens: u64,

        /// Calls it may make.
        calls: u64,

        /// Seconds it may last.
        seconds: u64,

        /// The program whose budget it draws on.
        parent: Option<ProgramId>,
    },

    /// End it.
    Close,

    /// Describe it.
    Inspect,

    /// Return the stored answer of a turn.
    Stored(Turn),

    /// Run a turn.
    Turn(TurnRequest),
}

/// A request for a turn.
#[serde_with::serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TurnRequest {
    /// The turn.
    pub turn: Turn,

    /// What is called.
    pub target: Target,

    /// The body as the caller sent it.
    #[serde_as(as = "serde_with::Bytes")]
    pub body: Vec<u8>,

    /// History digest that the caller believes in, if it says so.
    pub history: Option<kingcupspan_core::digest::Digest>,
}

/// What a turn calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A model.
    Model {
        /// Its name.
        model: ModelId,

        /// The new messages, as a JSON list without brackets.
        messages: String,

        /// Tokens to decode at most.
        max_tokens: u64,

        /// Whether the answer is streamed.
        stream: bool,
    },

    /// A plain service.
    Service {
        /// Its name.
        service: ServiceId,

        /// The operation's path.
        path: String,

        /// The caller's key of a non-idempotent call.
        key: Option<String>,

        /// Media type of the body.
        content_type: String,
    },
}

/// Records that the log could not take, for safekeeping.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreCopy {
    /// The slot.
    pub slot: Slot,

    /// The owner.
    pub writer: Writer,

    /// Its fencing number.
    pub epoch: Offset,

    /// The records.
    pub entries: Vec<record::Entry>,
}

/// Asks for the copies of a slot's records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FetchCopies {
    /// The slot.
    pub slot: Slot,

    /// The newest fencing number of which they are wanted.
    pub upto: Offset,
}

/// Asks for a place at an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The endpoint.
    pub endpoint: EndpointId,

    /// The request.
    pub request: fair::Request,

    /// How long the caller can wait, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
}

/// Answer to a request for a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantResponse {
    /// The call may be sent.
    Now,

    /// The caller has too much waiting.
    OverShare {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },

    /// The endpoint takes no calls, or its home is elsewhere.
    Elsewhere,

    /// No place came free in time.
    TimedOut,
}

/// Gives a place back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The endpoint.
    pub endpoint: EndpointId,

    /// The ticket.
    pub ticket: fair::Ticket,

    /// What the call cost, in tokens.
    pub cost: u64,
}

/// Answer to [`CONFIGURATION`].
pub type CurrentDocument = document::CurrentDocument;

/// Address of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its VM.
    pub vm: VmId,

    /// Where it listens for peers.
    pub addr: net::SocketAddr,
}

/// Why a peer did not answer as expected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The message was not delivered, or its answer is lost.
    #[error(transparent)]
    Send(#[from] SendError),

    /// The peer answered with an error.
    #[error("peer answered with status {0}")]
    Status(u16),

    /// The answer cannot be decoded.
    #[error("peer's answer cannot be decoded: {0}")]
    Decode(String),
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that rmp-serde cannot represent.
    rmp_serde::to_vec(message).unwrap_or_default()
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Problem> {
    rmp_serde::from_slice(bytes)
        .map_err(|e| Problem::not_run(Kind::BadRequest, format!("not a message: {e}")))
}

/// Sends a message and waits for its answer.
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

/// A message as an HTTP response.
pub fn response<T: Serialize>(message: &T) -> http_types::Response {
    let mut res = http_types::Response::new(200);
    res.set_body(encode(message));
    res
}
