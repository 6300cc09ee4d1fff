//! What follows from changes of attempts that a heartbeat shows.

use super::{NO_GRACE_PERIOD_S, OwnedPartition, UnreapedAttempt};
use crate::clock::Micros;
use crate::ids::{JobId, MachineId};
use crate::workers::{Attempt, AttemptEvent, AttemptKey, AttemptPhase, ExitCause};

/// A machine on which tasks of so many jobs failed that do not fail elsewhere is quarantined.
const QUARANTINE_FAILED_JOBS: usize = 2;

impl OwnedPartition {
    pub(super) fn handle_attempt_event(
        &mut self,
        now: Micros,
        machine: &MachineId,
        event: AttemptEvent,
    ) {
        match event {
            AttemptEvent::Started(key) => {
                if let Some(job) = self.jobs.get_mut(&key.task.job) {
                    job.mark_running(key.task.index);
                    self.job_writes.mark_dirty(&key.task.job);
                }
            }
            AttemptEvent::Lost(key) => self.requeue(&key, machine),
            AttemptEvent::Ended(key, cause) => self.handle_attempt_end(now, machine, key, cause),
            AttemptEvent::Unknown(key, phase, cause) => {
                self.adopt_attempt(now, machine, key, phase, cause);
            }
        }
    }

    /// An attempt that a machine shows and that was not started by this owner: of an earlier
    /// owner, or of a job that is not known here.
    fn adopt_attempt(
        &mut self,
        now: Micros,
        on: &MachineId,
        key: AttemptKey,
        phase: AttemptPhase,
        cause: Option<ExitCause>,
    ) {
        let job = self.jobs.get(&key.task.job);
        let mut attempt = Attempt::new(phase, now, job.map(|job| (job.team, &job.desc)));
        attempt.cause = cause;
        if attempt.demand.is_none() && phase != AttemptPhase::Exited {
            attempt.demand = self.unknown_jobs.demand(now, &key.task.job);
        }
        let is_ours = self.claim_task(on, &key, phase);
        if !is_ours {
            // Of a job that has ended, or elsewhere already: it must be stopped.
            attempt.request_stop(NO_GRACE_PERIOD_S);
            attempt.may_be_reaped = true;
        }
        let Some(machine) = self.machines.get_mut(on) else {
            return;
        };
        if phase == AttemptPhase::Running {
            machine.images.extend(attempt.image());
        }
        machine.attempts.insert(key.clone(), attempt);
        if phase == AttemptPhase::Exited && is_ours {
            self.handle_attempt_end(now, on, key, cause.unwrap_or(ExitCause::Other));
        }
    }

    /// Whether a task may be where a machine shows it; if it was not started elsewhere, it is
    /// taken for started there.
    fn claim_task(&mut self, on: &MachineId, key: &AttemptKey, phase: AttemptPhase) -> bool {
        let index = key.task.index;
        let Some(job) = self.jobs.get_mut(&key.task.job) else {
            return false;
        };
        let is_free = index < job.desc.tasks
            && !job.done().contains(index)
            && !job.active().contains_key(&index);
        if is_free && phase != AttemptPhase::Exited {
            job.start(index, on.clone());
            if phase == AttemptPhase::Running {
                job.mark_running(index);
            }
            self.job_writes.mark_dirty(&key.task.job);
        }
        is_free || job.active().get(&index) == Some(on) && phase == AttemptPhase::Exited
    }

    fn handle_attempt_end(
        &mut self,
        now: Micros,
        on: &MachineId,
        key: AttemptKey,
        cause: ExitCause,
    ) {
        if cause == ExitCause::Done && self.jobs.contains_key(&key.task.job) {
            self.record_success(on, key);
            return;
        }
        self.record_failure(now, on, &key, cause);
        tracing::debug!(partition = %self.id(), task = %key.task, attempt = %key.attempt, ?cause, machine = %on, "attempt ended");
        self.requeue(&key, on);
    }

    fn record_success(&mut self, on: &MachineId, key: AttemptKey) {
        let Some(job) = self.jobs.get_mut(&key.task.job) else {
            return;
        };
        job.clear_failures();
        if let Some(machine) = self.machines.get_mut(on) {
            machine.failures.clear();
        }
        // Wherever else the task was thought to be, it is done.
        job.finish(key.task.index);
        self.job_writes.mark_dirty(&key.task.job);
        self.job_writes.add_unreaped(UnreapedAttempt {
            machine: on.clone(),
            key,
        });
    }

    fn record_failure(&mut self, now: Micros, on: &MachineId, key: &AttemptKey, cause: ExitCause) {
        let Some(machine) = self.machines.get_mut(on) else {
            return;
        };
        if let Some(attempt) = machine.attempts.get_mut(key) {
            attempt.may_be_reaped = true;
        }
        let is_failure = matches!(cause, ExitCause::Error | ExitCause::Unknown);
        let Some(job) = self.jobs.get_mut(&key.task.job).filter(|_| is_failure) else {
            return;
        };
        job.record_failure(on.clone());
        // One job that fails everywhere says nothing about machines, so it waits longer each
        // time; several that fail on one machine quarantine it.
        if job.is_failing() {
            self.scheduling.add_failing_job(&key.task.job);
            job.back_off(now);
        }
        machine.failures.record(key.task.job.clone(), now);
        let fails_elsewhere = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.is_failing());
        let failed_jobs = machine.failures.jobs();
        let failed_here = failed_jobs.filter(|id| !fails_elsewhere(id)).count();
        if failed_here >= QUARANTINE_FAILED_JOBS && machine.is_schedulable() {
            tracing::info!(partition = %self.ownership.partition(), machine = %on, "machine quarantined");
            machine.quarantine();
        }
    }
}
