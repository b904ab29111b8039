//! The configuration file of a node, with settings like those of a small deployment.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// A traffic type; its calls may be repeated.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub setup_target_ms: u64,
    pub guard_ms: u64,
}

impl Class {
    pub fn repeatable(name: &'static str, setup_target_ms: u64, guard_ms: u64) -> Class {
        Class { name, setup_target_ms, guard_ms }
    }
}

pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The list of hosts that the node starts with, in discovery's form.
    pub known: String,
    pub classes: Vec<Class>,
}

impl Config {
    fn json(&self) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    r#"{{"name":"{}","effect":"retryable","group":"all","windowMs":5000.0,"setupTargetMs":{}.0,"guardTimeMs":{}.0,"lateRevenue":0.0,"revenue":1.0,"stream":true}}"#,
                    class.name, class.setup_target_ms, class.guard_ms
                )
            })
            .collect();
        let aims = vec!["100.0"; self.classes.len()].join(",");
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{known},
 "settings":{{"caps":{{"connIdleMs":60000.0,"connectTimeoutMs":200.0,"maxLegs":4,"maxRetryAfterMs":1500.0,
   "mayCancel":true,"mayProbe":true,"mayTell":false,"openCap":1000000,"retryAfter":true,"secondCopies":false}},
  "clients":{{"marksRetry":true}},"dcs":["z1"],
  "extra":{{"groups":true,"messageAimMs":[{aims}],"mode":"proxy"}},
  "family":"conn","fleetSize":1,"kinds":["m1"],"loadReport":{{"columns":[],"source":"none"}},"me":0,
  "membershipMode":"on_request","myZone":0,"prices":{{"crossZone":0.12}},"projects":[{{"name":"one","quotaPerS":20.0,"fraction":1.0}}],
  "safety":{{"askWithinMs":10000.0,"coldFrom":0.12,"drainGraceMs":500.0,"fallMs":1500.0,"fallMultiple":4.0,
   "graceToAnswerMs":20.0,"warmAfterMs":22000.0}},
  "tickMs":5.0,"tier":0,"tiers":["live"],"weightKind":"rough",
  "trafficTypes":[{classes}]}}}}
"#,
            listen = self.listen,
            discovery = self.discovery,
            known = self.known,
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
