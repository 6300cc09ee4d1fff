//! Requests of which one of a kind may be in flight at a time.
//!
//! It owns when each was begun. It never decides whether a request is needed.

use crate::clock::Micros;
use std::collections::BTreeMap;

/// A request that was never answered counts as lost after this, and may be begun again.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(6_000);

/// A kind of request that is not begun again while one is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestKind {
    /// The list of machine types, from the cloud or on its way into the store.
    MachineTypes,
    /// Becoming the leader.
    Candidacy,
    /// Giving up leadership.
    StepDown,
    /// Grants of partitions.
    PartitionGrants,
    /// Handing all owned partitions back.
    HandBackAll,
    /// Raising the format level.
    FormatLevel,
}

/// The requests in flight, by kind.
#[derive(Debug, Default)]
pub(super) struct InFlightRequests {
    begun_at: BTreeMap<RequestKind, Micros>,
}

impl InFlightRequests {
    /// Begins a request of a kind; false if one is in flight and has not timed out.
    pub(super) fn begin_request(&mut self, now: Micros, kind: RequestKind) -> bool {
        let begun_at = self.begun_at.get(&kind);
        if begun_at.is_some_and(|begun_at| now.since(*begun_at) < REQUEST_TIMEOUT) {
            return false;
        }
        self.begun_at.insert(kind, now);
        true
    }

    /// The request of a kind has been answered: the next may begin at once.
    pub(super) fn finish(&mut self, kind: RequestKind) {
        self.begun_at.remove(&kind);
    }

    /// The request of a kind has been answered, but the next may begin only after a delay.
    pub(super) fn finish_after(&mut self, now: Micros, kind: RequestKind, delay: Micros) {
        // As if it had been begun so early that it times out then.
        self.begun_at
            .insert(kind, (now + delay).since(REQUEST_TIMEOUT));
    }
}

#[cfg(test)]
mod tests;
