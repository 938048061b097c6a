//! Command `daemon`, which runs the scheduler daemon on an entry VM.

use std::{path, sync::Arc};

use async_std::task;
use futures_lite::StreamExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::{
    command::{EXIT_FAILED, check},
    daemon::{self, Daemon, Listeners},
    logging,
};

/// Runs a daemon until its graceful shutdown is complete; returns the exit code.
pub fn run(file: &path::Path) -> u8 {
    let settings = match check::read_settings(file) {
        Ok(settings) => settings,
        Err(e) => return check::report(file, &e),
    };
    if let Err(e) = logging::start(&settings.log_level, logging::Target::Stderr) {
        eprintln!("cannot start logging: {e}");
        return EXIT_FAILED;
    }
    task::block_on(async {
        let listeners = match Listeners::bind(&settings).await {
            Ok(listeners) => listeners,
            Err(e) => {
                eprintln!("cannot listen on the addresses of {}: {e}", file.display());
                return EXIT_FAILED;
            }
        };
        let daemon = Daemon::new(settings);
        if let Err(e) = stop_on_signal(&daemon) {
            eprintln!("cannot handle signals: {e}");
            return EXIT_FAILED;
        }
        daemon::run(daemon, listeners).await;
        0
    })
}

/// Starts a graceful shutdown on SIGTERM and SIGINT.
fn stop_on_signal(daemon: &Arc<Daemon>) -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let daemon = Arc::clone(daemon);
    task::spawn(async move {
        while signals.next().await.is_some() {
            daemon.drain.start();
        }
    });
    Ok(())
}
