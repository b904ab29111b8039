//! State of the requests for the endpoint list.

use crate::domain::{Settings, Span, Time};
use crate::port::Port;
use crate::state::timers::WATCH_TIMER;

/// The first wait between fetches of the whole list; it doubles.
pub(crate) const FIRST_FETCH_BACKOFF: Span = Span::ms(1000);
/// Part of the poll interval over which a large fleet spreads its requests.
const SPREAD_SHARE: f64 = 0.4;

/// Over how long requests for the list are spread: nodes that start or lose their watch together would ask together, and
/// the list's service would never catch up.
pub(crate) fn request_spread(settings: &Settings) -> Span {
    let large_fleet = settings.large_fleet_factor();
    settings.poll_interval.map_or(Span::ZERO, |interval| interval.times(SPREAD_SHARE * large_fleet))
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum WatchState {
    /// The next request waits for its time.
    Due,
    /// A request is pending.
    Requested,
    /// The list comes by itself.
    Watching,
}

/// Whether changes of the list are being watched, and when to ask next.
pub(crate) struct EndpointWatch {
    state: WatchState,
    /// Failed requests since the last answer.
    pub failures: u32,
    /// When the pending request was sent or the next one is due.
    pub request_at: Time,
    /// When the whole list may be fetched next.
    pub fetch_at: Time,
    pub fetch_backoff: Span,
}

impl EndpointWatch {
    fn new(state: WatchState, request_at: Time) -> EndpointWatch {
        EndpointWatch {
            state,
            failures: 0,
            request_at,
            fetch_at: request_at,
            fetch_backoff: FIRST_FETCH_BACKOFF,
        }
    }

    /// A list that need not be asked for.
    pub(crate) fn unneeded(now: Time) -> EndpointWatch {
        EndpointWatch::new(WatchState::Watching, now)
    }

    /// A list whose first request is due at `request_at`; the timer is the caller's.
    pub(crate) fn due(request_at: Time) -> EndpointWatch {
        EndpointWatch::new(WatchState::Due, request_at)
    }

    /// Sends the first request for the list after the offset, if the list must be asked for.
    pub(crate) fn start(settings: &Settings, now: Time, offset: Span, port: &mut dyn Port) -> EndpointWatch {
        if settings.poll_interval.is_none() {
            return EndpointWatch::unneeded(now + offset);
        }
        if offset == Span::ZERO {
            port.watch_endpoints();
            return EndpointWatch::new(WatchState::Requested, now);
        }
        port.set_timer(now + offset, WATCH_TIMER);
        EndpointWatch::due(now + offset)
    }

    /// Whether no request was ever sent.
    pub(crate) fn is_new(&self) -> bool {
        self.state == WatchState::Due && self.failures == 0
    }

    /// Whether the next request is to be sent now.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.state == WatchState::Due && now >= self.request_at
    }

    /// Whether a request is pending.
    pub(crate) fn is_requested(&self) -> bool {
        self.state == WatchState::Requested
    }

    /// A request was sent.
    pub(crate) fn record_request(&mut self) {
        self.state = WatchState::Requested;
    }

    /// The list answered.
    pub(crate) fn record_answer(&mut self) {
        self.state = WatchState::Watching;
        self.failures = 0;
    }

    /// The request failed, or the watch was lost.
    pub(crate) fn record_failure(&mut self) {
        self.state = WatchState::Due;
        self.failures += 1;
    }
}
