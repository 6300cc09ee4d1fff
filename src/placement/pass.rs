//! One pass: which waiting tasks start now and where, lightest team first.

use super::zone_constraints::{TasksByZone, is_zone_allowed, tasks_by_zone};
use super::{CandidateMachines, QueuedJob, Queues, SchedulingSnapshot, is_launchable, is_starved};
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::{JobId, MachineId};
use crate::jobs::{Job, JobDesc};
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

/// What a pass has decided.
#[derive(Debug, Default)]
pub struct PlacementPass {
    /// What to start.
    pub placements: Vec<Placement>,
    /// The head job that fits nowhere, and the machines that are held for it.
    pub held: Option<(JobId, Vec<MachineId>)>,
    /// Machines compared with a class: what the pass cost.
    pub machines_compared: usize,
}

/// Bounds of a pass.
#[derive(Debug, Clone, Copy)]
pub struct PassLimits {
    /// Jobs of each team that are considered at most.
    pub max_jobs_per_team: usize,
    /// Tasks that are placed at most.
    pub max_placements: usize,
}

/// Decides what to start now, best first.
pub fn run_pass<'a>(
    snapshot: &SchedulingSnapshot<'a>,
    queues: &'a Queues,
    machines: CandidateMachines<'a>,
    limits: PassLimits,
) -> PlacementPass {
    let usage = snapshot.usage.clone();
    let teams = queues
        .iter()
        .map(|(team, queue)| {
            let skipped = queue.len().saturating_sub(limits.max_jobs_per_team);
            TeamQueue {
                team: *team,
                heaviness: snapshot.heaviness(&usage, *team),
                jobs: &queue[skipped..],
            }
        })
        .filter(|queue| !queue.jobs.is_empty())
        .collect();
    let pass = Pass {
        snapshot,
        usage,
        machines,
        teams,
        placements: Vec::new(),
        progress: BTreeMap::new(),
        hopeless: Vec::new(),
        held: None,
    };
    pass.run(limits.max_placements)
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

impl<'a> ResourceShape<'a> {
    fn of(desc: &'a JobDesc) -> Self {
        ResourceShape {
            request: desc.request(),
            machine_types: desc.machine_types.as_deref(),
            zone: desc.zone.as_deref(),
            spot: desc.spot,
            own: (desc.single_zone || desc.anti_affinity).then_some(&desc.id),
        }
    }
}

/// A team in a pass, with its jobs that are left to decide; the next one is the last.
struct TeamQueue<'a> {
    team: usize,
    heaviness: f64,
    jobs: &'a [QueuedJob],
}

/// What a pass keeps of a job that it has considered.
struct JobProgress<'a> {
    /// Its machines that are left, the best one last.
    candidates: Vec<usize>,
    tasks_by_zone: TasksByZone<'a>,
    placed: u32,
}

/// What a decision about a team's next job leads to.
enum Decision {
    /// One task of it was placed.
    Placed,
    /// Nothing more of this job in this pass.
    SkipJob,
    /// Nothing more of this team in this pass.
    SkipTeam,
}

struct Pass<'s, 'a> {
    snapshot: &'s SchedulingSnapshot<'a>,
    usage: UsageByTeam,
    machines: CandidateMachines<'a>,
    teams: Vec<TeamQueue<'a>>,
    placements: Vec<Placement>,
    progress: BTreeMap<&'a JobId, JobProgress<'a>>,
    hopeless: Vec<ResourceShape<'a>>,
    held: Option<&'a JobId>,
}

