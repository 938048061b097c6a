//! Callers that are allowed to send requests.

use std::collections::BTreeSet;

use kingcupspan_core::{
    digest,
    id::{CallerId, WorkspaceId},
};
use serde::Serialize;

use crate::reader;

/// Caller that is allowed to send requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Caller {
    /// Name of the caller.
    pub caller: CallerId,

    /// SHA-256 digest of the caller's key; the key itself is never stored.
    pub key_sha256: digest::Digest,

    /// Weight of the caller in the fair sharing of a contended endpoint.
    pub weight: u64,

    /// Workspaces in which the caller may open programs.
    pub workspaces: BTreeSet<WorkspaceId>,
}

impl Caller {
    /// Reads a caller from its JSON object, reporting problems to `object`.
    pub fn read(object: &reader::ObjectReader<'_>) -> Option<Self> {
        let caller = object.parse_required("caller");
        let key_sha256 = object.parse_required("key_sha256");
        let weight = object.integer_or("weight", 1, 1..=1_000_000);
        let workspaces: BTreeSet<WorkspaceId> =
            object.parse_list("workspaces").into_iter().collect();
        if workspaces.is_empty() {
            object.report_at("workspaces", "name at least one workspace");
        }
        Some(Self {
            caller: caller?,
            key_sha256: key_sha256?,
            weight,
            workspaces,
        })
    }
}
