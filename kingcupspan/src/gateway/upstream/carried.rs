//! Remembers which requests a connection to an endpoint has carried.
//!
//! An endpoint may answer a request twice, the second time late. The id in that answer tells it from
//! the answer to another request, but not from the answer to a further request under the same id.

use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
};

use kingcupspan_core::gateway::call::RequestId;

/// Number of requests that a connection remembers.
const REMEMBERED_REQUESTS: usize = 64;

/// The requests that a connection has carried lately.
#[derive(Debug, Default)]
pub(super) struct Carried {
    /// Hashes of their ids, since callers choose how long an id is; oldest first.
    ids: VecDeque<u64>,

    /// Whether the connection is to carry no further request.
    is_last: bool,
}

impl Carried {
    /// Records that a request is sent.
    pub(super) fn add(&mut self, id: &RequestId) {
        if self.ids.len() == REMEMBERED_REQUESTS {
            self.ids.pop_front();
        }
        self.ids.push_back(hash(id));
    }

    /// Whether a request under this id has been sent.
    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.ids.contains(&hash(id))
    }

    /// Whether more than one request has been sent, so that an answer may be a late one.
    pub(super) fn is_shared(&self) -> bool {
        self.ids.len() > 1
    }

    /// Records that the connection is to carry no further request.
    pub(super) fn set_last(&mut self) {
        self.is_last = true;
    }

    /// Whether the connection may carry a further request.
    pub(super) fn may_continue(&self) -> bool {
        !self.is_last
    }
}

/// Returns a hash of an id; two ids with the same one cost a connection only.
fn hash(id: &RequestId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
