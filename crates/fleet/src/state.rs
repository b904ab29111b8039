//! What is agreed: the state that every node derives from the same entries, and what each entry does to it.
//!
//! An entry is judged where it stands in the log, never by what its writer believed. Nothing here knows the time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fault_injection::{InjectedFault, is_injected};
use crate::hosts::{Host, HostLine};
use crate::policy::{Act, FleetPolicy, OnHalt, Plan, UnitName};

/// Number of a leave to be out; it only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease(pub u64);

/// One process of a node, drawn anew at each start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// How often a voter's store was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BootCount(pub u64);

/// Given by whoever asks; said again, the same question has the same answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub String);

/// Whose question, and which: a grant that answers another finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce {
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    pub count: u64,
}

/// How calls ended at a node of late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    pub calls: u32,
    pub failed: u32,
    pub busy: u32,
    pub waiting: u32,
    pub hosts_down: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// An operator wants it out until it is activated.
    Drain,
    Release(u64),
    /// An operator's, beyond the limits.
    Override,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnitState {
    Serving,
    /// It counts as out, and may ask to begin.
    Granted {
        #[serde(rename = "permit")]
        lease: Lease,
        cause: Cause,
    },
    /// It may be out from here on.
    Begun {
        #[serde(rename = "permit")]
        lease: Lease,
        cause: Cause,
        nonce: Nonce,
        before: CallCounts,
    },
    /// It is to take clients again.
    Returning {
        #[serde(rename = "permit")]
        lease: Lease,
        cause: Cause,
    },
}

impl UnitState {
    pub fn lease(&self) -> Option<Lease> {
        match self {
            UnitState::Serving => None,
            UnitState::Granted { lease, .. }
            | UnitState::Begun { lease, .. }
            | UnitState::Returning { lease, .. } => Some(*lease),
        }
    }

