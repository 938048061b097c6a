//! Endpoints: model engines and servers of plain services.

use std::net;

use kingcupspan_core::id::{DomainId, EndpointId, ModelId, ServiceId, VmId};
use serde::Serialize;

use crate::reader;

/// Endpoint that executes requests to a model or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub endpoint: EndpointId,

    /// VM on which the endpoint runs.
    pub vm: VmId,

    /// Failure domain of the endpoint's VM.
    pub failure_domain: DomainId,

    /// Address on which the endpoint listens.
    pub addr: net::SocketAddr,

    /// Model or plain service that the endpoint serves.
    pub serves: ServedTarget,

    /// Number of calls that the endpoint executes concurrently.
    pub slots: u64,

    /// Whether the endpoint rejects calls with an outdated fencing token.
    pub checks_fence: bool,

    /// Capacity of the endpoint's prefix cache, in tokens.
    pub cache_tokens: u64,
}

/// Model or plain service that an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServedTarget {
    /// The endpoint is a model engine that serves this model.
    Model(ModelId),

    /// The endpoint serves this plain service.
    Service(ServiceId),
}

impl Endpoint {
    /// Reads an endpoint from its JSON object, reporting problems to `object`.
    pub fn read(object: &reader::ObjectReader<'_>) -> Option<Self> {
        let endpoint = object.parse_required("endpoint");
        let vm = object.parse_required("vm");
        let failure_domain = object.parse_required("failure_domain");
        let addr = object.parse_required("addr");
        let serves = read_served_target(object);
        let slots = object.integer_or("slots", 8, 1..=100_000);
        let checks_fence = object.bool_or("checks_fence", false);
        let cache_tokens = object.integer_or("cache_tokens", 100_000, 1..=1 << 40);
        Some(Self {
            endpoint: endpoint?,
            vm: vm?,
            failure_domain: failure_domain?,
            addr: addr?,
            serves: serves?,
            slots,
            checks_fence,
            cache_tokens,
        })
    }
}

/// Reads the fields `model` and `service`, exactly one of which must be present.
fn read_served_target(object: &reader::ObjectReader<'_>) -> Option<ServedTarget> {
    let model = object.parse_optional("model").map(ServedTarget::Model);
    let service = object.parse_optional("service").map(ServedTarget::Service);
    match (model, service) {
        (Some(serves), None) | (None, Some(serves)) => Some(serves),
        (Some(_), Some(_)) => {
            object.report("name either a model or a service, not both");
            None
        }
        (None, None) => {
            object.report("name the model or the service that the endpoint serves");
            None
        }
    }
}
