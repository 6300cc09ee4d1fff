//! What to stop, for whom: work of a lower priority, or work above its team's
//! guarantee for a team below its own, and only where little is lost.

mod victims;

use super::{SchedulingSnapshot, accepts_tasks, is_launchable};
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::{JobId, MachineId};
use crate::jobs::{Job, Priority};
use crate::settings::Team;
use crate::workers::{AttemptKey, AttemptPhase, Machine, Reservation};
use std::collections::{BTreeMap, BTreeSet};
use victims::{MachinePlan, VictimSearch, starts_immediately};

/// An attempt to be stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct Victim {
    /// Which.
    pub key: AttemptKey,
    /// The time that it needs to save, in seconds.
    pub grace_period_s: f64,
}

/// Work to be stopped on a machine for a job, and the room that this keeps for it.
#[derive(Debug, Clone, PartialEq)]
pub struct MachinePreemption {
    /// Where work is stopped.
    pub machine: MachineId,
    /// What is stopped.
    pub victims: Vec<Victim>,
    /// The room that this frees, and for whom.
    pub reserve: Reservation,
}

/// What was decided to be stopped.
#[derive(Debug, Default)]
pub struct PreemptionPlan {
    /// What to stop, by machine.
    pub preemptions: Vec<MachinePreemption>,
    /// Machines compared with a job: what the decision cost.
    pub machines_compared: usize,
}

/// A deadline this near is threatened, in microseconds of slack.
const THREATENED_SLACK_US: i64 = 8_000_000;
/// A deadline missed by this is lost, in microseconds.
const MAX_LATENESS_US: i64 = 2_000_000;
/// Work without a deadline preempts only after having waited for this.
const PATIENCE: Micros = Micros::from_millis(10_000);
/// Part of its start latency objective that a job which starts immediately may wait.
const IMMEDIATE_WAIT_PART: f64 = 0.3;
/// The same for any other job without a deadline.
const WAIT_PART: f64 = 0.5;
/// Room that was freed for a job is kept for it this long.
const RESERVATION_TIMEOUT: Micros = Micros::from_millis(8_000);
/// Each job that is considered costs an iteration over the machines.
const MAX_JOBS: usize = 6;

/// Decides what to stop: for work of a higher priority, or so that a team gets its
/// guarantee from one that runs above its own. Only if little is lost for what is won.
pub fn plan_preemption(snapshot: &SchedulingSnapshot<'_>) -> PreemptionPlan {
    let jobs = preempting_jobs(snapshot);
    if jobs.is_empty() {
        return PreemptionPlan::default();
    }
    let mut planner = Planner::new(snapshot);
    for (id, job) in jobs {
        planner.plan_for(id, job);
    }
    planner.plan
}

/// The jobs for which others may be stopped, in the order in which they are served.
fn preempting_jobs<'a>(snapshot: &SchedulingSnapshot<'a>) -> Vec<(&'a JobId, &'a Job)> {
    let mut jobs: Vec<(&JobId, &Job)> = snapshot
        .jobs
        .iter()
        .filter(|(_, job)| is_launchable(job, snapshot.now, snapshot.recovery))
        .filter(|(_, job)| is_pressing(job, snapshot.wall_clock))
        // Where its tasks may go changes with each; it waits for its turn.
        .filter(|(_, job)| !job.desc.single_zone && !job.desc.anti_affinity)
        .collect();
    if jobs.is_empty() {
        return jobs;
    }
    // Guards against comparing all machines for work that may stop nothing there: with the
    // fleet full that took most of the owner's processor time, until it could not read its
    // machines' heartbeats.
    let lowest = lowest_running_priority(snapshot);
    jobs.retain(|(_, job)| {
        lowest.is_some_and(|lowest| lowest < job.effective_priority())
            || is_guaranteed(snapshot, job)
    });
    if jobs.is_empty() {
        return jobs;
    }
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
    jobs.truncate(MAX_JOBS);
    jobs
}

/// Whether stopping others still helps a job, and waiting longer would not do:
/// its deadline is near but not lost, or it has none and has waited for long.
fn is_pressing(job: &Job, wall_clock: Micros) -> bool {
    let waited = wall_clock.since(job.eligible_since());
    match (starts_immediately(job), job.effective_deadline()) {
        (Some(within), _) if job.slack_us(wall_clock) >= -MAX_LATENESS_US => {
            waited >= within.part(IMMEDIATE_WAIT_PART)
        }
        (_, Some(_)) => (-MAX_LATENESS_US..THREATENED_SLACK_US).contains(&job.slack_us(wall_clock)),
        (_, None) => {
            let objective = job.start_latency_objective;
            let part = objective.map_or(Micros::ZERO, |within| within.part(WAIT_PART));
            waited >= PATIENCE.max(part)
        }
    }
}

/// The lowest priority of which anything is on a machine.
fn lowest_running_priority(snapshot: &SchedulingSnapshot<'_>) -> Option<Priority> {
    let running = snapshot
        .jobs
        .values()
        .filter(|job| !job.active().is_empty());
    running.map(Job::effective_priority).min()
}

