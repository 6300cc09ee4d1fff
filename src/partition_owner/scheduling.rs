//! What to start and what to preempt: passes over the whole partition, and refills of single
//! machines between them.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{MachineId, TaskId};
use crate::placement::{
    self, CandidateMachines, PassLimits, Placement, PlacementPass, Queues, Victim,
};
use crate::workers::{Attempt, AttemptKey, AttemptPhase};

/// The bounds of a pass over the partition.
const PASS_LIMITS: PassLimits = PassLimits {
    max_jobs_per_team: 400,
    max_placements: 400,
};
/// The bounds of refilling one machine.
const REFILL_LIMITS: PassLimits = PassLimits {
    max_jobs_per_team: 48,
    max_placements: 400,
};

/// How the commands to start attempts reach their machines.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LaunchDelivery {
    /// By a direct command.
    DirectCommand,
    /// In the answer to the heartbeat that is being handled.
    HeartbeatResponse,
}

impl OwnedPartition {
    /// Decides over the whole partition what to start, if anything changed.
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

    /// Starts what finds room in the partition; how many machines that compared.
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
        let pass = placement::run_pass(&snapshot, queues, candidates, PASS_LIMITS);
        let is_cut_short = pass.placements.len() >= PASS_LIMITS.max_placements;
        self.scheduling.request_pass_if(is_cut_short);
        self.scheduling
            .add_machines_compared(pass.machines_compared);
        self.hold(&pass);
        let compared = candidate_count + pass.machines_compared;
        self.start(
            now,
            wall_clock,
            pass.placements,
            LaunchDelivery::DirectCommand,
        );
        compared
    }

    /// Holds freed room for the head job that waits for it, and for no other any more.
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

    /// Room got free on a machine that is about to be answered: what comes next there is
    /// decided without comparing any other machine.
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
        let pass = placement::run_pass(&snapshot, queues, candidate, REFILL_LIMITS);
        self.scheduling
            .add_machines_compared(pass.machines_compared);
        let delivery = LaunchDelivery::HeartbeatResponse;
        self.start(now, wall_clock, pass.placements, delivery);
    }

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
            if delivery == LaunchDelivery::DirectCommand {
                self.direct_commands.request(&machine_id);
            }
        }
    }

    /// Whether the job and the machine are still there.
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
            // Until these have ended, no others of it are tried.
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

    /// Stops work for what found no room and comes before it.
    fn preempt(&mut self, now: Micros, wall_clock: Micros, fleet: Resources) {
        let plan = placement::plan_preemption(&self.snapshot(now, wall_clock, fleet));
        self.scheduling
            .add_machines_compared(plan.machines_compared);
        for preemption in plan.preemptions {
            let Some(machine) = self.machines.get_mut(&preemption.machine) else {
                continue;
            };
            for Victim {
                key,
                grace_period_s,
            } in &preemption.victims
            {
                tracing::debug!(partition = %self.ownership.partition(), job = %key.task.job, task = %key.task, attempt = %key.attempt, machine = %preemption.machine, preempted_for = %preemption.reserve.job, "attempt preempted");
                machine.stop(*grace_period_s, |other| other == key);
            }
            self.direct_commands.request(&preemption.machine);
            machine.reservations.add(preemption.reserve);
        }
    }
}
