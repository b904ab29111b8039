//! Faults that tests inject to show that their checkers notice them.
//!
//! Without the feature `fault-injection`, which only tests switch on, there are none; with it, none is injected until a
//! test says so. `glendeck_fleet` has a switch of the same form for its own faults.

/// A fault that a test can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An attempt is sent together with its intent.
    SendBeforeReplicated,
    /// One replica's reply counts as a majority.
    SingleReplicaSuffices,
    /// An intent that was replicated long ago still lets its attempt be sent.
    SendAfterWindow,
    /// Replicas accept intents of older terms, and of calls whose record was superseded.
    NoFencing,
    /// A record is removed as soon as its call is answered.
    RecordDroppedOnAnswer,
    /// A replica that has just started answers queries.
    AnswersWithoutHistory,
    /// A replica accepts a repeat's intent whatever else it stores of the work.
    ConflictAccepted,
    /// A repeat does not wait until a record is over.
    OpenRecordTakenOver,
    /// The window in which hosts recognise a key counts from the repeat.
    WindowFromRepeat,
    /// Changes of hints are applied whatever they are based on.
    AnyBaseAccepted,
    /// The hints of one process are added to those of the process before.
    IncarnationsMixed,
    /// A replica that missed an update is never sent the whole.
    NeverResynchronized,
    /// A late update undoes a later one.
    StaleUpdateAccepted,
    /// The notices of both replicas count.
    DuplicateNoticeAccepted,
    /// The hints of a node that stays away are never removed.
    HintsNeverExpire,
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
