//! An owner's picture of one machine, made of the parts that the other files hold.

use super::agent::AgentState;
use super::direct_commands::DirectCommandChannel;
use super::fencing::{Fencing, MAX_UNACKNOWLEDGED};
use super::liveness::Liveness;
use super::schedulability::Schedulability;
use super::{
    Attempt, AttemptKey, JobFailures, MachineSpec, ReleaseOutcome, ReleaseState, Reservations,
};
use crate::clock::Micros;
use crate::fairness::Load;
use crate::ids::{FencingToken, JobId, Revision, Term};
use crate::jobs::ImageKey;
use std::collections::{BTreeMap, BTreeSet};

/// An owner's picture of one machine.
#[derive(Debug)]
pub struct Machine {
    /// What it is.
    pub spec: MachineSpec,
    pub(super) fencing: Fencing,
    pub(super) agent: AgentState,
    pub(super) liveness: Liveness,
    pub(super) direct_commands: DirectCommandChannel,
    /// Attempts that are, or may still be, on it.
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Images that it has most likely.
    pub images: BTreeSet<ImageKey>,
    /// When the cloud preempts it, if it has given notice.
    pub(super) preempted_at: Option<Micros>,
    pub(super) schedulability: Schedulability,
    pub(super) release_state: ReleaseState,
    /// Whether it is recorded as used: nothing is launched on it before.
    pub used: bool,
    /// Whether it was in use before this owner got it, so that its minimum charge is paid.
    pub minimum_charge_paid: bool,
    /// Since when nothing is on it.
    pub(super) idle_since: Micros,
    /// Capacity that is kept for jobs.
    pub reservations: Reservations,
    /// What its attempts request together, as it was last added to the team usage.
    pub load: Load,
    /// The jobs that failed on it since any task last succeeded there.
    pub failures: JobFailures,
}

impl Machine {
    /// A machine of which no heartbeat has arrived, to be commanded under a term.
    pub fn new(now: Micros, term: Term, spec: MachineSpec) -> Self {
        Machine {
            spec,
            fencing: Fencing::new(term),
            agent: AgentState::default(),
            liveness: Liveness::new(now),
            direct_commands: DirectCommandChannel::new(),
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

    /// The token that its worker is to obey now.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing.token()
    }

    /// The agent epoch that a direct command is meant for; the worker refuses a wrong one
    /// with a fresh heartbeat.
    pub fn target_agent_epoch(&self) -> u64 {
        self.agent.target_epoch()
    }

    /// Whether the worker's agent epoch is known.
    pub fn has_known_agent_epoch(&self) -> bool {
        self.agent.position().is_known()
    }

    /// Whether any heartbeat of it has arrived, even if it did not count.
    pub fn has_sent_heartbeat(&self) -> bool {
        self.agent.has_sent_heartbeat()
    }

    /// Whether an earlier owner held it and no heartbeat has shown this owner's token: it may
    /// hold anything.
    pub fn is_unconfirmed(&self) -> bool {
        self.agent.is_unconfirmed()
    }

    /// Records whether an earlier owner may have used it.
    pub fn set_unconfirmed(&mut self, is_unconfirmed: bool) {
        self.agent.set_unconfirmed(is_unconfirmed);
    }

    /// Whether a direct command is to find out its worker's state.
    pub fn needs_probe(&self) -> bool {
        self.agent.needs_probe()
    }

    /// Has a direct command find out its worker's state.
    pub fn request_probe(&mut self) {
        self.agent.set_needs_probe(true);
    }

    /// Its worker's state needs no direct command any more.
    pub fn cancel_probe(&mut self) {
        self.agent.set_needs_probe(false);
    }

    /// When this owner got it.
    pub fn added_at(&self) -> Micros {
        self.liveness.added_at()
    }

    /// When the last heartbeat counted, those in replies to direct commands included.
    pub fn last_contact_at(&self) -> Option<Micros> {
        self.liveness.last_contact_at()
    }

    /// When the last heartbeat counted that the worker sent by itself: only the response to
    /// such a one renews its lease.
    pub fn last_heartbeat_at(&self) -> Option<Micros> {
        self.liveness.last_heartbeat_at()
    }

    /// From when on the worker's lease may count: a response that it can have got, or the
    /// start of its agent epoch.
    pub fn lease_started_at(&self) -> Micros {
        self.liveness.lease_started_at()
    }

    /// When the cloud preempts it, if it has given notice.
    pub fn preempted_at(&self) -> Option<Micros> {
        self.preempted_at
    }

    /// Since when nothing is on it.
    pub fn idle_since(&self) -> Micros {
        self.idle_since
    }

    /// Whether it may be given tasks, as far as its own conduct goes.
    pub fn is_schedulable(&self) -> bool {
        self.schedulability.is_open()
    }

    /// It is silent: it gets no tasks until a heartbeat counts again.
    pub fn cordon(&mut self) {
        self.schedulability.cordon();
    }

    /// It fails tasks: it gets none any more.
    pub fn quarantine(&mut self) {
        self.schedulability.quarantine();
    }

    /// How far its release has got.
    pub fn release_state(&self) -> ReleaseState {
        self.release_state
    }

    /// Whether the partition keeps it.
    pub fn is_active(&self) -> bool {
        self.release_state.is_active()
    }

    /// A write that releases it is sent; it depends on this revision of its shard.
    pub fn request_release(&mut self, revision: Revision) {
        self.release_state.request(revision);
    }

    /// The write that releases it has this result.
    pub fn record_release_outcome(&mut self, outcome: ReleaseOutcome) {
        self.release_state.record_outcome(outcome);
    }

    /// Its shard is at this revision.
    pub fn record_shard_revision(&mut self, current: Revision) {
        self.release_state.record_shard_revision(current);
    }

    /// Whether a task of a job failed here lately, so that it tries other machines first.
    pub fn is_avoided_by(&self, job: &JobId, now: Micros) -> bool {
        self.failures.is_recent(job, now)
    }

    /// Whether no command may still arrive by a way that outlives a response.
    pub fn has_no_command_in_transit(&self) -> bool {
        !self.direct_commands.is_in_flight() && !self.fencing.has_delayed_commands()
    }

    /// Whether no owner's attempts are on it or may still arrive.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty() && self.has_no_command_in_transit() && !self.is_unconfirmed()
    }

    /// Whether its worker heeds neither responses nor direct commands, though it may send
    /// heartbeats: nothing more is started there, and what is open stays open.
    pub fn is_unreachable(&self) -> bool {
        self.fencing.is_unacknowledged()
            || self.direct_commands.is_unreachable()
            || self
                .attempts
                .values()
                .any(|attempt| attempt.unacknowledged_sends >= MAX_UNACKNOWLEDGED)
    }

    /// Adds up what its attempts request, those that may not have ended included.
    pub fn compute_load(&self) -> Load {
        let mut load = Load {
            unknown: self.is_unconfirmed(),
            ..Load::default()
        };
        let open = self
            .attempts
            .values()
            .filter(|attempt| !attempt.has_exited());
        for attempt in open {
            match attempt.demand {
                Some(demand) => load.add_request(demand.team, demand.request),
                // Guards against a team above its quota limit: a cancelled job's record is
                // deleted, but its tasks are on their machine until they have ended.
                None => load.unknown = true,
            }
        }
        load
    }

    /// Its worker's lease has surely expired, or the machine is lost: nothing runs there.
    /// Returns the attempts that had not ended.
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
