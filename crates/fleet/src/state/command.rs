//! Log entries: the commands that change the state, their results, and why a command is refused.

use serde::{Deserialize, Serialize};

use super::host::HostUpdate;
use super::ids::{BootCount, Lease, Nonce, RequestId};
use super::unit::CallCounts;
use super::voter::VoterSlot;
use crate::policy::{FleetPolicy, Plan, PolicyError, UnitName};

/// What an entry asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The leader: the fleet is founded on this policy. The first command of all.
    Bootstrap(Box<FleetPolicy>),
    /// Changes nothing; once it is decided, the state that it was applied to was the newest.
    Confirm,
    /// An operator: this unit or host goes out, within the limits.
    Drain {
        /// Its name.
        unit: UnitName,
    },
    /// An operator: this unit or host goes out beyond the limits. One at a time.
    Override {
        /// Its name.
        unit: UnitName,
        /// Why, for the record.
        reason: String,
    },
    /// An operator, or a unit that has drained: it takes clients again.
    Activate {
        /// Its name.
        unit: UnitName,
    },
    /// An operator: a release begins.
    StartRelease {
        /// What it changes, and how.
        plan: Box<Plan>,
    },
    /// An operator or the leader: the release stops where it is.
    Halt {
        /// Why, for the record.
        why: String,
    },
    /// An operator: the halted release goes on.
    Resume,
    /// An operator: the units that the last release changed go back to what they ran before.
    RollBack,
    /// The leader: this unit is the next that the release changes.
    GrantTurn {
        /// Number of the release.
        release: u64,
        /// The unit's name.
        unit: UnitName,
    },
    /// The unit: it goes out, unless its lease is no longer in force.
    BeginDrain {
        /// Its name.
        unit: UnitName,
        /// The lease that it was granted.
        lease: Lease,
        /// Identifies this request.
        nonce: Nonce,
        /// How its calls ended of late.
        call_counts: CallCounts,
    },
    /// The leader: it has seen the unit serve for long enough.
    MarkServing {
        /// Its name.
        unit: UnitName,
        /// The lease that it held when it was judged.
        lease: Option<Lease>,
        /// What it runs.
        version: String,
    },
    /// The leader: no voter hears this unit.
    MarkLost {
        /// Its name.
        unit: UnitName,
    },
    /// An operator: no process of this lost unit runs any more.
    ConfirmDead {
        /// Its name.
        unit: UnitName,
    },
    /// The leader: what has changed in its endpoint list.
    UpdateHosts {
        /// The hosts that have changed.
        updates: Vec<HostUpdate>,
    },
    /// The leader: no node holds anything at this host.
    MarkHostEmpty {
        /// Its name.
        host: UnitName,
        /// The lease under which it is out.
        lease: Lease,
    },
    /// The leader: all nodes know that they may use this host again.
    MarkHostReturned {
        /// Its name.
        host: UnitName,
        /// The lease under which it was out.
        lease: Lease,
    },
    /// The leader: the wave was watched for long enough.
    AdvanceWave {
        /// Number of the release.
        release: u64,
        /// Index of the wave that is done.
        wave: usize,
    },
    /// An operator: one voter's slot goes to another node for good, once that node reports an empty store.
    ReplaceVoter {
        /// The voter that leaves.
        old: UnitName,
        /// The node that becomes a voter.
        new: UnitName,
    },
    /// The leader: the epoch ends, and the next has these voter slots.
    Reconfigure {
        /// All slots of the next epoch.
        voter_slots: Vec<VoterSlot>,
    },
    /// The leader, before anything else: the processes that make up the group of voters.
    LeaderStarted {
        /// The voters that it hears, and how often each one's store was opened.
        voters: Vec<(UnitName, BootCount)>,
    },
}

impl Command {
    /// Whether only the leader itself may propose it.
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
    /// The request that asked for it, if its sender waits for the result.
    pub id: Option<RequestId>,
    /// What it asks for.
    pub command: Command,
}

/// One step of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogStep {
    /// An entry.
    Entry(Entry),
    /// The epoch is over; the next has these voter slots.
    Reconfigure(Vec<VoterSlot>),
}

/// What came of a command, in the words that operators are shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandResult {
    /// It was carried out.
    Done(String),
    /// It was refused, and changed nothing.
    Refused(String),
}

