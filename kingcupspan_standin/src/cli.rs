//! The command line of the stand-ins.

use std::{net, path};

use bpaf::Bpaf;

/// Stand-ins for the platform and the endpoints, and drivers for tests and measurements.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// The platform's append-only log.
    #[bpaf(command)]
    Log {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// How long records are kept, in milliseconds.
        #[bpaf(argument("MS"), fallback(3_600_000))]
        retention_ms: u64,

        /// Appends per second.
        #[bpaf(argument("N"), fallback(500))]
        appends_per_s: u64,
    },

    /// The platform's list of VMs.
    #[bpaf(command)]
    Vms {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// How late changes are shown, in milliseconds.
        #[bpaf(argument("MS"), fallback(0))]
        lag_ms: u64,

        /// File with the list as JSON.
        #[bpaf(positional("FILE"))]
        list: path::PathBuf,
    },

    /// The weight store.
    #[bpaf(command)]
    Weights {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// Bytes per second.
        #[bpaf(argument("N"), fallback(1_000_000_000))]
        bytes_per_s: u64,
    },

    /// A model engine.
    #[bpaf(command)]
    Engine {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// Calls that it works on at a time.
        #[bpaf(argument("N"), fallback(8))]
        batch: usize,

        /// Time per decoded token, in microseconds.
        #[bpaf(argument("US"), fallback(2_000))]
        token_us: u64,

        /// How late load reports are, in milliseconds.
        #[bpaf(argument("MS"), fallback(200))]
        lag_ms: u64,

        /// Refuse calls and orders with an old fencing number.
        checks_fence: bool,

        /// End the process when a prompt holds this text.
        #[bpaf(argument("TEXT"))]
        crash_on: Option<String>,
    },

    /// A plain service.
    #[bpaf(command)]
    Service {
        /// Address to listen on.
        #[bpaf(argument("ADDR"))]
        listen: net::SocketAddr,

        /// Time per operation, in milliseconds.
        #[bpaf(argument("MS"), fallback(3))]
        time_ms: u64,

        /// Refuse calls with an old fencing number.
        checks_fence: bool,

        /// End the process when a body holds this text.
        #[bpaf(argument("TEXT"))]
        crash_on: Option<String>,
    },

    /// Runs both sample deployments in this process and prints transcript and account.
    #[bpaf(command("try"))]
    Try {
        /// Folder with the examples.
        #[bpaf(argument("DIR"), fallback("examples".into()))]
        examples: path::PathBuf,
    },

    /// Drives programs against a deployment in this process and reports.
    #[bpaf(command)]
    Load {
        /// File with the scenario.
        #[bpaf(argument("FILE"))]
        scenario: path::PathBuf,

        /// Print JSON instead of a table.
        json: bool,
    },

    /// Runs a scenario with each policy over several seeds, side by side.
    #[bpaf(command)]
    Compare {
        /// File with the scenario.
        #[bpaf(argument("FILE"))]
        scenario: path::PathBuf,

        /// Seeds for each policy.
        #[bpaf(argument("N"), fallback(5))]
        seeds: u64,

        /// Times the scenario's load.
        #[bpaf(argument("X"), fallback(1.0))]
        factor: f64,
    },

    /// Measures what the way through daemon and owner adds to a call.
    #[bpaf(command)]
    Overhead,

    /// Opens programs at an entry daemon and leaves them open.
    #[bpaf(command)]
    Open {
        /// The daemon's address for callers.
        #[bpaf(argument("ADDR"))]
        entry: net::SocketAddr,

        /// The caller's key.
        #[bpaf(argument("KEY"))]
        key: String,

        /// The workspace.
        #[bpaf(argument("WORKSPACE"))]
        workspace: String,

        /// How many.
        #[bpaf(argument("N"))]
        programs: usize,
    },
}
