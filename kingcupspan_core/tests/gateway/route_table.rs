//! The index of routes and the difference between two of them.

use std::{sync::Arc, time::Duration};

use kingcupspan_core::{
    gateway::{
        route_table::RouteTable,
        routing::{Configuration, Route, RouteKind},
    },
    id::Version,
};
use proptest::prelude::*;

fn route(host: &str, prefix: &str, priority: u32) -> Arc<Route> {
    Arc::new(Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority,
        backends: Vec::new(),
        max_attempts: 1,
        sticky: false,
        resumable: false,
        keeps_history: false,
        retention: None,
        is_public: false,
    })
}

/// Routes of few hosts and prefixes, so that tables share keys and differ in their routes.
fn routes() -> impl Strategy<Value = Vec<Arc<Route>>> {
    let host = prop::sample::select(vec!["x", "X", "y.example", "xy"]);
    let prefix = prop::sample::select(vec!["/", "/a/", "/a/b/", "/b/", "/ab/"]);
    let route = (host, prefix, 0_u32..3).prop_map(|(h, p, priority)| route(h, p, priority));
    prop::collection::vec(route, 0..12)
}

/// The route that a search through all routes finds; of several with one key the last counts.
fn search<'a>(routes: &'a [Arc<Route>], host: &str, path: &str) -> Option<&'a Arc<Route>> {
    routes
        .iter()
        .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.path_prefix))
        .max_by_key(|r| r.path_prefix.len())
}

proptest! {
    #[test]
    fn index_finds_what_a_search_finds(
        routes in routes(),
        host in prop::sample::select(vec!["x", "X", "Y.example", "xy", "z"]),
        path in "(/(a|b|ab)?){0,4}",
    ) {
        let table = RouteTable::from(routes.clone());
        prop_assert_eq!(table.find(host, &path), search(&routes, host, &path));
    }

    #[test]
    fn changes_turn_one_configuration_into_the_other(old in routes(), new in routes()) {
        let configuration = |version, routes: Vec<Arc<Route>>| Configuration {
            version: Version(version),
            routes: routes.into(),
            ..Configuration::default()
        };
        let (old, new) = (configuration(1, old), configuration(2, new));
        let changes = new.changes_since(&old);
        prop_assert_eq!(old.with(&changes), Some(new.clone()));
        prop_assert_eq!(new.with(&changes), None);
        let nothing = new.changes_since(&new);
        prop_assert!(nothing.routes.set.is_empty() && nothing.routes.removed.is_empty());
    }
}
