//! Which attempts on a machine may be stopped for a job, and what that costs.

use super::{SchedulingSnapshot, Victim};
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::MachineId;
use crate::jobs::{Job, JobDesc};
use crate::workers::{Attempt, AttemptKey, AttemptPhase};
use std::collections::BTreeSet;

/// A job must have this much slack for a task of it to be stopped, in microseconds.
const MIN_SLACK_US: i64 = 15_000_000;
/// The same, as a multiple, where it is stopped for one that starts immediately.
const IMMEDIATE_SLACK_FACTOR: i64 = 2;
/// The same where it waits for room itself.
const IMMEDIATE_SLACK_FACTOR_WAITING: i64 = 4;
/// A start latency objective up to this is met only by starting immediately: room gets free
/// by itself, or a machine boots, later than that.
const IMMEDIATE_START: Micros = Micros::from_millis(10_000);
/// Work this close to its end is not worth stopping, in seconds.
const NEARLY_DONE_S: f64 = 3.0;
/// Stopping and starting once more costs this much besides what is lost, in seconds.
const RESTART_S: f64 = 2.0;
/// Seconds that saving may take beyond what the job says.
const CHECKPOINT_MARGIN_S: f64 = 1.0;
/// A task counts as using at least so many cores.
const MIN_CORES: f64 = 0.1;
/// A task counts as running for at least so long, in seconds.
const MIN_RUN_TIME_S: f64 = 1.0;
/// What is lost may be this part of what is won. Measured: at the whole of it,
/// stopping cost all classes more than it gave the one that it was for.
const MAX_LOSS_RATIO: f64 = 0.25;
/// For a class that is to start at once, by its objective.
const MAX_LOSS_RATIO_IMMEDIATE: f64 = 0.7;

/// The time within which a job should start, if that is sooner than room gets free
/// by itself or a machine boots.
pub(super) fn starts_immediately(job: &Job) -> Option<Micros> {
    job.start_latency_objective
        .filter(|within| *within <= IMMEDIATE_START)
}

/// What could be stopped on one machine.
pub(super) struct MachinePlan<'a> {
    pub(super) machine: &'a MachineId,
    pub(super) victims: Vec<Victim>,
    /// Tasks that the freed room is enough for.
    pub(super) count: u32,
    /// Core-seconds lost for each core-second won.
    pub(super) price: f64,
}

/// An attempt that may be stopped.
struct Candidate<'m> {
    key: &'m AttemptKey,
    attempt: &'m Attempt,
    cost: PreemptionCost,
}

/// What stopping an attempt costs.
struct PreemptionCost {
    /// In core-seconds.
    lost: f64,
    /// The time that it needs to save, in seconds.
    grace_period_s: f64,
}

/// The search for what to stop for a job.
pub(super) struct VictimSearch<'s, 'a> {
    pub(super) snapshot: &'s SchedulingSnapshot<'a>,
    pub(super) usage: &'s UsageByTeam,
    /// Attempts that were chosen for others.
    pub(super) chosen: &'s BTreeSet<AttemptKey>,
    pub(super) job: &'s Job,
    /// Tasks of the job that still need room.
    pub(super) pending: u32,
    /// One more task of the job is within its team's guarantee.
    pub(super) is_guaranteed: bool,
}

