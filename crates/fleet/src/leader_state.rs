//! What the leader looks after: who is lost or back, whose turn it is, when a release halts, and who sits.
//!
//! It only proposes. What an entry does is judged where it stands in the log, so that a leader that is none any more
//! does no harm.

use std::collections::BTreeMap;

use crate::fault_injection::{InjectedFault, is_injected};
use crate::group::{BEAT_MS, Fleet, Input};
use crate::hosts::HostWatch;
use crate::message::{Echo, Heartbeat, Message, VoterStatus};
use crate::policy::UnitName;
use crate::state::{
    BootCount, CallCounts, Cause, Command, Incarnation, Release, UnitState, VoterReplacement, VoterSlot,
};
use crate::{Timestamp, state::ReleaseState};

/// Nobody of the group has heard it for so long: five heartbeats.
pub const LOST_MS: u64 = 5_000;

/// Known to be there so lately, a unit is there. A heartbeat proves its sender's being there as of the word that it
/// answers, a heartbeat earlier; two may be late.
const FRESH_MS: u64 = 3_500;

/// A unit that was lost, or drained by an operator, is back after serving for so long.
const BACK_MS: u64 = 5_000;

/// The same is proposed again after this, if nothing has come of it.
const AGAIN_MS: u64 = 1_000;

/// What was heard of a unit.
#[derive(Clone, Debug)]
pub struct Heard {
    pub heartbeat: Heartbeat,
    /// It was there then or later, by our own clock.
    pub at: Timestamp,
    /// When that was heard.
    came: Timestamp,
    /// Since when it has served without a break, as the same process and version.
    pub serving_since: Option<Timestamp>,
    /// Another process that gave the same name, and when it was heard last.
    other: Option<(Incarnation, Timestamp)>,
    /// Both were heard in turn.
    pub doubled: Option<Timestamp>,
    /// It said so to this node itself.
    pub direct: bool,
}

impl Heard {
    /// A heartbeat that its sender said at this moment or later; nothing is proved by one that answers no word of ours.
    pub fn take(
        known: Option<Heard>,
        heartbeat: Heartbeat,
        proved: Option<Timestamp>,
        now: Timestamp,
        direct: bool,
    ) -> Heard {
        let serves = heartbeat.serving && heartbeat.out.is_none();
        let Some(known) = known else {
            let at = proved.unwrap_or_default();
            let serving_since = proved.filter(|_| serves).map(|_| now);
            return Heard { heartbeat, at, came: now, serving_since, other: None, doubled: None, direct };
        };
        let at = proved.unwrap_or_default().max(known.at);
        let same = known.heartbeat.incarnation == heartbeat.incarnation
            && known.heartbeat.version == heartbeat.version;
        // Danger: words that waited come all at once, each proving a later moment, and look like a long time of serving.
        // Since when it serves is reckoned from when that was heard, how long from what was proved.
        let unbroken = same && now.ms_since(known.came) < FRESH_MS;
        let came = if proved.is_some() { now } else { known.came };
        let mut other = known.other;
        let mut doubled = known.doubled.filter(|since| at.ms_since(*since) < 2 * LOST_MS);
        if known.heartbeat.incarnation != heartbeat.incarnation {
            // Danger: two processes under one name take turns in being heard, and each would vouch for the other.
            if proved.is_some() && other.is_some_and(|(incarnation, _)| incarnation == heartbeat.incarnation)
            {
                doubled = Some(at);
            }
            other = Some((known.heartbeat.incarnation, known.at));
        }
        let serving_since = match known.serving_since {
            Some(since) if serves && unbroken && doubled.is_none() => Some(since),
            _ => proved.filter(|_| serves).map(|_| now),
        };
        Heard { heartbeat, at, came, serving_since, other, doubled, direct }
    }

    /// The process of that life was heard so lately that it may go on.
    fn has_heard(&self, incarnation: Incarnation, now: Timestamp) -> bool {
        self.heartbeat.incarnation == incarnation
            || self.other.is_some_and(|(other, at)| other == incarnation && now.ms_since(at) < LOST_MS)
    }
}

