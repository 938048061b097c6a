//! Plain services and which of their operations may be repeated.

use std::str;

use kingcupspan_core::{id::ServiceId, record};
use serde::Serialize;

use crate::reader;

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
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
}

/// Whether an operation may be repeated, as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// It may be repeated.
    Idempotent,

    /// It must take effect at most once.
    NonIdempotent,
}

impl str::FromStr for Idempotency {
    type Err = &'static str;

    fn from_str(raw: &str) -> Result<Self, Self::Err> {
        match raw {
            "idempotent" => Ok(Self::Idempotent),
            "non-idempotent" => Ok(Self::NonIdempotent),
            _ => Err("expected \"idempotent\" or \"non-idempotent\""),
        }
    }
}

impl From<Idempotency> for record::Idempotency {
    fn from(idempotency: Idempotency) -> Self {
        match idempotency {
            Idempotency::Idempotent => Self::Idempotent,
            Idempotency::NonIdempotent => Self::NonIdempotent,
        }
    }
}

impl Service {
    /// Reads a service.
    pub fn read(object: &reader::ObjectReader<'_>) -> Option<Self> {
        let service = object.parse_required("service");
        let operations = object.objects("operations", |n| {
            let path = n.parse_required("path");
            let idempotency = n.parse_required("repeat");
            Some(Operation {
                path: path?,
                idempotency: idempotency?,
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
