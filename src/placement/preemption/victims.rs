//! The choice of victims: which attempts on a machine may be stopped for a job, and how much work
//! that loses.

use super::{SchedulingSnapshot, Victim};
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::MachineId;
use crate::jobs::{Job, JobDesc};
use crate::workers::{Attempt, AttemptKey, AttemptPhase};
use std::collections::BTreeSet;

/// Slack in microseconds that an attempt's job must exceed for the attempt to be stopped.
const MIN_VICTIM_SLACK_US: i64 = 15_000_000;
/// Multiple of [`MIN_VICTIM_SLACK_US`] that is required if the attempt is stopped for a job that
/// must start immediately.
const IMMEDIATE_SLACK_FACTOR: i64 = 2;
/// Multiple of [`MIN_VICTIM_SLACK_US`] that is required if, in addition, the attempt's own job has
/// waiting tasks.
const IMMEDIATE_SLACK_FACTOR_WAITING: i64 = 4;
/// Longest start latency objective that requires an immediate start: capacity becomes free by
/// itself, or a new machine boots, only after a longer time.
const IMMEDIATE_START: Micros = Micros::from_millis(10_000);
/// Remaining run time in seconds below which stopping an attempt is not worthwhile. The job's
/// checkpoint duration is added to it.
const NEARLY_DONE_S: f64 = 3.0;
/// Time in seconds that stopping and restarting a task costs in addition to the lost run time.
const RESTART_OVERHEAD_S: f64 = 2.0;
/// Time in seconds that writing a checkpoint may take beyond the duration that the job states.
const CHECKPOINT_MARGIN_S: f64 = 1.0;
/// Minimum number of cores that a task is counted with, for tasks that request fewer or none.
const MIN_CORES: f64 = 0.1;
/// Minimum run time in seconds that a task is counted with.
const MIN_RUN_TIME_S: f64 = 1.0;
/// Maximum core-seconds lost for each core-second gained. At a ratio of 1, preemption cost all job
/// classes together more than it gained for the preempting class.
const MAX_LOSS_RATIO: f64 = 0.25;
/// Maximum core-seconds lost for each core-second gained if the job must start immediately.
const MAX_LOSS_RATIO_IMMEDIATE: f64 = 0.7;

/// Returns the start latency objective of a job that must start immediately: capacity that becomes
/// free by itself or a newly booted machine would come too late. `None`: the job has no objective,
/// or a longer one.
pub(super) fn starts_immediately(job: &Job) -> Option<Micros> {
    job.start_latency_objective
        .filter(|within| *within <= IMMEDIATE_START)
}

/// The attempts that could be stopped on one machine for a job.
pub(super) struct MachinePlan<'a> {
    pub(super) machine: &'a MachineId,
    pub(super) victims: Vec<Victim>,
    /// Number of tasks that fit into the freed capacity.
    pub(super) count: u32,
    /// Core-seconds lost for each core-second gained.
    pub(super) loss_ratio: f64,
}

/// An attempt that may be stopped.
struct Candidate<'m> {
    key: &'m AttemptKey,
    attempt: &'m Attempt,
    cost: PreemptionCost,
}

/// The cost of stopping an attempt.
struct PreemptionCost {
    /// Work that is lost, in core-seconds.
    lost_core_s: f64,
    /// Time that the attempt gets for writing a checkpoint, in seconds.
    grace_period_s: f64,
}

/// A search for attempts to stop for a job.
pub(super) struct VictimSearch<'s, 'a> {
    pub(super) snapshot: &'s SchedulingSnapshot<'a>,
    pub(super) usage: &'s UsageByTeam,
    /// Attempts that were chosen earlier and can't be chosen again.
    pub(super) chosen: &'s BTreeSet<AttemptKey>,
    pub(super) job: &'s Job,
    /// Number of tasks of the job that still need capacity.
    pub(super) pending: u32,
    /// Whether one more task of the job is within its team's guarantee.
    pub(super) is_guaranteed: bool,
}

