//! The timers that a node sets.

use crate::domain::{Span, TimerToken};

/// Period of the node's housekeeping tick.
pub(crate) const TICK_PERIOD: Span = Span::ms(1000);
/// Timer of the housekeeping tick.
pub(crate) const TICK_TIMER: TimerToken = TimerToken(0);
/// Timer of the waiting queue.
pub(crate) const QUEUE_TIMER: TimerToken = TimerToken(1);
/// Timer of the next request for the endpoint list.
pub(crate) const WATCH_TIMER: TimerToken = TimerToken(2);
