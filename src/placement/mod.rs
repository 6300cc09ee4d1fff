//! Which waiting task goes where: lightest team first, like tasks as a class.
//!
//! What a pass costs is bounded by what waits and by the machines that have room
//! for it, not by the size of the fleet: teams are weighed by kept sums, a class
//! is compared with the most room of each kind of machine before any of them is
//! looked at, and room that gets free on one machine is refilled alone.

mod candidates;
mod capacity_requests;
mod constrained;
mod preempt;

pub use candidates::CandidateMachines;
pub use capacity_requests::{CapacityRequest, PendingMachines, needs};
pub use constrained::ConstrainedDemand;
pub use preempt::{PreemptionPlan, Stop, preempt};

use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam, static_heaviness};
use crate::ids::{JobId, MachineId, Revision, Term};
use crate::jobs::{Job, JobDesc};
use crate::settings::Settings;
use crate::workers::{Attempt, Machine, Phase, ReleaseState};
use crate::zones::ZoneEvacuation;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A decision: this task on this machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The job.
    pub job: JobId,
    /// Which of its tasks.
    pub index: u32,
    /// The machine that it goes to.
    pub machine: MachineId,
}

/// Tasks that are decided alike: if one finds no room, none does.
#[derive(Debug, Clone, PartialEq)]
struct ResourceShape<'a> {
    request: Resources,
    machine_types: Option<&'a [String]>,
    zone: Option<&'a str>,
    spot: bool,
    /// Jobs bound to zones by their own tasks are their own class.
    own: Option<&'a JobId>,
}

fn shape(d: &JobDesc) -> ResourceShape<'_> {
    ResourceShape {
        request: d.request(),
        machine_types: d.machine_types.as_deref(),
        zone: d.zone.as_deref(),
        spot: d.spot,
        own: (d.single_zone || d.anti_affinity).then_some(&d.id),
    }
}

/// What placement may look at.
pub struct SchedulingSnapshot<'a> {
    /// The platform's settings.
    pub settings: &'a Settings,
    /// All machines of all partitions.
    pub fleet: Resources,
    /// The steady clock.
    pub now: Micros,
    /// The time of day.
    pub wall_clock: Micros,
    /// The partition's jobs.
    pub jobs: &'a BTreeMap<JobId, Job>,
    /// The partition's machines.
    pub machines: &'a BTreeMap<MachineId, Machine>,
    /// The partition's teams.
    pub teams: &'a [usize],
    /// The teams' sums.
    pub usage: &'a UsageByTeam,
    /// The term of a failover that is not complete yet.
    pub recovery: Option<&'a FailoverRecovery>,
    /// A machine silent for longer gets no new work.
    pub heartbeat_timeout: Micros,
    /// Waiting classes with little choice of machines.
    pub constrained: &'a ConstrainedDemand,
    /// By team, what its jobs that fail again and again would hold.
    pub failing: Vec<(usize, Resources)>,
    /// Zones that are lost or come home; none: zone failover is off.
    pub zone_evacuation: Option<&'a ZoneEvacuation>,
}

impl SchedulingSnapshot<'_> {
    /// Whether new work of a job stays out of a zone.
    fn is_closed(&self, job: &Job, zone: &str) -> bool {
        self.zone_evacuation
            .is_some_and(|evacuation| evacuation.closed_to(job, zone, self.wall_clock))
    }

    /// Puts work that lost its zone into its stated order, among jobs that come with the
    /// most urgent first.
    fn in_evacuation_order<'a, T>(&self, jobs: Vec<T>, job_of: impl Fn(&T) -> &'a Job) -> Vec<T> {
        match self.zone_evacuation {
            Some(evacuation) => evacuation.order(jobs, job_of, self.wall_clock),
            None => jobs,
        }
    }

    fn heaviness(&self, weights: &UsageByTeam, team: usize) -> f64 {
        let guarantee = self.settings.platform.teams[team].guarantee();
        // Guards against a broken team that stays lightest (the design's watch item): its
        // failing tasks are endowed with nothing, and so count the room as held.
        let failing = self.failing.iter().filter(|(t, _)| *t == team);
        let held: f64 = failing
            .map(|(_, res)| static_heaviness(*res, self.fleet))
            .sum();
        weights.heaviness(team, guarantee, self.settings.guarantees(), self.fleet) + held
    }
}

