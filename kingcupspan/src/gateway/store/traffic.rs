//! Counts the calls to the store and the bytes of the responses to them.

use kingcupspan_platform::store;
use prometheus::IntCounterVec;

use super::StoreFailure;
use crate::metrics::opts;

/// Label of calls whose path names no topic.
const NO_TOPIC: &str = "none";

/// Way by which a call reaches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Via {
    /// This daemon makes the call for itself.
    #[display("direct")]
    Direct,

    /// This daemon makes the call for a peer.
    #[display("for peer")]
    ForPeer,

    /// A peer makes the call for this daemon.
    #[display("peer")]
    Peer,
}

/// Counters of calls and bytes, by topic and way.
#[derive(Debug, Clone)]
pub struct Traffic {
    /// Calls, by outcome.
    pub calls: IntCounterVec,

    /// Bytes of responses, by whether they were used or discarded.
    pub bytes: IntCounterVec,
}

impl Default for Traffic {
    fn default() -> Self {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            // The names are constant and valid.
            IntCounterVec::new(opts(name, help), labels).expect("the counters are valid")
        };
        Self {
            calls: counters(
                "store_calls_total",
                "Calls to the store",
                &["topic", "via", "outcome"],
            ),
            bytes: counters(
                "store_response_bytes_total",
                "Bytes received in responses of the store",
                &["topic", "via", "use"],
            ),
        }
    }
}

impl Traffic {
    /// Counts a call that has ended and the `received` bytes of its response.
    pub fn record<T>(
        &self,
        path: &str,
        via: Via,
        received: usize,
        result: &Result<T, StoreFailure>,
    ) {
        let topic = store::topic_kind(path).unwrap_or(NO_TOPIC);
        let (outcome, usage) = match result {
            Ok(_) => ("answered", "used"),
            Err(StoreFailure::Refused(_)) => ("rejected", "used"),
            Err(_) => ("given up", "discarded"),
        };
        let via = via.to_string();
        self.calls.with_label_values(&[topic, &via, outcome]).inc();
        self.bytes
            .with_label_values(&[topic, &via, usage])
            .inc_by(received as u64);
    }
}
