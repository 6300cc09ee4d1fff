//! Capacity that is kept free for a job must not keep others waiting if the job can't use it.

use super::simulation::{Simulation, secs};
use crate::jobs::tests::job_desc;
use crate::jobs::{JobDesc, Priority};

/// Longest time in seconds for which a job may wait beside a machine with room.
const MAX_WAIT_S: f64 = 90.0;
/// Maximum time in seconds until a job starts beside which no other job can use the machine.
const START_TIMEOUT_S: f64 = 10.0;

/// Describes a job of one long task that uses half of a machine.
fn half_machine() -> JobDesc {
    let mut job = job_desc("j-1", 1);
    (job.cores, job.team, job.deadline_s) = (8.0, "blue".into(), None);
    job
}

/// Describes an urgent job of one task within the guarantee of its team.
fn urgent_job() -> JobDesc {
    let mut job = job_desc("j-3", 1);
    (job.cores, job.team, job.priority) = (4.0, "blue".into(), Priority::High);
    job.deadline_s = None;
    job
}

/// Starts a cluster with one machine, of which a long task uses one half.
fn cluster_with_half_a_machine() -> Simulation {
    let mut simulation = Simulation::builder(1, 1)
        .team_quotas(16.0, 16.0)
        .guest_team()
        .started();
    simulation.cloud.is_unreachable = true;
    simulation.submit(&half_machine());
    simulation.advance(3.0);
    assert!(simulation.has_started("j-1"));
    simulation
}

/// Guards against `review/8`: the tasks of a faulty job fail on the only machine, and the job stays
/// away from it for a while. The machine was held for that job all the time.
#[test]
fn machine_that_a_faulty_job_avoids_is_not_held_for_it() {
    let mut simulation = cluster_with_half_a_machine();
    simulation.users.failing_jobs.insert("j-2".into());
    simulation.task_duration = Some(secs(250.0));
    let mut faulty = job_desc("j-2", 5);
    (faulty.cores, faulty.priority, faulty.deadline_s) = (4.0, Priority::High, None);
    simulation.submit(&faulty);
    simulation.advance(2.0);
    simulation.submit(&urgent_job());
    simulation.advance(START_TIMEOUT_S);
    assert!(simulation.has_started("j-3"));
}

/// Guards against a hold without end: an idle job of a team without a guarantee needs a whole machine.
/// The half that is free was held for it, and a job within its team's guarantee waited beside it.
#[test]
fn job_within_its_guarantee_waits_a_bounded_time_beside_a_held_machine() {
    let mut simulation = cluster_with_half_a_machine();
    let mut whole = job_desc("j-2", 1);
    (whole.cores, whole.team) = (16.0, "guests".into());
    (whole.priority, whole.deadline_s) = (Priority::Idle, None);
    simulation.submit(&whole);
    simulation.advance(2.0);
    simulation.submit(&urgent_job());
    simulation.advance(MAX_WAIT_S);
    assert!(simulation.has_started("j-3"));
}

/// Guards against a yield without end: an idle job that only the large machine type fits needs more
/// than a machine has free. A job with a distant deadline stayed off that machine.
#[test]
fn job_with_a_distant_deadline_yields_for_a_bounded_time() {
    let mut simulation = cluster_with_half_a_machine();
    let mut large = job_desc("j-2", 1);
    large.cores = 12.0;
    (large.priority, large.deadline_s) = (Priority::Idle, None);
    simulation.submit(&large);
    simulation.advance(2.0);
    let mut urgent = urgent_job();
    urgent.deadline_s = Some(300.0);
    urgent.estimated_run_time_s = 9.0;
    simulation.submit(&urgent);
    simulation.advance(MAX_WAIT_S);
    assert!(simulation.has_started("j-3"));
}