impl<'a> Pass<'_, 'a> {
    fn run(mut self, max_placements: usize) -> PlacementPass {
        while self.placements.len() < max_placements {
            let Some(lightest) = self.lightest_team() else {
                break;
            };
            self.advance(lightest);
        }
        self.finish()
    }

    /// The lightest team, among those with something left to decide.
    fn lightest_team(&self) -> Option<usize> {
        let teams = self.teams.iter().enumerate();
        let lightest =
            teams.min_by(|(_, left), (_, right)| left.heaviness.total_cmp(&right.heaviness));
        lightest.map(|(place, _)| place)
    }

    fn advance(&mut self, place: usize) {
        let TeamQueue { team, jobs, .. } = self.teams[place];
        let Some((queued, rest)) = jobs.split_last() else {
            self.teams.retain(|queue| !queue.jobs.is_empty());
            return;
        };
        match self.decide(team, queued) {
            Decision::Placed => {}
            Decision::SkipJob => self.teams[place].jobs = rest,
            Decision::SkipTeam => self.teams[place].jobs = &[],
        }
    }

    fn decide(&mut self, team: usize, queued: &'a QueuedJob) -> Decision {
        if !self.may_fit(queued) {
            return Decision::SkipJob;
        }
        let Some((job, index)) = self.next_task(&queued.id) else {
            return Decision::SkipJob;
        };
        if !self.is_within_limit(team, job) {
            // One that starves needs the room below the limit that others of its team
            // would take again and again.
            return if is_starved(job, self.snapshot.wall_clock) {
                Decision::SkipTeam
            } else {
                Decision::SkipJob
            };
        }
        if self.hopeless.contains(&ResourceShape::of(&job.desc)) {
            return Decision::SkipJob;
        }
        match self.best_machine(&queued.id, job) {
            Some(machine) => {
                self.place(team, &queued.id, job, index, machine);
                Decision::Placed
            }
            None => {
                self.note_no_room(&queued.id, job);
                Decision::SkipJob
            }
        }
    }

    /// Where nothing is held, what fits into no room at all needs no closer comparison; but
    /// others of its team must not pass one that starves below the limit.
    fn may_fit(&self, queued: &QueuedJob) -> bool {
        self.machines.is_whole_partition
            || queued.is_starved
            || queued.request.fits_in(&self.machines.max_free)
    }

    /// The next task of a job that may be launched.
    fn next_task(&self, id: &JobId) -> Option<(&'a Job, u32)> {
        let job = self.snapshot.jobs.get(id)?;
        if !is_launchable(job, self.snapshot.now, self.snapshot.recovery) {
            return None;
        }
        let placed = self.placed(id);
        let index = nth_waiting(job, placed).filter(|_| placed < job.startable())?;
        Some((job, index))
    }

    fn placed(&self, id: &JobId) -> u32 {
        self.progress.get(id).map_or(0, |progress| progress.placed)
    }

    fn is_within_limit(&self, team: usize, job: &Job) -> bool {
        let mut after = self.usage.of(team).used;
        after += job.desc.request();
        after.fits_in(&self.snapshot.settings.platform.teams[team].limit())
    }

    /// The best machine for the next task of a job, by its place among the candidates.
    fn best_machine(&mut self, id: &'a JobId, job: &'a Job) -> Option<usize> {
        let (snapshot, machines) = (self.snapshot, &mut self.machines);
        let progress = self.progress.entry(id).or_insert_with(|| JobProgress {
            tasks_by_zone: tasks_by_zone(job, snapshot.machines),
            candidates: machines.candidates(snapshot, id, job),
            placed: 0,
        });
        let request = job.desc.request();
        // Others may have used a candidate since.
        while let Some(&place) = progress.candidates.last() {
            let candidate = &machines.machines[place];
            let zone = &candidate.machine.spec.zone;
            if request.fits_in(&candidate.free_for(id, snapshot.now))
                && is_zone_allowed(&job.desc, &progress.tasks_by_zone, zone)
            {
                return Some(place);
            }
            progress.candidates.pop();
        }
        None
    }

    /// A job found no room: its like need not be tried, and the first one holds room.
    fn note_no_room(&mut self, id: &'a JobId, job: &'a Job) {
        // A job that avoids machines, or leaves them to others for now, says nothing about
        // its like, and holds nothing.
        let leaves = self
            .snapshot
            .constrained
            .leaves(job, self.snapshot.wall_clock);
        if !leaves.is_empty() {
            return;
        }
        if job.failed_on().is_empty() {
            self.hopeless.push(ResourceShape::of(&job.desc));
        }
        if self.machines.is_whole_partition && self.held.is_none() {
            let waiting = job.waiting().len() - self.placed(id);
            let by_zone = self
                .progress
                .get(id)
                .map(|progress| &progress.tasks_by_zone);
            let no_tasks = TasksByZone::new();
            self.machines
                .hold(id, &job.desc, waiting, by_zone.unwrap_or(&no_tasks));
            self.held = Some(id);
        }
    }

    fn place(&mut self, team: usize, id: &'a JobId, job: &Job, index: u32, place: usize) {
        let request = job.desc.request();
        let candidate = &mut self.machines.machines[place];
        if let Some(progress) = self.progress.get_mut(id) {
            let zone = candidate.machine.spec.zone.as_str();
            *progress.tasks_by_zone.entry(zone).or_default() += 1;
            progress.placed += 1;
        }
        let capacity = candidate.machine.spec.capacity;
        self.usage.remove(&candidate.load, capacity);
        candidate.load.to_mut().add_request(team, request);
        self.usage.add(&candidate.load, capacity);
        candidate.free -= request;
        candidate.images.push(job.desc.image_key());
        let teams_on_machine: Vec<usize> =
            candidate.load.teams.iter().map(|(team, _)| *team).collect();
        self.placements.push(Placement {
            job: id.clone(),
            index,
            machine: candidate.id.clone(),
        });
        self.update_heaviness(&teams_on_machine);
    }

    /// A machine's load changed: so did the endowments of all teams on it.
    fn update_heaviness(&mut self, changed: &[usize]) {
        for queue in &mut self.teams {
            if changed.contains(&queue.team) {
                queue.heaviness = self.snapshot.heaviness(&self.usage, queue.team);
            }
        }
    }

    fn finish(self) -> PlacementPass {
        let held = self.held.map(|id| {
            let machines = self.machines.machines.iter();
            let held = machines.filter(|candidate| candidate.held_for.is_some());
            (
                id.clone(),
                held.map(|candidate| candidate.id.clone()).collect(),
            )
        });
        PlacementPass {
            placements: self.placements,
            held,
            machines_compared: self.machines.machines_compared,
        }
    }
}

/// The task that comes `n` places after the first that waits.
fn nth_waiting(job: &Job, n: u32) -> Option<u32> {
    job.waiting().nth(n)
}
