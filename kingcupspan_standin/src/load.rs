//! Load driver: starts programs in an open loop and reports program latency
//! and goodput.

use std::{
    collections::BTreeMap,
    fs, path,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use hdrhistogram::Histogram;
use kingcupspan::{edge::problem::Kind, operators};
use kingcupspan_core::{digest::Digest, usage::Account};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    caller::{Caller, Chat, Failure},
    embedded::{self, Deployment, DeploymentOptions},
    engine, log_service,
    scenario::{CallerLoad, Scenario},
    service,
};

/// Pause after a refusal that specifies no retry time.
const DEFAULT_REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Largest number of refusals of one call before its program is given up.
const MAX_REFUSALS: u32 = 20;

/// Largest number of turns of a program.
const MAX_TURNS: u32 = 470;

/// Results of one caller's programs.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CallerStats {
    /// Number of programs started.
    pub started: u64,

    /// Number of programs that received all their responses.
    pub finished: u64,

    /// Number of programs that finished within the scenario's time limit.
    pub in_time: u64,

    /// Number of programs given up after too many refusals.
    pub given_up: u64,

    /// Number of requests refused because the caller exceeded its share.
    pub refused: u64,

    /// Numbers of other failures, by name of the failure.
    pub failures: BTreeMap<String, u64>,

    /// Number of programs that ended because a response was incomplete or unexpected.
    pub wrong: u64,

    /// Median program latency, in milliseconds.
    pub p50_ms: u64,

    /// 95th percentile of program latency, in milliseconds.
    pub p95_ms: u64,

    /// 99th percentile of program latency, in milliseconds.
    pub p99_ms: u64,
}

/// Latency of the finished programs of all callers.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Latency {
    /// Median program latency, in milliseconds.
    pub p50_ms: u64,

    /// 95th percentile of program latency, in milliseconds.
    pub p95_ms: u64,

    /// 99th percentile of program latency, in milliseconds.
    pub p99_ms: u64,
}

/// Results of one run of a scenario.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Program latency over all callers.
    pub all: Latency,

    /// Results by name of the caller.
    pub callers: BTreeMap<String, CallerStats>,

    /// Programs finished within the time limit, per second of the period in which
    /// programs are started.
    pub goodput_per_s: f64,

    /// Statistics of all engines, added up.
    pub engines: engine::Stats,

    /// Prompt tokens computed again per finished program, taken from the usage account.
    pub recomputed_per_program: f64,

    /// Usage account by caller and workspace.
    pub account: Account,

    /// Number of appends to the platform's log per second.
    pub appends_per_s: f64,
}

/// Results and latency histogram of one caller while the scenario runs.
struct CallerTally {
    stats: CallerStats,

    /// Latencies of finished programs, in milliseconds.
    latency: Histogram<u64>,
}

/// Tallies by name of the caller, shared by all tasks.
type CallerTallies = Arc<parking_lot::Mutex<BTreeMap<String, CallerTally>>>;

/// Runs a scenario from a file and prints the report.
pub fn run(file: &path::Path, as_json: bool) -> Result<(), Box<dyn std::error::Error>> {
    let scenario: Scenario = serde_json::from_str(&fs::read_to_string(file)?)?;
    let report = task::block_on(run_scenario(&scenario))?;
    match as_json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{}", format_table(&report)),
    }
    Ok(())
}

/// Starts the scenario's deployment, runs the load and returns the report.
pub async fn run_scenario(scenario: &Scenario) -> Result<Report, embedded::StartError> {
    let deployment = embedded::start(deployment_options(scenario)).await?;
    for daemon in &deployment.daemons {
        daemon.endpoints.set_policy(scenario.placement);
        daemon.grants.set_order(scenario.order);
    }
    let tallies: CallerTallies = Arc::default();
    let started_at = Instant::now();
    let appends_before = deployment.log.appends();
    let mut tasks = Vec::new();
    for (index, load) in scenario.callers.iter().enumerate() {
        tallies
            .lock()
            .insert(load.caller.clone(), CallerTally::new());
        let caller = Caller::new(deployment.entries(), &caller_key(&load.caller));
        let caller_task = start_programs(
            scenario.clone(),
            load.clone(),
            caller,
            index as u64,
            Arc::clone(&tallies),
        );
        tasks.push(task::spawn(caller_task));
    }
    for task in tasks {
        task.await;
    }
    let appends = deployment.log.appends() - appends_before;
    let appends_per_s = appends as f64 / started_at.elapsed().as_secs_f64();
    let report = build_report(scenario, &deployment, &tallies, appends_per_s);
    deployment.drain();
    Ok(report)
}

/// Returns the authentication key of a caller.
fn caller_key(caller: &str) -> String {
    format!("load-key-{caller}")
}

