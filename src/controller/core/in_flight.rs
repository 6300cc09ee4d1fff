//! Limits some kinds of requests to one request of the kind in flight at a time.
//!
//! It records when each request began. It never decides whether a request is needed.

use crate::clock::Micros;
use std::collections::BTreeMap;

/// Time after which an unanswered request counts as lost, and the next of its kind may begin.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(6_000);

/// Kind of request of which at most one is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RequestKind {
    /// Read of the machine types from the cloud, or write of them to the store.
    MachineTypes,
    /// Write of the leader's key to become the leader.
    Candidacy,
    /// Deletion of the leader's key to end a leadership.
    StepDown,
    /// Write of partition grants.
    PartitionGrants,
    /// Hand-back of all owned partitions.
    HandBackAll,
    /// Write of a higher format level.
    FormatLevel,
}

/// The requests in flight, by kind.
#[derive(Debug, Default)]
pub(super) struct InFlightRequests {
    begun_at: BTreeMap<RequestKind, Micros>,
}

impl InFlightRequests {
    /// Marks a request of a kind as in flight and returns true. Returns false if one is already
    /// in flight and has not timed out.
    pub(super) fn begin_request(&mut self, now: Micros, kind: RequestKind) -> bool {
        let begun_at = self.begun_at.get(&kind);
        if begun_at.is_some_and(|begun_at| now.since(*begun_at) < REQUEST_TIMEOUT) {
            return false;
        }
        self.begun_at.insert(kind, now);
        true
    }

    /// Marks the request of a kind as answered. The next may begin at once.
    pub(super) fn finish(&mut self, kind: RequestKind) {
        self.begun_at.remove(&kind);
    }

    /// Marks the request of a kind as answered. The next may begin only after the delay.
    pub(super) fn finish_after(&mut self, now: Micros, kind: RequestKind, delay: Micros) {
        // The start is set back so that the timeout ends after the delay.
        self.begun_at
            .insert(kind, (now + delay).since(REQUEST_TIMEOUT));
    }
}

#[cfg(test)]
mod tests;