impl VictimSearch<'_, '_> {
    /// The cheapest attempts on a machine that make room for a task; none if that costs too
    /// much, or there are none.
    pub(super) fn on_machine<'m>(
        &self,
        id: &'m MachineId,
        room: Resources,
    ) -> Option<MachinePlan<'m>> {
        let request = self.job.desc.request();
        let (mut room, mut lost, mut victims) = (room, 0.0, Vec::new());
        for candidate in self.candidates(id)? {
            room += candidate.attempt.request();
            lost += candidate.cost.lost;
            victims.push(Victim {
                key: candidate.key.clone(),
                grace_period_s: candidate.cost.grace_period_s,
            });
            if request.fits_in(&room) {
                break;
            }
        }
        let count = request.times_in(&room).min(self.pending);
        let won = self.value_of(count);
        let is_worth_it = lost <= won * self.max_loss_ratio();
        (!victims.is_empty() && count > 0 && is_worth_it).then(|| MachinePlan {
            machine: id,
            victims,
            count,
            price: lost / won,
        })
    }

    /// What may be stopped on a machine, the cheapest first.
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
        candidates.sort_by(|left, right| left.cost.lost.total_cmp(&right.cost.lost));
        Some(candidates)
    }

    /// Core-seconds that so many tasks of the job are worth.
    fn value_of(&self, tasks: u32) -> f64 {
        let desc = &self.job.desc;
        f64::from(tasks) * desc.cores.max(MIN_CORES) * desc.estimated_run_time_s.max(MIN_RUN_TIME_S)
    }

    fn max_loss_ratio(&self) -> f64 {
        if starts_immediately(self.job).is_some() {
            MAX_LOSS_RATIO_IMMEDIATE
        } else {
            MAX_LOSS_RATIO
        }
    }

    /// Whether an attempt may be stopped for the job: its own job has slack, and it is of a
    /// lower priority or above its team's guarantee.
    fn may_stop(&self, attempt: &Attempt) -> bool {
        let Some(desc) = &attempt.desc else {
            return false;
        };
        let ran = attempt
            .running_since
            .map_or(Micros::ZERO, |since| self.snapshot.now.since(since));
        let victim = self.snapshot.jobs.get(&desc.id);
        if victim.is_some_and(|victim| !self.has_slack(victim, ran)) {
            return false;
        }
        if victim.map_or(desc.priority, Job::effective_priority) < self.job.effective_priority() {
            return true;
        }
        self.is_guaranteed && self.is_above_guarantee(attempt)
    }

    /// Whether a job can stand that a task of it is stopped.
    fn has_slack(&self, victim: &Job, ran: Micros) -> bool {
        let left = victim.slack_us(self.snapshot.wall_clock) + ran.0 as i64;
        // One that waits for room itself gets it back late, and would be stopped again and
        // again: stopping helps where room is short for a moment, not all the time.
        let factor = match (starts_immediately(self.job), victim.waiting().is_empty()) {
            (None, _) => 1,
            (Some(_), true) => IMMEDIATE_SLACK_FACTOR,
            (Some(_), false) => IMMEDIATE_SLACK_FACTOR_WAITING,
        };
        left > factor * MIN_SLACK_US
    }

    /// Work that another team runs above its own guarantee.
    fn is_above_guarantee(&self, attempt: &Attempt) -> bool {
        let of_other = attempt.demand.filter(|demand| demand.team != self.job.team);
        of_other.is_some_and(|demand| {
            let guarantee = self.snapshot.settings.platform.teams[demand.team].guarantee();
            (self.usage.of(demand.team).used - demand.request).cores >= guarantee.cores
        })
    }
}

/// What stopping an attempt costs; none: it is left alone.
fn preemption_cost(attempt: &Attempt, now: Micros) -> Option<PreemptionCost> {
    let desc = attempt.desc.as_ref()?;
    if attempt.is_stopping()
        || attempt.is_abandoned()
        || !matches!(attempt.phase, AttemptPhase::Pulling | AttemptPhase::Running)
    {
        return None;
    }
    let ran = attempt
        .running_since
        .map_or(0.0, |since| now.since(since).as_secs());
    if attempt.running_since.is_some() && is_nearly_done(desc, ran) {
        return None;
    }
    let (lost, grace_period_s) = if desc.checkpoint_interval_s > 0.0 {
        let lost = desc.checkpoint_duration_s.min(ran);
        (lost, desc.checkpoint_duration_s + CHECKPOINT_MARGIN_S)
    } else {
        (ran, 0.0)
    };
    Some(PreemptionCost {
        lost: (lost + RESTART_S) * desc.cores.max(MIN_CORES),
        grace_period_s,
    })
}

fn is_nearly_done(desc: &JobDesc, ran: f64) -> bool {
    desc.estimated_run_time_s - ran < NEARLY_DONE_S + desc.checkpoint_duration_s
}
