//! Faults that tests inject to show that their checkers notice them. Without the feature `fault-injection`, which only
//! tests switch on, there is none.

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Limits do not count what is lost unplanned.
    LostNotCounted,
    /// A release's turns are granted while it is halted.
    GrantWhileHalted,
    /// A lease that is no longer in force lets its unit begin.
    StaleLeaseBegins,
    /// A halted release's units may still begin.
    BeginWhileHalted,
    /// After a loss of all processes a release goes on by itself.
    NoHaltAfterRestart,
    /// A unit goes out on a begin of any age.
    StaleBeginRequest,
    /// A unit goes out as soon as it is granted, without asking to begin.
    DrainOnGrant,
    /// A voter that comes back with an older disk votes.
    OutdatedStoreVotes,
    /// What is to go out does not wait for the disk.
    SendBeforeDurable,
    /// A unit is taken for back as soon as it is heard.
    ServingWhenHeard,
    /// A host is said to be empty though a lost node may hold connections there.
    EmptyIgnoresLost,
    /// Hosts that the list shows as out are not counted.
    ListNotCounted,
    /// A host is back before all nodes have heard so.
    HostReturnedEarly,
}

#[cfg(feature = "fault-injection")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Injects a fault on this thread, or none.
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
