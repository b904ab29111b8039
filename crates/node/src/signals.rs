//! Which thread handles signals.

use nix::sys::signal::{SigSet, SigmaskHow, Signal};

/// The signals that the event loop handles. Others are not blocked anywhere: those for faults of a thread, and
/// for system calls that a filter traps, would end the process if they were.
const HANDLED_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGHUP];

/// Starts threads that do not handle the event loop's signals, as a thread inherits the mask of the one that
/// starts it. They all go to the loop's thread then, so that those that have come are seen together, whatever
/// the order of their handlers.
pub(crate) fn without_signals<T>(start: impl FnOnce() -> T) -> T {
    let handled: SigSet = HANDLED_SIGNALS.into_iter().collect();
    let mask = handled.thread_swap_mask(SigmaskHow::SIG_BLOCK);
    let started = start();
    if let Ok(mask) = mask {
        let _ = mask.thread_set_mask();
    }
    started
}
