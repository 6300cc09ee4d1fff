//! The owner's state of one machine. It is composed of the state that the sibling modules
//! define; most methods here delegate to it.

use super::agent::AgentState;
use super::direct_commands::DirectCommandChannel;
use super::fencing::{Fencing, MAX_UNACKNOWLEDGED};
use super::liveness::Liveness;
use super::schedulability::Schedulability;
use super::wake_up::WakeUps;
use super::{
    Attempt, AttemptKey, JobFailures, MachineSpec, ReleaseOutcome, ReleaseState, Reservations,
};
use crate::clock::Micros;
use crate::fairness::Load;
use crate::ids::{FencingToken, JobId, Revision, Term};
use crate::jobs::ImageKey;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which no tasks are launched on a machine on which tasks of several jobs failed. If it has
/// no other tasks, the machine is released before that.
const QUARANTINE_DURATION: Micros = Micros::from_millis(45_000);

/// The owner's state of one machine.
#[derive(Debug)]
pub struct Machine {
    /// The machine's properties.
    pub spec: MachineSpec,
    pub(super) fencing: Fencing,
    pub(super) agent: AgentState,
    pub(super) liveness: Liveness,
    pub(super) direct_commands: DirectCommandChannel,
    pub(super) wake_ups: WakeUps,
    /// Attempts that are, or may still be, on the machine.
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Images that are probably stored on the machine.
    pub images: BTreeSet<ImageKey>,
    /// Instant at which the cloud preempts the machine; `None` if the cloud has given no notice.
    pub(super) preempted_at: Option<Micros>,
    pub(super) schedulability: Schedulability,
    pub(super) release_state: ReleaseState,
    /// Whether the machine is recorded as used. Nothing is launched on a machine before that.
    pub used: bool,
    /// Whether the machine was in use before this owner received it, so that the cloud's minimum
    /// charge for it is already paid.
    pub minimum_charge_paid: bool,
    /// Last instant at which attempts were known to be on the machine, or the instant at which this
    /// owner received the machine if there were none.
    pub(super) idle_since: Micros,
    /// Capacity of the machine that is reserved for jobs.
    pub reservations: Reservations,
    /// Total request of the machine's attempts, as it was last added to the usage of the teams.
    pub load: Load,
    /// The jobs that failed on the machine since any task last succeeded on it.
    pub failures: JobFailures,
}

impl Machine {
    /// Creates the state of a machine that has sent no heartbeat yet. Its commands are sent under
    /// fencing tokens of `term`.
    pub fn new(now: Micros, term: Term, spec: MachineSpec) -> Self {
        Machine {
            spec,
            fencing: Fencing::new(term),
            agent: AgentState::default(),
            liveness: Liveness::new(now),
            direct_commands: DirectCommandChannel::new(),
            wake_ups: WakeUps::new(term),
            attempts: BTreeMap::new(),
            images: BTreeSet::new(),
            preempted_at: None,
            schedulability: Schedulability::default(),
            release_state: ReleaseState::default(),
            used: false,
            minimum_charge_paid: false,
            idle_since: now,
            reservations: Reservations::default(),
            load: Load::default(),
            failures: JobFailures::default(),
        }
    }

