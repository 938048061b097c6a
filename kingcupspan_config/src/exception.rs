//! Exceptions from the defaults, each with its reason.

use kingcupspan_core::id::{CallerId, WorkspaceId};
use serde::Serialize;
use serde_json::Value;

use crate::{limits, reader};

/// Shortest reason that says something, in characters.
const REASON_MIN_CHARS: usize = 10;

/// Other limits for one caller, or for one of its workspaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Exception {
    /// Whom it is for.
    pub caller: CallerId,

    /// The only workspace that it holds for, if any.
    pub workspace: Option<WorkspaceId>,

    /// Why it is needed.
    pub reason: String,

    /// The limits that differ, as published.
    pub set: Value,
}

impl Exception {
    /// Reads an exception.
    pub fn read(object: &reader::ObjectReader<'_>) -> Option<Self> {
        let caller = object.parse_required("caller");
        let workspace = object.parse_optional("workspace");
        let reason: Option<String> = object.parse_required("reason");
        if reason
            .as_ref()
            .is_some_and(|r| r.trim().chars().count() < REASON_MIN_CHARS)
        {
            let message = format!("state the reason in at least {REASON_MIN_CHARS} characters");
            object.report_at("reason", message);
        }
        let set = object.child("set");
        limits::Limits::default().overlay(&set);
        set.report_unknown_fields();
        Some(Self {
            caller: caller?,
            workspace,
            reason: reason?,
            set: object.get("set")?.clone(),
        })
    }

    /// Whether it holds for a program of `caller` in `workspace`.
    pub fn covers(&self, caller: &CallerId, workspace: Option<&WorkspaceId>) -> bool {
        let same_workspace = self.workspace.is_none() || self.workspace.as_ref() == workspace;
        self.caller == *caller && same_workspace
    }
}
