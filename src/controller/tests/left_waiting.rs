//! Jobs that can be placed must not wait behind jobs that can't: the bounds on the cost of placement
//! may be used up only by looking at what can be placed.

use super::simulation::{ExitCause, Simulation, secs};
use crate::jobs::tests::job_desc;
use crate::jobs::{JobDesc, Priority};

/// Number of jobs that no machine suits: more than any bound on the cost of a decision.
const UNPLACEABLE_JOBS: usize = 440;
/// Maximum time in seconds until a job starts that a machine has room for.
const START_TIMEOUT_S: f64 = 6.0;

/// Ways in which jobs that no machine can take differ from each other.
#[derive(Debug, Clone, Copy)]
enum Difference {
    None,
    Size,
    MachineTypes,
    ZoneConstraint,
}

/// Describes an urgent job of team red that is bound to a zone without machines.
fn unplaceable_job(number: usize, difference: Difference) -> JobDesc {
    let mut job = job_desc(&format!("j-{}", 1_000 + number), 1);
    job.zone = Some("y".into());
    job.priority = Priority::High;
    match difference {
        Difference::None => {}
        // The later jobs are smaller, so that one that does not fit says nothing about the next.
        Difference::Size => job.cores = 4.0 - 0.005 * number as f64,
        Difference::MachineTypes => {
            job.machine_types = Some(vec!["small".into(), format!("type-{number}")]);
        }
        Difference::ZoneConstraint => job.single_zone = true,
    }
    job
}

/// Describes a job of team red that any machine can take.
fn free_job() -> JobDesc {
    let mut job = job_desc("j-1", 1);
    job.priority = Priority::Standard;
    job
}

/// Starts a cluster with one machine, in zone x, and submits jobs that are bound to zone y.
fn cluster_with_unplaceable_jobs(controllers: usize, difference: Difference) -> Simulation {
    let mut simulation = Simulation::builder(controllers, 1)
        .team_limits(10_000.0)
        .started();
    for number in 0..UNPLACEABLE_JOBS {
        simulation.submit(&unplaceable_job(number, difference));
    }
    simulation.advance(2.0);
    simulation
}

/// Guards against `review/7`: 440 urgent jobs that fit nowhere kept a later job of their team from
/// being looked at.
#[test]
fn job_starts_beside_more_jobs_that_fit_nowhere_than_a_pass_searches_machines_for() {
    use Difference::{MachineTypes, None, Size, ZoneConstraint};
    for difference in [None, Size, MachineTypes, ZoneConstraint] {
        let mut simulation = cluster_with_unplaceable_jobs(1, difference);
        simulation.submit(&free_job());
        simulation.advance(START_TIMEOUT_S);
        assert!(simulation.has_started("j-1"), "{difference:?}");
    }
}

/// Guards against the same fault with jobs that can't be told from others without a search: each
/// machine has too little memory or too few cores left, but no resource is short on all machines.
#[test]
fn job_starts_beside_many_different_jobs_that_fit_no_single_machine() {
    let mut simulation = Simulation::builder(1, 2).team_limits(10_000.0).started();
    simulation.cloud.is_unreachable = true;
    for (id, cores, memory_gb) in [("j-2", 15.0, 8.0), ("j-3", 1.0, 62.0)] {
        let mut filler = job_desc(id, 1);
        (filler.cores, filler.memory_gb) = (cores, memory_gb);
        filler.team = "blue".into();
        simulation.submit(&filler);
        simulation.advance(2.0);
        assert!(simulation.has_started(id));
    }
    for number in 0..2 * UNPLACEABLE_JOBS {
        let mut job = job_desc(&format!("j-{}", 1_000 + number), 1);
        job.priority = Priority::High;
        // Fewer cores and more memory with each job: none of them is larger than another.
        job.cores = 4.0 - 0.002 * number as f64;
        job.memory_gb = 4.0 + 0.002 * number as f64;
        simulation.submit(&job);
    }
    simulation.advance(2.0);
    let mut small = free_job();
    (small.cores, small.memory_gb) = (0.5, 1.0);
    simulation.submit(&small);
    simulation.advance(START_TIMEOUT_S);
    assert!(simulation.has_started("j-1"));
}

