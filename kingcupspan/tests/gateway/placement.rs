//! Tests of the share of requests that endpoints get when they fail or their machines are slow.

use std::{sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_platform_standin::{
    caller::Request,
    endpoint::{Endpoint, EndpointBehavior},
};

use crate::fleet::Fleet;

/// Interval at which a daemon notices a new endpoint, with a margin.
const LIST_DELAY: Duration = Duration::from_millis(900);

/// Sends requests that may be repeated one after another and checks that all succeed.
async fn send_all(fleet: &Fleet, label: &str, count: usize, interval: Duration) {
    for i in 0..count {
        let request = Request::plain("/safe/", &format!("{label}{i}"));
        let response = fleet.send(0, &request).await;
        assert_eq!(response.status, 200, "{response:?}");
        task::sleep(interval).await;
    }
}

/// Returns how many of the requests with a label an endpoint has executed.
fn executed(endpoint: &Endpoint, label: &str) -> usize {
    let executed = endpoint.executed_requests();
    executed.iter().filter(|r| r.id.starts_with(label)).count()
}

// Guards against an endpoint whose answers are worthless while its connections stand and that
// still gets its share, and against one that never gets it back.
#[async_std::test]
async fn endpoint_that_fails_is_avoided_and_taken_back() {
    let fleet = Fleet::start("gateway-avoided", 1, 2_000).await;
    for id in ["p3", "p4", "p5", "p6"] {
        Fleet::start_endpoint(&fleet.store, "plain", id, EndpointBehavior::Plain);
    }
    task::sleep(LIST_DELAY).await;
    let faulty = &fleet.service_endpoints[0];
    faulty.set_behavior(EndpointBehavior::Unsigned);
    send_all(&fleet, "faulty", 60, Duration::from_millis(5)).await;
    let runs = executed(faulty, "faulty");
    assert!(runs < 6, "{runs} of 60 requests");
    let log = fleet.log(0);
    assert!(
        log.contains("endpoint fails more requests than its peers"),
        "{log}"
    );
    assert!(fleet.metric(0, "change=\"avoided\"").await >= 1);
    faulty.set_behavior(EndpointBehavior::Plain);
    let mut rounds = 0;
    while fleet.metric(0, "change=\"restored\"").await == 0 {
        assert!(rounds < 100, "{}", fleet.log(0));
        send_all(
            &fleet,
            &format!("wait{rounds}-"),
            5,
            Duration::from_millis(20),
        )
        .await;
        rounds += 1;
    }
    send_all(&fleet, "good", 60, Duration::ZERO).await;
    let runs = executed(faulty, "good");
    assert!(runs >= 5, "{runs} of 60 requests");
}

// Guards against calls that are spread by number over machines of which one is crowded by others.
#[async_std::test]
async fn endpoint_on_a_slow_machine_gets_fewer_calls() {
    let fleet = Fleet::start("gateway-paced", 1, 2_000).await;
    let [slow, usual] = [0, 1].map(|i| Arc::clone(&fleet.service_endpoints[i]));
    slow.report_paced_load(1, 0, 4, 400);
    usual.report_paced_load(2, 0, 4, 100);
    // Both have told their load.
    send_all(&fleet, "first", 4, Duration::ZERO).await;
    send_all(&fleet, "call", 20, Duration::ZERO).await;
    let [slow, usual] = [slow, usual].map(|e| executed(&e, "call"));
    assert!(
        usual >= 18,
        "{slow} on the slow machine, {usual} on the other"
    );
}
