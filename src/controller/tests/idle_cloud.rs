//! Random small loads on a cloud without machines, drawn from a seed: every accepted job starts.
//!
//! Steady load hides a job that waits alone, because machines that were scaled out for others serve
//! it sooner or later. Here one to three jobs of any size, estimate, zone, machine type, class and
//! team meet no machine, or a few that they may not use or that are in use, while the cloud refuses
//! requests in some zones for a time and controllers crash.
//!
//! `IDLE_CLOUD=1000..9000 cargo test --release idle_cloud` runs other seeds.

use super::seeds::seeds;
use super::simulation::{ExitCause, Simulation};
use crate::jobs::JobDesc;
use crate::jobs::tests::job_desc;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Number of tests among which the seeds are divided, so that they run in parallel.
const PARTS: u64 = 4;
/// Range of seeds, end exclusive, that are run unless `IDLE_CLOUD` is set.
const SEEDS: (u64, u64) = (0, 400);
/// Number of controllers.
const CONTROLLERS: usize = 2;
/// Limit of each team in cores. No job may wait for its team's limit.
const TEAM_LIMIT_CORES: f64 = 1_000.0;
/// Time in seconds within which each job has to start, counted from its submission, from the end of
/// its dependencies, or from the end of the faults, whichever is last. The platform's pages set this
/// bound for the largest jobs.
const MAX_WAIT_S: f64 = 240.0;
/// Durations in seconds of refusals and of crashes, from which one is drawn.
const FAULT_DURATIONS_S: [f64; 4] = [0.2, 3.0, 20.0, 60.0];

/// Chooses one of the values.
fn choose<T: Copy>(rng: &mut StdRng, values: &[T]) -> T {
    *values.choose(rng).expect("at least one value")
}

/// Draws a job that fits an allowed machine type in an allowed zone. The type `small` has 4 cores
/// and is in the zones `x` and `y`; `big` has 16 cores and is in the zone `x` only.
fn draw_job(rng: &mut StdRng, id: &str) -> JobDesc {
    let mut job = job_desc(id, choose(rng, &[1, 1, 1, 2, 5]));
    job.class = choose(rng, &["train", "serve", "batch"]).into();
    job.team = choose(rng, &["red", "blue"]).into();
    job.cores = choose(rng, &[0.1, 1.0, 2.0, 4.0]);
    job.memory_gb = choose(rng, &[0.1, 4.0, 16.0]);
    job.estimated_run_time_s = choose(rng, &[0.0, 0.01, 1.0, 3.0, 14.9, 30.0, 44.9, 600.0]);
    job.spot = rng.random_bool(0.5);
    job.deadline_s = rng.random_bool(0.5).then_some(60.0);
    match rng.random_range(0..6) {
        0 => job.single_zone = true,
        1 => job.anti_affinity = true,
        2 => job.zone = Some("y".into()),
        3 => job.machine_types = Some(vec!["big".into()]),
        4 => job.cores = 16.0,
        _ => {}
    }
    job
}

/// A simulation and the generator of its loads.
struct IdleCloud {
    simulation: Simulation,
    rng: StdRng,
    jobs: Vec<JobDesc>,
}

impl IdleCloud {
    fn new(seed: u64) -> IdleCloud {
        let mut rng = StdRng::seed_from_u64(seed);
        let machines = choose(&mut rng, &[0, 0, 0, 1, 2]);
        let mut simulation = Simulation::builder(CONTROLLERS, machines)
            .team_limits(TEAM_LIMIT_CORES)
            .started();
        if machines > 0 && rng.random_bool(0.7) {
            // The machines that are up are in use for longer than any job may wait.
            let mut long = job_desc("j-1", machines as u32);
            long.cores = 16.0;
            simulation.submit(&long);
            simulation.advance(3.0);
        }
        simulation.cloud.has_capacity = true;
        IdleCloud {
            simulation,
            rng,
            jobs: Vec::new(),
        }
    }

    fn run(&mut self) {
        for number in 0..self.rng.random_range(1..=3) {
            let mut job = draw_job(&mut self.rng, &format!("j-{}", 100 + number));
            if let Some(other) = self.jobs.last()
                && self.rng.random_bool(0.2)
            {
                job.dependencies = vec![other.id.clone()];
            }
            println!("{job:?}");
            self.simulation.submit(&job);
            self.jobs.push(job);
            let gap_s = choose(&mut self.rng, &[0.0, 0.5, 5.0, 30.0]);
            self.simulation.advance(gap_s);
        }
        self.fail();
        for job in std::mem::take(&mut self.jobs) {
            self.check_start(&job);
        }
    }

    /// Injects at most one fault and ends it.
    fn fail(&mut self) {
        let duration_s = choose(&mut self.rng, &FAULT_DURATIONS_S);
        let simulation = &mut self.simulation;
        match self.rng.random_range(0..4) {
            0 => {
                let zone = choose(&mut self.rng, &["x", "y"]);
                simulation.cloud.zones_without_capacity.insert(zone);
                simulation.advance(duration_s);
                simulation.cloud.zones_without_capacity.clear();
            }
            1 => {
                let crashed = simulation.crash_owner();
                simulation.advance(duration_s);
                simulation.start_controller(crashed);
            }
            2 => {
                simulation.cloud.is_unreachable = true;
                simulation.advance(duration_s);
                simulation.cloud.is_unreachable = false;
            }
            _ => {}
        }
    }

    /// Checks that a job starts in time, and then lets its tasks complete, so that the jobs that
    /// depend on it may start.
    fn check_start(&mut self, job: &JobDesc) {
        let id = job.id.to_string();
        self.simulation
            .advance_until(MAX_WAIT_S, |simulation| simulation.has_started(&id));
        let prefix = format!("{id}/");
        for _ in 0..job.tasks {
            if self.simulation.ended_state(&id).is_some() {
                break;
            }
            self.simulation
                .advance_until(MAX_WAIT_S, |simulation| simulation.has_started(&id));
            self.simulation.exit_all_of(&prefix, ExitCause::Done);
            self.simulation.advance(5.0);
        }
    }
}

/// Runs the seeds that belong to one part.
fn run_part(part: u64) {
    for seed in seeds("IDLE_CLOUD", SEEDS).filter(|seed| seed % PARTS == part) {
        println!("seed {seed}");
        IdleCloud::new(seed).run();
    }
}

/// Guards against `nothing_ran`: a job that no machine serves although the cloud has machines for
/// it; parts 2 to 4 alike.
#[test]
fn every_job_of_a_small_load_on_an_idle_cloud_starts_part_1() {
    run_part(0);
}

#[test]
fn every_job_of_a_small_load_on_an_idle_cloud_starts_part_2() {
    run_part(1);
}

#[test]
fn every_job_of_a_small_load_on_an_idle_cloud_starts_part_3() {
    run_part(2);
}

#[test]
fn every_job_of_a_small_load_on_an_idle_cloud_starts_part_4() {
    run_part(3);
}
