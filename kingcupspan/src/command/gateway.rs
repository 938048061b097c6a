//! Command `gateway`, which runs the gateway on an entry VM of the users' platform.

use std::path;

use async_std::task;
use futures_lite::StreamExt;
use kingcupspan_core::gateway::second_copy::CopyShare;
use kingcupspan_platform::settings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::{
    command::EXIT_FAILED,
    gateway::run::{self, Listeners},
    logging,
};

/// Log level of the gateway.
const LOG_LEVEL: &str = "info";

/// Runs a gateway until its graceful shutdown is complete; returns the exit code.
///
/// Second copies are sent of up to `copy_share` of the requests that may be repeated.
pub fn run(file: Option<path::PathBuf>, copy_share: CopyShare) -> u8 {
    // A signal that arrives before the handlers are installed terminates the process.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]);
    if let Err(e) = logging::start(LOG_LEVEL, logging::Target::Stdout) {
        eprintln!("cannot start logging: {e}");
        return EXIT_FAILED;
    }
    match signals {
        Ok(signals) => task::block_on(serve(file, copy_share, signals)),
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "cannot handle signals");
            EXIT_FAILED
        }
    }
}

/// Serves requests until a signal requests a graceful shutdown.
async fn serve(file: Option<path::PathBuf>, copy_share: CopyShare, mut signals: Signals) -> u8 {
    let settings = match settings::read(file) {
        Ok(settings) => settings,
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "cannot read the settings");
            return EXIT_FAILED;
        }
    };
    let listeners = match Listeners::bind(&settings).await {
        Ok(listeners) => listeners,
        Err(e) => {
            log::error!(error = e.to_string().as_str(); "cannot open the listeners");
            return EXIT_FAILED;
        }
    };
    let (tx, rx) = async_channel::bounded(1);
    task::spawn(async move {
        while let Some(signal) = signals.next().await {
            match signal {
                SIGHUP => log::info!("received SIGHUP: the settings may have changed"),
                // The channel is full if the shutdown has already been requested.
                _ => drop(tx.try_send(())),
            }
        }
    });
    let service = run::assemble(&settings, rand::random(), copy_share);
    run::run(service, listeners, rx, settings.grace).await;
    0
}
