//! What the fleet is made of and how much of it may be out: units, limits and release plans, as files say them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// A unit's name, a node's as in its configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnitName(pub String);

impl std::fmt::Display for UnitName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for UnitName {
    fn from(text: &str) -> UnitName {
        UnitName(text.to_owned())
    }
}

/// Where a unit stands and what it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub cell: String,
    #[serde(default)]
    pub kind: String,
}

/// A count of units, or a part of them. Parts round towards fewer out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    Count(u32),
    /// Of a thousand.
    Part(u32),
}

/// As it stands in a file: `3`, or `"12.5%"`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Written {
    Count(u32),
    Part(String),
}

// Danger: between nodes and on disk nothing says what follows, and what a file may say in two ways cannot be read
// back. There a part is marked.
impl Serialize for Amount {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match (to.is_human_readable(), *self) {
            (true, amount) => Written::from(amount).serialize(to),
            (false, Amount::Count(count)) => (false, count).serialize(to),
            (false, Amount::Part(part)) => (true, part).serialize(to),
        }
    }
}

impl<'a> Deserialize<'a> for Amount {
    fn deserialize<D: serde::Deserializer<'a>>(from: D) -> Result<Amount, D::Error> {
        if from.is_human_readable() {
            return Amount::try_from(Written::deserialize(from)?).map_err(serde::de::Error::custom);
        }
        let (is_part, number) = <(bool, u32)>::deserialize(from)?;
        Ok(if is_part { Amount::Part(number) } else { Amount::Count(number) })
    }
}

impl TryFrom<Written> for Amount {
    type Error = String;

    fn try_from(written: Written) -> Result<Amount, String> {
        match written {
            Written::Count(count) => Ok(Amount::Count(count)),
            Written::Part(text) => {
                let number = text.strip_suffix('%').and_then(|text| text.parse::<f64>().ok());
                let part = number.filter(|part| (0.0..=100.0).contains(part));
                part.map(|part| Amount::Part((part * 10.0).round() as u32))
                    .ok_or_else(|| format!("{text:?} is neither a count nor a part like \"10%\""))
            }
        }
    }
}

impl From<Amount> for Written {
    fn from(amount: Amount) -> Written {
        match amount {
            Amount::Count(count) => Written::Count(count),
            Amount::Part(part) => Written::Part(format!("{}%", f64::from(part) / 10.0)),
        }
    }
}

impl Amount {
    fn down(self, of: u32) -> u32 {
        match self {
            Amount::Count(count) => count,
            Amount::Part(part) => (u64::from(of) * u64::from(part) / 1000) as u32,
        }
    }

    fn up(self, of: u32) -> u32 {
        match self {
            Amount::Count(count) => count,
            Amount::Part(part) => (u64::from(of) * u64::from(part)).div_ceil(1000) as u32,
        }
    }
}

/// Bounds on what is out at once, over one set of units.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Units out at once.
    pub most_out: Option<Amount>,
    /// Units that go on serving.
    pub least_left: Option<Amount>,
}

impl Limit {
    /// How many of so many may be out.
    pub fn room(&self, of: u32) -> u32 {
        let out = self.most_out.map_or(of, |most| most.down(of));
        let left = self.least_left.map_or(0, |least| least.up(of));
        out.min(of.saturating_sub(left))
    }
}

/// Limits over the fleet, and over each zone, cell and kind for itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub fleet: Limit,
    pub zone: Limit,
    pub cell: Limit,
    pub kind: Limit,
}

/// What the group was founded on. All nodes are given the same; the log's counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPolicy {
    /// A name that all its members give, so that two fleets at one address never mix.
    pub group: String,
    /// Nodes that hold the log: an odd number, best in zones of their own.
    pub voters: Vec<UnitName>,
    #[serde(default)]
    pub limits: Limits,
    /// Without this, hosts are the list's matter alone.
    #[serde(default)]
    pub hosts: Option<HostSettings>,
    /// Without this, work in hand is its node's alone.
    #[serde(default)]
    pub work: Option<TakeoverSettings>,
    pub units: BTreeMap<UnitName, Place>,
}

/// How work in hand outlives its node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TakeoverSettings {
    /// Seconds after its answer in which a call that comes again is recognised.
    #[serde(default = "default_recall_s")]
    pub recall_s: u32,
}

/// Longer than clients try again by themselves, and than most references are recalled.
fn default_recall_s() -> u32 {
    30
}