/// A machine that tasks may be sent to now.
pub fn usable(m: &Machine, now: Micros, heard_within: Micros) -> bool {
    m.used
        && !m.draining
        && m.release_state == ReleaseState::Active
        && !m.load.unknown
        && m.preempted_at.is_none()
        && m.unsent_commands == 0
        // Guards against work for an unheard machine: it hears direct commands, but reaches
        // no controller, so that its session ends with its lease, again and again.
        && m.last_heartbeat_at.is_some_and(|h| now.since(h) < heard_within)
        && !m.is_unreachable()
}

/// Machines that are alike and have not reported since a failover.
#[derive(Debug, Clone, PartialEq)]
pub struct SilentMachines {
    /// Their type.
    pub machine_type: String,
    /// Their zone.
    pub zone: String,
    /// Whether the cloud may take them back.
    pub spot: bool,
    /// Of each of them; none: it is not known.
    pub capacity: Option<Resources>,
}

/// A failover that is not complete yet.
#[derive(Debug, Clone, PartialEq)]
pub struct FailoverRecovery {
    /// The term of the grant.
    pub term: Term,
    /// The store's revision at which it was granted.
    pub granted: Revision,
    /// The machines that have not reported since and may run anything, each kind once.
    pub silent: Vec<SilentMachines>,
}

impl FailoverRecovery {
    /// Whether an attempt of a job may be on a machine that is still silent. One that no
    /// earlier owner can have begun has no old attempts; another only where it fits.
    fn may_hold(&self, job: &Job) -> bool {
        job.may_have_begun_before(self.term, self.granted)
            && self.silent.iter().any(|m| {
                job.may_have_been_on(&m.machine_type, &m.zone, m.spot)
                    && m.capacity.is_none_or(|c| job.desc.request().fits_in(&c))
            })
    }
}

/// Whether a job's tasks may be launched at all now.
pub fn launchable(job: &Job, now: Micros, recovery: Option<&FailoverRecovery>) -> bool {
    // Guards against a task on two machines: while some of the partition have not reported
    // since the failover, an old job's tasks may run there.
    let old = recovery.is_some_and(|r| r.may_hold(job));
    !old && job.wants_machines() && now >= job.not_before
}

/// A job that has waited so long to begin goes to the head of its team, whatever its
/// rank and even if its deadline is lost, and holds room.
const BEGIN: Micros = Micros::from_millis(120_000);
/// The same for one that began, and none of whose tasks started since.
const GO_ON: Micros = Micros::from_millis(200_000);

/// Whether a job has waited so long that it goes before all others of its team.
pub fn starved(job: &Job, wall_clock: Micros) -> bool {
    let begun =
        job.last_start > job.eligible_since || !job.done.is_empty() || !job.active.is_empty();
    wall_clock.since(job.last_start) > if begun { GO_ON } else { BEGIN }
}

/// A job in a team's queue, with what tells most of the time that it fits nowhere.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedJob {
    id: JobId,
    request: Resources,
    starved: bool,
}

/// Waiting jobs of each team; the next one is the last.
pub type Queues = BTreeMap<usize, Vec<QueuedJob>>;