/// Guards against the same fault after the owner has changed.
#[test]
fn job_starts_beside_jobs_that_fit_nowhere_after_a_failover() {
    let mut simulation = cluster_with_unplaceable_jobs(2, Difference::Size);
    simulation.crash_owner();
    simulation.advance(30.0);
    simulation.submit(&free_job());
    simulation.advance(START_TIMEOUT_S);
    assert!(simulation.has_started("j-1"));
}

/// Guards against a machine that stays empty until the next pass, because the jobs that are first in
/// the queue can't use it.
#[test]
fn machine_is_refilled_past_jobs_that_fit_nowhere() {
    let mut simulation = cluster_with_unplaceable_jobs(1, Difference::Size);
    let mut whole_machine = free_job();
    whole_machine.cores = 16.0;
    simulation.submit(&whole_machine);
    simulation.advance(START_TIMEOUT_S);
    let mut next = whole_machine.clone();
    next.id = "j-2".into();
    simulation.submit(&next);
    simulation.advance(3.0);
    assert!(simulation.has_started("j-1") && !simulation.has_started("j-2"));
    simulation.exit_all_of("j-1/", ExitCause::Done);
    let heartbeat_at = simulation.workers[0].next_heartbeat_at;
    // The launch is in the response to the heartbeat that shows the end of the first job.
    simulation.advance((heartbeat_at - simulation.now).as_secs());
    assert!(simulation.has_started("j-2"));
}

/// Guards against a team that is blocked by a starved job which no machine suits: the rest of its
/// limit is kept for that job, although it can't be placed.
#[test]
fn starved_job_that_fits_nowhere_does_not_block_its_team_at_its_limit() {
    let mut simulation = Simulation::started(1, 1);
    let mut long = job_desc("j-2", 1);
    long.cores = 13.0;
    simulation.submit(&long);
    // The limit of the team is 16 cores.
    simulation.submit(&unplaceable_job(0, Difference::Size));
    simulation.advance(130.0);
    simulation.submit(&free_job());
    simulation.advance(START_TIMEOUT_S);
    assert!(simulation.has_started("j-1"));
}

/// Guards against a starved job that is overtaken where it does not fit itself: while it waits for its
/// team's limit, other jobs of the team must not start on machines that are too small for it either.
#[test]
fn starved_job_keeps_its_part_of_the_limit_also_while_smaller_machines_are_refilled() {
    let mut simulation = Simulation::builder(1, 2).build();
    simulation.workers[1].machine_type = "small";
    simulation.idle_release_after = secs(1_000.0);
    simulation.start_all_controllers();
    simulation.advance(6.0);
    let small_machine_job = |id: &str| {
        let mut job = job_desc(id, 1);
        job.machine_types = Some(vec!["small".into()]);
        job.deadline_s = None;
        job
    };
    for id in ["j-1", "j-2"] {
        simulation.submit(&small_machine_job(id));
    }
    simulation.advance(3.0);
    assert_eq!(simulation.running_count(), 2);
    // The job needs the whole limit of its team, and only the large machine suits it.
    let mut whole_limit = job_desc("j-90001", 1);
    whole_limit.cores = 16.0;
    simulation.submit(&whole_limit);
    simulation.advance(125.0);
    simulation.submit(&small_machine_job("j-3"));
    simulation.advance(1.0);
    simulation.exit_all_of("j-1/", ExitCause::Done);
    simulation.advance(6.0);
    assert!(!simulation.has_started("j-3"));
    simulation.cancel("j-3");
    simulation.exit_all_of("j-2/", ExitCause::Done);
    simulation.advance(START_TIMEOUT_S);
    assert!(simulation.has_started("j-90001"));
}

