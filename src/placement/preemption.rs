//! Preemption: decides which attempts are stopped to free capacity for waiting jobs.
//!
//! An attempt may be stopped for a job of higher priority, or for a job of a team below its
//! guarantee if the attempt's own team is above its guarantee. In both cases the work lost must
//! be small compared with the work that the freed capacity is used for.

mod victims;

use super::hold_rule::{fits_guarantee, is_guaranteed};
use super::{CandidateMachines, SchedulingSnapshot, accepts_tasks, is_launchable};
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::{JobId, MachineId};
use crate::jobs::{Job, Priority};
use crate::workers::{AttemptKey, AttemptPhase, Machine, Reservation};
use std::collections::{BTreeMap, BTreeSet};
use victims::{MachinePlan, VictimSearch, starts_immediately};

/// An attempt to be stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct Victim {
    /// Key of the attempt.
    pub key: AttemptKey,
    /// Time that the attempt gets for writing a checkpoint, in seconds.
    pub grace_period_s: f64,
}

/// The attempts to be stopped on one machine for a job, and the reservation of the freed capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct MachinePreemption {
    /// Machine on which the attempts are stopped.
    pub machine: MachineId,
    /// Attempts that are stopped.
    pub victims: Vec<Victim>,
    /// Reservation of capacity on the machine for the preempting job.
    pub reservation: Reservation,
}

/// The result of planning preemptions.
#[derive(Debug, Default)]
pub struct PreemptionPlan {
    /// Preemptions, at most one for each machine and preempting job.
    pub preemptions: Vec<MachinePreemption>,
    /// Number of comparisons of a job with a machine: the cost of planning.
    pub machines_compared: usize,
    /// If the run ended before all jobs were looked at: the jobs for which nothing could be stopped.
    /// Empty otherwise.
    pub passed_over: Vec<JobId>,
}

/// Slack in microseconds below which a job is likely to miss its deadline and may preempt.
const MAX_PREEMPTING_SLACK_US: i64 = 8_000_000;
/// Lateness in microseconds beyond which a deadline is lost: preemption does not help any more.
const MAX_LATENESS_US: i64 = 2_000_000;
/// Minimum time that a job without a deadline waits before it may preempt.
const MIN_WAIT_WITHOUT_DEADLINE: Micros = Micros::from_millis(10_000);
/// Fraction of its start latency objective for which a job that must start immediately waits before
/// it may preempt.
const IMMEDIATE_WAIT_FRACTION: f64 = 0.3;
/// Fraction of its start latency objective for which any other job without a deadline waits before
/// it may preempt.
const WAIT_FRACTION: f64 = 0.5;
/// Time for which the freed capacity is reserved for the preempting job.
const RESERVATION_TIMEOUT: Micros = Micros::from_millis(8_000);
/// Maximum number of jobs that attempts are stopped for in one run.
const MAX_PREEMPTING_JOBS: usize = 6;
/// Number of comparisons of a job with a machine after which a run ends. Jobs for which nothing can be
/// stopped count only by their comparisons.
const MAX_COMPARISONS: usize = 24_000;

/// Decides which attempts to stop for jobs of a higher priority, and for jobs of a team below its
/// guarantee at the expense of teams above theirs. Attempts are stopped only if little work is
/// lost compared with the work gained. The jobs in `passed_over` are skipped: earlier runs found
/// nothing to stop for them, and did not come to the jobs behind them.
pub fn plan_preemption(
    snapshot: &SchedulingSnapshot<'_>,
    passed_over: &BTreeSet<JobId>,
) -> PreemptionPlan {
    let jobs = preempting_jobs(snapshot, passed_over);
    if jobs.is_empty() {
        return PreemptionPlan::default();
    }
    let mut planner = Planner::new(snapshot);
    let mut in_vain = Vec::new();
    let mut served = 0;
    for (id, job) in jobs {
        if served >= MAX_PREEMPTING_JOBS || planner.plan.machines_compared >= MAX_COMPARISONS {
            planner.plan.passed_over = in_vain;
            break;
        }
        if planner.plan_for(id, job) {
            served += 1;
        } else {
            in_vain.push(id.clone());
        }
    }
    planner.plan
}

