//! A placement pass: decides which waiting tasks start now and on which machines.
//!
//! In each step, the team with the lowest heaviness places one task of its next job or skips the
//! job. The pass ends when no team has a job left or the limit of placements is reached.
//!
//! Most jobs that fit nowhere are found by their queue entries alone, which costs little. The number
//! of searches for a machine that find none is limited for each team. The jobs for which they were
//! made are passed over in the next pass, so that all other jobs have their turn within a few passes.

use super::candidates::SelectorRoom;
use super::hold_rule::HoldRule;
use super::zone_constraints::{TasksByZone, is_zone_allowed, tasks_by_zone};
use super::{CandidateMachines, QueuedJob, Queues, SchedulingSnapshot, is_launchable};
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::{JobId, MachineId};
use crate::jobs::{Job, JobDesc};
use std::collections::{BTreeMap, BTreeSet};

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
    /// If a team reached its limit of searches: the jobs for which a machine was searched in vain.
    /// Empty otherwise.
    pub passed_over: Vec<JobId>,
}

/// Limits that bound the cost of a pass.
#[derive(Debug, Clone, Copy)]
pub struct PassLimits {
    /// Maximum number of jobs of each team for which a machine is searched in vain.
    pub max_failed_searches: usize,
    /// Maximum number of tasks that are placed.
    pub max_placements: usize,
}

/// Runs a pass over `machines` and returns the tasks to start on them now.
///
/// `queues` must come from [`super::build_queues`]. The last jobs of each queue are the most urgent
/// ones. The jobs in `passed_over` are skipped: earlier passes searched machines for them in vain, and
/// did not come to the jobs behind them.
pub fn run_pass<'a>(
    snapshot: &SchedulingSnapshot<'a>,
    queues: &'a Queues,
    machines: CandidateMachines<'a>,
    limits: PassLimits,
    passed_over: &BTreeSet<JobId>,
) -> PlacementPass {
    let usage = snapshot.usage.clone();
    let teams = queues
        .by_team
        .iter()
        .map(|(team, queue)| TeamQueue {
            team: *team,
            heaviness: snapshot.heaviness(&usage, *team),
            jobs: queue,
            failed_searches: 0,
        })
        .collect();
    let rooms = queues.selectors.iter();
    let pass = Pass {
        rooms: rooms.map(|selector| machines.room_of(selector)).collect(),
        unplaceable: vec![Vec::new(); queues.selectors.len()],
        with_reservations: machines.jobs_with_reservations(snapshot.now),
        snapshot,
        limits,
        passed_over,
        usage,
        machines,
        teams,
        placements: Vec::new(),
        progress: BTreeMap::new(),
        searched_in_vain: Vec::new(),
        is_search_limit_reached: false,
        held: None,
    };
    pass.run()
}

/// A team in a pass, with the jobs that are not decided yet. The last job is decided next.
struct TeamQueue<'a> {
    team: usize,
    heaviness: f64,
    jobs: &'a [QueuedJob],
    /// Number of its jobs for which a machine was searched in vain.
    failed_searches: usize,
}

/// State that a pass keeps for each job for which it has searched a machine.
struct JobProgress<'a> {
    /// Indexes of the machines on which its tasks may still fit, the best one last.
    candidates: Vec<usize>,
    /// Whether its tasks fit on a machine that is held for another job.
    is_blocked_by_hold: bool,
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
    /// No machine was found for the job.
    SearchFailed,
    /// No further task of this team is placed in this pass.
    SkipTeam,
}

