//! A seeded history: users act while planned faults are active, and then all jobs must end.
//!
//! All random values come from one generator. The order of the draws determines each seed's
//! history, so a changed order changes the snapshots of the characterization tests.

use super::HistoryKind;
use super::fault::{Fault, PlannedFault};
use crate::api::read_index::JobLookup;
use crate::clock::Micros;
use crate::controller::tests::simulation::{LookupAnswer, Simulation, secs};
use crate::ids::JobId;
use crate::jobs::tests::job_desc;
use crate::jobs::{JobDesc, JobState};
use crate::store::keys;
use crate::subsystems::Subsystems;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Number of controllers.
const CONTROLLERS: usize = 3;
/// Number of machines at the start.
const MACHINES: usize = 6;
/// Run time of a task in seconds.
const TASK_DURATION_S: f64 = 6.0;
/// Durations of faults in seconds: close to the duration of the leases, and much shorter and
/// longer.
const FAULT_DURATIONS_S: [f64; 7] = [0.3, 2.0, 6.0, 15.0, 25.0, 40.0, 70.0];
/// Time in seconds from the end of the faults until failing jobs are cancelled.
const SECONDS_AFTER_FAULTS: usize = 30;
/// Maximum time in seconds from the cancellation of failing jobs until all jobs have ended.
const MAX_SECONDS_TO_END: usize = 240;
/// Number of most recently submitted jobs from which dependencies are drawn.
const RECENT_JOBS: usize = 4;

/// Subsystems file for histories with a lost zone. Its limits are low because there are only six
/// machines, two of them in the smaller zone.
const ZONE_FAILOVER: &str = "[zone-failover]\nenabled = true\n[zone-failover.health]\n\
                             least-machines = 2\n[zone-failover.waves]\nmachines = 1\ntasks = 2\n\
                             [zone-failover.return]\nmove-running = true";

/// A simulation with users and planned faults.
pub struct FaultHistory {
    /// The simulated cluster.
    pub simulation: Simulation,
    /// Generator of all random values.
    pub rng: StdRng,
    jobs: Vec<JobId>,
    kind: HistoryKind,
    /// First end state that was reported to users for a job, by the job's index.
    reported_end_states: BTreeMap<usize, JobState>,
}

impl FaultHistory {
    /// Creates the history of a seed and advances it until its machines are adopted.
    pub fn new(seed: u64, kind: HistoryKind) -> FaultHistory {
        let mut simulation = Simulation::new(CONTROLLERS, MACHINES);
        simulation.cloud.has_capacity = true;
        simulation.task_duration = Some(secs(TASK_DURATION_S));
        for worker in &mut simulation.workers[..2] {
            (worker.machine_type, worker.zone) = ("small", "y");
        }
        if kind == HistoryKind::LostZone {
            let settings = simulation.controllers[0].settings.clone();
            let subsystems =
                Subsystems::parse(ZONE_FAILOVER, &settings).expect("a valid subsystems file");
            for controller in &mut simulation.controllers {
                controller.subsystems = subsystems.clone();
            }
            simulation.start_all_controllers();
        }
        simulation.advance(6.0);
        FaultHistory {
            simulation,
            rng: StdRng::seed_from_u64(seed),
            jobs: Vec::new(),
            kind,
            reported_end_states: BTreeMap::new(),
        }
    }

    /// Draws the targets and the duration of a fault.
    pub fn plan(&mut self, fault: Fault, starts_at: Micros) -> PlannedFault {
        let hits_owner = self.rng.random_bool(0.6);
        let any_controller = self.rng.random_range(0..CONTROLLERS);
        let workers = (0..self.simulation.workers.len()).filter(|_| self.rng.random_bool(0.4));
        let workers = workers.collect();
        let duration_s = FAULT_DURATIONS_S.choose(&mut self.rng).copied();
        PlannedFault {
            fault,
            controller: if hits_owner {
                self.simulation.owner()
            } else {
                any_controller
            },
            workers,
            starts_at,
            ends_at: starts_at + secs(duration_s.unwrap_or(1.0)),
        }
    }