/// Returns the jobs for which attempts may be stopped, in the order in which they are served: by
/// priority, then the heaviness of their team, then slack.
fn preempting_jobs<'a>(
    snapshot: &SchedulingSnapshot<'a>,
    passed_over: &BTreeSet<JobId>,
) -> Vec<(&'a JobId, &'a Job)> {
    let mut jobs: Vec<(&JobId, &Job)> = snapshot
        .jobs
        .iter()
        .filter(|(_, job)| is_launchable(job, snapshot.now, snapshot.recovery))
        .filter(|(_, job)| needs_preemption(job, snapshot.wall_clock))
        // The zones allowed for these jobs change with each task that is placed. They wait for
        // free capacity instead.
        .filter(|(_, job)| !job.desc.single_zone && !job.desc.anti_affinity)
        .filter(|(id, _)| !passed_over.contains(*id))
        .collect();
    if jobs.is_empty() {
        return jobs;
    }
    // Drops jobs that may stop no attempt before any machine is compared for them. With a full
    // fleet, these comparisons took most of the owner's processor time, until it could not read
    // its machines' heartbeats.
    let lowest = lowest_running_priority(snapshot);
    jobs.retain(|(_, job)| {
        lowest.is_some_and(|lowest| lowest < job.effective_priority())
            || is_guaranteed(snapshot, snapshot.usage, job)
    });
    if jobs.is_empty() {
        return jobs;
    }
    let machines = CandidateMachines::of_partition(snapshot);
    jobs.retain(|(_, job)| machines.suit(&job.desc));
    let heaviness: BTreeMap<usize, f64> = snapshot
        .teams
        .iter()
        .map(|team| (*team, snapshot.heaviness(snapshot.usage, *team)))
        .collect();
    let heaviness_of = |job: &Job| heaviness.get(&job.team).copied().unwrap_or(0.0);
    jobs.sort_by(|(_, left), (_, right)| {
        let by_priority = right.effective_priority().cmp(&left.effective_priority());
        by_priority
            .then(heaviness_of(left).total_cmp(&heaviness_of(right)))
            .then(
                left.slack_us(snapshot.wall_clock)
                    .cmp(&right.slack_us(snapshot.wall_clock)),
            )
    });
    jobs
}

/// Whether a job needs preemption now. A job that must start immediately needs it after a fraction
/// of its start latency objective, unless its deadline is lost. Any other job with a deadline needs
/// it while the deadline is near but not lost, and a job without a deadline after a minimum wait.
fn needs_preemption(job: &Job, wall_clock: Micros) -> bool {
    let waited = wall_clock.since(job.eligible_since());
    match (starts_immediately(job), job.effective_deadline()) {
        (Some(within), _) if job.slack_us(wall_clock) >= -MAX_LATENESS_US => {
            waited >= within.part(IMMEDIATE_WAIT_FRACTION)
        }
        (_, Some(_)) => {
            (-MAX_LATENESS_US..MAX_PREEMPTING_SLACK_US).contains(&job.slack_us(wall_clock))
        }
        (_, None) => {
            let objective = job.start_latency_objective;
            let min_wait = objective.map_or(Micros::ZERO, |within| within.part(WAIT_FRACTION));
            waited >= MIN_WAIT_WITHOUT_DEADLINE.max(min_wait)
        }
    }
}

/// Returns the lowest effective priority of all jobs that have a task on a machine; `None`: no job
/// has one.
fn lowest_running_priority(snapshot: &SchedulingSnapshot<'_>) -> Option<Priority> {
    let running = snapshot
        .jobs
        .values()
        .filter(|job| !job.active().is_empty());
    running.map(Job::effective_priority).min()
}

/// Returns the capacity of a machine that is free for preempting jobs. Attempts that are being
/// stopped count as free: they were stopped for a job, and the capacity reserved for that job is
/// subtracted.
fn free_after_stops(machine: &Machine, now: Micros) -> Resources {
    let mut free = machine.spec.capacity - machine.load.summed;
    for attempt in machine.attempts.values() {
        if attempt.is_stopping() && attempt.phase != AttemptPhase::Exited {
            free += attempt.request();
        }
    }
    for reservation in machine.reservations.active(now) {
        free -= reservation.resources();
    }
    free
}

/// Returns the number of tasks of each job for which capacity is reserved already.
fn reserved_tasks<'a>(snapshot: &SchedulingSnapshot<'a>) -> BTreeMap<&'a JobId, u32> {
    let mut reserved = BTreeMap::new();
    let machines = snapshot.machines.values();
    for reservation in machines.flat_map(|machine| machine.reservations.active(snapshot.now)) {
        *reserved.entry(&reservation.job).or_default() += reservation.count;
    }
    reserved
}

/// Plans preemptions for one job after another.
struct Planner<'s, 'a> {
    snapshot: &'s SchedulingSnapshot<'a>,
    /// Usage by team as it will be when all chosen attempts have stopped.
    usage: UsageByTeam,
    /// Free capacity of each usable machine as it will be when all chosen attempts have stopped.
    free_by_machine: BTreeMap<&'a MachineId, Resources>,
    /// Number of tasks of each job for which capacity was reserved before this run.
    reserved_tasks: BTreeMap<&'a JobId, u32>,
    /// Attempts that were chosen to be stopped so far.
    chosen: BTreeSet<AttemptKey>,
    plan: PreemptionPlan,
}