    pub fn cause(&self) -> Option<Cause> {
        match self {
            UnitState::Serving => None,
            UnitState::Granted { cause, .. }
            | UnitState::Begun { cause, .. }
            | UnitState::Returning { cause, .. } => Some(*cause),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unit {
    #[serde(rename = "standing")]
    pub unit_state: UnitState,
    /// Nobody of the group hears it, or it was never seen to serve.
    pub lost: bool,
    /// How often it was called lost.
    pub term: u64,
    /// An operator vouches that its process runs no more; until it is seen again.
    pub dead: bool,
    /// What it was last seen to run.
    pub version: String,
}

impl Unit {
    pub fn is_out(&self) -> bool {
        self.lost || self.unit_state != UnitState::Serving
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseState {
    Running,
    Halted(String),
    Finished,
}

/// A unit that a release has changed, or is to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedUnit {
    pub unit: UnitName,
    /// What it ran before.
    pub before: String,
    #[serde(rename = "rates")]
    pub call_counts: CallCounts,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    pub number: u64,
    pub plan: Plan,
    #[serde(rename = "course")]
    pub release_state: ReleaseState,
    /// Who goes when; on the way back, one wave of all that were changed, newest first.
    pub waves: Vec<Vec<UnitName>>,
    pub wave: usize,
    /// Of the waves so far, in the order of their coming back.
    pub done: Vec<ChangedUnit>,
    /// Left out while they went to be changed.
    pub began: BTreeMap<UnitName, ChangedUnit>,
    /// It leads back: what each unit is to run.
    pub back: Option<BTreeMap<UnitName, String>>,
}

impl Release {
    pub fn is_running(&self) -> bool {
        self.release_state == ReleaseState::Running
    }

    /// What a unit is to run after this release.
    pub fn wanted(&self, unit: &UnitName) -> &str {
        match &self.back {
            Some(back) => back.get(unit).map_or("", String::as_str),
            None => &self.plan.version,
        }
    }

    pub fn is_done(&self, unit: &UnitName) -> bool {
        self.done.iter().any(|changed| changed.unit == *unit)
    }

    /// Whose turn it is, in order.
    pub fn turns(&self) -> impl Iterator<Item = &UnitName> {
        self.waves.get(self.wave).into_iter().flatten().filter(|unit| !self.is_done(unit))
    }
}

/// A voter's place in one epoch. Its number is never given twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSlot {
    pub number: u64,
    pub name: UnitName,
    /// Given anew to this process, after its disk had failed it; 0 for the seats of the founding.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// What an entry asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The first of all.
    Bootstrap(Box<FleetPolicy>),
    /// Nothing, but its being decided says that the state is the newest.
    Confirm,
    Drain {
        unit: UnitName,
    },
    /// Beyond the limits, for one unit at a time.
    Override {
        unit: UnitName,
        reason: String,
    },
    Activate {
        unit: UnitName,
    },
    StartRelease {
        plan: Box<Plan>,
    },
    Halt {
        why: String,
    },
    Resume,
    RollBack,
    /// The leader: it is this unit's turn.
    GrantTurn {
        release: u64,
        unit: UnitName,
    },
    /// The unit: it goes out, unless the lease is gone.
    BeginDrain {
        unit: UnitName,
        lease: Lease,
        nonce: Nonce,
        call_counts: CallCounts,
    },
    /// The leader: it was seen to serve for the time of watching.
    MarkServing {
        unit: UnitName,
        lease: Option<Lease>,
        version: String,
    },
    MarkLost {
        unit: UnitName,
    },
    /// An operator: no process of this lost unit runs any more.
    ConfirmDead {
        unit: UnitName,
    },
    /// The leader: what its list says of hosts by now.
    UpdateHosts {
        lines: Vec<HostLine>,
    },
    /// The leader: no node holds anything there.
    MarkHostEmpty {
        host: UnitName,
        lease: Lease,
    },
    /// The leader: all nodes have heard that they may use it.
    MarkHostReturned {
        host: UnitName,
        lease: Lease,
    },
    /// The leader: the wave has been watched.
    AdvanceWave {
        release: u64,
        wave: usize,
    },
    /// One voter's place goes to another node for good, once that is heard to have an empty store.
    ReplaceVoter {
        old: UnitName,
        new: UnitName,
    },
    /// The leader: the epoch ends, and the next has these seats.
    Reconfigure {
        voter_slots: Vec<VoterSlot>,
    },
    /// The leader: which voters it hears, in which incarnations.
    LeaderStarted {
        voters: Vec<(UnitName, BootCount)>,
    },
}

impl Command {
    /// Only the leader itself proposes these.
    pub fn is_leader_only(&self) -> bool {
        match self {
            Command::Bootstrap(_)
            | Command::GrantTurn { .. }
            | Command::MarkServing { .. }
            | Command::MarkLost { .. }
            | Command::UpdateHosts { .. }
            | Command::MarkHostEmpty { .. }
            | Command::MarkHostReturned { .. }
            | Command::AdvanceWave { .. }
            | Command::Reconfigure { .. }
            | Command::LeaderStarted { .. } => true,
            Command::Confirm
            | Command::Drain { .. }
            | Command::Override { .. }
            | Command::Activate { .. }
            | Command::StartRelease { .. }
            | Command::Halt { .. }
            | Command::Resume
            | Command::RollBack
            | Command::BeginDrain { .. }
            | Command::ConfirmDead { .. }
            | Command::ReplaceVoter { .. } => false,
        }
    }
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub id: Option<RequestId>,
    pub command: Command,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandResult {
    Done(String),
    Refused(String),
}

/// An operator's doing beyond the limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverrideRecord {
    pub unit: UnitName,
    pub reason: String,
    #[serde(rename = "permit")]
    pub lease: Lease,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Entries applied, over all epochs.
    pub applied: u64,
    pub epoch: u32,
    /// Entries applied before this epoch.
    pub epoch_began: u64,
    #[serde(rename = "seats")]
    pub voter_slots: Vec<VoterSlot>,
    /// How often another name has come to hold a seat.
    #[serde(rename = "seats_changed")]
    pub voter_slots_changed: u32,
    #[serde(rename = "next_seat")]
    pub next_voter_slot: u64,
    #[serde(rename = "charter")]
    pub policy: Option<FleetPolicy>,
    pub units: BTreeMap<UnitName, Unit>,
    pub hosts: BTreeMap<UnitName, Host>,
    #[serde(rename = "next_permit")]
    pub next_lease: u64,
    pub releases: u64,
    pub release: Option<Release>,
    pub overrides: Vec<OverrideRecord>,
    /// Which voter is to give its place to which node.
    replace: Option<(UnitName, UnitName)>,
    /// The voters' incarnations as leaders heard them.
    pub voters: BTreeMap<UnitName, BootCount>,
    answers: VecDeque<(RequestId, CommandResult)>,
}

/// Answers kept for those who ask again; more than operators and scripts ask in the minutes that they try again.
const ANSWERS: usize = 128;

/// Overrides kept to be shown.
const OVERRIDES: usize = 32;

pub(crate) fn done(text: impl Into<String>) -> CommandResult {
    CommandResult::Done(text.into())
}

pub(crate) fn refused(text: impl Into<String>) -> CommandResult {
    CommandResult::Refused(text.into())
}

impl State {
    /// Before the founding, with the first voters.
    pub fn before_founding(voters: &[UnitName]) -> State {
        let voter_slots: Vec<VoterSlot> = voters
            .iter()
            .enumerate()
            .map(|(at, name)| VoterSlot {
                number: at as u64 + 1,
                name: name.clone(),
                incarnation: Incarnation(0),
            })
            .collect();
        State {
            applied: 0,
            epoch: 1,
            epoch_began: 0,
            next_voter_slot: voter_slots.len() as u64 + 1,
            voter_slots,
            voter_slots_changed: 0,
            policy: None,
            units: BTreeMap::new(),
            hosts: BTreeMap::new(),
            next_lease: 1,
            releases: 0,
            release: None,
            overrides: Vec::new(),
            replace: None,
            voters: BTreeMap::new(),
            answers: VecDeque::new(),
        }
    }

    pub fn answer(&self, id: &RequestId) -> Option<&CommandResult> {
        self.answers.iter().rev().find(|(known, _)| known == id).map(|(_, answer)| answer)
    }

    pub fn voter_slot_of(&self, name: &UnitName) -> Option<&VoterSlot> {
        self.voter_slots.iter().find(|voter_slot| voter_slot.name == *name)
    }

    /// Units that may be out, that are lost, or may be on their way.
    pub fn out(&self) -> impl Iterator<Item = (&UnitName, &Unit)> {
        self.units.iter().filter(|(_, unit)| unit.is_out())
    }

    pub fn lost(&self) -> usize {
        self.units.values().filter(|unit| unit.lost && unit.unit_state == UnitState::Serving).count()
    }

    /// Whether one more may go out, or which limit stands against it.
    fn room(&self, name: &UnitName) -> Result<(), String> {
        let Some(policy) = &self.policy else { return Err("the group is not founded".into()) };
        let Some(unit) = self.units.get(name) else { return Err(format!("no unit {name}")) };
        if unit.unit_state != UnitState::Serving {
            return Err(format!("{name} is out already"));
        }
        if unit.lost {
            return Err(format!("{name} is not heard, or was not seen to serve yet"));
        }
        let counts = |unit: &Unit| match is_injected(InjectedFault::LostNotCounted) {
            true => unit.unit_state != UnitState::Serving,
            false => unit.is_out(),
        };
        for (scope, limit, units) in policy.scopes_of(name) {
            let out = units.iter().filter(|name| self.units.get(name).is_some_and(counts)).count() as u32;
            let room = limit.room(units.len() as u32);
            if out + 1 > room {
                return Err(format!(
                    "{out} of {} units in {scope} are out, at most {room} may be",
                    units.len()
                ));
            }
        }
        Ok(())
    }

    /// A zone's last units never go together, whatever the limits say, while there is another zone's to wait for.
    fn is_last_of_zone(&self, name: &UnitName) -> bool {
        let Some(policy) = &self.policy else { return false };
        let Some(place) = policy.units.get(name) else { return false };
        let mut of_zone =
            policy.units.iter().filter(|(_, other)| other.zone == place.zone).map(|(name, _)| name);
        of_zone.clone().count() > 1
            && of_zone.all(|other| other == name || self.units.get(other).is_some_and(Unit::is_out))
    }

    fn grant(&mut self, name: &UnitName, cause: Cause) -> Lease {
        let lease = Lease(self.next_lease);
        self.next_lease += 1;
        if let Some(unit) = self.units.get_mut(name) {
            unit.unit_state = UnitState::Granted { lease, cause };
        }
        lease
    }

    /// Takes one entry. The same entries in the same order give the same state, to the byte.
    pub fn apply(&mut self, entry: &Entry) -> Option<CommandResult> {
        self.applied += 1;
        if let Some(known) = entry.id.as_ref().and_then(|id| self.answer(id)) {
            return Some(known.clone());
        }
        let answer = self.carry_out(&entry.command);
        if let Some(id) = &entry.id {
            // A refusal is not kept: asked again later, there may be room.
            if matches!(answer, CommandResult::Done(_))
                || matches!(entry.command, Command::StartRelease { .. })
            {
                self.answers.push_back((id.clone(), answer.clone()));
                if self.answers.len() > ANSWERS {
                    self.answers.pop_front();
                }
            }
        }
        Some(answer)
    }

    fn carry_out(&mut self, command: &Command) -> CommandResult {
        match command {
            Command::Bootstrap(policy) => self.found(policy),
            Command::Confirm => done("confirmed"),
            Command::Drain { unit } if !self.units.contains_key(unit) => self.drain_host(unit),
            Command::Drain { unit } => match self.room(unit) {
                Ok(()) => {
                    let lease = self.grant(unit, Cause::Drain);
                    done(format!("{unit} may go out, permit {}", lease.0))
                }
                Err(why) => refused(why),
            },
            Command::Override { unit, reason } => self.go_beyond(unit, reason),
            Command::Activate { unit } if !self.units.contains_key(unit) => self.activate_host(unit),
            Command::Activate { unit } => self.activate(unit),
            Command::ConfirmDead { unit } => match self.units.get_mut(unit) {
                Some(of) if of.lost => {
                    of.dead = true;
                    done(format!("{unit} is taken for dead until it is seen again"))
                }
                Some(_) => refused(format!("{unit} is heard")),
                None => refused(format!("no unit {unit}")),
            },
            Command::UpdateHosts { lines } => self.take_lines(lines),
            Command::MarkHostEmpty { host, lease } => self.emptied(host, *lease),
            Command::MarkHostReturned { host, lease } => self.host_back(host, *lease),
            Command::StartRelease { plan } => self.start(plan),
            Command::Halt { why } => self.halt(why),
            Command::Resume => self.resume(),
            Command::RollBack => self.go_back(),
            Command::GrantTurn { release, unit } => self.turn(*release, unit),
            Command::BeginDrain { unit, lease, nonce, call_counts } => {
                self.begin(unit, *lease, *nonce, *call_counts)
            }
            Command::MarkServing { unit, lease, version } => self.seen(unit, *lease, version),
            Command::MarkLost { unit } => match self.units.get_mut(unit) {
                Some(unit) => {
                    // What it had in hand is others' from here on.
                    unit.term += u64::from(!unit.lost);
                    unit.lost = true;
                    done("lost")
                }
                None => refused("no such unit"),
            },
            Command::AdvanceWave { release, wave } => self.pass(*release, *wave),
            Command::ReplaceVoter { old, new } => self.replace(old, new),
            // Taken out by whoever reads the log, as the end of its epoch.
            Command::Reconfigure { .. } => refused("no entry for this state"),
            Command::LeaderStarted { voters } => self.reign(voters),
        }
    }

    fn found(&mut self, policy: &FleetPolicy) -> CommandResult {
        if self.policy.is_some() {
            return refused("the group is founded already");
        }
        // Danger: a unit that nobody has seen yet would count as serving, and another would be let out for it.
        let fresh =
            Unit { unit_state: UnitState::Serving, lost: true, term: 0, dead: false, version: String::new() };
        self.units = policy.units.keys().map(|name| (name.clone(), fresh.clone())).collect();
        self.policy = Some(policy.clone());
        done("founded")
    }

    fn go_beyond(&mut self, name: &UnitName, reason: &str) -> CommandResult {
        let over = |unit: &Unit| unit.unit_state.cause() == Some(Cause::Override);
        let host_over = |host: &Host| host.held.is_some_and(|held| held.cause == Cause::Override);
        let units = self.units.iter().filter(|(_, unit)| over(unit)).map(|(name, _)| name);
        let mut hosts = self.hosts.iter().filter(|(_, host)| host_over(host)).map(|(name, _)| name);
        if let Some(other) = units.chain(&mut hosts).next() {
            return refused(format!("{other} is out beyond the limits already, one may be at a time"));
        }
        if reason.trim().is_empty() {
            return refused("an override needs a reason");
        }
        match self.units.get(name) {
            Some(unit) if unit.unit_state == UnitState::Serving => {
                let lease = self.grant(name, Cause::Override);
                self.record(name, reason, lease)
            }
            Some(_) => refused(format!("{name} is out already")),
            None => match self.hold_host_beyond(name) {
                Ok(lease) => self.record(name, reason, lease),
                Err(why) => refused(why),
            },
        }
    }

    fn record(&mut self, name: &UnitName, reason: &str, lease: Lease) -> CommandResult {
        self.overrides.push(OverrideRecord { unit: name.clone(), reason: reason.to_owned(), lease });
        if self.overrides.len() > OVERRIDES {
            self.overrides.remove(0);
        }
        done(format!("{name} may go out beyond the limits, permit {}", lease.0))
    }

    fn activate(&mut self, name: &UnitName) -> CommandResult {
        let Some(unit) = self.units.get_mut(name) else { return refused(format!("no unit {name}")) };
        match unit.unit_state.clone() {
            UnitState::Serving | UnitState::Returning { .. } => done(format!("{name} is not held out")),
            UnitState::Granted { .. } => {
                unit.unit_state = UnitState::Serving;
                done(format!("{name} never began"))
            }
            UnitState::Begun { lease, cause, .. } => {
                unit.unit_state = UnitState::Returning { lease, cause };
                done(format!("{name} takes clients again"))
            }
        }
    }

    fn start(&mut self, plan: &Plan) -> CommandResult {
        let Some(policy) = &self.policy else { return refused("the group is not founded") };
        if let Err(fault) = plan.check(policy) {
            return refused(fault.to_string());
        }
        if let Some(release) =
            self.release.as_ref().filter(|release| release.release_state != ReleaseState::Finished)
        {
            return refused(format!("release {} is not finished", release.number));
        }
        let waves = plan.split(policy);
        self.releases += 1;
        self.release = Some(Release {
            number: self.releases,
            plan: plan.clone(),
            release_state: ReleaseState::Running,
            waves,
            wave: 0,
            done: Vec::new(),
            began: BTreeMap::new(),
            back: None,
        });
        done(format!("release {}", self.releases))
    }

    fn halt(&mut self, why: &str) -> CommandResult {
        let Some(release) =
            self.release.as_mut().filter(|release| release.release_state != ReleaseState::Finished)
        else {
            return refused("no release goes on");
        };
        if !matches!(release.release_state, ReleaseState::Halted(_)) {
            release.release_state = ReleaseState::Halted(why.to_owned());
        }
        let (number, on_halt) = (release.number, release.plan.on_halt);
        for unit in self.units.values_mut() {
            match unit.unit_state.clone() {
                // Whoever has not begun finds no lease from here on.
                UnitState::Granted { cause: Cause::Release(of), .. } if of == number => {
                    unit.unit_state = UnitState::Serving;
                }
                UnitState::Begun { lease, cause: cause @ Cause::Release(of), .. }
                    if of == number && on_halt == OnHalt::Return =>
                {
                    unit.unit_state = UnitState::Returning { lease, cause };
                }
                _ => {}
            }
        }
        done("halted")
    }

    fn resume(&mut self) -> CommandResult {
        match self.release.as_mut() {
            Some(release) if matches!(release.release_state, ReleaseState::Halted(_)) => {
                release.release_state = ReleaseState::Running;
                done(format!("release {} goes on", release.number))
            }
            _ => refused("no release is halted"),
        }
    }

    /// The way back is a release of its own, under the same limits: newest first.
    fn go_back(&mut self) -> CommandResult {
        let Some(release) = &self.release else { return refused("there was no release") };
        if release.is_running() {
            return refused(format!("release {} is running, halt it first", release.number));
        }
        if release.back.is_some() {
            return refused(format!("release {} leads back already, resume it", release.number));
        }
        let mut changed: Vec<&ChangedUnit> = release.done.iter().rev().collect();
        // Units that are still out may come back as either version.
        changed.splice(0..0, release.began.values());
        let back: BTreeMap<UnitName, String> =
            changed.iter().map(|changed| (changed.unit.clone(), changed.before.clone())).collect();
        let mut seen = BTreeSet::new();
        let order: Vec<UnitName> = changed
            .iter()
            .map(|changed| changed.unit.clone())
            .filter(|unit| seen.insert(unit.clone()))
            .collect();
        let (from, plan) = (release.number, release.plan.clone());
        self.releases += 1;
        let number = self.releases;
        // Those that only drained are taken back at once: that lets nobody out.
        for unit in self.units.values_mut() {
            match unit.unit_state.clone() {
                UnitState::Begun { lease, cause: Cause::Release(of), .. } if of == from => {
                    unit.unit_state = UnitState::Returning { lease, cause: Cause::Release(number) };
                }
                UnitState::Returning { lease, cause: Cause::Release(of) } if of == from => {
                    unit.unit_state = UnitState::Returning { lease, cause: Cause::Release(number) };
                }
                _ => {}
            }
        }
        self.release = Some(Release {
            number,
            plan,
            release_state: if order.is_empty() { ReleaseState::Finished } else { ReleaseState::Running },
            waves: vec![order],
            wave: 0,
            done: Vec::new(),
            began: BTreeMap::new(),
            back: Some(back),
        });
        done(format!("release {number} leads back"))
    }

    fn turn(&mut self, number: u64, name: &UnitName) -> CommandResult {
        let Some(release) = self.release.as_ref().filter(|release| release.number == number) else {
            return refused("no such release");
        };
        if !release.is_running() && !is_injected(InjectedFault::TurnWhileHalted) {
            return refused("it does not run");
        }
        if !release.turns().any(|unit| unit == name) {
            return refused(format!("it is not {name}'s turn"));
        }
        if self.is_last_of_zone(name) {
            return refused(format!("{name} is the last of its zone"));
        }
        match self.room(name) {
            Ok(()) => {
                let lease = self.grant(name, Cause::Release(number));
                done(format!("permit {}", lease.0))
            }
            Err(why) => refused(why),
        }
    }

    fn begin(
        &mut self,
        name: &UnitName,
        lease: Lease,
        nonce: Nonce,
        call_counts: CallCounts,
    ) -> CommandResult {
        let Some(unit) = self.units.get_mut(name) else { return refused("no such unit") };
        let (cause, before) = match &unit.unit_state {
            UnitState::Granted { lease: mine, cause } if *mine == lease => (*cause, call_counts),
            // Asked again, for want of an answer in time, or by the next process of a drained node. Danger: the next
            // process of one that left to be changed may know the log only up to its grant, and would leave again.
            UnitState::Begun { lease: mine, cause, before, nonce: begun } if *mine == lease => {
                if matches!(cause, Cause::Release(_)) && begun.incarnation != nonce.incarnation {
                    return refused("another process of it has begun");
                }
                (*cause, *before)
            }
            _ if is_injected(InjectedFault::OldLeaseBegins) => (Cause::Drain, call_counts),
            _ => return refused("that permit is not in force"),
        };
        if let Cause::Release(number) = cause {
            let Some(release) = self.release.as_mut().filter(|release| release.number == number) else {
                return refused("that release is over");
            };
            if !release.is_running() && !is_injected(InjectedFault::HaltForgotten) {
                return refused("it is halted");
            }
            let version = unit.version.clone();
            let fresh = ChangedUnit { unit: name.clone(), before: version, call_counts: before };
            release.began.entry(name.clone()).or_insert(fresh);
        }
        unit.unit_state = UnitState::Begun { lease, cause, nonce, before };
        done("begun")
    }

    fn seen(&mut self, name: &UnitName, lease: Option<Lease>, version: &str) -> CommandResult {
        let Some(unit) = self.units.get_mut(name) else { return refused("no such unit") };
        if unit.unit_state.lease() != lease {
            return refused("it stands otherwise by now");
        }
        let cause = unit.unit_state.cause();
        unit.unit_state = UnitState::Serving;
        (unit.lost, unit.dead) = (false, false);
        unit.version = version.to_owned();
        let Some(Cause::Release(number)) = cause else { return done("serving") };
        let Some(release) = self.release.as_mut().filter(|release| release.number == number) else {
            return done("serving");
        };
        let began = release.began.remove(name);
        let wanted = release.wanted(name).to_owned();
        // On the way back a unit may come to what it is to run without a turn of its own.
        let (drains, is_back) = (release.plan.act == Act::Drain, release.back.is_some());
        if drains || version == wanted {
            let fallback = ChangedUnit {
                unit: name.clone(),
                before: version.to_owned(),
                call_counts: CallCounts::default(),
            };
            if !release.is_done(name) && (is_back || began.is_some()) {
                release.done.push(began.unwrap_or(fallback));
            }
        } else if release.is_running() && began.is_some() {
            let why = format!("{name} came back as {version:?}, wanted {wanted:?}");
            return self.halt(&why);
        }
        done("serving")
    }

    fn pass(&mut self, number: u64, wave: usize) -> CommandResult {
        let Some(release) = self.release.as_mut().filter(|release| release.number == number) else {
            return refused("no such release");
        };
        if !release.is_running() || release.wave != wave || release.turns().next().is_some() {
            return refused("not now");
        }
        release.wave += 1;
        if release.wave >= release.waves.len() {
            release.release_state = ReleaseState::Finished;
        }
        done("passed")
    }

    /// Danger: after a loss of all processes at once nobody remembers what was going on when it happened, and a
    /// release that went on by itself could be what had brought it about. It stands halted where it stood.
    fn reign(&mut self, voters: &[(UnitName, BootCount)]) -> CommandResult {
        let planned = |name: &UnitName| {
            self.units.get(name).is_some_and(|unit| matches!(unit.unit_state, UnitState::Begun { .. }))
        };
        let anew = |(name, boot_count): &(UnitName, BootCount)| {
            self.voters.get(name).is_some_and(|known| known < boot_count)
        };
        // One that was to be started anew is no sign of a loss by itself: it may be the only voter there is.
        let all = voters.iter().all(anew) && voters.iter().any(|(name, _)| !planned(name));
        for (name, boot_count) in voters {
            self.voters.insert(name.clone(), *boot_count);
        }
        let running = self.release.as_ref().is_some_and(Release::is_running);
        if all && running && !is_injected(InjectedFault::HaltNotKept) {
            return self.halt("all voters were started anew at once");
        }
        done("noted")
    }

    fn replace(&mut self, old: &UnitName, new: &UnitName) -> CommandResult {
        if self.voter_slot_of(old).is_none() {
            return refused(format!("{old} holds no seat"));
        }
        if self.voter_slot_of(new).is_some() {
            return refused(format!("{new} holds a seat already"));
        }
        if !self.units.contains_key(new) {
            return refused(format!("no unit {new}"));
        }
        self.replace = Some((old.clone(), new.clone()));
        done(format!("{new} takes the place of {old} once it is heard with an empty store"))
    }

    pub fn replacing(&self) -> Option<(&UnitName, &UnitName)> {
        self.replace.as_ref().map(|(old, new)| (old, new))
    }

    /// The next epoch's seats, one of them given anew.
    pub fn reseat(&mut self, voter_slots: Vec<VoterSlot>) {
        self.applied += 1;
        self.epoch += 1;
        self.epoch_began = self.applied;
        self.next_voter_slot = voter_slots
            .iter()
            .map(|voter_slot| voter_slot.number + 1)
            .max()
            .unwrap_or(1)
            .max(self.next_voter_slot);
        let names = |voter_slots: &[VoterSlot]| {
            voter_slots.iter().map(|voter_slot| voter_slot.name.clone()).collect::<BTreeSet<_>>()
        };
        self.voter_slots_changed += u32::from(names(&self.voter_slots) != names(&voter_slots));
        self.voter_slots = voter_slots;
        if self.replacing().is_some_and(|(_, new)| self.voter_slot_of(new).is_some()) {
            self.replace = None;
        }
    }
}
