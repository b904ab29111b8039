//! State of the requests for the endpoint list.

use crate::domain::{Span, Time};

/// The first wait between fetches of the whole list; it doubles.
pub(crate) const FIRST_FETCH_BACKOFF: Span = Span::ms(1000);

/// Whether changes of the list are being watched, and when to ask next.
pub(crate) struct EndpointWatch {
    /// The list answered the last request, or need not be asked.
    pub is_watching: bool,
    pub is_request_pending: bool,
    /// Failed requests since the last answer.
    pub failures: u32,
    /// When the pending request was sent or the next one is due.
    pub request_at: Time,
    /// When the whole list may be fetched next.
    pub fetch_at: Time,
    pub fetch_backoff: Span,
}

impl EndpointWatch {
    /// A list that need not be asked for.
    pub fn unneeded(now: Time) -> EndpointWatch {
        EndpointWatch { is_watching: true, ..EndpointWatch::due(now) }
    }

    /// A list whose first request is due at `request_at`.
    pub fn due(request_at: Time) -> EndpointWatch {
        EndpointWatch {
            is_watching: false,
            is_request_pending: false,
            failures: 0,
            request_at,
            fetch_at: request_at,
            fetch_backoff: FIRST_FETCH_BACKOFF,
        }
    }

    /// A list whose first request has just been sent.
    pub fn requested(now: Time) -> EndpointWatch {
        EndpointWatch { is_request_pending: true, ..EndpointWatch::due(now) }
    }

    /// Whether no request was ever sent.
    pub fn is_new(&self) -> bool {
        !self.is_request_pending && !self.is_watching && self.failures == 0
    }

    /// The list answered.
    pub fn record_answer(&mut self) {
        self.is_request_pending = false;
        self.is_watching = true;
        self.failures = 0;
    }

    /// The request failed, or the watch was lost.
    pub fn record_failure(&mut self) {
        self.is_request_pending = false;
        self.is_watching = false;
        self.failures += 1;
    }
}