    fn set_active(&mut self, planned: &PlannedFault, is_active: bool) {
        planned.set_active(&mut self.simulation, is_active);
        if planned.fault == Fault::CancellationOfAll && is_active {
            for id in self.jobs.clone() {
                self.cancel(&id);
            }
        }
    }

    fn submit(&mut self) {
        let job = self.draw_job();
        self.jobs.push(job.id.clone());
        self.simulation.submit(&job);
    }

    fn draw_job(&mut self) -> JobDesc {
        let mut job = job_desc(&format!("j-{}", 100 + self.jobs.len()), 1);
        job.tasks = *[1, 2, 3, 5]
            .choose(&mut self.rng)
            .expect("at least one value");
        job.cores = *[1.0, 2.0, 4.0, 8.0]
            .choose(&mut self.rng)
            .expect("at least one value");
        job.team = ["red", "blue"][self.rng.random_range(0..2)].into();
        job.deadline_s = self.rng.random_bool(0.5).then_some(60.0);
        job.checkpoint_interval_s = if self.rng.random_bool(0.3) { 5.0 } else { 0.0 };
        match self.rng.random_range(0..8) {
            0 => job.single_zone = true,
            1 if job.cores <= 4.0 => job.anti_affinity = true,
            2 => job.zone = Some("x".into()),
            3 => job.machine_types = Some(vec!["big".into()]),
            4 if self.rng.random_bool(0.3) => {
                self.simulation.users.failing_jobs.insert(job.id.clone());
            }
            _ => {}
        }
        let has_dependencies = self.kind == HistoryKind::Dependencies
            && !self.jobs.is_empty()
            && self.rng.random_bool(0.6);
        if has_dependencies {
            // Dependencies are recent jobs of any team and in any state.
            let recent = self.jobs.len().saturating_sub(RECENT_JOBS);
            job.dependencies = (0..2)
                .filter_map(|_| self.jobs[recent..].choose(&mut self.rng).cloned())
                .collect();
            job.dependencies.dedup();
        }
        job
    }

    /// Cancels a live job through the first controller that reaches the store. That controller
    /// notifies its peers. Does nothing if there is no such controller.
    fn cancel(&mut self, id: &JobId) {
        let simulation = &mut self.simulation;
        let is_live = simulation.store.keys.contains_key(&keys::job(id));
        let controller = simulation
            .controllers
            .iter()
            .position(|controller| controller.is_running() && controller.reaches_store());
        if let Some(controller) = controller.filter(|_| is_live && !simulation.store.is_down) {
            simulation.cancel_through(controller, id.as_str());
        }
    }

    /// Draws the users' actions and advances the simulation by one second. With `may_submit`, the
    /// actions may include the submission of a job.
    pub fn run_one_second(&mut self, may_submit: bool) {
        let has_owner = self.simulation.store.keys.contains_key("r/blocks/0/holder");
        if may_submit && has_owner && !self.simulation.store.is_down && self.rng.random_bool(0.25) {
            self.submit();
        }
        if self.rng.random_bool(0.05)
            && let Some(id) = self.jobs.choose(&mut self.rng).cloned()
        {
            self.cancel(&id);
        }
        if !self.jobs.is_empty() {
            let job = self.rng.random_range(0..self.jobs.len());
            let controller = self.rng.random_range(0..CONTROLLERS);
            if self.simulation.controllers[controller].is_running() {
                self.query_job(controller, job);
            }
        }
        if !self.simulation.network.heartbeat_copies.is_empty() && self.rng.random_bool(0.7) {
            self.deliver_late_heartbeat();
        }
        self.simulation.advance(1.0);
        self.check_lookups();
    }

    fn query_job(&mut self, controller: usize, job: usize) {
        let id = self.jobs[job].clone();
        self.simulation
            .query_job(controller, id.as_str(), job as u64);
    }

    fn deliver_late_heartbeat(&mut self) {
        let copies = &mut self.simulation.network.heartbeat_copies;
        let copy = self.rng.random_range(0..copies.len());
        let copy = copies.swap_remove(copy);
        let controller = self.rng.random_range(0..CONTROLLERS);
        let receiver = &self.simulation.controllers[controller];
        if receiver.core.is_some() && !receiver.faults.is_cut_from_workers {
            self.simulation.deliver_late_heartbeat(controller, &copy);
        }
    }