/// How hosts are taken out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Over the hosts that the list names, apart from the nodes.
    #[serde(default)]
    pub limits: Limits,
    /// Connections a second that the whole fleet sends away from hosts that are wanted out.
    #[serde(default = "moves_per_second")]
    pub moves_per_second: u32,
    /// Seconds after which a host that the list names no more is no part of the fleet; until then it counts as out.
    #[serde(default = "forget_after")]
    pub forget_after_s: u32,
}

/// A crowded host's thousand connections go within a minute, and each of ten others gets two more a second.
fn moves_per_second() -> u32 {
    20
}

fn forget_after() -> u32 {
    600
}

/// What is wrong with a fleet policy or a plan: the key, and why.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{key}: {why}")]
pub struct PolicyError {
    pub key: String,
    pub why: String,
}

fn policy_error(key: impl Into<String>, why: impl Into<String>) -> PolicyError {
    PolicyError { key: key.into(), why: why.into() }
}

/// The sets that limits are over: what each is called, its limit and the units in it.
pub type Scope<'a> = (String, &'a Limit, Vec<&'a UnitName>);

/// Every scope of what stands at a place.
pub fn scopes<'a>(
    limits: &'a Limits,
    place: &Place,
    all: impl Iterator<Item = (&'a UnitName, &'a Place)> + Clone,
) -> Vec<Scope<'a>> {
    let like = |same: &dyn Fn(&Place) -> bool| -> Vec<&'a UnitName> {
        all.clone().filter(|(_, other)| same(other)).map(|(name, _)| name).collect()
    };
    vec![
        ("fleet".into(), &limits.fleet, like(&|_| true)),
        (format!("zone {:?}", place.zone), &limits.zone, like(&|other| other.zone == place.zone)),
        (format!("cell {:?}", place.cell), &limits.cell, like(&|other| other.cell == place.cell)),
        (format!("kind {:?}", place.kind), &limits.kind, like(&|other| other.kind == place.kind)),
    ]
}

impl FleetPolicy {
    /// Every scope that holds this unit.
    pub fn scopes_of<'a>(&'a self, unit: &UnitName) -> Vec<Scope<'a>> {
        let Some(place) = self.units.get(unit) else { return vec![] };
        scopes(&self.limits, place, self.units.iter())
    }

    /// # Errors
    /// Names the key: voters that are no units, doubled or more than nine (each hears all others twice a second),
    /// and limits that would let some unit never go out.
    pub fn check(&self) -> Result<(), PolicyError> {
        if self.group.is_empty() {
            return Err(policy_error("group", "is empty"));
        }
        if self.voters.is_empty() || self.voters.len() > 9 {
            return Err(policy_error("voters", "expected 1 to 9 names"));
        }
        let mut seen = BTreeSet::new();
        for voter in &self.voters {
            if !self.units.contains_key(voter) {
                return Err(policy_error("voters", format!("{voter} is none of the units")));
            }
            if !seen.insert(voter) {
                return Err(policy_error("voters", format!("{voter} stands twice")));
            }
        }
        for unit in self.units.keys() {
            for (scope, limit, units) in self.scopes_of(unit) {
                if limit.room(units.len() as u32) == 0 {
                    let key = format!("limits.{}", scope.split(' ').next().unwrap_or_default());
                    let why =
                        format!("of {} units in {scope} none may ever be out, so {unit} never", units.len());
                    return Err(policy_error(key, why));
                }
            }
        }
        if self.work.as_ref().is_some_and(|work| !(1..=3_600).contains(&work.recall_s)) {
            return Err(policy_error("work.recall_s", "expected 1 to 3600"));
        }
        let Some(hosts) = &self.hosts else { return Ok(()) };
        if hosts.moves_per_second == 0 {
            return Err(policy_error("hosts.moves_per_second", "is 0: nothing would ever be eased off"));
        }
        let Limits { fleet, zone, cell, kind } = &hosts.limits;
        for (key, limit) in [("fleet", fleet), ("zone", zone), ("cell", cell), ("kind", kind)] {
            // How many there will be is not known: of very many some must be able to go.
            if limit.room(1_000_000) == 0 {
                return Err(policy_error(
                    format!("hosts.limits.{key}"),
                    "lets no host ever go out, however many there are",
                ));
            }
        }
        Ok(())
    }
}

/// How a unit is changed once it is out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Act {
    /// It drains, leaves the wanted version in its folder and exits; who supervises it starts that version.
    #[default]
    Exit,
    /// It drains, and its clients come back to it: a rehearsal that changes nothing.
    Drain,
}

/// What becomes of units that are out when a release halts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnHalt {
    /// They stay as they are until the release goes on or back.
    #[default]
    Hold,
    /// Those that still run take clients again.
    Return,
}

