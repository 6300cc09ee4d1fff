//! Checks of what changes with time alone and not with messages: worker leases that expire,
//! machines that should be probed, and machines that the cloud is about to preempt.

use super::OwnedPartition;
use super::machine_health::SILENCE_INTERVALS;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{JobId, MachineId};
use crate::jobs::Job;
use crate::placement;
use crate::workers::{Attempt, AttemptKey, AttemptPhase, Machine};

/// Interval between two rounds of checks.
const CHECK_INTERVAL: Micros = Micros::from_millis(500);
/// Shortest interval between two rounds of failback.
const FAILBACK_INTERVAL: Micros = Micros::from_millis(5_000);
/// Time after a failover until unconfirmed machines are sent the fencing token in a direct
/// command. Most machines send a heartbeat by themselves before that.
const TOKEN_COMMAND_DELAY: Micros = Micros::from_millis(2_500);
/// Time that commands and heartbeats take in addition to a checkpoint before a preemption, in
/// seconds. The time for the checkpoint itself is stated by the job.
const PREEMPTION_NOTICE_MARGIN_S: f64 = 3.0;

/// When the checks were last made.
pub(super) struct PeriodicChecks {
    last_check_at: Micros,
    last_failback_at: Micros,
}

impl PeriodicChecks {
    pub(super) fn new(now: Micros) -> Self {
        PeriodicChecks {
            last_check_at: now,
            last_failback_at: now,
        }
    }

    /// Returns whether the checks are due. If so, records that they are made now.
    fn begin_check(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.last_check_at) >= CHECK_INTERVAL;
        if is_due {
            self.last_check_at = now;
        }
        is_due
    }

    /// Returns whether a round of failback is due. If so, records that it is made now.
    pub(super) fn begin_failback(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.last_failback_at) >= FAILBACK_INTERVAL;
        if is_due {
            self.last_failback_at = now;
        }
        is_due
    }
}

impl OwnedPartition {
    /// Runs the checks that are due, then a scheduling pass if one is due. The controller calls
    /// this regularly; late calls count as pauses of the controller.
    pub fn tick(&mut self, now: Micros, wall_clock: Micros, fleet: Resources) {
        self.liveness.record_tick(now);
        if self.checks.begin_check(now) {
            self.run_periodic_checks(now);
            self.check_zones(now, wall_clock);
        }
        if self.failover.take_recount() {
            self.update_recovery(now);
        }
        self.schedule(now, wall_clock, fleet);
    }

    fn run_periodic_checks(&mut self, now: Micros) {
        self.scheduling.retain_failing_jobs(&self.jobs);
        self.expire_worker_leases(now);
        self.withdraw_undeliverable_launches(now);
        self.lift_quarantines(now);
        self.request_probes(now);
        self.stop_before_preemption(now);
        self.update_recovery(now);
        // Back-offs end, the slack of jobs shrinks, and the state of machines changes without
        // any message.
        let has_waiting_work = self.jobs.values().any(Job::wants_machines);
        self.scheduling.request_pass_if(has_waiting_work);
    }

    /// Ends the quarantines whose time is over, so that no job waits for ever beside a machine that
    /// stays in use and has room.
    fn lift_quarantines(&mut self, now: Micros) {
        for (id, machine) in &mut self.machines {
            if machine.lift_ended_quarantine(now) {
                tracing::info!(partition = %self.ownership.partition(), machine = %id, "machine quarantine ended");
            }
        }
    }

    /// Requeues the tasks of machines whose worker's lease has expired. By then the worker has
    /// stopped all its attempts.
    fn expire_worker_leases(&mut self, now: Micros) {
        let lease_timeout = self.settings.worker_lease_timeout();
        let mut expired: Vec<MachineId> = Vec::new();
        let mut lost: Vec<(AttemptKey, MachineId)> = Vec::new();
        let mut displaced: Vec<(JobId, String)> = Vec::new();
        for (id, machine) in &mut self.machines {
            let mut attempts = machine.attempts.values();
            let is_busy = machine.is_unconfirmed()
                || attempts.any(|attempt| attempt.phase != AttemptPhase::Exited);
            if !is_busy || !machine.has_lease_expired(now, lease_timeout) {
                continue;
            }
            tracing::info!(partition = %self.ownership.partition(), machine = %id, "worker lease expired");
            for key in machine.expire() {
                displaced.push((key.task.job.clone(), machine.spec.zone.clone()));
                lost.push((key, id.clone()));
            }
            expired.push(id.clone());
        }
        for id in expired {
            self.update_usage(&id);
        }
        for (key, id) in lost {
            self.requeue(&key, &id);
        }
        for (job, zone) in displaced {
            self.displace(&job, &zone);
        }
    }

    /// Withdraws launches that wait for the heartbeat of a machine which accepts no tasks any more.
    fn withdraw_undeliverable_launches(&mut self, now: Micros) {
        let heartbeat_timeout = self.heartbeat_timeout();
        let machines = self.machines.iter();
        let undeliverable: Vec<MachineId> = machines
            .filter(|(_, machine)| {
                machine.has_unsent_launch()
                    && !placement::accepts_tasks(machine, now, heartbeat_timeout)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in undeliverable {
            self.withdraw_unsent_launches(&id);
        }
    }

    /// Requests direct commands to machines whose heartbeats are late, and to machines that have
    /// not shown this owner's fencing token yet.
    fn request_probes(&mut self, now: Micros) {
        let is_token_due = now.since(self.granted_at()) > TOKEN_COMMAND_DELAY;
        let probe_after = self.heartbeat_intervals(SILENCE_INTERVALS) + CHECK_INTERVAL;
        let release_timeout = self.release_timeout();
        for (id, machine) in &mut self.machines {
            let contact_at = machine.last_contact_at();
            let silence = contact_at.map_or(Micros::ZERO, |contact_at| now.since(contact_at));
            if silence > probe_after && silence < release_timeout {
                // The probe shows whether the machine is alive before a task is started on it.
                machine.request_probe();
            }
            if machine.needs_probe() || machine.is_unconfirmed() && is_token_due {
                self.direct_commands.request(id);
            }
        }
    }

    /// Stops attempts that save checkpoints, just in time before the cloud preempts their
    /// machine.
    fn stop_before_preemption(&mut self, now: Micros) {
        for (id, machine) in &mut self.machines {
            let Some(preempted_at) = machine.preempted_at() else {
                continue;
            };
            for (due, grace_period_s) in due_checkpoints(machine, preempted_at.since(now)) {
                machine.stop(grace_period_s, |key| *key == due);
                self.direct_commands.request(id);
            }
        }
    }
}

/// Returns the running attempts that have to save a checkpoint now on a machine that is preempted
/// after `remaining`, each with the duration of its checkpoint in seconds.
fn due_checkpoints(machine: &Machine, remaining: Micros) -> Vec<(AttemptKey, f64)> {
    let due = |(key, attempt): (&AttemptKey, &Attempt)| {
        if attempt.phase != AttemptPhase::Running || attempt.is_stopping() {
            return None;
        }
        let desc = attempt.desc.as_ref()?;
        let duration_s = desc.checkpoint_duration_s;
        let is_due = desc.checkpoint_interval_s > 0.0
            && remaining < Micros::from_secs(duration_s + PREEMPTION_NOTICE_MARGIN_S);
        is_due.then(|| (key.clone(), duration_s))
    };
    machine.attempts.iter().filter_map(due).collect()
}
