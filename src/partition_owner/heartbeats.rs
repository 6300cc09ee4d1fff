//! What machines report, and what follows from it.

use super::{Effect, OwnedPartition, UnknownJob};
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{JobId, MachineId};
use crate::jobs::EndedRecord;
use crate::store::Reply;
use crate::workers::{
    Attempt, AttemptEvent, AttemptKey, AttemptPhase, CommandRoute, ExitCause, Heartbeat,
    HeartbeatResponse, TaskDemand,
};
use std::collections::btree_map::Entry;

/// Records of ended jobs that are read at once.
const MOST_READS: usize = 4;
const READ_AGAIN: Micros = Micros::from_millis(500);

impl OwnedPartition {
    /// A worker's report. None: it gets no valid answer from us.
    pub fn handle_heartbeat(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
        until: Micros,
        r: &Heartbeat,
    ) -> Option<HeartbeatResponse> {
        if self.is_being_handed_back() {
            return None;
        }
        let counts = self.observe(now, r)?;
        if counts {
            self.refill(now, wall_clock, fleet, &r.machine);
        }
        let m = self.machines.get_mut(&r.machine)?;
        m.record_response(now, r);
        Some(HeartbeatResponse {
            fencing_token: m.fencing_token(),
            // What does not count gets the token and nothing else: the next report
            // will show it.
            commands: if counts {
                m.commands(CommandRoute::Response)
            } else {
                Vec::new()
            },
            valid_until: until,
        })
    }

    /// Takes in a check-in's report. None: it must not be answered as valid;
    /// otherwise whether it counts.
    fn observe(&mut self, now: Micros, r: &Heartbeat) -> Option<bool> {
        let m = self
            .machines
            .get_mut(&r.machine)
            .filter(|m| m.is_active())?;
        if !m.is_newer(r) {
            // A late copy is older than what is known: it says nothing, not even
            // that the machine lives.
            m.record_stale_heartbeat(r);
            if m.needs_probe() {
                self.pending_commands.insert(r.machine.clone());
            }
            return None;
        }
        if r.fencing_token > m.fencing_token() {
            // Somebody holds this machine under a higher term: the worker would drop
            // our answer, and stay here while its lease runs out.
            return None;
        }
        if !m.shows_term(r) {
            m.record_stale_heartbeat(r);
            self.to_open |= !m.used;
            return Some(false);
        }
        self.to_open |= !m.used;
        m.record_heartbeat(now);
        self.last_report = now;
        self.take_in(now, r);
        Some(true)
    }

