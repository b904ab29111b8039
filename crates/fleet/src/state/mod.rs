//! The replicated state machine: what every node derives from the same log entries.
//!
//! An entry is judged where it stands in the log, never by what its writer believed. Nothing here knows the time, and
//! the same entries in the same order give the same state, to the byte.
//!
//! The types are in files of their own; [`State`] owns them, and `apply` holds what each command does to it.

mod apply;
mod command;
mod host;
mod ids;
mod release;
mod unit;
mod voter;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::policy::{FleetPolicy, HostSettings, UnitName};

pub use command::{Command, CommandResult, Entry, LimitedKind, LogStep, Refusal};
pub use host::{EndpointState, HoldState, Host, HostHold, HostUpdate, ListedHost};
pub use ids::{BootCount, Incarnation, Lease, Nonce, RequestId};
pub use release::{ChangedUnit, Release, ReleaseState};
pub use unit::{CallCounts, Cause, Unit, UnitState};
pub use voter::{VoterReplacement, VoterSlot};

/// An operator's drain beyond the limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverrideRecord {
    /// The unit or host.
    pub unit: UnitName,
    /// Why, in the operator's words.
    pub reason: String,
    /// The lease that was granted for it.
    #[serde(rename = "permit")]
    pub lease: Lease,
}

/// All that the fleet has agreed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Entries applied, over all epochs.
    pub applied: u64,
    /// Number of the log's epoch, from 1.
    pub epoch: u32,
    /// Entries applied before this epoch.
    pub epoch_began: u64,
    /// The voters of this epoch.
    #[serde(rename = "seats")]
    pub voter_slots: Vec<VoterSlot>,
    /// How often another node has become a voter.
    #[serde(rename = "seats_changed")]
    pub voter_slots_changed: u32,
    /// The number that the next new voter slot gets.
    #[serde(rename = "next_seat")]
    pub next_voter_slot: u64,
    /// What the fleet was founded on; `None` before that.
    #[serde(rename = "charter")]
    pub policy: Option<FleetPolicy>,
    /// All units of the policy.
    pub units: BTreeMap<UnitName, Unit>,
    /// Hosts that the leaders' endpoint lists have shown.
    pub hosts: BTreeMap<UnitName, Host>,
    /// The number that the next lease gets.
    #[serde(rename = "next_permit")]
    pub next_lease: u64,
    /// Releases so far, rollbacks included.
    pub releases: u64,
    /// The last release.
    pub release: Option<Release>,
    /// The last overrides, the oldest first.
    pub overrides: Vec<OverrideRecord>,
    /// Which voter is to give its slot to which node.
    replace: Option<VoterReplacement>,
    /// How often each voter's store was opened, as leaders heard it.
    pub voters: BTreeMap<UnitName, BootCount>,
    /// Results of the last requests, the oldest first.
    #[serde(rename = "answers")]
    results: VecDeque<(RequestId, CommandResult)>,
}

impl State {
    /// The state before the fleet is founded, with its first voters.
    pub fn before_founding(voters: &[UnitName]) -> State {
        let voter_slots: Vec<VoterSlot> = voters
            .iter()
            .zip(1..)
            .map(|(name, number)| VoterSlot { number, name: name.clone(), incarnation: Incarnation(0) })
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
            results: VecDeque::new(),
        }
    }

    /// The result of a request that was decided lately.
    pub fn result_of(&self, id: &RequestId) -> Option<&CommandResult> {
        self.results.iter().rev().find(|(known, _)| known == id).map(|(_, result)| result)
    }

    /// The voter slot that a node holds.
    pub fn voter_slot_of(&self, name: &UnitName) -> Option<&VoterSlot> {
        self.voter_slots.iter().find(|voter_slot| voter_slot.name == *name)
    }

    /// The voter slot of this number.
    pub fn voter_slot(&self, number: u64) -> Option<&VoterSlot> {
        self.voter_slots.iter().find(|voter_slot| voter_slot.number == number)
    }

    /// Units that count against the limits: out, about to be, or lost.
    pub fn units_out(&self) -> impl Iterator<Item = (&UnitName, &Unit)> {
        self.units.iter().filter(|(_, unit)| unit.is_out())
    }

    /// How many units are lost without holding a lease.
    pub fn unplanned_losses(&self) -> usize {
        self.units.values().filter(|unit| unit.lost && unit.unit_state == UnitState::Serving).count()
    }

    /// The replacement of a voter that an operator has asked for and that is not done.
    pub fn pending_replacement(&self) -> Option<&VoterReplacement> {
        self.replace.as_ref()
    }

    /// The policy's section for hosts.
    pub fn host_settings(&self) -> Option<&HostSettings> {
        self.policy.as_ref()?.hosts.as_ref()
    }
}
