//! `glendeck`: the operators' command line. It queries the admin interfaces of nodes and prints their
//! replies.
//!
//! Exit codes: 0, the request was carried out, or the requested state holds; 1, the request was refused, or
//! the requested state does not hold; 2, the command or a file that it names is invalid; 3, no node answered,
//! the answer is unconfirmed or cannot be decoded, or no decision was reached in time.

mod admin;
mod args;
mod check;
mod demo;
mod error;
mod fleet;
mod order;
mod output;
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
use output::{print_error, print_line};
use session::Session;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error, cli.target.json);
            ExitCode::from(error.exit_code())
        }
    }
}

/// Prints an error. If that fails too, the exit code is all that tells of it.
fn report(error: &CommandError, is_json: bool) {
    if matches!(error, CommandError::NoReader) {
        return;
    }
    let is_printed = is_json && print_line(json!({"done": false, "why": error.to_string()})).is_ok();
    if !is_printed {
        print_error(format_args!("glendeck: {error}"));
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