#[derive(Default)]
pub struct LeaderState {
    /// Leading since then.
    since: Option<Timestamp>,
    /// Since when each unit stands as it does, and how far the log was then.
    stands: BTreeMap<UnitName, (UnitState, Timestamp, u64)>,
    proposed: BTreeMap<String, Timestamp>,
    /// The wave has nobody left to change, since then.
    clear: Option<((u64, usize), Timestamp)>,
    sought: Option<Timestamp>,
    reseated: Option<Timestamp>,
    /// Something was undecided at this length of the log, since then.
    undecided: Option<(u64, Timestamp)>,
}

impl Fleet {
    /// To be called a few times a second; does nothing unless this node leads.
    pub(crate) fn look_after(&mut self) {
        if !self.leads() {
            self.leader_state = LeaderState::default();
            self.host_watch = HostWatch::default();
            return;
        }
        self.leader_state.since.get_or_insert(self.now);
        self.nudge();
        if self.state.policy.is_none() {
            let policy = self.policy.clone();
            return self.suggest("found", Command::Bootstrap(Box::new(policy)));
        }
        self.note_unit_states();
        self.seek();
        if !self.reign() {
            return;
        }
        self.reseat();
        self.lose();
        self.see();
        self.look_after_hosts();
        self.steer();
    }

    /// Danger: a follower's answer that was lost is not asked for again by the library before the next entry, and there
    /// may be none. Asked to, the follower begins the round anew.
    fn nudge(&mut self) {
        let at = self.state.applied;
        match self.leader_state.undecided.filter(|(length, _)| self.has_undecided() && *length == at) {
            Some((_, since)) if self.now.ms_since(since) >= 2 * AGAIN_MS => {
                self.leader_state.undecided = None;
                for voter_slot in self.state.voter_slots.clone() {
                    if voter_slot.name != self.name {
                        self.send(&voter_slot.name, Message::Resync);
                    }
                }
            }
            Some(_) => {}
            None => self.leader_state.undecided = self.has_undecided().then_some((at, self.now)),
        }
    }

    fn suggest(&mut self, key: &str, command: Command) {
        let again = self.leader_state.proposed.get(key).is_none_or(|at| self.now.ms_since(*at) >= AGAIN_MS);
        if again {
            self.leader_state.proposed.insert(key.to_owned(), self.now);
            self.input(Input::Propose(crate::state::Entry { id: None, command }));
        }
    }

    fn note_unit_states(&mut self) {
        let (now, applied) = (self.now, self.state.applied);
        for (name, unit) in &self.state.units {
            match self.leader_state.stands.get_mut(name) {
                Some(known) if known.0 == unit.unit_state => {}
                // A begin said again starts nothing anew.
                Some(known) if known.0.lease() == unit.unit_state.lease() && known.0.lease().is_some() => {
                    let since =
                        if matches!(unit.unit_state, UnitState::Returning { .. }) { now } else { known.1 };
                    *known = (unit.unit_state.clone(), since, applied);
                }
                _ => drop(
                    self.leader_state.stands.insert(name.clone(), (unit.unit_state.clone(), now, applied)),
                ),
            }
        }
        self.leader_state.proposed.retain(|_, at| now.ms_since(*at) < 10 * AGAIN_MS);
    }

    pub(crate) fn fresh(&self, name: &UnitName) -> Option<&Heard> {
        self.heard.get(name).filter(|heard| self.now.ms_since(heard.at) < FRESH_MS)
    }

    /// Asks the other voters for those it does not hear itself: a link of its own may be cut.
    fn seek(&mut self) {
        if self.leader_state.sought.is_some_and(|at| self.now.ms_since(at) < AGAIN_MS) {
            return;
        }
        self.leader_state.sought = Some(self.now);
        let quiet = |name: &&UnitName| {
            self.heard
                .get(*name)
                .is_none_or(|heard| !heard.direct || self.now.ms_since(heard.at) > FRESH_MS - BEAT_MS)
        };
        let missing: Vec<UnitName> = self.state.units.keys().filter(quiet).cloned().collect();
        if !missing.is_empty() {
            for voter_slot in self.state.voter_slots.clone() {
                if voter_slot.name != self.name {
                    self.send(&voter_slot.name, Message::FindUnits(self.echo(), missing.clone()));
                }
            }
        }
    }

