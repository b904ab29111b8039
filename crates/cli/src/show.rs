//! Formats a node's status as text.

use crate::status::{Cause, DrainingHost, Host, ReleaseState, Status, Unit, UnitLease, UnitState};

/// The names separated by spaces, or `none`.
pub(crate) fn names(list: &[String]) -> String {
    if list.is_empty() { "none".into() } else { list.join(" ") }
}

/// Overview of the fleet: leader, voters, units that are out, overrides and the release.
pub(crate) fn status(status: &Status) -> String {
    let units = &status.state.units;
    let is_out = |unit: &Unit| !unit.is_serving() || unit.is_lost;
    let out: Vec<String> = units
        .iter()
        .filter(|(_, unit)| is_out(unit))
        .map(|(name, unit)| format!("  {name}: {}", unit_state(unit)))
        .collect();
    let mut lines =
        vec![answering_node(status), voters(status), format!("{} of {} units out", out.len(), units.len())];
    lines.extend(out);
    if !status.duplicate_names.is_empty() {
        lines.push(format!("names used by TWO PROCESSES each: {}", names(&status.duplicate_names)));
    }
    for over in &status.state.overrides {
        lines.push(format!("beyond limits: {:?} ({:?})", over.unit, over.reason));
    }
    lines.push(release(status));
    lines.join("\n")
}

fn answering_node(status: &Status) -> String {
    let leader = status.leader.as_deref().unwrap_or("unknown");
    let confirmation = if status.is_confirmed {
        "confirmed by a majority"
    } else {
        "NOT CONFIRMED by a majority: may be stale"
    };
    format!("status from {} ({}); leader {leader}; {confirmation}", status.name, status.version)
}

fn voters(status: &Status) -> String {
    let heard = names(&status.heard_voters);
    let unheard = names(&status.unheard_voters);
    let Status { epoch, applied, .. } = status;
    format!("voters heard: {heard}; not heard: {unheard}; epoch {epoch}, {applied} log entries applied")
}

/// All units, one per line.
pub(crate) fn members(status: &Status) -> String {
    let line = |(name, unit): (&String, &Unit)| {
        let is_voter = status.state.voter_slots.iter().any(|slot| slot.name == *name);
        let is_duplicate = status.duplicate_names.contains(name);
        let votes = if is_voter { "voter" } else { "" };
        let warning = if is_duplicate { "  TWO PROCESSES" } else { "" };
        format!("{name:<12} {votes:<6} {:<12} {}{warning}", unit.version, unit_state(unit))
    };
    status.state.units.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn unit_state(unit: &Unit) -> String {
    let lost = if unit.is_lost { ", lost" } else { "" };
    let (state, lease) = match &unit.state {
        UnitState::Serving => return format!("serving{lost}"),
        UnitState::Granted(lease) => ("may go out", lease),
        UnitState::Begun(lease) => ("out of service", lease),
        UnitState::Returning(lease) => ("returning to service", lease),
    };
    let UnitLease { number, cause } = lease;
    format!("{state} ({}, lease {number}){lost}", cause_text(cause))
}

fn cause_text(cause: &Cause) -> String {
    match cause {
        Cause::Drain => "drain".into(),
        Cause::Release(number) => format!("release {number}"),
        Cause::Override => "override".into(),
    }
}

/// Hosts that are out, by the endpoint list or by the fleet.
pub(crate) fn hosts(status: &Status) -> String {
    let hosts = &status.state.hosts;
    let out: Vec<String> = hosts
        .iter()
        .filter(|(_, host)| host.condition != "Ready" || host.hold.is_some())
        .map(|(name, host)| host_line(status, name, host))
        .collect();
    let mut lines = vec![format!("{} of {} hosts out", out.len(), hosts.len())];
    lines.extend(out);
    if !status.is_leader {
        let leader = status.leader.as_deref().unwrap_or("unknown");
        lines.push(format!(
            "only the leader knows who holds connections and which hosts may stop; leader: {leader}"
        ));
    }
    lines.join("\n")
}

fn host_line(status: &Status, name: &str, host: &Host) -> String {
    let condition = host.condition.to_lowercase();
    let draining = status.draining_hosts.iter().find(|draining| draining.host == name);
    let hold = hold_text(host, draining.is_some_and(|draining| draining.may_stop && status.is_confirmed));
    let details = draining.map(draining_text).unwrap_or_default();
    format!("{name:<12} list: {condition:<9} {hold}{details}")
}

fn hold_text(host: &Host, may_stop: bool) -> String {
    let Some(hold) = &host.hold else { return "no lease".into() };
    let lease = hold.lease;
    match hold.state.as_str() {
        "Returning" => format!("returning, not yet known to all nodes; lease {lease}"),
        _ if may_stop => format!("empty, may stop; lease {lease}"),
        _ => format!("drained by the fleet; lease {lease}"),
    }
}

fn draining_text(draining: &DrainingHost) -> String {
    let mut text = String::new();
    if !draining.connections.is_empty() {
        let connections = draining.connections.iter();
        let holders: Vec<String> = connections.map(|(node, count)| format!("{node} {count}")).collect();
        text.push_str(&format!("; connections: {}", holders.join(", ")));
    }
    if !draining.unheard_nodes.is_empty() {
        text.push_str(&format!("; not heard: {}", names(&draining.unheard_nodes)));
    }
    text
}

/// Replication of in-flight calls at one node.
pub(crate) fn takeover(status: &Status) -> String {
    let name = &status.name;
    let Some(takeover) = &status.takeover else {
        return format!("{name:<12} the fleet's file has no [work] section");
    };
    let role = match (takeover.is_replica, takeover.has_full_history) {
        (false, _) => "not a replica",
        (true, false) => "replica, cannot answer for repeats yet",
        (true, true) => "replica",
    };
    format!(
        "{name:<12} {role}; stores {} records; own calls with replication or lookup requests: {}; \
         intents: {} replicated, {} not replicated; \
         repeats: {} looked up, {} with a record, {} failed; calls in flight elsewhere: {}",
        takeover.records_held,
        takeover.calls_with_requests,
        takeover.intents_replicated,
        takeover.intents_not_replicated,
        takeover.repeats_looked_up,
        takeover.repeats_with_record,
        takeover.repeats_failed,
        takeover.in_flight_elsewhere,
    )
}

/// Progress of the release.
pub(crate) fn release(status: &Status) -> String {
    let Some(release) = &status.state.release else { return "no release".into() };
    let state = match &release.state {
        ReleaseState::Running => "running".into(),
        ReleaseState::Finished => "finished".into(),
        ReleaseState::Halted(reason) => format!("halted: {reason}"),
    };
    let reverting = if release.reversal.is_some() { ", reverting" } else { "" };
    let waves = release.waves.len();
    let wave = (release.wave + 1).min(waves);
    let unit_count: usize = release.waves.iter().map(Vec::len).sum();
    let units = status.state.units.iter().filter(|(_, unit)| !unit.is_serving());
    let out: Vec<String> = units.map(|(name, unit)| format!("{name} {}", unit_state(unit))).collect();
    let out = if out.is_empty() { "none".into() } else { out.join("; ") };
    format!(
        "release {} to {}{reverting}: {state}; wave {wave} of {waves}, {} of {unit_count} units done; \
         out: {out}",
        release.number,
        release.plan.version,
        release.done.len(),
    )
}