    /// Checks the answers to status queries: no controller reports a different state for a job that
    /// was reported as ended, and no accepted job is reported as not found.
    fn check_lookups(&mut self) {
        for answer in self.simulation.users.take_lookups() {
            self.check_lookup(answer);
        }
    }

    fn check_lookup(&mut self, answer: LookupAnswer) {
        let controller = answer.controller;
        let job = answer.request_id as usize;
        let id = &self.jobs[job];
        match answer.lookup {
            JobLookup::Unavailable => {}
            JobLookup::NotFound => {
                panic!("controller {controller} does not find the accepted job {id}")
            }
            JobLookup::Live { .. } => {
                assert_eq!(
                    self.reported_end_states.get(&job),
                    None,
                    "controller {controller} reports {id} as live after its end was reported"
                );
                // Cancellations precede the queries of the same second, so the answer must include
                // them.
                let is_cancelled = self.simulation.users.is_cancelled(id);
                assert!(
                    !is_cancelled,
                    "controller {controller} reports the cancelled job {id} as live"
                );
            }
            JobLookup::Ended(record) => {
                let first = *self.reported_end_states.entry(job).or_insert(record.state);
                assert_eq!(
                    first, record.state,
                    "controller {controller} reports another end state of {id}"
                );
                let is_cancelled = self.simulation.users.is_cancelled(id);
                assert_eq!(
                    is_cancelled,
                    record.state == JobState::Cancelled,
                    "end state of {id} contradicts the users' cancellations"
                );
            }
        }
    }

    /// Runs the planned faults, which must be ordered by start, and then waits until all jobs have
    /// ended.
    pub fn run(&mut self, mut pending: Vec<PlannedFault>) {
        let mut active: Vec<PlannedFault> = Vec::new();
        while let Some(last_end) = pending
            .iter()
            .chain(&active)
            .map(|planned| planned.ends_at)
            .max()
        {
            let now = self.simulation.now;
            while pending.first().is_some_and(|next| now >= next.starts_at) {
                let planned = pending.remove(0);
                self.set_active(&planned, true);
                active.push(planned);
            }
            if now >= last_end {
                break;
            }
            for index in (0..active.len()).rev() {
                if now >= active[index].ends_at {
                    let planned = active.remove(index);
                    self.set_active(&planned, false);
                }
            }
            self.run_one_second(true);
        }
        for planned in active {
            self.set_active(&planned, false);
        }
        self.finish();
    }

    /// Runs the time after the faults: cancels the failing jobs, waits until all jobs have ended,
    /// and checks that every controller answers a status query for every job.
    fn finish(&mut self) {
        self.simulation.network.copies_heartbeats = false;
        self.run_one_second(true);
        for _ in 0..SECONDS_AFTER_FAULTS {
            self.run_one_second(false);
        }
        for id in self.simulation.users.failing_jobs.clone() {
            self.cancel(&id);
        }
        let mut seconds_left = MAX_SECONDS_TO_END;
        while self.first_unfinished_job().is_some() && seconds_left > 0 {
            self.run_one_second(false);
            seconds_left -= 1;
        }
        assert_eq!(
            self.first_unfinished_job(),
            None,
            "a job did not end within {MAX_SECONDS_TO_END} s"
        );
        self.simulation.users.lookups.clear();
        for controller in 0..CONTROLLERS {
            for job in 0..self.jobs.len() {
                self.query_job(controller, job);
            }
        }
        self.simulation.advance(1.0);
        let lookups = &self.simulation.users.lookups;
        assert_eq!(lookups.len(), CONTROLLERS * self.jobs.len());
        let is_unavailable = |answer: &&LookupAnswer| answer.lookup == JobLookup::Unavailable;
        assert_eq!(lookups.iter().find(is_unavailable), None);
        self.check_lookups();
    }

    fn first_unfinished_job(&self) -> Option<&JobId> {
        self.jobs
            .iter()
            .find(|id| self.simulation.ended_state(id.as_str()).is_none())
    }
}