    pub(crate) fn sought(&mut self, from: &UnitName, echo: Echo, names: &[UnitName]) {
        let known = names.iter().filter_map(|name| {
            let heard = self.fresh(name).filter(|heard| heard.direct)?;
            Some((name.clone(), heard.heartbeat.clone(), self.now.ms_since(heard.at)))
        });
        let known: Vec<(UnitName, Heartbeat, u64)> = known.collect();
        if !known.is_empty() {
            self.send(from, Message::UnitsFound(echo, known));
        }
    }

    /// The seats whose holders are heard to sit, by name.
    fn sitting(&self) -> Vec<(UnitName, BootCount)> {
        let sits = |voter_slot: &VoterSlot| {
            if voter_slot.name == self.name {
                return Some((voter_slot.name.clone(), self.boot_count()));
            }
            let heard = self.fresh(&voter_slot.name)?;
            (heard.heartbeat.voter_status == VoterStatus::Active(voter_slot.number))
                .then(|| (voter_slot.name.clone(), heard.heartbeat.boot_count))
        };
        self.state.voter_slots.iter().filter_map(sits).collect()
    }

    /// Whether it is in the log which processes make up the group.
    pub(crate) fn has_reigned(&self) -> bool {
        let sitting = self.sitting();
        let known =
            |(name, boot_count): &(UnitName, BootCount)| self.state.voters.get(name) == Some(boot_count);
        sitting.len() * 2 > self.state.voter_slots.len() && sitting.iter().all(known)
    }

    /// Which processes make up the group is in the log before anything else is done. Whether it is by now.
    fn reign(&mut self) -> bool {
        let sitting = self.sitting();
        if sitting.len() * 2 <= self.state.voter_slots.len() {
            return false;
        }
        let known = self.has_reigned();
        if !known {
            self.suggest("reign", Command::LeaderStarted { voters: sitting });
        }
        known
    }

    /// A voter whose disk has failed it gets a seat anew; a long log ends with its epoch.
    fn reseat(&mut self) {
        if self.leader_state.reseated.is_some_and(|at| self.now.ms_since(at) < 5 * AGAIN_MS) {
            return;
        }
        let mut voter_slots = self.state.voter_slots.clone();
        let mut next = self.state.next_voter_slot;
        // One at a time: the others are a majority without it.
        let forgot = voter_slots.iter().position(|voter_slot| {
            let wants = |heard: &Heard| {
                heard.heartbeat.voter_status == VoterStatus::StateLost
                    && heard.heartbeat.incarnation != voter_slot.incarnation
            };
            self.fresh(&voter_slot.name).is_some_and(wants)
        });
        if let Some(voter_slot) = forgot.and_then(|at| voter_slots.get_mut(at))
            && let Some(heard) = self.fresh(&voter_slot.name)
        {
            (voter_slot.number, voter_slot.incarnation) = (next, heard.heartbeat.incarnation);
            next += 1;
        }
        let replaced = self.state.pending_replacement().and_then(|VoterReplacement { old, new }| {
            let at = voter_slots.iter().position(|voter_slot| voter_slot.name == *old)?;
            let heard = self.fresh(new).filter(|heard| {
                matches!(heard.heartbeat.voter_status, VoterStatus::Fresh | VoterStatus::StateLost)
            })?;
            Some((at, new.clone(), heard.heartbeat.incarnation))
        });
        if let Some((at, name, incarnation)) = replaced.filter(|_| next == self.state.next_voter_slot) {
            voter_slots[at] = VoterSlot { number: next, name, incarnation };
            next += 1;
        }
        let long = self.sitting_log_length() > self.longest_log;
        let kept: Vec<&VoterSlot> =
            voter_slots.iter().filter(|voter_slot| self.state.voter_slots.contains(voter_slot)).collect();
        let heard = self.sitting();
        let sound =
            kept.iter().filter(|voter_slot| heard.iter().any(|(name, _)| *name == voter_slot.name)).count();
        if (next != self.state.next_voter_slot || long) && sound * 2 > voter_slots.len() {
            self.leader_state.reseated = Some(self.now);
            self.input(Input::Reconfigure(voter_slots));
        }
    }

