//! Tests of the stand-ins' command line.

use std::{
    path,
    process::{Command, Output},
    time::{Duration, Instant},
};

/// Longest time that `try` may take, not counting the build.
const TRY_TIMEOUT: Duration = Duration::from_secs(20);

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kingcupspan_standin"))
        .args(args)
        .output()
        .expect("cannot run kingcupspan_standin")
}

#[test]
fn every_command_has_help() {
    let commands = [
        "log", "vms", "weights", "engine", "service", "try", "load", "compare", "overhead", "open",
    ];
    for command in commands {
        let output = run(&[command, "--help"]);
        let help = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{command}: {output:?}");
        assert!(help.contains("Usage:"), "{command}: {help}");
    }
}

#[test]
fn try_runs_both_deployments_and_prints_their_accounts() {
    let examples = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let started_at = Instant::now();
    let output = run(&[
        "try",
        "--examples",
        examples
            .to_str()
            .expect("path to the examples is not valid UTF-8"),
    ]);
    let elapsed = started_at.elapsed();
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    for expected in [
        "deployment magnolia",
        "deployment plumilla",
        "repeated with the same answer: true",
        "shop-clerks/estimates",
        "franchisees/fitting",
    ] {
        assert!(
            stdout.contains(expected),
            "{expected} is missing from the output: {stdout}"
        );
    }
    assert!(elapsed < TRY_TIMEOUT, "try took {elapsed:?}");
}
