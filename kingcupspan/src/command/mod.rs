//! Commands of the program.

pub mod check;
pub mod daemon;
pub mod explain;
pub mod gateway;
pub mod operator;
pub mod publish;

use std::process;

use crate::cli::Options;

/// Exit code of a command whose input is invalid.
pub const EXIT_FINDINGS: u8 = 1;

/// Exit code of a command that failed for another reason.
pub const EXIT_FAILED: u8 = 2;

/// Runs the command that the options select.
pub fn run(options: Options) -> process::ExitCode {
    let code = match options {
        Options::Daemon { settings } => daemon::run(&settings),
        Options::Gateway {
            settings,
            second_copies,
        } => gateway::run(settings, second_copies),
        Options::Check { files } => check::run(&files),
        Options::Publish {
            settings,
            base,
            config,
        } => publish::run(&settings, base, &config),
        Options::Dump { daemon, section } => operator::dump(daemon, section.as_deref()),
        Options::Explain {
            daemon,
            method,
            header,
            json,
            target,
        } => explain::run(daemon, &method, &header, json, &target),
        Options::Usage {
            daemon,
            caller,
            json,
        } => operator::usage(daemon, caller.as_ref(), json),
        Options::Drain { daemon } => operator::drain(daemon),
    };
    process::ExitCode::from(code)
}
