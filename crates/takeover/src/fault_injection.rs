//! Faults that tests inject to show that their checkers notice them.
//!
//! Without the feature `fault-injection`, which only tests and benches enable, no fault can be injected. With
//! it, none is injected until a test calls `inject`. `glendeck_fleet` injects its own faults in the same way.

/// A fault that a test can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An attempt is sent together with its intent, without waiting for replication.
    SendBeforeReplicated,
    /// The reply of a single replica counts as a majority.
    SingleReplicaSuffices,
    /// An attempt is sent although its send window or its `send_before` time is over.
    SendAfterWindow,
    /// Replicas accept intents of older terms, and of calls whose record was superseded.
    NoFencing,
    /// A record is removed as soon as its call is answered.
    RecordDroppedOnAnswer,
    /// A replica that has just started answers queries.
    AnswersWithoutHistory,
    /// A replica accepts an intent even if it stores conflicting records of the same work item.
    ConflictAccepted,
    /// A repeat does not wait until the other records of its work item are over.
    OpenRecordTakenOver,
    /// The time for which hosts recognise a key is counted from the repeat instead of the first attempt.
    WindowFromRepeat,
    /// Changes of hints are applied whatever sequence number they are based on.
    AnyBaseAccepted,
    /// The hints of a process are merged with those of the previous process of its node.
    IncarnationsMixed,
    /// A replica that missed an update is never sent all hints.
    NeverResynchronized,
    /// A delayed update overwrites a newer one.
    StaleUpdateAccepted,
    /// The second notice of the same lost process, which its other replica sends, is accepted as well.
    DuplicateNoticeAccepted,
    /// The hints of a node that does not come back are never removed.
    HintsNeverExpire,
}

#[cfg(feature = "fault-injection")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Sets the fault that is injected on this thread; `None` stops the injection.
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
