//! Command-line program that runs the stand-ins and the drivers.

use std::{fs, io, process, sync::Arc, time::Duration};

use async_std::task;
use kingcupspan_standin::{
    cli::{self, Options},
    compare, engine, http, load, log_service, overhead, service, try_run, vm_list, weights,
};

/// Exit code of a stand-in or driver that failed.
const EXIT_FAILED: u8 = 2;

fn main() -> process::ExitCode {
    let options = cli::options().run();
    match run(options) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            process::ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(options: Options) -> Result<(), Box<dyn std::error::Error>> {
    match options {
        Options::Try { examples } => Ok(try_run::run(&examples)?),
        Options::Load { scenario, json } => Ok(load::run(&scenario, json)?),
        Options::Compare {
            scenario,
            seeds,
            factor,
        } => Ok(compare::run(&scenario, seeds, factor)?),
        Options::Overhead => Ok(overhead::run()?),
        Options::Open {
            entry,
            key,
            workspace,
            programs,
        } => Ok(overhead::open_programs(entry, &key, &workspace, programs)?),
        stand_in => task::block_on(async {
            start_stand_in(stand_in).await?.wait().await;
            Ok(())
        }),
    }
}

async fn start_stand_in(options: Options) -> io::Result<http::RunningServer> {
    match options {
        Options::Log {
            listen,
            retention_ms,
            appends_per_s,
        } => {
            let log = log_service::Log::new(log_service::Options {
                retention: Duration::from_millis(retention_ms),
                appends_per_s,
            });
            log_service::start(listen, log).await
        }
        Options::Vms {
            listen,
            lag_ms,
            list,
        } => {
            let vms = serde_json::from_str(&fs::read_to_string(list)?)?;
            let list = vm_list::VmList::new(vms, Duration::from_millis(lag_ms));
            vm_list::start(listen, list).await
        }
        Options::Weights {
            listen,
            bytes_per_s,
        } => {
            let store = weights::WeightStore::new(bytes_per_s, bytes_per_s);
            weights::start(listen, store).await
        }
        Options::Engine {
            listen,
            batch,
            token_us,
            lag_ms,
            checks_fence,
            crash_on,
        } => {
            let engine = engine::Engine::new(engine::Options {
                batch,
                time_per_token: Duration::from_micros(token_us),
                report_lag: Duration::from_millis(lag_ms),
                checks_fence,
                crash_on,
                ..engine::Options::default()
            });
            engine::start(listen, engine).await
        }
        Options::Service {
            listen,
            time_ms,
            checks_fence,
            crash_on,
        } => {
            let service: Arc<service::Service> = service::Service::new(service::Options {
                operation_time: Duration::from_millis(time_ms),
                checks_fence,
                crash_on,
            });
            service::start(listen, service).await
        }
        Options::Try { .. }
        | Options::Load { .. }
        | Options::Compare { .. }
        | Options::Overhead
        | Options::Open { .. } => Err(io::ErrorKind::Unsupported.into()),
    }
}
