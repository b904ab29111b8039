//! Orders of operators, and what becomes of a release.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use glendeck_harness::AdminReply;
use serde_json::{Value, json};

use crate::{PATIENCE, Run, seconds};

impl Run {
    pub(crate) fn play_orders(&mut self, words: &[&str]) {
        match words {
            ["order", path, rest @ ..] => self.order(path, json!({}), rest),
            [what @ ("drain" | "activate" | "override" | "dead"), unit, rest @ ..] => {
                let unit =
                    if unit.starts_with('h') { (*unit).into() } else { format!("n{}", self.node(unit)) };
                // A unit that was just founded, or whose leader is new, is not known to serve yet.
                let body = json!({"unit": unit, "reason": "a scenario"});
                self.order(&format!("/v1/fleet/{what}"), body, rest);
            }
            ["release", version, status, rest @ ..] => {
                let given: HashMap<&str, &str> =
                    rest.iter().filter_map(|word| word.split_once('=')).collect();
                let units: Vec<&str> = given.get("units").map_or(vec![], |units| units.split(',').collect());
                let plan = json!({
                    "version": version, "units": units, "waves": [1, "100%"],
                    "watch_s": given.get("watch").map_or(3, |s| s.parse().unwrap()), "unit_limit_s": 40,
                    "act": given.get("act").unwrap_or(&"exit"), "on_halt": given.get("halt").unwrap_or(&"hold"),
                    "gates": {"most_lost": given.get("lost").map_or(0, |n| n.parse().unwrap()),
                              "failures_per_thousand": 300, "busy_per_thousand": 1000},
                });
                let mut at = vec![*status];
                at.extend(rest.iter().skip_while(|word| **word != "at"));
                self.order("/v1/fleet/release/start", json!({"plan": plan}), &at);
            }
            [what @ ("halt" | "resume" | "back"), rest @ ..] => {
                self.order(&format!("/v1/fleet/release/{what}"), json!({}), rest);
            }
            ["replace", old, new, rest @ ..] => {
                let body =
                    json!({"old": format!("n{}", self.node(old)), "new": format!("n{}", self.node(new))});
                self.order("/v1/fleet/replace", body, rest);
            }
            ["until", release_state, rest @ ..] => {
                let patience = if let ["within", most] = rest { seconds(most) } else { PATIENCE * 3 };
                let want = release_state.to_lowercase();
                let end = Instant::now() + patience;
                loop {
                    self.cluster.clear_recovered();
                    let now = self.release_state();
                    if now.as_ref().is_some_and(|(_, now)| now.to_lowercase() == want) {
                        break;
                    }
                    if Instant::now() > end {
                        let status = self.cluster.leader().and_then(|at| self.cluster.status(at));
                        panic!("not {release_state} within {patience:?}: {now:?}, {status:#?}");
                    }
                    std::thread::sleep(Duration::from_millis(30));
                }
            }
            other => panic!("unknown line {other:?}"),
        }
    }

    fn order(&mut self, path: &str, mut body: Value, words: &[&str]) {
        let status: u16 = words[0].parse().unwrap();
        let at = words.iter().position(|word| *word == "at").map(|at| self.node(words[at + 1]));
        self.orders += 1;
        body["id"] = format!("order {}", self.orders).into();
        let end = Instant::now() + Duration::from_secs(12);
        loop {
            let at = at.unwrap_or_else(|| self.node("leader"));
            let began = Instant::now();
            let reply = self.cluster.call(at, "POST", path, &body);
            let took = began.elapsed();
            assert!(took < Duration::from_millis(1_500), "the door took {took:?}");
            match reply {
                Ok(reply) if reply.status == status => break,
                // Not decided in time: asked again with the same id, as operators do.
                Ok(AdminReply { status: 503, .. }) | Err(_) if status != 503 && Instant::now() < end => {}
                other => panic!("{path} at n{at}: {other:?}, not {status}"),
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.asked = Instant::now();
    }

    fn release_state(&self) -> Option<(u64, String)> {
        let status = self.cluster.status(self.cluster.leader()?)?;
        let release = &status["state"]["release"];
        let release_state = &release["course"];
        let name = release_state.as_str().map_or_else(|| "Halted".to_owned(), str::to_owned);
        Some((release["number"].as_u64()?, name))
    }
}
