//! Plain services and their operations.

use std::str;

use kingcupspan_core::{id::ServiceId, record};
use serde::Serialize;

use crate::reader;

/// Plain service: a set of operations other than model inference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name of the service.
    pub service: ServiceId,

    /// Operations that the service offers.
    pub operations: Vec<Operation>,
}

/// Operation of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Operation {
    /// Path of the operation below the service's path.
    pub path: String,

    /// Whether the operation may be executed more than once for one call.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
}

/// Whether an operation may be executed more than once for one call, as written in
/// the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// The operation may be repeated.
    Idempotent,

    /// The operation must take effect at most once.
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
    /// Reads a service from its JSON object, reporting problems to `object`.
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

    /// Returns the operation at `path`.
    pub fn operation(&self, path: &str) -> Option<&Operation> {
        self.operations.iter().find(|o| o.path == path)
    }
}
