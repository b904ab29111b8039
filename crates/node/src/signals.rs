//! Which thread handles signals.

use nix::sys::signal::{SigSet, SigmaskHow};

/// Starts threads that handle no signals, as a thread inherits the mask of the one that starts it. All
/// signals go to the thread of the event loop, so that those that have come are seen together, whatever the
/// order of their handlers.
pub(crate) fn without_signals<T>(start: impl FnOnce() -> T) -> T {
    let mask = SigSet::all().thread_swap_mask(SigmaskHow::SIG_SETMASK);
    let started = start();
    if let Ok(mask) = mask {
        let _ = mask.thread_set_mask();
    }
    started
}
