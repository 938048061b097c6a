//! Who may send requests.

use std::collections::BTreeSet;

use kingcupspan_core::{
    digest,
    id::{CallerId, WorkspaceId},
};
use serde::Serialize;

use crate::reader;

/// A caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Caller {
    /// Its name.
    pub caller: CallerId,

    /// SHA-256 of its key; the key itself is written nowhere.
    pub key_sha256: digest::Digest,

    /// Its share of a contended endpoint, relative to other callers.
    pub weight: u64,

    /// The workspaces that it may open programs in.
    pub workspaces: BTreeSet<WorkspaceId>,
}

impl Caller {
    /// Reads a caller.
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
