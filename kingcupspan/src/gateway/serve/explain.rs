//! Explains where a request would go now, and why, without sending it.

use std::time::{Duration, Instant};

use kingcupspan_core::gateway::{endpoint::Endpoint, placement::Candidate};
use kingcupspan_platform::headers;
use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::{
    gateway::{error_response::ErrorResponse, exchange::Exchange},
    http::head::RequestHead,
};

/// Where a request would go now, and why.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Version of the active configuration, 0 if there is none.
    pub configuration: u64,

    /// The route, if there is one and the caller may use it.
    pub route: Option<RouteChoice>,

    /// Workspace of the caller, if it has one.
    pub workspace: Option<String>,

    /// Why the request would be refused at once.
    pub refusal: Option<Refusal>,

    /// Requests for each slot of the engines, if the request starts a program that depends on it.
    pub utilization: Option<f64>,

    /// Share of the programs like this one that are refused for the utilization.
    pub refused_share: f64,

    /// Endpoints that accept new requests, in the order in which they would be used.
    pub endpoints: Vec<Place>,
}

/// The route and service of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteChoice {
    /// Name of the route.
    pub name: String,

    /// Service whose endpoints run the request.
    pub service: String,

    /// Rank of the request, 0 is the highest.
    pub rank: u32,

    /// Whether a request that may have run can be sent again.
    pub is_repeatable: bool,

    /// Maximum number of endpoints on which the request is tried.
    pub max_attempts: u32,

    /// Time until the request must be answered.
    pub deadline_ms: u64,
}

/// An error response that the request would get.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,

    /// Reason as in the log.
    pub reason: String,

    /// Time after which the caller is told to retry.
    pub retry_after_ms: Option<u64>,
}

impl From<ErrorResponse> for Refusal {
    fn from(response: ErrorResponse) -> Self {
        Self {
            status: response.reason.status(),
            reason: response.reason.to_string(),
            retry_after_ms: response.retry_after.map(milliseconds),
        }
    }
}

/// An endpoint and what is known of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// The endpoint.
    pub endpoint: Endpoint,

    /// Whether it takes the request as soon as that needs; if not, its rate limit is reached.
    pub takes_now: bool,

    /// Requests in flight from this daemon.
    pub in_flight: u32,

    /// Requests of all daemons that the endpoint reported lately, running and waiting.
    pub reported: Option<u32>,

    /// Whether connections to it failed recently, or its requests fail or take long.
    pub is_failing: bool,

    /// Rate limit that it has named.
    pub limit_per_s: Option<f64>,
}

impl Gateway {
    /// Decides about a request as if it had just been received with an empty body; nothing is sent,
    /// reserved or counted. Earlier turns and the tokens of its program are not looked up.
    pub fn explain(&self, head: RequestHead) -> Explanation {
        let configuration = self.configuration.get().map_or(0, |c| c.version.0);
        let info = headers::call_info(&head.headers);
        let explanation = match self.admit(head, info, Vec::new(), Instant::now()) {
            Ok(ex) => self.explain_admitted(&ex),
            Err(response) => Explanation {
                refusal: Some(response.into()),
                ..Explanation::default()
            },
        };
        Explanation {
            configuration,
            ..explanation
        }
    }

    /// Explains where a request goes that has a route.
    fn explain_admitted(&self, ex: &Exchange) -> Explanation {
        let refused = self
            .refuse_late_in_shutdown(ex)
            .and_then(|()| self.refuse_if_cut_off(ex))
            .and_then(|()| self.refuse_in_outage(ex));
        let utilization = self.utilization_at_start(ex);
        let share = |u| self.refused_share(ex, u);
        let places = self.placements(ex).into_iter();
        Explanation {
            configuration: ex.configuration.version.0,
            route: Some(route_choice(ex)),
            workspace: ex.workspace.as_ref().map(|w| w.name.to_string()),
            refusal: refused.err().map(Refusal::from),
            utilization,
            refused_share: utilization.map_or(0.0, share),
            endpoints: places.map(|(c, takes)| self.place_of(&c, takes)).collect(),
        }
    }

    /// Returns what is known of an endpoint.
    fn place_of(&self, candidate: &Candidate, takes_now: bool) -> Place {
        let limit = self.upstream.limit(&candidate.endpoint.id);
        Place {
            endpoint: Endpoint::clone(&candidate.endpoint),
            takes_now,
            in_flight: candidate.load.in_flight,
            reported: candidate.load.reported,
            is_failing: candidate.load.is_failing,
            limit_per_s: limit.map(|l| l.per_s()),
        }
    }
}

/// Returns the route and service of a request.
fn route_choice(ex: &Exchange) -> RouteChoice {
    RouteChoice {
        name: ex.route.name.clone(),
        service: ex.service.to_string(),
        rank: ex.rank(),
        is_repeatable: ex.route.is_idempotent(),
        max_attempts: ex.route.max_attempts,
        deadline_ms: milliseconds(ex.deadline - ex.received_at),
    }
}

/// Converts a duration.
fn milliseconds(span: Duration) -> u64 {
    span.as_millis() as u64
}
