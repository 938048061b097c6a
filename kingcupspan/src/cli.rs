//! The command line.

use std::{net, path};

use bpaf::Bpaf;
use kingcupspan_core::id::{CallerId, Version};

/// A scheduler for agent programs in front of shared model and application runners.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Runs one process on an entry VM.
    #[bpaf(command)]
    Daemon {
        /// File with the settings.
        #[bpaf(argument("FILE"))]
        settings: path::PathBuf,
    },

    /// Runs one process on an entry VM of the users' platform.
    #[bpaf(command)]
    Gateway {
        /// File with the settings; the platform names it by a variable.
        #[bpaf(argument("FILE"))]
        settings: Option<path::PathBuf>,
    },

    /// Checks files with settings or configuration and prints every finding.
    #[bpaf(command)]
    Check {
        /// The files.
        #[bpaf(positional("FILE"), some("name at least one file"))]
        files: Vec<path::PathBuf>,
    },

    /// Publishes a configuration to the fleet.
    #[bpaf(command)]
    Publish {
        /// File with the settings of any daemon; they say where the log is.
        #[bpaf(argument("FILE"))]
        settings: path::PathBuf,

        /// The version that the configuration was made from; 0 for the first.
        #[bpaf(argument("VERSION"))]
        base: Version,

        /// File with the configuration.
        #[bpaf(positional("CONFIG"))]
        config: path::PathBuf,
    },

    /// Shows the state of a process as JSON.
    #[bpaf(command)]
    Dump {
        /// The daemon's address for operators.
        #[bpaf(argument("ADDR"))]
        daemon: net::SocketAddr,

        /// Only this section.
        #[bpaf(positional("SECTION"))]
        section: Option<String>,
    },

    /// Shows who used what.
    #[bpaf(command)]
    Usage {
        /// The daemon's address for operators.
        #[bpaf(argument("ADDR"))]
        daemon: net::SocketAddr,

        /// Only this caller.
        #[bpaf(argument("CALLER"))]
        caller: Option<CallerId>,

        /// Print JSON instead of a table.
        json: bool,
    },

    /// Asks a daemon for a planned stop, which cuts no request.
    #[bpaf(command)]
    Drain {
        /// The daemon's address for operators.
        #[bpaf(argument("ADDR"))]
        daemon: net::SocketAddr,
    },
}
