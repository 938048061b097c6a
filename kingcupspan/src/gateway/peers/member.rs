//! Entries of the member list, and what daemons may have forgotten according to them.

use std::{net, time::Duration};

use kingcupspan_core::{gateway::grant::Incarnation, id::WallMs};
use serde::{Deserialize, Serialize};

/// Maximum difference between the clocks of two VMs, including clock steps.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(10);

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

    /// Whether the daemon lacks nothing that daemons have put into memory before its start:
    /// it was started together with the whole system, before any request, or its last run
    /// has left nothing behind.
    pub has_complete_state: bool,
}

impl Peer {
    /// Whether the daemon may lack state that daemons have put into memory since
    /// `needed_since`, because it was started later.
    pub(super) fn is_forgetful(&self, needed_since: WallMs) -> bool {
        !self.has_complete_state && self.started >= needed_since
    }
}

/// Entry of a VM, which remains in the store when the VM's daemon leaves the member list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Failure domain of the VM.
    pub domain: String,

    /// Time at which the first daemon of the VM was started; 0 if that was together with
    /// the whole system.
    pub joined: WallMs,

    /// Graceful shutdown of the VM's daemon; `None` once the VM has started another one.
    pub shutdown: Option<GracefulShutdown>,
}

/// Graceful shutdown of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GracefulShutdown {
    /// Time of the shutdown.
    pub at: WallMs,

    /// Whether the next daemon of the VM has complete state: this one has put everything
    /// into the store that other daemons may still need.
    pub is_complete: bool,
}

/// Time, on any VM's clock, since which daemons must have kept state in memory that was of
/// use to someone until `retention` before `at`.
pub fn needed_since(at: WallMs, retention: Duration) -> WallMs {
    let span = retention + CLOCK_SKEW_MAX;
    WallMs(at.0.saturating_sub(span.as_millis() as u64))
}

/// Daemons that may lack state that others hold only in memory, since they were started
/// recently.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ForgetfulDaemons {
    /// Number of these daemons.
    pub daemons: usize,

    /// Number of daemons that have left recently.
    pub left: usize,

    /// Whether there is a failure domain in which all daemons are of these two kinds.
    pub has_whole_domain: bool,
}
