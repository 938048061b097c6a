//! Finds the workspace of a caller by its key.

use std::sync::Arc;

use kingcupspan_core::gateway::{
    call::CallInfo,
    routing::{Configuration, Route},
    workspace::Workspace,
};
use kingcupspan_platform::headers;

use super::{Gateway, retry_later};
use crate::{
    gateway::error_response::{ErrorReason, ErrorResponse},
    http::head::RequestHead,
};

impl Gateway {
    /// Returns the workspace of the caller's key; `None` if callers need no keys.
    ///
    /// # Errors
    ///
    /// Fails if the key is unknown, or may be known to a newer configuration.
    pub(super) fn authenticate(
        &self,
        head: &RequestHead,
        info: &CallInfo,
        configuration: &Configuration,
        route: &Route,
    ) -> Result<Option<Arc<Workspace>>, ErrorResponse> {
        let Some(workspaces) = &configuration.workspaces else {
            return Ok(None);
        };
        let key = headers::key(head.headers.all(headers::AUTHORIZATION));
        let workspace = key.and_then(|key| workspaces.find(key));
        match workspace {
            Some(workspace) => Ok(Some(Arc::clone(workspace))),
            None if route.is_public => Ok(None),
            None => Err(self.refuse_without_workspace(info, configuration)),
        }
    }

    /// Returns the response to a request whose key no workspace holds: a newer configuration may
    /// have one that does.
    fn refuse_without_workspace(
        &self,
        info: &CallInfo,
        configuration: &Configuration,
    ) -> ErrorResponse {
        let id = info.id.as_ref().map_or("-", |id| &*id.0);
        let is_certain = self.configuration.is_certain();
        log::info!(request = id, version = configuration.version.0, certain = is_certain; "no workspace holds the key of the request");
        match is_certain {
            true => ErrorReason::UnknownKey.into(),
            false => retry_later(ErrorReason::ConfigurationOutdated),
        }
    }
}
