//! Versioned configuration document, updated by compare-and-set.
//!
//! A change takes effect only if it was made against the version that is
//! current at its position in the log.

use serde::{Deserialize, Serialize};

use crate::id::{Offset, Version};

/// Record in the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// Change published by an operator.
    Publish {
        /// Version that the change was made against.
        base: Version,

        /// Random number by which the publishing command recognizes its own
        /// record.
        nonce: u64,

        /// RFC 6902 patch of the document, or a complete new document.
        change: Change,
    },

    /// Complete document, for readers whose next offset has expired from the
    /// log.
    Snapshot {
        /// Version of the document in the snapshot.
        version: Version,

        /// Offset of the last record included in the snapshot.
        upto: Offset,

        /// Document as JSON.
        document: String,
    },
}

/// Change to the document made by a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// RFC 6902 patch as JSON.
    Patch(String),

    /// Complete document as JSON.
    Whole(String),
}

/// Current configuration document and its version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CurrentDocument {
    /// Version of the current document.
    pub version: Version,

    /// Offset of the last applied record, or `None` before the first.
    pub upto: Option<Offset>,

    /// Document as JSON; empty before the first publication.
    pub document: String,
}

/// Result of applying a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was applied and produced this version.
    Accepted(Version),

    /// The change was made against a version other than the current one and was
    /// ignored.
    VersionMismatch {
        /// Current version at the record's position in the log.
        in_force: Version,
    },

    /// The resulting document is invalid, for the given reason.
    Invalid(String),

    /// The record had been applied already or is not a change.
    Unchanged,
}

impl CurrentDocument {
    /// Applies the record at `offset`; `apply_change` applies a change to a document
    /// and validates the result.
    pub fn apply<F>(&mut self, offset: Offset, record: &Record, apply_change: F) -> ApplyOutcome
    where
        F: FnOnce(&str, &Change) -> Result<String, String>,
    {
        match record {
            Record::Publish { base, change, .. } => {
                if self.upto.is_some_and(|upto| offset <= upto) {
                    return ApplyOutcome::Unchanged;
                }
                self.upto = Some(offset);
                self.publish(*base, change, apply_change)
            }
            Record::Snapshot {
                version,
                upto,
                document,
            } => {
                self.adopt(&Self {
                    version: *version,
                    upto: Some(*upto),
                    document: document.clone(),
                });
                ApplyOutcome::Unchanged
            }
        }
    }

    /// Applies a change if it was made against the current version.
    fn publish<F>(&mut self, base: Version, change: &Change, apply_change: F) -> ApplyOutcome
    where
        F: FnOnce(&str, &Change) -> Result<String, String>,
    {
        if base != self.version {
            return ApplyOutcome::VersionMismatch {
                in_force: self.version,
            };
        }
        match apply_change(&self.document, change) {
            Ok(document) => {
                self.document = document;
                self.version = self.version.next();
                ApplyOutcome::Accepted(self.version)
            }
            Err(reason) => ApplyOutcome::Invalid(reason),
        }
    }

    /// Builds the current document from the records of a stream whose beginning
    /// may have expired.
    ///
    /// The newest snapshot is applied first, then the records that follow it.
    pub fn bootstrap<F>(records: &[(Offset, Record)], apply_change: F) -> Self
    where
        F: Fn(&str, &Change) -> Result<String, String>,
    {
        let mut state = Self::default();
        let is_snapshot = |r: &&(Offset, Record)| matches!(r.1, Record::Snapshot { .. });
        for (offset, snapshot) in records.iter().filter(is_snapshot) {
            state.apply(*offset, snapshot, &apply_change);
        }
        for (offset, record) in records {
            state.apply(*offset, record, &apply_change);
        }
        state
    }

    /// Replaces the document by that of a snapshot or a peer if that one is
    /// newer; returns whether it was.
    pub fn adopt(&mut self, other: &Self) -> bool {
        if other.upto <= self.upto || other.version < self.version {
            return false;
        }
        *self = other.clone();
        true
    }
}
