//! The configuration file of a node, with settings like those of a small deployment.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// A traffic type.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub group: &'static str,
    pub window_ms: u64,
    pub setup_target_ms: u64,
    pub guard_ms: u64,
}

impl Class {
    pub fn repeatable(name: &'static str, setup_target_ms: u64, guard_ms: u64) -> Class {
        Class { name, effect: "retryable", group: "all", window_ms: 5_000, setup_target_ms, guard_ms }
    }
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub classes: Vec<Class>,
    pub nodes: usize,
    pub me: usize,
    pub marks_retry: bool,
    pub connect_timeout_ms: u64,
    pub max_legs: u64,
    /// The `fleet` section, if any.
    pub fleet: Option<String>,
}

impl Config {
    fn json(&self) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    r#"{{"name":"{}","effect":"{}","group":"{}","windowMs":{}.0,"setupTargetMs":{}.0,"guardTimeMs":{}.0,"lateRevenue":0.0,"revenue":1.0,"stream":true}}"#,
                    class.name, class.effect, class.group, class.window_ms, class.setup_target_ms, class.guard_ms
                )
            })
            .collect();
        let aims = vec!["100.0"; self.classes.len()].join(",");
        let fleet = self.fleet.as_ref().map_or(String::new(), |fleet| format!(",\n \"fleet\":{fleet}"));
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{known},
 "settings":{{"caps":{{"connIdleMs":60000.0,"connectTimeoutMs":{connect}.0,"maxLegs":{legs},"maxRetryAfterMs":1500.0,
   "mayCancel":true,"mayProbe":true,"mayTell":false,"openCap":1000000,"retryAfter":true,"secondCopies":false}},
  "clients":{{"marksRetry":{marks}}},"dcs":["z1"],
  "extra":{{"groups":true,"messageAimMs":[{aims}],"mode":"proxy"}},
  "family":"conn","fleetSize":{nodes},"kinds":["m1"],"loadReport":{{"columns":[],"source":"none"}},"me":{me},
  "membershipMode":"on_request","myZone":0,"prices":{{"crossZone":0.12}},"projects":[{{"name":"one","quotaPerS":20.0,"fraction":1.0}}],
  "safety":{{"askWithinMs":10000.0,"coldFrom":0.12,"drainGraceMs":500.0,"fallMs":1500.0,"fallMultiple":4.0,
   "graceToAnswerMs":20.0,"warmAfterMs":22000.0}},
  "tickMs":5.0,"tier":0,"tiers":["live"],"weightKind":"rough",
  "trafficTypes":[{classes}]}}{fleet}}}
"#,
            name = self.name,
            listen = self.listen,
            discovery = self.discovery,
            known = self.known,
            connect = self.connect_timeout_ms,
            legs = self.max_legs,
            marks = self.marks_retry,
            nodes = self.nodes,
            me = self.me,
            classes = classes.join(","),
        )
    }

    /// Replaces the file in one step.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let new = path.with_extension("new");
        fs::write(&new, self.json())?;
        fs::rename(new, path)
    }
}
