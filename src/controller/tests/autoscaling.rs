//! The autoscaler: the shared list of machine types, machines that never boot, and the release of
//! idle machines.

use super::simulation::{Simulation, secs};
use crate::cloud::MachineType;
use crate::jobs::JobDesc;
use crate::jobs::tests::{job_desc, machine_types};
use crate::settings::tests::settings;
use crate::store::keys;

/// Controllers must use the same machine types. The first list that the cloud returns is stored for
/// all of them.
#[test]
fn first_machine_type_list_is_shared_through_the_store() {
    let simulation = Simulation::started(2, 1);
    let stored: Vec<MachineType> =
        serde_json::from_value(simulation.store.value(keys::TYPES).clone()).expect("types");
    assert_eq!(stored, machine_types());
    assert_eq!(settings().platform.initial_size, 2);
}

/// Machines that never boot are charged while tasks wait for them. They must be released after the
/// boot timeout and replaced, and no further machines may be requested before that.
#[test]
fn machines_that_never_boot_are_replaced_and_not_requested_twice() {
    let mut simulation = Simulation::new(1, 0);
    simulation.cloud.has_capacity = true;
    simulation.advance(3.0);
    simulation.submit(&job_desc("j-1", 8));
    while simulation.workers.is_empty() {
        simulation.advance(0.1);
    }
    simulation.advance(2.0);
    let requested = simulation.workers.len();
    simulation.keep_booting();
    // The boot timeout is two and a half times the usual boot duration plus ten seconds.
    simulation.advance(80.0);
    assert_eq!(
        simulation.workers.len(),
        requested,
        "no further machine is requested before the boot timeout"
    );
    assert!(
        simulation.cloud.released.is_empty(),
        "{:?}",
        simulation.cloud.released
    );
    simulation.advance(15.0);
    assert_eq!(
        simulation.cloud.released.len(),
        requested,
        "the machines are released and no longer charged"
    );
    simulation.advance(10.0);
    assert_eq!(
        simulation.running_count(),
        8,
        "all tasks run on replacement machines"
    );
}

/// An idle machine is kept until its minimum charge of one minute is used up. This time must not
/// start anew at each failover, or rolling restarts would keep idle machines for ever.
#[test]
fn rolling_restarts_dont_keep_idle_machines_from_release() {
    let mut simulation = Simulation::started(2, 3);
    simulation.idle_release_after = secs(5.0);
    simulation.advance(30.0);
    for _ in 0..2 {
        for controller in 0..2 {
            simulation.crash_controller(controller);
            simulation.advance(0.3);
            simulation.start_controller(controller);
        }
        simulation.advance(15.0);
    }
    assert_eq!(simulation.cloud.released.len(), 3);
}

/// Submits a job to a cluster without machines and returns the time in seconds until it starts.
/// Fails if it has not started within four minutes, in which even the largest jobs have to begin.
fn seconds_until_start(job: &JobDesc) -> f64 {
    let mut simulation = Simulation::started(1, 0);
    simulation.cloud.has_capacity = true;
    simulation.submit(job);
    let submitted_at = simulation.now;
    let id = job.id.to_string();
    simulation.advance_until(240.0, |simulation| simulation.has_started(&id));
    simulation.now.since(submitted_at).as_secs()
}

/// Guards against `nothing_ran`: a job that waits alone and is expected to be short was worth less
/// than half an on-demand machine, which was rounded to none for ever.
#[test]
fn job_of_one_short_task_gets_an_on_demand_machine_on_an_idle_cloud() {
    for estimate_s in [0.0, 0.001, 3.0, 30.0, 44.9, 60.0] {
        let mut job = job_desc("j-1", 1);
        job.spot = false;
        job.estimated_run_time_s = estimate_s;
        let waited_s = seconds_until_start(&job);
        assert!(
            waited_s < 10.0,
            "no machine suits the job, so that one is requested at once, but a job of {estimate_s} s \
             has waited for {waited_s} s"
        );
    }
}

/// Guards against the same fault for a job that may use spot machines, and whose estimate is zero.
#[test]
fn job_with_an_estimate_of_zero_gets_a_spot_machine_on_an_idle_cloud() {
    let mut job = job_desc("j-1", 1);
    job.estimated_run_time_s = 0.0;
    assert!(job.spot);
    assert!(seconds_until_start(&job) < 10.0);
}

/// Guards against the same fault beside a machine that suits the job and is in use for long: the
/// job waits for it for a minute, and then gets a machine of its own.
#[test]
fn short_job_beside_a_machine_in_use_gets_a_machine_after_its_wait() {
    let mut simulation = Simulation::started(1, 1);
    let mut long = job_desc("j-1", 1);
    long.cores = 16.0;
    simulation.submit(&long);
    simulation.advance(3.0);
    assert_eq!(simulation.running_count(), 1);
    simulation.cloud.has_capacity = true;
    let mut short = job_desc("j-2", 1);
    short.team = "blue".into();
    short.spot = false;
    short.estimated_run_time_s = 3.0;
    simulation.submit(&short);
    simulation.advance(70.0);
    assert!(simulation.has_started("j-2"));
}

/// Guards against a job that waits while machines are scaled out for others: the capacity that they
/// leave free counted as capacity for the job, although it may not use them.
#[test]
fn pending_machines_serve_only_jobs_that_may_use_them() {
    let mut simulation = Simulation::builder(1, 0).team_limits(10_000.0).started();
    simulation.cloud.has_capacity = true;
    let mut bound = job_desc("j-1", 1);
    bound.zone = Some("y".into());
    bound.estimated_run_time_s = 600.0;
    let submit_stream_job = |simulation: &mut Simulation, number: u32| {
        // A machine of 16 cores in zone x is scaled out for each of these jobs.
        let mut job = job_desc(&format!("j-{}", 100 + number), 1);
        job.cores = 9.0;
        job.estimated_run_time_s = 600.0;
        job.machine_types = Some(vec!["big".into()]);
        simulation.submit(&job);
    };
    submit_stream_job(&mut simulation, 0);
    simulation.advance(1.0);
    simulation.submit(&bound);
    for number in 1..=20 {
        submit_stream_job(&mut simulation, number);
        simulation.advance(0.5);
    }
    assert!(
        simulation.has_started("j-1"),
        "no machine suits the job, so that one is requested at once, but it has waited for 10 s"
    );
}
