//! What a door says, for people.

use serde_json::Value;

pub fn names(list: &Value) -> String {
    let names: Vec<&str> = list.as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    if names.is_empty() { "none".into() } else { names.join(" ") }
}

fn standing(unit: &Value) -> String {
    let lost = if unit["lost"] == true { ", lost" } else { "" };
    let standing = &unit["standing"];
    if standing == "Serving" {
        return format!("serving{lost}");
    }
    let (name, of) =
        standing.as_object().and_then(|all| all.iter().next()).map_or(("", &Value::Null), |(k, v)| (k, v));
    let cause = &of["cause"];
    let cause = match cause.as_str() {
        Some(cause) => cause.to_lowercase(),
        None => format!("release {}", cause["Release"]),
    };
    format!("{}{lost} for {cause}, permit {}", name.to_lowercase(), of["permit"])
}

pub fn members(status: &Value) -> String {
    let units = status["state"]["units"].as_object().cloned().unwrap_or_default();
    let seats = status["state"]["seats"].as_array().cloned().unwrap_or_default();
    let line = |name: &String, unit: &Value| {
        let votes = if seats.iter().any(|seat| seat["name"] == name.as_str()) { "voter" } else { "" };
        let doubled = status["doubled"].as_array().is_some_and(|of| of.iter().any(|of| of == name.as_str()));
        let doubled = if doubled { "  TWO PROCESSES" } else { "" };
        let version = unit["version"].as_str().unwrap_or_default();
        format!("{name:<12} {votes:<6} {version:<12} {}{doubled}", standing(unit))
    };
    units.iter().map(|(name, unit)| line(name, unit)).collect::<Vec<_>>().join("\n")
}

/// Hosts that are out, by the list or by the group.
pub fn hosts(status: &Value) -> String {
    let hosts = status["state"]["hosts"].as_object().cloned().unwrap_or_default();
    let draining_hosts = status["emptying"].as_array().cloned().unwrap_or_default();
    let line = |name: &String, host: &Value| {
        let listed = host["listed"].as_str().unwrap_or_default().to_lowercase();
        let held = &host["held"];
        let of = draining_hosts.iter().find(|of| of["host"] == name.as_str()).cloned().unwrap_or_default();
        let hold = match held["hold"].as_str() {
            None => "not held out".to_owned(),
            Some("Returning") => format!("taken back, not heard by all yet; permit {}", held["permit"]),
            Some(_) if of["may_stop"] == true && status["confirmed"] == true => {
                format!("empty, it may stop; permit {}", held["permit"])
            }
            Some(_) => format!("eased off; permit {}", held["permit"]),
        };
        let holders = of["held_by"].as_object().cloned().unwrap_or_default();
        let holders: Vec<String> = holders.iter().map(|(node, count)| format!("{node} {count}")).collect();
        let by = if holders.is_empty() { String::new() } else { format!("; held by {}", holders.join(", ")) };
        let unheard = names(&of["not_heard"]);
        let unheard = if unheard == "none" { String::new() } else { format!("; not heard: {unheard}") };
        format!("{name:<12} list: {listed:<9} {hold}{by}{unheard}")
    };
    let out = hosts.iter().filter(|(_, host)| host["listed"] != "Ready" || !host["held"].is_null());
    let mut lines: Vec<String> = out.map(|(name, host)| line(name, host)).collect();
    lines.insert(0, format!("{} of {} hosts out", lines.len(), hosts.len()));
    if status["leads"] != true {
        lines.push(format!(
            "who holds what, and whether a host may stop, is known to the leader, {}",
            status["leader"].as_str().unwrap_or("nobody")
        ));
    }
    lines.join("\n")
}

/// What a node keeps for others, and others for it.
pub fn work(status: &Value) -> String {
    let (name, work) = (status["name"].as_str().unwrap_or_default(), &status["work"]);
    if work.is_null() {
        return format!("{name:<12} the charter has no section for work");
    }
    let keeps = match (work["keeps"] == true, work["remembers"] == true) {
        (false, _) => "does not keep",
        (true, false) => "keeps, and answers for no repeats yet",
        (true, true) => "keeps",
    };
    format!(
        "{name:<12} {keeps}; holds {} records; {} of its own in hand; kept {}, not kept {}; repeats: {} looked up, {} after a \
         record, {} given up, {} met elsewhere",
        work["records_held"],
        work["in_hand"],
        work["intents_kept"],
        work["intents_not_kept"],
        work["repeats_looked_up"],
        work["repeats_after_a_record"],
        work["repeats_given_up"],
        work["met_elsewhere"],
    )
}

pub fn release(status: &Value) -> String {
    let release = &status["state"]["release"];
    if release.is_null() {
        return "no release".into();
    }
    let release_state = &release["course"];
    let release_state = match release_state.as_str() {
        Some(release_state) => release_state.to_lowercase(),
        None => format!("halted: {}", release_state["Halted"].as_str().unwrap_or_default()),
    };
    let back = if release["back"].is_null() { "" } else { ", leading back" };
    let waves = release["waves"].as_array().map_or(0, Vec::len);
    let all: usize =
        release["waves"].as_array().into_iter().flatten().filter_map(Value::as_array).map(Vec::len).sum();
    let done: Vec<&str> =
        release["done"].as_array().into_iter().flatten().filter_map(|of| of["unit"].as_str()).collect();
    let wave = release["wave"].as_u64().unwrap_or(0) + 1;
    let units = status["state"]["units"].as_object().cloned().unwrap_or_default();
    let out: Vec<String> = units
        .iter()
        .filter(|(_, unit)| unit["standing"] != "Serving")
        .map(|(name, unit)| format!("{name} {}", standing(unit)))
        .collect();
    let out = if out.is_empty() { "nobody".into() } else { out.join("; ") };
    format!(
        "release {} to {}{back}: {release_state}; wave {} of {waves}, {} of {all} units done; out: {out}",
        release["number"],
        release["plan"]["version"].as_str().unwrap_or_default(),
        wave.min(waves as u64),
        done.len(),
    )
}

pub fn status(status: &Value) -> String {
    let state = &status["state"];
    let units = state["units"].as_object().cloned().unwrap_or_default();
    let out: Vec<String> = units
        .iter()
        .filter(|(_, unit)| unit["standing"] != "Serving" || unit["lost"] == true)
        .map(|(name, unit)| format!("  {name}: {}", standing(unit)))
        .collect();
    let mut lines = vec![
        format!(
            "asked {} ({}); leader {}; {}",
            status["name"].as_str().unwrap_or_default(),
            status["version"].as_str().unwrap_or_default(),
            status["leader"].as_str().unwrap_or("not known"),
            if status["confirmed"] == true {
                "confirmed by a majority"
            } else {
                "NOT CONFIRMED: this may be old"
            }
        ),
        format!(
            "voters heard: {}; not heard: {}; epoch {}, {} entries",
            names(&status["hears"]),
            names(&status["misses"]),
            status["epoch"],
            status["applied"]
        ),
        format!("{} of {} units out", out.len(), units.len()),
    ];
    lines.extend(out);
    if status["doubled"].as_array().is_some_and(|of| !of.is_empty()) {
        lines.push(format!("TWO PROCESSES give the name: {}", names(&status["doubled"])));
    }
    for over in state["overrides"].as_array().into_iter().flatten() {
        lines.push(format!("beyond limits: {} ({})", over["unit"], over["reason"]));
    }
    lines.push(release(status));
    lines.join("\n")
}
