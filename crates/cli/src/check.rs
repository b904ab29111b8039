//! Files, read and checked as nodes would.

use std::path::Path;

use glendeck_fleet::policy::{FleetPolicy, Plan};

use crate::Failure;

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    let wrong = |fault: String| Failure::Wrong(format!("{}: {fault}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|fault| wrong(fault.to_string()))?;
    toml::from_str(&text).map_err(|fault| wrong(fault.to_string().trim_end().to_owned()))
}

pub fn plan(path: &Path) -> Result<Plan, Failure> {
    read(path)
}

pub fn policy(path: &Path) -> Result<FleetPolicy, Failure> {
    let policy: FleetPolicy = read(path)?;
    policy.check().map_err(|fault| Failure::Wrong(format!("{}: {fault}", path.display())))?;
    Ok(policy)
}

/// What a plan would do to a fleet, a wave a line.
pub fn waves(plan: &Plan, policy: &FleetPolicy) -> Result<String, Failure> {
    plan.check(policy).map_err(|fault| Failure::Wrong(fault.to_string()))?;
    let lines = plan.split(policy).into_iter().enumerate().map(|(at, wave)| {
        let names: Vec<String> = wave.iter().map(ToString::to_string).collect();
        format!("wave {}: {}", at + 1, names.join(" "))
    });
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

pub fn any(path: &Path, fleet: Option<&Path>) -> Result<String, Failure> {
    if let Some(fleet) = fleet {
        return waves(&plan(path)?, &policy(fleet)?);
    }
    let text = std::fs::read_to_string(path).unwrap_or_default();
    if text.lines().any(|line| line.trim_start().starts_with("version")) {
        plan(path)?;
        return Ok("a release; name its fleet with --fleet to see its waves".into());
    }
    let policy = policy(path)?;
    let of = policy.units.len() as u32;
    let room = policy.limits.fleet.room(of);
    Ok(format!("a fleet of {of} units with {} voters; at most {room} out at once", policy.voters.len()))
}
