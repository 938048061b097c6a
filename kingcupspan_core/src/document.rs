//! Versions of the configuration: a change counts if and only if it names the
//! version in force at its place on the log.

use serde::{Deserialize, Serialize};

use crate::id::{Offset, Version};

/// A record on the configuration's stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// An operator's change.
    Publish {
        /// The version that the change was made against.
        base: Version,

        /// Random number by which the operator recognises its own record.
        nonce: u64,

        /// RFC 6902 patch of the document, or the whole document.
        change: Change,
    },

    /// The whole document, for readers whose offset has expired.
    Snapshot {
        /// Version of the document.
        version: Version,

        /// Records up to and including this offset are folded in.
        upto: Offset,

        /// The document as JSON.
        document: String,
    },
}

/// How a record changes the document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// An RFC 6902 patch as JSON.
    Patch(String),

    /// A whole document as JSON.
    Whole(String),
}

/// The document in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CurrentDocument {
    /// Its version.
    pub version: Version,

    /// Offset of the last record folded, none before the first.
    pub upto: Option<Offset>,

    /// The document as JSON; empty before the first publication.
    pub document: String,
}

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force as this version.
    Accepted(Version),

    /// It named another version than the one in force.
    VersionMismatch {
        /// The version in force at its place on the log.
        in_force: Version,
    },

    /// Its document cannot be used; the text says why.
    Invalid(String),

    /// It was folded before or is no change.
    Unchanged,
}

impl CurrentDocument {
    /// Folds the record at `offset`; `make` applies a change and checks the result.
    pub fn apply<F>(&mut self, offset: Offset, record: &Record, make: F) -> ApplyOutcome
    where
        F: FnOnce(&str, &Change) -> Result<String, String>,
    {
        match record {
            Record::Publish { base, change, .. } => {
                if self.upto.is_some_and(|upto| offset <= upto) {
                    return ApplyOutcome::Unchanged;
                }
                self.upto = Some(offset);
                self.publish(*base, change, make)
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

    fn publish<F>(&mut self, base: Version, change: &Change, make: F) -> ApplyOutcome
    where
        F: FnOnce(&str, &Change) -> Result<String, String>,
    {
        if base != self.version {
            return ApplyOutcome::VersionMismatch {
                in_force: self.version,
            };
        }
        match make(&self.document, change) {
            Ok(document) => {
                self.document = document;
                self.version = self.version.next();
                ApplyOutcome::Accepted(self.version)
            }
            Err(why) => ApplyOutcome::Invalid(why),
        }
    }

    /// Folds the records that a new reader finds on a stream whose beginning
    /// may be gone: the newest snapshot first, then what follows it.
    pub fn bootstrap<F>(records: &[(Offset, Record)], make: F) -> Self
    where
        F: Fn(&str, &Change) -> Result<String, String>,
    {
        let mut state = Self::default();
        let is_snapshot = |r: &&(Offset, Record)| matches!(r.1, Record::Snapshot { .. });
        for (offset, snapshot) in records.iter().filter(is_snapshot) {
            state.apply(*offset, snapshot, &make);
        }
        for (offset, record) in records {
            state.apply(*offset, record, &make);
        }
        state
    }

    /// Takes over a document from a snapshot or a peer if it is newer.
    pub fn adopt(&mut self, other: &Self) -> bool {
        if other.upto <= self.upto || other.version < self.version {
            return false;
        }
        *self = other.clone();
        true
    }
}
