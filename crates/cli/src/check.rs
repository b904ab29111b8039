//! `glendeck check`: reads and checks files as nodes do.

use std::path::Path;

use glendeck_fleet::policy::{FleetPolicy, Plan};
use serde::de::DeserializeOwned;

use crate::error::CommandError;
use crate::output::print_line;

/// Checks a file and prints a summary of it; a release's file checked against a fleet prints its waves.
pub(crate) fn run(path: &Path, fleet: Option<&Path>) -> Result<(), CommandError> {
    let text = match fleet {
        Some(fleet) => waves(&read_plan(path)?, &read_policy(fleet)?)?,
        None => describe(path)?,
    };
    print_line(text)
}

/// Reads a release's plan.
pub(crate) fn read_plan(path: &Path) -> Result<Plan, CommandError> {
    read(path)
}

/// Reads and checks a fleet's policy.
pub(crate) fn read_policy(path: &Path) -> Result<FleetPolicy, CommandError> {
    let policy: FleetPolicy = read(path)?;
    policy.check().map_err(|error| invalid(path, error))?;
    Ok(policy)
}

/// The waves into which a plan splits a fleet, one per line.
pub(crate) fn waves(plan: &Plan, policy: &FleetPolicy) -> Result<String, CommandError> {
    plan.check(policy).map_err(|error| CommandError::Invalid(error.to_string()))?;
    let lines = plan.split(policy).into_iter().enumerate().map(|(index, wave)| {
        let names: Vec<String> = wave.iter().map(ToString::to_string).collect();
        format!("wave {}: {}", index + 1, names.join(" "))
    });
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

/// Reads and summarises a file. A release's plan has a line that begins with `version`, a fleet's policy has
/// none. A plan is only parsed here, since its check needs the fleet.
fn describe(path: &Path) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let is_plan = text.lines().any(|line| line.trim_start().starts_with("version"));
    if is_plan {
        read_plan(path)?;
        return Ok("a release plan; pass the fleet's file with --fleet to list its waves".into());
    }
    let policy = read_policy(path)?;
    let unit_count = policy.units.len() as u32;
    let most_out = policy.limits.fleet.room(unit_count);
    let voter_count = policy.voters.len();
    Ok(format!("a fleet of {unit_count} units with {voter_count} voters; at most {most_out} out at once"))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| invalid(path, error))?;
    toml::from_str(&text).map_err(|error| invalid(path, error.to_string().trim_end()))
}

fn invalid(path: &Path, error: impl std::fmt::Display) -> CommandError {
    CommandError::Invalid(format!("{}: {error}", path.display()))
}
