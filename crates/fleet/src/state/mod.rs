//! The replicated state machine, which every node derives from the same log entries.
//!
//! An entry is validated against the state at its position in the log, whatever its proposer knew. Nothing
//! here reads the time, so the same entries in the same order give the same state, byte for byte.
//!
//! The types are in separate files; [`State`] owns them, and `apply` implements each command.

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

/// Record of an operator's drain beyond the limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverrideRecord {
    /// The unit or host.
    pub unit: UnitName,
    /// The operator's reason.
    pub reason: String,
    /// The lease that was granted for it.
    #[serde(rename = "permit")]
    pub lease: Lease,
}

/// The replicated state of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Number of entries applied, over all epochs.
    pub applied: u64,
    /// Number of the log's epoch, starting from 1.
    pub epoch: u32,
    /// Number of entries applied before this epoch.
    pub epoch_began: u64,
    /// The voters of this epoch.
    #[serde(rename = "seats")]
    pub voter_slots: Vec<VoterSlot>,
    /// How often the set of voters has changed.
    #[serde(rename = "seats_changed")]
    pub voter_slots_changed: u32,
    /// The number of the next new voter slot.
    #[serde(rename = "next_seat")]
    pub next_voter_slot: u64,
    /// The policy that the fleet was founded on; `None` before that.
    #[serde(rename = "charter")]
    pub policy: Option<FleetPolicy>,
    /// All units of the policy.
    pub units: BTreeMap<UnitName, Unit>,
    /// Hosts from the leaders' endpoint lists.
    pub hosts: BTreeMap<UnitName, Host>,
    /// The number of the next lease.
    #[serde(rename = "next_permit")]
    pub next_lease: u64,
    /// Number of releases so far, including rollbacks.
    pub releases: u64,
    /// The latest release.
    pub release: Option<Release>,
    /// The latest overrides, oldest first.
    pub overrides: Vec<OverrideRecord>,
    /// The pending replacement of a voter, if any.
    replace: Option<VoterReplacement>,
    /// How often each voter's store was opened, as recorded by leaders.
    pub voters: BTreeMap<UnitName, BootCount>,
    /// Results of the latest requests, oldest first.
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

    /// The result of a recently decided request.
    pub fn result_of(&self, id: &RequestId) -> Option<&CommandResult> {
        self.results.iter().rev().find(|(known, _)| known == id).map(|(_, result)| result)
    }

    /// The voter slot that a node holds.
    pub fn voter_slot_of(&self, name: &UnitName) -> Option<&VoterSlot> {
        self.voter_slots.iter().find(|voter_slot| voter_slot.name == *name)
    }

    /// The voter slot with this number.
    pub fn voter_slot(&self, number: u64) -> Option<&VoterSlot> {
        self.voter_slots.iter().find(|voter_slot| voter_slot.number == number)
    }

    /// Units that count against the limits: out, granted a lease, returning or lost.
    pub fn units_out(&self) -> impl Iterator<Item = (&UnitName, &Unit)> {
        self.units.iter().filter(|(_, unit)| unit.is_out())
    }

    /// Number of units that are lost without holding a lease.
    pub fn unplanned_losses(&self) -> usize {
        self.units.values().filter(|unit| unit.lost && unit.unit_state == UnitState::Serving).count()
    }

    /// The replacement of a voter that an operator requested and that is not complete.
    pub fn pending_replacement(&self) -> Option<&VoterReplacement> {
        self.replace.as_ref()
    }

    /// The host settings of the policy.
    pub fn host_settings(&self) -> Option<&HostSettings> {
        self.policy.as_ref()?.hosts.as_ref()
    }
}
