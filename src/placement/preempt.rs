//! What to stop, for whom: work of a lower rank, or work above its team's
//! guarantee for a team below its own, and only where little is lost.

use super::{SchedulingSnapshot, launchable, usable};
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::{JobId, MachineId};
use crate::jobs::{Job, Priority};
use crate::settings::Team;
use crate::workers::{Attempt, AttemptKey, Machine, Phase, Reserved};
use std::collections::{BTreeMap, BTreeSet};

/// Work to be stopped for a job, and the room that this keeps for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    /// Where work is stopped.
    pub machine: MachineId,
    /// With the time that each needs to save.
    pub victims: Vec<(AttemptKey, f64)>,
    /// The room that this frees, and for whom.
    pub reserve: Reserved,
}

/// What a pass over the waiting work decided to stop.
#[derive(Debug, Default)]
pub struct PreemptionPlan {
    /// What to stop, by machine.
    pub stops: Vec<Stop>,
    /// Machines compared with a job: what the pass cost.
    pub machines_compared: usize,
}

const PRESSED_US: i64 = 8_000_000;
const LATE_US: i64 = 2_000_000;
const RELAXED_US: i64 = 15_000_000;
const PATIENCE: Micros = Micros::from_millis(10_000);
/// Room that was freed for a job is kept for it this long.
const KEPT: Micros = Micros::from_millis(8_000);
/// Work this close to its end is not worth stopping.
const NEARLY_DONE_S: f64 = 3.0;
/// Stopping and starting once more costs this much besides what is lost.
const RESTART_S: f64 = 2.0;
/// Each job that is looked at costs a walk over the machines.
const MOST_JOBS: usize = 6;

/// Whether stopping others still helps a job, and waiting longer would not do:
/// its deadline is near but not lost, or it has none and has waited for long.
fn pressed(job: &Job, wall_clock: Micros) -> bool {
    let waited = wall_clock.since(job.eligible_since);
    match (hasty(job), job.due()) {
        (Some(within), _) if job.slack(wall_clock) >= -LATE_US => waited >= within.part(0.3),
        (_, Some(_)) => (-LATE_US..PRESSED_US).contains(&job.slack(wall_clock)),
        (_, None) => {
            let half = job
                .start_latency_objective
                .map_or(Micros::ZERO, |w| w.part(0.5));
            waited >= PATIENCE.max(half)
        }
    }
}

/// The time within which a job should start, if that is sooner than room gets free
/// by itself or a machine boots.
fn hasty(job: &Job) -> Option<Micros> {
    job.start_latency_objective.filter(|w| *w <= PATIENCE)
}

/// Whether a job can stand that a task of it is stopped.
fn relaxed(job: &Job, ran: Micros, wall_clock: Micros, hasty: bool) -> bool {
    let left = job.slack(wall_clock) + ran.0 as i64;
    // One that waits for room itself gets it back late, and would be stopped again
    // and again: stopping helps where room is short for a moment, not all the time.
    let least = match (hasty, job.waiting.is_empty()) {
        (false, _) => RELAXED_US,
        (true, true) => 2 * RELAXED_US,
        (true, false) => 4 * RELAXED_US,
    };
    left > least
}

/// What is lost may be this part of what is won. Measured: at the whole of it,
/// stopping cost all classes more than it gave the one that it was for.
const WORTH_IT: f64 = 0.25;
/// For a class that is to start at once, by its objective.
const WORTH_HASTE: f64 = 0.7;

/// What stopping an attempt loses, in core-seconds; none: it is left alone.
fn loss(t: &Attempt, now: Micros) -> Option<(f64, f64)> {
    let d = t.desc.as_ref()?;
    if t.stop_grace_period_s.is_some()
        || t.abandoned.is_some()
        || !matches!(t.phase, Phase::Pulling | Phase::Running)
    {
        return None;
    }
    let ran = t.running_since.map_or(0.0, |r| now.since(r).as_secs());
    if t.running_since.is_some()
        && d.estimated_run_time_s - ran < NEARLY_DONE_S + d.checkpoint_duration_s
    {
        return None;
    }
    let (lost, leeway) = if d.checkpoint_interval_s > 0.0 {
        (
            d.checkpoint_duration_s.min(ran),
            d.checkpoint_duration_s + 1.0,
        )
    } else {
        (ran, 0.0)
    };
    Some(((lost + RESTART_S) * d.cores.max(0.1), leeway))
}

