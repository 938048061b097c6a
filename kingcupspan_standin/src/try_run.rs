//! `try`: both sample deployments in one process, transcript and account.

use std::path;

use async_std::task;
use kingcupspan::command::operator;
use kingcupspan_core::usage::Account;

use crate::{
    caller::Caller,
    embedded::{self, Plan, StartError},
    sample,
};

/// Why the trial failed.
#[derive(Debug, thiserror::Error)]
pub enum TryError {
    /// A deployment did not start.
    #[error("cannot start: {0}")]
    Start(#[from] StartError),

    /// A sample program failed.
    #[error("the sample program failed: {0}")]
    Sample(#[from] crate::caller::Failure),
}

/// Runs both samples.
pub fn run(examples: &path::Path) -> Result<(), TryError> {
    task::block_on(async {
        for deployment in [sample::MAGNOLIA, sample::PLUMILLA] {
            for line in run_one(examples, &deployment).await? {
                println!("{line}");
            }
            println!();
        }
        Ok(())
    })
}

/// Runs one sample and returns its transcript and account.
pub async fn run_one(
    examples: &path::Path,
    deployment: &sample::Deployment,
) -> Result<Vec<String>, TryError> {
    let plan = Plan::of_example(&examples.join(deployment.name))?;
    let running = embedded::start(plan).await?;
    let caller = Caller::new(running.entries(), deployment.key);
    let mut lines = sample::run(&caller, deployment, "sample-action-1").await?;
    let mut account = Account::default();
    if let Some(daemon) = running.daemons.first() {
        let usage = kingcupspan::operators::account(daemon);
        account.merge(&usage);
    }
    lines.push("account".to_owned());
    lines.extend(operator::usage_table(&account).lines().map(str::to_owned));
    running.drain();
    Ok(lines)
}