/// What ends a release, measured on units that came back against the same units before they went out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gates {
    /// Calls that failed of a thousand, more than before.
    pub failures_per_thousand: u32,
    /// Calls turned away of a thousand, more than before.
    pub busy_per_thousand: u32,
    /// A unit is judged once it had so many calls.
    pub least_calls: u32,
    /// Units of the fleet that are lost unplanned, at once.
    pub most_lost: u32,
    /// Calls that wait at a unit, more than before; not looked at if not given.
    pub waiting: Option<u32>,
    /// Hosts that a unit keeps away from, more than before; not looked at if not given.
    pub hosts_down: Option<u32>,
}

impl Default for Gates {
    fn default() -> Gates {
        Gates {
            failures_per_thousand: 20,
            busy_per_thousand: 100,
            least_calls: 20,
            most_lost: 0,
            waiting: None,
            hosts_down: None,
        }
    }
}

/// One release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The version that units are to say they run.
    pub version: String,
    /// These units; all if none is named.
    #[serde(default)]
    pub units: Vec<UnitName>,
    /// How many units are changed in each wave, the last for all that follow.
    #[serde(default = "first_one_then_all")]
    pub waves: Vec<Amount>,
    /// Seconds of serving after which a unit counts as back, and a wave is judged.
    #[serde(default = "watch")]
    pub watch_s: u32,
    /// Seconds that one unit may be out.
    #[serde(default = "unit_limit")]
    pub unit_limit_s: u32,
    #[serde(default)]
    pub act: Act,
    #[serde(default)]
    pub on_halt: OnHalt,
    #[serde(default)]
    pub gates: Gates,
}

fn first_one_then_all() -> Vec<Amount> {
    vec![Amount::Count(1), Amount::Part(100), Amount::Part(1000)]
}

fn watch() -> u32 {
    10
}

fn unit_limit() -> u32 {
    120
}

impl Plan {
    /// # Errors
    /// Names the key.
    pub fn check(&self, policy: &FleetPolicy) -> Result<(), PolicyError> {
        if self.version.is_empty() {
            return Err(policy_error("version", "is empty"));
        }
        if let Some(stranger) = self.units.iter().find(|unit| !policy.units.contains_key(unit)) {
            return Err(policy_error("units", format!("{stranger} is none of the fleet's units")));
        }
        if self.waves.is_empty() || self.waves.iter().any(|wave| wave.up(1000) == 0) {
            return Err(policy_error("waves", "expected at least one, each of more than nothing"));
        }
        if self.watch_s == 0 {
            return Err(policy_error("watch_s", "is 0: a unit that was not seen to serve is not back"));
        }
        if self.unit_limit_s <= self.watch_s {
            return Err(policy_error("unit_limit_s", "must be longer than watch_s"));
        }
        Ok(())
    }

    /// Who goes in which wave. Zones and cells take turns, so that no wave is of one zone while others have units.
    pub fn split(&self, policy: &FleetPolicy) -> Vec<Vec<UnitName>> {
        let named: BTreeSet<&UnitName> =
            if self.units.is_empty() { policy.units.keys().collect() } else { self.units.iter().collect() };
        let mut places: BTreeMap<(&str, &str), Vec<&UnitName>> = BTreeMap::new();
        for unit in named {
            if let Some(place) = policy.units.get(unit) {
                places.entry((&place.zone, &place.cell)).or_default().push(unit);
            }
        }
        // The first of each zone, then the second; within a zone its cells take turns.
        let mut zones: BTreeMap<&str, Vec<Vec<&UnitName>>> = BTreeMap::new();
        for ((zone, _), units) in places {
            zones.entry(zone).or_default().push(units);
        }
        let mut in_turn: Vec<Vec<&UnitName>> = zones.into_values().map(take_turns).collect();
        let order = take_turns(std::mem::take(&mut in_turn));
        let all = order.len() as u32;
        let (mut waves, mut rest) = (Vec::new(), order.into_iter().cloned());
        for at in 0.. {
            let size = self.waves.get(at).or(self.waves.last()).map_or(1, |wave| wave.up(all).max(1));
            let wave: Vec<UnitName> = rest.by_ref().take(size as usize).collect();
            if wave.is_empty() {
                break;
            }
            waves.push(wave);
        }
        waves
    }
}

fn take_turns(lists: Vec<Vec<&UnitName>>) -> Vec<&UnitName> {
    let longest = lists.iter().map(Vec::len).max().unwrap_or(0);
    (0..longest).flat_map(|at| lists.iter().filter_map(move |list| list.get(at).copied())).collect()
}
