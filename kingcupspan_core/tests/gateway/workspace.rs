//! Workspaces: identifiers that never meet, keys, and the difference between two configurations.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kingcupspan_core::{
    digest::Digest,
    gateway::{
        call::{CallInfo, ProgramInfo, RequestId},
        crash_tracker::Fingerprint,
        rate_limit::RequestRate,
        route_table::{RouteChanges, RouteTable},
        routing::{Configuration, Limits, Route, RouteKind, Service, ServiceName},
        workspace::{self, Quota, Workspace, WorkspaceName, Workspaces},
    },
    id::Version,
};
use proptest::prelude::*;
use serde::Serialize;

/// Workspace with the given keys.
fn workspace(name: &str, keys: &[&str], priority: Option<u32>) -> Arc<Workspace> {
    let keys = keys.iter().map(|key| Digest::of(key.as_bytes()));
    let rate = RequestRate::try_from(12.5).expect("the rate is valid");
    Arc::new(Workspace {
        name: name.into(),
        keys: keys.collect(),
        priority,
        quota: Some(Quota { rate, burst: 3.0 }),
    })
}

/// Few names and keys, so that two configurations share workspaces and differ in them.
fn workspaces() -> impl Strategy<Value = Vec<Arc<Workspace>>> {
    let name = prop::sample::select(vec!["north", "south", "east", "west"]);
    let keys = prop::collection::vec(prop::sample::select(vec!["k1", "k2", "k3"]), 0..3);
    let priority = prop::option::of(0_u32..3);
    let workspace = (name, keys, priority).prop_map(|(n, k, p)| workspace(n, &k, p));
    prop::collection::vec(workspace, 0..6)
}

/// Configuration with these workspaces.
fn configuration(version: u64, workspaces: Option<Vec<Arc<Workspace>>>) -> Configuration {
    let service = Service {
        name: "llm".into(),
        max_connections: 4,
        engine: None,
    };
    let route = Route {
        name: "a".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 1,
        backends: Vec::new(),
        max_attempts: 1,
        sticky: false,
        resumable: false,
        keeps_history: false,
        retention: None,
        is_public: false,
    };
    Configuration {
        version: Version(version),
        routes: vec![Arc::new(route)].into(),
        services: [(service.name.clone(), service)].into(),
        limits: Limits::default(),
        workspaces: workspaces.map(|w| Arc::new(w.into())),
    }
}

/// Information of a turn of a program.
fn turn(program: &str, previous: &str, affinity: &str) -> CallInfo {
    CallInfo {
        id: Some("r1".into()),
        affinity: Some(affinity.to_owned()),
        program: Some(ProgramInfo {
            program: program.into(),
            session: "s".to_owned(),
            finish_in: None,
            budget: Some(5),
            previous: Some(previous.into()),
        }),
        ..CallInfo::default()
    }
}

proptest! {
    // Guards against callers that choose an identifier which another workspace's becomes.
    #[test]
    fn identifiers_of_two_workspaces_never_meet(
        names in prop::sample::subsequence(vec!["a", "a/b", "ab", "b"], 2),
        ids in ("[ab/]{0,4}", "[ab/]{0,4}"),
    ) {
        let [one, other] = [names[0], names[1]].map(WorkspaceName::from);
        let (a, b) = (one.qualify(&ids.0), other.qualify(&ids.1));
        prop_assert_ne!(&a, &b);
        prop_assert_ne!(&*a, &*ids.1);
        let [a, b] = [(&one, &ids.0), (&other, &ids.1)].map(|(name, id)| {
            let info = turn(id, id, id).within(Some(name));
            let program = info.program.clone().expect("the turn has a program");
            (program.program, program.previous, info.affinity)
        });
        prop_assert!(a.0 != b.0 && a.1 != b.1 && a.2 != b.2);
    }

    #[test]
    fn changes_turn_one_set_of_workspaces_into_the_other(old in workspaces(), new in workspaces()) {
        let (old, new) = (Workspaces::from(old), Workspaces::from(new));
        let changes = new.changes_since(&old);
        let changed = old.with(&changes);
        prop_assert_eq!(&changed, &new);
        for key in ["k1", "k2", "k3"] {
            prop_assert_eq!(changed.find(key.as_bytes()), new.find(key.as_bytes()));
        }
    }

    // Guards against updates between daemons that lose workspaces, or the fact that there are none.
    #[test]
    fn configurations_change_with_their_workspaces(
        old in prop::option::of(workspaces()),
        new in prop::option::of(workspaces()),
    ) {
        let (old, new) = (configuration(1, old), configuration(2, new));
        let encoded = rmp_serde::to_vec(&new.changes_since(&old)).expect("changes encode");
        let changes = rmp_serde::from_slice(&encoded).expect("changes decode");
        prop_assert_eq!(old.with(&changes), Some(new));
    }
}

