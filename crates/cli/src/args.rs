//! The command line's arguments. Their doc comments are the help text that clap prints.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

#[derive(Parser)]
#[command(
    name = "glendeck",
    version,
    about = "Inspects and controls a fleet of glendeck nodes",
    after_help = "Examples:\n  glendeck demo\n  glendeck fleet status --door 127.0.0.1:9901\n  \
                  glendeck drain n3 --door 127.0.0.1:9901\n  \
                  glendeck release start deploy/release.toml --door 127.0.0.1:9901\n  \
                  glendeck release status --watch"
)]
pub(crate) struct Cli {
    #[command(flatten)]
    pub target: Target,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Args)]
pub(crate) struct Target {
    /// Addresses of nodes' admin interfaces, separated by commas. Any node can answer; the first that
    /// responds is used. `fleet work` queries all of them; `fleet trust` applies to the node that responds.
    #[arg(
        long = "door",
        value_name = "DOOR",
        env = "GLENDECK_DOOR",
        value_delimiter = ',',
        default_value = "127.0.0.1:9901",
        global = true
    )]
    pub addresses: Vec<SocketAddr>,
    /// Prints each reply as one JSON object.
    #[arg(long, global = true)]
    pub json: bool,
    /// Id of this order, random by default. An order sent again with the same id is carried out once.
    #[arg(long, global = true)]
    pub id: Option<String>,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Shows the members of the fleet and their state, and manages voters and lost nodes.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Drains a node or a host within the limits: its clients leave, the process keeps running.
    Drain {
        node: String,
        /// Overrides the limits, for this reason; one node at a time.
        #[arg(long, value_name = "REASON")]
        beyond_limits: Option<String>,
    },
    /// Returns a drained node or host to service.
    Activate { node: String },
    /// Rolls a release out to the nodes in waves.
    #[command(subcommand)]
    Release(ReleaseCommand),
    /// Checks a fleet's or a release's file.
    Check {
        file: PathBuf,
        /// The file of the fleet that the release is for.
        #[arg(long)]
        fleet: Option<PathBuf>,
    },
    /// Starts three nodes on loopback with simulated hosts, discovery, front end and clients, and runs a
    /// drain and a release.
    Demo {
        /// Seconds for which the cluster keeps running afterwards, for manual use.
        #[arg(long, default_value_t = 0)]
        stay: u64,
        /// Path of the glendeck-node program; by default, the one beside this program.
        #[arg(long)]
        program: Option<PathBuf>,
    },
}

#[derive(Subcommand)]
pub(crate) enum FleetCommand {
    /// Shows the leader, the voters, the units that are out with the cause, and the release.
    Status,
    /// Lists all nodes of the fleet, one per line.
    Members,
    /// Lists the hosts that are out, and the nodes that still hold connections to them.
    Hosts,
    /// Confirms that no process of this lost node is running, so that a draining host can count as empty
    /// although this node has not reported its connections.
    Dead { node: String },
    /// Shows the replication of in-flight calls at each node given with --door.
    Work,
    /// Prints the log lines of a call across nodes, found by client id or subject id; needs logs at level
    /// `debug`.
    Trace {
        id: String,
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Permanently replaces a voter by another node.
    Replace { old: String, new: String },
    /// Confirms that the store of the node given with --door is intact, so that it votes again without
    /// waiting for voters that are gone.
    Trust,
}

#[derive(Subcommand)]
pub(crate) enum ReleaseCommand {
    /// Checks a release plan against a fleet's file, and prints its waves.
    Check {
        plan: PathBuf,
        #[arg(long)]
        fleet: PathBuf,
    },
    /// Starts the release that a plan describes.
    Start { plan: PathBuf },
    /// Shows the progress of the release.
    Status {
        /// Prints each change until the release finishes or halts.
        #[arg(long)]
        watch: bool,
    },
    /// Halts the release: no further units are taken out.
    Halt {
        #[arg(long, default_value = "an operator")]
        why: String,
    },
    /// Resumes a halted release where it stopped.
    Resume,
    /// Reverts the units that the release has changed, newest first, under the same limits.
    Back,
}
