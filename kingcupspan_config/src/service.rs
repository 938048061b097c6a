//! Plain services and which of their operations may be repeated.

use std::str;

use kingcupspan_core::{id::ServiceId, record};
use serde::Serialize;

use crate::node;

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Its name.
    pub service: ServiceId,

    /// What it can be asked.
    pub operations: Vec<Operation>,
}

/// One operation of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Operation {
    /// Path below the service.
    pub path: String,

    /// Whether it may be repeated.
    pub repeat: Repeat,
}

/// Whether an operation may be repeated, as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It may be repeated.
    Idempotent,

    /// It must take effect at most once.
    NonIdempotent,
}

impl str::FromStr for Repeat {
    type Err = &'static str;

    fn from_str(raw: &str) -> Result<Self, Self::Err> {
        match raw {
            "idempotent" => Ok(Self::Idempotent),
            "non-idempotent" => Ok(Self::NonIdempotent),
            _ => Err("expected \"idempotent\" or \"non-idempotent\""),
        }
    }
}

impl From<Repeat> for record::Idempotency {
    fn from(repeat: Repeat) -> Self {
        match repeat {
            Repeat::Idempotent => Self::Idempotent,
            Repeat::NonIdempotent => Self::NonIdempotent,
        }
    }
}

impl Service {
    /// Reads a service.
    pub fn read(node: &node::Node<'_>) -> Option<Self> {
        let service = node.text("service");
        let operations = node.list("operations", |n| {
            let path = n.text("path");
            let repeat = n.text("repeat");
            Some(Operation {
                path: path?,
                repeat: repeat?,
            })
        });
        Some(Self {
            service: service?,
            operations,
        })
    }

    /// The operation at `path`.
    pub fn operation(&self, path: &str) -> Option<&Operation> {
        self.operations.iter().find(|o| o.path == path)
    }
}
