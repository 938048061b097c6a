//! Whether this daemon is cut off from the store and from all other failure domains.

use std::{sync::Arc, time::Duration};

use crate::gateway::{peers::Peers, store::Store};

/// Silence after which a failure domain counts as cut off.
const CUT_OFF_AFTER: Duration = Duration::from_millis(600);

/// What this daemon reaches.
#[derive(Clone)]
pub struct Connectivity {
    store: Arc<Store>,
    peers: Arc<Peers>,
}

impl Connectivity {
    /// Looks at the store and the other daemons.
    pub fn new(store: Arc<Store>, peers: Arc<Peers>) -> Self {
        Self { store, peers }
    }

    /// Whether neither the store nor any other failure domain has answered lately,
    /// though there are others.
    pub fn is_cut_off(&self) -> bool {
        let away = self.store.unreachable_for().unwrap_or_default();
        let others = self.peers.domain_count() - 1;
        let silent = self.peers.unresponsive_domains(CUT_OFF_AFTER).len();
        away > CUT_OFF_AFTER && others > 0 && silent == others
    }
}
