//! Endpoints in trouble that send bytes which resemble a response and are none.

use kingcupspan_platform_standin::{
    caller::Request,
    endpoint::{EndpointBehavior, Malformed},
};

use crate::fleet::Fleet;

/// Bytes that are no response.
const MALFORMED: [Malformed; 15] = [
    Malformed::Status("000"),
    Malformed::Status("001"),
    Malformed::Status("099"),
    Malformed::Status("600"),
    Malformed::Status("999"),
    Malformed::Status("101"),
    Malformed::Status("20"),
    Malformed::Status("2000"),
    Malformed::OnlyInterim,
    Malformed::SecondStatusLine,
    Malformed::TwoLengths,
    Malformed::LengthAndChunks,
    Malformed::FoldedHeader,
    Malformed::NulInHeader,
    Malformed::NulInReason,
];

/// Statuses that are odd and legitimate.
const ODD: [u16; 8] = [200, 204, 299, 304, 404, 418, 500, 599];

/// Number of requests of an id that the plain endpoints have executed.
fn runs(fleet: &Fleet, id: &str) -> usize {
    let endpoints = fleet.service_endpoints.iter();
    let executed = endpoints.flat_map(|e| e.executed_requests());
    executed.filter(|r| r.id == id).count()
}

// Guards against bytes that are no response and reach a caller as one, and against a request whose
// outcome is unknown and that is promised not to have run or is run twice.
#[async_std::test]
async fn malformed_response_reaches_no_caller() {
    let fleet = Fleet::start("gateway-malformed", 1, 3_000).await;
    let mut passed_on = Vec::new();
    for kind in MALFORMED {
        let behavior = EndpointBehavior::Malformed(kind);
        let endpoints = fleet.service_endpoints.iter().chain([&fleet.engine]);
        endpoints.for_each(|e| e.set_behavior(behavior));
        let id = format!("u{kind:?}").replace(['"', '(', ')'], "");
        let plain = fleet.send(0, &Request::plain("/unsafe/", &id)).await;
        let turn = fleet.send(0, &Request::turn(&id, &id, None, 3_000)).await;
        for (response, has_run) in [(plain, runs(&fleet, &id) > 0), (turn, true)] {
            let is_refused = response.status == 503 && !has_run;
            if response.status != 502 && !is_refused {
                passed_on.push(format!("{kind:?}: {response:?}"));
            }
        }
        assert!(runs(&fleet, &id) <= 1, "{kind:?} was run again");
    }
    assert!(passed_on.is_empty(), "{passed_on:#?}");
}

// Guards against a request that may be repeated and fails for one endpoint in trouble.
#[async_std::test]
async fn malformed_response_is_made_up_for_by_another_endpoint() {
    let fleet = Fleet::start("gateway-malformed-repeat", 1, 3_000).await;
    for (i, kind) in MALFORMED.into_iter().enumerate() {
        fleet.service_endpoints[0].set_behavior(EndpointBehavior::Malformed(kind));
        for n in 0..4 {
            let request = Request::plain("/safe/", &format!("s{i}-{n}"));
            let response = fleet.send(0, &request).await;
            assert_eq!(response.status, 200, "{kind:?}: {response:?}");
        }
    }
}

// Guards against a check that takes odd responses for none.
#[async_std::test]
async fn odd_response_reaches_its_caller() {
    let fleet = Fleet::start("gateway-odd", 1, 3_000).await;
    for status in ODD {
        let behavior = EndpointBehavior::OddStatus(status);
        let endpoints = fleet.service_endpoints.iter();
        endpoints.for_each(|e| e.set_behavior(behavior));
        let request = Request::plain("/unsafe/", &format!("odd{status}"));
        let response = fleet.send(0, &request).await;
        assert_eq!(response.status, status, "{response:?}");
        assert!(response.is_complete && response.signature.is_some());
    }
}
