//! Comparison of scheduling policies: runs one scenario with each policy over
//! several seeds.

use std::{fs, path};

use async_std::task;
use kingcupspan_core::{fair::Order, placement::Policy};

use crate::{
    embedded,
    load::{self, Report},
    scenario::Scenario,
};

/// Combination of a placement policy and a queue order that is compared.
struct Variant {
    /// Label of the combination in the printed table.
    name: &'static str,
    placement: Policy,
    order: Order,
}

/// Combinations to compare, in the order of the printed rows.
const VARIANTS: [Variant; 4] = [
    Variant {
        name: "cost + least attained",
        placement: Policy::Cost,
        order: Order::LeastAttained,
    },
    Variant {
        name: "round robin + fifo",
        placement: Policy::RoundRobin,
        order: Order::Fifo,
    },
    Variant {
        name: "least loaded + fifo",
        placement: Policy::LeastLoaded,
        order: Order::Fifo,
    },
    Variant {
        name: "sticky + fifo",
        placement: Policy::Sticky,
        order: Order::Fifo,
    },
];

/// Compared metrics of one run.
#[derive(Clone, Copy)]
struct RunSummary {
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    goodput_per_s: f64,

    /// Prompt tokens computed again per finished program.
    recomputed_per_program: f64,
}

/// Runs the scenario with all variants and prints one row for each.
///
/// `factor` multiplies the rate at which the scenario starts programs.
pub fn run(file: &path::Path, seeds: u64, factor: f64) -> Result<(), Box<dyn std::error::Error>> {
    let mut scenario: Scenario = serde_json::from_str(&fs::read_to_string(file)?)?;
    for caller in &mut scenario.callers {
        caller.programs_per_s *= factor;
    }
    println!(
        "{} at {factor} times its load, {seeds} seeds, median (range)",
        file.display()
    );
    println!(
        "policy                    p50 ms           p95 ms           p99 ms           in time/s        again/program    wrong"
    );
    for variant in &VARIANTS {
        println!(
            "{}",
            task::block_on(variant_row(&scenario, variant, seeds))?
        );
    }
    Ok(())
}

/// Runs the scenario with one variant and all seeds, and formats the variant's row.
async fn variant_row(
    scenario: &Scenario,
    variant: &Variant,
    seeds: u64,
) -> Result<String, embedded::StartError> {
    let mut summaries = Vec::new();
    let mut wrong_responses = 0;
    for seed in 1..=seeds {
        let scenario = Scenario {
            seed,
            placement: variant.placement,
            order: variant.order,
            ..scenario.clone()
        };
        let report = load::run_scenario(&scenario).await?;
        wrong_responses += report.callers.values().map(|s| s.wrong).sum::<u64>();
        summaries.push(summarize(&report));
    }
    let cells = [
        format_median(&summaries, |s| s.p50_ms),
        format_median(&summaries, |s| s.p95_ms),
        format_median(&summaries, |s| s.p99_ms),
        format_median(&summaries, |s| s.goodput_per_s),
        format_median(&summaries, |s| s.recomputed_per_program),
    ];
    let cells: Vec<String> = cells.iter().map(|c| format!("{c:<16}")).collect();
    Ok(format!(
        "{:<25} {} {wrong_responses}",
        variant.name,
        cells.join(" ")
    ))
}

/// Extracts the compared metrics from a report.
fn summarize(report: &Report) -> RunSummary {
    RunSummary {
        p50_ms: report.all.p50_ms as f64,
        p95_ms: report.all.p95_ms as f64,
        p99_ms: report.all.p99_ms as f64,
        goodput_per_s: report.goodput_per_s,
        recomputed_per_program: report.recomputed_per_program,
    }
}

/// Formats a metric as its median and range over all runs.
fn format_median(summaries: &[RunSummary], value: impl Fn(&RunSummary) -> f64) -> String {
    let mut values: Vec<f64> = summaries.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    let digits = usize::from(values[0] < 100.0);
    let median = values[values.len() / 2];
    let (min, max) = (values[0], values[values.len() - 1]);
    format!("{median:.digits$} ({min:.digits$}-{max:.digits$})")
}