    /// Danger: a new leader may not know yet who was lost meanwhile, and would grant the room that those use up. Whoever
    /// has heard all that count as there, before it led, knows.
    pub(crate) fn may_grant(&self) -> bool {
        let there = |(name, unit): (&UnitName, &crate::state::Unit)| {
            // One that counts as serving and came back a moment ago, unseen, may have been away for long.
            let serves = |heard: &Heard| self.now.ms_since(heard.at) < LOST_MS && heard.heartbeat.serving;
            unit.is_out() || self.heard.get(name).is_some_and(serves)
        };
        self.leads() && (self.knows_the_lost() || self.state.units.iter().all(there))
    }

    /// Danger: a new leader has heard nobody yet, and would take the whole fleet for lost, or nobody.
    pub(crate) fn knows_the_lost(&self) -> bool {
        self.leader_state.since.is_some_and(|since| self.now.ms_since(since) >= LOST_MS)
    }

    fn lose(&mut self) {
        let now = self.now;
        if !self.knows_the_lost() {
            return;
        }
        let gone =
            |name: &UnitName| self.heard.get(name).is_none_or(|heard| now.ms_since(heard.at) >= LOST_MS);
        let lost: Vec<UnitName> = self
            .state
            .units
            .iter()
            .filter(|(name, unit)| !unit.lost && gone(name))
            .map(|(name, _)| name.clone())
            .collect();
        for unit in lost {
            self.suggest(&format!("lost {unit}"), Command::MarkLost { unit });
        }
    }

    /// How long a unit has to serve before it is back.
    fn watch_ms(&self, cause: Option<Cause>) -> u64 {
        match (cause, &self.state.release) {
            (Some(Cause::Release(_)), Some(release)) => u64::from(release.plan.watch_s) * 1_000,
            _ => BACK_MS,
        }
    }

    fn see(&mut self) {
        let now = self.now;
        let mut back = Vec::new();
        for (name, unit) in &self.state.units {
            let Some(heard) = self.fresh(name) else { continue };
            let Some((_, since, applied)) = self.leader_state.stands.get(name) else { continue };
            let cause = unit.unit_state.cause();
            let returned = match &unit.unit_state {
                UnitState::Serving => unit.lost || unit.version != heard.heartbeat.version,
                // Danger: its view may be older than this, and it may still go out by it.
                UnitState::Returning { .. } => heard.heartbeat.have.applied >= *applied,
                UnitState::Begun { nonce, cause: Cause::Release(_), .. } => {
                    heard.heartbeat.incarnation != nonce.incarnation
                        && !heard.has_heard(nonce.incarnation, now)
                }
                _ => false,
            };
            let watch = if is_injected(InjectedFault::BackWhenHeard) { 0 } else { self.watch_ms(cause) };
            let served = heard.serving_since.is_some_and(|from| {
                let from = if unit.unit_state == UnitState::Serving { from } else { from.max(*since) };
                heard.at.ms_since(from) >= watch && heard.at >= from
            });
            if (returned && served && heard.doubled.is_none())
                || (is_injected(InjectedFault::BackWhenHeard) && unit.is_out())
            {
                let (lease, version) = (unit.unit_state.lease(), heard.heartbeat.version.clone());
                back.push(Command::MarkServing { unit: name.clone(), lease, version });
            }
        }
        for command in back {
            if let Command::MarkServing { unit, .. } = &command {
                self.suggest(&format!("seen {unit}"), command);
            }
        }
    }