/// The state of a running pass.
struct Pass<'s, 'a> {
    snapshot: &'s SchedulingSnapshot<'a>,
    limits: PassLimits,
    /// Jobs that are skipped in this pass.
    passed_over: &'s BTreeSet<JobId>,
    /// The most room on any machine, by selector.
    rooms: Vec<SelectorRoom>,
    /// Jobs that have capacity reserved or held for them.
    with_reservations: BTreeSet<&'a JobId>,
    /// Usage by team, including the tasks that this pass has placed.
    usage: UsageByTeam,
    machines: CandidateMachines<'a>,
    teams: Vec<TeamQueue<'a>>,
    placements: Vec<Placement>,
    progress: BTreeMap<&'a JobId, JobProgress<'a>>,
    /// The smallest requests that were found to fit on no machine, by selector. Larger ones with the
    /// same selector fit on none either.
    unplaceable: Vec<Vec<Resources>>,
    searched_in_vain: Vec<JobId>,
    is_search_limit_reached: bool,
    /// The job for which machines are held.
    held: Option<&'a JobId>,
}

impl<'a> Pass<'_, 'a> {
    fn run(mut self) -> PlacementPass {
        while self.placements.len() < self.limits.max_placements {
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
        self.skip_unplaceable(queue_index);
        let TeamQueue { team, jobs, .. } = self.teams[queue_index];
        let Some((queued, rest)) = jobs.split_last() else {
            self.teams.retain(|queue| !queue.jobs.is_empty());
            return;
        };
        match self.decide(team, queued) {
            Decision::Placed => {}
            Decision::SkipJob => self.teams[queue_index].jobs = rest,
            Decision::SearchFailed => {
                self.teams[queue_index].jobs = rest;
                self.count_failed_search(queue_index, &queued.id);
            }
            Decision::SkipTeam => self.teams[queue_index].jobs = &[],
        }
    }

    /// Places the next task of a job, or decides that the job or its whole team is skipped.
    fn decide(&mut self, team: usize, queued: &'a QueuedJob) -> Decision {
        let Some((job, index)) = self.next_task(&queued.id) else {
            return Decision::SkipJob;
        };
        if !self.is_within_limit(team, &queued.request) {
            // Other jobs of the team must not take the part of the team's limit that a starved job
            // waits for, or the starved job might never start.
            return Decision::SkipTeam;
        }
        match self.best_machine(&queued.id, job) {
            Some(machine_index) => {
                self.place(team, &queued.id, job, index, machine_index);
                Decision::Placed
            }
            None => {
                self.record_unplaceable(queued, job);
                Decision::SearchFailed
            }
        }
    }

    /// Drops the next jobs of a team whose queue entries show that no task of them is placed.
    fn skip_unplaceable(&mut self, queue_index: usize) {
        let TeamQueue { team, jobs, .. } = self.teams[queue_index];
        let next = jobs
            .iter()
            .rposition(|queued| self.needs_examination(team, queued));
        self.teams[queue_index].jobs = &jobs[..next.map_or(0, |position| position + 1)];
    }

    /// Whether a job must be examined further: a machine may have room for it, capacity may be held
    /// for it, or it keeps other jobs of its team from starting.
    fn needs_examination(&self, team: usize, queued: &QueuedJob) -> bool {
        if !self.is_within_limit(team, &queued.request) {
            return queued.reserves_limit;
        }
        let room = &self.rooms[queued.selector];
        if !queued.request.fits_in(&room.max_capacity) || self.passed_over.contains(&queued.id) {
            return false;
        }
        let may_be_held_for = self.machines.is_whole_partition && self.held.is_none();
        if !queued.request.fits_in(&room.max_free) && !may_be_held_for {
            return false;
        }
        !self.is_known_unplaceable(queued)
    }

    /// Whether a search for a request that is at most as large found no machine.
    fn is_known_unplaceable(&self, queued: &QueuedJob) -> bool {
        let mut smaller = self.unplaceable[queued.selector].iter();
        smaller.any(|request| request.fits_in(&queued.request))
            && !self.with_reservations.contains(&queued.id)
    }

    /// Counts a search that found no machine for a job. Drops the other jobs of its team if that was
    /// the last one that the limit allows.
    fn count_failed_search(&mut self, queue_index: usize, id: &JobId) {
        let queue = &mut self.teams[queue_index];
        queue.failed_searches += 1;
        if queue.failed_searches >= self.limits.max_failed_searches && !queue.jobs.is_empty() {
            queue.jobs = &[];
            self.is_search_limit_reached = true;
        }
        self.searched_in_vain.push(id.clone());
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

    /// Whether one more task with this request is within a team's limit.
    fn is_within_limit(&self, team: usize, request: &Resources) -> bool {
        let mut after = self.usage.of(team).used;
        after += *request;
        after.fits_in(&self.snapshot.settings.platform.teams[team].limit())
    }

    /// Returns the index of the best machine for the next task of a job; `None`: it fits on none.
    fn best_machine(&mut self, id: &'a JobId, job: &'a Job) -> Option<usize> {
        let (snapshot, machines) = (self.snapshot, &mut self.machines);
        let holds = HoldRule::of(snapshot, &self.usage, job);
        let progress = self.progress.entry(id).or_insert_with(|| {
            let search = machines.search(snapshot, id, job, |other| holds.may_use_held(other));
            JobProgress {
                tasks_by_zone: tasks_by_zone(job, snapshot.machines),
                candidates: search.indexes,
                is_blocked_by_hold: search.is_blocked_by_hold,
                placed: 0,
            }
        });
        let request = job.desc.request();
        // Tasks placed since the candidates were computed may have used their capacity.
        while let Some(&machine_index) = progress.candidates.last() {
            let candidate = &machines.machines[machine_index];
            let zone = &candidate.machine.spec.zone;
            if request.fits_in(&candidate.free_for(id, snapshot.now))
                && is_zone_allowed(&job.desc, &progress.tasks_by_zone, zone)
                && (candidate.is_open_to(id)
                    || candidate
                        .held_for
                        .is_some_and(|other| holds.may_use_held(other)))
            {
                return Some(machine_index);
            }
            progress.candidates.pop();
        }
        None
    }

    /// Records that a job fits on no machine. Jobs with the same requirements need not be tried any
    /// more. In a pass over the whole partition, machines are held for the first such job.
    fn record_unplaceable(&mut self, queued: &'a QueuedJob, job: &'a Job) {
        let id = &queued.id;
        // A job that yields machine types for now may fit there. Other jobs with the same
        // requirements need not yield these types, and no machine is held for the job.
        let yielded = self
            .snapshot
            .constrained
            .yielded_machine_types(job, self.snapshot.wall_clock);
        if !yielded.is_empty() {
            return;
        }
        // A job that avoids machines on which it failed, or that a hold for another job blocks, says
        // nothing about other jobs with the same requirements.
        let progress = self.progress.get(id);
        let is_blocked_by_hold = progress.is_some_and(|progress| progress.is_blocked_by_hold);
        if job.failed_on().is_empty() && !has_zone_constraint(&job.desc) && !is_blocked_by_hold {
            let known = &mut self.unplaceable[queued.selector];
            known.retain(|request| !queued.request.fits_in(request));
            known.push(queued.request);
        }
        if self.machines.is_whole_partition && self.held.is_none() {
            let waiting = job.waiting().len() - self.placed(id);
            let by_zone = self
                .progress
                .get(id)
                .map(|progress| &progress.tasks_by_zone);
            let no_tasks = TasksByZone::new();
            let is_held = self.machines.hold(
                self.snapshot,
                id,
                job,
                waiting,
                by_zone.unwrap_or(&no_tasks),
            );
            self.held = is_held.then_some(id);
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
            passed_over: if self.is_search_limit_reached {
                self.searched_in_vain
            } else {
                Vec::new()
            },
        }
    }
}

/// Whether it depends on the places of a job's other tasks where its next task may start.
fn has_zone_constraint(desc: &JobDesc) -> bool {
    desc.single_zone || desc.anti_affinity
}

/// Returns the index of the job's waiting task at this position, counted from 0.
fn nth_waiting(job: &Job, position: u32) -> Option<u32> {
    job.waiting().nth(position)
}
