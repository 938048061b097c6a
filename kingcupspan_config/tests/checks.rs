//! Checks the findings that are reported for settings and configurations.

use kingcupspan_config::{configuration::Configuration, settings::Settings};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Returns the findings of an input that must be invalid.
fn findings<T: std::fmt::Debug>(
    result: Result<T, kingcupspan_config::finding::Findings>,
) -> String {
    result.expect_err("there are findings").to_string()
}

#[test]
fn bad_settings_report_every_finding() {
    let raw = json!({
        "vm": "entry one",
        "listen": {"callers": "127.0.0.1", "peers": "127.0.0.1:1"},
        "platform": {"log": 7, "vms": "127.0.0.1:2", "color": "red"},
        "slots": 0,
        "heartbeat_ms": 900,
        "log_level": "loud",
        "extra": true,
    });
    insta::assert_snapshot!(findings(Settings::try_from(&raw)));
}

#[test]
fn bad_configuration_reports_every_finding() {
    let digest = "00".repeat(32);
    let raw = json!({
        "defaults": {"attempts": 1000, "speed": 3},
        "exceptions": [
            {"caller": "nobody", "set": {"attempts": 2}, "reason": "because"},
            {"caller": "clerk", "set": {"pace": 1}},
        ],
        "callers": [
            {"caller": "clerk", "key_sha256": digest, "workspaces": ["a"], "weight": 0},
            {"caller": "clerk", "key_sha256": "beef", "workspaces": []},
        ],
        "services": [{"service": "ledger", "operations": [{"path": "x", "repeat": "often"}]}],
        "endpoints": [
            {"endpoint": "e", "vm": "v", "failure_domain": "d", "addr": "1.2.3.4:5",
             "service": "unknown"},
            {"endpoint": "e", "vm": "v", "failure_domain": "d", "addr": "1.2.3.4:5",
             "model": "m", "service": "ledger"},
        ],
    });
    insta::assert_snapshot!(findings(Configuration::try_from(&raw)));
}

#[test]
fn exceptions_apply_to_named_caller_and_workspace() {
    let raw = json!({
        "defaults": {"attempts": 3},
        "exceptions": [
            {"caller": "clerk", "set": {"attempts": 5}, "reason": "a customer is waiting"},
            {"caller": "clerk", "workspace": "w", "set": {"max_tokens": 9},
             "reason": "short answers are enough"},
        ],
        "callers": [
            {"caller": "clerk", "key_sha256": "11".repeat(32), "workspaces": ["w"]},
        ],
    });
    let configuration = Configuration::try_from(&raw).unwrap();
    let clerk = "clerk".parse().unwrap();
    let workspace = "w".parse().unwrap();
    let caller_limits = configuration.limits(&clerk, None);
    let workspace_limits = configuration.limits(&clerk, Some(&workspace));
    let other_limits = configuration.limits(&"hotel".parse().unwrap(), None);
    assert_eq!(
        (
            caller_limits.attempts,
            workspace_limits.attempts,
            other_limits.attempts
        ),
        (5, 5, 3)
    );
    assert_eq!(
        (caller_limits.max_tokens, workspace_limits.max_tokens),
        (512, 9)
    );
}

/// Generates nested JSON values in which the names of known fields are frequent.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[a-z~/]{0,6}".prop_map(Value::from),
    ];
    let fields = "(vm|listen|platform|callers|endpoints|defaults|exceptions|caller|reason|set|x)";
    leaf.prop_recursive(4, 40, 5, move |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            proptest::collection::btree_map(fields, inner, 0..5)
                .prop_map(|m| Value::Object(m.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None,
                                        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
                                        ..ProptestConfig::default() })]

    /// Any JSON input must give either a value or findings with JSON pointers, never a panic.
    #[test]
    fn checks_never_panic(raw in any_json()) {
        if let Err(found) = Settings::try_from(&raw) {
            prop_assert!(!found.0.is_empty());
            prop_assert!(found.0.iter().all(|f| f.pointer.starts_with('/')));
        }
        if let Err(found) = Configuration::try_from(&raw) {
            prop_assert!(found.0.iter().all(|f| f.pointer.starts_with('/')));
        }
    }
}
