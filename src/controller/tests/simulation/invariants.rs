//! The invariants that hold after every step of a simulation.
//!
//! Each check panics with a description of the violation.

use super::worker::{Launch, SimulatedWorker};
use super::{Simulation, ZONES, secs};
use crate::ids::{JobId, MachineId, TaskId};
use crate::jobs::{JobDesc, JobState};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// Tolerance in cores for rounding errors in sums of cores.
const CORES_TOLERANCE: f64 = 1e-6;

/// Task and machine for which an attempt number was first used.
#[derive(Debug, PartialEq)]
struct AttemptPlacement {
    task: String,
    machine: MachineId,
}

/// State that the invariant checks keep between steps: the first placement of each attempt
/// number.
#[derive(Default)]
pub struct Invariants {
    placements: BTreeMap<u64, AttemptPlacement>,
}

impl Invariants {
    /// Checks that an attempt number is used for one task on one machine only.
    fn check_attempt(&mut self, launch: &Launch, worker: &SimulatedWorker) {
        let placement = AttemptPlacement {
            task: launch.task.clone(),
            machine: worker.id.clone(),
        };
        match self.placements.entry(launch.attempt) {
            Entry::Vacant(vacant) => {
                vacant.insert(placement);
            }
            Entry::Occupied(first) => assert_eq!(
                *first.get(),
                placement,
                "attempt number {} was assigned twice",
                launch.attempt
            ),
        }
    }
}

impl Simulation {
    /// Checks all invariants. Panics if one is violated.
    pub fn check_invariants(&mut self) {
        self.check_launches();
        self.check_running_tasks();
    }

    /// Checks the launches since the last check: each has a new attempt number, and its task is
    /// allowed to run on that machine.
    fn check_launches(&mut self) {
        for index in 0..self.workers.len() {
            for launch in std::mem::take(&mut self.workers[index].launches) {
                let worker = &self.workers[index];
                self.invariants.check_attempt(&launch, worker);
                let task = TaskId::parse(&launch.task).expect("a task");
                if let Some(job) = self.users.submitted.get(&task.job) {
                    self.check_placement(&task, job, worker);
                }
            }
        }
    }

    fn check_placement(&self, task: &TaskId, job: &JobDesc, worker: &SimulatedWorker) {
        assert!(
            job.allows(worker.machine_type, worker.zone, false),
            "{task} must not run on machine type {} in zone {}",
            worker.machine_type,
            worker.zone
        );
        for dependency in &job.dependencies {
            let state = self.ended_state(dependency.as_str());
            assert_eq!(
                state,
                Some(JobState::Done),
                "{task} started before {dependency} was done"
            );
        }
        let prefix = format!("{}/", task.job);
        let running_in_zone = |zone: &str| -> usize {
            self.live_workers()
                .filter(|other| other.zone == zone)
                .map(|other| other.running_tasks(&prefix).count())
                .sum()
        };
        if job.single_zone {
            let elsewhere: usize = ZONES
                .into_iter()
                .filter(|zone| *zone != worker.zone)
                .map(running_in_zone)
                .sum();
            assert_eq!(
                elsewhere, 0,
                "{task} started in {}, but tasks of its single-zone job run in another zone",
                worker.zone
            );
        }
        if job.anti_affinity {
            let max_in_zone = job.tasks.div_ceil(2) as usize;
            assert!(
                running_in_zone(worker.zone) <= max_in_zone,
                "{task} started in {}, which runs more than half of its anti-affinity job",
                worker.zone
            );
        }
    }

    /// Checks that no task runs on two machines, that no team exceeds its quota limit, and that
    /// cancelled tasks end within the cancel timeout. Cancelled tasks that still run count
    /// against the limit.
    fn check_running_tasks(&self) {
        let platform = &self.controllers[0].settings.platform;
        let mut machine_of: BTreeMap<&str, &MachineId> = BTreeMap::new();
        let mut used_cores: BTreeMap<&str, f64> = BTreeMap::new();
        // The tasks of a paused worker count until its lease has expired. After that they never
        // run again: when the worker resumes, it handles its expired lease before anything else.
        let lease = secs(platform.workers.lease_s);
        let may_run = |worker: &&SimulatedWorker| {
            !worker.is_paused || self.now.since(worker.last_answer_at) <= lease
        };
        for worker in self.live_workers().filter(may_run) {
            for task in worker.running_tasks("") {
                let other = machine_of.insert(task, &worker.id);
                assert!(
                    other.is_none(),
                    "{task} runs on {} and on {other:?}",
                    worker.id
                );
                let job = task.split('/').next().expect("a job").into();
                if let Some(submitted) = self.users.submitted.get(&job) {
                    *used_cores.entry(&submitted.team).or_default() += submitted.cores;
                }
                // A paused worker runs nothing until it resumes.
                if !worker.is_paused {
                    self.check_cancellation(task, &job, worker);
                }
            }
        }
        for (team, cores) in used_cores {
            let team = platform.teams.iter().find(|known| known.name == team);
            let team = team.expect("a team");
            let max_cores = team.limit().cores;
            assert!(
                cores <= max_cores + CORES_TOLERANCE,
                "team {} uses {cores} cores, its limit is {max_cores}",
                team.name
            );
        }
    }

    fn check_cancellation(&self, task: &str, job: &JobId, worker: &SimulatedWorker) {
        if let Some(cancelled_at) = self.users.cancelled_at.get(job) {
            let elapsed_s = self.now.since(*cancelled_at).as_secs();
            assert!(
                elapsed_s <= self.cancel_timeout_s(),
                "{task} still runs on {} {elapsed_s} s after its cancellation",
                worker.id
            );
        }
    }
}