// Guards against updates that grow with the number of workspaces rather than of changes.
#[test]
fn unchanged_workspaces_are_not_sent() {
    let names: Vec<String> = (0..1_000).map(|n| format!("w{n}")).collect();
    let all = names.iter().map(|n| workspace(n, &[n], None));
    let old = configuration(1, Some(all.clone().collect()));
    let added = workspace("new", &["k"], None);
    let new = configuration(2, Some(all.skip(1).chain([added]).collect()));
    let changes = new.changes_since(&old).workspaces.expect("there are some");
    assert_eq!((changes.set.len(), changes.removed.len()), (1, 1));
}

// Guards against keys that are sent to other daemons.
#[test]
fn changes_hold_no_keys() {
    let new = configuration(2, Some(vec![workspace("north", &["secret-key"], None)]));
    let changes = new.changes_since(&Configuration::default());
    let encoded = rmp_serde::to_vec(&changes).expect("changes encode");
    let text = String::from_utf8_lossy(&encoded);
    assert!(!text.contains("secret-key") && text.contains("north"));
}

/// A configuration as versions without workspaces encode it.
#[derive(Serialize)]
struct FormerConfiguration(Version, RouteTable, BTreeMap<ServiceName, Service>, Limits);

/// Changes as versions without workspaces encode them.
#[derive(Serialize)]
struct FormerChanges(
    Version,
    Version,
    RouteChanges,
    BTreeMap<ServiceName, Service>,
    Limits,
);

// Guards against updates that daemons of a former version cannot decode, and against digests that
// differ from theirs, where there are no workspaces.
#[test]
fn without_workspaces_configurations_are_encoded_as_before() {
    let new = configuration(2, None);
    let changes = new.changes_since(&Configuration::default());
    let former = FormerConfiguration(
        new.version,
        new.routes.clone(),
        new.services.clone(),
        new.limits,
    );
    let former_changes = FormerChanges(
        changes.base,
        changes.version,
        changes.routes.clone(),
        changes.services.clone(),
        changes.limits,
    );
    let encode = |value: Result<Vec<u8>, rmp_serde::encode::Error>| value.expect("it encodes");
    assert_eq!(
        encode(rmp_serde::to_vec(&new)),
        encode(rmp_serde::to_vec(&former))
    );
    let encoded = encode(rmp_serde::to_vec(&former_changes));
    assert_eq!(encode(rmp_serde::to_vec(&changes)), encoded);
    assert_eq!(rmp_serde::from_slice(&encoded).ok(), Some(changes));
    insta::assert_snapshot!(
        hex::encode(&encoded),
        @"95000292919da161a168a32f612fa4736166659201009200ce05f5e100019001c2c2c2c09081a36c6c6d93a36c6c6d04c094cd4000ce00400000920300920f00"
    );
}

// Guards against daemons that take a configuration from one of a former version, which drops the
// workspaces, and then serve everybody.
#[test]
fn changes_of_a_former_version_would_drop_the_workspaces() {
    let some = || Some(vec![workspace("north", &["k"], None)]);
    let (none, old, new) = (
        configuration(1, None),
        configuration(1, some()),
        configuration(2, some()),
    );
    let former = configuration(2, None).changes_since(&none);
    assert!(former.drop_workspaces_of(&old));
    assert!(!former.drop_workspaces_of(&none));
    assert!(!new.changes_since(&old).drop_workspaces_of(&old));
    assert!(!new.changes_since(&none).drop_workspaces_of(&none));
}

// Guards against keys of programs, turns and crashes that change for deployments without
// workspaces.
#[test]
fn without_workspace_identifiers_stay() {
    let info = turn("p", "t", "a");
    assert_eq!(info.clone().within(None), info);
    assert_eq!(RequestId::from("t").within(None), "t".into());
    let fingerprint = Fingerprint::of("GET", "/a", b"");
    assert_eq!(fingerprint.within(None), fingerprint);
    assert_eq!(workspace::readable("t"), "t");
}

// Guards against a request of one workspace that blocks the same request of another.
#[test]
fn crashes_of_two_workspaces_are_told_apart() {
    let plain = Fingerprint::of("GET", "/a", b"");
    let [north, south] =
        ["north", "south"].map(|name| plain.within(Some(&WorkspaceName::from(name))));
    assert!(north != south && north != plain && south != plain);
}

#[test]
fn qualified_identifiers_are_readable_in_logs() {
    let id = WorkspaceName::from("north").qualify("t1");
    assert_eq!(workspace::readable(&id), "north/t1");
}

// Guards against urgent requests of most workspaces that are refused like those that can wait, since
// the priority of the workspace replaces the rank of the route.
#[test]
fn ranks_follow_the_workspace_and_then_the_route() {
    assert_eq!(workspace::rank(None, 2), 2);
    assert_eq!(workspace::rank(Some(0), 2), 0);
    assert_eq!(workspace::rank(Some(1), 0), 0);
    assert_eq!(workspace::rank(Some(1), 2), 2);
    assert!(workspace::rank(Some(2), 0) > workspace::rank(Some(1), 0));
    assert!(workspace::rank(Some(u32::MAX), u32::MAX) > 0);
}