impl VictimSearch<'_, '_> {
    /// Returns the attempts on a machine to stop so that at least one task of the job fits, those
    /// that lose the least work first. `None`: no attempt may be stopped, no
    /// task would fit, or too much work would be lost. `free` is the machine's free capacity before
    /// any attempt is stopped.
    pub(super) fn on_machine<'m>(
        &self,
        id: &'m MachineId,
        free: Resources,
    ) -> Option<MachinePlan<'m>> {
        let request = self.job.desc.request();
        let (mut free, mut lost_core_s, mut victims) = (free, 0.0, Vec::new());
        for candidate in self.candidates(id)? {
            free += candidate.attempt.request();
            lost_core_s += candidate.cost.lost_core_s;
            victims.push(Victim {
                key: candidate.key.clone(),
                grace_period_s: candidate.cost.grace_period_s,
            });
            if request.fits_in(&free) {
                break;
            }
        }
        let count = request.times_in(&free).min(self.pending);
        let gained_core_s = self.core_seconds_of(count);
        let is_loss_acceptable = lost_core_s <= gained_core_s * self.max_loss_ratio();
        (!victims.is_empty() && count > 0 && is_loss_acceptable).then(|| MachinePlan {
            machine: id,
            victims,
            count,
            loss_ratio: lost_core_s / gained_core_s,
        })
    }

    /// Returns the attempts on a machine that may be stopped, those that lose the least work first.
    /// `None`: the machine is unknown.
    fn candidates(&self, id: &MachineId) -> Option<Vec<Candidate<'_>>> {
        let machine = self.snapshot.machines.get(id)?;
        let mut candidates: Vec<Candidate<'_>> = machine
            .attempts
            .iter()
            .filter(|(key, attempt)| !self.chosen.contains(key) && self.may_stop(attempt))
            .filter_map(|(key, attempt)| {
                let cost = preemption_cost(attempt, self.snapshot.now)?;
                Some(Candidate { key, attempt, cost })
            })
            .collect();
        candidates.sort_by(|left, right| left.cost.lost_core_s.total_cmp(&right.cost.lost_core_s));
        Some(candidates)
    }

    /// Returns the core-seconds that this number of the job's tasks take, as their owner estimates.
    fn core_seconds_of(&self, tasks: u32) -> f64 {
        let desc = &self.job.desc;
        f64::from(tasks) * desc.cores.max(MIN_CORES) * desc.estimated_run_time_s.max(MIN_RUN_TIME_S)
    }

    /// Returns the maximum core-seconds lost for each core-second gained for this job.
    fn max_loss_ratio(&self) -> f64 {
        if starts_immediately(self.job).is_some() {
            MAX_LOSS_RATIO_IMMEDIATE
        } else {
            MAX_LOSS_RATIO
        }
    }

    /// Whether an attempt may be stopped for the job. The attempt's own job must have slack. In
    /// addition it must have a lower priority, or the attempt's team must be above its guarantee
    /// while the job's team is within its own.
    fn may_stop(&self, attempt: &Attempt) -> bool {
        let Some(desc) = &attempt.desc else {
            return false;
        };
        let run_time = attempt
            .running_since
            .map_or(Micros::ZERO, |since| self.snapshot.now.since(since));
        let victim = self.snapshot.jobs.get(&desc.id);
        if victim.is_some_and(|victim| !self.has_slack(victim, run_time)) {
            return false;
        }
        if victim.map_or(desc.priority, Job::effective_priority) < self.job.effective_priority() {
            return true;
        }
        self.is_guaranteed && self.is_above_guarantee(attempt)
    }

    /// Whether an attempt's job has enough slack for the attempt to be stopped. The attempt's run
    /// time so far is added to the job's slack, which is computed for a task that starts now.
    fn has_slack(&self, victim: &Job, run_time: Micros) -> bool {
        let slack_us = victim.slack_us(self.snapshot.wall_clock) + run_time.0 as i64;
        // A job that has waiting tasks itself gets the capacity back late, and its tasks would be
        // stopped again and again. Preemption helps against a brief shortage of capacity, not
        // against a permanent one.
        let factor = match (starts_immediately(self.job), victim.waiting().is_empty()) {
            (None, _) => 1,
            (Some(_), true) => IMMEDIATE_SLACK_FACTOR,
            (Some(_), false) => IMMEDIATE_SLACK_FACTOR_WAITING,
        };
        slack_us > factor * MIN_VICTIM_SLACK_US
    }

    /// Whether an attempt belongs to another team that uses its guaranteed cores even without the
    /// attempt.
    fn is_above_guarantee(&self, attempt: &Attempt) -> bool {
        let other_teams_demand = attempt.demand.filter(|demand| demand.team != self.job.team);
        other_teams_demand.is_some_and(|demand| {
            let guarantee = self.snapshot.settings.platform.teams[demand.team].guarantee();
            (self.usage.of(demand.team).used - demand.request).cores >= guarantee.cores
        })
    }
}

/// Returns the cost of stopping an attempt. `None`: it must not be stopped, since its job is
/// unknown, it is being stopped already, it was abandoned, it is neither running nor fetching its
/// image, or it is nearly done.
fn preemption_cost(attempt: &Attempt, now: Micros) -> Option<PreemptionCost> {
    let desc = attempt.desc.as_ref()?;
    if attempt.is_stopping()
        || attempt.is_abandoned()
        || !matches!(attempt.phase, AttemptPhase::Pulling | AttemptPhase::Running)
    {
        return None;
    }
    let ran_s = attempt
        .running_since
        .map_or(0.0, |since| now.since(since).as_secs());
    if attempt.running_since.is_some() && is_nearly_done(desc, ran_s) {
        return None;
    }
    let (lost_s, grace_period_s) = if desc.checkpoint_interval_s > 0.0 {
        let lost_s = desc.checkpoint_duration_s.min(ran_s);
        (lost_s, desc.checkpoint_duration_s + CHECKPOINT_MARGIN_S)
    } else {
        (ran_s, 0.0)
    };
    Some(PreemptionCost {
        lost_core_s: (lost_s + RESTART_OVERHEAD_S) * desc.cores.max(MIN_CORES),
        grace_period_s,
    })
}

/// Whether an attempt that has run for this time in seconds ends so soon that stopping it gains
/// nothing.
fn is_nearly_done(desc: &JobDesc, ran_s: f64) -> bool {
    desc.estimated_run_time_s - ran_s < NEARLY_DONE_S + desc.checkpoint_duration_s
}
