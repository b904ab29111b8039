//! Faults injected on purpose: a checker counts only once it has caught them. Without the feature `injected`, which only
//! tests switch on, there is none; with it, none is injected until a test says so.

/// What may be made wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The attempt goes as its intent does.
    SentBeforeKept,
    /// One replica's word is enough.
    OneIsEnough,
    /// What was kept long ago still lets an attempt go.
    LateSend,
    /// Keepers take intents of older terms, and of calls that were taken over.
    NotFenced,
    /// A record goes as soon as its call has its answer.
    DroppedEarly,
    /// A replica that has just begun says that it holds nothing.
    ForgetfulAnswers,
    /// A replica takes a repeat's intent whatever else it holds of the work.
    RaceKept,
    /// A repeat does not wait until a record is over.
    OpenTaken,
    /// The window in which hosts recall a reference counts from the repeat.
    WindowAnew,
    /// What has changed is taken in whatever it changed from.
    AnySince,
    /// What a process says is added to what the one before said.
    IncarnationsMixed,
    /// A replica that missed something is never told all.
    NeverWhole,
    /// A word that comes late undoes what came after it.
    LateCounts,
    /// Both replicas' words count.
    ToldTwice,
    /// What is kept of a node that stays away never goes.
    KeptForever,
}

#[cfg(feature = "fault-injection")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Plants a fault on this thread, or none.
#[cfg(feature = "fault-injection")]
pub fn inject(fault: Option<InjectedFault>) {
    PLANTED.set(fault);
}

#[cfg(feature = "fault-injection")]
pub(crate) fn is_injected(fault: InjectedFault) -> bool {
    PLANTED.get() == Some(fault)
}

#[cfg(not(feature = "fault-injection"))]
pub(crate) fn is_injected(_: InjectedFault) -> bool {
    false
}
