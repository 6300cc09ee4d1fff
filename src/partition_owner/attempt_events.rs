//! Handling of the changes of attempts that heartbeats report: updates the jobs, requeues tasks
//! of lost attempts, adopts attempts that this owner did not start, and quarantines machines on
//! which several jobs fail.

use super::{NO_GRACE_PERIOD_S, OwnedPartition, UnreapedAttempt};
use crate::clock::Micros;
use crate::ids::{JobId, MachineId};
use crate::workers::{Attempt, AttemptEvent, AttemptKey, AttemptPhase, ExitCause};

/// Number of jobs whose tasks must have failed on a machine for it to be quarantined. Jobs that
/// are failing on several machines do not count.
const QUARANTINE_FAILED_JOBS: usize = 2;

impl OwnedPartition {
    pub(super) fn handle_attempt_event(
        &mut self,
        now: Micros,
        machine_id: &MachineId,
        event: AttemptEvent,
    ) {
        match event {
            AttemptEvent::Started(key) => {
                if let Some(job) = self.jobs.get_mut(&key.task.job) {
                    job.mark_running(key.task.index);
                    self.job_writes.mark_dirty(&key.task.job);
                }
            }
            AttemptEvent::Lost(key) => self.requeue(&key, machine_id),
            AttemptEvent::Ended(key, cause) => {
                self.handle_attempt_end(now, machine_id, key, cause);
            }
            AttemptEvent::Unknown(key, phase, cause) => {
                self.adopt_attempt(now, machine_id, key, phase, cause);
            }
        }
    }

    /// Adopts an attempt that a heartbeat reports and that this owner did not start: it belongs
    /// to an earlier owner or to an unknown job. It is stopped if its task must not run there.
    fn adopt_attempt(
        &mut self,
        now: Micros,
        machine_id: &MachineId,
        key: AttemptKey,
        phase: AttemptPhase,
        cause: Option<ExitCause>,
    ) {
        if key.attempt.is_of_term(self.term()) {
            self.record_reappearance(machine_id, &key, phase);
        }
        let job = self.jobs.get(&key.task.job);
        let mut attempt = Attempt::new(phase, now, job.map(|job| (job.team, &job.desc)));
        attempt.cause = cause;
        if attempt.demand.is_none() && phase != AttemptPhase::Exited {
            attempt.demand = self.unknown_jobs.demand(now, &key.task.job);
        }
        let is_claimed = self.claim_task(machine_id, &key, phase);
        if !is_claimed {
            // Its job has ended or its task is elsewhere already, so it must be stopped.
            attempt.request_stop(NO_GRACE_PERIOD_S);
            attempt.may_be_reaped = true;
        }
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if phase == AttemptPhase::Running {
            machine.images.extend(attempt.image());
        }
        machine.attempts.insert(key.clone(), attempt);
        if phase == AttemptPhase::Exited && is_claimed {
            self.handle_attempt_end(now, machine_id, key, cause.unwrap_or(ExitCause::Other));
        }
    }

    /// Records that a worker shows an attempt which this owner launched and then counted as gone.
    /// Only a message that took effect too late can have started it again.
    fn record_reappearance(&mut self, machine: &MachineId, key: &AttemptKey, phase: AttemptPhase) {
        self.reappeared_attempts += 1;
        tracing::info!(partition = %self.id(), %machine, task = %key.task, attempt = %key.attempt, ?phase, "attempt reappeared");
    }

    /// Returns whether a task may be on the machine that reports it. Records a live attempt as
    /// the task's active one unless the task is done or was started elsewhere.
    fn claim_task(
        &mut self,
        machine_id: &MachineId,
        key: &AttemptKey,
        phase: AttemptPhase,
    ) -> bool {
        let index = key.task.index;
        let Some(job) = self.jobs.get_mut(&key.task.job) else {
            return false;
        };
        let is_free = index < job.desc.tasks
            && !job.done().contains(index)
            && !job.active().contains_key(&index);
        if is_free && phase != AttemptPhase::Exited {
            job.start(index, machine_id.clone());
            if phase == AttemptPhase::Running {
                job.mark_running(index);
            }
            self.job_writes.mark_dirty(&key.task.job);
        }
        is_free || job.active().get(&index) == Some(machine_id) && phase == AttemptPhase::Exited
    }

    fn handle_attempt_end(
        &mut self,
        now: Micros,
        machine_id: &MachineId,
        key: AttemptKey,
        cause: ExitCause,
    ) {
        if cause == ExitCause::Done && self.jobs.contains_key(&key.task.job) {
            self.record_success(machine_id, key);
            return;
        }
        self.record_failure(now, machine_id, &key, cause);
        tracing::debug!(partition = %self.id(), task = %key.task, attempt = %key.attempt, ?cause, machine = %machine_id, "attempt ended");
        self.requeue(&key, machine_id);
    }

    fn record_success(&mut self, machine_id: &MachineId, key: AttemptKey) {
        let Some(job) = self.jobs.get_mut(&key.task.job) else {
            return;
        };
        job.clear_failures();
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.failures.clear();
        }
        // The task is done, even if it was recorded as active on another machine.
        job.finish(key.task.index);
        self.job_writes.mark_dirty(&key.task.job);
        self.job_writes.add_unreaped(UnreapedAttempt {
            machine: machine_id.clone(),
            key,
        });
    }

    fn record_failure(
        &mut self,
        now: Micros,
        machine_id: &MachineId,
        key: &AttemptKey,
        cause: ExitCause,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if let Some(attempt) = machine.attempts.get_mut(key) {
            attempt.may_be_reaped = true;
        }
        let is_failure = matches!(cause, ExitCause::Error | ExitCause::Unknown);
        let Some(job) = self.jobs.get_mut(&key.task.job).filter(|_| is_failure) else {
            return;
        };
        job.record_failure(machine_id.clone());
        // A job that fails on several machines is itself at fault: it backs off, longer each
        // time. A machine on which several other jobs fail is quarantined.
        if job.is_failing() {
            self.scheduling.add_failing_job(&key.task.job);
            job.back_off(now);
        }
        machine.failures.record(key.task.job.clone(), now);
        let fails_elsewhere = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.is_failing());
        let failed_jobs = machine.failures.jobs();
        let failed_here = failed_jobs.filter(|id| !fails_elsewhere(id)).count();
        if failed_here >= QUARANTINE_FAILED_JOBS && machine.is_schedulable() {
            tracing::info!(partition = %self.ownership.partition(), machine = %machine_id, "machine quarantined");
            machine.quarantine(now);
        }
    }
}
