//! Tests of endpoints that answer a request twice, the second time late.

use std::{collections::HashSet, time::Duration};

use async_std::task;
use kingcupspan_platform_standin::{caller::Request, endpoint::EndpointBehavior};

use crate::fleet::Fleet;

/// Number of requests in flight together, which leave as many idle connections.
const TOGETHER: usize = 8;

/// Starts a daemon whose endpoints send each response once more before the next.
async fn start_repeating(name: &str, is_named: bool) -> Fleet {
    let fleet = Fleet::start(name, 1, 1_000).await;
    let behavior = EndpointBehavior::RepeatsResponse { is_named };
    fleet
        .service_endpoints
        .iter()
        .for_each(|e| e.set_behavior(behavior));
    fleet
}

// Guards against a caller's next try under the same id that gets the answer to the first one.
#[async_std::test]
async fn next_try_does_not_get_the_late_answer_to_the_first() {
    let fleet = start_repeating("gateway-late-same-id", true).await;
    let mut bodies = HashSet::new();
    for _ in 0..10 {
        for id in ["again1", "again2"] {
            let response = fleet.send(0, &Request::plain("/unsafe/", id)).await;
            assert_eq!(response.status, 200, "{response:?}");
            assert!(response.body.starts_with(&format!("done {id} in run")));
            assert!(bodies.insert(response.body.clone()), "{response:?}");
        }
    }
}

// Guards against a caller who uses one id again and again and fills the endpoint with connections.
#[async_std::test]
async fn tries_under_one_id_leave_few_connections() {
    let fleet = Fleet::start("gateway-late-one-id", 1, 1_000).await;
    for _ in 0..50 {
        let response = fleet.send(0, &Request::plain("/unsafe/", "one")).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    // Endpoints learn of a closed connection a moment later.
    task::sleep(Duration::from_millis(300)).await;
    for endpoint in &fleet.service_endpoints {
        let open = endpoint.open_connections();
        assert!(open <= TOGETHER, "{open} open connections");
    }
}
