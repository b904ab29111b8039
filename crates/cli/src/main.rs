//! `glendeck`: the operators' command line. It asks the admin interfaces of nodes and prints what they answer.
//!
//! Exit code 0: what was asked for is so. 1: it was refused or is not so. 2: the command itself is wrong. 3: nobody answered,
//! or nothing was decided in time.

mod admin;
mod args;
mod check;
mod demo;
mod error;
mod fleet;
mod order;
mod release;
mod session;
mod show;
mod status;
mod trace;

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use serde_json::json;

use args::{Cli, Command};
use error::CommandError;
use order::Order;
use session::Session;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if cli.target.json {
                println!("{}", json!({"done": false, "why": error.to_string()}));
            } else {
                eprintln!("glendeck: {error}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(cli: &Cli) -> Result<(), CommandError> {
    let session = Session::new(&cli.target);
    match &cli.command {
        Command::Fleet(command) => fleet::run(&session, command),
        Command::Drain { node, beyond_limits: None } => session.order(Order::Drain { unit: node }),
        Command::Drain { node, beyond_limits: Some(reason) } => {
            session.order(Order::Override { unit: node, reason })
        }
        Command::Activate { node } => session.order(Order::Activate { unit: node }),
        Command::Release(command) => release::run(&session, command),
        Command::Check { file, fleet } => check::run(file, fleet.as_deref()),
        Command::Demo { stay, program } => demo::run(program.as_deref(), Duration::from_secs(*stay)),
    }
}
