//! Command-line options of the stand-ins and drivers.

use std::{net, path};

use bpaf::Bpaf;

/// Stand-ins for the platform and the endpoints, and drivers for tests and measurements.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Runs the platform's append-only log.
    #[bpaf(command)]
    Log {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// Retention period of records, in milliseconds.
        #[bpaf(argument("MS"), fallback(3_600_000))]
        retention_ms: u64,

        /// Largest number of appends accepted per second.
        #[bpaf(argument("N"), fallback(500))]
        appends_per_s: u64,
    },

    /// Runs the platform's list of VMs.
    #[bpaf(command)]
    Vms {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// Delay until changes of the list become visible, in milliseconds.
        #[bpaf(argument("MS"), fallback(0))]
        lag_ms: u64,

        /// JSON file that contains the list of VMs.
        #[bpaf(positional("FILE"))]
        list: path::PathBuf,
    },

    /// Runs the store of model weights.
    #[bpaf(command)]
    Weights {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// Transfer rate, in bytes per second.
        #[bpaf(argument("N"), fallback(1_000_000_000))]
        bytes_per_s: u64,
    },

    /// Runs a model engine.
    #[bpaf(command)]
    Engine {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// Number of calls that the engine processes concurrently.
        #[bpaf(argument("N"), fallback(8))]
        batch: usize,

        /// Decoding time per token, in microseconds.
        #[bpaf(argument("US"), fallback(2_000))]
        token_us: u64,

        /// Age of the reported load, in milliseconds.
        #[bpaf(argument("MS"), fallback(200))]
        lag_ms: u64,

        /// Reject calls and cache orders that carry an outdated fencing number.
        checks_fence: bool,

        /// Exit the process when a prompt contains this text.
        #[bpaf(argument("TEXT"))]
        crash_on: Option<String>,
    },

    /// Runs a plain service.
    #[bpaf(command)]
    Service {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// Processing time per operation, in milliseconds.
        #[bpaf(argument("MS"), fallback(3))]
        time_ms: u64,

        /// Reject calls that carry an outdated fencing number.
        checks_fence: bool,

        /// Exit the process when a request body contains this text.
        #[bpaf(argument("TEXT"))]
        crash_on: Option<String>,
    },

    /// Runs both sample deployments in this process and prints their transcripts and usage accounts.
    #[bpaf(command("try"))]
    Try {
        /// Directory that contains the example deployments.
        #[bpaf(argument("DIR"), fallback("examples".into()))]
        examples: path::PathBuf,
    },

    /// Runs a load scenario against a deployment in this process and prints a report.
    #[bpaf(command)]
    Load {
        /// JSON file that contains the scenario.
        #[bpaf(argument("FILE"))]
        scenario: path::PathBuf,

        /// Print JSON instead of a table.
        json: bool,
    },

    /// Runs a scenario with each scheduling policy over several seeds and prints a comparison.
    #[bpaf(command)]
    Compare {
        /// JSON file that contains the scenario.
        #[bpaf(argument("FILE"))]
        scenario: path::PathBuf,

        /// Number of seeds to run with each policy.
        #[bpaf(argument("N"), fallback(5))]
        seeds: u64,

        /// Factor by which the scenario's load is multiplied.
        #[bpaf(argument("X"), fallback(1.0))]
        factor: f64,
    },

    /// Measures the latency that routing a call through the daemons adds to it.
    #[bpaf(command)]
    Overhead,

    /// Opens programs at a daemon and leaves them open.
    #[bpaf(command)]
    Open {
        /// Address on which the daemon accepts callers.
        #[bpaf(argument("ADDR"))]
        entry: net::SocketAddr,

        /// Authentication key of the caller.
        #[bpaf(argument("KEY"))]
        key: String,

        /// Workspace in which the programs are opened.
        #[bpaf(argument("WORKSPACE"))]
        workspace: String,

        /// Number of programs to open.
        #[bpaf(argument("N"))]
        programs: usize,
    },
}