    /// The release: its halt before its next step.
    fn steer(&mut self) {
        let Some(release) =
            self.state.release.clone().filter(|release| release.release_state == ReleaseState::Running)
        else {
            self.leader_state.clear = None;
            return;
        };
        if let Some(why) = self.gate(&release) {
            return self.suggest(&format!("halt {}", release.number), Command::Halt { why });
        }
        let next = release.remaining_units().find(|name| {
            self.state
                .units
                .get(*name)
                .is_some_and(|unit| unit.unit_state == UnitState::Serving && !unit.lost)
        });
        if release.remaining_units().next().is_none() {
            let wave = (release.number, release.wave);
            let since = match self.leader_state.clear {
                Some((of, since)) if of == wave => since,
                _ => self.now,
            };
            self.leader_state.clear = Some((wave, since));
            if self.now.ms_since(since) >= u64::from(release.plan.watch_s) * 1_000 {
                let command = Command::AdvanceWave { release: release.number, wave: release.wave };
                self.suggest(&format!("pass {} {}", release.number, release.wave), command);
            }
        } else if let Some(unit) = next.filter(|_| self.may_grant()) {
            let key = format!("turn {} {unit}", release.number);
            let command = Command::GrantTurn { release: release.number, unit: unit.clone() };
            self.suggest(&key, command);
        }
    }

    /// Why the release has to halt, if it has to.
    fn gate(&self, release: &Release) -> Option<String> {
        let gates = &release.plan.gates;
        let lost = self.state.unplanned_losses();
        if lost > gates.most_lost as usize {
            return Some(format!("{lost} units are lost unplanned, at most {} may be", gates.most_lost));
        }
        for (name, (unit_state, since, _)) in &self.leader_state.stands {
            let ours = unit_state.cause() == Some(Cause::Release(release.number));
            if ours && self.now.ms_since(*since) >= u64::from(release.plan.unit_limit_s) * 1_000 {
                return Some(format!("{name} has been out for {} s", release.plan.unit_limit_s));
            }
        }
        // Danger: in a bad hour all units fail more than before. Only what those that were changed have more than
        // those that were not counts against the release.
        let enough = |call_counts: &CallCounts| call_counts.calls >= gates.least_calls.max(1);
        let share = |part: u32, call_counts: &CallCounts| {
            i64::from(part) * 1_000 / i64::from(call_counts.calls.max(1))
        };
        let unchanged: Vec<&CallCounts> = self
            .heard
            .iter()
            .filter(|(name, heard)| !release.is_done(name) && self.now.ms_since(heard.at) < FRESH_MS)
            .map(|(_, heard)| &heard.heartbeat.call_counts)
            .filter(|call_counts| enough(call_counts))
            .collect();
        let mean = |part: &dyn Fn(&CallCounts) -> u32| {
            let sum: i64 = unchanged.iter().map(|call_counts| share(part(call_counts), call_counts)).sum();
            if unchanged.is_empty() { 0 } else { sum / unchanged.len() as i64 }
        };
        let (failing, turning) =
            (mean(&|call_counts| call_counts.failed), mean(&|call_counts| call_counts.busy));
        for changed in &release.done {
            let Some(heard) = self.fresh(&changed.unit) else { continue };
            let (now, before) = (&heard.heartbeat.call_counts, &changed.call_counts);
            let more =
                |now: u32, before: u32, most: Option<u32>| most.is_some_and(|most| now > before + most);
            if more(now.waiting, before.waiting, gates.waiting) {
                let (now, before) = (now.waiting, before.waiting);
                return Some(format!("{}: {now} calls wait, {before} did before", changed.unit));
            }
            if more(now.hosts_down, before.hosts_down, gates.hosts_down) {
                let (now, before) = (now.hosts_down, before.hosts_down);
                return Some(format!("{}: {now} hosts are down to it, {before} were before", changed.unit));
            }
            if !enough(now) {
                continue;
            }
            let failed = share(now.failed, now);
            let most = share(before.failed, before).max(failing) + i64::from(gates.failures_per_thousand);
            if failed > most {
                return Some(format!("{}: {failed} of 1000 calls fail, at most {most} may", changed.unit));
            }
            let busy = share(now.busy, now);
            let most = share(before.busy, before).max(turning) + i64::from(gates.busy_per_thousand);
            if busy > most {
                return Some(format!(
                    "{}: {busy} of 1000 calls are turned away, at most {most} may be",
                    changed.unit
                ));
            }
        }
        None
    }
}
