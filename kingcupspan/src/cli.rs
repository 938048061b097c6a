//! Command-line options.

use std::{net, path};

use bpaf::Bpaf;
use kingcupspan_core::{
    gateway::second_copy::CopyShare,
    id::{CallerId, Version},
};

/// A scheduler for agent programs in front of shared model engines and services.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Runs the scheduler daemon on an entry VM.
    #[bpaf(command)]
    Daemon {
        /// File with the settings.
        #[bpaf(argument("FILE"))]
        settings: path::PathBuf,
    },

    /// Runs the gateway on an entry VM of the users' platform.
    #[bpaf(command)]
    Gateway {
        /// File with the settings; by default named by an environment variable of the platform.
        #[bpaf(argument("FILE"))]
        settings: Option<path::PathBuf>,

        /// Largest number of second copies of requests that may be repeated and whose endpoint is
        /// slow to answer, as a share of these requests; by default 0, which sends none.
        #[bpaf(argument("SHARE"), fallback(CopyShare::default()))]
        second_copies: CopyShare,
    },

    /// Checks files with settings or configuration and prints every finding.
    #[bpaf(command)]
    Check {
        /// The files to check.
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<path::PathBuf>,
    },

    /// Publishes a configuration to the fleet.
    #[bpaf(command)]
    Publish {
        /// File with the settings of any daemon, which contain the address of the log.
        #[bpaf(argument("FILE"))]
        settings: path::PathBuf,

        /// The version that the configuration is based on; 0 for the first.
        #[bpaf(argument("VERSION"))]
        base: Version,

        /// File with the configuration.
        #[bpaf(positional("CONFIG"))]
        config: path::PathBuf,
    },

    /// Shows the state of a process as JSON.
    #[bpaf(command)]
    Dump {
        /// The operator address of the daemon.
        #[bpaf(argument("ADDR"))]
        daemon: net::SocketAddr,

        /// Show only this section.
        #[bpaf(positional("SECTION"))]
        section: Option<String>,
    },

    /// Shows where a gateway would send a request now, and why, without sending it.
    #[bpaf(command)]
    Explain {
        /// The operator address of the gateway.
        #[bpaf(argument("ADDR"))]
        daemon: net::SocketAddr,

        /// Method of the request, POST by default.
        #[bpaf(argument("METHOD"), fallback("POST".to_owned()))]
        method: String,

        /// A header of the request; may be repeated.
        #[bpaf(argument("NAME: VALUE"), many)]
        header: Vec<String>,

        /// Print JSON instead of lines.
        json: bool,

        /// Host and path of the request, for example shop.example/pay/1.
        #[bpaf(positional("HOST/PATH"))]
        target: String,
    },

    /// Shows the usage of each caller and workspace.
    #[bpaf(command)]
    Usage {
        /// The operator address of the daemon.
        #[bpaf(argument("ADDR"))]
        daemon: net::SocketAddr,

        /// Show only this caller.
        #[bpaf(argument("CALLER"))]
        caller: Option<CallerId>,

        /// Print JSON instead of a table.
        json: bool,
    },

    /// Asks a daemon for a graceful shutdown, which interrupts no request.
    #[bpaf(command)]
    Drain {
        /// The operator address of the daemon.
        #[bpaf(argument("ADDR"))]
        daemon: net::SocketAddr,
    },
}