/// Inside a team: those that starve, then rank, then slack, then age.
pub fn queues(snapshot: &SchedulingSnapshot<'_>) -> Queues {
    let mut queues: BTreeMap<usize, Vec<(&JobId, &Job)>> = BTreeMap::new();
    for (id, job) in snapshot.jobs {
        if launchable(job, snapshot.now, snapshot.recovery) {
            queues.entry(job.team).or_default().push((id, job));
        }
    }
    let ids = |(t, mut queue): (usize, Vec<(&JobId, &Job)>)| {
        queue.sort_by_cached_key(|(_, j)| {
            let starved = starved(j, snapshot.wall_clock).then_some(Reverse(j.last_start));
            (starved, j.turn(snapshot.wall_clock))
        });
        if snapshot
            .zone_evacuation
            .is_some_and(ZoneEvacuation::has_displaced)
        {
            queue.reverse();
            queue = snapshot.in_evacuation_order(queue, |(_, job)| job);
            queue.reverse();
        }
        let queued = |(id, j): (&JobId, &Job)| QueuedJob {
            id: id.clone(),
            request: j.desc.request(),
            starved: starved(j, snapshot.wall_clock),
        };
        (t, queue.into_iter().map(queued).collect())
    };
    queues.into_iter().map(ids).collect()
}

/// What a pass has decided.
#[derive(Debug, Default)]
pub struct PlacementPass {
    /// What to start.
    pub choices: Vec<Placement>,
    /// The head job that fits nowhere, and the machines that are held for it.
    pub held: Option<(JobId, Vec<MachineId>)>,
    /// Machines compared with a class: what the pass cost.
    pub machines_compared: usize,
}

/// Decides what to start now, best first: at most `most` tasks, and looking at no
/// more than `reach` jobs of each team.
pub fn place<'a>(
    snapshot: &SchedulingSnapshot<'a>,
    queues: &'a Queues,
    mut floor: CandidateMachines<'a>,
    reach: usize,
    most: usize,
) -> PlacementPass {
    let mut weights = snapshot.usage.clone();
    let mut choices: Vec<Placement> = Vec::new();
    let mut candidates: BTreeMap<&JobId, Vec<usize>> = BTreeMap::new();
    let mut taken: BTreeMap<&JobId, u32> = BTreeMap::new();
    let mut zones: BTreeMap<&JobId, BTreeMap<&str, u32>> = BTreeMap::new();
    let mut hopeless: Vec<ResourceShape<'_>> = Vec::new();
    let mut held = None;
    // Of each team: heaviness, and its jobs that are left to look at.
    let mut left: Vec<(usize, f64, &[QueuedJob])> = queues
        .iter()
        .map(|(t, q)| {
            let far = q.len().saturating_sub(reach);
            (*t, snapshot.heaviness(&weights, *t), &q[far..])
        })
        .filter(|(_, _, q)| !q.is_empty())
        .collect();
    while choices.len() < most {
        // Lightest team first, among those with something left to decide.
        let lightest = left.iter_mut().min_by(|a, b| a.1.total_cmp(&b.1));
        let Some((t, _, queue)) = lightest else { break };
        let (t, waiting) = (*t, *queue);
        let Some((next, rest)) = waiting.split_last() else {
            left.retain(|(_, _, q)| !q.is_empty());
            continue;
        };
        let QueuedJob { id, request, .. } = next;
        // Where nothing is held, what fits into no room at all needs no second look;
        // but others of its team must not pass one that starves below the limit.
        if !floor.whole && !next.starved && !request.fits_in(&floor.most) {
            *queue = rest;
            continue;
        }
        let next = snapshot
            .jobs
            .get(id)
            .filter(|j| launchable(j, snapshot.now, snapshot.recovery))
            .and_then(|j| {
                let taken = taken.get(id).copied().unwrap_or(0);
                let index = nth(j, taken).filter(|_| taken < j.startable())?;
                Some((j, index))
            });
        let Some((job, index)) = next else {
            *queue = rest;
            continue;
        };
        let desc = &*job.desc;
        let request = desc.request();
        let mut after = weights.of(t).used;
        after += request;
        if !after.fits_in(&snapshot.settings.platform.teams[t].limit()) {
            // One that starves needs the room below the limit that others of its team
            // would take again and again.
            *queue = if starved(job, snapshot.wall_clock) {
                &[]
            } else {
                rest
            };
            continue;
        }
        if hopeless.contains(&shape(desc)) {
            *queue = rest;
            continue;
        }
        let by_zone = zones
            .entry(id)
            .or_insert_with(|| zones_of(job, snapshot.machines));
        let found = candidates
            .entry(id)
            .or_insert_with(|| floor.candidates(snapshot, id, job));
        // Others may have used a candidate since.
        while let Some(&i) = found.last() {
            let r = &floor.rooms[i];
            if request.fits_in(&r.free_for(id, snapshot.now))
                && zone_allowed(desc, by_zone, &r.machine.zone)
            {
                break;
            }
            found.pop();
        }
        let Some(&i) = found.last() else {
            // A job that avoids machines, or leaves them to others for now, says
            // nothing about its like, and holds nothing.
            if !snapshot
                .constrained
                .leaves(job, snapshot.wall_clock)
                .is_empty()
            {
                *queue = rest;
                continue;
            }
            if job.failed_on.is_empty() {
                hopeless.push(shape(desc));
            }
            if floor.whole && held.is_none() {
                let waiting = job.waiting.len() - taken.get(id).copied().unwrap_or(0);
                floor.hold(id, desc, waiting, by_zone);
                held = Some(id);
            }
            *queue = rest;
            continue;
        };
        let room = &mut floor.rooms[i];
        *by_zone.entry(room.machine.zone.as_str()).or_default() += 1;
        *taken.entry(id).or_default() += 1;
        let capacity = room.machine.capacity;
        weights.remove(&room.load, capacity);
        room.load.to_mut().take(t, request);
        weights.add(&room.load, capacity);
        room.free -= request;
        room.images.push(desc.image_key());
        let teams: Vec<usize> = room.load.teams.iter().map(|(t, _)| *t).collect();
        choices.push(Placement {
            job: id.clone(),
            index,
            machine: room.id.clone(),
        });
        for (t, heaviness, _) in &mut left {
            if teams.contains(t) {
                *heaviness = snapshot.heaviness(&weights, *t);
            }
        }
    }
    let held = held.map(|id| {
        let rooms = floor.rooms.iter().filter(|r| r.held_for.is_some());
        (id.clone(), rooms.map(|r| r.id.clone()).collect())
    });
    PlacementPass {
        choices,
        held,
        machines_compared: floor.machines_compared,
    }
}

