//! Entry point of the kingcupspan program.

use std::process;

use kingcupspan::{cli, command};

fn main() -> process::ExitCode {
    command::run(cli::options().run())
}
