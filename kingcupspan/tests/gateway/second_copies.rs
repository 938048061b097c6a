//! Tests of second copies of requests whose endpoint is slow to answer.

use std::time::{Duration, Instant};

use async_std::task;
use kingcupspan_platform_standin::{caller::Request, endpoint::EndpointBehavior};

use crate::fleet::Fleet;

/// Time within which an endpoint notices that a request was cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends requests one after another while the first endpoint never answers; returns how many
/// succeeded.
async fn send_while_one_hangs(fleet: &Fleet, prefix: &str, count: usize) -> usize {
    for i in 0..30 {
        let request = Request::plain(prefix, &format!("usual{i}"));
        assert_eq!(fleet.send(0, &request).await.status, 200);
    }
    fleet.service_endpoints[0].set_behavior(EndpointBehavior::Hangs);
    let mut succeeded = 0;
    for i in 0..count {
        let request = Request::plain(prefix, &format!("slow{i}"));
        let response = fleet.send(0, &request).await;
        succeeded += usize::from(response.status == 200);
    }
    succeeded
}

/// Returns how often an endpoint has executed a request.
fn runs(fleet: &Fleet, id: &str) -> usize {
    let endpoints = fleet.service_endpoints.iter();
    let executed = endpoints.flat_map(|e| e.executed_requests());
    executed.filter(|r| r.id == id).count()
}

// Guards against callers that wait until their deadline for one endpoint while another is idle,
// and against copies that go on working after the other one was answered.
#[async_std::test]
async fn slow_answer_is_replaced_by_that_of_another_endpoint() {
    let mut fleet = Fleet::start("gateway-copies", 1, 1_000).await;
    fleet.daemons[0].kill();
    fleet.restart_with(0, &["--second-copies", "0.5"]);
    fleet.wait_until_ready().await;
    assert_eq!(send_while_one_hangs(&fleet, "/safe/", 8).await, 8);
    assert!(fleet.metric(0, "outcome=\"won\"").await >= 1);
    assert!((0..8).all(|i| runs(&fleet, &format!("slow{i}")) <= 2));
    let started_at = Instant::now();
    while fleet.service_endpoints[0].cancelled_requests() == 0 {
        assert!(started_at.elapsed() < CANCEL_TIMEOUT, "{}", fleet.log(0));
        task::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against a second run of a call that must run at most once.
#[async_std::test]
async fn request_that_may_not_be_repeated_gets_no_copy() {
    let mut fleet = Fleet::start("gateway-no-copies", 1, 1_000).await;
    fleet.daemons[0].kill();
    fleet.restart_with(0, &["--second-copies", "1"]);
    fleet.wait_until_ready().await;
    send_while_one_hangs(&fleet, "/unsafe/", 4).await;
    assert!((0..4).all(|i| runs(&fleet, &format!("slow{i}")) == 1));
}

// Guards against extra work for endpoints that no operator has allowed.
#[async_std::test]
async fn no_copies_are_sent_by_default() {
    let fleet = Fleet::start("gateway-copies-off", 1, 1_000).await;
    send_while_one_hangs(&fleet, "/safe/", 4).await;
    assert!((0..4).all(|i| runs(&fleet, &format!("slow{i}")) == 1));
}

// Guards against a third endpoint for a request whose first answer broke off and whose next one
// is slow, where two are allowed.
#[async_std::test]
async fn request_that_was_repeated_gets_no_copy_beyond_its_attempts() {
    let mut fleet = Fleet::start("gateway-copies-most", 1, 1_000).await;
    let third = Fleet::start_endpoint(&fleet.store, "plain", "p3", EndpointBehavior::Plain);
    fleet.daemons[0].kill();
    fleet.restart_with(0, &["--second-copies", "1"]);
    fleet.wait_until_ready().await;
    for i in 0..30 {
        let request = Request::plain("/safe/", &format!("usual{i}"));
        assert_eq!(fleet.send(0, &request).await.status, 200);
    }
    fleet.service_endpoints[0].set_behavior(EndpointBehavior::TruncatesBody);
    fleet.service_endpoints[1].set_behavior(EndpointBehavior::Hangs);
    third.set_behavior(EndpointBehavior::Hangs);
    for i in 0..6 {
        let id = format!("slow{i}");
        fleet.send(0, &Request::plain("/safe/", &id)).await;
        let executed = third.executed_requests();
        let at_third = executed.iter().filter(|r| r.id == id).count();
        assert!(runs(&fleet, &id) + at_third <= 2, "{id}");
    }
}