impl<'s, 'a> Planner<'s, 'a> {
    fn new(snapshot: &'s SchedulingSnapshot<'a>) -> Self {
        let usable = snapshot.machines.iter().filter(|(_, machine)| {
            accepts_tasks(machine, snapshot.now, snapshot.heartbeat_timeout)
        });
        Planner {
            usage: snapshot.usage.clone(),
            free_by_machine: usable
                .map(|(id, machine)| (id, free_after_stops(machine, snapshot.now)))
                .collect(),
            reserved_tasks: reserved_tasks(snapshot),
            snapshot,
            chosen: BTreeSet::new(),
            plan: PreemptionPlan::default(),
        }
    }

    /// Plans preemptions for the waiting tasks of one job. Returns whether it gets any capacity.
    fn plan_for(&mut self, id: &JobId, job: &Job) -> bool {
        let request = job.desc.request();
        let reserved = self.reserved_tasks.get(id).copied().unwrap_or(0);
        let mut used = self.usage.of(job.team).used;
        used += request.scale(f64::from(reserved));
        let team = &self.snapshot.settings.platform.teams[job.team];
        let mut pending = request
            .times_in(&(team.limit() - used))
            .min(job.waiting().len().saturating_sub(reserved));
        let wanted = pending;
        if wanted == 0 {
            return false;
        }
        pending -= self.take_free_capacity(id, job, pending);
        if pending == 0 {
            return true;
        }
        let is_guaranteed = fits_guarantee(team, used, request);
        self.plan.machines_compared += self.free_by_machine.len();
        for plan in self.machine_plans(id, job, pending, is_guaranteed) {
            if pending == 0 {
                break;
            }
            pending -= self.add_to_plan(id, request, plan, pending);
        }
        pending < wanted
    }

    /// Whether a task of the job may be placed on the machine, whatever is free there.
    fn is_allowed(&self, id: &JobId, job: &Job, machine: &Machine) -> bool {
        job.desc.allows(
            &machine.spec.machine_type,
            &machine.spec.zone,
            machine.spec.spot,
        ) && !machine.is_avoided_by(id, self.snapshot.now)
            && !self.snapshot.is_zone_closed_to(job, &machine.spec.zone)
    }

    /// Takes free capacity for up to `pending` tasks of a job, such as capacity that a preemption
    /// for another job left over. Returns the number of tasks that it suffices for.
    fn take_free_capacity(&mut self, id: &JobId, job: &Job, pending: u32) -> u32 {
        let request = job.desc.request();
        let mut taken = 0;
        let mut free_by_machine = std::mem::take(&mut self.free_by_machine);
        for (machine, free) in &mut free_by_machine {
            let count = request.times_in(free).min(pending - taken);
            if count > 0 && self.is_allowed(id, job, &self.snapshot.machines[*machine]) {
                *free -= request.scale(f64::from(count));
                taken += count;
            }
        }
        self.free_by_machine = free_by_machine;
        taken
    }

    /// Returns what could be stopped on each machine, the lowest loss ratio first. Iterates over
    /// the machines once for all pending tasks of the job.
    fn machine_plans(
        &self,
        id: &JobId,
        job: &Job,
        pending: u32,
        is_guaranteed: bool,
    ) -> Vec<MachinePlan<'a>> {
        let search = VictimSearch {
            snapshot: self.snapshot,
            usage: &self.usage,
            chosen: &self.chosen,
            job,
            pending,
            is_guaranteed,
        };
        let request = job.desc.request();
        let mut plans: Vec<MachinePlan<'a>> = self
            .free_by_machine
            .iter()
            .filter(|(machine, _)| {
                let machine = &self.snapshot.machines[**machine];
                self.is_allowed(id, job, machine) && request.fits_in(&machine.spec.capacity)
            })
            .filter_map(|(machine, free)| search.on_machine(machine, *free))
            .collect();
        plans.sort_by(|left, right| left.loss_ratio.total_cmp(&right.loss_ratio));
        plans
    }

    /// Adds the plan for one machine to the whole plan. Returns the number of tasks that it frees
    /// capacity for.
    fn add_to_plan(
        &mut self,
        id: &JobId,
        request: Resources,
        plan: MachinePlan<'a>,
        pending: u32,
    ) -> u32 {
        let machine = &self.snapshot.machines[plan.machine];
        let Some(free) = self.free_by_machine.get_mut(plan.machine) else {
            return 0;
        };
        let count = plan.count.min(pending);
        let mut load = machine.load.clone();
        self.usage.remove(&load, machine.spec.capacity);
        for victim in &plan.victims {
            if let Some(attempt) = machine.attempts.get(&victim.key) {
                *free += attempt.request();
                if let Some(demand) = attempt.demand {
                    load.add_request(demand.team, demand.request.scale(-1.0));
                }
            }
            self.chosen.insert(victim.key.clone());
        }
        self.usage.add(&load, machine.spec.capacity);
        *free -= request.scale(f64::from(count));
        self.plan.preemptions.push(MachinePreemption {
            machine: plan.machine.clone(),
            victims: plan.victims,
            reservation: Reservation {
                job: id.clone(),
                request,
                count,
                until: self.snapshot.now + RESERVATION_TIMEOUT,
            },
        });
        count
    }
}
