//! `glendeck`: the operators' command line. It asks the doors of nodes and says what they say; exit code 0 when what was
//! asked is so, 1 when it was refused or is not so, 2 when the call itself is wrong, 3 when nobody answered or nothing
//! was decided in time.

mod admin;
mod check;
mod demo;
mod show;
mod trace;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use serde_json::{Value, json};

use admin::AdminClient;

#[derive(Parser)]
#[command(
    name = "glendeck",
    version,
    about = "Watches and steers a fleet of glendeck nodes",
    after_help = "Examples:\n  glendeck demo\n  glendeck fleet status --door 127.0.0.1:9901\n  glendeck drain n3 --door 127.0.0.1:9901\n  \
                  glendeck release start deploy/release.toml --door 127.0.0.1:9901\n  glendeck release status --watch"
)]
struct Cli {
    #[command(flatten)]
    to: To,
    #[command(subcommand)]
    what: What,
}

#[derive(Args)]
struct To {
    /// A node's operators' door; any node will do. Several may be given: the first that answers is asked.
    #[arg(
        long = "door",
        env = "GLENDECK_DOOR",
        value_delimiter = ',',
        default_value = "127.0.0.1:9901",
        global = true
    )]
    admin: Vec<SocketAddr>,
    /// Says what came back as one JSON object.
    #[arg(long, global = true)]
    json: bool,
    /// Names this order: given again with the same name, it is the same order.
    #[arg(long, global = true)]
    id: Option<String>,
}

#[derive(Subcommand)]
enum What {
    /// Who is of the fleet, and how each stands
    #[command(subcommand)]
    Fleet(OfFleet),
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
    Release(OfRelease),
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
enum OfFleet {
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
enum OfRelease {
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

/// Why a command ends with another code than 0.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Refused(String),
    #[error("{0}")]
    Wrong(String),
    #[error("{0}")]
    Unanswered(String),
}

impl Failure {
    fn code(&self) -> u8 {
        match self {
            Failure::Refused(_) => 1,
            Failure::Wrong(_) => 2,
            Failure::Unanswered(_) => 3,
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            if cli.to.json {
                println!("{}", json!({"done": false, "why": failure.to_string()}));
            } else {
                eprintln!("glendeck: {failure}");
            }
            ExitCode::from(failure.code())
        }
    }
}

fn run(cli: &Cli) -> Result<(), Failure> {
    let admin = AdminClient::new(&cli.to.admin);
    let order = |path: &str, mut body: Value| -> Result<(), Failure> {
        // Drawn once, and the same however often it is said again.
        let drawn = || format!("{:016x}{:016x}", draw(), draw());
        body["id"] = cli.to.id.clone().unwrap_or_else(drawn).into();
        let reply = admin.order(path, &body)?;
        if cli.to.json {
            println!("{reply}");
        } else {
            println!("{}", reply["said"].as_str().unwrap_or("done"));
        }
        Ok(())
    };
    match &cli.what {
        What::Fleet(OfFleet::Status) => show(cli, &admin.status()?, show::status),
        What::Fleet(OfFleet::Members) => show(cli, &admin.status()?, show::members),
        What::Fleet(OfFleet::Hosts) => show(cli, &admin.status()?, show::hosts),
        What::Fleet(OfFleet::Work) => work(cli, &admin),
        What::Fleet(OfFleet::Trace { id, logs }) => {
            trace::of(id, logs)?.iter().for_each(|line| println!("{line}"));
            Ok(())
        }
        What::Fleet(OfFleet::Dead { node }) => order("/v1/fleet/dead", json!({"unit": node})),
        What::Fleet(OfFleet::Replace { old, new }) => {
            order("/v1/fleet/replace", json!({"old": old, "new": new}))
        }
        What::Fleet(OfFleet::Trust) => order("/v1/fleet/trust", json!({})),
        What::Drain { node, beyond_limits: None } => order("/v1/fleet/drain", json!({"unit": node})),
        What::Drain { node, beyond_limits: Some(reason) } => {
            order("/v1/fleet/override", json!({"unit": node, "reason": reason}))
        }
        What::Activate { node } => order("/v1/fleet/activate", json!({"unit": node})),
        What::Release(OfRelease::Check { plan, fleet }) => {
            let (plan, policy) = (check::plan(plan)?, check::policy(fleet)?);
            println!("{}", check::waves(&plan, &policy)?);
            Ok(())
        }
        What::Release(OfRelease::Start { plan }) => {
            let plan = check::plan(plan)?;
            let plan = serde_json::to_value(plan).map_err(|fault| Failure::Wrong(fault.to_string()))?;
            order("/v1/fleet/release/start", json!({"plan": plan}))
        }
        What::Release(OfRelease::Status { watch: false }) => show(cli, &admin.status()?, show::release),
        What::Release(OfRelease::Status { watch: true }) => watch(cli, &admin),
        What::Release(OfRelease::Halt { why }) => order("/v1/fleet/release/halt", json!({"why": why})),
        What::Release(OfRelease::Resume) => order("/v1/fleet/release/resume", json!({})),
        What::Release(OfRelease::Back) => order("/v1/fleet/release/back", json!({})),
        What::Check { file, fleet } => {
            println!("{}", check::any(file, fleet.as_deref())?);
            Ok(())
        }
        What::Demo { stay, program } => demo::play(program.as_deref(), Duration::from_secs(*stay)),
    }
}

fn work(cli: &Cli, admin: &AdminClient) -> Result<(), Failure> {
    let mut unanswered = None;
    for (at, said) in admin.each_status() {
        match said {
            Ok(status) if cli.to.json => {
                println!("{}", json!({"name": status["name"], "work": status["work"]}));
            }
            Ok(status) => println!("{}", show::work(&status)),
            Err(why) => unanswered = Some(format!("{at}: {why}")),
        }
    }
    unanswered.map_or(Ok(()), |why| Err(Failure::Unanswered(why)))
}

/// The standard library's own keys are drawn from the system.
fn draw() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

fn show(cli: &Cli, status: &Value, as_text: impl Fn(&Value) -> String) -> Result<(), Failure> {
    if cli.to.json {
        println!("{status}");
    } else {
        println!("{}", as_text(status));
    }
    // What nobody has confirmed may be old.
    match status["confirmed"].as_bool() {
        Some(true) => Ok(()),
        _ => Err(Failure::Unanswered(format!(
            "not confirmed by a majority; not heard: {}",
            show::names(&status["misses"])
        ))),
    }
}

/// Tells each change once, until the release is over: 0 if it is finished, 1 if it is halted.
fn watch(cli: &Cli, admin: &AdminClient) -> Result<(), Failure> {
    let mut before = String::new();
    loop {
        let status = admin.status()?;
        let text = if cli.to.json { status["state"]["release"].to_string() } else { show::release(&status) };
        if text != before {
            println!("{text}");
            before = text;
        }
        let release_state = &status["state"]["release"]["course"];
        match (release_state.as_str(), release_state.get("Halted")) {
            (Some("Finished"), _) => return Ok(()),
            (_, Some(why)) => {
                return Err(Failure::Refused(format!("halted: {}", why.as_str().unwrap_or_default())));
            }
            (None, None) => return Err(Failure::Refused("there is no release".into())),
            _ => std::thread::sleep(Duration::from_millis(500)),
        }
    }
}
