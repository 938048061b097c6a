//! Entries of the member list.

use std::net;

use kingcupspan_core::{gateway::incarnation::Incarnation, id::WallMs};
use serde::{Deserialize, Serialize};

/// Entry of a daemon in the member list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the daemon's VM.
    pub vm: String,

    /// Identifier of this run of the daemon; a restart gets a new one.
    pub incarnation: Incarnation,

    /// Address at which the daemon serves its peers.
    pub addr: net::SocketAddr,

    /// Failure domain of the daemon's VM.
    pub domain: String,

    /// Time at which the daemon was started.
    pub started: WallMs,

    /// Read by former versions: whether the daemon remembers all claims on programs. It
    /// remembers none, so that its vote on a grant of tokens without the store does not count.
    pub has_complete_state: bool,
}
