//! Faults that tests inject to prove that their checks detect them. Without the feature `fault-injection`,
//! which only tests enable, no fault can be injected.

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Limits do not count lost units that hold no lease.
    LostNotCounted,
    /// Leases for a release are granted while it is halted.
    GrantWhileHalted,
    /// A lease that is no longer in force lets its unit begin.
    StaleLeaseBegins,
    /// Units of a halted release may still begin their drain.
    BeginWhileHalted,
    /// A running release is not halted after all voters have restarted.
    NoHaltAfterRestart,
    /// A unit starts draining however long ago it asked to begin.
    StaleBeginRequest,
    /// A unit starts draining as soon as it is granted a lease, without asking to begin.
    DrainOnGrant,
    /// A voter that restarts with an older copy of its store votes.
    OutdatedStoreVotes,
    /// Messages are sent before the writes that they depend on are on disk.
    SendBeforeDurable,
    /// A unit counts as back as soon as a heartbeat arrives.
    ServingWhenHeard,
    /// A host is reported empty although a lost node may hold connections to it.
    EmptyIgnoresLost,
    /// Limits do not count hosts that the endpoint list shows as draining or gone.
    ListNotCounted,
    /// A host counts as back before all nodes have applied its return.
    HostReturnedEarly,
}

#[cfg(feature = "fault-injection")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Injects a fault on this thread; `None` removes it.
#[cfg(feature = "fault-injection")]
pub fn inject(fault: Option<InjectedFault>) {
    INJECTED.set(fault);
}

#[cfg(feature = "fault-injection")]
pub(crate) fn is_injected(fault: InjectedFault) -> bool {
    INJECTED.get() == Some(fault)
}

#[cfg(not(feature = "fault-injection"))]
pub(crate) fn is_injected(_: InjectedFault) -> bool {
    false
}
