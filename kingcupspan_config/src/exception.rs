//! Exceptions: overrides of the default limits for individual callers.

use kingcupspan_core::id::{CallerId, WorkspaceId};
use serde::Serialize;
use serde_json::Value;

use crate::{limits, reader};

/// Minimum length of an exception's reason, to rule out empty and meaningless ones.
const REASON_MIN_CHARS: usize = 10;

/// Override of the default limits for one caller, or for one workspace of the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Exception {
    /// Caller to which the exception applies.
    pub caller: CallerId,

    /// Workspace to which the exception is restricted, `None` for all workspaces.
    pub workspace: Option<WorkspaceId>,

    /// Reason for the exception, stated by the operator.
    pub reason: String,

    /// JSON object with the overridden limits, as published.
    pub set: Value,
}

impl Exception {
    /// Reads an exception from its JSON object, reporting problems to `object`.
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

    /// Returns whether the exception applies to a program of `caller` in `workspace`.
    pub fn applies_to(&self, caller: &CallerId, workspace: Option<&WorkspaceId>) -> bool {
        let is_workspace_included =
            self.workspace.is_none() || self.workspace.as_ref() == workspace;
        self.caller == *caller && is_workspace_included
    }
}
