//! Pacing of the requests about a lease: at most one is in flight, and none is sent before its
//! earliest time.

use crate::clock::Micros;

/// Delay before a failed request is retried.
pub(super) const RETRY_INTERVAL: Micros = Micros::from_millis(300);

/// State of the requests about a lease: when the request in flight was sent, if there is one, and
/// the earliest time of the next request.
#[derive(Debug, Default)]
pub(super) struct RequestPacing {
    in_flight_since: Option<Micros>,
    next_attempt_at: Micros,
}

impl RequestPacing {
    /// Returns whether a request may be sent at `now`. If so, the request counts as in flight.
    pub(super) fn begin(&mut self, now: Micros) -> bool {
        if self.in_flight_since.is_some() || now < self.next_attempt_at {
            return false;
        }
        self.in_flight_since = Some(now);
        true
    }

    /// Ends the request in flight, which has been answered. Returns when it was sent, or `now` if
    /// no request was in flight.
    pub(super) fn finish(&mut self, now: Micros) -> Micros {
        self.in_flight_since.take().unwrap_or(now)
    }

    /// Delays the next request until `at`.
    pub(super) fn delay_until(&mut self, at: Micros) {
        self.next_attempt_at = at;
    }
}
