//! Endpoints: model engines and the runners of plain services.

use std::net;

use kingcupspan_core::id::{DomainId, EndpointId, ModelId, ServiceId, VmId};
use serde::Serialize;

use crate::node;

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
    pub serves: Serves,

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
pub enum Serves {
    /// A model engine.
    Model(ModelId),

    /// A plain service.
    Service(ServiceId),
}

impl Endpoint {
    /// Reads an endpoint.
    pub fn read(node: &node::Node<'_>) -> Option<Self> {
        let endpoint = node.text("endpoint");
        let vm = node.text("vm");
        let failure_domain = node.text("failure_domain");
        let addr = node.text("addr");
        let serves = read_serves(node);
        let slots = node.number("slots", 8, 1..=100_000);
        let checks_fence = node.flag("checks_fence", false);
        let cache_tokens = node.number("cache_tokens", 100_000, 1..=1 << 40);
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

fn read_serves(node: &node::Node<'_>) -> Option<Serves> {
    let model = node.optional_text("model").map(Serves::Model);
    let service = node.optional_text("service").map(Serves::Service);
    match (model, service) {
        (Some(serves), None) | (None, Some(serves)) => Some(serves),
        (Some(_), Some(_)) => {
            node.report("name either a model or a service, not both");
            None
        }
        (None, None) => {
            node.report("name the model or the service that the endpoint serves");
            None
        }
    }
}
