//! State of the requests for the endpoint list.

use crate::domain::{Settings, Span, Time};
use crate::port::Port;
use crate::state::timers::WATCH_TIMER;

/// Value that the backoff between fetches of the whole list starts from. It is doubled before each wait, so
/// the first wait is twice this, unless half the poll interval is shorter.
pub(crate) const FIRST_FETCH_BACKOFF: Span = Span::ms(1000);
/// Share of the poll interval over which a large fleet spreads its requests.
const SPREAD_SHARE: f64 = 0.4;

/// Time over which the nodes' requests for the list are spread. Nodes that start or lose their watch together
/// would otherwise send their requests together, and the discovery service would never catch up.
pub(crate) fn request_spread(settings: &Settings) -> Span {
    let large_fleet = settings.large_fleet_factor();
    settings.poll_interval.map_or(Span::ZERO, |interval| interval.times(SPREAD_SHARE * large_fleet))
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum WatchState {
    /// The next request is scheduled.
    Scheduled,
    /// A request is pending.
    Requested,
    /// Changes of the list are pushed.
    Watching,
}

/// Whether changes of the list are being watched, and when the next request is due.
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

    /// The state for a list that is pushed without a request.
    pub(crate) fn unneeded(now: Time) -> EndpointWatch {
        EndpointWatch::new(WatchState::Watching, now)
    }

    /// The state for a list whose first request is due at `request_at`; the caller sets the timer.
    pub(crate) fn due(request_at: Time) -> EndpointWatch {
        EndpointWatch::new(WatchState::Scheduled, request_at)
    }

    /// Sends the first request for the list, or schedules it after the offset, unless the list is pushed.
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

    /// Whether the first request is still to be sent.
    pub(crate) fn is_new(&self) -> bool {
        self.state == WatchState::Scheduled && self.failures == 0
    }

    /// Whether the next request is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.state == WatchState::Scheduled && now >= self.request_at
    }

    /// Whether a request is pending.
    pub(crate) fn is_requested(&self) -> bool {
        self.state == WatchState::Requested
    }

    /// Records that a request was sent.
    pub(crate) fn record_request(&mut self) {
        self.state = WatchState::Requested;
    }

    /// Records an answer with the list.
    pub(crate) fn record_answer(&mut self) {
        self.state = WatchState::Watching;
        self.failures = 0;
    }

    /// Records that the request failed or the watch was lost.
    pub(crate) fn record_failure(&mut self) {
        self.state = WatchState::Scheduled;
        self.failures += 1;
    }
}