impl From<Result<String, Refusal>> for CommandResult {
    fn from(outcome: Result<String, Refusal>) -> CommandResult {
        match outcome {
            Ok(text) => CommandResult::Done(text),
            Err(refusal) => CommandResult::Refused(refusal.to_string()),
        }
    }
}

/// Why a command is refused. The texts are part of what operators and their scripts see.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No policy has been agreed on yet.
    #[error("the group is not founded")]
    NotFounded,
    /// A second bootstrap.
    #[error("the group is founded already")]
    AlreadyFounded,
    /// Ends of epochs are handled by the reader of the log, not as entries.
    #[error("no entry for this state")]
    NotAnEntry,
    /// The policy names no such unit.
    #[error("no unit {0}")]
    UnknownUnit(UnitName),
    /// The leader or a unit named a unit that the policy does not.
    #[error("no such unit")]
    NoSuchUnit,
    /// Neither a unit nor a host has this name.
    #[error("no unit or host {0}")]
    UnknownUnitOrHost(UnitName),
    /// No host has this name.
    #[error("no host {0}")]
    UnknownHost(UnitName),
    /// It holds a lease already.
    #[error("{0} is out already")]
    AlreadyOut(UnitName),
    /// It is lost.
    #[error("{0} is not heard, or was not seen to serve yet")]
    Lost(UnitName),
    /// It is not lost.
    #[error("{0} is heard")]
    NotLost(UnitName),
    /// A limit of the policy has no room.
    #[error("{out} of {total} {kind} in {scope} are out, at most {room} may be")]
    LimitReached {
        /// How many are out.
        out: u32,
        /// How many the limit is over.
        total: u32,
        /// What is counted.
        kind: LimitedKind,
        /// The scope of the limit.
        scope: String,
        /// How many may be out.
        room: u32,
    },
    /// All other units of its zone are out.
    #[error("{0} is the last of its zone")]
    LastOfZone(UnitName),
    /// The policy has no section for hosts.
    #[error("the charter has no section for hosts")]
    HostsNotManaged,
    /// Something else is out by an override.
    #[error("{0} is out beyond the limits already, one may be at a time")]
    OverrideInUse(UnitName),
    /// An override without a reason.
    #[error("an override needs a reason")]
    ReasonMissing,
    /// The plan of a release is at fault.
    #[error(transparent)]
    Plan(#[from] PolicyError),
    /// The release before must finish first.
    #[error("release {0} is not finished")]
    ReleaseNotFinished(u64),
    /// Nothing to halt.
    #[error("no release goes on")]
    NothingToHalt,
    /// Nothing to resume.
    #[error("no release is halted")]
    NothingHalted,
    /// Nothing to roll back.
    #[error("there was no release")]
    NothingToRollBack,
    /// A running release has to be halted before it is rolled back.
    #[error("release {0} is running, halt it first")]
    ReleaseRunning(u64),
    /// A rollback cannot be rolled back.
    #[error("release {0} leads back already, resume it")]
    AlreadyRollback(u64),
    /// The release that is meant is not the current one.
    #[error("no such release")]
    UnknownRelease,
    /// The release that is meant is halted or finished.
    #[error("it does not run")]
    ReleaseNotRunning,
    /// The unit is not of the current wave, or has been changed.
    #[error("it is not {0}'s turn")]
    NotInCurrentWave(UnitName),
    /// Another process of the unit has begun under this lease.
    #[error("another process of it has begun")]
    BegunByAnotherProcess,
    /// The lease was withdrawn, or another was granted since.
    #[error("that permit is not in force")]
    LeaseNotInForce,
    /// The release of the lease is no longer the current one.
    #[error("that release is over")]
    ReleaseOver,
    /// The release of the lease is halted.
    #[error("it is halted")]
    ReleaseHalted,
    /// The unit's or host's state has changed since the leader judged it.
    #[error("it stands otherwise by now")]
    StateChanged,
    /// The wave has units left, or is not the current one.
    #[error("not now")]
    WaveNotDone,
    /// It is no voter.
    #[error("{0} holds no seat")]
    NotAVoter(UnitName),
    /// It is a voter already.
    #[error("{0} holds a seat already")]
    AlreadyVoter(UnitName),
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitedKind {
    /// Nodes.
    Units,
    /// Hosts.
    Hosts,
}

impl std::fmt::Display for LimitedKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LimitedKind::Units => f.write_str("units"),
            LimitedKind::Hosts => f.write_str("hosts"),
        }
    }
}
