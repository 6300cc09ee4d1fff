//! When a machine's worker was last known to live, and from when on its lease counts.

use crate::clock::Micros;

/// The instants that show whether a worker lives and how long its lease may last.
#[derive(Debug)]
pub(super) struct Liveness {
    /// When this owner got the machine.
    added_at: Micros,
    /// When the last heartbeat counted, those in replies to direct commands included.
    last_contact_at: Option<Micros>,
    /// When the last heartbeat counted that the worker sent by itself: only the response to
    /// such a one renews its lease.
    last_heartbeat_at: Option<Micros>,
    /// When a heartbeat was last responded to under a valid token.
    last_response_at: Micros,
    /// By when the current agent epoch had begun: the lease counts from there, too.
    agent_epoch_started_at: Micros,
}

impl Liveness {
    /// A machine that this owner gets now.
    pub(super) fn new(now: Micros) -> Self {
        Liveness {
            added_at: now,
            last_contact_at: None,
            last_heartbeat_at: None,
            last_response_at: now,
            agent_epoch_started_at: now,
        }
    }

    /// When this owner got the machine.
    pub(super) fn added_at(&self) -> Micros {
        self.added_at
    }

    /// When the last heartbeat counted, those in replies to direct commands included.
    pub(super) fn last_contact_at(&self) -> Option<Micros> {
        self.last_contact_at
    }

    /// When the last heartbeat counted that the worker sent by itself.
    pub(super) fn last_heartbeat_at(&self) -> Option<Micros> {
        self.last_heartbeat_at
    }

    /// From when on the worker's lease may count: a response that it can have got, or the
    /// start of its agent epoch. Both begin with the grant of the partition, since until
    /// then an earlier owner can have responded.
    pub(super) fn lease_started_at(&self) -> Micros {
        self.last_response_at.max(self.agent_epoch_started_at)
    }

    /// Records a heartbeat that counts.
    pub(super) fn record_counted(&mut self, now: Micros) {
        self.last_contact_at = Some(now);
    }

    /// Records a heartbeat that the worker sent by itself.
    pub(super) fn record_heartbeat(&mut self, now: Micros) {
        self.last_heartbeat_at = Some(now);
    }

    /// Records a response to a heartbeat.
    pub(super) fn record_response(&mut self, now: Micros) {
        self.last_response_at = now;
    }

    /// Records that the worker has begun another agent epoch by now.
    pub(super) fn record_epoch_start(&mut self, now: Micros) {
        self.agent_epoch_started_at = now;
    }
}

#[cfg(test)]
mod tests;
