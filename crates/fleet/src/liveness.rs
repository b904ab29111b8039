//! Liveness of units, derived from their heartbeats.

use std::collections::BTreeMap;

use crate::Timestamp;
use crate::message::Heartbeat;
use crate::policy::UnitName;
use crate::state::Incarnation;
use crate::timing::{ALIVE_MS, LOST_MS};

/// How a heartbeat reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    /// Directly from its sender.
    Direct,
    /// Through another voter.
    Relayed,
}

/// Liveness record of one unit.
#[derive(Clone, Debug)]
pub(crate) struct UnitLiveness {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// The latest time, by this node's clock, at which the unit is known to have been alive.
    pub alive_at: Timestamp,
    /// When the last heartbeat that proved its sender alive was received.
    received_at: Timestamp,
    /// Start of the current period of uninterrupted serving by one process and version.
    pub serving_since: Option<Timestamp>,
    /// Another process with the same name, and when it was last known to be alive.
    other_process: Option<(Incarnation, Timestamp)>,
    /// When both processes were last found to be alive.
    pub duplicate_since: Option<Timestamp>,
    /// How the last heartbeat arrived.
    pub source: HeartbeatSource,
}

impl UnitLiveness {
    fn first(
        heartbeat: Heartbeat,
        proved_at: Option<Timestamp>,
        now: Timestamp,
        source: HeartbeatSource,
    ) -> UnitLiveness {
        let serving_since = proved_at.filter(|_| is_serving(&heartbeat)).map(|_| now);
        UnitLiveness {
            heartbeat,
            alive_at: proved_at.unwrap_or_default(),
            received_at: now,
            serving_since,
            other_process: None,
            duplicate_since: None,
            source,
        }
    }

    fn next(
        self,
        heartbeat: Heartbeat,
        proved_at: Option<Timestamp>,
        now: Timestamp,
        source: HeartbeatSource,
    ) -> UnitLiveness {
        let alive_at = proved_at.unwrap_or_default().max(self.alive_at);
        let is_same_process = self.heartbeat.incarnation == heartbeat.incarnation;
        let is_same_version = self.heartbeat.version == heartbeat.version;
        // Delayed heartbeats arrive in a burst, each proving a later time, which would look like a long
        // period of serving. So a period starts when a heartbeat is received, and ends at the latest time
        // that a heartbeat proves.
        let is_unbroken = is_same_process && is_same_version && now.ms_since(self.received_at) < ALIVE_MS;
        let mut other_process = self.other_process;
        let mut duplicate_since =
            self.duplicate_since.filter(|since| alive_at.ms_since(*since) < 2 * LOST_MS);
        if !is_same_process {
            // Heartbeats of two processes with one name alternate, and each would count as proof that the
            // other is alive.
            let was_here = other_process.is_some_and(|(other, _)| other == heartbeat.incarnation);
            if proved_at.is_some() && was_here {
                duplicate_since = Some(alive_at);
            }
            other_process = Some((self.heartbeat.incarnation, self.alive_at));
        }
        let is_serving = is_serving(&heartbeat);
        let serving_since = match self.serving_since {
            Some(since) if is_serving && is_unbroken && duplicate_since.is_none() => Some(since),
            Some(_) | None => proved_at.filter(|_| is_serving).map(|_| now),
        };
        let received_at = if proved_at.is_some() { now } else { self.received_at };
        UnitLiveness {
            heartbeat,
            alive_at,
            received_at,
            serving_since,
            other_process,
            duplicate_since,
            source,
        }
    }

    /// Whether another process of the unit was heard recently enough that it may still be running beside the one
    /// that was heard last.
    pub(crate) fn has_other_process(&self, now: Timestamp) -> bool {
        self.other_process.is_some_and(|(_, alive_at)| now.ms_since(alive_at) < LOST_MS)
    }

    /// Whether this process of the unit was heard recently enough that it may still be running.
    pub(crate) fn may_still_run(&self, incarnation: Incarnation, now: Timestamp) -> bool {
        self.heartbeat.incarnation == incarnation
            || self
                .other_process
                .is_some_and(|(other, alive_at)| other == incarnation && now.ms_since(alive_at) < LOST_MS)
    }
}

fn is_serving(heartbeat: &Heartbeat) -> bool {
    heartbeat.serving && heartbeat.out.is_none()
}

/// Liveness records of all units that sent a heartbeat.
#[derive(Default)]
pub(crate) struct Liveness {
    units: BTreeMap<UnitName, UnitLiveness>,
}

impl Liveness {
    /// Records a heartbeat, which proves that its sender was alive at `proved_at`, or proves nothing if that
    /// is `None`.
    pub(crate) fn record(
        &mut self,
        name: &UnitName,
        heartbeat: Heartbeat,
        proved_at: Option<Timestamp>,
        now: Timestamp,
        source: HeartbeatSource,
    ) {
        let next = match self.units.remove(name) {
            Some(known) => known.next(heartbeat, proved_at, now, source),
            None => UnitLiveness::first(heartbeat, proved_at, now, source),
        };
        self.units.insert(name.clone(), next);
    }

    /// Records a heartbeat that another voter relayed, if it proves a later time than the one known.
    pub(crate) fn record_relayed(
        &mut self,
        name: &UnitName,
        heartbeat: Heartbeat,
        alive_at: Timestamp,
        now: Timestamp,
    ) {
        if self.units.get(name).is_none_or(|known| alive_at > known.alive_at) {
            self.record(name, heartbeat, Some(alive_at), now, HeartbeatSource::Relayed);
        }
    }

    /// The record of a unit, however old.
    pub(crate) fn get(&self, name: &UnitName) -> Option<&UnitLiveness> {
        self.units.get(name)
    }

    /// The record of a unit, if it counts as alive.
    pub(crate) fn alive(&self, name: &UnitName, now: Timestamp) -> Option<&UnitLiveness> {
        self.units.get(name).filter(|unit| now.ms_since(unit.alive_at) < ALIVE_MS)
    }

    /// All records, by unit name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&UnitName, &UnitLiveness)> {
        self.units.iter()
    }

    /// Whether two live processes use this name.
    pub(crate) fn is_duplicate(&self, name: &UnitName) -> bool {
        self.units.get(name).is_some_and(|unit| unit.duplicate_since.is_some())
    }
}