/// Builds the options of the deployment that a scenario describes.
fn deployment_options(scenario: &Scenario) -> DeploymentOptions {
    let domains = ["a", "b", "c"];
    let callers: Vec<Value> = scenario
        .callers
        .iter()
        .map(|c| {
            json!({
                "caller": c.caller,
                "key_sha256": Digest::of(caller_key(&c.caller).as_bytes()).to_string(),
                "weight": c.weight,
                "workspaces": ["load"]
            })
        })
        .collect();
    let exceptions: Vec<Value> = scenario
        .callers
        .iter()
        .map(|c| {
            json!({
                "caller": c.caller,
                "set": {"waiting_calls": c.waiting_calls},
                "reason": "as the scenario says"
            })
        })
        .collect();
    let endpoints: Vec<Value> = (0..scenario.engines)
        .map(|n| {
            json!({
                "endpoint": format!("engine-{n}"),
                "vm": format!("engine-vm-{n}"),
                "failure_domain": domains[n % 3],
                "addr": "127.0.0.1:1",
                "model": "model",
                "slots": scenario.batch,
                "cache_tokens": scenario.cache_tokens
            })
        })
        .collect();
    DeploymentOptions {
        configuration: json!({
            "defaults": {},
            "exceptions": exceptions,
            "callers": callers,
            "endpoints": endpoints
        }),
        daemon_domains: (0..scenario.daemons)
            .map(|n| domains[n % 3].to_owned())
            .collect(),
        engine: engine::Options {
            time_per_token: Duration::from_micros(scenario.token_us),
            time_per_prompt_token: Duration::from_micros(scenario.prompt_token_us),
            cache_tokens: scenario.cache_tokens,
            ..engine::Options::default()
        },
        service: service::Options::default(),
        log: log_service::Options::default(),
        settings: json!({}),
    }
}

/// Starts a caller's programs as a Poisson process and waits until they finish or
/// the grace period is over.
async fn start_programs(
    scenario: Scenario,
    load: CallerLoad,
    caller: Caller,
    index: u64,
    tallies: CallerTallies,
) {
    let mut rng = StdRng::seed_from_u64(scenario.seed.wrapping_add(index * 1_000_003));
    let started_at = Instant::now();
    let mut next_start_s = 0.0;
    let mut programs = Vec::new();
    loop {
        next_start_s += -(1.0 - rng.random::<f64>()).ln() / load.programs_per_s;
        if next_start_s >= scenario.seconds {
            break;
        }
        let start_delay = Duration::from_secs_f64(next_start_s);
        task::sleep(start_delay.saturating_sub(started_at.elapsed())).await;
        let seed = rng.random();
        programs.push(task::spawn(run_program(
            scenario.clone(),
            load.clone(),
            caller.clone(),
            seed,
            Arc::clone(&tallies),
        )));
    }
    let deadline = Duration::from_secs_f64(scenario.seconds + scenario.grace_s);
    let all_programs = async {
        for program in programs {
            program.await;
        }
    };
    let remaining = deadline.saturating_sub(started_at.elapsed());
    // Programs that are still running at the deadline do not count as finished.
    let _ = async_std::future::timeout(remaining, all_programs).await;
}

/// Runs one program and adds its result to the caller's tally.
async fn run_program(
    scenario: Scenario,
    load: CallerLoad,
    caller: Caller,
    seed: u64,
    tallies: CallerTallies,
) {
    let started_at = Instant::now();
    update_tally(&tallies, &load, |t| t.stats.started += 1);
    let result = run_turns(&load, &caller, seed, &tallies).await;
    let elapsed = started_at.elapsed();
    update_tally(&tallies, &load, |t| match result {
        Ok(()) => {
            t.stats.finished += 1;
            t.stats.in_time += u64::from(elapsed.as_secs_f64() <= scenario.in_time_s);
            // Cannot fail: the histogram resizes itself to fit any value.
            let _ = t.latency.record(elapsed.as_millis() as u64);
        }
        Err(Failure::UnexpectedResponse(_)) => t.stats.wrong += 1,
        Err(f) if f.kind() == Some(Kind::OverShare) => t.stats.given_up += 1,
        Err(f) => *t.stats.failures.entry(failure_name(&f)).or_default() += 1,
    });
}

/// Returns the name under which a failure is counted.
fn failure_name(failure: &Failure) -> String {
    match failure {
        Failure::Problem(p) => p.kind.to_string(),
        Failure::Send(_) => "connection".to_owned(),
        Failure::UnexpectedResponse(_) => "wrong".to_owned(),
    }
}

