//! Endpoints: model engines and the runners of plain services.

use std::net;

use kingcupspan_core::id::{DomainId, EndpointId, ModelId, ServiceId, VmId};
use serde::Serialize;

use crate::reader;

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Endpoint {
    /// Its name.
    pub endpoint: EndpointId,

    /// The VM that it runs on.
    pub vm: VmId,

    /// The failure domain of that VM.
    pub failure_domain: DomainId,

    /// Where it listens.
    pub addr: net::SocketAddr,

    /// What it serves.
    pub serves: ServedTarget,

    /// Calls that it works on at a time.
    pub slots: u64,

    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fence: bool,

    /// Tokens that its prefix cache holds.
    pub cache_tokens: u64,
}

/// What an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServedTarget {
    /// A model engine.
    Model(ModelId),

    /// A plain service.
    Service(ServiceId),
}

impl Endpoint {
    /// Reads an endpoint.
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
