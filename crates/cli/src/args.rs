//! The command line's arguments. The comments on them are the help text that operators read.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

#[derive(Parser)]
#[command(
    name = "glendeck",
    version,
    about = "Watches and steers a fleet of glendeck nodes",
    after_help = "Examples:\n  glendeck demo\n  glendeck fleet status --door 127.0.0.1:9901\n  glendeck drain n3 --door 127.0.0.1:9901\n  \
                  glendeck release start deploy/release.toml --door 127.0.0.1:9901\n  glendeck release status --watch"
)]
pub(crate) struct Cli {
    #[command(flatten)]
    pub target: Target,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Args)]
pub(crate) struct Target {
    /// A node's operators' door; any node will do. Several may be given: the first that answers is asked.
    #[arg(
        long = "door",
        value_name = "DOOR",
        env = "GLENDECK_DOOR",
        value_delimiter = ',',
        default_value = "127.0.0.1:9901",
        global = true
    )]
    pub addresses: Vec<SocketAddr>,
    /// Says what came back as one JSON object.
    #[arg(long, global = true)]
    pub json: bool,
    /// Names this order: given again with the same name, it is the same order.
    #[arg(long, global = true)]
    pub id: Option<String>,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Who is of the fleet, and how each stands
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Takes a node or a host out, if the limits allow it: its clients go, it stays
    Drain {
        node: String,
        /// Beyond the limits, with this reason; one node at a time
        #[arg(long, value_name = "REASON")]
        beyond_limits: Option<String>,
    },
    /// Takes a drained node or host back
    Activate { node: String },
    /// Changes all nodes in waves
    #[command(subcommand)]
    Release(ReleaseCommand),
    /// Checks a configuration file: a fleet's or a release's
    Check {
        file: PathBuf,
        /// The fleet that a release's file is for
        #[arg(long)]
        fleet: Option<PathBuf>,
    },
    /// Starts three nodes with stand-in hosts, list, front and clients on loopback, and releases them
    Demo {
        /// Seconds that it goes on afterwards, to be tried by hand
        #[arg(long, default_value_t = 0)]
        stay: u64,
        /// The node's program
        #[arg(long)]
        program: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
pub(crate) enum FleetCommand {
    /// Leader, voters, who is out and why, and the release
    Status,
    /// Every unit, one a line
    Members,
    /// Every host that is out, and who still holds connections there
    Hosts,
    /// Vouches that no process of this lost node runs any more: hosts are said to be empty without its word
    Dead { node: String },
    /// What each node keeps for others, and others for it; asks all doors that are named
    Work,
    /// Where a call went, from nodes' logs at level `debug`: by its id, or by what it concerns
    Trace {
        id: String,
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// One voter gives its place to another node for good
    Replace { old: String, new: String },
    /// Vouches for the disk of the node at this door, whoever of the other voters is gone
    Trust,
}

#[derive(Subcommand)]
pub(crate) enum ReleaseCommand {
    /// Checks a plan against a fleet's file
    Check {
        plan: PathBuf,
        #[arg(long)]
        fleet: PathBuf,
    },
    /// Starts the release that this plan describes
    Start { plan: PathBuf },
    /// How far it is
    Status {
        /// Shows each change until it is over
        #[arg(long)]
        watch: bool,
    },
    /// Nobody new goes out
    Halt {
        #[arg(long, default_value = "an operator")]
        why: String,
    },
    /// Goes on where it stands
    Resume,
    /// Takes back what it has changed, newest first, under the same limits
    Back,
}
