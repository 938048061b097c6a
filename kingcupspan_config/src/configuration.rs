//! The fleet's configuration, as operators publish it.

use std::{cell, collections::BTreeSet, fmt};

use kingcupspan_core::{
    digest,
    id::{CallerId, EndpointId, ServiceId, WorkspaceId},
};
use serde::Serialize;
use serde_json::Value;

use crate::{caller, endpoint, exception, finding, limits, reader, service};

/// A checked configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Configuration {
    /// Limits of everyone who is not excepted.
    pub defaults: limits::Limits,

    /// Who is excepted, and why.
    pub exceptions: Vec<exception::Exception>,

    /// Who may send requests.
    pub callers: Vec<caller::Caller>,

    /// Plain services.
    pub services: Vec<service::Service>,

    /// Endpoints.
    pub endpoints: Vec<endpoint::Endpoint>,
}

impl TryFrom<&Value> for Configuration {
    type Error = finding::Findings;

    fn try_from(raw: &Value) -> Result<Self, finding::Findings> {
        let findings = cell::RefCell::default();
        let configuration = Self::read(&reader::ObjectReader::root(raw, &findings));
        findings.into_inner().into_result(Some(configuration))
    }
}

impl Configuration {
    fn read(object: &reader::ObjectReader<'_>) -> Self {
        let configuration = Self {
            defaults: read_defaults(object),
            exceptions: object.objects("exceptions", exception::Exception::read),
            callers: object.objects("callers", caller::Caller::read),
            services: object.objects("services", service::Service::read),
            endpoints: object.objects("endpoints", endpoint::Endpoint::read),
        };
        object.report_unknown_fields();
        configuration.cross_check(object);
        configuration
    }

    fn cross_check(&self, object: &reader::ObjectReader<'_>) {
        report_duplicates(object, "callers", self.callers.iter().map(|c| &c.caller));
        report_duplicates(
            object,
            "callers",
            self.callers.iter().map(|c| &c.key_sha256),
        );
        report_duplicates(object, "services", self.services.iter().map(|s| &s.service));
        report_duplicates(
            object,
            "endpoints",
            self.endpoints.iter().map(|e| &e.endpoint),
        );
        for (i, exception) in self.exceptions.iter().enumerate() {
            if !self.callers.iter().any(|c| c.caller == exception.caller) {
                let message = format!("there is no caller {}", exception.caller);
                object.report_at(&format!("exceptions/{i}/caller"), message);
            }
        }
        for (i, endpoint) in self.endpoints.iter().enumerate() {
            if let endpoint::ServedTarget::Service(name) = &endpoint.serves
                && self.service(name).is_none()
            {
                let message = format!("there is no service {name}");
                object.report_at(&format!("endpoints/{i}/service"), message);
            }
        }
    }

    /// The caller whose key has this digest.
    pub fn caller_by_key(&self, digest: &digest::Digest) -> Option<&caller::Caller> {
        self.callers.iter().find(|c| c.key_sha256 == *digest)
    }

    /// The weight of a caller, 1 for one that is gone.
    pub fn weight(&self, caller: &CallerId) -> u64 {
        let found = self.callers.iter().find(|c| c.caller == *caller);
        found.map_or(1, |c| c.weight)
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceId) -> Option<&service::Service> {
        self.services.iter().find(|s| s.service == *name)
    }

    /// The endpoint of this name.
    pub fn endpoint(&self, name: &EndpointId) -> Option<&endpoint::Endpoint> {
        self.endpoints.iter().find(|e| e.endpoint == *name)
    }

    /// The limits in force for a caller, with all exceptions that cover it.
    pub fn limits(&self, caller: &CallerId, workspace: Option<&WorkspaceId>) -> limits::Limits {
        let mut limits = self.defaults.clone();
        let findings = cell::RefCell::default();
        for exception in &self.exceptions {
            if exception.covers(caller, workspace) {
                limits = limits.overlay(&reader::ObjectReader::root(&exception.set, &findings));
            }
        }
        limits
    }
}

fn read_defaults(object: &reader::ObjectReader<'_>) -> limits::Limits {
    if !object.has_field("defaults") {
        return limits::Limits::default();
    }
    let defaults = object.child("defaults");
    let limits = limits::Limits::default().overlay(&defaults);
    defaults.report_unknown_fields();
    limits
}

fn report_duplicates<T: Ord + fmt::Display>(
    object: &reader::ObjectReader<'_>,
    field: &str,
    items: impl Iterator<Item = T>,
) {
    let mut seen = BTreeSet::new();
    for (i, item) in items.enumerate() {
        let message = format!("{item} stands here twice");
        if !seen.insert(item) {
            object.report_at(&format!("{field}/{i}"), message);
        }
    }
}
