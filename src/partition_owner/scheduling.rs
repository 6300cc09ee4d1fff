//! Scheduling: decides which tasks to start and which attempts to preempt.
//!
//! A pass considers the whole partition. Between passes, a machine that gets free capacity is
//! refilled alone, which is cheaper.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{MachineId, TaskId};
use crate::placement::{
    self, CandidateMachines, PassLimits, Placement, PlacementPass, Queues, Victim,
};
use crate::workers::{Attempt, AttemptKey, AttemptPhase};
use std::collections::BTreeSet;

/// Bounds of a pass over the partition.
const PASS_LIMITS: PassLimits = PassLimits {
    max_failed_searches: 400,
    max_placements: 400,
};
/// Bounds of refilling one machine.
const REFILL_LIMITS: PassLimits = PassLimits {
    max_failed_searches: 48,
    max_placements: 400,
};

/// Way in which the commands to launch attempts reach their machines.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LaunchDelivery {
    /// In the response to a heartbeat that a direct command makes the worker send.
    NextHeartbeat,
    /// In the response to the heartbeat that is being handled.
    ThisHeartbeat,
}

impl OwnedPartition {
    /// Runs a pass over the whole partition if one is due: starts tasks, and preempts attempts
    /// for tasks that found no room.
    pub(super) fn schedule(&mut self, now: Micros, wall_clock: Micros, fleet: Resources) {
        if self.is_being_handed_back() || !self.scheduling.begin_pass(now) {
            return;
        }
        let snapshot = self.snapshot(now, wall_clock, fleet);
        let queues = placement::build_queues(&snapshot);
        let waiting = self.scheduling.constrained().waiting(&snapshot, &queues);
        self.scheduling.set_waiting(waiting);
        let compared = if queues.is_empty() {
            self.hold(&PlacementPass::default());
            0
        } else {
            self.place(now, wall_clock, fleet, &queues)
        };
        self.scheduling.finish_pass(now, compared, queues);
        if self.scheduling.begin_preemption(now) {
            self.preempt(now, wall_clock, fleet);
        }
    }

    /// Starts the queued tasks that find room in the partition. Returns the number of machines
    /// that were compared, which determines when the next pass is due.
    fn place(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
        queues: &Queues,
    ) -> usize {
        let snapshot = self.snapshot(now, wall_clock, fleet);
        let candidates = CandidateMachines::of_partition(&snapshot);
        let candidate_count = candidates.len();
        let passed_over = self.scheduling.passed_over();
        let mut pass = placement::run_pass(&snapshot, queues, candidates, PASS_LIMITS, passed_over);
        let is_cut_short = pass.placements.len() >= PASS_LIMITS.max_placements;
        self.scheduling.request_pass_if(is_cut_short);
        self.scheduling
            .set_passed_over(std::mem::take(&mut pass.passed_over));
        self.scheduling
            .add_machines_compared(pass.machines_compared);
        self.hold(&pass);
        let compared = candidate_count + pass.machines_compared;
        self.start(
            now,
            wall_clock,
            pass.placements,
            LaunchDelivery::NextHeartbeat,
        );
        compared
    }

    /// Holds free capacity for the first queued job that found no room in the pass, and releases
    /// the capacity that was held after the pass before.
    fn hold(&mut self, pass: &PlacementPass) {
        let held = match &pass.held {
            Some((_, machines)) => machines.clone(),
            None => Vec::new(),
        };
        for id in self.scheduling.replace_held(held) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.reservations.release_hold();
            }
        }
        let Some((job, machines)) = &pass.held else {
            return;
        };
        for id in machines {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.reservations.hold_for(job.clone());
            }
        }
    }

    /// Starts queued tasks in the free capacity of a machine whose heartbeat is about to be
    /// answered. No other machine is compared.
    pub(super) fn refill_machine(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
        id: &MachineId,
    ) {
        let queues = self.scheduling.queues();
        if queues.is_empty() {
            return;
        }
        let snapshot = self.snapshot(now, wall_clock, fleet);
        let Some((id, _)) = self.machines.get_key_value(id) else {
            return;
        };
        let Some(candidate) = CandidateMachines::of_machine(&snapshot, id) else {
            return;
        };
        let none = BTreeSet::new();
        let pass = placement::run_pass(&snapshot, queues, candidate, REFILL_LIMITS, &none);
        self.scheduling
            .add_machines_compared(pass.machines_compared);
        let delivery = LaunchDelivery::ThisHeartbeat;
        self.start(now, wall_clock, pass.placements, delivery);
    }

    /// Starts attempts for the placed tasks.
    fn start(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        placements: Vec<Placement>,
        delivery: LaunchDelivery,
    ) {
        for placement in placements {
            let machine_id = placement.machine.clone();
            if !self.start_attempt(now, wall_clock, placement) {
                continue;
            }
            self.update_usage(&machine_id);
            if delivery == LaunchDelivery::NextHeartbeat {
                self.direct_commands.request(&machine_id);
            }
        }
    }

    /// Starts an attempt of the placed task. Returns false if its job or its machine no longer
    /// exists.
    fn start_attempt(&mut self, now: Micros, wall_clock: Micros, placement: Placement) -> bool {
        let term = self.ownership.term();
        let attempt_id = self.scheduling.next_attempt(term);
        let Placement {
            job: job_id,
            index,
            machine: machine_id,
            ..
        } = placement;
        let Some(job) = self.jobs.get_mut(&job_id) else {
            return false;
        };
        let Some(machine) = self.machines.get_mut(&machine_id) else {
            return false;
        };
        job.start(index, machine_id.clone());
        job.last_start_at = wall_clock;
        if job.is_failing() {
            // A failing job backs off with each start, so that the tasks started now can end
            // before others of it are tried.
            job.back_off(now);
        }
        let attempt = Attempt::new(AttemptPhase::Launching, now, Some((job.team, &job.desc)));
        machine.images.insert(job.desc.image_key());
        machine.reservations.consume(&job_id, now);
        let task = TaskId { job: job_id, index };
        tracing::debug!(partition = %self.ownership.partition(), %term, job = %task.job, %task, attempt = %attempt_id, machine = %machine_id, "attempt started");
        let key = AttemptKey {
            task,
            attempt: attempt_id,
        };
        machine.attempts.insert(key, attempt);
        true
    }

    /// Preempts attempts for queued tasks that found no room and take precedence over them.
    fn preempt(&mut self, now: Micros, wall_clock: Micros, fleet: Resources) {
        let snapshot = self.snapshot(now, wall_clock, fleet);
        let passed_over = self.scheduling.passed_over_by_preemption();
        let plan = placement::plan_preemption(&snapshot, passed_over);
        self.scheduling
            .add_machines_compared(plan.machines_compared);
        self.scheduling
            .set_passed_over_by_preemption(plan.passed_over);
        for preemption in plan.preemptions {
            let Some(machine) = self.machines.get_mut(&preemption.machine) else {
                continue;
            };
            for Victim {
                key,
                grace_period_s,
            } in &preemption.victims
            {
                tracing::debug!(partition = %self.ownership.partition(), job = %key.task.job, task = %key.task, attempt = %key.attempt, machine = %preemption.machine, preempted_for = %preemption.reservation.job, "attempt preempted");
                machine.stop(*grace_period_s, |other| other == key);
            }
            self.direct_commands.request(&preemption.machine);
            machine.reservations.add(preemption.reservation);
        }
    }
}
