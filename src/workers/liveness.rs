//! The last contacts with a machine's worker, and the start of the worker's lease.

use crate::clock::Micros;

/// The instants that show whether a worker is alive and when its lease expires at the latest.
#[derive(Debug)]
pub(super) struct Liveness {
    /// Instant at which this owner received the machine.
    added_at: Micros,
    /// Instant of the last accepted heartbeat, including heartbeats in replies to direct commands;
    /// `None` if there was none.
    last_contact_at: Option<Micros>,
    /// Instant of the last accepted heartbeat that the worker sent on its own; `None` if there was
    /// none. Only the response to such a heartbeat renews the worker's lease.
    last_heartbeat_at: Option<Micros>,
    /// Instant of the last response to a heartbeat under a valid token.
    last_response_at: Micros,
    /// The latest instant at which the worker can have begun a lease without a response, because
    /// it restarted or began another agent epoch. A lease that it began later matters only to
    /// attempts that are launched later still.
    last_possible_lease_start: Micros,
}

impl Liveness {
    /// Starts tracking a machine that this owner receives now.
    pub(super) fn new(now: Micros) -> Self {
        Liveness {
            added_at: now,
            last_contact_at: None,
            last_heartbeat_at: None,
            last_response_at: now,
            last_possible_lease_start: now,
        }
    }

    /// Returns the instant at which this owner received the machine.
    pub(super) fn added_at(&self) -> Micros {
        self.added_at
    }

    /// Returns the instant of the last accepted heartbeat, including heartbeats in replies to
    /// direct commands; `None` if there was none.
    pub(super) fn last_contact_at(&self) -> Option<Micros> {
        self.last_contact_at
    }

    /// Returns the instant of the last accepted heartbeat that the worker sent on its own; `None`
    /// if there was none.
    pub(super) fn last_heartbeat_at(&self) -> Option<Micros> {
        self.last_heartbeat_at
    }

    /// Returns the latest instant at which the worker's lease can have started: the last response
    /// to a heartbeat, or the last possible start without a response. Initially both are the instant at which
    /// this owner received the machine, because an earlier owner may have responded until then.
    pub(super) fn lease_started_at(&self) -> Micros {
        self.last_response_at.max(self.last_possible_lease_start)
    }

    /// Records an accepted heartbeat.
    pub(super) fn record_contact(&mut self, now: Micros) {
        self.last_contact_at = Some(now);
    }

    /// Records an accepted heartbeat that the worker sent on its own.
    pub(super) fn record_heartbeat(&mut self, now: Micros) {
        self.last_heartbeat_at = Some(now);
    }

    /// Records a response to a heartbeat.
    pub(super) fn record_response(&mut self, now: Micros) {
        self.last_response_at = now;
    }

    /// Records that the worker may have begun a lease without a response by now.
    pub(super) fn record_possible_lease_start(&mut self, now: Micros) {
        self.last_possible_lease_start = now;
    }
}

#[cfg(test)]
mod tests;
