//! Stand-ins and drivers of the review's scripts.
//!
//! `review_standins_2 CASE FOLDER` plays a case and writes FOLDER/record.txt; it exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment
//! the disruption is left out.

mod client;
mod deployment;
mod foreign_entry;
mod http;
mod long_program;
mod poison;
mod processes;
mod record;
mod restart;
mod runner;
mod same_input;
mod store;

use std::{env, process, sync::Arc};

use crate::{deployment::Deployment, record::Record, runner::Options};

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("runner") => runner::run(Options::from_args(&args[1..])),
        Some(case) if args.len() == 2 => play(case, &args[1]),
        _ => process::exit(2),
    }
}

fn play(case: &str, folder: &str) -> ! {
    processes::guard();
    let record = Arc::new(Record::create(&deployment::record_path(folder)));
    let has_trouble = env::var("TROUBLE").map_or(true, |v| v != "0");
    record.line(&format!(
        "case {case}, {}",
        if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let deployment = Deployment::new(record);
    match case {
        "long-program" => long_program::play(deployment, has_trouble),
        "same-input" => same_input::play(deployment, has_trouble),
        "restart" => restart::play(deployment, has_trouble),
        "poison" => poison::play(deployment, has_trouble),
        "foreign-entry" => foreign_entry::play(deployment, has_trouble),
        _ => process::exit(2),
    }
}
