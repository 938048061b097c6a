//! Tests that a daemon that is out of step with the others, or has an old list, joins no streams of
//! different software versions.

use std::sync::Arc;

use async_std::task;
use kingcupspan_platform_standin::{endpoint::Endpoint, settings};

use crate::{
    fleet::Fleet,
    versions::{self, BREAKS_OFF, LIST_DELAY, Versions},
};

impl Versions {
    /// Starts a fleet with three engines of one version.
    async fn start_of_one_version(name: &str, daemons: usize) -> Self {
        let configuration = settings::with_resumable_route(settings::configuration(1, 4_000));
        let fleet = Fleet::start_with_configuration(name, daemons, &configuration).await;
        fleet.engine.set_behavior(BREAKS_OFF);
        let mut engines = vec![(Arc::clone(&fleet.engine), settings::ENDPOINT_VERSION)];
        for id in ["e2", "e3"] {
            let engine = Fleet::start_endpoint(&fleet.store, "llm", id, BREAKS_OFF);
            engines.push((engine, settings::ENDPOINT_VERSION));
        }
        task::sleep(LIST_DELAY).await;
        Self { fleet, engines }
    }
}

/// Number of requests that an engine has executed.
fn runs(engine: &Endpoint) -> usize {
    engine.executed_requests().len()
}

// Guards against a stream that begins or goes on at an engine that was started again with another
// version, which a list of one version does not say yet though it was read a moment ago.
#[async_std::test]
async fn engine_replaced_under_its_id_gets_no_stream_while_one_version_is_listed() {
    let versions = Versions::start_of_one_version("gateway-replaced-alone", 2).await;
    let replaced = Arc::clone(&versions.engines[0].0);
    for i in 0..12 {
        let first = versions::begin(&format!("p{i}"), &format!("first{i}"));
        versions.begin(i % 2, &first).await;
    }
    let before = runs(&replaced);
    assert!(before > 0);
    replaced.replace(2);
    for i in 0..12 {
        let second = format!("second{i}");
        let request = versions::go_on(&format!("p{i}"), &second, &format!("first{i}"));
        let response = versions.fleet.send(i % 2, &request).await;
        versions.assert_goes_on(&response, &second, settings::ENDPOINT_VERSION);
        let new = versions::begin(&format!("q{i}"), &format!("new{i}"));
        versions.begin(i % 2, &new).await;
    }
    let executed = replaced.executed_requests();
    let ids: Vec<&str> = executed[before..].iter().map(|r| r.id.as_str()).collect();
    assert!(ids.is_empty(), "{ids:?}");
}