/// Decides what to stop: for work of a higher rank, or so that a team gets its
/// guarantee from one that runs above its own. Only if little is lost for what is
/// won (`WORTH_IT`).
pub fn preempt(snapshot: &SchedulingSnapshot<'_>) -> PreemptionPlan {
    let mut jobs: Vec<(&JobId, &Job)> = snapshot
        .jobs
        .iter()
        .filter(|(_, j)| {
            launchable(j, snapshot.now, snapshot.recovery) && pressed(j, snapshot.wall_clock)
        })
        // Where its tasks may go changes with each; it waits for its turn.
        .filter(|(_, j)| !j.desc.single_zone && !j.desc.anti_affinity)
        .collect();
    if jobs.is_empty() {
        return PreemptionPlan::default();
    }
    // Guards against walks over all machines for work that may stop nothing there: with
    // the fleet full they took most of the owner's processor time, until it could not
    // read its machines' reports.
    let lowest = lowest_running(snapshot);
    jobs.retain(|(_, j)| lowest.is_some_and(|l| l < j.rank()) || guaranteed(snapshot, j));
    if jobs.is_empty() {
        return PreemptionPlan::default();
    }
    let mut machines_compared = 0;
    let mut weights = snapshot.usage.clone();
    let heavy: BTreeMap<usize, f64> = snapshot
        .teams
        .iter()
        .map(|t| (*t, snapshot.heaviness(&weights, *t)))
        .collect();
    jobs.sort_by(|(_, a), (_, b)| {
        let heavy = |j: &Job| heavy.get(&j.team).copied().unwrap_or(0.0);
        b.rank()
            .cmp(&a.rank())
            .then(heavy(a).total_cmp(&heavy(b)))
            .then(
                a.slack(snapshot.wall_clock)
                    .cmp(&b.slack(snapshot.wall_clock)),
            )
    });
    jobs.truncate(MOST_JOBS);
    let mut stops: Vec<Stop> = Vec::new();
    let mut gone: BTreeSet<AttemptKey> = BTreeSet::new();
    let mut free: BTreeMap<&MachineId, Resources> = BTreeMap::new();
    for (id, m) in snapshot
        .machines
        .iter()
        .filter(|(_, m)| usable(m, snapshot.now, snapshot.heartbeat_timeout))
    {
        let mut room = m.capacity - m.load.summed;
        // What is being stopped was stopped for someone.
        for t in m
            .attempts
            .values()
            .filter(|t| t.stop_grace_period_s.is_some() && t.phase != Phase::Exited)
        {
            room += t.request();
        }
        for r in m.reserved.iter().filter(|r| r.until > snapshot.now) {
            room -= r.request.scale(f64::from(r.count));
        }
        free.insert(id, room);
    }
    for (id, job) in jobs {
        let d = &job.desc;
        let request = d.request();
        let limits = &snapshot.settings.platform.teams[job.team];
        let reserved = |m: &Machine| -> u32 {
            m.reserved
                .iter()
                .filter(|r| r.job == *id && r.until > snapshot.now)
                .map(|r| r.count)
                .sum()
        };
        let coming: u32 = snapshot.machines.values().map(reserved).sum();
        let mut used = weights.of(job.team).used;
        used += request.scale(f64::from(coming));
        let mut pending = request
            .times_in(&(limits.limit() - used))
            .min(job.waiting.len().saturating_sub(coming));
        let allowed = |m: &Machine| {
            d.allows(&m.machine_type, &m.zone, m.spot)
                && !m.is_avoided_by(id, snapshot.now)
                && !snapshot.is_closed(job, &m.zone)
        };
        // Room that another's stop left over.
        for (m, room) in &mut free {
            let n = request.times_in(room).min(pending);
            if n > 0 && allowed(&snapshot.machines[*m]) {
                *room -= request.scale(f64::from(n));
                pending -= n;
            }
        }
        if pending == 0 {
            continue;
        }
        let guaranteed = within_guarantee(limits, used, request);
        machines_compared += free.len();
        // One walk over the machines for the whole class, the cheapest first.
        let mut plans: Vec<Plan<'_>> = free
            .iter()
            .filter(|(m, _)| {
                let m = &snapshot.machines[**m];
                allowed(m) && request.fits_in(&m.capacity)
            })
            .filter_map(|(m, room)| {
                victims(
                    snapshot, &weights, m, *room, job, pending, guaranteed, &gone,
                )
            })
            .collect();
        plans.sort_by(|a, b| a.price.total_cmp(&b.price));
        for plan in plans {
            if pending == 0 {
                break;
            }
            let m = &snapshot.machines[plan.machine];
            let Some(room) = free.get_mut(plan.machine) else {
                continue;
            };
            let count = plan.count.min(pending);
            let mut load = m.load.clone();
            weights.remove(&load, m.capacity);
            for (key, _) in &plan.victims {
                if let Some(t) = m.attempts.get(key) {
                    *room += t.request();
                    if let Some((team, request)) = t.demand {
                        load.take(team, request.scale(-1.0));
                    }
                }
                gone.insert(key.clone());
            }
            weights.add(&load, m.capacity);
            *room -= request.scale(f64::from(count));
            pending -= count;
            let reserve = Reserved {
                job: id.clone(),
                request,
                count,
                until: snapshot.now + KEPT,
            };
            stops.push(Stop {
                machine: plan.machine.clone(),
                victims: plan.victims,
                reserve,
            });
        }
    }
    PreemptionPlan {
        stops,
        machines_compared,
    }
}

