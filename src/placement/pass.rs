//! A placement pass: decides which waiting tasks start now and on which machines.
//!
//! In each step, the team with the lowest heaviness places one task of its next job or skips the
//! job. The pass ends when no team has a job left or the limit of placements is reached.

use super::zone_constraints::{TasksByZone, is_zone_allowed, tasks_by_zone};
use super::{CandidateMachines, QueuedJob, Queues, SchedulingSnapshot, is_launchable, is_starved};
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::{JobId, MachineId};
use crate::jobs::{Job, JobDesc};
use std::collections::BTreeMap;

/// The decision to start a task on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Id of the task's job.
    pub job: JobId,
    /// Index of the task in its job.
    pub index: u32,
    /// Machine on which the task starts.
    pub machine: MachineId,
}

/// The result of a pass.
#[derive(Debug, Default)]
pub struct PlacementPass {
    /// Tasks to start, in the order in which they were decided.
    pub placements: Vec<Placement>,
    /// The first job that fits on no machine, and the machines that are held for it; `None`: no job
    /// has machines held for it.
    pub held: Option<(JobId, Vec<MachineId>)>,
    /// Number of comparisons of a job with a machine: the cost of the pass.
    pub machines_compared: usize,
}

/// Limits that bound the cost of a pass.
#[derive(Debug, Clone, Copy)]
pub struct PassLimits {
    /// Maximum number of jobs that are considered of each team.
    pub max_jobs_per_team: usize,
    /// Maximum number of tasks that are placed.
    pub max_placements: usize,
}

/// Runs a pass over `machines` and returns the tasks to start on them now.
///
/// `queues` must come from [`super::build_queues`]. The last jobs of each queue are considered, up
/// to the limit: they are the most urgent ones.
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
        unplaceable: Vec::new(),
        held: None,
    };
    pass.run(limits.max_placements)
}

/// Requirements of a job's tasks. If a task fits on no machine, neither does any other task with
/// the same requirements.
#[derive(Debug, Clone, PartialEq)]
struct TaskRequirements<'a> {
    request: Resources,
    machine_types: Option<&'a [String]>,
    zone: Option<&'a str>,
    spot: bool,
    /// Set for a job with a zone constraint, which depends on where its other tasks are: no other
    /// job has the same requirements.
    zone_bound_job: Option<&'a JobId>,
}

impl<'a> TaskRequirements<'a> {
    fn of(desc: &'a JobDesc) -> Self {
        TaskRequirements {
            request: desc.request(),
            machine_types: desc.machine_types.as_deref(),
            zone: desc.zone.as_deref(),
            spot: desc.spot,
            zone_bound_job: (desc.single_zone || desc.anti_affinity).then_some(&desc.id),
        }
    }
}

/// A team in a pass, with the jobs that are not decided yet. The last job is decided next.
struct TeamQueue<'a> {
    team: usize,
    heaviness: f64,
    jobs: &'a [QueuedJob],
}

/// State that a pass keeps for each job for which it has searched a machine.
struct JobProgress<'a> {
    /// Indexes of the machines on which its tasks may still fit, the best one last.
    candidates: Vec<usize>,
    tasks_by_zone: TasksByZone<'a>,
    /// Number of its tasks that this pass has placed.
    placed: u32,
}

/// The result of deciding about a team's next job.
enum Decision {
    /// One task of the job was placed; the job is decided again for its next task.
    Placed,
    /// No further task of this job is placed in this pass.
    SkipJob,
    /// No further task of this team is placed in this pass.
    SkipTeam,
}

/// The state of a running pass.
struct Pass<'s, 'a> {
    snapshot: &'s SchedulingSnapshot<'a>,
    /// Usage by team, including the tasks that this pass has placed.
    usage: UsageByTeam,
    machines: CandidateMachines<'a>,
    teams: Vec<TeamQueue<'a>>,
    placements: Vec<Placement>,
    progress: BTreeMap<&'a JobId, JobProgress<'a>>,
    /// Requirements that no machine was found to meet.
    unplaceable: Vec<TaskRequirements<'a>>,
    /// The job for which machines are held.
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

    /// Returns the index in `teams` of the team with the lowest heaviness; `None`: no team is left.
    fn lightest_team(&self) -> Option<usize> {
        let teams = self.teams.iter().enumerate();
        let lightest =
            teams.min_by(|(_, left), (_, right)| left.heaviness.total_cmp(&right.heaviness));
        lightest.map(|(queue_index, _)| queue_index)
    }