/// Whether one more task of a job is within its team's guarantee.
fn is_guaranteed(snapshot: &SchedulingSnapshot<'_>, job: &Job) -> bool {
    let team = &snapshot.settings.platform.teams[job.team];
    let used = snapshot.usage.of(job.team).used;
    fits_guarantee(team, used, job.desc.request())
}

/// Whether a request fits the team's guarantee beside what the team uses. Memory is not
/// guaranteed.
fn fits_guarantee(team: &Team, used: Resources, request: Resources) -> bool {
    let mut after = used;
    after += request;
    let guarantee = team.guarantee();
    let bound = Resources::new(guarantee.cores, guarantee.gpus, f64::INFINITY);
    after.fits_in(&bound)
}

/// What a machine has free for preempting work: with what is being stopped, since that was
/// stopped for someone, and without what is reserved.
fn free_with_stopping(machine: &Machine, now: Micros) -> Resources {
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

struct Planner<'s, 'a> {
    snapshot: &'s SchedulingSnapshot<'a>,
    /// As it will be once all that was chosen has stopped.
    usage: UsageByTeam,
    free: BTreeMap<&'a MachineId, Resources>,
    /// Attempts that were chosen so far.
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
            free: usable
                .map(|(id, machine)| (id, free_with_stopping(machine, snapshot.now)))
                .collect(),
            snapshot,
            chosen: BTreeSet::new(),
            plan: PreemptionPlan::default(),
        }
    }

    fn plan_for(&mut self, id: &JobId, job: &Job) {
        let request = job.desc.request();
        let reserved = self.reserved_tasks(id);
        let mut used = self.usage.of(job.team).used;
        used += request.scale(f64::from(reserved));
        let team = &self.snapshot.settings.platform.teams[job.team];
        let mut pending = request
            .times_in(&(team.limit() - used))
            .min(job.waiting().len().saturating_sub(reserved));
        pending -= self.take_free_room(id, job, pending);
        if pending == 0 {
            return;
        }
        let is_guaranteed = fits_guarantee(team, used, request);
        self.plan.machines_compared += self.free.len();
        for plan in self.machine_plans(id, job, pending, is_guaranteed) {
            if pending == 0 {
                break;
            }
            pending -= self.choose(id, request, plan, pending);
        }
    }

    /// Tasks of a job for which room is kept already.
    fn reserved_tasks(&self, id: &JobId) -> u32 {
        let machines = self.snapshot.machines.values();
        machines
            .flat_map(|machine| machine.reservations.active(self.snapshot.now))
            .filter(|reservation| reservation.job == *id)
            .map(|reservation| reservation.count)
            .sum()
    }

    fn is_allowed(&self, id: &JobId, job: &Job, machine: &Machine) -> bool {
        job.desc.allows(
            &machine.spec.machine_type,
            &machine.spec.zone,
            machine.spec.spot,
        ) && !machine.is_avoided_by(id, self.snapshot.now)
            && !self.snapshot.is_closed(job, &machine.spec.zone)
    }

    /// Room that another's preemption left over, for so many tasks at most; returns for how
    /// many.
    fn take_free_room(&mut self, id: &JobId, job: &Job, pending: u32) -> u32 {
        let request = job.desc.request();
        let mut taken = 0;
        let mut free = std::mem::take(&mut self.free);
        for (machine, room) in &mut free {
            let count = request.times_in(room).min(pending - taken);
            if count > 0 && self.is_allowed(id, job, &self.snapshot.machines[*machine]) {
                *room -= request.scale(f64::from(count));
                taken += count;
            }
        }
        self.free = free;
        taken
    }

    /// What could be stopped on each machine, the cheapest first: one iteration over the
    /// machines for the whole class.
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
            .free
            .iter()
            .filter(|(machine, _)| {
                let machine = &self.snapshot.machines[**machine];
                self.is_allowed(id, job, machine) && request.fits_in(&machine.spec.capacity)
            })
            .filter_map(|(machine, room)| search.on_machine(machine, *room))
            .collect();
        plans.sort_by(|left, right| left.price.total_cmp(&right.price));
        plans
    }

    /// Carries a machine's plan into the whole one; returns for how many tasks.
    fn choose(
        &mut self,
        id: &JobId,
        request: Resources,
        plan: MachinePlan<'a>,
        pending: u32,
    ) -> u32 {
        let machine = &self.snapshot.machines[plan.machine];
        let Some(room) = self.free.get_mut(plan.machine) else {
            return 0;
        };
        let count = plan.count.min(pending);
        let mut load = machine.load.clone();
        self.usage.remove(&load, machine.spec.capacity);
        for victim in &plan.victims {
            if let Some(attempt) = machine.attempts.get(&victim.key) {
                *room += attempt.request();
                if let Some(demand) = attempt.demand {
                    load.add_request(demand.team, demand.request.scale(-1.0));
                }
            }
            self.chosen.insert(victim.key.clone());
        }
        self.usage.add(&load, machine.spec.capacity);
        *room -= request.scale(f64::from(count));
        self.plan.preemptions.push(MachinePreemption {
            machine: plan.machine.clone(),
            victims: plan.victims,
            reserve: Reservation {
                job: id.clone(),
                request,
                count,
                until: self.snapshot.now + RESERVATION_TIMEOUT,
            },
        });
        count
    }
}