/// The lowest rank of which anything is on a machine.
fn lowest_running(snapshot: &SchedulingSnapshot<'_>) -> Option<Priority> {
    let running = snapshot.jobs.values().filter(|j| !j.active.is_empty());
    running.map(Job::rank).min()
}

/// Whether one more task of a job is within its team's guarantee.
fn guaranteed(snapshot: &SchedulingSnapshot<'_>, job: &Job) -> bool {
    let team = &snapshot.settings.platform.teams[job.team];
    let used = snapshot.usage.of(job.team).used;
    within_guarantee(team, used, job.desc.request())
}

/// Whether a request fits the team's guarantee beside what the team uses. Memory is not
/// guaranteed.
fn within_guarantee(team: &Team, used: Resources, request: Resources) -> bool {
    let mut after = used;
    after += request;
    let guarantee = team.guarantee();
    after.fits_in(&Resources::new(
        guarantee.cores,
        guarantee.gpus,
        f64::INFINITY,
    ))
}

struct Plan<'a> {
    machine: &'a MachineId,
    victims: Vec<(AttemptKey, f64)>,
    count: u32,
    /// Lost per won.
    price: f64,
}

#[allow(clippy::too_many_arguments)]
fn victims<'a>(
    snapshot: &SchedulingSnapshot<'_>,
    weights: &UsageByTeam,
    machine: &'a MachineId,
    room: Resources,
    job: &Job,
    pending: u32,
    guaranteed: bool,
    gone: &BTreeSet<AttemptKey>,
) -> Option<Plan<'a>> {
    let (m, d) = (snapshot.machines.get(machine)?, &job.desc);
    let request = d.request();
    let may = |t: &Attempt| {
        let Some(v) = &t.desc else { return false };
        let ran = t
            .running_since
            .map_or(Micros::ZERO, |r| snapshot.now.since(r));
        let owner = snapshot.jobs.get(&v.id);
        if owner.is_some_and(|j| !relaxed(j, ran, snapshot.wall_clock, hasty(job).is_some())) {
            return false;
        }
        if owner.map_or(v.priority, Job::rank) < job.rank() {
            return true;
        }
        // Work that another team runs above its own guarantee.
        let above = t
            .demand
            .filter(|(v, _)| *v != job.team)
            .map(|(v, request)| {
                let g = snapshot.settings.platform.teams[v].guarantee();
                (weights.of(v).used - request).cores >= g.cores
            });
        guaranteed && above == Some(true)
    };
    let mut candidates: Vec<(&AttemptKey, &Attempt, f64, f64)> = m
        .attempts
        .iter()
        .filter(|(k, t)| !gone.contains(k) && may(t))
        .filter_map(|(k, t)| loss(t, snapshot.now).map(|(lost, leeway)| (k, t, lost, leeway)))
        .collect();
    candidates.sort_by(|a, b| a.2.total_cmp(&b.2));
    let (mut room, mut lost, mut victims) = (room, 0.0, Vec::new());
    for (key, t, l, leeway) in candidates {
        room += t.request();
        lost += l;
        victims.push((key.clone(), leeway));
        if request.fits_in(&room) {
            break;
        }
    }
    let count = request.times_in(&room).min(pending);
    let won = f64::from(count) * d.cores.max(0.1) * d.estimated_run_time_s.max(1.0);
    let worth = if hasty(job).is_some() {
        WORTH_HASTE
    } else {
        WORTH_IT
    };
    (!victims.is_empty() && count > 0 && lost <= won * worth).then(|| Plan {
        machine,
        victims,
        count,
        price: lost / won,
    })
}
