//! Log entries: commands that change the state, their results, and the reasons for refusing a command.

use serde::{Deserialize, Serialize};

use super::host::HostUpdate;
use super::ids::{BootCount, Lease, Nonce, RequestId};
use super::unit::CallCounts;
use super::voter::VoterSlot;
use crate::policy::{FleetPolicy, Plan, PolicyError, UnitName};

/// A command of a log entry. The description of each variant begins with who proposes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Leader: found the fleet on this policy. The leader proposes nothing else before it is applied.
    Bootstrap(Box<FleetPolicy>),
    /// Node: no change. Once it is decided, the state that it was applied to is known to have been the
    /// latest.
    Confirm,
    /// Operator: drain this unit or host, within the limits.
    Drain {
        /// Its name.
        unit: UnitName,
    },
    /// Operator: drain this unit or host beyond the limits. Only one may be out by an override at a time.
    Override {
        /// Its name.
        unit: UnitName,
        /// The reason, kept in the state.
        reason: String,
    },
    /// Operator, or a unit that has drained: return this unit or host to service.
    Activate {
        /// Its name.
        unit: UnitName,
    },
    /// Operator: start a release.
    StartRelease {
        /// The plan of the release.
        plan: Box<Plan>,
    },
    /// Operator or leader: halt the release.
    Halt {
        /// The reason, kept in the state.
        why: String,
    },
    /// Operator: resume the halted release.
    Resume,
    /// Operator: return the units that the last release changed to their previous versions.
    RollBack,
    /// Leader: grant a lease to the unit that the release changes next.
    GrantTurn {
        /// Number of the release.
        release: u64,
        /// The unit's name.
        unit: UnitName,
    },
    /// Unit: begin the drain, unless its lease is no longer in force.
    BeginDrain {
        /// Its name.
        unit: UnitName,
        /// The lease that it was granted.
        lease: Lease,
        /// Identifies this request.
        nonce: Nonce,
        /// How its recent calls ended.
        call_counts: CallCounts,
    },
    /// Leader: the unit has served for long enough to count as back.
    MarkServing {
        /// Its name.
        unit: UnitName,
        /// The lease that it held when the leader judged it.
        lease: Option<Lease>,
        /// The version that it runs.
        version: String,
    },
    /// Leader: no voter hears this unit.
    MarkLost {
        /// Its name.
        unit: UnitName,
    },
    /// Operator: confirm that no process of this lost unit is running.
    ConfirmDead {
        /// Its name.
        unit: UnitName,
    },
    /// Leader: changes in its endpoint list.
    UpdateHosts {
        /// The hosts that have changed.
        updates: Vec<HostUpdate>,
    },
    /// Leader: no node holds connections or attempts at this host.
    MarkHostEmpty {
        /// Its name.
        host: UnitName,
        /// The lease under which it is out.
        lease: Lease,
    },
    /// Leader: all units that are not lost have applied that this host is used again.
    MarkHostReturned {
        /// Its name.
        host: UnitName,
        /// The lease under which it was out.
        lease: Lease,
    },
    /// Leader: the wave was watched for long enough.
    AdvanceWave {
        /// Number of the release.
        release: u64,
        /// Index of the wave that is done.
        wave: usize,
    },
    /// Operator: permanently replace a voter by another node, once that node reports a store without usable
    /// voter state.
    ReplaceVoter {
        /// The voter that leaves.
        old: UnitName,
        /// The node that becomes a voter.
        new: UnitName,
    },
    /// Leader: end the epoch; the next epoch has these voter slots.
    Reconfigure {
        /// All slots of the next epoch.
        voter_slots: Vec<VoterSlot>,
    },
    /// Leader, before its controllers propose anything else: record the running voter processes.
    LeaderStarted {
        /// The active voters, and how often each one's store was opened.
        voters: Vec<(UnitName, BootCount)>,
    },
}

impl Command {
    /// Whether only the leader itself may propose the command.
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
    /// The id of the request, if its sender waits for the result.
    pub id: Option<RequestId>,
    /// The command.
    pub command: Command,
}

/// One step of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LogStep {
    /// An entry.
    Entry(Entry),
    /// The end of the epoch; the next epoch has these voter slots.
    Reconfigure(Vec<VoterSlot>),
}

/// The result of a command, with the text shown to operators.
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