    /// Returns the fencing token under which commands are sent to the worker now.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing.token()
    }

    /// Returns how often the fencing token was raised since this owner received the machine.
    pub fn raised_tokens(&self) -> u64 {
        self.fencing.raised_tokens()
    }

    /// Returns the agent epoch to which direct commands are addressed. A worker that is in
    /// another epoch rejects the command and replies with a new heartbeat.
    pub fn target_agent_epoch(&self) -> u64 {
        self.agent.target_epoch()
    }

    /// Whether the worker's agent epoch is known.
    pub fn has_known_agent_epoch(&self) -> bool {
        self.agent.position().is_known()
    }

    /// Whether any heartbeat of the machine has arrived, accepted or stale.
    pub fn has_sent_heartbeat(&self) -> bool {
        self.agent.has_sent_heartbeat()
    }

    /// Whether an earlier owner may have used the machine and no heartbeat has shown this owner's
    /// term since. Such a machine may run any attempts.
    pub fn is_unconfirmed(&self) -> bool {
        self.agent.is_unconfirmed()
    }

    /// Records whether an earlier owner may have used the machine.
    pub fn set_unconfirmed(&mut self, is_unconfirmed: bool) {
        self.agent.set_unconfirmed(is_unconfirmed);
    }

    /// Whether a direct command is needed to find out the worker's state.
    pub fn needs_probe(&self) -> bool {
        self.agent.needs_probe()
    }

    /// Requests a direct command that finds out the worker's state.
    pub fn request_probe(&mut self) {
        self.agent.set_needs_probe(true);
    }

    /// Cancels the request for a direct command that finds out the worker's state.
    pub fn cancel_probe(&mut self) {
        self.agent.set_needs_probe(false);
    }

    /// Returns the instant at which this owner received the machine.
    pub fn added_at(&self) -> Micros {
        self.liveness.added_at()
    }

    /// Returns the instant of the last accepted heartbeat, including heartbeats in replies to
    /// direct commands; `None` if there was none.
    pub fn last_contact_at(&self) -> Option<Micros> {
        self.liveness.last_contact_at()
    }

    /// Returns the instant of the last accepted heartbeat that the worker sent on its own; `None`
    /// if there was none. Only the response to such a heartbeat renews the worker's lease.
    pub fn last_heartbeat_at(&self) -> Option<Micros> {
        self.liveness.last_heartbeat_at()
    }

    /// Returns the latest instant at which the worker's lease can have started: the last response
    /// to a heartbeat, or the last message that does not prove that the worker has not restarted
    /// since.
    pub fn lease_started_at(&self) -> Micros {
        self.liveness.lease_started_at()
    }

    /// Whether the lease under which the machine's attempts run is guaranteed to have ended.
    /// `timeout` is the longest time that a worker may take to end its attempts, counted from the
    /// start of its lease.
    pub fn has_lease_expired(&self, now: Micros, timeout: Micros) -> bool {
        now.since(self.lease_started_at()) > timeout
    }

    /// Returns the instant at which the cloud preempts the machine; `None` if the cloud has given
    /// no notice.
    pub fn preempted_at(&self) -> Option<Micros> {
        self.preempted_at
    }

    /// Returns the last instant at which attempts were known to be on the machine, or the instant
    /// at which this owner received the machine if there were none.
    pub fn idle_since(&self) -> Micros {
        self.idle_since
    }

    /// Whether the machine is neither cordoned nor quarantined, and commands to it can be fenced.
    /// Other conditions may still forbid launching tasks on it.
    pub fn is_schedulable(&self) -> bool {
        self.schedulability.is_open() && !self.fencing.is_nearly_exhausted()
    }

    /// Cordons the machine because it is silent: no tasks are launched on it until a heartbeat is
    /// accepted again.
    pub fn cordon(&mut self) {
        self.schedulability.cordon();
    }

    /// Quarantines the machine because tasks fail on it: no tasks are launched on it for
    /// `QUARANTINE_DURATION`.
    pub fn quarantine(&mut self, now: Micros) {
        self.schedulability.quarantine(now + QUARANTINE_DURATION);
    }

    /// Ends a quarantine whose time is over, and forgets the failures that led to it. Returns
    /// whether there was one.
    pub fn lift_ended_quarantine(&mut self, now: Micros) -> bool {
        let has_ended = self.schedulability.lift_ended_quarantine(now);
        if has_ended {
            self.failures.clear();
        }
        has_ended
    }

    /// Returns the state of the machine's release from the partition.
    pub fn release_state(&self) -> ReleaseState {
        self.release_state
    }

    /// Whether the machine is in the partition and its release is not in progress.
    pub fn is_active(&self) -> bool {
        self.release_state.is_active()
    }

    /// Records that a write which releases the machine is sent. The write depends on this
    /// revision of the machine's shard.
    pub fn request_release(&mut self, revision: Revision) {
        self.release_state.request(revision);
    }

    /// Records the result of the write that releases the machine.
    pub fn record_release_outcome(&mut self, outcome: ReleaseOutcome) {
        self.release_state.record_outcome(outcome);
    }

    /// Records the current revision of the machine's shard.
    pub fn record_shard_revision(&mut self, current: Revision) {
        self.release_state.record_shard_revision(current);
    }

    /// Whether a task of the job failed on this machine within the avoidance period, during which
    /// the job tries other machines first.
    pub fn is_avoided_by(&self, job: &JobId, now: Micros) -> bool {
        self.failures.is_recent(job, now)
    }

    /// Whether no direct command is in flight or may still arrive. Unlike a response, a direct
    /// command may arrive long after it was sent.
    pub fn has_no_command_in_transit(&self) -> bool {
        !self.direct_commands.is_in_flight() && !self.fencing.has_delayed_commands()
    }

    /// Whether no attempt, of this owner or of an earlier one, is on the machine, and no direct
    /// command is in transit.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty() && self.has_no_command_in_transit() && !self.is_unconfirmed()
    }

    /// Whether responses or direct commands do not reach the worker, although it may still send
    /// heartbeats. Nothing more is started on such a machine, and attempts that have not ended
    /// stay on it.
    pub fn is_unreachable(&self) -> bool {
        self.fencing.is_unacknowledged()
            || self.direct_commands.is_unreachable()
            || self
                .attempts
                .values()
                .any(|attempt| attempt.unacknowledged_sends >= MAX_UNACKNOWLEDGED)
    }

    /// Returns the total request of the attempts that are not known to have ended.
    pub fn compute_load(&self) -> Load {
        let mut load = Load {
            unknown: self.is_unconfirmed(),
            ..Load::default()
        };
        let unfinished = self
            .attempts
            .values()
            .filter(|attempt| !attempt.has_exited());
        for attempt in unfinished {
            match attempt.demand {
                Some(demand) => load.add_request(demand.team, demand.request),
                // Guards against a team that exceeds its quota limit: the record of a cancelled
                // job is deleted, but its tasks use their machine until they have ended.
                None => load.unknown = true,
            }
        }
        load
    }

    /// Records that nothing runs on the machine any more, because its worker's lease is guaranteed
    /// to have expired or the machine is lost. Removes all attempts and returns the keys of those
    /// that had not ended.
    pub fn expire(&mut self) -> Vec<AttemptKey> {
        self.agent.set_unconfirmed(false);
        self.fencing.discard_delayed_commands();
        std::mem::take(&mut self.attempts)
            .into_iter()
            .filter(|(_, attempt)| !attempt.has_exited())
            .map(|(key, _)| key)
            .collect()
    }
}

#[cfg(test)]
mod tests;