    /// A report that counts.
    fn take_in(&mut self, now: Micros, r: &Heartbeat) {
        self.last_heard = now;
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return;
        };
        let was_unconfirmed = m.is_unconfirmed();
        let events = m.reconcile(now, r);
        let changed = was_unconfirmed || !events.is_empty();
        for event in events {
            self.event(now, &r.machine, event);
        }
        if changed {
            self.update_usage(&r.machine);
        }
        self.settled |= was_unconfirmed;
    }

    /// The answer to a `/do`, or none.
    pub fn handle_direct_command_reply(
        &mut self,
        now: Micros,
        id: &MachineId,
        answer: Option<Heartbeat>,
    ) {
        self.directs_out = self.directs_out.saturating_sub(1);
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let Some(r) = answer.filter(|r| r.machine == *id) else {
            m.record_direct_command_lost();
            return;
        };
        m.record_direct_command_reply();
        // Refused for its session: send again under the right one. A higher
        // token than ours means that we are fenced, so not then.
        if r.fencing_token <= m.fencing_token() {
            m.resend_launches();
        }
        if m.has_restarted(&r) {
            tracing::info!(partition = %self.id, machine = %id, "the worker has begun anew");
            m.record_restart(now, &r);
        } else if !m.shows_term(&r) {
            m.record_stale_heartbeat(&r);
            m.cancel_probe();
        } else if m.is_newer(&r) {
            self.take_in(now, &r);
        }
        self.pending_commands.insert(id.clone());
    }

    /// It surely did not go out: there is nothing to fence.
    pub fn handle_direct_command_not_sent(&mut self, now: Micros, id: &MachineId) {
        self.directs_out = self.directs_out.saturating_sub(1);
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        // It can't be reached: what was to start there starts elsewhere, and nothing
        // more is tried there until it reports.
        let keys = m.record_direct_command_not_sent(now + super::starts::DIRECT_AGAIN);
        self.update_usage(id);
        for key in keys {
            self.requeue(&key, id);
        }
    }

    fn event(&mut self, now: Micros, on: &MachineId, event: AttemptEvent) {
        match event {
            AttemptEvent::Started(key) => {
                if let Some(job) = self.jobs.get_mut(&key.task.job) {
                    job.mark_running(key.task.index);
                    self.dirty.insert(key.task.job);
                }
            }
            AttemptEvent::Lost(key) => self.requeue(&key, on),
            AttemptEvent::Ended(key, cause) => self.ended(now, on, key, cause),
            AttemptEvent::Unknown(key, phase, cause) => self.adopt(now, on, key, phase, cause),
        }
    }

    /// A task that a machine shows and we did not start.
    fn adopt(
        &mut self,
        now: Micros,
        on: &MachineId,
        key: AttemptKey,
        phase: AttemptPhase,
        cause: Option<ExitCause>,
    ) {
        let job = self.jobs.get_mut(&key.task.job);
        let index = key.task.index;
        let mut t = Attempt::new(phase, now, job.as_ref().map(|j| (j.team, &j.desc)));
        t.cause = cause;
        if t.demand.is_none() && phase != AttemptPhase::Exited {
            match self.unknown_jobs.entry(key.task.job.clone()) {
                Entry::Occupied(known) => {
                    if let UnknownJob::Known(takes) = known.get() {
                        t.demand = *takes;
                    }
                }
                Entry::Vacant(new) => {
                    new.insert(UnknownJob::Read(now));
                }
            }
        }
        let mut ours = false;
        if let Some(job) = job {
            let free = index < job.desc.tasks
                && !job.done().contains(index)
                && !job.active().contains_key(&index);
            ours = free || job.active().get(&index) == Some(on) && phase == AttemptPhase::Exited;
            if free && phase != AttemptPhase::Exited {
                job.start(index, on.clone());
                if phase == AttemptPhase::Running {
                    job.mark_running(index);
                }
                self.dirty.insert(key.task.job.clone());
            }
        }
        if !ours {
            // Of a job that is over, or elsewhere already: it must go.
            t.request_stop(0.0);
            t.may_be_reaped = true;
        }
        let Some(m) = self.machines.get_mut(on) else {
            return;
        };
        if phase == AttemptPhase::Running {
            m.images.extend(t.image());
        }
        m.attempts.insert(key.clone(), t);
        if phase == AttemptPhase::Exited && ours {
            self.ended(now, on, key, cause.unwrap_or(ExitCause::Other));
        }
    }

    /// Reads of the records of jobs that machines show and that are not known here.
    pub fn take_ended_job_reads(&mut self, now: Micros) -> Vec<Effect> {
        let due = self.unknown_jobs.iter_mut().filter_map(|(id, s)| match s {
            UnknownJob::Read(at) if now >= *at => {
                *s = UnknownJob::Reading;
                Some(Effect::ReadEnded(id.clone()))
            }
            _ => None,
        });
        due.take(MOST_READS).collect()
    }

    /// The record of an ended job was read, or not.
    pub fn handle_ended_job_reply(&mut self, now: Micros, id: &JobId, reply: &Reply) {
        let takes = match reply {
            Reply::Value(row) => EndedRecord::read(row)
                .ok()
                .and_then(|rec| rec.footprint)
                .and_then(|f| {
                    Some(TaskDemand {
                        team: self.settings.team(&f.team)?,
                        request: f.request,
                    })
                }),
            Reply::NotFound => None,
            _ => {
                let again = UnknownJob::Read(now + READ_AGAIN);
                self.unknown_jobs.insert(id.clone(), again);
                return;
            }
        };
        self.unknown_jobs
            .insert(id.clone(), UnknownJob::Known(takes));
        let mut on: Vec<MachineId> = Vec::new();
        for (at, m) in &mut self.machines {
            for (_, t) in m.attempts.iter_mut().filter(|(k, _)| k.task.job == *id) {
                t.demand = t.demand.or(takes);
                on.push(at.clone());
            }
        }
        for at in on {
            self.update_usage(&at);
        }
        self.pass_pending = true;
    }

    fn ended(&mut self, now: Micros, on: &MachineId, key: AttemptKey, cause: ExitCause) {
        let job = self.jobs.get_mut(&key.task.job);
        if cause == ExitCause::Done
            && let Some(job) = job
        {
            job.clear_failures();
            if let Some(m) = self.machines.get_mut(on) {
                m.failures.clear();
            }
            // Wherever else the task was thought to be, it is over.
            job.finish(key.task.index);
            self.dirty.insert(key.task.job.clone());
            self.unreaped
                .entry(key.task.job.clone())
                .or_default()
                .push((on.clone(), key));
            return;
        }
        if let Some(m) = self.machines.get_mut(on) {
            if let Some(t) = m.attempts.get_mut(&key) {
                t.may_be_reaped = true;
            }
            if let Some(job) = job
                && matches!(cause, ExitCause::Error | ExitCause::Unknown)
            {
                job.record_failure(on.clone());
                // One job that fails everywhere says nothing about machines, so it
                // waits longer each time; several failing here condemn the machine.
                if job.is_failing() {
                    self.failing.insert(key.task.job.clone());
                    job.back_off(now);
                }
                m.failures.record(key.task.job.clone(), now);
                let jobs = &self.jobs;
                let fair = m
                    .failures
                    .jobs()
                    .filter(|j| jobs.get(*j).is_none_or(|j| !j.is_failing()));
                if fair.count() >= 2 && m.is_schedulable() {
                    tracing::info!(partition = %self.id, machine = %on, "machine fails tasks of several jobs: drained");
                    m.quarantine();
                }
            }
        }
        tracing::debug!(partition = %self.id, task = %key.task, attempt = %key.attempt, ?cause, machine = %on, "attempt ended");
        self.requeue(&key, on);
    }
}
