//! Choice of a route and of a service for a request.

use std::{sync::Arc, time::Duration};

use kingcupspan_core::gateway::routing::{Backend, Configuration, Route, RouteKind};

fn route(host: &str, prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 0,
        backends: vec![
            Backend {
                service: "a".into(),
                weight: 90.0,
            },
            Backend {
                service: "b".into(),
                weight: 10.0,
            },
        ],
        max_attempts: 1,
        sticky: false,
        resumable: false,
        keeps_history: false,
        retention: None,
        is_public: false,
    })
}

#[test]
fn longest_matching_prefix_of_the_host_is_chosen() {
    let configuration = Configuration {
        routes: vec![
            route("x", "/a/"),
            route("x", "/a/b/"),
            route("y", "/a/b/c/"),
        ]
        .into(),
        ..Configuration::default()
    };
    let found = |host, path| configuration.route(host, path).map(|r| r.name.as_str());
    assert_eq!(found("x", "/a/b/c/d"), Some("/a/b/"));
    assert_eq!(found("X", "/a/c"), Some("/a/"));
    assert_eq!(found("y", "/a/b/"), None);
    assert_eq!(found("x", "/a"), None);
}

#[test]
fn requests_are_split_between_services_by_weight() {
    let route = route("x", "/");
    let service = |share: f64| {
        let hash = (share * u64::MAX as f64) as u64;
        route.service_for(hash).unwrap().to_string()
    };
    assert_eq!(service(0.0), "a");
    assert_eq!(service(0.89), "a");
    assert_eq!(service(0.91), "b");
    assert_eq!(service(1.0), "b");
}
