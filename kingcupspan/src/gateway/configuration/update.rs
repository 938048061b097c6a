//! Configurations that daemons send to each other, as changes of a version that both have.

use std::sync::Arc;

use kingcupspan_core::{
    digest::Digest,
    gateway::routing::{Configuration, ConfigurationChanges},
    id::Version,
};
use serde::{Deserialize, Serialize};

/// A configuration and the digest of its content.
#[derive(Debug)]
pub(super) struct Versioned {
    pub(super) configuration: Arc<Configuration>,
    digest: Digest,
}

impl From<Configuration> for Versioned {
    fn from(configuration: Configuration) -> Self {
        // Configurations consist of numbers, strings and lists, which always encode.
        let encoded = rmp_serde::to_vec(&configuration).expect("configurations encode");
        Self {
            configuration: Arc::new(configuration),
            digest: Digest::of(&encoded),
        }
    }
}

/// Changes that bring a daemon up to date.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Number of the operator's records of which the configuration is the newest.
    pub position: u64,

    changes: ConfigurationChanges,

    /// Digest of the configuration after the changes.
    digest: Digest,
}

/// Error returned when an update cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum UpdateError {
    /// The changes are those of a version that this daemon does not have.
    #[error("the changes apply to version {0}")]
    OtherBase(Version),

    /// The configuration after the changes is not the one that was sent.
    #[error("the digest differs after the changes to version {0}")]
    DigestDiffers(Version),

    /// The configuration has no workspaces, as with senders of a former version, which drop
    /// them; whether that is so has to be read from the record.
    #[error("version {0} has no workspaces, unlike the active one")]
    NoWorkspaces(Version),
}

impl Update {
    /// Returns the update from `base`, or from nothing, to `active`.
    pub(super) fn between(base: Option<&Versioned>, active: &Versioned, position: u64) -> Self {
        let empty = Configuration::default();
        let base = base.map_or(&empty, |b| &b.configuration);
        Self {
            position,
            changes: active.configuration.changes_since(base),
            digest: active.digest,
        }
    }

    /// Returns the configuration after the changes.
    pub(super) fn apply_to(&self, active: Option<&Versioned>) -> Result<Versioned, UpdateError> {
        let empty = Configuration::default();
        if active.is_some_and(|a| self.changes.drop_workspaces_of(&a.configuration)) {
            return Err(UpdateError::NoWorkspaces(self.changes.version));
        }
        let base = match self.changes.base == empty.version {
            true => &empty,
            false => active.map_or(&empty, |a| &a.configuration),
        };
        let configuration = base
            .with(&self.changes)
            .ok_or(UpdateError::OtherBase(self.changes.base))?;
        let received = Versioned::from(configuration);
        match received.digest == self.digest {
            true => Ok(received),
            false => Err(UpdateError::DigestDiffers(self.changes.version)),
        }
    }
}
