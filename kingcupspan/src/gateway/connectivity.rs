//! Detects whether this daemon is cut off from the store and from all other failure domains.

use std::{sync::Arc, time::Duration};

use crate::gateway::{peers::Peers, store::Store};

/// Time without a response after which the store or a failure domain counts as cut off.
const CUT_OFF_AFTER: Duration = Duration::from_millis(600);

/// Connectivity of this daemon to the store and to other failure domains.
#[derive(Clone)]
pub struct Connectivity {
    store: Arc<Store>,
    peers: Arc<Peers>,
}

impl Connectivity {
    /// Creates a check that uses the state of the store client and of the peers.
    pub fn new(store: Arc<Store>, peers: Arc<Peers>) -> Self {
        Self { store, peers }
    }

    /// Whether other failure domains exist and neither the store nor any of them has
    /// responded within [`CUT_OFF_AFTER`].
    pub fn is_cut_off(&self) -> bool {
        let store_outage = self.store.unreachable_for().unwrap_or_default();
        let others = self.peers.domain_count() - 1;
        let unresponsive = self.peers.unresponsive_domains(CUT_OFF_AFTER).len();
        store_outage > CUT_OFF_AFTER && others > 0 && unresponsive == others
    }
}