/// The task that comes `n` places after the first that waits.
fn nth(job: &Job, n: u32) -> Option<u32> {
    let mut left = n;
    for (a, b) in job.waiting.pairs() {
        if left < b - a {
            return Some(a + left);
        }
        left -= b - a;
    }
    None
}

/// How many of a job's tasks are, or may be, in each zone.
fn zones_of<'a>(job: &Job, machines: &'a BTreeMap<MachineId, Machine>) -> BTreeMap<&'a str, u32> {
    let mut zones = BTreeMap::new();
    if job.desc.single_zone || job.desc.anti_affinity {
        for m in machines.values() {
            // Attempts, not only known tasks: one being stopped is still there.
            let of_job = |(k, a): &(&crate::workers::AttemptKey, &Attempt)| {
                k.0.job == job.desc.id && a.phase != Phase::Exited
            };
            let n = m.attempts.iter().filter(of_job).count() as u32;
            if n > 0 {
                *zones.entry(m.zone.as_str()).or_default() += n;
            }
        }
    }
    zones
}

fn zone_allowed(d: &JobDesc, zones: &BTreeMap<&str, u32>, zone: &str) -> bool {
    if d.single_zone && zones.iter().any(|(z, n)| *z != zone && *n > 0) {
        return false;
    }
    !d.anti_affinity || zones.get(zone).copied().unwrap_or(0) < d.tasks.div_ceil(2)
}
