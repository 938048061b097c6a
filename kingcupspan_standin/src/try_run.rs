//! The `try` command: runs both sample deployments in one process and prints
//! their transcripts and usage accounts.

use std::path;

use async_std::task;
use kingcupspan::command::operator;
use kingcupspan_core::usage::Account;

use crate::{
    caller::Caller,
    embedded::{self, DeploymentOptions, StartError},
    sample,
};

/// Error of the `try` command.
#[derive(Debug, thiserror::Error)]
pub enum TryError {
    /// A deployment could not be started.
    #[error("cannot start the sample deployment: {0}")]
    Start(#[from] StartError),

    /// A request of a sample program failed.
    #[error("the sample program failed: {0}")]
    Sample(#[from] crate::caller::Failure),
}

/// Runs both sample programs and prints their transcripts and usage accounts.
pub fn run(examples: &path::Path) -> Result<(), TryError> {
    task::block_on(async {
        for sample in [sample::MAGNOLIA, sample::PLUMILLA] {
            for line in run_one(examples, &sample).await? {
                println!("{line}");
            }
            println!();
        }
        Ok(())
    })
}

/// Runs one sample program and returns the lines of its transcript and usage account.
pub async fn run_one(
    examples: &path::Path,
    sample: &sample::SampleDeployment,
) -> Result<Vec<String>, TryError> {
    let options = DeploymentOptions::from_example(&examples.join(sample.name))?;
    let deployment = embedded::start(options).await?;
    let caller = Caller::new(deployment.entries(), sample.key);
    let mut lines = sample::run(&caller, sample, "sample-action-1").await?;
    let mut account = Account::default();
    if let Some(daemon) = deployment.daemons.first() {
        let usage = kingcupspan::operators::account(daemon);
        account.merge(&usage);
    }
    lines.push("account".to_owned());
    lines.extend(operator::usage_table(&account).lines().map(str::to_owned));
    deployment.drain();
    Ok(lines)
}
