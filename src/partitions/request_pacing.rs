//! When the next request about a lease may be sent: one at a time, and not before its time.

use crate::clock::Micros;

/// How long to wait before a failed request is retried.
pub(super) const RETRY_INTERVAL: Micros = Micros::from_millis(300);

/// The request in flight, if any, and the earliest time of the next.
#[derive(Debug, Default)]
pub(super) struct RequestPacing {
    in_flight_since: Option<Micros>,
    next_attempt_at: Micros,
}

impl RequestPacing {
    /// Whether a request may be sent at `now`; if so, it is in flight from then on.
    pub(super) fn begin(&mut self, now: Micros) -> bool {
        if self.in_flight_since.is_some() || now < self.next_attempt_at {
            return false;
        }
        self.in_flight_since = Some(now);
        true
    }

    /// The request in flight was answered: when it was sent.
    pub(super) fn finish(&mut self, now: Micros) -> Micros {
        self.in_flight_since.take().unwrap_or(now)
    }

    /// The next request is sent no earlier than `at`.
    pub(super) fn delay_until(&mut self, at: Micros) {
        self.next_attempt_at = at;
    }
}