/// Guards against preemption that is planned for nobody: jobs that no machine suits used up the number
/// of jobs that may preempt in one run.
#[test]
fn job_preempts_beside_more_urgent_jobs_that_fit_nowhere() {
    let mut simulation = Simulation::builder(1, 1).team_limits(10_000.0).started();
    let mut idle = job_desc("j-2", 8);
    idle.priority = Priority::Idle;
    idle.team = "blue".into();
    idle.deadline_s = None;
    idle.estimated_run_time_s = 600.0;
    simulation.submit(&idle);
    simulation.advance(3.0);
    for number in 0..20 {
        let mut job = unplaceable_job(number, Difference::Size);
        job.priority = Priority::Production;
        job.deadline_s = None;
        simulation.submit(&job);
    }
    let mut urgent = free_job();
    urgent.priority = Priority::High;
    urgent.cores = 16.0;
    urgent.deadline_s = None;
    urgent.estimated_run_time_s = 600.0;
    simulation.submit(&urgent);
    simulation.advance(20.0);
    assert!(simulation.has_started("j-1"));
}

/// Guards against a scale-out that never happens: jobs for which the cloud has no machines counted
/// against the limit of their team, so that nothing was requested for the others.
#[test]
fn machine_is_added_beside_jobs_that_the_cloud_has_no_machines_for() {
    let mut simulation = Simulation::new(1, 0);
    simulation.cloud.has_capacity = true;
    simulation.cloud.zones_without_capacity.insert("y");
    simulation.start_controller(0);
    simulation.advance(6.0);
    // The limit of the team is 16 cores.
    for number in 0..10 {
        simulation.submit(&unplaceable_job(number, Difference::None));
    }
    simulation.submit(&free_job());
    simulation.task_duration = Some(secs(60.0));
    simulation.advance(90.0);
    assert!(simulation.has_started("j-1"));
}

/// Guards against passes whose cost grows with the backlog: 10,000 different jobs wait that fit on no
/// machine and can't be told from others without a search. Each pass searches machines for a bounded
/// number of them, and a job that fits starts all the same.
#[test]
fn cost_of_a_pass_is_bounded_beside_ten_thousand_different_jobs_that_fit_nowhere() {
    const MACHINES: usize = 4;
    const JOBS: usize = 10_000;
    /// Number of jobs of a team for which a pass may search machines in vain.
    const MAX_FAILED_SEARCHES: usize = 400;
    /// Longest time in seconds for which a job may wait beside a machine with room.
    const MAX_WAIT_S: f64 = 90.0;
    let mut simulation = Simulation::builder(1, MACHINES)
        .team_limits(100_000.0)
        .started();
    simulation.cloud.is_unreachable = true;
    // Half of the machines have one core left, the others 2 GB of memory.
    for number in 0..MACHINES {
        let mut filler = job_desc(&format!("j-{}", 10 + number), 1);
        filler.team = "blue".into();
        (filler.cores, filler.memory_gb) = if number < MACHINES / 2 {
            (15.0, 8.0)
        } else {
            (1.0, 62.0)
        };
        simulation.submit(&filler);
        simulation.advance(1.0);
    }
    simulation.advance(3.0);
    assert_eq!(simulation.running_count(), MACHINES);
    for number in 0..JOBS {
        let mut job = job_desc(&format!("j-{}", 1_000 + number), 1);
        job.priority = Priority::High;
        job.cores = 4.0 - 0.0001 * number as f64;
        job.memory_gb = 4.0 + 0.0001 * number as f64;
        simulation.submit(&job);
    }
    let mut small = free_job();
    (small.cores, small.memory_gb) = (0.5, 1.0);
    simulation.submit(&small);
    // Passes are at most as frequent as steps of the simulation.
    let max_per_step = (MAX_FAILED_SEARCHES + 2) * MACHINES;
    let submitted_at = simulation.now;
    while !simulation.has_started("j-1") {
        let before = simulation.machines_compared();
        simulation.advance(0.1);
        let compared = simulation.machines_compared() - before;
        assert!(compared <= max_per_step, "{compared} comparisons in a step");
        let waited = simulation.now.since(submitted_at).as_secs();
        assert!(waited < MAX_WAIT_S, "the job waits beside a machine");
    }
    println!(
        "started after {} s",
        simulation.now.since(submitted_at).as_secs()
    );
}