    /// Decides about the next job of a team, or drops the teams that have no job left.
    fn advance(&mut self, queue_index: usize) {
        let TeamQueue { team, jobs, .. } = self.teams[queue_index];
        let Some((queued, rest)) = jobs.split_last() else {
            self.teams.retain(|queue| !queue.jobs.is_empty());
            return;
        };
        match self.decide(team, queued) {
            Decision::Placed => {}
            Decision::SkipJob => self.teams[queue_index].jobs = rest,
            Decision::SkipTeam => self.teams[queue_index].jobs = &[],
        }
    }

    /// Places the next task of a job, or decides that the job or its whole team is skipped.
    fn decide(&mut self, team: usize, queued: &'a QueuedJob) -> Decision {
        if !self.needs_examination(queued) {
            return Decision::SkipJob;
        }
        let Some((job, index)) = self.next_task(&queued.id) else {
            return Decision::SkipJob;
        };
        if !self.is_within_limit(team, job) {
            // Other jobs of the team must not take the part of the team's limit that a starved job
            // waits for, or the starved job might never start.
            return if is_starved(job, self.snapshot.wall_clock) {
                Decision::SkipTeam
            } else {
                Decision::SkipJob
            };
        }
        if self.unplaceable.contains(&TaskRequirements::of(&job.desc)) {
            return Decision::SkipJob;
        }
        match self.best_machine(&queued.id, job) {
            Some(machine_index) => {
                self.place(team, &queued.id, job, index, machine_index);
                Decision::Placed
            }
            None => {
                self.record_unplaceable(&queued.id, job);
                Decision::SkipJob
            }
        }
    }

    /// Whether a job must be examined further. In a pass over a single machine, which holds no
    /// capacity, a job that exceeds the machine's free capacity is skipped at once. A starved job
    /// is always examined, since it may have to keep other jobs of its team from starting.
    fn needs_examination(&self, queued: &QueuedJob) -> bool {
        self.machines.is_whole_partition
            || queued.is_starved
            || queued.request.fits_in(&self.machines.max_free)
    }

    /// Returns the job and the index of its next waiting task, if it may be launched now.
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

    /// Whether one more task of a job is within its team's limit.
    fn is_within_limit(&self, team: usize, job: &Job) -> bool {
        let mut after = self.usage.of(team).used;
        after += job.desc.request();
        after.fits_in(&self.snapshot.settings.platform.teams[team].limit())
    }

    /// Returns the index of the best machine for the next task of a job; `None`: it fits on none.
    fn best_machine(&mut self, id: &'a JobId, job: &'a Job) -> Option<usize> {
        let (snapshot, machines) = (self.snapshot, &mut self.machines);
        let progress = self.progress.entry(id).or_insert_with(|| JobProgress {
            tasks_by_zone: tasks_by_zone(job, snapshot.machines),
            candidates: machines.candidates(snapshot, id, job),
            placed: 0,
        });
        let request = job.desc.request();
        // Tasks placed since the candidates were computed may have used their capacity.
        while let Some(&machine_index) = progress.candidates.last() {
            let candidate = &machines.machines[machine_index];
            let zone = &candidate.machine.spec.zone;
            if request.fits_in(&candidate.free_for(id, snapshot.now))
                && is_zone_allowed(&job.desc, &progress.tasks_by_zone, zone)
            {
                return Some(machine_index);
            }
            progress.candidates.pop();
        }
        None
    }

    /// Records that a job fits on no machine. Jobs with the same requirements need not be tried any
    /// more. In a pass over the whole partition, machines are held for the first such job.
    fn record_unplaceable(&mut self, id: &'a JobId, job: &'a Job) {
        // A job that yields machine types for now may fit there. Other jobs with the same
        // requirements need not yield these types, and no machine is held for the job.
        let yielded = self
            .snapshot
            .constrained
            .yielded_machine_types(job, self.snapshot.wall_clock);
        if !yielded.is_empty() {
            return;
        }
        // A job that avoids machines on which it failed says nothing about other jobs with the
        // same requirements.
        if job.failed_on().is_empty() {
            self.unplaceable.push(TaskRequirements::of(&job.desc));
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

    /// Places a task on a machine, and updates the machine, the job and its team.
    fn place(&mut self, team: usize, id: &'a JobId, job: &Job, index: u32, machine_index: usize) {
        let request = job.desc.request();
        let candidate = &mut self.machines.machines[machine_index];
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

    /// Recomputes the heaviness of the teams that have tasks on a machine whose load changed: the
    /// endowment of each of these tasks depends on all requests on the machine.
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

/// Returns the index of the job's waiting task at this position, counted from 0.
fn nth_waiting(job: &Job, position: u32) -> Option<u32> {
    job.waiting().nth(position)
}