/// Opens a program, runs its turns with random pauses and closes it.
async fn run_turns(
    load: &CallerLoad,
    caller: &Caller,
    seed: u64,
    tallies: &CallerTallies,
) -> Result<(), Failure> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut program = caller.open("load", None, None).await?;
    let mut turn = 0;
    loop {
        let words: Vec<String> = (0..load.prompt_words)
            .map(|_| format!("{:04x}", rng.random::<u16>()))
            .collect();
        let text = format!("decode={} {}", load.decode_tokens, words.join(" "));
        let chat = Chat {
            model: "model",
            text: &text,
            max_tokens: load.decode_tokens,
            stream: true,
        };
        let mut refusals = 0;
        loop {
            match caller.chat(&mut program, &chat).await {
                Ok(_) => break,
                Err(f) => {
                    refusals += 1;
                    wait_or_give_up(f, refusals, load, tallies).await?;
                }
            }
        }
        turn += 1;
        if turn >= MAX_TURNS || rng.random::<f64>() < 1.0 / load.turns {
            break;
        }
        let pause_ms = -(1.0 - rng.random::<f64>()).ln() * load.pause_ms;
        task::sleep(Duration::from_secs_f64(pause_ms / 1_000.0)).await;
    }
    caller.close(&program).await
}

/// Waits after a refusal over the caller's share, so that the call can be retried.
///
/// Returns any other failure, and the refusal itself once there were more than
/// [`MAX_REFUSALS`]; both end the program.
async fn wait_or_give_up(
    failure: Failure,
    refusals: u32,
    load: &CallerLoad,
    tallies: &CallerTallies,
) -> Result<(), Failure> {
    let Failure::Problem(problem) = &failure else {
        return Err(failure);
    };
    if problem.kind != Kind::OverShare || refusals > MAX_REFUSALS {
        return Err(failure);
    }
    update_tally(tallies, load, |t| t.stats.refused += 1);
    let pause = problem.retry_after.map(Duration::from_secs);
    task::sleep(pause.unwrap_or(DEFAULT_REFUSAL_PAUSE)).await;
    Ok(())
}

impl CallerTally {
    fn new() -> Self {
        Self {
            stats: CallerStats::default(),
            latency: Histogram::new(3).expect("three significant digits are valid"),
        }
    }
}

/// Applies an update to the tally of a caller.
fn update_tally(tallies: &CallerTallies, load: &CallerLoad, f: impl FnOnce(&mut CallerTally)) {
    if let Some(tally) = tallies.lock().get_mut(&load.caller) {
        f(tally);
    }
}

/// Builds the report from the tallies and the deployment's counters.
fn build_report(
    scenario: &Scenario,
    deployment: &Deployment,
    tallies: &CallerTallies,
    appends_per_s: f64,
) -> Report {
    let mut callers = BTreeMap::new();
    let mut all_latencies = CallerTally::new().latency;
    for (name, tally) in tallies.lock().iter() {
        // Cannot fail: all histograms have the same bounds.
        let _ = all_latencies.add(&tally.latency);
        let mut stats = tally.stats.clone();
        stats.p50_ms = tally.latency.value_at_quantile(0.5);
        stats.p95_ms = tally.latency.value_at_quantile(0.95);
        stats.p99_ms = tally.latency.value_at_quantile(0.99);
        callers.insert(name.clone(), stats);
    }
    let account = deployment.daemons.first().map(|d| operators::account(d));
    let account = account.unwrap_or_default();
    let recomputed: u64 = account.0.values().map(|c| c.recomputed_tokens).sum();
    let finished: u64 = callers.values().map(|s: &CallerStats| s.finished).sum();
    let in_time: u64 = callers.values().map(|s| s.in_time).sum();
    Report {
        all: Latency {
            p50_ms: all_latencies.value_at_quantile(0.5),
            p95_ms: all_latencies.value_at_quantile(0.95),
            p99_ms: all_latencies.value_at_quantile(0.99),
        },
        goodput_per_s: in_time as f64 / scenario.seconds,
        recomputed_per_program: recomputed as f64 / finished.max(1) as f64,
        engines: deployment.total_engine_stats(),
        account,
        appends_per_s,
        callers,
    }
}

/// Formats a report as a plain-text table.
fn format_table(report: &Report) -> String {
    let mut table = String::new();
    table.push_str("caller            started finished in_time refused given_up wrong  p50_ms  p95_ms  p99_ms\n");
    for (name, s) in &report.callers {
        table.push_str(&format!(
            "{name:<18}{:>7}{:>9}{:>8}{:>8}{:>9}{:>6}{:>8}{:>8}{:>8}\n",
            s.started,
            s.finished,
            s.in_time,
            s.refused,
            s.given_up,
            s.wrong,
            s.p50_ms,
            s.p95_ms,
            s.p99_ms
        ));
        for (failure, count) in &s.failures {
            table.push_str(&format!("  failed {count} times: {failure}\n"));
        }
    }
    table.push_str(&format!(
        "goodput {:.2} programs/s, computed again {:.0} tokens/program, {:.1} appends/s\n",
        report.goodput_per_s, report.recomputed_per_program, report.appends_per_s
    ));
    table
}