/// Why a command is refused. Operators and their scripts see these texts.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No policy has been agreed on yet.
    #[error("the fleet is not founded")]
    NotFounded,
    /// The fleet was bootstrapped before.
    #[error("the fleet is already founded")]
    AlreadyFounded,
    /// The end of an epoch was applied as an entry; the reader of the log handles it instead.
    #[error("the end of an epoch is not applied as an entry")]
    NotAnEntry,
    /// An operator named a unit that is not in the policy.
    #[error("no unit is named {0}")]
    UnknownUnit(UnitName),
    /// The leader or a unit named a unit that is not in the policy.
    #[error("the policy has no such unit")]
    NoSuchUnit,
    /// Neither a unit nor a host has this name.
    #[error("no unit or host is named {0}")]
    UnknownUnitOrHost(UnitName),
    /// No host has this name.
    #[error("no host is named {0}")]
    UnknownHost(UnitName),
    /// The unit or host already holds a lease.
    #[error("{0} is out already")]
    AlreadyOut(UnitName),
    /// The unit is lost.
    #[error("{0} is not heard, or was not seen to serve yet")]
    Lost(UnitName),
    /// The unit is not lost.
    #[error("{0} is not lost")]
    NotLost(UnitName),
    /// A limit of the policy is reached.
    #[error("{out} of {total} {kind} in {scope} are out, at most {room} may be")]
    LimitReached {
        /// How many are out.
        out: u32,
        /// How many units or hosts the limit applies to.
        total: u32,
        /// Whether units or hosts are counted.
        kind: LimitedKind,
        /// The scope of the limit.
        scope: String,
        /// How many may be out.
        room: u32,
    },
    /// All other units of the unit's zone are out.
    #[error("all other units in the zone of {0} are out")]
    LastOfZone(UnitName),
    /// The policy has no section for hosts.
    #[error("the fleet policy has no hosts section")]
    HostsNotManaged,
    /// Something else is out by an override.
    #[error("{0} is out beyond the limits already, one may be at a time")]
    OverrideInUse(UnitName),
    /// The override has no reason.
    #[error("an override needs a reason")]
    ReasonMissing,
    /// The plan of the release is invalid.
    #[error(transparent)]
    Plan(#[from] PolicyError),
    /// The previous release is not finished.
    #[error("release {0} is not finished")]
    ReleaseNotFinished(u64),
    /// There is no unfinished release to halt.
    #[error("there is no unfinished release to halt")]
    NothingToHalt,
    /// There is no halted release to resume.
    #[error("no release is halted")]
    NothingHalted,
    /// There is no release to roll back.
    #[error("there is no release to roll back")]
    NothingToRollBack,
    /// A running release has to be halted before it is rolled back.
    #[error("release {0} is running, halt it first")]
    ReleaseRunning(u64),
    /// A rollback cannot be rolled back.
    #[error("release {0} is a rollback already, resume it instead")]
    AlreadyRollback(u64),
    /// The command names a release that is not the current one.
    #[error("that is not the current release")]
    UnknownRelease,
    /// The release that the command names is halted or finished.
    #[error("the release is not running")]
    ReleaseNotRunning,
    /// The unit is not in the current wave, or is already changed.
    #[error("{0} is not in the current wave, or is already changed")]
    NotInCurrentWave(UnitName),
    /// Another process of the unit has already begun under this lease.
    #[error("another process of the unit has already begun to drain")]
    BegunByAnotherProcess,
    /// The lease was withdrawn, or another was granted since.
    #[error("the lease is not in force")]
    LeaseNotInForce,
    /// The release of the lease is no longer the current one.
    #[error("the release of the lease is over")]
    ReleaseOver,
    /// The release of the lease is halted.
    #[error("the release of the lease is halted")]
    ReleaseHalted,
    /// The state of the unit or host has changed since the leader judged it.
    #[error("its state has changed in the meantime")]
    StateChanged,
    /// The wave has units left or is not the current one, or its release is not running.
    #[error("the wave has units left or is not the current one, or the release is not running")]
    WaveNotDone,
    /// The node is not a voter.
    #[error("{0} is not a voter")]
    NotAVoter(UnitName),
    /// The node is already a voter.
    #[error("{0} is already a voter")]
    AlreadyVoter(UnitName),
}

/// What a limit applies to.
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
